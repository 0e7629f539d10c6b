//! Entry hosts that wait for the full view.
//!
//! After a change of leader all entry hosts want the full view at once. Sending it to some of them
//! at a time leaves the leader time for the replicated log, and one view serves them all.

use std::collections::VecDeque;

use cornelhitch_types::id::{HostId, Time};

/// The most full views that are sent in one [`INTERVAL`].
const MAX_HOSTS: usize = 8;

/// The time over which full views are counted.
const INTERVAL: Time = Time::from_millis(50);

/// The entry hosts that wait for the full view, in the order in which they asked for it.
#[derive(Debug, Default)]
pub(crate) struct FullViews {
    waiting: VecDeque<HostId>,
    /// When the current interval began.
    since: Time,
    /// Full views sent in the current interval.
    sent: usize,
}

impl FullViews {
    /// Adds a host, unless it waits already.
    pub(crate) fn request(&mut self, host: HostId) {
        if !self.waiting.contains(&host) {
            self.waiting.push_back(host);
        }
    }

    /// Takes the hosts that get the full view now.
    pub(crate) fn take_due(&mut self, now: Time) -> Vec<HostId> {
        if now >= self.since + INTERVAL {
            self.since = now;
            self.sent = 0;
        }
        let due = self.waiting.len().min(MAX_HOSTS - self.sent);
        self.sent += due;
        self.waiting.drain(..due).collect()
    }
}
