//! What must always hold, and that the suite sees when it does not.

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config as Setup, RngAlgorithm, TestRng, TestRunner};
use strum::IntoEnumIterator;

use super::fleet::Fleet;
use super::ledger::Ledger;
use super::plan::{Ask, Kind, Plan, plan};
use crate::fault::Fault;

/// Plans in one run of the suite, unless `PROPTEST_CASES` says otherwise.
const CASES: u32 = 300;

/// Plans that a planted fault may take until it is seen.
const TRIES: usize = 400;

/// Each fault, and the words of the invariant that it breaks.
#[rustfmt::skip]
const PLANTED: [(Fault, &str); 10] = [
    (Fault::EndsTwice,       "ended twice"),
    (Fault::LateTimer,       "and was due"),
    (Fault::FalseNotRun,     "was sent and is called not run"),
    (Fault::SendsTwice,      "may not be repeated and was"),
    (Fault::ReleasesSent,    "was sent twice"),
    (Fault::ForgetsStrikes,  "took down"),
    (Fault::SharesSuspects,  "share"),
    (Fault::SendsToClosed,   "went to"),
    (Fault::Unbounded,       "requests wait"),
    (Fault::TakesOldAttempt, "was not whole"),
];

/// The same seed in every run, so that the verdict is the same.
fn seed() -> TestRng {
    TestRng::deterministic_rng(RngAlgorithm::ChaCha)
}

/// The setup of proptest.
fn setup() -> Setup {
    let cases = std::env::var("PROPTEST_CASES").ok();
    let cases = cases.and_then(|cases| cases.parse().ok()).unwrap_or(CASES);
    Setup {
        cases,
        failure_persistence: None,
        max_shrink_iters: 4_000,
        ..Setup::default()
    }
}

#[test]
fn every_promise_holds() {
    let mut runner = TestRunner::new_with_rng(setup(), seed());
    let verdict = runner.run(&plan(), |plan| {
        let run = Fleet::run(&plan, None);
        prop_assert!(run.is_ok(), "{:?}", run);
        Ok(())
    });
    if let Err(error) = verdict {
        panic!("{error}");
    }
}

/// One poison request among others that come at once, to one core or several, with time enough.
fn batch() -> impl Strategy<Value = Plan> {
    (any::<u64>(), 1_usize..4, 3_usize..5, 2_u64..9).prop_map(|(seed, cores, targets, others)| {
        let ask = |at, kind| Ask {
            at,
            core: usize::try_from(at).unwrap_or_default(),
            kind,
            deadline: 120_000,
            urgent: false,
            caller: u8::try_from(at % 5).unwrap_or_default(),
            leaves: None,
        };
        let others = (0..others).map(|at| ask(at, Kind::Whole));
        Plan {
            seed,
            cores,
            targets,
            sick: 0,
            asks: std::iter::once(ask(1, Kind::Poison))
                .chain(others)
                .collect(),
            troubles: Vec::new(),
        }
    })
}

/// How many neighbours of the poison request were not answered in full.
fn unanswered(ledger: &Ledger) -> usize {
    let neighbours = ledger
        .entries
        .values()
        .filter(|entry| entry.poison.is_none());
    let left = neighbours.filter(|entry| entry.ends.iter().all(|(_, run)| run.is_some()));
    left.count()
}

#[test]
fn the_neighbours_of_a_poison_request_are_all_answered() {
    let mut runner = TestRunner::new_with_rng(setup(), seed());
    let verdict = runner.run(&batch(), |plan| {
        let run = Fleet::run(&plan, None).map(|ledger| unanswered(&ledger));
        prop_assert_eq!(run, Ok(0));
        Ok(())
    });
    if let Err(error) = verdict {
        panic!("{error}");
    }
}

#[test]
fn every_planted_fault_is_seen() {
    assert_eq!(PLANTED.len(), Fault::iter().count());
    for (fault, words) in PLANTED {
        let mut runner = TestRunner::deterministic();
        let mut seen = Vec::new();
        for _ in 0..TRIES {
            let tree = plan().new_tree(&mut runner).expect("a plan");
            seen.extend(Fleet::run(&tree.current(), Some(fault)).err());
            if seen.last().is_some_and(|seen| seen.contains(words)) {
                break;
            }
        }
        let last = seen.last().map_or("nothing", String::as_str);
        assert!(last.contains(words), "{fault:?}: {seen:?}");
    }
}
