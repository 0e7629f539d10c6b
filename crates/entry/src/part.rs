//! This host's part of an allowance that all entry hosts share.
//!
//! The parts of all hosts may not add up to more than the whole over any window, also while hosts
//! start, end, or lose touch with the leader. So a host
//!
//! - has no part until it has been listed for a window: what its last life, or a host whose part it
//!   takes over, has spent lies in the window before;
//! - divides by the largest number of hosts that it has heard of in the last window: a host that
//!   has gone may have spent its part in it;
//! - has no part without a lease: hosts that are listed no more are not counted by the others.

use std::collections::VecDeque;
use std::time::Duration;

use cornelhitch_types::id::Time;
use serde::Serialize;

/// The number of hosts from a time on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
struct Count {
    since: Time,
    hosts: u32,
}

/// What a host knows of its part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Part {
    /// The window over which the allowance counts.
    window: Duration,
    /// Since when this host has been listed without a long break.
    joined: Option<Time>,
    /// Until when its lease holds.
    leased: Time,
    /// Numbers of hosts, of which the last window needs some.
    counts: VecDeque<Count>,
}

impl Part {
    /// The part of a host that has just started.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            joined: None,
            leased: Time::ZERO,
            counts: VecDeque::new(),
        }
    }

    /// The leader lists so many hosts, this one among them or not.
    pub fn list(&mut self, hosts: u32, listed: bool, now: Time) {
        if listed && self.joined.is_none() {
            self.joined = Some(now);
        }
        if self.counts.back().is_none_or(|last| last.hosts != hosts) {
            let since = now;
            self.counts.push_back(Count { since, hosts });
        }
        let start = now.saturating_sub(self.window);
        while self.counts.get(1).is_some_and(|next| next.since <= start) {
            self.counts.pop_front();
        }
    }

    /// The lease was renewed.
    ///
    /// After a break the others may have divided by less. A lease is no longer than half a window,
    /// so those who stopped counting this host did so half a window after it ran out at the earliest.
    pub fn renew(&mut self, until: Time, now: Time) {
        let long = self.leased + self.window / 2 < now;
        if self.joined.is_some() && long {
            self.joined = Some(now);
        }
        self.leased = self.leased.max(until);
    }

    /// The part, from 0 to 1.
    ///
    /// ```
    /// use cornelhitch_entry::part::Part;
    /// use std::time::Duration;
    ///
    /// let second = Duration::from_secs;
    /// let mut part = Part::new(second(10));
    /// part.renew(second(60), second(1));
    /// part.list(4, true, second(1));
    /// assert!(part.size(second(10)) < 0.01);
    /// assert!((part.size(second(11)) - 0.25).abs() < 0.01);
    /// ```
    #[must_use]
    pub fn size(&self, now: Time) -> f64 {
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
