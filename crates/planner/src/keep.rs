//! How long an idle replica is kept, and what it costs to push it out.

use std::time::Duration;

use cornelhitch_settings::fleet::{Keeping, Rules};

use crate::history::History;
use crate::number::time;

/// Accelerator seconds that a cold start of [`TYPICAL`] is worth, a second and request.
const EXCHANGE: f64 = 1.3;
/// A cold start in the middle of the range, in seconds.
const TYPICAL: f64 = 5.0;
/// How much a cold start of twice the length costs more, as a power of two.
///
/// Above 1, since the tail is what counts: a long cold start is worse than two
/// of half its length.
const TAIL: i32 = 4;
/// How strongly the declared weights act on the price: their ratio to this power.
const WEIGHT: i32 = 2;

/// Gaps that must have been seen before a model is loaded ahead.
const KNOWN: f64 = 3.0;
/// A model is loaded ahead where that costs less than this share of a cold start.
const GAIN: f64 = 0.7;

/// A call this far away counts half of one that comes at once.
const HORIZON: Duration = Duration::from_mins(1);

/// What decides on one idle replica.
#[derive(Debug, Clone, Copy)]
pub struct Facts<'a> {
    /// The calls of its model.
    pub history: &'a History,
    /// How long its next cold start would take.
    pub cold: Duration,
    /// Accelerators that it holds.
    pub accelerators: u32,
    /// How long it has been idle.
    pub idle: Duration,
    /// The weights.
    pub keeping: &'a Keeping,
    /// The rules of its model.
    pub rules: Rules,
}

/// How long an idle replica is kept from now, with the figures that decided.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Verdict {
    /// For how long it is kept from now, if no call comes; zero to unload it now.
    pub keep: Duration,
    /// The chance that a call comes in that time.
    pub chance: f64,
    /// What that costs, as a share of what it costs not to hold it.
    pub cost: f64,
}

impl Verdict {
    /// To keep a replica for a time that no cost decides.
    #[must_use]
    pub fn fixed(keep: Duration) -> Self {
        Self {
            keep,
            chance: 0.0,
            cost: 1.0,
        }
    }
}

/// A policy of keeping.
pub trait Keep: Send {
    /// How long an idle replica is kept from now.
    fn verdict(&self, facts: &Facts) -> Verdict;

    /// Whether a model that is not loaded is worth loading before its next call.
    fn ahead(&self, facts: &Facts) -> bool {
        let _ = facts;
        false
    }

    /// What it costs to push it out for a waiting request, in time to be ready.
    fn price(&self, facts: &Facts) -> Option<Duration>;

    /// How long a replica is kept idle that others can stand in for, or none for ever.
    fn surplus(&self) -> Option<Duration>;
}

/// How long a replica that others can stand in for is kept idle.
const SURPLUS: Duration = Duration::from_secs(30);

/// Keeps a replica while its next cold start costs more than its accelerators.
#[derive(Debug, Clone, Copy, Default)]
pub struct Weighed;

impl Keep for Weighed {
    fn verdict(&self, facts: &Facts) -> Verdict {
        if facts.idle >= facts.rules.maximum {
            return Verdict::fixed(Duration::ZERO);
        }
        cheapest(facts)
    }

    fn ahead(&self, facts: &Facts) -> bool {
        let idle = facts.idle;
        if facts.history.gaps.weight < KNOWN || idle >= facts.rules.maximum {
            return false;
        }
        cheapest(facts).cost < GAIN
    }

    fn price(&self, facts: &Facts) -> Option<Duration> {
        let soon = facts.history.gaps.soon(facts.idle, HORIZON);
        let seconds = facts.cold.as_secs_f64() * soon * facts.history.hurt();
        Some(time(seconds))
    }

    fn surplus(&self) -> Option<Duration> {
        Some(SURPLUS)
    }
}

/// What the next cold start costs, in seconds of waiting of typical ones.
fn pain(facts: &Facts) -> f64 {
    let ratio = facts.cold.as_secs_f64() / TYPICAL;
    TYPICAL * ratio.powi(TAIL) * facts.history.hurt()
}

/// The time to keep a replica for which its expected cost is least.
///
/// Keeping it for `d` costs the accelerators until the next call or `d`, and a
/// cold start if the call comes after `d`.
fn cheapest(facts: &Facts) -> Verdict {
    let idle_price = facts.keeping.idle_weight.powi(WEIGHT) * f64::from(facts.accelerators);
    let cold_price = facts.keeping.cold_start_weight.powi(WEIGHT) * EXCHANGE * pain(facts);
    let idle = facts.idle.as_secs_f64();
    let last = facts.rules.maximum.as_secs_f64();
    let all: f64 = facts.history.gaps.after(facts.idle).map(|b| b.share).sum();
    let mut best = (cold_price * all, Duration::ZERO, 0.0);
    let mut waited = 0.0;
    let mut come = 0.0;
    for bucket in facts.history.gaps.after(facts.idle) {
        if bucket.from >= last {
            break;
        }
        waited += bucket.share * (bucket.middle() - idle);
        come += bucket.share;
        let left = all - come;
        let until = bucket.to.min(last) - idle;
        let cost = idle_price * (waited + left * until) + cold_price * left;
        if cost < best.0 {
            best = (cost, time(until), come / all);
        }
    }
    Verdict {
        keep: best.1,
        chance: best.2,
        cost: best.0 / (cold_price * all).max(f64::EPSILON),
    }
}
