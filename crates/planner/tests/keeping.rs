//! How long idle replicas are kept, and which models are loaded ahead.

use std::time::Duration;

use cornelhitch_planner::history::History;
use cornelhitch_planner::keep::{Facts, Keep, Weighed};
use cornelhitch_planner::need::{Key, Need};
use cornelhitch_settings::fleet::{Fleet, Keeping, Rules};

/// Calls at regular gaps, then an idle time.
struct Case {
    name: &'static str,
    /// The gaps between ten calls, or none for a model that never called.
    gap_s: Option<u64>,
    /// The idle time since the last call.
    idle_s: u64,
    /// How long its next cold start would take.
    cold_ms: u64,
    /// Weights of cold starts and idle hours.
    weights: (f64, f64),
    /// Whether a ready replica is kept on.
    kept: bool,
    /// Whether the model is loaded ahead, were it not ready.
    ahead: bool,
}

const EVEN: (f64, f64) = (0.5, 0.5);
const COLD: (f64, f64) = (0.99, 0.01);
const IDLE: (f64, f64) = (0.01, 0.99);

#[rustfmt::skip]
const CASES: [Case; 11] = [
    Case { name: "called often", gap_s: Some(20), idle_s: 10, cold_ms: 8_000, weights: EVEN, kept: true, ahead: true },
    Case { name: "called hourly", gap_s: Some(3_600), idle_s: 60, cold_ms: 5_000, weights: EVEN, kept: false, ahead: false },
    Case { name: "hourly, cold starts hurt", gap_s: Some(3_600), idle_s: 60, cold_ms: 9_000, weights: COLD, kept: true, ahead: true },
    Case { name: "often, idle hours hurt", gap_s: Some(20), idle_s: 10, cold_ms: 4_000, weights: IDLE, kept: false, ahead: false },
    Case { name: "hourly, the call is due", gap_s: Some(3_600), idle_s: 3_500, cold_ms: 20_000, weights: EVEN, kept: true, ahead: true },
    Case { name: "short cold starts", gap_s: Some(60), idle_s: 10, cold_ms: 300, weights: EVEN, kept: false, ahead: false },
    Case { name: "long cold starts", gap_s: Some(60), idle_s: 10, cold_ms: 20_000, weights: EVEN, kept: true, ahead: true },
    Case { name: "never called", gap_s: None, idle_s: 60, cold_ms: 4_000, weights: EVEN, kept: false, ahead: false },
    Case { name: "never called, long cold starts", gap_s: None, idle_s: 60, cold_ms: 30_000, weights: COLD, kept: true, ahead: false },
    Case { name: "past the longest time", gap_s: Some(20), idle_s: 7_200, cold_ms: 30_000, weights: COLD, kept: false, ahead: false },
    Case { name: "the call stayed away", gap_s: Some(20), idle_s: 900, cold_ms: 5_000, weights: EVEN, kept: false, ahead: false },
];

/// Ten calls at regular gaps.
fn history(gap_s: Option<u64>) -> History {
    let mut history = History::default();
    let Some(gap_s) = gap_s else {
        return history;
    };
    let key = Key {
        model: "report".into(),
        version: None,
    };
    let mut need = Need::expected(key, "perth-a".into());
    need.arrivals = 1;
    for call in 1..=10 {
        history.observe(&need, Duration::from_secs(call * gap_s));
    }
    history
}

#[test]
fn verdicts() {
    for case in CASES {
        let history = history(case.gap_s);
        let keeping = Keeping {
            cold_start_weight: case.weights.0,
            idle_weight: case.weights.1,
            ..Keeping::default()
        };
        let facts = Facts {
            history: &history,
            cold: Duration::from_millis(case.cold_ms),
            accelerators: 1,
            idle: Duration::from_secs(case.idle_s),
            keeping: &keeping,
            rules: Rules::from(&Fleet::default()),
        };
        let verdict = Weighed.verdict(&facts);
        assert_eq!(
            !verdict.keep.is_zero(),
            case.kept,
            "{}: {verdict:?}",
            case.name
        );
        assert_eq!(
            Weighed.ahead(&facts),
            case.ahead,
            "{}: {verdict:?}",
            case.name
        );
    }
}

#[test]
fn the_cheapest_to_push_out_is_the_least_likely_to_be_called() {
    let keeping = Keeping::default();
    let price = |gap_s: u64| {
        let history = history(Some(gap_s));
        let facts = Facts {
            history: &history,
            cold: Duration::from_secs(5),
            accelerators: 1,
            idle: Duration::from_secs(5),
            keeping: &keeping,
            rules: Rules::from(&Fleet::default()),
        };
        Weighed.price(&facts)
    };
    assert!(price(3_600) < price(300));
    assert!(price(300) < price(20));
}
