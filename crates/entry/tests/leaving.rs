//! Requests at a host that shuts down: what it accepts, and how the rest ends in its grace period.

use std::time::Duration;

use cornelhitch_entry::drain::Phases;
use cornelhitch_entry::event::RouteLimits;
use cornelhitch_entry::prelude::*;
use cornelhitch_settings::process::Serving;
use cornelhitch_types::entry::Host;
use cornelhitch_types::id::Time;
use cornelhitch_types::refusal::{Reason, Refusal, Run};
use cornelhitch_types::target::{Kind, Load};
use cornelhitch_types::view::{Change, Target, View};

/// How long callers keep addresses.
const CACHED_MS: u64 = 2_000;
/// How long callers with an older address are accepted, and when the process is killed.
const LEAVE_MS: u64 = 4_500;
const GRACE_MS: u64 = 8_000;
/// When the shutdown starts.
const START_MS: u64 = 200_000;
/// Number of responses after which a kind of request is known.
const KNOWN: u64 = 16;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Returns the time so many milliseconds after the start of the shutdown.
fn after(ms: u64) -> Time {
    at(START_MS + ms)
}

/// Returns the target with this many slots; without slots it is closed.
fn target(slots: u32) -> Change {
    Change::Target(Target {
        target: "w1".into(),
        incarnation: 1,
        kind: Kind::Service,
        address: ([10, 0, 0, 1], 80).into(),
        region: "perth".into(),
        zone: "a".into(),
        services: vec!["auction".into()],
        open: slots > 0,
        load: Load::default(),
        slots: Some(slots),
    })
}

/// Returns the view that follows another one.
fn view(from: u64, changes: Vec<Change>) -> View {
    View {
        term: 1,
        from,
        to: from + 1,
        changes,
    }
}

/// Creates a core that knows one target with this many slots.
fn core(slots: u32) -> Core {
    let serving = Serving {
        max_age_ms: CACHED_MS,
        leave_ms: LEAVE_MS,
        grace_ms: 8e3,
        quarantine: false,
        ..Serving::default()
    };
    let mut core = Core::new(Config::new(1).place("perth", "a").serving(serving), at(0));
    let settings = Change::Settings(1, "models: []".into());
    core.handle(Event::View(view(0, vec![settings, target(slots)])), at(0));
    let until = Duration::from_hours(1);
    core.handle(Event::Lease { until, version: 1 }, at(0));
    core
}

/// Returns a request whose route lets it last so many milliseconds.
fn request(id: u64, limit_ms: u64, streaming: bool) -> Request {
    let what = RequestedResource::Service {
        name: "auction".into(),
        method: "POST".into(),
    };
    let mut request = Request::new(id, "dealer", what);
    request.repeatable = false;
    request.streaming = streaming;
    request.deadline = Some(Duration::from_millis(limit_ms));
    request.terms = Some(Box::new(RouteLimits {
        route: format!("route-{limit_ms}").into(),
        attempts: 1,
        limit: Duration::from_millis(limit_ms),
        objective: Some(Duration::from_millis(600)),
        rank: 0,
        sizes: Vec::new(),
    }));
    request
}

/// Returns a request that may be repeated.
fn repeatable(id: u64, limit_ms: u64) -> Request {
    let mut request = request(id, limit_ms, false);
    request.repeatable = true;
    request
}

/// Sends a request and lets its response begin if asked to.
fn start(core: &mut Core, request: Request, begins: bool, now: Time) {
    let id = request.id;
    let actions = core.handle(Event::Arrived(request), now);
    assert!(refusal(&actions).is_none(), "{actions:?}");
    core.handle(Event::Sent { id, attempt: 1 }, now);
    if begins {
        core.handle(Event::ResponseStarted { id, attempt: 1 }, now);
    }
}

/// Lets requests of a route be answered, each in so many milliseconds.
fn answer_some(core: &mut Core, limit_ms: u64, lasts_ms: u64) {
    for id in 1_000..1_000 + KNOWN {
        let now = at((id - 1_000) * lasts_ms);
        start(core, request(id, limit_ms, true), true, now);
        let ended = Event::ResponseEnded { id, attempt: 1 };
        core.handle(ended, now + at(lasts_ms));
    }
}

/// Returns the first refusal among the actions.
fn refusal(actions: &[Action]) -> Option<&Refusal> {
    actions.iter().find_map(|action| match action {
        Action::Refuse { refusal, .. } => Some(refusal),
        _ => None,
    })
}

/// Whether a request that arrives so long after the start of the shutdown is accepted.
fn accepts(core: &mut Core, request: Request, since_ms: u64) -> bool {
    let actions = core.handle(Event::Arrived(request), after(since_ms));
    let refusal = refusal(&actions);
    if let Some(refusal) = refusal {
        assert_eq!(
            (refusal.reason, refusal.run),
            (Reason::Draining, Run::NotRun)
        );
        let detail = &refusal.detail;
        let wait = if detail.contains("others:") { 0 } else { 1_000 };
        assert_eq!(refusal.retry_after, Some(at(wait)), "{detail}");
    }
    refusal.is_none()
}

#[test]
fn requests_that_may_outlast_the_grace_period_are_refused_by_limit_and_by_what_is_usual() {
    // Limit of the route, duration of its responses before, time since the start, whether a stream or a
    // request that may not be repeated is accepted, and whether one that may be is.
    let rows = [
        (4_000, None, 3_600, true, true),
        (4_000, None, 3_800, false, false),
        (12_000, None, 2_900, true, true),
        (12_000, None, 3_000, false, false),
        (12_000, Some(500), 2_900, true, true),
        (12_000, Some(500), 3_000, false, true),
        (12_000, Some(2_000), 3_600, false, true),
        (12_000, Some(2_000), 3_800, false, false),
        (12_000, Some(4_500), 2_900, true, true),
        (12_000, Some(4_500), 3_000, false, false),
        (15_000, Some(7_000), 600, true, true),
        (15_000, Some(7_000), 800, false, false),
    ];
    for (limit_ms, usual_ms, since_ms, once, repeatable) in rows {
        let kinds = [
            (true, false, once),
            (true, true, once),
            (false, false, once),
            (false, true, repeatable),
        ];
        for (streaming, repeatable, expected) in kinds {
            let mut core = core(64);
            if let Some(usual_ms) = usual_ms {
                answer_some(&mut core, limit_ms, usual_ms);
            }
            core.handle(Event::Drain, after(0));
            let mut request = request(1, limit_ms, streaming);
            request.repeatable = repeatable;
            let accepted = accepts(&mut core, request, since_ms);
            let row = (limit_ms, usual_ms, since_ms, streaming, repeatable);
            assert_eq!(accepted, expected, "{row:?}");
        }
    }
}

#[test]
fn callers_may_retry_at_once_only_where_another_host_accepts_requests() {
    for (draining, wait_ms) in [(false, 0), (true, 1_000)] {
        let mut core = core(64);
        let other = Host {
            host: 2,
            incarnation: 1,
            address: ([10, 0, 0, 2], 80).into(),
            region: "perth".into(),
            zone: "a".into(),
            load: 0,
            draining,
            settings: 1,
        };
        core.handle(Event::View(view(1, vec![Change::Entry(other)])), after(0));
        core.handle(Event::Drain, after(0));
        let actions = core.handle(Event::Arrived(request(1, 12_000, true)), after(3_000));
        let refusal = refusal(&actions).expect("a refusal");
        assert_eq!(refusal.retry_after, Some(at(wait_ms)), "{refusal:?}");
        assert_eq!(refusal.detail.contains("10.0.0.2:80"), !draining);
    }
}

#[test]
fn a_kind_whose_running_request_lasts_longer_than_usual_is_refused() {
    let mut core = core(64);
    answer_some(&mut core, 12_000, 500);
    start(&mut core, repeatable(1, 12_000), true, at(START_MS - 2_000));
    core.handle(Event::Drain, after(0));
    assert!(accepts(&mut core, repeatable(2, 12_000), 2_500));
    assert!(!accepts(&mut core, repeatable(3, 12_000), 3_000));
}

#[test]
fn a_repeatable_request_is_not_taken_on_the_word_of_quick_answers_once_targets_are_slow() {
    // When the oldest running request arrived and when another one comes, both since the start of the
    // shutdown, and whether that one is accepted. All requests end 7.7 s after the start.
    let rows = [
        (0, 2_900, true),
        (0, 3_000, false),
        (1_000, 3_100, true),
        (1_000, 3_300, false),
        (2_500, 3_000, true),
        (2_500, 4_100, true),
        (2_500, 4_300, false),
    ];
    for (running_ms, since_ms, expected) in rows {
        let mut core = core(64);
        answer_some(&mut core, 12_000, 100);
        core.handle(Event::Drain, after(0));
        start(&mut core, repeatable(1, 12_000), false, after(running_ms));
        let accepted = accepts(&mut core, repeatable(2, 12_000), since_ms);
        assert_eq!(accepted, expected, "{:?}", (running_ms, since_ms));
    }
}

#[test]
fn a_waiting_request_is_refused_as_not_run_once_it_would_outlast_the_grace_period() {
    // Whether the request may be repeated, and when it is refused. It may last 4 s, and all requests end
    // 7.7 s after the start; callers know of the shutdown after 3 s.
    let rows = [(true, 3_700..=3_850), (false, 3_000..=3_050)];
    for (may_be_repeated, expected) in rows {
        let mut core = core(64);
        answer_some(&mut core, 12_000, 2_000);
        core.handle(Event::View(view(1, vec![target(0)])), after(0));
        core.handle(Event::Drain, after(0));
        let mut request = request(1, 12_000, false);
        request.repeatable = may_be_repeated;
        assert!(accepts(&mut core, request, 100));
        let mut refused = None;
        for since_ms in (200..LEAVE_MS).step_by(50) {
            let actions = core.handle(Event::Tick, after(since_ms));
            if let Some(refusal) = refusal(&actions) {
                refused = Some((since_ms, refusal.run));
                break;
            }
        }
        let (since_ms, run) = refused.expect("a refusal");
        assert_eq!(run, Run::NotRun);
        assert!(expected.contains(&since_ms), "{since_ms}, {expected:?}");
    }
}

#[test]
fn every_request_has_its_end_before_the_process_is_killed() {
    let mut core = core(64);
    start(&mut core, request(1, 12_000, true), true, at(START_MS - 10));
    start(
        &mut core,
        request(2, 12_000, false),
        false,
        at(START_MS - 10),
    );
    core.handle(Event::Drain, after(0));
    // A second signal does not prolong it.
    core.handle(Event::Drain, after(3_000));
    let mut ends = Vec::new();
    let mut drained = None;
    while drained.is_none() {
        let now = core.next_wake().expect("a next step");
        assert!(now <= after(GRACE_MS), "{ends:?}");
        for action in core.handle(Event::Tick, now) {
            match action {
                Action::Refuse { id, refusal } => ends.push((id, refusal.run, "refused")),
                Action::StreamError { id, refusal } => ends.push((id, refusal.run, "cut")),
                Action::Drained => drained = Some(now),
                _ => {}
            }
        }
    }
    let expected = [(1, Run::Unknown, "cut"), (2, Run::Unknown, "refused")];
    assert_eq!(ends, expected);
    let phases = Phases {
        cached: at(CACHED_MS),
        leave: at(LEAVE_MS),
        grace: at(GRACE_MS),
    };
    assert_eq!(drained, Some(at(START_MS) + phases.ends_after()));
    assert!(phases.ends_after() < phases.exits_after() && phases.exits_after() < phases.grace);
}

#[test]
fn a_grace_period_shorter_than_the_time_to_leave_goes_first() {
    let phases = Phases {
        cached: at(CACHED_MS),
        leave: at(10_000),
        grace: at(4_000),
    };
    let mut shutdown = cornelhitch_entry::drain::Shutdown::default();
    shutdown.start(phases, at(0));
    let closes = shutdown.next_step().expect("a next step");
    assert!(closes <= phases.ends_after(), "{closes:?}");
}

#[test]
fn a_kind_with_one_long_response_among_a_hundred_short_ones_is_not_taken_for_short() {
    let mut core = core(256);
    let long_ms = 6_000;
    start(&mut core, request(1, 12_000, true), true, at(0));
    core.handle(Event::ResponseEnded { id: 1, attempt: 1 }, at(long_ms));
    for id in 1_000..1_100 {
        let now = at(10_000 + (id - 1_000) * 500);
        start(&mut core, request(id, 12_000, true), true, now);
        core.handle(Event::ResponseEnded { id, attempt: 1 }, now + at(500));
    }
    core.handle(Event::Drain, after(0));
    assert!(
        !accepts(&mut core, repeatable(2, 12_000), 4_400),
        "taken 3.3 s before the end, though one in a hundred lasts 6 s"
    );
}

#[test]
fn a_repeatable_request_that_one_target_failed_keeps_the_time_that_is_left() {
    let mut core = core(64);
    answer_some(&mut core, 12_000, 2_000);
    let mut sent = request(1, 12_000, true);
    sent.repeatable = true;
    if let Some(terms) = &mut sent.terms {
        terms.attempts = 3;
    }
    start(&mut core, sent, false, at(START_MS - 500));
    core.handle(Event::Drain, after(0));
    core.handle(Event::View(view(1, vec![target(0)])), after(4_000));
    let failure = cornelhitch_entry::event::Failure::Status;
    core.handle(
        Event::Failed {
            id: 1,
            attempt: 1,
            failure,
        },
        after(4_000),
    );
    for since_ms in (4_050..=4_400).step_by(50) {
        let actions = core.handle(Event::Tick, after(since_ms));
        let refusal = refusal(&actions);
        assert!(
            refusal.is_none(),
            "given up {since_ms} ms after the start with 2 s responses and 3.3 s left: {refusal:?}"
        );
    }
}

#[test]
fn a_stream_of_a_usually_short_kind_that_comes_late_is_not_cut_at_the_end_of_the_grace_period() {
    let mut core = core(64);
    answer_some(&mut core, 13_000, 600);
    core.handle(Event::Drain, after(0));
    let actions = core.handle(Event::Arrived(request(1, 13_000, true)), after(3_260));
    if refusal(&actions).is_some() {
        return;
    }
    core.handle(Event::Sent { id: 1, attempt: 1 }, after(4_240));
    core.handle(Event::ResponseStarted { id: 1, attempt: 1 }, after(6_800));
    let actions = core.handle(Event::Tick, after(GRACE_MS));
    let cut = |action: &Action| matches!(action, Action::StreamError { .. });
    assert!(!actions.iter().any(cut), "{actions:?}");
}
