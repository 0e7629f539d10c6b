//! When a waiting request is expected to start, and how long its answer takes.

use std::collections::BTreeMap;
use std::time::Duration;

use cornelhitch_types::id::Time;

use crate::queue::Key;

/// The part of a new measurement in the running mean.
const GAIN: f64 = 0.1;

/// Running means of one kind of request, in seconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pace {
    /// From the first byte sent to the first byte of the answer.
    first: Option<f64>,
    /// From the first byte sent to the end of the answer.
    whole: Option<f64>,
}

impl Pace {
    /// The time that an answer takes, at least until it can be streamed.
    #[must_use]
    pub fn need(&self, streaming: bool) -> Duration {
        let seconds = if streaming { self.first } else { self.whole };
        Duration::from_secs_f64(seconds.unwrap_or(0.0))
    }

    /// The time that a slot is taken for, if any answer has been measured.
    #[must_use]
    pub fn whole(&self) -> Option<Duration> {
        self.whole.map(Duration::from_secs_f64)
    }
}

/// Paces by kind of request.
#[derive(Debug, Default)]
pub struct Paces {
    /// By the replicas that can answer.
    by_key: BTreeMap<Key, Pace>,
}

impl Paces {
    /// What was measured for a kind of request.
    #[must_use]
    pub fn get(&self, key: &Key) -> Pace {
        self.by_key.get(key).copied().unwrap_or_default()
    }

    /// Counts the time to the first byte of an answer.
    pub fn first(&mut self, key: &Key, took: Duration) {
        let pace = self.pace(key);
        pace.first = Some(mean(pace.first, took));
    }

    /// Counts the time to the end of an answer.
    pub fn whole(&mut self, key: &Key, took: Duration) {
        let pace = self.pace(key);
        pace.whole = Some(mean(pace.whole, took));
    }

    /// The pace to change.
    fn pace(&mut self, key: &Key) -> &mut Pace {
        if !self.by_key.contains_key(key) {
            self.by_key.insert(key.clone(), Pace::default());
        }
        self.by_key.entry(key.clone()).or_default()
    }
}

/// A running mean with one more measurement.
fn mean(known: Option<f64>, took: Duration) -> f64 {
    let took = took.as_secs_f64();
    known.map_or(took, |known| known + GAIN * (took - known))
}

/// What is known of the replicas that can answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Supply {
    /// Requests that this host may have on ready replicas at once.
    pub slots: u32,
    /// When the next replica is expected to be ready, if one is loading.
    pub ready_at: Option<Time>,
    /// The shortest time in which a replica could be loaded from nothing.
    pub load: Duration,
}

/// The earliest time at which a request with `ahead` others before it can start.
///
/// The estimate is a lower one: a request is refused early only if not even this can be met.
///
/// ```
/// use cornelhitch_entry::estimate::{Pace, Supply, start};
/// use std::time::Duration;
///
/// let supply = Supply { slots: 0, ready_at: Some(Duration::from_secs(9)), load: Duration::ZERO };
/// assert_eq!(start(supply, Pace::default(), 4, Duration::from_secs(2)), Duration::from_secs(9));
/// ```
#[must_use]
pub fn start(supply: Supply, pace: Pace, ahead: usize, now: Time) -> Time {
    if supply.slots == 0 {
        let ready = supply.ready_at.unwrap_or(now + supply.load);
        return ready.max(now);
    }
    let whole = pace.whole.unwrap_or(0.0);
    let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
    let rounds = f64::from(ahead) / f64::from(supply.slots);
    now + Duration::from_secs_f64(rounds * whole)
}
