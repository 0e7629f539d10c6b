//! A decayed histogram of idle gaps.
//!
//! Keeping and loading ahead by a histogram of idle times follows Shahrad et
//! al., "Serverless in the Wild" (USENIX ATC 2020), with a prior in place of
//! their fall-back for functions with few calls.

use std::time::Duration;

/// Gaps below this belong to one call.
pub const LEAST: Duration = Duration::from_secs(2);
/// Buckets; each is [`GROWTH`] times as wide as the one before.
const BUCKETS: usize = 36;
/// The growth of the buckets.
const GROWTH: f64 = std::f64::consts::SQRT_2;
/// How much a new gap weakens those before it.
const DECAY: f64 = 0.98;
/// The weight of the prior, in gaps.
const PRIOR: f64 = 1.0;

/// A decayed histogram of idle gaps.
#[derive(Debug, Clone, PartialEq)]
pub struct Gaps {
    counts: [f64; BUCKETS],
    /// Gaps seen, decayed.
    pub weight: f64,
}

impl Default for Gaps {
    fn default() -> Self {
        Self {
            counts: [0.0; BUCKETS],
            weight: 0.0,
        }
    }
}

/// One bucket with its share of the gaps.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bucket {
    /// Where it begins, in seconds.
    pub from: f64,
    /// Where it ends, in seconds.
    pub to: f64,
    /// Its share of the gaps, not normalised.
    pub share: f64,
}

impl Gaps {
    /// Adds a gap; a gap below [`LEAST`] is none, and false is returned.
    pub fn add(&mut self, gap: Duration) -> bool {
        if gap < LEAST {
            return false;
        }
        for count in &mut self.counts {
            *count *= DECAY;
        }
        self.counts[bucket(gap)] += 1.0;
        self.weight = self.weight * DECAY + 1.0;
        true
    }

    /// The buckets that are not over after an idle time, with the prior counted in.
    pub fn after(&self, idle: Duration) -> impl Iterator<Item = Bucket> + '_ {
        let idle = idle.as_secs_f64();
        let prior = PRIOR / f64::from(u32::try_from(BUCKETS).unwrap_or(u32::MAX));
        let mut from = LEAST.as_secs_f64();
        self.counts.iter().filter_map(move |count| {
            let to = from * GROWTH;
            let whole = Bucket {
                from,
                to,
                share: count + prior,
            };
            from = to;
            whole.rest(idle)
        })
    }

    /// How soon the next call is expected, given the idle time so far: 1 for at
    /// once, one half for after the horizon, towards 0 for much later.
    #[must_use]
    pub fn soon(&self, idle: Duration, horizon: Duration) -> f64 {
        let horizon = horizon.as_secs_f64();
        let mut all = 0.0;
        let mut soon = 0.0;
        for bucket in self.after(idle) {
            let left = bucket.middle() - idle.as_secs_f64();
            all += bucket.share;
            soon += bucket.share * horizon / (horizon + left.max(0.0));
        }
        if all > 0.0 { soon / all } else { 0.0 }
    }
}

impl Bucket {
    /// What is left of a bucket after an idle time.
    fn rest(self, idle: f64) -> Option<Self> {
        if idle <= self.from {
            return Some(self);
        }
        if idle >= self.to {
            return None;
        }
        let left = (self.to - idle) / (self.to - self.from);
        Some(Self {
            from: idle,
            to: self.to,
            share: self.share * left,
        })
    }

    /// The middle of the bucket.
    #[must_use]
    pub fn middle(&self) -> f64 {
        f64::midpoint(self.from, self.to)
    }
}

/// The bucket of a gap.
fn bucket(gap: Duration) -> usize {
    let mut to = LEAST.as_secs_f64() * GROWTH;
    let gap = gap.as_secs_f64();
    for index in 0..BUCKETS - 1 {
        if gap < to {
            return index;
        }
        to *= GROWTH;
    }
    BUCKETS - 1
}
