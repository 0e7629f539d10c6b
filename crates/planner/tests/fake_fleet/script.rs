//! Random scripts of arrivals, faults and changes of the settings.

use proptest::prelude::*;

use super::{MODELS, WORKERS};

/// One step of a script.
#[derive(Debug, Clone)]
pub enum Step {
    /// Requests for a model arrive in a region.
    Arrive {
        model: usize,
        region: usize,
        count: u32,
        deadline_s: u64,
    },
    /// The waiting requests for model 0 name an adapter.
    Adapter { name: usize },
    /// Time passes.
    Wait { ms: u64 },
    /// One of the loading replicas becomes ready.
    FinishLoad { which: usize },
    /// Waiting requests are dispatched to ready replicas.
    Dispatch,
    /// All running requests end, and retiring replicas are removed.
    EndRequests,
    /// A worker fails with its replicas.
    FailWorker { worker: usize },
    /// A worker accepts loads again.
    OpenWorker { worker: usize },
    /// A worker accepts no more loads.
    CloseWorker { worker: usize },
    /// A model must not be loaded on a worker for a while.
    Quiet { worker: usize, model: usize },
    /// A worker gets a copy of a model on disk or in host memory.
    Cached { worker: usize, model: usize },
    /// The settings change the maximum number of replicas.
    Replicas { most: u32 },
    /// The settings change the limits of the weight store.
    Limits { starts: f64, concurrency: u32 },
    /// The settings change whether a group is managed.
    Managed { group: usize, on: bool },
    /// The settings drop a model.
    Remove { model: usize },
    /// The reported number of adapter loads in flight changes.
    InFlight { adapters: u32 },
    /// The decisions that follow this step are lost.
    LoseDecisions,
    /// From now on, or no longer, new replicas are shown to the planner with a delay.
    ToggleDelay,
}

/// Generates scripts of up to 119 steps.
pub fn script() -> impl Strategy<Value = Vec<Step>> {
    let worker = 0..WORKERS;
    let model = 0..MODELS;
    let step = prop_oneof![
        12 => (model.clone(), 0..2_usize, 1..40_u32, 1..60_u64).prop_map(
            |(model, region, count, deadline_s)| Step::Arrive { model, region, count, deadline_s }
        ),
        4 => (0..6_usize).prop_map(|name| Step::Adapter { name }),
        14 => (10..3_000_u64).prop_map(|ms| Step::Wait { ms }),
        2 => (3_000..200_000_u64).prop_map(|ms| Step::Wait { ms }),
        8 => (0..8_usize).prop_map(|which| Step::FinishLoad { which }),
        6 => Just(Step::Dispatch),
        4 => Just(Step::EndRequests),
        2 => worker.clone().prop_map(|worker| Step::FailWorker { worker }),
        3 => worker.clone().prop_map(|worker| Step::OpenWorker { worker }),
        1 => worker.clone().prop_map(|worker| Step::CloseWorker { worker }),
        1 => (worker.clone(), model.clone())
            .prop_map(|(worker, model)| Step::Quiet { worker, model }),
        3 => (worker, model.clone()).prop_map(|(worker, model)| Step::Cached { worker, model }),
        1 => (1..4_u32).prop_map(|most| Step::Replicas { most }),
        1 => (0.25..6.0_f64, 1..6_u32)
            .prop_map(|(starts, concurrency)| Step::Limits { starts, concurrency }),
        1 => (0..2_usize, any::<bool>()).prop_map(|(group, on)| Step::Managed { group, on }),
        1 => model.prop_map(|model| Step::Remove { model }),
        1 => (0..6_u32).prop_map(|adapters| Step::InFlight { adapters }),
        2 => Just(Step::LoseDecisions),
        2 => Just(Step::ToggleDelay),
    ];
    prop::collection::vec(step, 1..120)
}
