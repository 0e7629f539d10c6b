//! Random schedules of losses, delays, deaths and leader changes over fake workers.

mod common;

use std::panic::{AssertUnwindSafe, catch_unwind};

use common::world::{Fate, Step, World, step};
use cornelhitch_control::mutation::{self, Mutation};
use cornelhitch_planner::policy::Policy;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Schedules that CI runs; the variable `SCHEDULES` asks for another number.
const CASES: u32 = 300;

/// Schedules within which each mutation has to be found.
const MUTANT_CASES: u32 = 3_000;

/// How many schedules to run.
fn cases(default: u32) -> u32 {
    let asked = std::env::var("SCHEDULES").ok();
    asked.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// A runner with a fixed seed.
fn runner() -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(Config::with_cases(CASES), rng)
}

/// Runs one schedule.
fn run(steps: &[Step]) -> Result<World, String> {
    let mut world = World::new();
    for step in steps {
        world.run(step)?;
    }
    world.calm()?;
    world.empty()?;
    world.finish()?;
    Ok(world)
}

#[test]
fn every_schedule_keeps_the_promises() {
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
            Ok(world) => {
                loads += world.loads;
                releases += world.releases;
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

/// Schedules that are run with the daemon's own planner.
const POLICY_CASES: u32 = 60;

#[test]
fn every_schedule_keeps_the_promises_under_the_policy() {
    let strategy = vec(step(), 1..120);
    let mut runner = runner();
    for _ in 0..cases(POLICY_CASES) {
        let steps = strategy
            .new_tree(&mut runner)
            .expect("a schedule")
            .current();
        let mut world = World::with(|| Box::new(Policy::default()));
        let result = steps.iter().try_for_each(|step| world.run(step));
        let result = result
            .and_then(|()| world.calm())
            .and_then(|()| world.finish());
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
        Mutation::NoStrangers,
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

/// An unload of an earlier leader that arrives after the model could have been loaded again.
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
    let order = |which, fate| Step::Order { which, fate };
    let seconds = |count| vec![second.clone(); count];
    [
        seconds(3),
        vec![demand(1)],
        seconds(2),
        vec![order(0, Fate::Answered)],
        seconds(3),
        vec![demand(0)],
        seconds(4),
        vec![
            order(0, Fate::Hangs),
            Step::Elect {
                kept: 0,
                snapshot: true,
            },
        ],
        seconds(4),
        vec![order(1, Fate::Answered), demand(1)],
        seconds(2),
        vec![order(1, Fate::Answered), order(0, Fate::AnswerLost)],
        seconds(1),
    ]
    .concat()
}

/// Whether some schedule shows a mutation.
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
