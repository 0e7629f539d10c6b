//! A moving average of a team's demand at this host, and how much to hold ahead of it.

use std::time::Duration;

use cornelhitch_types::id::Time;
use serde::Serialize;

/// The time constant of the moving averages.
const AVERAGING_TIME: Duration = Duration::from_secs(2);

/// For how long a host holds allowances ahead: the interval between reports and a round trip between
/// regions, with room for a burst.
const HORIZON: Duration = Duration::from_millis(400);

/// The time within which a request is expected at least if a host holds allowances for one: a question
/// to the leader takes a round trip between regions, which short objectives have no room for.
const SINGLE_REQUEST_HORIZON: Duration = Duration::from_secs(2);

/// The part of the averages by which the request that is held ahead may exceed the mean.
const SINGLE_REQUEST_MARGIN: f64 = 1.5;

/// How long requests that state no token counts are expected after the last one.
const PLAIN_TIME: Duration = Duration::from_secs(10);

/// Number of requests without token counts that a host holds allowances for while it expects some:
/// their objectives are too short for a question to another region.
const PLAIN_REQUESTS: u64 = 2;

/// A team's demand at this host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub(super) struct Demand {
    /// Units per second.
    units: f64,
    /// Requests per second.
    requests: f64,
    updated: Time,
    /// The last request without token counts, and what it cost.
    plain: Option<(Time, u64)>,
}

impl Demand {
    /// Records a request.
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn record(&mut self, cost: u64, plain: bool, now: Time) {
        let kept = self.kept(now);
        let share = 1.0 / AVERAGING_TIME.as_secs_f64();
        self.units = self.units * kept + cost as f64 * share;
        self.requests = self.requests * kept + share;
        self.updated = self.updated.max(now);
        if plain {
            self.plain = Some((now, cost));
        }
    }

    /// Returns how many units to hold ahead of demand: what is expected within [`HORIZON`] if that is
    /// a request at least, else one request if one is expected within [`SINGLE_REQUEST_HORIZON`], and a few
    /// requests without token counts.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub(super) fn ahead(&self, now: Time) -> u64 {
        let kept = self.kept(now);
        let horizon = HORIZON.as_secs_f64() * kept;
        let expected = if self.requests * horizon >= 1.0 {
            (self.units * horizon) as u64
        } else if self.requests * kept * SINGLE_REQUEST_HORIZON.as_secs_f64() >= 1.0 {
            (self.units / self.requests * SINGLE_REQUEST_MARGIN) as u64
        } else {
            0
        };
        let plain = self
            .plain
            .filter(|(last, _)| now <= *last + PLAIN_TIME)
            .map_or(0, |(_, cost)| cost.saturating_mul(PLAIN_REQUESTS));
        expected.max(plain)
    }

    /// Returns the part of the averages that is left at a time.
    fn kept(&self, now: Time) -> f64 {
        let elapsed = now.saturating_sub(self.updated);
        (-elapsed.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp()
    }
}
