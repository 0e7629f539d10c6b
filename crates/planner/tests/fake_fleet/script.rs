//! Random scripts of arrivals, faults and changes of the settings.

use proptest::prelude::*;

use super::{MODELS, WORKERS};

/// One step of a script.
#[derive(Debug, Clone)]
pub enum Step {
    Arrive {
        model: usize,
        region: usize,
        count: u32,
        deadline_s: u64,
    },
    Adapter {
        name: usize,
    },
    Wait {
        ms: u64,
    },
    Finish {
        which: usize,
    },
    Serve,
    End,
    Die {
        worker: usize,
    },
    Return {
        worker: usize,
    },
    Leave {
        worker: usize,
    },
    Quiet {
        worker: usize,
        model: usize,
    },
    Cached {
        worker: usize,
        model: usize,
    },
    Replicas {
        most: u32,
    },
    Limits {
        starts: f64,
        concurrency: u32,
    },
    Managed {
        group: usize,
        on: bool,
    },
    Remove {
        model: usize,
    },
    InFlight {
        adapters: u32,
    },
    Lose,
    Lag,
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
        8 => (0..8_usize).prop_map(|which| Step::Finish { which }),
        6 => Just(Step::Serve),
        4 => Just(Step::End),
        2 => worker.clone().prop_map(|worker| Step::Die { worker }),
        3 => worker.clone().prop_map(|worker| Step::Return { worker }),
        1 => worker.clone().prop_map(|worker| Step::Leave { worker }),
        1 => (worker.clone(), model.clone())
            .prop_map(|(worker, model)| Step::Quiet { worker, model }),
        3 => (worker, model.clone()).prop_map(|(worker, model)| Step::Cached { worker, model }),
        1 => (1..4_u32).prop_map(|most| Step::Replicas { most }),
        1 => (0.25..6.0_f64, 1..6_u32)
            .prop_map(|(starts, concurrency)| Step::Limits { starts, concurrency }),
        1 => (0..2_usize, any::<bool>()).prop_map(|(group, on)| Step::Managed { group, on }),
        1 => model.prop_map(|model| Step::Remove { model }),
        1 => (0..6_u32).prop_map(|adapters| Step::InFlight { adapters }),
        2 => Just(Step::Lose),
        2 => Just(Step::Lag),
    ];
    prop::collection::vec(step, 1..120)
}
