//! Sections of prompts that were answered completely on this host.

use std::collections::BTreeMap;
use std::time::Duration;

use cornelhitch_types::id::Time;
use serde::Serialize;

/// How long an answer counts for its sections.
const RETENTION: Duration = Duration::from_mins(10);

/// How long an answer counts as evidence that targets that end now have another cause than its
/// sections. A section that turns bad ends targets at once, so a longer time would delay its refusal.
const WITNESS_RETENTION: Duration = Duration::from_secs(2);

/// The maximum number of sections that are remembered.
const MAX_SECTIONS: usize = 10_000;

/// When sections were last answered.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub(super) struct Answered {
    last: BTreeMap<u64, Time>,
}

impl Answered {
    /// Records a complete answer to a request with a section that nothing is held against.
    pub(super) fn record(&mut self, section: u64, now: Time) {
        self.last.insert(section, now);
        if self.last.len() > MAX_SECTIONS {
            self.drop_oldest();
        }
    }

    /// Whether requests with a section were answered lately.
    pub(super) fn contains(&self, section: u64, now: Time) -> bool {
        let last = self.last.get(&section);
        last.is_some_and(|last| now < *last + RETENTION)
    }

    /// Whether a request with a section was answered just before.
    pub(super) fn is_fresh(&self, section: u64, now: Time) -> bool {
        let last = self.last.get(&section);
        last.is_some_and(|last| now < *last + WITNESS_RETENTION)
    }

    /// Drops the older half.
    fn drop_oldest(&mut self) {
        let mut times: Vec<Time> = self.last.values().copied().collect();
        times.sort_unstable();
        let median = times[times.len() / 2];
        self.last.retain(|_, last| *last > median);
    }
}
