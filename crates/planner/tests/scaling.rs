//! The number of replicas that the demand for a model needs.

use std::time::Duration;

use cornelhitch_planner::demand::{ModelDemand, ModelVersion};
use cornelhitch_planner::scale::{Supply, additional_replicas};

const NOW: Duration = Duration::from_secs(1_000);

/// A level of demand, the existing replicas, and how many more are expected.
struct Case {
    name: &'static str,
    waiting: u32,
    running: u32,
    /// Time left before the nearest deadline.
    left_s: u64,
    ready: u32,
    loading: u32,
    /// Time until the next loading replica is ready.
    next_s: u64,
    /// Time until an additional replica would be ready.
    more_s: u64,
    expected: u32,
}

// Each replica serves 10 requests concurrently, and each request takes 2 s.
#[rustfmt::skip]
const CASES: [Case; 10] = [
    Case { name: "no waiting requests", waiting: 0, running: 50, left_s: 1, ready: 1, loading: 0, next_s: 0, more_s: 5, expected: 0 },
    Case { name: "no replica", waiting: 1, running: 0, left_s: 30, ready: 0, loading: 0, next_s: 0, more_s: 5, expected: 1 },
    Case { name: "no replica, burst", waiting: 500, running: 0, left_s: 30, ready: 0, loading: 0, next_s: 0, more_s: 5, expected: 1 },
    Case { name: "one loading, ready in time", waiting: 20, running: 0, left_s: 30, ready: 0, loading: 1, next_s: 5, more_s: 5, expected: 0 },
    Case { name: "one loading, ready too late", waiting: 100, running: 0, left_s: 10, ready: 0, loading: 1, next_s: 20, more_s: 5, expected: 3 },
    Case { name: "one ready, meets the deadline", waiting: 100, running: 10, left_s: 30, ready: 1, loading: 0, next_s: 0, more_s: 5, expected: 0 },
    Case { name: "one ready, misses the deadline", waiting: 100, running: 10, left_s: 15, ready: 1, loading: 0, next_s: 0, more_s: 5, expected: 2 },
    Case { name: "an additional replica would be ready too late to help", waiting: 100, running: 10, left_s: 15, ready: 1, loading: 0, next_s: 0, more_s: 30, expected: 0 },
    Case { name: "enough replicas are loading", waiting: 100, running: 0, left_s: 15, ready: 1, loading: 1, next_s: 3, more_s: 5, expected: 0 },
    Case { name: "deadline has passed", waiting: 30, running: 0, left_s: 0, ready: 1, loading: 0, next_s: 0, more_s: 5, expected: 2 },
];

#[test]
fn replicas_are_added_only_if_deadlines_need_them() {
    for case in CASES {
        let key = ModelVersion {
            model: "report".into(),
            version: None,
        };
        let mut demand = ModelDemand::expected(key, "perth-a".into());
        demand.waiting = case.waiting;
        demand.running = case.running;
        demand.deadline = NOW + Duration::from_secs(case.left_s);
        let supply = Supply {
            ready: case.ready,
            loading: case.loading,
            next_ready: Duration::from_secs(case.next_s),
            additional_ready: Duration::from_secs(case.more_s),
            concurrency: 10,
            service_s: Some(2.0),
        };
        assert_eq!(
            additional_replicas(&demand, &supply, NOW),
            case.expected,
            "{}",
            case.name
        );
    }
}
