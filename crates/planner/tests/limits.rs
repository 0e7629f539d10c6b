//! Property tests: invariants for any sequence of arrivals, worker failures, slow loads and changed
//! settings.

mod fake_fleet;

use cornelhitch_planner::Planner;
use cornelhitch_planner::baseline::LeastRecentlyUsed;
use cornelhitch_planner::policy::Policy;
use proptest::prelude::*;

use crate::fake_fleet::{FakeFleet, Step, script};

/// Runs a script; the fake fleet checks every decision.
fn run_script(script: &[Step], planner: &mut dyn Planner) -> FakeFleet {
    let mut fleet = FakeFleet::new();
    for step in script {
        fleet.run_step(step, planner);
    }
    fleet
}

/// Returns a configuration with a fixed seed, so that every run gives the same result.
fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        cases: 150,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed())]

    /// Limits on replicas, memory, the weight store, adapters, exceptions and unmanaged groups: the
    /// fake fleet checks each decision as it is made.
    #[test]
    fn limits_hold(script in script()) {
        run_script(&script, &mut Policy::default());
    }

    /// The same limits for a baseline policy, which shares placement and loading.
    #[test]
    fn limits_hold_for_a_baseline(script in script()) {
        run_script(&script, &mut Policy::new(Box::new(LeastRecentlyUsed)));
    }

    /// No thrashing: every load serves a request, replaces a failed replica, or is the one preload
    /// that may follow each request.
    #[test]
    fn loads_are_bounded_by_arrivals(script in script()) {
        let fleet = run_script(&script, &mut Policy::default());
        prop_assert!(fleet.loads <= 2 * fleet.arrived + fleet.lost_replicas);
    }

    /// Progress: whatever happened before, requests for a model that fits are served in time.
    #[test]
    fn requests_are_served_after_faults_end(script in script(), model in 0..5_usize, region in 0..2_usize) {
        let mut planner = Policy::default();
        let mut fleet = run_script(&script, &mut planner);
        fleet.clear_faults();
        fleet.run_step(&Step::Arrive { model, region, count: 3, deadline_s: 60 }, &mut planner);
        for _ in 0..50 {
            fleet.run_step(&Step::Wait { ms: 1_000 }, &mut planner);
            fleet.run_step(&Step::FinishLoad { which: 0 }, &mut planner);
            fleet.run_step(&Step::Dispatch, &mut planner);
            fleet.run_step(&Step::EndRequests, &mut planner);
        }
        prop_assert_eq!(fleet.waiting(), 0);
    }

    /// The same inputs lead to the same decisions.
    #[test]
    fn plans_are_deterministic(script in script()) {
        let first = run_script(&script, &mut Policy::default());
        let second = run_script(&script, &mut Policy::default());
        prop_assert_eq!(first.replicas, second.replicas);
    }
}
