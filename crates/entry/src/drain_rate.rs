//! How fast the waiting requests of teams are served, as this host observes it.
//!
//! Other hosts send to the same targets, and other teams' requests that arrive later may go before,
//! so that the slots of the targets and the length of the queue say little about how soon a request
//! is sent. The time between two sends of a team while others of its requests wait says it directly.

use std::collections::HashMap;
use std::time::Duration;

use cornelhitch_types::id::Time;

use crate::queue::Group;

/// Weight of a new measurement in the moving average.
const MEAN_GAIN: f64 = 0.1;

/// Time after which a measurement is no longer used: the shortest deadline of requests with long
/// prompts. What a group was sent longer ago says nothing of the load now.
const MAX_AGE: Duration = Duration::from_secs(5);

/// What was observed of one group.
#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    /// The last send.
    last: Time,
    /// Whether requests still waited after it.
    backlogged: bool,
    /// Mean time between two sends while requests waited, in seconds.
    interval: Option<f64>,
}

/// The observed service of groups.
#[derive(Debug, Default)]
pub struct DrainRates {
    groups: HashMap<Group, Rate>,
}

impl DrainRates {
    /// Records a send from a group of which `left` requests still wait.
    pub fn record_send(&mut self, group: Group, left: usize, now: Time) {
        if left == 0 && !self.groups.contains_key(&group) {
            return;
        }
        let rate = self.groups.entry(group).or_default();
        if rate.backlogged {
            let elapsed = now.saturating_sub(rate.last).as_secs_f64();
            let mean = rate.interval.unwrap_or(elapsed);
            rate.interval = Some(mean + MEAN_GAIN * (elapsed - mean));
        }
        rate.last = now;
        rate.backlogged = left > 0;
    }

    /// Returns the expected wait of a request with `ahead` others of its group before it; zero if nothing was
    /// observed lately.
    ///
    /// ```
    /// use std::time::Duration;
    /// use cornelhitch_entry::drain_rate::DrainRates;
    /// use cornelhitch_entry::queue::{Group, QueueKey};
    ///
    /// let group = Group { key: QueueKey::Service("bids".into()), weight: 1, team: 7 };
    /// let mut rates = DrainRates::default();
    /// for ms in [100, 125, 150] {
    ///     rates.record_send(group.clone(), 8, Duration::from_millis(ms));
    /// }
    /// let wait = rates.wait(&group, 8, Duration::from_millis(150));
    /// assert_eq!(wait.as_millis(), 200);
    /// ```
    #[must_use]
    pub fn wait(&self, group: &Group, ahead: usize, now: Time) -> Duration {
        let rate = self.groups.get(group);
        let rate = rate.filter(|rate| now.saturating_sub(rate.last) < MAX_AGE);
        let interval = rate.and_then(|rate| rate.interval).unwrap_or(0.0);
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        Duration::from_secs_f64(interval * f64::from(ahead))
    }

    /// Forgets groups that were not observed lately.
    pub fn expire(&mut self, now: Time) {
        self.groups
            .retain(|_, rate| now.saturating_sub(rate.last) < MAX_AGE);
    }
}
