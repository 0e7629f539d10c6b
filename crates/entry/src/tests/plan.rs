//! Random plans for a simulation, as values that proptest can shrink.

use proptest::collection::vec;
use proptest::prelude::*;

/// The kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A model, with a streamed response.
    Stream,
    /// A model, with a response that is not streamed.
    Whole,
    /// A service call with an idempotency key; equal numbers stand for equal keys.
    Keyed(u8),
    /// A service call without a key that must not be repeated.
    Bare,
    /// A service call that may be repeated.
    Lookup,
    /// A request that takes down each target that runs it.
    Poison,
}

/// A planned request.
#[derive(Debug, Clone, Copy)]
pub struct PlannedRequest {
    /// Time of arrival in milliseconds.
    pub at: u64,
    /// The core that it arrives at.
    pub core: usize,
    /// The kind of the request.
    pub kind: Kind,
    /// Its deadline in milliseconds.
    pub deadline: u64,
    /// Whether it is in the class with the higher weight.
    pub urgent: bool,
    /// The number of its caller.
    pub caller: u8,
    /// When its caller disconnects, in milliseconds after the arrival; `None` if it does not.
    pub leaves: Option<u64>,
}

/// A disturbance of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disturbance {
    /// A target dies and restarts.
    Death(usize),
    /// A target closes and reopens.
    Leave(usize),
    /// A replica retires and another one becomes ready.
    Retire(usize),
    /// A core loses its lease for a while.
    Isolated(usize),
    /// A core drains.
    Drain(usize),
    /// The next view to a core is lost.
    LostView(usize),
}

/// The plan of one simulation.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Seed of the random choices of the fakes.
    pub seed: u64,
    /// Number of cores.
    pub cores: usize,
    /// Number of targets.
    pub targets: usize,
    /// Percentage of attempts that fail.
    pub failure_percent: u8,
    /// The requests that arrive.
    pub requests: Vec<PlannedRequest>,
    /// The disturbances, with their times in milliseconds.
    pub disturbances: Vec<(u64, Disturbance)>,
}

/// Time over which requests arrive, in milliseconds.
const ARRIVAL_SPAN_MS: u64 = 8_000;

fn kind() -> impl Strategy<Value = Kind> {
    prop_oneof![
        3 => Just(Kind::Stream),
        3 => Just(Kind::Whole),
        4 => (0_u8..6).prop_map(Kind::Keyed),
        2 => Just(Kind::Bare),
        2 => Just(Kind::Lookup),
        1 => Just(Kind::Poison),
    ]
}

fn planned_request() -> impl Strategy<Value = PlannedRequest> {
    let leaves = prop_oneof![5 => Just(None), 1 => (0_u64..2_000).prop_map(Some)];
    let who = (0_usize..4, any::<bool>(), 0_u8..5, leaves);
    (0..ARRIVAL_SPAN_MS, kind(), 50_u64..6_000, who).prop_map(|(at, kind, deadline, who)| {
        let (core, urgent, caller, leaves) = who;
        PlannedRequest {
            at,
            core,
            kind,
            deadline,
            urgent,
            caller,
            leaves,
        }
    })
}

fn disturbance() -> impl Strategy<Value = (u64, Disturbance)> {
    let which = prop_oneof![
        (0_usize..4).prop_map(Disturbance::Death),
        (0_usize..4).prop_map(Disturbance::Leave),
        (0_usize..4).prop_map(Disturbance::Retire),
        (0_usize..4).prop_map(Disturbance::Isolated),
        (0_usize..4).prop_map(Disturbance::Drain),
        (0_usize..4).prop_map(Disturbance::LostView),
    ];
    (0..ARRIVAL_SPAN_MS, which)
}

/// Generates any plan.
pub fn plan() -> impl Strategy<Value = Plan> {
    let sizes = (any::<u64>(), 1_usize..4, 1_usize..5, 0_u8..40);
    (
        sizes,
        vec(planned_request(), 1..90),
        vec(disturbance(), 0..10),
    )
        .prop_map(|(sizes, requests, disturbances)| {
            let (seed, cores, targets, failure_percent) = sizes;
            Plan {
                seed,
                cores,
                targets,
                failure_percent,
                requests,
                disturbances,
            }
        })
}
