//! Runs that speak for the parts of their requests before their answers are complete.
//!
//! A part that ends targets as they begin to answer leaves no run that goes on for long. So a run that has
//! delivered for some time when targets end shows that these ends may have another cause, whether
//! its own target has ended or not.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::core::Core;

/// How long a run has delivered its answer to count in favour of its parts. Targets ended by a part
/// fail within some tens of milliseconds of the first byte.
const WITNESS_TIME: Duration = Duration::from_millis(200);

impl Core {
    /// Records the parts of all runs that have delivered for some time.
    pub(crate) fn record_witnesses(&mut self) {
        if !self.suspects.has_crashes() {
            return;
        }
        let now = self.now;
        let lasting = self.calls.values().filter(|call| {
            let run = call.current_attempt().filter(|run| !run.error);
            let begun = run.and_then(|run| run.begun);
            begun.is_some_and(|begun| now >= begun + WITNESS_TIME)
        });
        let parts: BTreeSet<u64> = lasting.flat_map(|call| call.request.part_ids()).collect();
        self.suspects.record_witnessed(&parts, now);
    }
}
