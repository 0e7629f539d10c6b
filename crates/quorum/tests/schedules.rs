//! The rules hold in random schedules of faults, and each is broken by a fault put in on purpose.

mod schedule;

use cornelhitch_quorum::config::Fault;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestCaseError};
use rayon::prelude::*;
use strum::IntoEnumIterator;

use schedule::ledger::Rule;
use schedule::world;

/// Schedules in each CI run.
const CASES: u32 = 400;

/// Schedules that may pass before a fault is noticed.
const TRIES: u64 = 2000;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: CASES,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        max_shrink_iters: 2000,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_rules_hold(schedule in schedule::schedules()) {
        let check = world::run(schedule);
        check.map_err(|violation| TestCaseError::fail(format!("{violation:?}")))?;
    }
}

/// The rule that first notices a fault, and in which schedule.
fn noticed(fault: Fault) -> Option<(u64, Rule)> {
    (0..TRIES).into_par_iter().find_map_first(|number| {
        let mut schedule = schedule::schedule(number);
        schedule.fault = Some(fault);
        world::run(schedule)
            .err()
            .map(|violation| (number, violation.rule))
    })
}

#[test]
fn each_fault_is_noticed() {
    for fault in Fault::iter() {
        let found = noticed(fault);
        println!("{fault}: {found:?}");
        assert!(found.is_some(), "{fault} passes {TRIES} schedules");
    }
}
