//! What must always hold, and that the suite sees when it does not.

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config as Setup, TestRunner};
use strum::IntoEnumIterator;

use super::fleet::Fleet;
use super::plan::plan;
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

/// The setup of proptest: a fixed seed, so that every run gives the same verdict.
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
    let seed = proptest::test_runner::TestRng::deterministic_rng(
        proptest::test_runner::RngAlgorithm::ChaCha,
    );
    let mut runner = TestRunner::new_with_rng(setup(), seed);
    let verdict = runner.run(&plan(), |plan| {
        let run = Fleet::run(&plan, None);
        prop_assert!(run.is_ok(), "{:?}", run);
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
