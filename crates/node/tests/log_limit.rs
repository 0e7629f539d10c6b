//! Tests of the log rate limit and of the counters of each service.

use cornelhitch_entry::counters::Counters;
use cornelhitch_node::log_limit::LogLimiter;
use cornelhitch_node::metrics::Metrics;

#[test]
fn repeats_and_connections_are_counted_for_each_service_separately() {
    let metrics = Metrics::default();
    let mut counters = Counters::default();
    counters.of(&"engines".into()).repeats = 40;
    counters.of(&"booking".into()).repeats = 2;
    counters.of(&"booking".into()).held_back = 7;
    counters.of(&"booking".into()).new_connections = 3;
    counters.of(&"engines".into()).reused_connections = 5;
    metrics.show_services(&counters);
    let text = metrics.text();
    let lines = [
        "cornelhitch_repeats_total{service=\"booking\"} 2",
        "cornelhitch_repeats_total{service=\"engines\"} 40",
        "cornelhitch_repeats_held_back_total{service=\"booking\"} 7",
        "cornelhitch_service_requests_total{service=\"engines\"} 0",
        "cornelhitch_target_connections_new_total{service=\"booking\"} 3",
        "cornelhitch_target_connections_reused_total{service=\"engines\"} 5",
    ];
    for line in lines {
        assert!(
            text.lines().any(|it| it == line),
            "{line} is not in\n{text}"
        );
    }
}

#[test]
fn a_burst_of_log_lines_is_limited() {
    let mut limiter = LogLimiter::default();
    let written = (0..10_000).filter(|_| limiter.allow()).count();
    assert!(written > 0 && written < 10_000, "{written}");
}
