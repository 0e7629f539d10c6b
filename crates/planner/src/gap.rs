//! A decayed histogram of idle gaps.
//!
//! Keeping and preloading by a histogram of idle times follows Shahrad et al.,
//! "Serverless in the Wild" (USENIX ATC 2020), with a prior in place of their
//! fallback for functions with few invocations.

use std::time::Duration;

/// Shorter gaps count as part of the same burst.
pub const MIN_GAP: Duration = Duration::from_secs(2);
/// Number of buckets; each is [`BUCKET_GROWTH`] times as wide as the one before.
const BUCKET_COUNT: usize = 36;
/// Ratio of the widths of adjacent buckets.
const BUCKET_GROWTH: f64 = std::f64::consts::SQRT_2;
/// Factor by which each new gap discounts the earlier ones.
const DECAY: f64 = 0.98;
/// Weight of the uniform prior, in gaps.
const PRIOR_WEIGHT: f64 = 1.0;

/// A decayed histogram of idle gaps.
#[derive(Debug, Clone, PartialEq)]
pub struct GapHistogram {
    counts: [f64; BUCKET_COUNT],
    /// The decayed number of recorded gaps.
    pub weight: f64,
}

impl Default for GapHistogram {
    fn default() -> Self {
        Self {
            counts: [0.0; BUCKET_COUNT],
            weight: 0.0,
        }
    }
}

/// A bucket and its share of the gaps.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bucket {
    /// Lower bound in seconds.
    pub from: f64,
    /// Upper bound in seconds.
    pub to: f64,
    /// Share of the gaps, not normalised.
    pub share: f64,
}

impl GapHistogram {
    /// Records a gap; returns false and records nothing if it is shorter than [`MIN_GAP`].
    pub fn add(&mut self, gap: Duration) -> bool {
        if gap < MIN_GAP {
            return false;
        }
        for count in &mut self.counts {
            *count *= DECAY;
        }
        self.counts[bucket_index(gap)] += 1.0;
        self.weight = self.weight * DECAY + 1.0;
        true
    }

    /// Returns the buckets, with the prior added, that a gap of at least `idle` can still fall into.
    pub fn after(&self, idle: Duration) -> impl Iterator<Item = Bucket> + '_ {
        let idle = idle.as_secs_f64();
        let prior = PRIOR_WEIGHT / f64::from(u32::try_from(BUCKET_COUNT).unwrap_or(u32::MAX));
        let mut from = MIN_GAP.as_secs_f64();
        self.counts.iter().filter_map(move |count| {
            let to = from * BUCKET_GROWTH;
            let bucket = Bucket {
                from,
                to,
                share: count + prior,
            };
            from = to;
            bucket.beyond(idle)
        })
    }

    /// Returns how soon the next request is expected after `idle`: 1 for immediately, one half for
    /// `horizon` from now, towards 0 for much later.
    #[must_use]
    pub fn proximity(&self, idle: Duration, horizon: Duration) -> f64 {
        let horizon = horizon.as_secs_f64();
        let mut all = 0.0;
        let mut soon = 0.0;
        for bucket in self.after(idle) {
            let time_left = bucket.midpoint() - idle.as_secs_f64();
            all += bucket.share;
            soon += bucket.share * horizon / (horizon + time_left.max(0.0));
        }
        if all > 0.0 { soon / all } else { 0.0 }
    }
}

impl Bucket {
    /// Returns the part of the bucket beyond an idle time in seconds, or `None` if there is none.
    fn beyond(self, idle: f64) -> Option<Self> {
        if idle <= self.from {
            return Some(self);
        }
        if idle >= self.to {
            return None;
        }
        let fraction_left = (self.to - idle) / (self.to - self.from);
        Some(Self {
            from: idle,
            to: self.to,
            share: self.share * fraction_left,
        })
    }

    /// Returns the midpoint in seconds.
    #[must_use]
    pub fn midpoint(&self) -> f64 {
        f64::midpoint(self.from, self.to)
    }
}

/// Returns the index of the bucket that a gap falls into.
fn bucket_index(gap: Duration) -> usize {
    let mut to = MIN_GAP.as_secs_f64() * BUCKET_GROWTH;
    let gap = gap.as_secs_f64();
    for index in 0..BUCKET_COUNT - 1 {
        if gap < to {
            return index;
        }
        to *= BUCKET_GROWTH;
    }
    BUCKET_COUNT - 1
}
