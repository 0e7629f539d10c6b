//! The main request paths through a core, one event at a time.

use std::time::Duration;

use cornelhitch_entry::event::Failure;
use cornelhitch_entry::prelude::*;
use cornelhitch_types::id::Time;
use cornelhitch_types::model::Reference;
use cornelhitch_types::refusal::{Reason, Run};
use cornelhitch_types::target::{Kind, Load};
use cornelhitch_types::view::{Change, Replica, State, Target, View};

const SETTINGS: &str = "
classes: [{ name: preview, weight: 100 }, { name: review, weight: 1, deadline-ms: 600000 }]
models: [{ name: report, bytes: 1000, adapters: [dealer-17] }]
services: [{ name: bids }]
";

fn at(ms: u64) -> Time {
    Duration::from_millis(ms)
}

fn view(from: u64, to: u64, changes: Vec<Change>) -> Event {
    Event::View(View {
        term: 1,
        from,
        to,
        changes,
    })
}

fn target(name: &str, services: &[&str]) -> Change {
    Change::Target(Target {
        target: name.into(),
        incarnation: 1,
        kind: Kind::Worker,
        address: "10.0.0.1:9000".parse().expect("an address"),
        region: "perth-a".into(),
        zone: "perth-a1".into(),
        services: services.iter().map(|name| (*name).into()).collect(),
        open: true,
        load: Load::default(),
        slots: None,
    })
}

fn replica(id: u64, target: &str, state: State) -> Change {
    Change::Replica(Replica {
        replica: id,
        model: "report".into(),
        version: None,
        target: target.into(),
        state,
        ready_in_ms: 4_000,
        adapters: Vec::new(),
    })
}

fn core() -> Core {
    let config = Config::new(1).place("perth-a", "perth-a1");
    let mut core = Core::new(config, at(0));
    let settings = Change::Settings(1, SETTINGS.into());
    assert!(core.handle(view(0, 1, vec![settings]), at(0)).is_empty());
    let until = Duration::from_hours(1);
    core.handle(Event::Lease { until, version: 1 }, at(0));
    core
}

fn report(id: u64) -> Request {
    Request::new(
        id,
        "dealer",
        RequestedResource::Model(Reference::base("report")),
    )
}

fn bid(id: u64) -> Request {
    let what = RequestedResource::Service {
        name: "bids".into(),
        method: "POST".into(),
    };
    Request::new(id, "dealer", what)
}

fn refused(actions: &[Action]) -> Option<(Reason, Run)> {
    actions.iter().find_map(|action| match action {
        Action::Refuse { refusal, .. } | Action::StreamError { refusal, .. } => {
            Some((refusal.reason, refusal.run))
        }
        _ => None,
    })
}

#[test]
fn a_request_for_an_idle_model_triggers_a_load_and_is_answered() {
    let mut core = core();
    let actions = core.handle(Event::Arrived(report(7)), at(10));
    assert_eq!(actions, [Action::Report]);
    let demand = core.demand_report();
    assert_eq!((demand.rows[0].waiting, demand.rows[0].arrivals), (1, 1));
    let changes = vec![target("w1", &[]), replica(4, "w1", State::Loading)];
    assert!(core.handle(view(1, 3, changes), at(20)).is_empty());
    let ready = vec![replica(4, "w1", State::Ready)];
    let actions = core.handle(view(3, 4, ready), at(4_000));
    let [
        Action::Send {
            id: 7,
            attempt: 1,
            to,
            resume: None,
        },
    ] = &actions[..]
    else {
        panic!("{actions:?}");
    };
    assert_eq!(to.replica, Some(4));
    let (id, attempt) = (7, 1);
    let proceed = core.handle(Event::Sent { id, attempt }, at(4_001));
    assert_eq!(proceed, [Action::Proceed { id, attempt }]);
    let deliver = core.handle(Event::ResponseStarted { id, attempt }, at(4_100));
    assert_eq!(deliver, [Action::Deliver { id, attempt }]);
    let finish = core.handle(Event::ResponseEnded { id, attempt }, at(4_200));
    assert_eq!(finish, [Action::Finish { id, attempt }]);
    assert!(
        core.handle(Event::ResponseEnded { id, attempt }, at(4_201))
            .is_empty()
    );
    assert_eq!(core.load(), 0);
}

#[test]
fn a_waiting_request_is_refused_before_its_deadline() {
    let mut core = core();
    let mut request = report(7);
    request.deadline = Some(at(1_000));
    core.handle(Event::Arrived(request), at(0));
    let mut now = at(0);
    let mut end = None;
    while let (None, Some(wake)) = (end, core.next_wake()) {
        now = wake;
        end = refused(&core.handle(Event::Tick, now));
    }
    assert_eq!(end, Some((Reason::Expired, Run::NotRun)));
    assert!(now <= at(1_000) && now >= at(900), "{now:?}");
}

#[test]
fn a_service_call_is_never_sent_twice() {
    let mut core = core();
    core.handle(view(1, 2, vec![target("b1", &["bids"])]), at(0));
    core.handle(view(2, 3, vec![target("b2", &["bids"])]), at(0));
    let actions = core.handle(Event::Arrived(bid(3)), at(5));
    assert!(matches!(
        actions[..],
        [Action::Send {
            id: 3,
            attempt: 1,
            ..
        }]
    ));
    let (id, attempt) = (3, 1);
    core.handle(Event::Sent { id, attempt }, at(6));
    let failure = Failure::Broken;
    let failed = Event::Failed {
        id,
        attempt,
        failure,
    };
    let actions = core.handle(failed, at(7));
    assert_eq!(
        refused(&actions),
        Some((Reason::TargetFailed, Run::Unknown))
    );
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, Action::Send { .. }))
    );
}

#[test]
fn a_host_without_a_lease_refuses_requests() {
    let mut core = Core::new(Config::new(1), at(0));
    let actions = core.handle(Event::Arrived(report(1)), at(0));
    assert_eq!(refused(&actions), Some((Reason::Isolated, Run::NotRun)));
}

#[test]
fn the_dump_serializes_to_json() {
    let mut core = core();
    core.handle(Event::Arrived(report(7)), at(10));
    let text = serde_json::to_string(&core.dump()).expect("a dump");
    assert!(text.contains("\"waiting\":1"), "{text}");
}

#[test]
fn a_request_that_cannot_wait_for_a_load_is_refused_at_once() {
    let mut core = core();
    let changes = vec![target("w1", &[]), replica(4, "w1", State::Loading)];
    core.handle(view(1, 2, changes), at(0));
    let mut request = report(7);
    request.deadline = Some(at(1_000));
    let actions = core.handle(Event::Arrived(request), at(100));
    let [Action::Refuse { refusal, .. }] = &actions[..] else {
        panic!("{actions:?}");
    };
    assert_eq!((refusal.reason, refusal.run), (Reason::Late, Run::NotRun));
    // The replica is ready 3.9 s after the request arrived.
    assert_eq!(refusal.retry_after, Some(at(3_900)));
    let mut patient = report(8);
    patient.deadline = Some(at(9_000));
    assert_eq!(
        refused(&core.handle(Event::Arrived(patient), at(100))),
        None
    );
}

#[test]
fn a_quarantined_fingerprint_is_refused_until_an_operator_releases_it() {
    let mut core = core();
    let ready = vec![target("w1", &[]), replica(4, "w1", State::Ready)];
    core.handle(view(1, 2, ready), at(0));
    core.handle(view(2, 3, vec![Change::StrikeCount(99, 2)]), at(0));
    let mut request = report(7);
    request.fingerprint = 99;
    let actions = core.handle(Event::Arrived(request.clone()), at(1));
    assert_eq!(refused(&actions), Some((Reason::Quarantined, Run::Failed)));
    core.handle(view(3, 4, vec![Change::StrikeCount(99, 0)]), at(2));
    request.id = 8;
    let actions = core.handle(Event::Arrived(request), at(3));
    assert!(
        matches!(actions[..], [Action::Send { id: 8, .. }]),
        "{actions:?}"
    );
}

#[test]
fn a_full_queue_sheds_the_request_that_is_last_in_turn() {
    let settings = SETTINGS.to_owned() + "refusing: { queue: 2 }\n";
    let mut core = core();
    core.handle(
        view(1, 2, vec![Change::Settings(2, settings.into())]),
        at(0),
    );
    let mut ask = |id, class: &str, now| {
        let mut request = report(id);
        request.class = Some(class.into());
        let actions = core.handle(Event::Arrived(request), at(now));
        actions.into_iter().find_map(|action| match action {
            Action::Refuse { id, refusal } => Some((id, refusal.reason)),
            _ => None,
        })
    };
    assert_eq!(ask(1, "review", 1), None);
    assert_eq!(ask(2, "review", 2), None);
    // The later review request is shed, not the preview request that arrived last.
    assert_eq!(ask(3, "preview", 3), Some((2, Reason::Overloaded)));
    assert_eq!(ask(4, "preview", 4), Some((1, Reason::Overloaded)));
    assert_eq!(ask(5, "none", 5), Some((5, Reason::Malformed)));
}
