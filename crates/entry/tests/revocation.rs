//! Requests whose API key is revoked while they wait to be sent.

use std::sync::Arc;
use std::time::Duration;

use cornelhitch_entry::event::{Failure, RouteLimits};
use cornelhitch_entry::prelude::*;
use cornelhitch_settings::process::Serving;
use cornelhitch_types::id::Time;
use cornelhitch_types::refusal::{Reason, Refusal, Run};
use cornelhitch_types::route::RouteTable;
use cornelhitch_types::target::{Kind, Load};
use cornelhitch_types::team::{Access, ApiKeyDigest, Team};
use cornelhitch_types::view::{Change, Target, View};

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Returns a table whose only team has these keys; without keys, the table has no teams.
fn table(version: u64, keys: &[&str], public_routes: &[&str]) -> Event {
    let team = Team {
        name: "red".into(),
        keys: keys.iter().map(|key| ApiKeyDigest::of(key)).collect(),
        priority: None,
        quota: None,
    };
    let access = Access {
        teams: vec![Arc::new(team)],
        public_routes: public_routes.iter().map(|name| (*name).into()).collect(),
    };
    Event::Table(Arc::new(RouteTable {
        version,
        access: (!keys.is_empty()).then(|| Arc::new(access)),
        ..RouteTable::default()
    }))
}

/// Returns a target of the service with one slot.
fn target(name: &str) -> Change {
    Change::Target(Target {
        target: name.into(),
        incarnation: 1,
        kind: Kind::Service,
        address: ([10, 0, 0, 1], 80).into(),
        region: "perth".into(),
        zone: "a".into(),
        services: vec!["auction".into()],
        open: true,
        load: Load::default(),
        slots: Some(1),
    })
}

/// Creates a core with these targets and a table in which `k1` and `k2` are valid.
fn core(targets: &[&str]) -> Core {
    let serving = Serving {
        quarantine: false,
        strikes: 3,
        ..Serving::default()
    };
    let config = Config::new(1).place("perth", "a").serving(serving);
    let mut core = Core::new(config, Time::ZERO);
    let settings = Change::Settings(1, "models: []".into());
    let targets = targets.iter().map(|name| target(name));
    let view = View {
        term: 1,
        from: 0,
        to: 1,
        changes: std::iter::once(settings).chain(targets).collect(),
    };
    core.handle(Event::View(view), Time::ZERO);
    let until = Duration::from_hours(1);
    core.handle(Event::Lease { until, version: 1 }, Time::ZERO);
    core.handle(table(1, &["k1", "k2"], &[]), Time::ZERO);
    core
}

/// Returns a request with a key, which may run on two targets.
fn request(id: u64, key: &str) -> Event {
    let what = RequestedResource::Service {
        name: "auction".into(),
        method: "POST".into(),
    };
    let mut request = Request::new(id, "dealer", what);
    request.deadline = Some(Duration::from_secs(8));
    request.api_key = Some(ApiKeyDigest::of(key));
    request.terms = Some(Box::new(RouteLimits {
        route: "lookup".into(),
        attempts: 2,
        limit: Duration::from_secs(8),
        objective: Some(Duration::from_secs(4)),
        rank: 0,
        sizes: Vec::new(),
    }));
    Event::Arrived(request)
}

/// Returns the refusals among the actions, by request.
fn refusals(actions: &[Action]) -> Vec<(u64, &Refusal)> {
    let refusals = actions.iter().filter_map(|action| match action {
        Action::Refuse { id, refusal } => Some((*id, refusal)),
        _ => None,
    });
    refusals.collect()
}

/// Returns the requests that are refused for their key, not run and without a time to retry.
fn denied(actions: &[Action]) -> Vec<u64> {
    let refusals = refusals(actions).into_iter().map(|(id, refusal)| {
        let found = (refusal.reason, refusal.run, refusal.retry_after);
        assert_eq!(found, (Reason::Unauthenticated, Run::NotRun, None));
        id
    });
    refusals.collect()
}

fn is_sent(actions: &[Action]) -> bool {
    let sends = |action: &Action| matches!(action, Action::Send { .. });
    actions.iter().any(sends)
}

/// Guards against a request that waits and is sent after its key was revoked, and against one that
/// is refused though its key stays valid or is no longer needed.
#[test]
fn of_the_waiting_requests_those_with_revoked_keys_are_refused() {
    let rows: [(&[&str], &[&str], &[u64]); 4] = [
        (&["k2"], &[], &[1]),
        (&["k1", "k2", "k3"], &[], &[]),
        (&["k3"], &["lookup"], &[]),
        (&[], &[], &[]),
    ];
    for (keys, public_routes, expected) in rows {
        let mut core = core(&[]);
        for (id, key) in [(1, "k1"), (2, "k2")] {
            let actions = core.handle(request(id, key), at(10));
            assert!(refusals(&actions).is_empty(), "{actions:?}");
        }
        let actions = core.handle(table(2, keys, public_routes), at(20));
        assert_eq!(denied(&actions), expected, "{keys:?}");
    }
}

/// Guards against an older table that revokes keys or brings them back.
#[test]
fn an_older_table_changes_nothing() {
    let mut core = core(&[]);
    core.handle(table(3, &["k1"], &[]), at(10));
    core.handle(request(1, "k1"), at(20));
    let actions = core.handle(table(2, &["k2"], &[]), at(30));
    assert!(denied(&actions).is_empty(), "{actions:?}");
    assert_eq!(denied(&core.handle(request(2, "k2"), at(40))), [2]);
}

/// Guards against a request that was checked by the listener under an earlier table, and whose body
/// arrived after its key was revoked.
#[test]
fn a_request_that_arrives_with_a_revoked_key_is_refused() {
    let mut core = core(&["w1"]);
    core.handle(table(2, &["k2"], &[]), at(10));
    assert_eq!(denied(&core.handle(request(1, "k1"), at(20))), [1]);
}

/// Guards against a send that proceeds after the revocation because its connection was already
/// being established.
#[test]
fn a_request_that_is_being_connected_is_refused() {
    let mut core = core(&["w1"]);
    assert!(is_sent(&core.handle(request(1, "k1"), at(10))));
    let actions = core.handle(table(2, &["k2"], &[]), at(20));
    assert_eq!(denied(&actions), [1]);
    let cancels = |action: &Action| matches!(action, Action::Cancel { id: 1, .. });
    assert!(actions.iter().any(cancels), "{actions:?}");
    let actions = core.handle(Event::Sent { id: 1, attempt: 1 }, at(30));
    let proceeds = |action: &Action| matches!(action, Action::Proceed { .. });
    assert!(!actions.iter().any(proceeds), "{actions:?}");
}

/// Guards against a request that may have run and is refused as not run.
#[test]
fn a_request_that_was_sent_continues() {
    let mut core = core(&["w1", "w2"]);
    assert!(is_sent(&core.handle(request(1, "k1"), at(10))));
    core.handle(Event::Sent { id: 1, attempt: 1 }, at(20));
    let actions = core.handle(table(2, &["k2"], &[]), at(30));
    assert!(refusals(&actions).is_empty(), "{actions:?}");
    let (id, attempt, failure) = (1, 1, Failure::Broken);
    let event = Event::Failed {
        id,
        attempt,
        failure,
    };
    let actions = core.handle(event, at(40));
    assert!(is_sent(&actions), "{actions:?}");
    let actions = core.handle(Event::Sent { id: 1, attempt: 2 }, at(50));
    assert!(refusals(&actions).is_empty(), "{actions:?}");
}

/// Guards against a request that its target declined, so that it has not run, and that is sent to
/// another target after its key was revoked.
#[test]
fn a_declined_request_is_not_sent_again() {
    let mut core = core(&["w1", "w2"]);
    core.handle(request(1, "k1"), at(10));
    core.handle(Event::Sent { id: 1, attempt: 1 }, at(20));
    core.handle(table(2, &["k2"], &[]), at(30));
    let (id, attempt, failure) = (1, 1, Failure::Refused);
    let event = Event::Failed {
        id,
        attempt,
        failure,
    };
    let mut actions = core.handle(event, at(40));
    actions.extend(core.handle(Event::Tick, at(1_000)));
    actions.extend(core.handle(Event::Sent { id: 1, attempt: 2 }, at(1_010)));
    assert_eq!(denied(&actions), [1]);
}
