//! Random schedules of losses, delays, crashes and leader changes over simulated workers.

mod common;

use std::panic::{AssertUnwindSafe, catch_unwind};

use common::simulation::{Delivery, Simulation, Step, step};
use cornelhitch_control::mutation::{self, Mutation};
use cornelhitch_planner::policy::Policy;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// The default number of schedules; the variable `SCHEDULES` overrides it.
const CASES: u32 = 300;

/// The number of schedules within which each mutation must be found.
const MUTANT_CASES: u32 = 3_000;

/// Returns the number of schedules to run.
fn cases(default: u32) -> u32 {
    let asked = std::env::var("SCHEDULES").ok();
    asked.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Creates a runner with a fixed seed.
fn runner() -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(Config::with_cases(CASES), rng)
}

/// Runs one schedule.
fn run(steps: &[Step]) -> Result<Simulation, String> {
    let mut simulation = Simulation::new();
    for step in steps {
        simulation.run(step)?;
    }
    simulation.check_recovery()?;
    simulation.check_empty()?;
    simulation.check_replay()?;
    Ok(simulation)
}

#[test]
fn every_schedule_keeps_the_invariants() {
    let mut loads = 0;
    let mut releases = 0;
    let strategy = vec(step(), 1..120);
    let mut runner = runner();
    for _ in 0..cases(CASES) {
        let steps = strategy
            .new_tree(&mut runner)
            .expect("a schedule")
            .current();
        match run(&steps) {
            Ok(simulation) => {
                loads += simulation.loads;
                releases += simulation.releases;
            }
            Err(error) => panic!("{error}\n{steps:#?}"),
        }
    }
    if let Err(error) = run(&late_unload()) {
        panic!("{error} in the schedule of a late unload");
    }
    assert!(loads > 1_000, "schedules ordered only {loads} loads");
    assert!(
        releases > 100,
        "schedules released only {releases} replicas"
    );
}

/// The number of schedules that are run with the default planner.
const POLICY_CASES: u32 = 60;

#[test]
fn every_schedule_keeps_the_invariants_with_the_default_planner() {
    let strategy = vec(step(), 1..120);
    let mut runner = runner();
    for _ in 0..cases(POLICY_CASES) {
        let steps = strategy
            .new_tree(&mut runner)
            .expect("a schedule")
            .current();
        let mut simulation = Simulation::with(|| Box::new(Policy::default()));
        let result = steps.iter().try_for_each(|step| simulation.run(step));
        let result = result
            .and_then(|()| simulation.check_recovery())
            .and_then(|()| simulation.check_replay());
        if let Err(error) = result {
            panic!("{error}\n{steps:#?}");
        }
    }
}

#[test]
fn every_mutation_of_decisions_and_orders_is_found() {
    let mutations = [
        Mutation::EarlyOrder,
        Mutation::NoMemoryCheck,
        Mutation::NoLimitCheck,
        Mutation::NoOrphans,
        Mutation::EarlyRelease,
        Mutation::NoRelease,
        Mutation::BlindResend,
        Mutation::NoQuiet,
        Mutation::ReusedIds,
    ];
    let hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(|_| {}));
    let missed: Vec<Mutation> = mutations.into_iter().filter(|it| !is_found(*it)).collect();
    std::panic::set_hook(hook);
    assert!(
        missed.is_empty(),
        "not found in {MUTANT_CASES} schedules: {missed:?}"
    );
}

/// An unload ordered by an earlier leader, delivered after the model may have been loaded again.
fn late_unload() -> Vec<Step> {
    let second = Step::Second {
        lost: 0,
        late: 0,
        paused: 0b1011,
    };
    let demand = |waiting| Step::Demand {
        host: 2,
        model: 1,
        waiting,
        running: 0,
        old: false,
    };
    let order = |which, delivery| Step::Order { which, delivery };
    let seconds = |count| vec![second.clone(); count];
    [
        seconds(3),
        vec![demand(1)],
        seconds(2),
        vec![order(0, Delivery::Answered)],
        seconds(3),
        vec![demand(0)],
        seconds(4),
        vec![
            order(0, Delivery::Hangs),
            Step::Elect {
                kept: 0,
                snapshot: true,
            },
        ],
        seconds(4),
        vec![order(1, Delivery::Answered), demand(1)],
        seconds(2),
        vec![order(1, Delivery::Answered), order(0, Delivery::AnswerLost)],
        seconds(1),
    ]
    .concat()
}

/// Returns whether some schedule exposes the mutation.
fn is_found(mutation: Mutation) -> bool {
    let strategy = vec(step(), 1..120);
    let mut runner = runner();
    mutation::set(Some(mutation));
    let found = (0..MUTANT_CASES).find(|case| {
        let random = strategy
            .new_tree(&mut runner)
            .expect("a schedule")
            .current();
        let steps = if *case == 0 { late_unload() } else { random };
        let result = catch_unwind(AssertUnwindSafe(|| run(&steps).is_err()));
        result.unwrap_or(true)
    });
    mutation::set(None);
    println!("{mutation}: schedule {found:?}");
    found.is_some()
}
