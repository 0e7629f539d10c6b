//! Simulation tests: the invariants hold in random fault schedules, and injecting a fault into the
//! core violates the invariant that it targets.

mod schedule;

use cornelhitch_quorum::config::Fault;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestCaseError};
use rayon::prelude::*;
use strum::IntoEnumIterator;

use schedule::checker::Invariant;
use schedule::{LEADER, Operation, Step, simulation};

/// Number of random schedules per run.
const SCHEDULES_PER_RUN: u32 = 400;

/// Number of schedules within which an injected fault must be detected.
const MAX_SCHEDULES: u64 = 1000;

/// Number of random first starts within which an injected fault must be detected.
const MAX_FIRST_STARTS: u64 = 4000;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: SCHEDULES_PER_RUN,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        max_shrink_iters: 2000,
        ..ProptestConfig::default()
    })]

    #[test]
    fn invariants_hold_in_random_schedules(schedule in schedule::schedules()) {
        let check = simulation::run(schedule);
        check.map_err(|violation| TestCaseError::fail(format!("{violation:?}")))?;
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: SCHEDULES_PER_RUN,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        max_shrink_iters: 2000,
        ..ProptestConfig::default()
    })]

    #[test]
    fn invariants_hold_in_random_first_starts(start in schedule::first_starts()) {
        let check = simulation::run_first_start(start);
        check.map_err(|violation| TestCaseError::fail(format!("{violation:?}")))?;
    }
}

/// Returns a step that provokes faults that rarely show in random schedules: disks are wiped often,
/// or one member loses its leader and campaigns just after another one restarted.
fn provoking_step(fault: Fault, at: u8) -> Option<Step> {
    let (after, operation) = match (fault, at % 4) {
        (Fault::AnyIncarnation, 0) => (200, Operation::Wipe(at % 5)),
        (Fault::ForgetPromise, 0) => (500, Operation::Heal),
        (Fault::ForgetPromise, 1) => (1500, Operation::Cut(LEADER, 0)),
        (Fault::ForgetPromise, 2) => (1000, Operation::Cut(LEADER, 1)),
        (Fault::ForgetPromise, _) => (5, Operation::Restart(1)),
        _ => return None,
    };
    Some(Step { after, operation })
}

/// Returns the first schedule in which a fault violates an invariant.
fn first_violation(fault: Fault, invariant: Invariant) -> Option<u64> {
    (0..MAX_SCHEDULES).into_par_iter().find_first(|number| {
        let mut schedule = schedule::schedule(*number);
        schedule.fault = Some(fault);
        for (at, step) in (0..).zip(&mut schedule.steps) {
            *step = provoking_step(fault, at).unwrap_or_else(|| step.clone());
        }
        simulation::run(schedule).is_err_and(|violation| violation.invariant == invariant)
    })
}

/// Each fault with the invariant that it violates.
const VIOLATIONS: [(Fault, Invariant); 10] = [
    (Fault::VoteTwice, Invariant::OneLeaderPerTerm),
    (Fault::AckBeforeSync, Invariant::SyncedBeforeSent),
    (Fault::CommitAlone, Invariant::CommittedStays),
    (Fault::LongLease, Invariant::LeaseExclusive),
    (Fault::ForgetPromise, Invariant::LeaseExclusive),
    (Fault::StaleBarrier, Invariant::Linearizable),
    (Fault::ApplyTwice, Invariant::SameState),
    (Fault::AnyIncarnation, Invariant::CommittedStays),
    (Fault::AnyIncarnation, Invariant::Progress),
    (Fault::ManyChanges, Invariant::OneChangeAtATime),
];

/// Faults of the founding with the invariant that they violate in first starts.
const FIRST_START_VIOLATIONS: [(Fault, Invariant); 2] = [
    (Fault::ForgottenVotes, Invariant::CommittedStays),
    (Fault::FoundByMinority, Invariant::CommittedStays),
];

/// Returns the first of the random first starts in which a fault violates an invariant.
fn first_start_violation(fault: Fault, invariant: Invariant) -> Option<u64> {
    (0..MAX_FIRST_STARTS).into_par_iter().find_first(|number| {
        let mut start = schedule::first_start(*number);
        start.schedule.fault = Some(fault);
        simulation::run_first_start(start).is_err_and(|violation| violation.invariant == invariant)
    })
}

#[test]
fn each_injected_fault_of_the_founding_is_detected() {
    for (fault, invariant) in FIRST_START_VIOLATIONS {
        let found = first_start_violation(fault, invariant);
        println!("{fault} violates {invariant} in first start {found:?}");
        assert!(
            found.is_some(),
            "{fault} is not detected in {MAX_FIRST_STARTS} first starts"
        );
    }
}

#[test]
fn each_injected_fault_is_detected() {
    for (fault, invariant) in VIOLATIONS {
        let found = first_violation(fault, invariant);
        println!("{fault} violates {invariant} in schedule {found:?}");
        assert!(
            found.is_some(),
            "{fault} is not detected in {MAX_SCHEDULES} schedules"
        );
    }
    let detected: Vec<Fault> = VIOLATIONS
        .iter()
        .chain(&FIRST_START_VIOLATIONS)
        .map(|(fault, _)| *fault)
        .collect();
    assert!(Fault::iter().all(|fault| detected.contains(&fault)));
}
