//! Keep-alive: how long idle replicas are kept, and what it costs to evict them.

use std::time::Duration;

use cornelhitch_settings::fleet::{Keeping, Rules};

use crate::convert::duration_from_secs;
use crate::history::RequestHistory;

/// Accelerator seconds that one second of a [`TYPICAL_COLD_START_S`] cold start is worth for each
/// request that it delays.
const COLD_START_PRICE: f64 = 1.3;
/// A cold start in the middle of the usual range, in seconds.
const TYPICAL_COLD_START_S: f64 = 5.0;
/// Exponent by which the cost of a cold start grows with its length.
///
/// Above 1, since tail latency is what counts: one long cold start is worse than two of half its
/// length.
const COLD_START_EXPONENT: i32 = 4;
/// Exponent applied to the declared weights, which sets how strongly their ratio acts.
const WEIGHT_EXPONENT: i32 = 2;

/// Recorded gaps needed before a model is preloaded.
const MIN_GAPS_FOR_PRELOAD: f64 = 3.0;
/// A model is preloaded if the expected cost of keeping it is below this share of a cold start.
const MAX_PRELOAD_COST: f64 = 0.7;

/// A request this far in the future counts half as much as an immediate one.
const PROXIMITY_HORIZON: Duration = Duration::from_mins(1);

/// The inputs of a keep-alive decision on one model or idle replica.
#[derive(Debug, Clone, Copy)]
pub struct KeepAliveInputs<'a> {
    /// The request statistics of the model.
    pub history: &'a RequestHistory,
    /// The expected duration of the next cold start.
    pub cold_start: Duration,
    /// The number of accelerators that a replica occupies.
    pub accelerators: u32,
    /// The idle time so far.
    pub idle: Duration,
    /// The declared weights of cold starts and idle time.
    pub keeping: &'a Keeping,
    /// The rules of the model.
    pub rules: Rules,
}

/// How long an idle replica is kept from now, and the figures behind it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KeepAlive {
    /// How long it is kept from now if no request arrives; zero means unload now.
    pub keep: Duration,
    /// The probability that a request arrives within that time.
    pub call_probability: f64,
    /// The expected cost of keeping it, relative to not holding it.
    pub cost: f64,
}

impl KeepAlive {
    /// Returns a keep-alive time that does not follow from costs.
    #[must_use]
    pub fn fixed(keep: Duration) -> Self {
        Self {
            keep,
            call_probability: 0.0,
            cost: 1.0,
        }
    }
}

/// Decides how long idle replicas are kept.
pub trait KeepAlivePolicy: Send {
    /// Returns how long an idle replica is kept from now.
    fn decide(&self, inputs: &KeepAliveInputs) -> KeepAlive;

    /// Returns whether a model without a replica is worth loading before its next request.
    fn should_preload(&self, inputs: &KeepAliveInputs) -> bool {
        let _ = inputs;
        false
    }

    /// Returns the cost of evicting the replica for a waiting request, as an equivalent delay;
    /// `None` if it must not be evicted.
    fn eviction_cost(&self, inputs: &KeepAliveInputs) -> Option<Duration>;

    /// Returns the idle time after which a replica is unloaded although others of its model are
    /// ready to serve; `None` if it is kept.
    fn surplus_timeout(&self) -> Option<Duration>;
}

/// Idle time after which a replica is unloaded if another one can serve its requests.
const SURPLUS_TIMEOUT: Duration = Duration::from_secs(30);

/// Keeps a replica for as long as that is cheaper than the expected cold start.
#[derive(Debug, Clone, Copy, Default)]
pub struct CostBased;

impl KeepAlivePolicy for CostBased {
    fn decide(&self, inputs: &KeepAliveInputs) -> KeepAlive {
        if inputs.idle >= inputs.rules.maximum {
            return KeepAlive::fixed(Duration::ZERO);
        }
        cheapest(inputs)
    }

    fn should_preload(&self, inputs: &KeepAliveInputs) -> bool {
        let idle = inputs.idle;
        if inputs.history.gaps.weight < MIN_GAPS_FOR_PRELOAD || idle >= inputs.rules.maximum {
            return false;
        }
        cheapest(inputs).cost < MAX_PRELOAD_COST
    }

    fn eviction_cost(&self, inputs: &KeepAliveInputs) -> Option<Duration> {
        let soon = inputs
            .history
            .gaps
            .proximity(inputs.idle, PROXIMITY_HORIZON);
        let seconds = inputs.cold_start.as_secs_f64() * soon * inputs.history.delayed_requests();
        Some(duration_from_secs(seconds))
    }

    fn surplus_timeout(&self) -> Option<Duration> {
        Some(SURPLUS_TIMEOUT)
    }
}

/// Returns the cost of the next cold start, in seconds of a typical one.
fn cold_start_cost(inputs: &KeepAliveInputs) -> f64 {
    let ratio = inputs.cold_start.as_secs_f64() / TYPICAL_COLD_START_S;
    TYPICAL_COLD_START_S * ratio.powi(COLD_START_EXPONENT) * inputs.history.delayed_requests()
}

/// Returns the keep-alive time with the least expected cost.
///
/// Keeping a replica for `d` occupies the accelerators until the next request or for `d`,
/// whichever is shorter, and costs a cold start if the request arrives after `d`.
fn cheapest(inputs: &KeepAliveInputs) -> KeepAlive {
    let idle_price =
        inputs.keeping.idle_weight.powi(WEIGHT_EXPONENT) * f64::from(inputs.accelerators);
    let cold_price = inputs.keeping.cold_start_weight.powi(WEIGHT_EXPONENT)
        * COLD_START_PRICE
        * cold_start_cost(inputs);
    let idle = inputs.idle.as_secs_f64();
    let max_idle = inputs.rules.maximum.as_secs_f64();
    let total_share: f64 = inputs
        .history
        .gaps
        .after(inputs.idle)
        .map(|b| b.share)
        .sum();
    let mut best = (cold_price * total_share, Duration::ZERO, 0.0);
    let mut expected_idle = 0.0;
    let mut called_share = 0.0;
    for bucket in inputs.history.gaps.after(inputs.idle) {
        if bucket.from >= max_idle {
            break;
        }
        expected_idle += bucket.share * (bucket.midpoint() - idle);
        called_share += bucket.share;
        let share_left = total_share - called_share;
        let until = bucket.to.min(max_idle) - idle;
        let cost = idle_price * (expected_idle + share_left * until) + cold_price * share_left;
        if cost < best.0 {
            best = (cost, duration_from_secs(until), called_share / total_share);
        }
    }
    KeepAlive {
        keep: best.1,
        call_probability: best.2,
        cost: best.0 / (cold_price * total_share).max(f64::EPSILON),
    }
}
