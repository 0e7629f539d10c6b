//! Requests that arrive through a route: where they are sent and when they are retried.

use std::sync::Arc;
use std::time::Duration;

use cornelhitch_entry::event::{Failure, RouteLimits};
use cornelhitch_entry::prelude::*;
use cornelhitch_settings::process::Serving;
use cornelhitch_types::id::Time;
use cornelhitch_types::model::Reference;
use cornelhitch_types::refusal::{Reason, Refusal, Run};
use cornelhitch_types::route;
use cornelhitch_types::target::{Kind, Load};
use cornelhitch_types::view::{Change, Target, View};

const SETTINGS: &str = "models: []";

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Returns a target of the service in a zone.
fn target(name: &str, zone: &str, open: bool) -> Change {
    Change::Target(Target {
        target: name.into(),
        incarnation: 1,
        kind: Kind::Service,
        address: ([10, 0, 0, 1], 80).into(),
        region: "perth".into(),
        zone: zone.into(),
        services: vec!["auction".into()],
        open,
        load: Load::default(),
        slots: Some(6),
    })
}

/// Creates a core in zone `a` that knows these targets.
fn core(targets: Vec<Change>) -> Core {
    core_with(targets, Serving::default())
}

/// Creates a core in zone `a` with these serving settings, which may share the retry budget.
fn core_with(targets: Vec<Change>, serving: Serving) -> Core {
    // The bodies of routed requests cannot be told apart, so quarantine is off.
    let serving = Serving {
        quarantine: false,
        strikes: 3,
        ..serving
    };
    let config = Config::new(1).place("perth", "a").serving(serving);
    let mut core = Core::new(config, Time::ZERO);
    let settings = Change::Settings(1, SETTINGS.into());
    let view = View {
        term: 1,
        from: 0,
        to: 1,
        changes: std::iter::once(settings).chain(targets).collect(),
    };
    core.handle(Event::View(view), Time::ZERO);
    let until = Duration::from_hours(1);
    core.handle(Event::Lease { until, version: 1 }, Time::ZERO);
    core
}

fn core_with_two_targets() -> Core {
    core(vec![target("w1", "a", true), target("w2", "a", true)])
}

/// Returns a request for the service, which may run on two targets if it is repeatable.
fn request(repeatable: bool) -> Request {
    let what = RequestedResource::Service {
        name: "auction".into(),
        method: "POST".into(),
    };
    let mut request = Request::new(7, "dealer", what);
    request.repeatable = repeatable;
    request.streaming = true;
    request.deadline = Some(Duration::from_secs(8));
    request.terms = Some(Box::new(RouteLimits {
        route: "lookup".into(),
        attempts: 2,
        limit: Duration::from_secs(4),
        objective: Some(Duration::from_millis(400)),
        rank: 0,
        sizes: Vec::new(),
    }));
    request
}

/// Returns the target and the attempt of the first send among the actions.
fn send(actions: &[Action]) -> Option<(String, u32)> {
    actions.iter().find_map(|action| match action {
        Action::Send { attempt, to, .. } => Some((to.target.to_string(), *attempt)),
        _ => None,
    })
}

/// Returns the first refusal among the actions.
fn refusal(actions: &[Action]) -> Option<&Refusal> {
    actions.iter().find_map(|action| match action {
        Action::Refuse { refusal, .. } => Some(refusal),
        _ => None,
    })
}

/// Sends a request and returns its first target.
fn send_first(core: &mut Core, request: Request) -> String {
    let actions = core.handle(Event::Arrived(request), at(10));
    let (target, attempt) = send(&actions).expect("a send");
    core.handle(Event::Sent { id: 7, attempt }, at(11));
    target
}

fn fail(core: &mut Core, attempt: u32, failure: Failure, ms: u64) -> Vec<Action> {
    let event = Event::Failed {
        id: 7,
        attempt,
        failure,
    };
    core.handle(event, at(ms))
}

#[test]
fn a_repeatable_request_is_retried_on_another_target() {
    let mut core = core_with_two_targets();
    let first = send_first(&mut core, request(true));
    let actions = fail(&mut core, 1, Failure::Broken, 50);
    let (second, attempt) = send(&actions).unwrap_or_else(|| panic!("{actions:?}"));
    assert_ne!(first, second);
    assert_eq!(attempt, 2);
}

#[test]
fn an_unrepeatable_request_fails_with_outcome_unknown() {
    let mut core = core_with_two_targets();
    send_first(&mut core, request(false));
    let actions = fail(&mut core, 1, Failure::Broken, 50);
    assert_eq!(send(&actions), None);
    let refusal = refusal(&actions).expect("a refusal");
    assert_eq!(
        (refusal.reason, refusal.run),
        (Reason::TargetFailed, Run::Unknown)
    );
}

/// Either nothing of the request reached a target, or the target declares that it did not run it.
#[test]
fn a_request_that_did_not_run_is_always_retried_on_another_target() {
    let mut connecting = core_with_two_targets();
    let actions = connecting.handle(Event::Arrived(request(false)), at(10));
    assert!(send(&actions).is_some());
    let actions = fail(&mut connecting, 1, Failure::Connect, 50);
    assert!(send(&actions).is_some(), "{actions:?}");
    for failure in [Failure::Refused, Failure::WrongTarget] {
        let mut core = core_with_two_targets();
        let first = send_first(&mut core, request(false));
        let mut actions = fail(&mut core, 1, failure, 50);
        actions.extend(core.handle(Event::Tick, at(200)));
        let (second, _) = send(&actions).expect("another attempt");
        assert_ne!(first, second, "{failure}");
    }
}

#[test]
fn no_more_targets_run_a_request_than_its_route_allows() {
    let mut core = core(vec![
        target("w1", "a", true),
        target("w2", "a", true),
        target("w3", "a", true),
    ]);
    send_first(&mut core, request(true));
    assert!(send(&fail(&mut core, 1, Failure::Broken, 50)).is_some());
    core.handle(Event::Sent { id: 7, attempt: 2 }, at(51));
    let actions = fail(&mut core, 2, Failure::Broken, 90);
    assert_eq!(send(&actions), None);
    assert_eq!(
        refusal(&actions).map(|refusal| refusal.reason),
        Some(Reason::TargetFailed)
    );
}

/// The target does not begin its response within three quarters of the latency objective.
#[test]
fn a_repeatable_request_is_retried_if_its_target_is_slow() {
    let mut repeatable = core_with_two_targets();
    let first = send_first(&mut repeatable, request(true));
    let mut actions = repeatable.handle(Event::Tick, at(11 + 310));
    actions.extend(repeatable.handle(Event::Tick, at(11 + 410)));
    let cancelled = actions
        .iter()
        .any(|action| matches!(action, Action::Cancel { .. }));
    let (second, _) = send(&actions).unwrap_or_else(|| panic!("{actions:?}"));
    assert!(cancelled && first != second, "{actions:?}");
    let mut unrepeatable = core_with_two_targets();
    send_first(&mut unrepeatable, request(false));
    let actions = unrepeatable.handle(Event::Tick, at(11 + 310));
    assert!(
        send(&actions).is_none() && refusal(&actions).is_none(),
        "{actions:?}"
    );
}

#[test]
fn a_target_that_ends_as_its_slow_request_is_moved_is_a_strike() {
    let mut core = core_with_two_targets();
    send_first(&mut core, request(true));
    core.handle(Event::Tick, at(11 + 310));
    core.handle(Event::Tick, at(11 + 410));
    let actions = fail(&mut core, 1, Failure::Broken, 430);
    let strike = |action: &Action| matches!(action, Action::Strike { strikes: 1, .. });
    assert!(actions.iter().any(strike), "{actions:?}");
}

#[test]
fn an_answer_clears_no_strike_that_was_counted_after_its_request_was_sent() {
    let mut core = core_with_two_targets();
    let copies = [7, 8].map(|id| Request {
        id,
        fingerprint: 99,
        ..request(true)
    });
    for copy in copies {
        let id = copy.id;
        core.handle(Event::Arrived(copy), at(10));
        core.handle(Event::Sent { id, attempt: 1 }, at(10));
    }
    let failed = Event::Failed {
        id: 8,
        attempt: 1,
        failure: Failure::Broken,
    };
    core.handle(failed, at(20));
    core.handle(Event::ResponseStarted { id: 7, attempt: 1 }, at(30));
    let actions = core.handle(Event::ResponseEnded { id: 7, attempt: 1 }, at(30));
    let clears = |action: &Action| matches!(action, Action::ClearStrikes { .. });
    assert!(!actions.iter().any(clears), "{actions:?}");
}

#[test]
fn a_request_expires_at_the_limit_of_its_route() {
    let mut core = core_with_two_targets();
    send_first(&mut core, request(false));
    let early = core.handle(Event::Tick, at(10 + 3_900));
    assert!(refusal(&early).is_none(), "{early:?}");
    let actions = core.handle(Event::Tick, at(10 + 4_001));
    let refusal = refusal(&actions).expect("a refusal");
    assert_eq!(
        (refusal.reason, refusal.run),
        (Reason::Expired, Run::Unknown)
    );
}

#[test]
fn a_closed_target_gets_no_requests() {
    let mut core = core(vec![target("w1", "a", false), target("w2", "b", true)]);
    assert_eq!(send_first(&mut core, request(true)), "w2");
}

#[test]
fn targets_in_the_same_zone_are_preferred() {
    let targets = || {
        vec![
            target("w1", "b", true),
            target("w2", "a", true),
            target("w3", "b", true),
        ]
    };
    for id in 0..20 {
        let mut core = core(targets());
        let mut request = request(true);
        request.id = 100 + id;
        let actions = core.handle(Event::Arrived(request), at(10 + id));
        assert_eq!(
            send(&actions).map(|(target, _)| target).as_deref(),
            Some("w2")
        );
    }
}

/// Sends requests and answers each; returns how many each target got. Targets named in `failing`
/// answer with errors.
fn send_and_answer(
    core: &mut Core,
    ids: std::ops::Range<u64>,
    ms: u64,
    failing: &str,
) -> [usize; 2] {
    let mut got = [0, 0];
    for id in ids {
        let mut request = request(false);
        request.id = id;
        let actions = core.handle(Event::Arrived(request), at(ms));
        let (target, attempt) = send(&actions).expect("a send");
        got[usize::from(target == "w2")] += 1;
        let error = failing.contains(&target);
        let incarnation = 1;
        core.handle(Event::Sent { id, attempt }, at(ms));
        let target = target.as_str().into();
        let event = Event::ResponseHead {
            target,
            incarnation,
            error,
        };
        core.handle(event, at(ms));
        core.handle(Event::ResponseStarted { id, attempt }, at(ms));
        core.handle(Event::ResponseEnded { id, attempt }, at(ms));
    }
    got
}

/// Guards against a target that answers every request with status 500, as quickly as a healthy one,
/// and thereby keeps its full share of requests that cannot be retried
/// (incident inc-4894, one worker of three).
#[test]
fn a_failing_target_is_avoided_while_another_is_healthy() {
    let mut core = core_with_two_targets();
    let first = send_and_answer(&mut core, 100..160, 10, "w1");
    assert!(first[0] < 6, "{first:?}");
    // It is tried again some time after its last error, and is healthy then.
    let later = send_and_answer(&mut core, 200..260, 60_000, "");
    assert!(later[0] > 10, "{later:?}");
}

#[test]
fn all_targets_are_used_if_all_are_failing() {
    let mut core = core_with_two_targets();
    let got = send_and_answer(&mut core, 100..160, 10, "w1 w2");
    assert!(got.iter().all(|requests| *requests > 10), "{got:?}");
}

/// The error may be caused by the request itself.
#[test]
fn a_single_error_does_not_mark_a_target_as_failing() {
    let mut core = core_with_two_targets();
    send_and_answer(&mut core, 100..101, 10, "w1 w2");
    let got = send_and_answer(&mut core, 200..260, 20, "");
    assert!(got.iter().all(|requests| *requests > 10), "{got:?}");
}

/// Returns a route table with a service that runs models.
fn table(version: u64) -> Change {
    let model = route::Model {
        name: "report".into(),
        bytes: 1 << 30,
        from_store: Duration::from_secs(6),
        from_disk: Duration::from_millis(500),
        from_memory: Duration::from_millis(300),
        adapters: vec!["a1".into()],
        adapter_bytes: 1 << 20,
    };
    let engine = route::WorkerCapacity {
        slots: 8,
        kv_cache_tokens: 1_000,
        memory: 4 << 30,
        host_memory: 0,
        disk: 0,
        adapters: 2,
        start_interval: Duration::from_millis(500),
        models: vec![model],
    };
    let service = |name: &str, engine| route::Service {
        name: name.into(),
        connections: 10,
        engine,
    };
    Change::Table(Arc::new(route::RouteTable {
        version,
        services: vec![service("auction", None), service("engines", Some(engine))],
        ..route::RouteTable::default()
    }))
}

/// Returns a routed request for a model with an adapter.
fn model_request(id: u64) -> Request {
    let mut request = request(false);
    request.id = id;
    request.what = RequestedResource::Model(Reference {
        adapter: Some("a1".into()),
        ..Reference::base(route::model_id("engines", "report"))
    });
    request
}

#[test]
fn routed_requests_survive_a_settings_change() {
    let mut core = core(vec![table(1), target("w1", "a", false)]);
    let mut actions = core.handle(Event::Arrived(request(true)), at(10));
    actions.extend(core.handle(Event::Arrived(model_request(8)), at(10)));
    assert_eq!(refusal(&actions), None);
    let view = View {
        term: 1,
        from: 1,
        to: 2,
        changes: vec![Change::Settings(2, SETTINGS.into())],
    };
    let actions = core.handle(Event::View(view), at(20));
    assert_eq!(refusal(&actions), None);
    assert_eq!(core.load(), 2, "both still wait");
}

/// A request that did not arrive through a route depends on the settings.
#[test]
fn a_waiting_request_is_refused_when_the_settings_drop_its_service() {
    let mut core = core(vec![]);
    let view = |from, version, text: &str| {
        Event::View(View {
            term: 1,
            from,
            to: from + 1,
            changes: vec![Change::Settings(version, text.into())],
        })
    };
    core.handle(
        view(1, 2, "models: []\nservices: [{ name: auction }]"),
        at(5),
    );
    let mut request = request(true);
    request.terms = None;
    assert_eq!(refusal(&core.handle(Event::Arrived(request), at(10))), None);
    let actions = core.handle(view(2, 3, SETTINGS), at(20));
    let refusal = refusal(&actions).expect("a refusal");
    assert_eq!(refusal.reason, Reason::Unknown);
}

/// Such a view is the reply to a request sent before the newest change arrived over another
/// connection. It must not be discarded, since it also holds newer changes.
#[test]
fn a_view_that_overlaps_known_changes_is_applied() {
    let mut core = core(vec![target("w1", "a", true), target("w2", "a", true)]);
    let mut tell = |from, to, changes| {
        let term = 1;
        let view = View {
            term,
            from,
            to,
            changes,
        };
        core.handle(Event::View(view), at(5));
        core.view_position()
    };
    let first = target("w2", "a", true);
    assert_eq!(tell(1, 2, vec![first.clone()]), (1, 2));
    assert_eq!(tell(1, 3, vec![first, target("w1", "a", false)]), (1, 3));
    // A view with nothing new is ignored.
    assert_eq!(tell(1, 2, vec![target("w2", "a", false)]), (1, 3));
    assert_eq!(send_first(&mut core, request(true)), "w2");
}

/// Targets decline all requests and the retry budget is spent.
#[test]
fn a_request_without_retry_budget_is_refused_early_with_retry_after() {
    let serving = Serving {
        retry_window_ms: 10e3,
        ..Serving::default()
    };
    let targets = vec![target("w1", "a", true), target("w2", "a", true)];
    let mut core = core_with(targets, serving);
    let mut waits = Vec::new();
    for id in 100..112 {
        let since = at((id - 100) * 400);
        let mut request = request(id % 2 == 0);
        request.id = id;
        let mut actions = core.handle(Event::Arrived(request), since);
        let mut now = since;
        while refusal(&actions).is_none() && now < since + at(4_000) {
            if let Some((_, attempt)) = send(&actions) {
                core.handle(Event::Sent { id, attempt }, now);
                let failure = Failure::Refused;
                let event = Event::Failed {
                    id,
                    attempt,
                    failure,
                };
                actions = core.handle(event, now + at(5));
            }
            if send(&actions).is_none() && refusal(&actions).is_none() {
                now += at(10);
                actions = core.handle(Event::Tick, now);
            }
        }
        let refusal = refusal(&actions).expect("a refusal");
        assert_eq!(refusal.run, Run::NotRun, "{refusal:?}");
        assert!(refusal.retry_after.is_some(), "{refusal:?}");
        waits.push(now.saturating_sub(since));
    }
    let longest = waits.iter().max().expect("some");
    assert!(*longest <= at(1_500), "{waits:?}");
}

/// The time by which the failed attempt was to begin its answer ended the wait for another one.
#[test]
fn a_retry_waits_for_a_target_until_the_deadline() {
    for failure in [Failure::Broken, Failure::Refused] {
        let mut core = core(vec![target("w1", "a", true)]);
        send_first(&mut core, request(true));
        let mut actions = core.handle(Event::View(closing(2, "w1")), at(19));
        actions.extend(fail(&mut core, 1, failure, 20));
        for ms in (30..3_500).step_by(10) {
            actions.extend(core.handle(Event::Tick, at(ms)));
        }
        assert_eq!(refusal(&actions), None, "{failure}");
        let refused = core.handle(Event::Tick, at(4_010));
        let refused = refusal(&refused).expect("a refusal");
        assert_eq!(refused.reason, Reason::Expired, "{failure}");
    }
}

/// Returns a view in which a target no longer takes requests.
fn closing(to: u64, name: &str) -> View {
    View {
        term: 1,
        from: to - 1,
        to,
        changes: vec![target(name, "a", false)],
    }
}

/// Guards against requests that are lost among announced targets which nobody can reach.
#[test]
fn a_request_is_retried_on_a_target_that_has_answered() {
    for repetition in 0..20 {
        let unreachable = (0..200).map(|number| target(&format!("t{number}"), "a", true));
        let mut core = core(unreachable.chain([target("w1", "b", true)]).collect());
        let answered = Event::ResponseHead {
            target: "w1".into(),
            incarnation: 1,
            error: false,
        };
        core.handle(answered, at(5));
        let actions = core.handle(Event::Arrived(request(false)), at(10));
        let (mut sent_to, attempt) = send(&actions).expect("a send");
        if sent_to != "w1" {
            let actions = fail(&mut core, attempt, Failure::Connect, 50);
            (sent_to, _) = send(&actions).expect("another send");
        }
        assert_eq!(sent_to, "w1", "in repetition {repetition}");
    }
}
