//! Which replica a request goes to.
//!
//! Every part gives its cost in milliseconds of expected delay, so that parts
//! can be added up and each can be left out. Two candidates are drawn at
//! random, the one with the most of the prompt and the nearest one join them,
//! and the cheapest of these is taken (the power of two choices, Mitzenmacher
//! 2001): taking the best of all would send every host to the same replica
//! while reports lag.

use std::net::SocketAddr;

use cornelhitch_types::id::{Incarnation, RegionId, ReplicaId, TargetId, Time, ZoneId};
use rand::rngs::SmallRng;
use rand::seq::index::sample;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

/// Where a request runs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Place {
    /// The target.
    pub target: TargetId,
    /// The replica, for a model.
    pub replica: Option<ReplicaId>,
}

/// A place that could take the request now.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Where.
    pub place: Place,
    /// The life of the target.
    pub incarnation: Incarnation,
    /// Where the target takes requests.
    pub address: SocketAddr,
    /// Its region.
    pub region: RegionId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// This host's requests in progress there.
    pub own: u32,
    /// Requests of other hosts, as the last report shows.
    pub others: u32,
    /// The age of that report.
    pub age: Time,
    /// Requests that it answers at once.
    pub capacity: u32,
    /// Blocks of the prompt that it is believed to hold.
    pub cached: f64,
    /// The way there and back in milliseconds.
    pub distance_ms: f64,
    /// The price of the request's bytes there.
    pub price: f64,
}

/// What a part may look at besides the candidate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ask {
    /// How long an answer takes, in milliseconds.
    pub whole_ms: f64,
    /// The mean of the candidates' reported part of requests.
    pub mean: f64,
}

/// One part of a candidate's cost.
pub trait Part: Send {
    /// Its cost in milliseconds; less is better.
    fn cost(&self, ask: &Ask, candidate: &Candidate) -> f64;
}

/// Chooses among candidates.
pub trait Router: Send {
    /// The index of the chosen candidate; none only if there is none.
    fn choose(&mut self, whole_ms: f64, candidates: &[Candidate]) -> Option<usize>;
}

/// Requests in progress: this host's own now, and the reported others, believed less with age.
///
/// The cost grows with the fourth power of the used part: a batching engine hardly notices one
/// more while it has room, and that is not worth a way to another region.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// The age at which a report is worth half, as a part of the time that an answer takes: by
    /// then as much of what it counted has ended. What is missing is filled by the mean.
    pub half: f64,
}

impl Part for Load {
    fn cost(&self, ask: &Ask, candidate: &Candidate) -> f64 {
        let capacity = f64::from(candidate.capacity.max(1));
        let half = (ask.whole_ms * self.half).max(1.0);
        let trust = 0.5_f64.powf(candidate.age.as_secs_f64() * 1_000.0 / half);
        let others = f64::from(candidate.others) / capacity;
        let believed = ask.mean + (others - ask.mean) * trust;
        let used = f64::from(candidate.own) / capacity + believed;
        used.powi(4) * ask.whole_ms
    }
}

/// The part of the prompt that need not be read again.
#[derive(Debug, Clone, Copy)]
pub struct Prefix {
    /// Time to read one block, in milliseconds.
    pub block_ms: f64,
}

impl Part for Prefix {
    fn cost(&self, _: &Ask, candidate: &Candidate) -> f64 {
        -candidate.cached * self.block_ms
    }
}

/// The way to the target, and what its bytes cost.
#[derive(Debug, Clone, Copy)]
pub struct Locality {
    /// Milliseconds of delay that one unit of the currency is worth.
    pub ms_per_price: f64,
}

impl Part for Locality {
    fn cost(&self, _: &Ask, candidate: &Candidate) -> f64 {
        candidate.distance_ms + candidate.price * self.ms_per_price
    }
}

/// The usual router.
pub struct TwoChoices {
    /// Where random choices come from.
    random: SmallRng,
    /// The parts of the cost.
    parts: Vec<Box<dyn Part>>,
    /// Candidates that are drawn.
    choices: usize,
}

impl TwoChoices {
    /// A router with the given parts.
    #[must_use]
    pub fn new(seed: u64, parts: Vec<Box<dyn Part>>) -> Self {
        Self {
            random: SmallRng::seed_from_u64(seed),
            parts,
            choices: 2,
        }
    }

    /// The same with another number of candidates that are drawn, at least one.
    #[must_use]
    pub fn draw(mut self, choices: usize) -> Self {
        self.choices = choices.max(1);
        self
    }

    /// A router with all parts.
    ///
    /// ```
    /// use cornelhitch_entry::route::{Router, TwoChoices};
    ///
    /// assert_eq!(TwoChoices::whole(1).choose(10.0, &[]), None);
    /// ```
    #[must_use]
    pub fn whole(seed: u64) -> Self {
        Self::new(
            seed,
            vec![
                Box::new(Load { half: 0.1 }),
                Box::new(Prefix { block_ms: 4.0 }),
                Box::new(Locality {
                    ms_per_price: 1_000_000.0,
                }),
            ],
        )
    }

    /// The cost of one candidate.
    fn cost(&self, ask: &Ask, candidate: &Candidate) -> f64 {
        let costs = self.parts.iter().map(|part| part.cost(ask, candidate));
        costs.sum()
    }

    /// The candidates to compare.
    fn drawn(&mut self, candidates: &[Candidate]) -> Vec<usize> {
        let count = candidates.len();
        let mut drawn = sample(&mut self.random, count, self.choices.min(count)).into_vec();
        drawn.extend(best(candidates, |candidate| -candidate.cached));
        drawn.extend(best(candidates, |candidate| candidate.distance_ms));
        drawn
    }
}

/// The index of the candidate with the smallest figure, if they differ.
fn best(candidates: &[Candidate], figure: impl Fn(&Candidate) -> f64) -> Option<usize> {
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

impl Router for TwoChoices {
    fn choose(&mut self, whole_ms: f64, candidates: &[Candidate]) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let parts = candidates
            .iter()
            .map(|candidate| f64::from(candidate.others) / f64::from(candidate.capacity.max(1)));
        let count = u32::try_from(candidates.len()).unwrap_or(u32::MAX);
        let mean = parts.sum::<f64>() / f64::from(count);
        let ask = Ask { whole_ms, mean };
        let drawn = self.drawn(candidates);
        let cost = |index: &usize| self.cost(&ask, &candidates[*index]);
        let order = |a: &usize, b: &usize| cost(a).total_cmp(&cost(b));
        drawn.into_iter().min_by(order)
    }
}

/// A router that looks at nothing, to measure the others against.
pub struct Random(SmallRng);

impl Random {
    /// A router that looks at nothing.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self(SmallRng::seed_from_u64(seed))
    }
}

impl Router for Random {
    fn choose(&mut self, _: f64, candidates: &[Candidate]) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        Some(self.0.random_range(0..candidates.len()))
    }
}
