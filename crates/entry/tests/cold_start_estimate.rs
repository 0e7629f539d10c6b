//! Requests for models that no target has stored nearby, or that are being loaded.

use std::time::Duration;

use cornelhitch_entry::prelude::*;
use cornelhitch_types::id::Time;
use cornelhitch_types::refusal::{Reason, Refusal, Run};
use cornelhitch_types::view::{Change, Replica, State, View};

const SETTINGS: &str = "models: [{ name: report, bytes: 1000 }]";

/// Creates a core with settings and a lease.
fn core() -> Core {
    let mut core = Core::new(Config::new(1), Time::ZERO);
    view(&mut core, 0, vec![Change::Settings(1, SETTINGS.into())]);
    let until = Duration::from_hours(1);
    core.handle(Event::Lease { until, version: 1 }, Time::ZERO);
    core
}

/// Publishes changes that follow the view at `from`.
fn view(core: &mut Core, from: u64, changes: Vec<Change>) -> Vec<Action> {
    let view = View {
        term: 1,
        from,
        to: from + 1,
        changes,
    };
    core.handle(Event::View(view), Time::from_millis(10))
}

/// Sends a request with a deadline of 4 s.
fn arrive(core: &mut Core, id: u64) -> Vec<Action> {
    let what = RequestedResource::Model("report".parse().expect("a reference"));
    let mut request = Request::new(id, "dealer", what);
    request.deadline = Some(Duration::from_secs(4));
    core.handle(Event::Arrived(request), Time::from_millis(20))
}

/// Returns the first refusal among the actions.
fn refusal(actions: &[Action]) -> Option<&Refusal> {
    actions.iter().find_map(|action| match action {
        Action::Refuse { refusal, .. } => Some(refusal),
        _ => None,
    })
}

fn loading(ready_in_ms: u32) -> Change {
    Change::Replica(Replica {
        replica: 4,
        model: "report".into(),
        version: None,
        target: "w1".into(),
        state: State::Loading,
        ready_in_ms,
        adapters: Vec::new(),
    })
}

#[test]
fn a_request_is_refused_at_once_if_a_load_from_the_store_takes_too_long() {
    let mut core = core();
    view(
        &mut core,
        1,
        vec![Change::ColdStartEstimate("report".into(), 10_200)],
    );
    let actions = arrive(&mut core, 7);
    let refusal = refusal(&actions).expect("a refusal");
    assert_eq!((refusal.reason, refusal.run), (Reason::Late, Run::NotRun));
    assert_eq!(refusal.retry_after, Some(Duration::from_millis(10_200)));
}

#[test]
fn a_waiting_request_is_refused_once_the_load_cannot_finish_in_time() {
    let mut core = core();
    assert!(refusal(&arrive(&mut core, 7)).is_none());
    view(&mut core, 1, vec![loading(10_200)]);
    let actions = core.handle(Event::Tick, Time::from_millis(500));
    let refusal = refusal(&actions).expect("a refusal");
    assert_eq!((refusal.reason, refusal.run), (Reason::Late, Run::NotRun));
}

#[test]
fn a_request_waits_for_a_load_that_ends_in_time() {
    let mut core = core();
    let changes = vec![
        Change::ColdStartEstimate("report".into(), 10_200),
        loading(2_000),
    ];
    view(&mut core, 1, changes);
    assert!(refusal(&arrive(&mut core, 7)).is_none());
}

#[test]
fn requests_wait_again_once_a_model_is_stored_nearby() {
    let mut core = core();
    view(
        &mut core,
        1,
        vec![Change::ColdStartEstimate("report".into(), 10_200)],
    );
    assert!(refusal(&arrive(&mut core, 7)).is_some());
    view(
        &mut core,
        2,
        vec![Change::ColdStartEstimate("report".into(), 0)],
    );
    assert!(refusal(&arrive(&mut core, 8)).is_none());
}

/// Control loads the model for later requests, so a refused one must count as well.
#[test]
fn a_refused_request_counts_as_demand() {
    let mut core = core();
    view(
        &mut core,
        1,
        vec![Change::ColdStartEstimate("report".into(), 10_200)],
    );
    arrive(&mut core, 7);
    let report = core.demand_report();
    let row = report.rows.iter().find(|row| &*row.model == "report");
    assert_eq!(row.map(|row| row.arrivals), Some(1));
}
