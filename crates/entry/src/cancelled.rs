//! Attempts that were cancelled recently.
//!
//! A target may die just when a request on it is cancelled. The broken connection is then reported
//! for an attempt that is already over, but must still count as a strike.

use std::collections::{BTreeMap, VecDeque};

use cornelhitch_types::id::Time;

use crate::event::{Attempt, CallId};
use crate::quarantine::TargetInstance;
use crate::suspects::Suspicion;

/// How long a failure is still attributed to a cancelled attempt.
const RETENTION: Time = Time::from_secs(5);

/// Maximum number of attempts kept; the oldest are dropped first.
const MAX_ENTRIES: usize = 4_096;

/// What identifies a request to strikes, and the target that its attempt ran on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspect {
    /// The request's fingerprint.
    pub fingerprint: u64,
    /// What its end would tell of its prompt's sections.
    pub suspicion: Suspicion,
    /// Number of strikes known when the attempt was sent.
    pub strikes: u32,
    /// The target with its incarnation.
    pub instance: TargetInstance,
}

/// Attempts that were cancelled after they were allowed to write their first byte.
#[derive(Debug, Default)]
pub struct CancelledAttempts {
    /// The suspect of each attempt.
    runs: BTreeMap<(CallId, Attempt), Suspect>,
    /// Attempts in the order of their cancellation, with their expiry.
    order: VecDeque<(Time, (CallId, Attempt))>,
}

impl CancelledAttempts {
    /// Records a cancelled attempt.
    pub fn insert(&mut self, at: (CallId, Attempt), suspect: Suspect, now: Time) {
        self.runs.insert(at, suspect);
        self.order.push_back((now + RETENTION, at));
        while self.order.len() > MAX_ENTRIES {
            self.drop_oldest();
        }
    }

    /// Removes and returns the attempt that a failure is reported for, if it is known.
    ///
    /// ```
    /// use cornelhitch_entry::cancelled::{CancelledAttempts, Suspect};
    /// use cornelhitch_entry::suspects::Suspicion;
    /// use std::time::Duration;
    ///
    /// let mut cancelled = CancelledAttempts::default();
    /// let instance = ("worker-1".into(), 1);
    /// let suspicion = Suspicion::default();
    /// let suspect = Suspect { fingerprint: 99, suspicion, strikes: 0, instance };
    /// cancelled.insert((7, 1), suspect, Duration::ZERO);
    /// assert!(cancelled.take((7, 1)).is_some());
    /// assert!(cancelled.take((7, 1)).is_none());
    /// ```
    pub fn take(&mut self, at: (CallId, Attempt)) -> Option<Suspect> {
        self.runs.remove(&at)
    }

    /// Drops the attempts whose retention has ended.
    pub fn expire(&mut self, now: Time) {
        while self.order.front().is_some_and(|(until, _)| *until <= now) {
            self.drop_oldest();
        }
    }

    /// Drops the oldest attempt.
    fn drop_oldest(&mut self) {
        if let Some((_, at)) = self.order.pop_front() {
            self.runs.remove(&at);
        }
    }
}
