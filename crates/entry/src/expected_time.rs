//! Chooses the target at which a response is expected to begin first.
//!
//! The cost of a candidate is the expected time to the first byte in milliseconds: network distance,
//! prompt tokens that the target has to process before and for this request, and a share of the
//! other requests there, all at the target's current pace; less what an idle connection saves.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::affinity::BLOCK_TOKENS;
use crate::route::{Candidate, Router};

/// Round-trip time to another zone of the region, in milliseconds, if the settings give none.
pub const OTHER_ZONE_MS: f64 = 3.0;

/// Round-trip time to another region, in milliseconds, if the settings give none.
pub const OTHER_REGION_MS: f64 = 60.0;

/// Candidates whose cost is within this factor of the lowest one are equally good. Without it, all
/// hosts that hold the same information choose the same target.
const NEAR_FACTOR: f64 = 1.03;

/// Candidates whose cost is within this many milliseconds of the lowest one are equally good.
const NEAR_MS: f64 = 5.0;

/// What is known of a target's work when a request is routed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Work {
    /// Prompt tokens of other requests that the target has to process first.
    pub tokens_ahead: f64,
    /// Number of requests in flight there, from all hosts as far as known.
    pub requests: f64,
    /// How long work takes there, relative to the usual time.
    pub pace: f64,
    /// Number of prompt tokens of the request.
    pub prompt_tokens: f64,
    /// Time to process one prompt token at the usual pace, in milliseconds.
    pub ms_per_token: f64,
    /// Expected time to the first byte of a response without prompt and without other work, in
    /// milliseconds at the usual pace.
    pub base_ms: f64,
    /// Share of the time for which the target has prompts to process, below 1.
    pub busy: f64,
}

impl Default for Work {
    /// Returns an idle target and a request without a prompt.
    fn default() -> Self {
        Self {
            tokens_ahead: 0.0,
            requests: 0.0,
            pace: 1.0,
            prompt_tokens: 0.0,
            ms_per_token: 0.0,
            base_ms: 0.0,
            busy: 0.0,
        }
    }
}

/// Returns the prompt tokens that a candidate has to process for the request.
#[must_use]
pub fn uncached_tokens(candidate: &Candidate) -> f64 {
    let cached = candidate.cached * BLOCK_TOKENS;
    (candidate.work.prompt_tokens - cached).max(0.0)
}

/// Returns the cost of a candidate in milliseconds: the expected time to the first byte, and the delay
/// of other requests. `response_ms` is the mean time for which a request occupies a slot.
///
/// Each millisecond of processing delays the requests that come while the target is busy: in a queue
/// with random arrivals, `busy / (1 - busy)` of them, where `busy` is the share of time for which the
/// target is busy. So a busy target gets less work even if it is idle at the moment, and work that
/// a cache saves weighs more where it is scarce.
#[must_use]
pub fn cost_ms(response_ms: f64, candidate: &Candidate) -> f64 {
    let work = &candidate.work;
    let slots = f64::from(candidate.capacity.max(1));
    let own_weight = 1.0 / (1.0 - work.busy);
    let tokens = work.tokens_ahead + own_weight * uncached_tokens(candidate);
    let crowding = (work.requests / slots).powi(4) * response_ms;
    let over = (work.requests + 1.0 - slots).max(0.0);
    let slot_wait = over / slots * response_ms;
    let at_target = work.base_ms + tokens * work.ms_per_token + crowding + slot_wait;
    candidate.distance_ms + work.pace * at_target - candidate.saving_ms
}

/// A router that chooses at random among the candidates with nearly the lowest expected time. If this
/// host has idle connections to some of them, it takes the cheaper of two of these: the few targets
/// that a host has connections to would get more than their share if it drew one alone.
pub struct ExpectedTimeRouter {
    random: SmallRng,
    /// Expected times of the candidates, kept to reuse the memory.
    costs: Vec<f64>,
    /// Candidates with nearly the lowest expected time, kept to reuse the memory.
    near: Vec<usize>,
}

impl ExpectedTimeRouter {
    /// Creates a router with this seed.
    ///
    /// ```
    /// use cornelhitch_entry::expected_time::ExpectedTimeRouter;
    /// use cornelhitch_entry::route::Router;
    ///
    /// assert_eq!(ExpectedTimeRouter::new(1).choose(10.0, &[]), None);
    /// ```
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            random: SmallRng::seed_from_u64(seed),
            costs: Vec::new(),
            near: Vec::new(),
        }
    }
}

impl Router for ExpectedTimeRouter {
    fn choose(&mut self, response_ms: f64, candidates: &[Candidate]) -> Option<usize> {
        self.costs.clear();
        let costs = candidates.iter();
        let costs = costs.map(|candidate| cost_ms(response_ms, candidate));
        self.costs.extend(costs);
        let lowest = self.costs.iter().copied().min_by(f64::total_cmp)?;
        let bound = (lowest * NEAR_FACTOR).max(lowest + NEAR_MS);
        let costs = &self.costs;
        self.near.clear();
        let near = (0..candidates.len()).filter(|index| costs[*index] <= bound);
        self.near.extend(near);
        let is_warm = |index: &usize| candidates[*index].saving_ms > 0.0;
        let any_warm = self.near.iter().any(is_warm);
        if any_warm {
            self.near.retain(is_warm);
        }
        let count = self.near.len().max(1);
        let drawn = self.near.get(self.random.random_range(0..count)).copied()?;
        if !any_warm {
            return Some(drawn);
        }
        let other = self.near.get(self.random.random_range(0..count)).copied()?;
        let is_cheaper = costs[other] < costs[drawn];
        Some(if is_cheaper { other } else { drawn })
    }
}
