//! Tests of the metrics in the Prometheus text format.

use std::time::Duration;

use cornelhitch_node::metrics::{Count, Metrics, Timing};
use cornelhitch_types::refusal::{Reason, Refusal, Run};

/// Returns the value of a sample.
fn value(text: &str, name: &str) -> f64 {
    let mut lines = text.lines().filter_map(|line| line.rsplit_once(' '));
    let (_, value) = lines
        .find(|(found, _)| *found == name)
        .unwrap_or_else(|| panic!("{name} is not in\n{text}"));
    value.parse().expect("a number")
}

#[test]
fn refusals_are_counted_by_their_reason() {
    let metrics = Metrics::default();
    for (reason, times) in [(Reason::Late, 3), (Reason::Draining, 1)] {
        let refusal = Refusal {
            reason,
            run: Run::NotRun,
            retry_after: None,
            detail: "a test".into(),
        };
        (0..times).for_each(|_| metrics.refused(&refusal, Duration::from_millis(2)));
    }
    let text = metrics.text();
    let by_reason = |reason: &str| {
        let name = format!("cornelhitch_refusals_by_reason_total{{reason=\"{reason}\"}}");
        value(&text, &name)
    };
    assert!((by_reason("late") - 3.0).abs() < 0.1);
    assert!((by_reason("draining") - 1.0).abs() < 0.1);
    assert!(by_reason("limited") < 0.1);
    assert!((value(&text, "cornelhitch_refusals_total") - 4.0).abs() < 0.1);
    let count = value(&text, "cornelhitch_request_refused_seconds_count");
    assert!((count - 4.0).abs() < 0.1);
}

#[test]
fn latency_buckets_are_cumulative() {
    let metrics = Metrics::default();
    for ms in [0, 7, 30, 30, 90_000] {
        metrics.ended(Duration::from_millis(ms));
    }
    let text = metrics.text();
    let rows = [
        ("0.005", 1.0),
        ("0.01", 2.0),
        ("0.025", 2.0),
        ("0.05", 4.0),
        ("12.8", 4.0),
        ("+Inf", 5.0),
    ];
    for (bound, below) in rows {
        let name = format!("cornelhitch_request_whole_seconds_bucket{{le=\"{bound}\"}}");
        assert!((value(&text, &name) - below).abs() < 0.1, "{name}");
    }
    let sum = value(&text, "cornelhitch_request_whole_seconds_sum");
    assert!((sum - 90.068).abs() < 1.0, "{sum}");
    assert_eq!(metrics.sum(Count::AnswersEnded), 5);
}

#[test]
fn every_latency_histogram_is_exported_from_the_start() {
    let metrics = Metrics::default();
    metrics.record(Timing::Order, Duration::from_millis(1));
    let text = metrics.text();
    for kind in ["request_start", "request_whole", "request_refused", "order"] {
        let name = format!("cornelhitch_{kind}_seconds_count");
        let expected = if kind == "order" { 1.0 } else { 0.0 };
        assert!((value(&text, &name) - expected).abs() < 0.1, "{name}");
    }
}
