//! Invariants that hold for all random plans, and a check that each injected fault breaks one.

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config as Setup, RngAlgorithm, TestRng, TestRunner};
use strum::IntoEnumIterator;

use super::plan::{Kind, Plan, PlannedRequest, plan};
use super::request_log::RequestLog;
use super::simulation::Simulation;
use crate::fault::Fault;

/// Number of plans in one run, unless `PROPTEST_CASES` says otherwise.
const PLAN_COUNT: u32 = 300;

/// Maximum number of plans until an injected fault must be detected.
const MAX_PLANS_PER_FAULT: usize = 400;

/// Each fault, with a part of the message of the invariant that it breaks.
#[rustfmt::skip]
const FAULT_SYMPTOMS: [(Fault, &str); 10] = [
    (Fault::EndsTwice,       "ended twice"),
    (Fault::LateTimer,       "after it was due"),
    (Fault::FalseNotRun,     "was sent but reported as not run"),
    (Fault::SendsTwice,      "must not be repeated but was sent again"),
    (Fault::ReleasesSent,    "was sent twice"),
    (Fault::ForgetsStrikes,  "took down"),
    (Fault::SharesSuspects,  "at the same time"),
    (Fault::SendsToClosed,   "was sent to"),
    (Fault::Unbounded,       "requests wait, more than"),
    (Fault::TakesOldAttempt, "was reported as complete without its terminator"),
];

/// Returns the random generator with a fixed seed, so that every run has the same result.
fn seed() -> TestRng {
    TestRng::deterministic_rng(RngAlgorithm::ChaCha)
}

/// Returns the configuration of proptest.
fn setup() -> Setup {
    let cases = std::env::var("PROPTEST_CASES").ok();
    let cases = cases
        .and_then(|cases| cases.parse().ok())
        .unwrap_or(PLAN_COUNT);
    Setup {
        cases,
        failure_persistence: None,
        max_shrink_iters: 4_000,
        ..Setup::default()
    }
}

#[test]
fn all_invariants_hold_for_random_plans() {
    let mut runner = TestRunner::new_with_rng(setup(), seed());
    let verdict = runner.run(&plan(), |plan| {
        let run = Simulation::run(&plan, None);
        prop_assert!(run.is_ok(), "{:?}", run);
        Ok(())
    });
    if let Err(error) = verdict {
        panic!("{error}");
    }
}

/// Generates one poison request among others that arrive at the same time at one or several cores,
/// with long deadlines.
fn batch() -> impl Strategy<Value = Plan> {
    (any::<u64>(), 1_usize..4, 3_usize..5, 2_u64..9).prop_map(|(seed, cores, targets, others)| {
        let planned = |at, kind| PlannedRequest {
            at,
            core: usize::try_from(at).unwrap_or_default(),
            kind,
            deadline: 120_000,
            urgent: false,
            caller: u8::try_from(at % 5).unwrap_or_default(),
            leaves: None,
        };
        let others = (0..others).map(|at| planned(at, Kind::Whole));
        Plan {
            seed,
            cores,
            targets,
            failure_percent: 0,
            requests: std::iter::once(planned(1, Kind::Poison))
                .chain(others)
                .collect(),
            disturbances: Vec::new(),
        }
    })
}

/// Returns how many other requests were not answered in full.
fn unanswered_count(request_log: &RequestLog) -> usize {
    let neighbours = request_log
        .records
        .values()
        .filter(|record| record.poison.is_none());
    let left = neighbours.filter(|record| record.ends.iter().all(|(_, run)| run.is_some()));
    left.count()
}

#[test]
fn requests_in_flight_with_a_poison_request_are_all_answered() {
    let mut runner = TestRunner::new_with_rng(setup(), seed());
    let verdict = runner.run(&batch(), |plan| {
        let run = Simulation::run(&plan, None).map(|request_log| unanswered_count(&request_log));
        prop_assert_eq!(run, Ok(0));
        Ok(())
    });
    if let Err(error) = verdict {
        panic!("{error}");
    }
}

#[test]
fn every_injected_fault_breaks_its_invariant() {
    assert_eq!(FAULT_SYMPTOMS.len(), Fault::iter().count());
    for (fault, words) in FAULT_SYMPTOMS {
        let mut runner = TestRunner::deterministic();
        let mut seen = Vec::new();
        for _ in 0..MAX_PLANS_PER_FAULT {
            let tree = plan().new_tree(&mut runner).expect("a plan is generated");
            seen.extend(Simulation::run(&tree.current(), Some(fault)).err());
            if seen.last().is_some_and(|seen| seen.contains(words)) {
                break;
            }
        }
        let last = seen.last().map_or("nothing", String::as_str);
        assert!(last.contains(words), "{fault:?}: {seen:?}");
    }
}
