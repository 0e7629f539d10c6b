//! Attempts that were stopped, remembered for a while.
//!
//! A target may die just when a request on it is given up. The break is then
//! reported for an attempt that is over; it still is a strike.

use std::collections::{BTreeMap, VecDeque};

use cornelhitch_types::id::Time;

use crate::event::{Attempt, CallId};
use crate::quarantine::Life;

/// How long a break is still taken for the attempt's doing.
const KEPT: Time = Time::from_secs(5);

/// Attempts remembered at most; the oldest go first.
const LIMIT: usize = 4_096;

/// What a stopped attempt ran, and where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspect {
    /// The request's fingerprint.
    pub fingerprint: u64,
    /// Strikes that were known of it when it was sent.
    pub strikes: u32,
    /// The target in its life.
    pub life: Life,
}

/// Attempts that were stopped after their first byte was allowed.
#[derive(Debug, Default)]
pub struct Stopped {
    /// What each ran, and where.
    runs: BTreeMap<(CallId, Attempt), Suspect>,
    /// In the order of their ends.
    order: VecDeque<(Time, (CallId, Attempt))>,
}

impl Stopped {
    /// Remembers an attempt.
    pub fn insert(&mut self, at: (CallId, Attempt), suspect: Suspect, now: Time) {
        self.runs.insert(at, suspect);
        self.order.push_back((now + KEPT, at));
        while self.order.len() > LIMIT {
            self.drop_first();
        }
    }

    /// Takes the attempt that a break is reported for.
    ///
    /// ```
    /// use cornelhitch_entry::stopped::{Stopped, Suspect};
    /// use std::time::Duration;
    ///
    /// let mut stopped = Stopped::default();
    /// let life = ("worker-1".into(), 1);
    /// stopped.insert((7, 1), Suspect { fingerprint: 99, strikes: 0, life }, Duration::ZERO);
    /// assert!(stopped.take((7, 1)).is_some());
    /// assert!(stopped.take((7, 1)).is_none());
    /// ```
    pub fn take(&mut self, at: (CallId, Attempt)) -> Option<Suspect> {
        self.runs.remove(&at)
    }

    /// Forgets those whose time is over.
    pub fn expire(&mut self, now: Time) {
        while self.order.front().is_some_and(|(until, _)| *until <= now) {
            self.drop_first();
        }
    }

    /// Forgets the oldest.
    fn drop_first(&mut self) {
        if let Some((_, at)) = self.order.pop_front() {
            self.runs.remove(&at);
        }
    }
}
