//! Runs that speak for the parts of their requests before their answers are complete.
//!
//! A part that ends targets as they begin to answer leaves no run that goes on for long. So a run that has
//! delivered for some time when targets end shows that these ends may have another cause, whether
//! its own target has ended or not.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::core::Core;
use crate::event::{CallId, Failure};
use crate::request::{Interruption, Progress, RunningAttempt};
use crate::retry_policy;

/// How long a run has delivered its answer to count in favour of its parts. Targets ended by a part
/// fail within some tens of milliseconds of the first byte.
pub(crate) const WITNESS_TIME: Duration = Duration::from_millis(200);

impl Core {
    /// Records the parts of all runs that have delivered for some time.
    pub(crate) fn record_witnesses(&mut self) {
        if !self.suspects.has_crashes() {
            return;
        }
        let now = self.now;
        let lasting = self.calls.values().filter(|call| {
            let run = call.current_attempt();
            run.is_some_and(|run| run.has_delivered(now))
        });
        let parts: BTreeSet<u64> = lasting.flat_map(|call| call.request.part_ids()).collect();
        self.suspects.record_witnessed(&parts, now);
    }

    /// Records that a target may have ended under a run, and whether this run speaks for its sections.
    ///
    /// Such a request is resumed although its sections are refused, if they were answered lately. Only the
    /// first interruption counts, so that a section under which targets end late gains one send for
    /// each stream at most.
    pub(crate) fn record_interruption(
        &mut self,
        id: CallId,
        run: &RunningAttempt,
        failure: Failure,
    ) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if !retry_policy::effect(failure).strike || run.progress == Progress::Unsent {
            return;
        }
        let is_first = call.interruption == Interruption::None;
        call.interruption = if is_first && run.has_delivered(self.now) {
            Interruption::Lasting
        } else {
            Interruption::Other
        };
    }
}
