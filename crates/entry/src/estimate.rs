//! Estimates when a waiting request can start and how long its response takes.

use std::collections::BTreeMap;
use std::time::Duration;

use cornelhitch_types::id::Time;

use crate::queue::QueueKey;

/// Weight of a new measurement in the moving average.
const MEAN_GAIN: f64 = 0.1;

/// Moving averages of response times of one lane, in seconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct Latency {
    /// From the first byte sent to the first byte of the response.
    first_byte: Option<f64>,
    /// From the first byte sent to the end of the response.
    full_response: Option<f64>,
}

impl Latency {
    /// Returns the mean time until a response satisfies its deadline: to its first byte if it is
    /// streamed, else to its end. Zero if none was measured.
    #[must_use]
    pub fn response_time_for(&self, streaming: bool) -> Duration {
        let seconds = if streaming {
            self.first_byte
        } else {
            self.full_response
        };
        Duration::from_secs_f64(seconds.unwrap_or(0.0))
    }

    /// Returns the mean time to the first byte of a response, or `None` if none was measured.
    #[must_use]
    pub fn first_byte(&self) -> Option<Duration> {
        self.first_byte.map(Duration::from_secs_f64)
    }

    /// Returns the mean time for which a request occupies a slot, or `None` if none was measured.
    #[must_use]
    pub fn response_time(&self) -> Option<Duration> {
        self.full_response.map(Duration::from_secs_f64)
    }
}

/// Response times by lane.
#[derive(Debug, Default)]
pub struct Latencies {
    by_key: BTreeMap<QueueKey, Latency>,
}

impl Latencies {
    /// Returns the response times measured for a lane.
    #[must_use]
    pub fn get(&self, key: &QueueKey) -> Latency {
        self.by_key.get(key).copied().unwrap_or_default()
    }

    /// Records the time to the first byte of a response.
    pub fn record_first_byte(&mut self, key: &QueueKey, elapsed: Duration) {
        let latency = self.latency_mut(key);
        latency.first_byte = Some(mean(latency.first_byte, elapsed));
    }

    /// Records the time to the end of a response.
    pub fn record_response(&mut self, key: &QueueKey, elapsed: Duration) {
        let latency = self.latency_mut(key);
        latency.full_response = Some(mean(latency.full_response, elapsed));
    }

    /// Returns the mutable response times of a lane.
    fn latency_mut(&mut self, key: &QueueKey) -> &mut Latency {
        if !self.by_key.contains_key(key) {
            self.by_key.insert(key.clone(), Latency::default());
        }
        self.by_key.entry(key.clone()).or_default()
    }
}

/// Returns the moving average with one more measurement.
fn mean(known: Option<f64>, elapsed: Duration) -> f64 {
    let elapsed = elapsed.as_secs_f64();
    known.map_or(elapsed, |known| known + MEAN_GAIN * (elapsed - known))
}

/// The current and expected capacity for a lane.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Supply {
    /// Number of requests that this host may have in flight on ready replicas.
    pub slots: u32,
    /// When the next loading replica is expected to be ready, if there is one.
    pub ready_at: Option<Time>,
    /// Minimum time to load a new replica.
    pub load_time: Duration,
}

/// Returns the earliest time at which a request with `ahead` others before it can start.
///
/// This is a lower bound: a request is refused early only if it could not even start by then.
///
/// ```
/// use cornelhitch_entry::estimate::{Latency, Supply, earliest_start};
/// use std::time::Duration;
///
/// let supply = Supply { slots: 0, ready_at: Some(Duration::from_secs(9)), load_time: Duration::ZERO };
/// assert_eq!(earliest_start(supply, Latency::default(), 4, Duration::from_secs(2)), Duration::from_secs(9));
/// ```
#[must_use]
pub fn earliest_start(supply: Supply, latency: Latency, ahead: usize, now: Time) -> Time {
    if supply.slots == 0 {
        let ready = supply.ready_at.unwrap_or(now + supply.load_time);
        return ready.max(now);
    }
    let full_response = latency.full_response.unwrap_or(0.0);
    let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
    let rounds = f64::from(ahead) / f64::from(supply.slots);
    now + Duration::from_secs_f64(rounds * full_response)
}
