//! Entry hosts that wait for the full view.
//!
//! After a change of leader all entry hosts want the full view at once. Sending it to some of them
//! at a time leaves the leader time for the replicated log, and one view serves them all.

use std::collections::VecDeque;

use cornelhitch_types::id::{HostId, Time};

/// The most full views that are sent in one [`INTERVAL`].
const MAX_HOSTS: usize = 8;

/// The changes in full views that are sent in one [`INTERVAL`], or one view if it has more: each is
/// encoded once and authenticated and written for each host.
const MAX_CHANGES: usize = 8_000;

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

    /// Returns whether a host may get the full view now.
    pub(crate) fn is_due(&self, now: Time) -> bool {
        !self.waiting.is_empty() && (now >= self.since + INTERVAL || self.sent < MAX_HOSTS)
    }

    /// Takes the hosts that get the full view now, which has this many changes.
    pub(crate) fn take_due(&mut self, changes: usize, now: Time) -> Vec<HostId> {
        if now >= self.since + INTERVAL {
            self.since = now;
            self.sent = 0;
        }
        let allowed = (MAX_CHANGES / changes.max(1)).clamp(1, MAX_HOSTS);
        let due = self.waiting.len().min(allowed.saturating_sub(self.sent));
        if due == 0 {
            // None until the next interval, so that the view is not built in vain.
            self.sent = MAX_HOSTS;
        }
        self.sent += due;
        self.waiting.drain(..due).collect()
    }
}
