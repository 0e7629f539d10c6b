//! This host's share of an allowance that all entry hosts use together.
//!
//! The shares of all hosts must not add up to more than the allowance in any window, even while
//! hosts start, stop or lose contact with the leader. Therefore a host
//!
//! - has no share until it has been listed for a full window: what its previous incarnation, or a
//!   host whose share it takes over, has spent then falls into an earlier window;
//! - divides by the largest number of hosts listed in the last window: a host that has left may
//!   have spent its share in it;
//! - has no share without a lease: hosts that are no longer listed are not counted by the others.

use std::collections::VecDeque;
use std::time::Duration;

use cornelhitch_types::id::Time;
use serde::Serialize;

/// The number of listed hosts, starting at a given time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
struct HostCount {
    since: Time,
    hosts: u32,
}

/// What determines a host's share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct HostShare {
    /// The window over which the allowance counts.
    window: Duration,
    /// Since when this host has been listed without a long interruption.
    joined: Option<Time>,
    /// When its lease expires.
    leased: Time,
    /// Host counts, at least those that the last window needs.
    counts: VecDeque<HostCount>,
}

impl HostShare {
    /// Creates the share of a host that has just started.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            joined: None,
            leased: Time::ZERO,
            counts: VecDeque::new(),
        }
    }

    /// Sets the number of entry hosts that the leader lists, and whether this one is among them.
    pub fn set_hosts(&mut self, hosts: u32, listed: bool, now: Time) {
        if listed && self.joined.is_none() {
            self.joined = Some(now);
        }
        if self.counts.back().is_none_or(|last| last.hosts != hosts) {
            let since = now;
            self.counts.push_back(HostCount { since, hosts });
        }
        let start = now.saturating_sub(self.window);
        while self.counts.get(1).is_some_and(|next| next.since <= start) {
            self.counts.pop_front();
        }
    }

    /// Records that this host's lease was renewed.
    ///
    /// During an interruption, the other hosts may have divided by a smaller number. A lease is no
    /// longer than half a window, so they stopped counting this host at the earliest half a window
    /// after the lease expired.
    pub fn renew_lease(&mut self, until: Time, now: Time) {
        let long = self.leased + self.window / 2 < now;
        if self.joined.is_some() && long {
            self.joined = Some(now);
        }
        self.leased = self.leased.max(until);
    }

    /// Returns the share, from 0 to 1.
    ///
    /// ```
    /// use cornelhitch_entry::host_share::HostShare;
    /// use std::time::Duration;
    ///
    /// let second = Duration::from_secs;
    /// let mut share = HostShare::new(second(10));
    /// share.renew_lease(second(60), second(1));
    /// share.set_hosts(4, true, second(1));
    /// assert!(share.fraction(second(10)) < 0.01);
    /// assert!((share.fraction(second(11)) - 0.25).abs() < 0.01);
    /// ```
    #[must_use]
    pub fn fraction(&self, now: Time) -> f64 {
        let settled = self.joined.is_some_and(|at| at + self.window <= now);
        if !settled || self.leased <= now {
            return 0.0;
        }
        let start = now.saturating_sub(self.window);
        let later = self.counts.iter().skip(1).map(|next| next.since);
        let ends = later.chain(std::iter::once(Time::MAX));
        let counts = self.counts.iter().zip(ends);
        let counts = counts.filter(|(_, end)| *end > start);
        let most = counts.map(|(count, _)| count.hosts).max().unwrap_or(0);
        1.0 / f64::from(most.max(1))
    }
}
