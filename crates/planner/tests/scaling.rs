//! How many replicas the demand for a model needs.

use std::time::Duration;

use cornelhitch_planner::need::{Key, Need};
use cornelhitch_planner::scale::{Supply, missing};

const NOW: Duration = Duration::from_secs(1_000);

/// A level of demand, the replicas there are, and how many more are wanted.
struct Case {
    name: &'static str,
    waiting: u32,
    running: u32,
    /// Time left before the nearest deadline.
    left_s: u64,
    ready: u32,
    loading: u32,
    /// Time until the next loading one is ready.
    next_s: u64,
    /// Time until one more would be ready.
    more_s: u64,
    expected: u32,
}

// Each replica answers 10 requests at once, and each request takes 2 s.
#[rustfmt::skip]
const CASES: [Case; 10] = [
    Case { name: "nothing waits", waiting: 0, running: 50, left_s: 1, ready: 1, loading: 0, next_s: 0, more_s: 5, expected: 0 },
    Case { name: "no replica", waiting: 1, running: 0, left_s: 30, ready: 0, loading: 0, next_s: 0, more_s: 5, expected: 1 },
    Case { name: "no replica, a burst", waiting: 500, running: 0, left_s: 30, ready: 0, loading: 0, next_s: 0, more_s: 5, expected: 1 },
    Case { name: "one loads, in time", waiting: 20, running: 0, left_s: 30, ready: 0, loading: 1, next_s: 5, more_s: 5, expected: 0 },
    Case { name: "one loads, too late", waiting: 100, running: 0, left_s: 10, ready: 0, loading: 1, next_s: 20, more_s: 5, expected: 3 },
    Case { name: "one is ready, in time", waiting: 100, running: 10, left_s: 30, ready: 1, loading: 0, next_s: 0, more_s: 5, expected: 0 },
    Case { name: "one is ready, too late", waiting: 100, running: 10, left_s: 15, ready: 1, loading: 0, next_s: 0, more_s: 5, expected: 2 },
    Case { name: "one more comes after all is done", waiting: 100, running: 10, left_s: 15, ready: 1, loading: 0, next_s: 0, more_s: 30, expected: 0 },
    Case { name: "enough load already", waiting: 100, running: 0, left_s: 15, ready: 1, loading: 1, next_s: 3, more_s: 5, expected: 0 },
    Case { name: "past the deadline", waiting: 30, running: 0, left_s: 0, ready: 1, loading: 0, next_s: 0, more_s: 5, expected: 2 },
];

#[test]
fn more_only_if_the_deadlines_need_it() {
    for case in CASES {
        let key = Key {
            model: "report".into(),
            version: None,
        };
        let mut need = Need::expected(key, "perth-a".into());
        need.waiting = case.waiting;
        need.running = case.running;
        need.deadline = NOW + Duration::from_secs(case.left_s);
        let supply = Supply {
            ready: case.ready,
            loading: case.loading,
            next: Duration::from_secs(case.next_s),
            more: Duration::from_secs(case.more_s),
            concurrency: 10,
            service: Some(2.0),
        };
        assert_eq!(missing(&need, &supply, NOW), case.expected, "{}", case.name);
    }
}
