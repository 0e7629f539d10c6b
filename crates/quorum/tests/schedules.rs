//! The rules hold in random schedules of faults, and each is broken by a fault put in on purpose.

mod schedule;

use cornelhitch_quorum::config::Fault;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestCaseError};
use rayon::prelude::*;
use strum::IntoEnumIterator;

use schedule::ledger::Rule;
use schedule::{Act, LEADER, Step, world};

/// Schedules in each CI run.
const CASES: u32 = 400;

/// Schedules that may pass before a fault is noticed.
const TRIES: u64 = 1000;

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

/// Steps that make a fault show which is rare in all schedules: disks are wiped often, or one
/// member misses its leader and asks for votes just after another one restarted.
fn trigger(fault: Fault, at: u8) -> Option<Step> {
    let (after, act) = match (fault, at % 4) {
        (Fault::AnyIncarnation, 0) => (200, Act::Wipe(at % 5)),
        (Fault::ForgetPromise, 0) => (500, Act::Heal),
        (Fault::ForgetPromise, 1) => (1500, Act::Cut(LEADER, 0)),
        (Fault::ForgetPromise, 2) => (1000, Act::Cut(LEADER, 1)),
        (Fault::ForgetPromise, _) => (5, Act::Restart(1)),
        _ => return None,
    };
    Some(Step { after, act })
}

/// The first schedule in which a fault breaks a rule.
fn noticed(fault: Fault, rule: Rule) -> Option<u64> {
    (0..TRIES).into_par_iter().find_first(|number| {
        let mut schedule = schedule::schedule(*number);
        schedule.fault = Some(fault);
        for (at, step) in (0..).zip(&mut schedule.steps) {
            *step = trigger(fault, at).unwrap_or_else(|| step.clone());
        }
        world::run(schedule).is_err_and(|violation| violation.rule == rule)
    })
}

/// Each fault, and the rule that it breaks.
const BROKEN: [(Fault, Rule); 10] = [
    (Fault::VoteTwice, Rule::OneLeaderPerTerm),
    (Fault::AckBeforeSync, Rule::SyncedBeforeSent),
    (Fault::CommitAlone, Rule::CommittedStays),
    (Fault::LongLease, Rule::LeaseExclusive),
    (Fault::ForgetPromise, Rule::LeaseExclusive),
    (Fault::StaleBarrier, Rule::Linearizable),
    (Fault::ApplyTwice, Rule::SameState),
    (Fault::AnyIncarnation, Rule::CommittedStays),
    (Fault::AnyIncarnation, Rule::Progress),
    (Fault::ManyChanges, Rule::OneChangeAtATime),
];

#[test]
fn each_fault_is_noticed() {
    for (fault, rule) in BROKEN {
        let found = noticed(fault, rule);
        println!("{fault} breaks {rule} in schedule {found:?}");
        assert!(found.is_some(), "{fault} passes {TRIES} schedules");
    }
    assert!(Fault::iter().all(|fault| BROKEN.iter().any(|(broken, _)| *broken == fault)));
}
