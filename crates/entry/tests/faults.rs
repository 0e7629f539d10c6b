//! Tables of failures of attempts, claims and control, and how a core handles them.

use std::time::Duration;

use bytes::Bytes;
use cornelhitch_entry::claim::{Outcome, Reply};
use cornelhitch_entry::event::Failure;
use cornelhitch_entry::event::Failure::{Broken, Connect, MismatchedId, Status, Truncated};
use cornelhitch_entry::prelude::*;
use cornelhitch_types::id::Time;
use cornelhitch_types::model::Reference;
use cornelhitch_types::refusal::{Reason, Run};
use cornelhitch_types::target::{Kind, Load};
use cornelhitch_types::view::{Change, Replica, State, Target, View};

const SETTINGS: &str = "
models: [{ name: report, bytes: 1000 }]
services: [{ name: bids }]
";

/// The progress of an attempt when it fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Unsent,
    Sent,
    Begun,
}
use Progress::{Begun, Sent, Unsent};

/// The kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestKind {
    Model,
    Lookup,
    Bid,
}
use RequestKind::{Bid, Lookup, Model};

/// How a core handles a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Handling {
    /// Another attempt from the beginning.
    Retry,
    /// Another attempt that resumes after what the caller has.
    Resume,
    /// A refusal.
    Refused(Reason, Run),
    /// An error that ends a response that had begun.
    Broken,
}
use Handling::{Refused, Resume, Retry};

const UNKNOWN: Handling = Refused(Reason::TargetFailed, Run::Unknown);

/// The kind of request, how far it got, how it fails, and what follows.
#[rustfmt::skip]
const FAILURE_TABLE: [(RequestKind, Progress, Failure, Handling); 33] = [
    (Model,  Unsent, Connect,      Retry),
    (Model,  Unsent, DECLINED,     Retry),
    (Model,  Sent,   Connect,      Retry),
    (Model,  Sent,   DECLINED,     Retry),
    (Model,  Sent,   Broken,       Retry),
    (Model,  Sent,   MismatchedId, Retry),
    (Model,  Sent,   Truncated,    Retry),
    (Model,  Sent,   Status,       Retry),
    (Model,  Begun,  Broken,       Resume),
    (Model,  Begun,  MismatchedId, Resume),
    (Model,  Begun,  Truncated,    Resume),
    (Model,  Begun,  Status,       Resume),
    (Model,  Begun,  DECLINED,     Resume),
    (Lookup, Unsent, Connect,      Retry),
    (Lookup, Sent,   Broken,       Retry),
    (Lookup, Sent,   MismatchedId, Retry),
    (Lookup, Sent,   Truncated,    Retry),
    (Lookup, Sent,   Status,       Retry),
    (Lookup, Begun,  Truncated,    Handling::Broken),
    (Lookup, Begun,  MismatchedId, Handling::Broken),
    (Bid,    Unsent, Connect,      Retry),
    (Bid,    Unsent, DECLINED,     Retry),
    (Bid,    Unsent, Broken,       Retry),
    (Bid,    Sent,   Connect,      UNKNOWN),
    (Bid,    Sent,   DECLINED,     UNKNOWN),
    (Bid,    Sent,   Broken,       UNKNOWN),
    (Bid,    Sent,   MismatchedId, UNKNOWN),
    (Bid,    Sent,   Truncated,    UNKNOWN),
    (Bid,    Sent,   Status,       UNKNOWN),
    (Bid,    Begun,  Truncated,    Handling::Broken),
    (Bid,    Begun,  MismatchedId, Handling::Broken),
    (Bid,    Begun,  Broken,       Handling::Broken),
    (Bid,    Begun,  Status,       Handling::Broken),
];

/// An alias, since the plain name is taken by an outcome in the tables.
const DECLINED: Failure = Failure::Refused;

fn at(ms: u64) -> Time {
    Duration::from_millis(ms)
}

fn target(name: &str) -> Change {
    Change::Target(Target {
        target: name.into(),
        incarnation: 1,
        kind: Kind::Worker,
        address: ([10, 0, 0, 1], 9_000).into(),
        region: "".into(),
        zone: "".into(),
        services: vec!["bids".into()],
        open: true,
        load: Load::default(),
        slots: None,
    })
}

fn replica(id: u64, target: &str) -> Change {
    Change::Replica(Replica {
        replica: id,
        model: "report".into(),
        version: None,
        target: target.into(),
        state: State::Ready,
        ready_in_ms: 0,
        adapters: Vec::new(),
    })
}

/// Creates a core with two targets, each with a replica and the service.
fn core() -> Core {
    let mut core = Core::new(Config::new(1), at(0));
    let changes = vec![
        Change::Settings(1, SETTINGS.into()),
        target("w1"),
        target("w2"),
        replica(1, "w1"),
        replica(2, "w2"),
    ];
    view(&mut core, 0, 1, changes);
    let until = Duration::from_hours(1);
    core.handle(Event::Lease { until, version: 1 }, at(0));
    core
}

fn view(core: &mut Core, from: u64, to: u64, changes: Vec<Change>) -> Vec<Action> {
    let term = 1;
    let view = View {
        term,
        from,
        to,
        changes,
    };
    core.handle(Event::View(view), at(0))
}

fn request(id: u64, kind: RequestKind) -> Request {
    let service = |method: &str| RequestedResource::Service {
        name: "bids".into(),
        method: method.into(),
    };
    let what = match kind {
        Model => RequestedResource::Model(Reference::base("report")),
        Lookup => service("GET"),
        Bid => service("POST"),
    };
    let mut request = Request::new(id, "dealer", what);
    request.streaming = kind == Model;
    request.deadline = Some(at(10_000));
    request
}

/// Returns how the actions handle the request, if they do.
fn handling(actions: &[Action]) -> Option<Handling> {
    actions.iter().find_map(|action| match action {
        Action::Send { resume: None, .. } => Some(Retry),
        Action::Send {
            resume: Some(_), ..
        } => Some(Resume),
        Action::Refuse { refusal, .. } => Some(Refused(refusal.reason, refusal.run)),
        Action::StreamError { .. } => Some(Handling::Broken),
        _ => None,
    })
}

/// Grants reservations and wakes the core until it handles the request.
fn run_until_handled(core: &mut Core, mut actions: Vec<Action>) -> Option<Handling> {
    while handling(&actions).is_none() {
        let wake = core.next_wake()?;
        actions = core.handle(Event::Tick, wake);
        let grants = actions.iter().filter_map(|action| match action {
            Action::Reserve {
                target,
                incarnation,
            } => Some((target.clone(), *incarnation)),
            _ => None,
        });
        for (target, incarnation) in grants.collect::<Vec<_>>() {
            let granted = true;
            let event = Event::Reserved {
                target,
                incarnation,
                granted,
            };
            actions.extend(core.handle(event, wake));
        }
    }
    handling(&actions)
}

#[test]
fn each_failure_is_handled_as_the_table_says() {
    for row @ (kind, progress, failure, expected) in FAILURE_TABLE {
        let mut core = core();
        let (id, attempt) = (7, 1);
        let actions = core.handle(Event::Arrived(request(id, kind)), at(1));
        assert_eq!(handling(&actions), Some(Retry), "{row:?}");
        if progress != Unsent {
            core.handle(Event::Sent { id, attempt }, at(2));
        }
        if progress == Begun {
            core.handle(Event::ResponseStarted { id, attempt }, at(3));
            let offset = 5;
            core.handle(
                Event::Progress {
                    id,
                    attempt,
                    offset,
                },
                at(4),
            );
        }
        let failed = Event::Failed {
            id,
            attempt,
            failure,
        };
        let mut actions = core.handle(failed, at(5));
        for action in actions.clone() {
            if let Action::Reserve {
                target,
                incarnation,
            } = action
            {
                let granted = true;
                let event = Event::Reserved {
                    target,
                    incarnation,
                    granted,
                };
                actions.extend(core.handle(event, at(6)));
            }
        }
        assert_eq!(
            run_until_handled(&mut core, actions),
            Some(expected),
            "{row:?}"
        );
    }
}

/// Control's reply to a claim, and what the caller gets.
#[rustfmt::skip]
fn claim_table() -> Vec<(Reply, Option<Handling>)> {
    vec![
        (Reply::Granted,                       Some(Retry)),
        (Reply::InProgress,                    Some(Refused(Reason::InProgress, Run::Unknown))),
        (Reply::Unknown,                       Some(UNKNOWN)),
        (Reply::Mismatch,                      Some(Refused(Reason::Mismatch, Run::NotRun))),
        (Reply::Forgotten,                     Some(Refused(Reason::Forgotten, Run::Unknown))),
        (Reply::Unavailable,                   Some(Refused(Reason::Unavailable, Run::NotRun))),
        (Reply::Recorded(Bytes::from("sold")), None),
    ]
}

fn keyed(id: u64) -> Request {
    let mut request = request(id, Bid);
    request.key = Some("bid-1".into());
    request
}

#[test]
fn each_claim_reply_is_handled_as_the_table_says() {
    for (reply, expected) in claim_table() {
        let mut core = core();
        let id = 7;
        let actions = core.handle(Event::Arrived(keyed(id)), at(1));
        assert!(
            matches!(actions[..], [Action::Claim { id: 7, .. }]),
            "{actions:?}"
        );
        let claimed = Event::Claimed {
            id,
            reply: reply.clone(),
        };
        let actions = core.handle(claimed, at(2));
        assert_eq!(handling(&actions), expected, "{reply:?}");
        let replays = actions
            .iter()
            .any(|action| matches!(action, Action::Replay { .. }));
        assert_eq!(replays, matches!(reply, Reply::Recorded(_)), "{reply:?}");
        let released = releases(&actions);
        assert_eq!(released, reply == Reply::Unavailable, "{reply:?}");
    }
}

fn releases(actions: &[Action]) -> bool {
    actions.iter().any(|action| {
        let outcome = Outcome::NotRun;
        matches!(action, Action::Record { outcome: known, .. } if *known == outcome)
    })
}

#[test]
fn late_grants_are_released_each_time() {
    let mut core = core();
    let id = 7;
    core.handle(Event::Arrived(keyed(id)), at(1));
    let actions = core.handle(Event::Tick, at(10_000));
    assert_eq!(
        handling(&actions),
        Some(Refused(Reason::Expired, Run::NotRun))
    );
    assert!(releases(&actions));
    core.handle(Event::Recorded { id }, at(10_050));
    for ms in [10_100, 10_200] {
        let reply = Reply::Granted;
        let actions = core.handle(Event::Claimed { id, reply }, at(ms));
        assert!(
            releases(&actions) && handling(&actions).is_none(),
            "{actions:?}"
        );
    }
}

#[test]
fn an_unrepeatable_request_runs_past_its_deadline_to_record_its_outcome() {
    let mut core = core();
    let (id, attempt) = (7, 1);
    core.handle(Event::Arrived(keyed(id)), at(1));
    let reply = Reply::Granted;
    core.handle(Event::Claimed { id, reply }, at(2));
    core.handle(Event::Sent { id, attempt }, at(3));
    let actions = core.handle(Event::Tick, at(10_001));
    assert_eq!(
        handling(&actions),
        Some(Refused(Reason::Expired, Run::Unknown))
    );
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, Action::Cancel { .. }))
    );
    core.handle(Event::ResponseStarted { id, attempt }, at(11_000));
    let actions = core.handle(Event::ResponseEnded { id, attempt }, at(11_001));
    let outcome = Outcome::Answered;
    assert!(
        matches!(&actions[..], [Action::Record { outcome: known, .. }] if *known == outcome),
        "{actions:?}"
    );
}

#[test]
fn events_of_old_attempts_are_ignored() {
    let mut core = core();
    let id = 7;
    core.handle(Event::Arrived(request(id, Model)), at(1));
    core.handle(Event::Sent { id, attempt: 1 }, at(2));
    let failure = MismatchedId;
    core.handle(
        Event::Failed {
            id,
            attempt: 1,
            failure,
        },
        at(3),
    );
    core.handle(Event::Tick, at(100));
    core.handle(Event::Sent { id, attempt: 2 }, at(101));
    let late = [
        Event::ResponseStarted { id, attempt: 1 },
        Event::ResponseEnded { id, attempt: 1 },
        Event::Progress {
            id,
            attempt: 1,
            offset: 9,
        },
        Event::Failed {
            id,
            attempt: 1,
            failure: MismatchedId,
        },
        Event::ResponseEnded { id, attempt: 2 },
        Event::ResponseStarted { id: 8, attempt: 1 },
    ];
    for event in late {
        let actions = core.handle(event.clone(), at(102));
        assert!(actions.is_empty(), "{event:?} led to {actions:?}");
    }
}

#[test]
fn a_view_gap_requests_the_complete_view_and_invalid_settings_are_reported() {
    let mut core = core();
    let actions = view(&mut core, 5, 6, Vec::new());
    assert_eq!(actions, [Action::RequestView { from: 1 }]);
    let bad = vec![Change::Settings(2, "models: 7".into())];
    let actions = view(&mut core, 1, 2, bad);
    assert!(
        matches!(actions[..], [Action::BadSettings { version: 2, .. }]),
        "{actions:?}"
    );
    assert_eq!(core.settings_version(), 1);
    assert!(view(&mut core, 0, 1, Vec::new()).is_empty());
    assert!(handling(&core.handle(Event::Arrived(request(9, Model)), at(9))).is_some());
}

#[test]
fn a_target_that_closes_during_connect_receives_no_request() {
    let mut core = core();
    let (id, attempt) = (7, 1);
    let actions = core.handle(Event::Arrived(request(id, Bid)), at(1));
    let Some(Action::Send { to, .. }) = actions.first() else {
        panic!("{actions:?}");
    };
    view(
        &mut core,
        1,
        2,
        vec![Change::TargetRemoved(to.target.clone())],
    );
    let actions = core.handle(Event::Sent { id, attempt }, at(2));
    assert!(matches!(actions[0], Action::Cancel { .. }), "{actions:?}");
    assert_eq!(handling(&actions), Some(Retry));
}

#[test]
fn a_draining_host_accepts_requests_for_max_age_and_ends_after_the_last_one() {
    let mut core = core();
    let (id, attempt) = (7, 1);
    assert!(core.handle(Event::Drain, at(0)).is_empty());
    assert!(core.draining());
    let actions = core.handle(Event::Arrived(request(id, Model)), at(9_000));
    assert_eq!(handling(&actions), Some(Retry));
    core.handle(Event::Sent { id, attempt }, at(9_001));
    core.handle(Event::ResponseStarted { id, attempt }, at(9_002));
    assert_eq!(
        core.handle(Event::Tick, at(10_000)),
        [Action::CloseListener]
    );
    let actions = core.handle(Event::Arrived(request(8, Model)), at(10_001));
    assert_eq!(
        handling(&actions),
        Some(Refused(Reason::Draining, Run::NotRun))
    );
    let actions = core.handle(Event::ResponseEnded { id, attempt }, at(12_000));
    assert_eq!(actions, [Action::Finish { id, attempt }, Action::Drained]);
}
