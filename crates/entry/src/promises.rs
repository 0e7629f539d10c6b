//! Requests that were refused with a time at which to return.
//!
//! Their callers are expected back: they are counted as waiting when later requests are judged, and
//! a request that returns when it was told is admitted, in the place that it had when it first
//! arrived: before requests of its team that came after that, and not before those that were
//! admitted until then, which it would make late.

use std::collections::HashMap;
use std::time::Duration;

use cornelhitch_types::id::Time;

use crate::queue::Group;

/// Time after the promised one up to which a caller is expected: several times the latency between
/// callers and hosts (3 ms) and the interval in which the queue is searched (100 ms).
const PATIENCE: Duration = Duration::from_millis(300);

/// How much earlier than told a caller may return: its clock's and the link's variation.
const TOLERANCE: Duration = Duration::from_millis(20);

/// Upper bound on the promises that are kept; further requests are refused without one.
const MAX_PROMISES: usize = 10_000;

/// A refused request that is expected back.
#[derive(Debug)]
struct Promise {
    group: Group,
    /// When it was told to return.
    due: Time,
    /// The deadline by which it was ranked.
    deadline: Time,
}

/// The requests that are expected back, by fingerprint.
#[derive(Debug, Default)]
pub struct Promises {
    promises: HashMap<u64, Promise>,
}

impl Promises {
    /// Records that a request, ranked by `deadline`, was told to return at `due`.
    pub fn promise(&mut self, fingerprint: u64, group: Group, due: Time, deadline: Time) {
        if self.promises.len() < MAX_PROMISES {
            let promise = Promise {
                group,
                due,
                deadline,
            };
            self.promises.insert(fingerprint, promise);
        }
    }

    /// Takes the promise of a request that arrives, and returns the deadline by which it was ranked;
    /// `None` if it was told nothing, or comes too early or late.
    ///
    /// ```
    /// use std::time::Duration;
    /// use cornelhitch_entry::promises::Promises;
    /// use cornelhitch_entry::queue::{Group, QueueKey};
    ///
    /// let group = Group { key: QueueKey::Service("bids".into()), weight: 1, team: 7 };
    /// let (due, deadline) = (Duration::from_millis(500), Duration::from_secs(5));
    /// let mut promises = Promises::default();
    /// promises.promise(3, group, due, deadline);
    /// assert_eq!(promises.redeem(3, Duration::from_millis(200)), None);
    /// assert_eq!(promises.redeem(3, due), Some(deadline));
    /// assert_eq!(promises.redeem(3, due), None);
    /// ```
    pub fn redeem(&mut self, fingerprint: u64, now: Time) -> Option<Time> {
        let due = self.promises.get(&fingerprint)?.due;
        if now + TOLERANCE < due {
            return None;
        }
        let promise = self.promises.remove(&fingerprint)?;
        (now <= due + PATIENCE).then_some(promise.deadline)
    }

    /// Returns how many requests of a group are expected back up to a time.
    #[must_use]
    pub fn count(&self, group: &Group, now: Time, until: Time) -> usize {
        let expected = |promise: &&Promise| {
            now <= promise.due + PATIENCE && promise.due <= until && promise.group == *group
        };
        self.promises.values().filter(expected).count()
    }

    /// Forgets the requests that did not return.
    pub fn expire(&mut self, now: Time) {
        self.promises
            .retain(|_, promise| now <= promise.due + PATIENCE);
    }
}
