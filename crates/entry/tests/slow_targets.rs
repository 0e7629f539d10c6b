//! When a request is retried because its target is slow to begin its response, for objectives at their edges.

mod common;

use std::sync::mpsc;
use std::time::Duration;

use cornelhitch_entry::event::RouteLimits;
use cornelhitch_entry::prelude::*;
use cornelhitch_settings::process::Serving;
use cornelhitch_types::id::Time;

use common::{at, service_target};

/// Wall-clock time after which a core that has not returned counts as hanging; its steps take microseconds.
const HANGS_AFTER: Duration = Duration::from_secs(20);

/// The limit of the route.
const LIMIT: Duration = Duration::from_secs(4);

/// Most ticks that one request may need in a second without a response.
const MAX_TICKS_PER_SECOND: u64 = 20;

/// Creates a core that knows these targets of the service.
fn core(targets: &[&str]) -> Core {
    let serving = Serving {
        quarantine: false,
        ..Serving::default()
    };
    let targets = targets.iter().map(|name| service_target(name));
    common::core(serving, "models: []", targets.collect())
}

/// Returns a repeatable request on a route with this objective.
fn request(objective: Option<Duration>) -> Request {
    let what = RequestedResource::Service {
        name: "auction".into(),
        method: "POST".into(),
    };
    let mut request = Request::new(7, "dealer", what);
    request.streaming = true;
    request.deadline = Some(LIMIT);
    request.terms = Some(Box::new(RouteLimits {
        route: "lookup".into(),
        attempts: 2,
        limit: LIMIT,
        objective,
        rank: 0,
        sizes: Vec::new(),
    }));
    request
}

/// Sends a request to its first target and waits for a response until the request ends; returns the ticks
/// that this takes and when the request was sent to another target.
fn wait_in_vain(targets: &[&str], objective: Option<Duration>) -> (u64, Option<Time>) {
    let mut core = core(targets);
    core.handle(Event::Arrived(request(objective)), at(10));
    core.handle(Event::Sent { id: 7, attempt: 1 }, at(10));
    let (mut ticks, mut moved) = (0, None);
    while core.load() > 0 {
        let wake = core.next_wake().expect("a request has a timer");
        let actions = core.handle(Event::Tick, wake);
        let is_sent = |action: &Action| matches!(action, Action::Send { .. });
        if actions.iter().any(is_sent) {
            moved = moved.or(Some(wake.saturating_sub(at(10))));
        }
        ticks += 1;
        assert!(
            ticks < 1_000_000,
            "the core is stepped without end at {wake:?}"
        );
    }
    (ticks, moved)
}

/// Runs a scenario in a thread of its own, so that a core that never returns fails the test.
fn returns<T: Send + 'static>(scenario: impl FnOnce() -> T + Send + 'static) -> T {
    let (done, outcome) = mpsc::channel();
    std::thread::spawn(move || done.send(scenario()));
    let outcome = outcome.recv_timeout(HANGS_AFTER);
    outcome.expect("the core does not return from a step")
}

/// Guards against a host that answers nothing any more after one request on a route with objective 0, whose only
/// target is asked: its timer was set to the current time again and again within one step (review/6).
#[test]
fn a_request_with_nowhere_else_to_go_takes_few_steps_whatever_its_objective() {
    let nanos = [1, 75, 10_000, 1_000_000, 1_000_000_000, u64::MAX];
    let objectives = nanos.map(Duration::from_nanos).map(Some);
    let objectives = objectives.into_iter().chain([None, Some(Duration::MAX)]);
    for objective in objectives {
        let (ticks, moved) = returns(move || wait_in_vain(&["w1"], objective));
        assert_eq!(moved, None, "{objective:?}");
        let most = MAX_TICKS_PER_SECOND * LIMIT.as_secs();
        assert!(
            ticks <= most,
            "{ticks} steps with the objective {objective:?}"
        );
    }
}

/// Guards against requests that run on two targets though the first is not slow: no target can begin a response
/// sooner than a round trip takes.
#[test]
fn a_target_has_time_to_respond_however_short_the_objective_is() {
    let objectives = [1, 10_000, 1_000_000].map(Duration::from_nanos).map(Some);
    for objective in objectives {
        let (_, moved) = returns(move || wait_in_vain(&["w1", "w2"], objective));
        let moved = moved.expect("the other target has room");
        assert!(moved >= at(100), "{objective:?}: after {moved:?}");
    }
}

/// Guards against a route without an objective whose requests wait for a target that never answers until their
/// time is over, though another one has room.
#[test]
fn without_an_objective_a_request_moves_on_after_a_part_of_its_time() {
    let (_, moved) = returns(|| wait_in_vain(&["w1", "w2"], None));
    let moved = moved.expect("the other target has room");
    assert!((LIMIT / 4..LIMIT / 3).contains(&moved), "after {moved:?}");
}
