//! Chooses the replica for a request.
//!
//! Each cost term estimates a part of the expected delay in milliseconds, so that terms can be
//! added up, and each can be left out. The router samples two candidates at random, adds the one
//! with the longest cached prefix and the nearest one, and takes the cheapest of these (power of
//! two choices, Mitzenmacher 2001). Taking the cheapest of all candidates would send every host to the
//! same replica while load reports lag.

use std::net::SocketAddr;

use cornelhitch_settings::process::Routing;
use cornelhitch_types::id::{Incarnation, RegionId, ReplicaId, TargetId, Time, ZoneId};
use rand::rngs::SmallRng;
use rand::seq::index::sample;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::expected_time::{ExpectedTimeRouter, Work};

/// Where a request runs: a target and, for a model, one of its replicas.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Place {
    /// The target that runs the request.
    pub target: TargetId,
    /// The replica, or `None` for a service.
    pub replica: Option<ReplicaId>,
}

/// A place that can accept the request now, with the inputs of its cost.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The place itself.
    pub place: Place,
    /// The incarnation of the target.
    pub incarnation: Incarnation,
    /// The address at which the target accepts requests.
    pub address: SocketAddr,
    /// The target's region.
    pub region: RegionId,
    /// The target's availability zone.
    pub zone: ZoneId,
    /// Number of this host's requests in flight there.
    pub own: u32,
    /// Number of other hosts' requests there, according to the last load report.
    pub others: u32,
    /// The age of that report.
    pub age: Time,
    /// Number of requests that it serves concurrently.
    pub capacity: u32,
    /// Expected number of blocks of the prompt in its prefix cache.
    pub cached: f64,
    /// Round-trip time in milliseconds.
    pub distance_ms: f64,
    /// Network price of the request's bytes.
    pub price: f64,
    /// What is known of the target's work; only set for expected-time routing.
    pub work: Work,
    /// Time saved by an idle connection to the target, in milliseconds; 0 if a connection has to be
    /// opened. Only set for expected-time routing.
    pub saving_ms: f64,
}

/// The inputs of a cost term besides the candidate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CostContext {
    /// Mean duration of a response in milliseconds.
    pub response_ms: f64,
    /// Mean of the candidates' reported load, as a fraction of capacity.
    pub mean_load: f64,
}

/// One term of a candidate's cost.
pub trait CostTerm: Send {
    /// Returns the cost in milliseconds; lower is better.
    fn cost(&self, context: &CostContext, candidate: &Candidate) -> f64;
}

/// Chooses one of several candidates.
pub trait Router: Send {
    /// Returns the index of the chosen candidate, or `None` if there are no candidates.
    /// `response_ms` is the mean duration of a response.
    fn choose(&mut self, response_ms: f64, candidates: &[Candidate]) -> Option<usize>;
}

/// Returns the router for a setting, with this seed.
#[must_use]
pub fn router(routing: Routing, seed: u64) -> Box<dyn Router> {
    match routing {
        Routing::Load | Routing::Auto => Box::new(TwoChoiceRouter::with_all_costs(seed)),
        Routing::ExpectedTime => Box::new(ExpectedTimeRouter::new(seed)),
    }
}

/// The cost of load: this host's own in-flight requests, and the reported ones of other hosts,
/// whose weight decays with the age of the report.
///
/// The cost grows with the fourth power of the utilization: a batching engine hardly slows down
/// with one more request while it has free capacity, which would not justify the latency of another
/// region.
#[derive(Debug, Clone, Copy)]
pub struct LoadCost {
    /// Age at which a report has half its weight, as a fraction of the mean response time: by then,
    /// about that share of the requests it counted has ended. The rest of the weight goes to the
    /// mean of all candidates.
    pub half_life: f64,
}

impl CostTerm for LoadCost {
    fn cost(&self, context: &CostContext, candidate: &Candidate) -> f64 {
        let capacity = f64::from(candidate.capacity.max(1));
        let half_life = (context.response_ms * self.half_life).max(1.0);
        let trust = 0.5_f64.powf(candidate.age.as_secs_f64() * 1_000.0 / half_life);
        let others = f64::from(candidate.others) / capacity;
        let believed = context.mean_load + (others - context.mean_load) * trust;
        let used = f64::from(candidate.own) / capacity + believed;
        used.powi(4) * context.response_ms
    }
}

/// The saving from the part of the prompt that is already in the prefix cache.
#[derive(Debug, Clone, Copy)]
pub struct PrefixCost {
    /// Time to prefill one block, in milliseconds.
    pub block_ms: f64,
}

impl CostTerm for PrefixCost {
    fn cost(&self, _: &CostContext, candidate: &Candidate) -> f64 {
        -candidate.cached * self.block_ms
    }
}

/// The cost of the network: round-trip time and price of the bytes.
#[derive(Debug, Clone, Copy)]
pub struct LocalityCost {
    /// Delay in milliseconds that is worth one unit of the currency.
    pub ms_per_price: f64,
}

impl CostTerm for LocalityCost {
    fn cost(&self, _: &CostContext, candidate: &Candidate) -> f64 {
        candidate.distance_ms + candidate.price * self.ms_per_price
    }
}

/// The default router: samples some candidates and takes the cheapest.
pub struct TwoChoiceRouter {
    /// The source of the random samples.
    random: SmallRng,
    terms: Vec<Box<dyn CostTerm>>,
    /// Number of candidates sampled at random.
    samples: usize,
}

impl TwoChoiceRouter {
    /// Creates a router with the given cost terms, which samples two candidates.
    #[must_use]
    pub fn new(seed: u64, terms: Vec<Box<dyn CostTerm>>) -> Self {
        Self {
            random: SmallRng::seed_from_u64(seed),
            terms,
            samples: 2,
        }
    }

    /// Sets the number of candidates sampled at random, at least one.
    #[must_use]
    pub fn sample_size(mut self, samples: usize) -> Self {
        self.samples = samples.max(1);
        self
    }

    /// Creates a router with all cost terms.
    ///
    /// ```
    /// use cornelhitch_entry::route::{Router, TwoChoiceRouter};
    ///
    /// assert_eq!(TwoChoiceRouter::with_all_costs(1).choose(10.0, &[]), None);
    /// ```
    #[must_use]
    pub fn with_all_costs(seed: u64) -> Self {
        Self::new(
            seed,
            vec![
                Box::new(LoadCost { half_life: 0.1 }),
                Box::new(PrefixCost { block_ms: 4.0 }),
                Box::new(LocalityCost {
                    ms_per_price: 1_000_000.0,
                }),
            ],
        )
    }

    fn cost(&self, context: &CostContext, candidate: &Candidate) -> f64 {
        let costs = self.terms.iter().map(|term| term.cost(context, candidate));
        costs.sum()
    }

    /// Returns the indices of the candidates to compare, possibly with repeats.
    fn sample_candidates(&mut self, candidates: &[Candidate]) -> Vec<usize> {
        let count = candidates.len();
        let mut drawn = sample(&mut self.random, count, self.samples.min(count)).into_vec();
        drawn.extend(min_index(candidates, |candidate| -candidate.cached));
        drawn.extend(min_index(candidates, |candidate| candidate.distance_ms));
        drawn
    }
}

/// Returns the index of the candidate with the smallest `figure`, or `None` if it is the same for
/// all.
fn min_index(candidates: &[Candidate], figure: impl Fn(&Candidate) -> f64) -> Option<usize> {
    let first = figure(candidates.first()?);
    if candidates
        .iter()
        .all(|candidate| figure(candidate) >= first)
        && candidates
            .iter()
            .all(|candidate| figure(candidate) <= first)
    {
        return None;
    }
    let order = |a: &usize, b: &usize| figure(&candidates[*a]).total_cmp(&figure(&candidates[*b]));
    (0..candidates.len()).min_by(order)
}

impl Router for TwoChoiceRouter {
    fn choose(&mut self, response_ms: f64, candidates: &[Candidate]) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let terms = candidates
            .iter()
            .map(|candidate| f64::from(candidate.others) / f64::from(candidate.capacity.max(1)));
        let count = u32::try_from(candidates.len()).unwrap_or(u32::MAX);
        let mean_load = terms.sum::<f64>() / f64::from(count);
        let context = CostContext {
            response_ms,
            mean_load,
        };
        let drawn = self.sample_candidates(candidates);
        let cost = |index: &usize| self.cost(&context, &candidates[*index]);
        let order = |a: &usize, b: &usize| cost(a).total_cmp(&cost(b));
        drawn.into_iter().min_by(order)
    }
}

/// A router that chooses uniformly at random, as a baseline for measurements.
pub struct RandomRouter(SmallRng);

impl RandomRouter {
    /// Creates a router with this seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self(SmallRng::seed_from_u64(seed))
    }
}

impl Router for RandomRouter {
    fn choose(&mut self, _: f64, candidates: &[Candidate]) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        Some(self.0.random_range(0..candidates.len()))
    }
}
