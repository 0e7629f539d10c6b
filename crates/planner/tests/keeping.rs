//! How long idle replicas are kept, and which models are preloaded.

use std::time::Duration;

use cornelhitch_planner::demand::{ModelDemand, ModelVersion};
use cornelhitch_planner::history::RequestHistory;
use cornelhitch_planner::keep_alive::{CostBased, KeepAliveInputs, KeepAlivePolicy};
use cornelhitch_settings::fleet::{FleetSettings, Keeping, Rules};

/// Requests at regular gaps followed by an idle time, and the expected decisions.
struct Case {
    name: &'static str,
    /// The gap between ten requests, or `None` for a model without requests.
    gap_s: Option<u64>,
    /// The idle time since the last request.
    idle_s: u64,
    /// The expected duration of the next cold start.
    cold_ms: u64,
    /// Weights of cold starts and of idle time.
    weights: (f64, f64),
    /// Whether an idle replica is kept.
    kept: bool,
    /// Whether the model would be preloaded if it had no replica.
    preloaded: bool,
}

const EQUAL_WEIGHTS: (f64, f64) = (0.5, 0.5);
const HEAVY_COLD_START: (f64, f64) = (0.99, 0.01);
const HEAVY_IDLE: (f64, f64) = (0.01, 0.99);

#[rustfmt::skip]
const CASES: [Case; 11] = [
    Case { name: "frequent requests", gap_s: Some(20), idle_s: 10, cold_ms: 8_000, weights: EQUAL_WEIGHTS, kept: true, preloaded: true },
    Case { name: "hourly requests", gap_s: Some(3_600), idle_s: 60, cold_ms: 5_000, weights: EQUAL_WEIGHTS, kept: false, preloaded: false },
    Case { name: "hourly requests, cold starts weigh more", gap_s: Some(3_600), idle_s: 60, cold_ms: 9_000, weights: HEAVY_COLD_START, kept: true, preloaded: true },
    Case { name: "frequent requests, idle time weighs more", gap_s: Some(20), idle_s: 10, cold_ms: 4_000, weights: HEAVY_IDLE, kept: false, preloaded: false },
    Case { name: "hourly requests, the next one is due", gap_s: Some(3_600), idle_s: 3_500, cold_ms: 20_000, weights: EQUAL_WEIGHTS, kept: true, preloaded: true },
    Case { name: "short cold starts", gap_s: Some(60), idle_s: 10, cold_ms: 300, weights: EQUAL_WEIGHTS, kept: false, preloaded: false },
    Case { name: "long cold starts", gap_s: Some(60), idle_s: 10, cold_ms: 20_000, weights: EQUAL_WEIGHTS, kept: true, preloaded: true },
    Case { name: "no requests", gap_s: None, idle_s: 60, cold_ms: 4_000, weights: EQUAL_WEIGHTS, kept: false, preloaded: false },
    Case { name: "no requests, long cold starts", gap_s: None, idle_s: 60, cold_ms: 30_000, weights: HEAVY_COLD_START, kept: true, preloaded: false },
    Case { name: "idle for longer than the maximum", gap_s: Some(20), idle_s: 7_200, cold_ms: 30_000, weights: HEAVY_COLD_START, kept: false, preloaded: false },
    Case { name: "the expected request did not arrive", gap_s: Some(20), idle_s: 900, cold_ms: 5_000, weights: EQUAL_WEIGHTS, kept: false, preloaded: false },
];

/// Returns the history of ten requests at regular gaps, or an empty one.
fn history(gap_s: Option<u64>) -> RequestHistory {
    let mut history = RequestHistory::default();
    let Some(gap_s) = gap_s else {
        return history;
    };
    let key = ModelVersion {
        model: "report".into(),
        version: None,
    };
    let mut demand = ModelDemand::expected(key, "perth-a".into());
    demand.arrivals = 1;
    for call in 1..=10 {
        history.observe(&demand, Duration::from_secs(call * gap_s));
    }
    history
}

#[test]
fn replicas_are_kept_and_preloaded_while_cheaper_than_a_cold_start() {
    for case in CASES {
        let history = history(case.gap_s);
        let keeping = Keeping {
            cold_start_weight: case.weights.0,
            idle_weight: case.weights.1,
            ..Keeping::default()
        };
        let inputs = KeepAliveInputs {
            history: &history,
            cold_start: Duration::from_millis(case.cold_ms),
            accelerators: 1,
            idle: Duration::from_secs(case.idle_s),
            keeping: &keeping,
            rules: Rules::from(&FleetSettings::default()),
        };
        let decision = CostBased.decide(&inputs);
        assert_eq!(
            !decision.keep.is_zero(),
            case.kept,
            "{}: {decision:?}",
            case.name
        );
        assert_eq!(
            CostBased.should_preload(&inputs),
            case.preloaded,
            "{}: {decision:?}",
            case.name
        );
    }
}

#[test]
fn eviction_costs_less_for_less_frequently_requested_models() {
    let keeping = Keeping::default();
    let eviction_cost = |gap_s: u64| {
        let history = history(Some(gap_s));
        let inputs = KeepAliveInputs {
            history: &history,
            cold_start: Duration::from_secs(5),
            accelerators: 1,
            idle: Duration::from_secs(5),
            keeping: &keeping,
            rules: Rules::from(&FleetSettings::default()),
        };
        CostBased.eviction_cost(&inputs)
    };
    assert!(eviction_cost(3_600) < eviction_cost(300));
    assert!(eviction_cost(300) < eviction_cost(20));
}
