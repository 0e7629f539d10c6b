//! Streams of targets that run several versions of their software: where they go on, and how their
//! origin is told.

use std::sync::Arc;
use std::time::Duration;

use cornelhitch_entry::event::{Failure, Identity, Resumes, RouteLimits};
use cornelhitch_entry::prelude::*;
use cornelhitch_entry::software::{OriginAnswer, StreamBegun};
use cornelhitch_settings::process::Serving;
use cornelhitch_types::id::Time;
use cornelhitch_types::model::Reference;
use cornelhitch_types::refusal::{Reason, Refusal, Run};
use cornelhitch_types::route;
use cornelhitch_types::target::{Kind, Load, TargetSoftware};
use cornelhitch_types::view::{Change, Replica, State, Target, View};

/// The limit of the streams' route.
const LIMIT: Duration = Duration::from_secs(4);
const SECOND: Duration = Duration::from_secs(1);
/// The time after which a stream that is taken up cannot have begun before.
const LONG: Duration = Duration::from_secs(13);

/// An entry host that knows workers `w1`, `w2` and so on.
struct Host {
    core: Core,
    now: Time,
    sequence: u64,
}

impl Host {
    /// Starts a host with one worker of each version.
    fn new(versions: &[&str]) -> Self {
        let serving = Serving {
            quarantine: false,
            strikes: 3,
            ..Serving::default()
        };
        let now = Time::from_secs(100);
        let config = Config::new(1).place("perth", "a").serving(serving);
        let mut host = Self {
            core: Core::new(config, now),
            now,
            sequence: 0,
        };
        host.show(vec![Change::Settings(1, "models: []".into()), table()]);
        let until = now + Duration::from_hours(1);
        host.handle(Event::Lease { until, version: 1 });
        for (at, version) in versions.iter().enumerate() {
            host.start_worker(at + 1, 1, version);
        }
        host
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        self.core.handle(event, self.now)
    }

    /// Applies changes of the view.
    fn show(&mut self, changes: Vec<Change>) -> Vec<Action> {
        let from = self.sequence;
        self.sequence += 1;
        let to = self.sequence;
        let term = 1;
        self.handle(Event::View(View {
            term,
            from,
            to,
            changes,
        }))
    }

    /// Shows a worker's incarnation, which runs a version.
    fn start_worker(&mut self, number: usize, incarnation: u64, version: &str) -> Vec<Action> {
        let name = format!("w{number}");
        self.handle(Event::Software(vec![TargetSoftware {
            target: name.as_str().into(),
            incarnation,
            version: version.into(),
        }]));
        let target = Target {
            target: name.as_str().into(),
            incarnation,
            kind: Kind::Worker,
            address: ([10, 0, 0, 1], 80).into(),
            region: "perth".into(),
            zone: "a".into(),
            services: vec!["engines".into()],
            open: true,
            load: Load::default(),
            slots: Some(8),
        };
        let replica = Replica {
            replica: number as u64,
            model: route::model_id("engines", "report"),
            version: None,
            target: name.as_str().into(),
            state: State::Ready,
            ready_in_ms: 0,
            adapters: Vec::new(),
        };
        self.show(vec![Change::Target(target), Change::Replica(replica)])
    }

    /// Removes a worker from the view.
    fn remove_worker(&mut self, number: usize) -> Vec<Action> {
        let name = format!("w{number}").as_str().into();
        let replica = Change::ReplicaRemoved(number as u64);
        self.show(vec![replica, Change::TargetRemoved(name)])
    }

    /// Begins a stream; returns the number of its worker.
    fn begin(&mut self, id: u64) -> usize {
        let actions = self.handle(Event::Arrived(stream(id)));
        let worker = sent_to(&actions).expect("a send");
        self.handle(Event::Sent { id, attempt: 1 });
        self.handle(Event::ResponseStarted { id, attempt: 1 });
        worker
    }

    /// Ends the target of a stream: its connection breaks, and the target can't be reached again.
    fn break_off(&mut self, id: u64) -> Vec<Action> {
        let fail = |attempt, failure| Event::Failed {
            id,
            attempt,
            failure,
        };
        let actions = self.handle(fail(1, Failure::Truncated));
        if sent_to(&actions).is_none() {
            return actions;
        }
        self.handle(fail(2, Failure::Connect))
    }

    /// Lets a caller take a stream up, with the leader's answer about its origin.
    fn take_up(&mut self, id: u64, answer: OriginAnswer) -> Vec<Action> {
        let request = resumed(id, Resumes::Attempt(7));
        let asked = self.handle(Event::Arrived(request));
        assert!(matches!(asked[..], [Action::AskOrigin { .. }]), "{asked:?}");
        self.handle(Event::OriginAnswered {
            id,
            answer: Some(answer),
        })
    }
}

/// Returns a route table with a service that runs one model.
fn table() -> Change {
    let model = route::Model {
        name: "report".into(),
        bytes: 1 << 30,
        from_store: Duration::from_secs(6),
        from_disk: Duration::from_millis(500),
        from_memory: Duration::from_millis(300),
        adapters: Vec::new(),
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
    let service = route::Service {
        name: "engines".into(),
        connections: 10,
        engine: Some(engine),
    };
    Change::Table(Arc::new(route::RouteTable {
        version: 1,
        services: vec![service],
        ..route::RouteTable::default()
    }))
}

/// Returns a request for a stream that may be resumed.
fn stream(id: u64) -> Request {
    let what = RequestedResource::Model(Reference::base(route::model_id("engines", "report")));
    let mut request = Request::new(id, "dealer", what);
    request.streaming = true;
    request.identity = Some(Box::new(Identity {
        attempt: id,
        ..Identity::default()
    }));
    request.deadline = Some(LIMIT);
    request.terms = Some(Box::new(RouteLimits {
        route: "chat".into(),
        attempts: 2,
        limit: LIMIT,
        objective: Some(Duration::from_millis(600)),
        rank: 0,
        sizes: Vec::new(),
    }));
    request
}

/// Returns a request that takes a stream up.
fn resumed(id: u64, resumes: Resumes) -> Request {
    let identity = Identity {
        attempt: id,
        resumes: Some(resumes),
        ..Identity::default()
    };
    Request {
        identity: Some(Box::new(identity)),
        ..stream(id)
    }
}

/// Returns the number of the worker that a request is sent to.
fn sent_to(actions: &[Action]) -> Option<usize> {
    actions.iter().find_map(|action| match action {
        Action::Send { to, .. } => to.target[1..].parse().ok(),
        _ => None,
    })
}

/// Returns the refusal among the actions, of a stream that has begun or of one that has not.
fn refusal(actions: &[Action]) -> Option<&Refusal> {
    actions.iter().find_map(|action| match action {
        Action::Refuse { refusal, .. } | Action::StreamError { refusal, .. } => Some(refusal),
        _ => None,
    })
}

/// Returns the streams that the leader is told of.
fn reported(actions: &[Action]) -> Vec<u64> {
    let reports = actions.iter().filter_map(|action| match action {
        Action::ReportStreams { streams } => Some(streams),
        _ => None,
    });
    reports.flatten().map(|stream| stream.attempt).collect()
}

fn recorded(version: &str) -> OriginAnswer {
    OriginAnswer {
        recorded: Some(StreamBegun {
            attempt: 7,
            version: Some(version.into()),
        }),
        ..OriginAnswer::default()
    }
}

#[test]
fn a_broken_stream_goes_on_at_another_target_of_its_version() {
    for id in 1..20 {
        let mut host = Host::new(&["v1", "v2", "v1", "v2"]);
        let began = host.begin(id);
        let actions = host.break_off(id);
        let next = sent_to(&actions).expect("a target of its version");
        assert_eq!(next % 2, began % 2, "stream {id}");
        assert_ne!(next, began, "stream {id}");
    }
}

#[test]
fn a_broken_stream_ends_at_once_if_no_other_target_runs_its_version() {
    let mut host = Host::new(&["v1", "v2"]);
    let began = host.begin(1);
    host.remove_worker(began);
    let actions = host.break_off(1);
    let refusal = refusal(&actions).expect("the end of the stream");
    assert_eq!(refusal.reason, Reason::TargetFailed);
    assert_eq!(sent_to(&actions), None);
}

#[test]
fn a_target_that_is_back_as_another_version_gets_no_stream_of_the_one_before() {
    let mut host = Host::new(&["v1"]);
    host.begin(1);
    let actions = host.break_off(1);
    assert_eq!(sent_to(&actions), None, "the view does not tell yet");
    let actions = host.start_worker(1, 2, "v2");
    assert_eq!(sent_to(&actions), None);
    assert!(refusal(&actions).is_some(), "{actions:?}");
}

#[test]
fn a_waiting_stream_goes_on_when_a_target_of_its_version_is_back() {
    let mut host = Host::new(&["v1"]);
    host.begin(1);
    host.break_off(1);
    let actions = host.start_worker(1, 2, "v1");
    assert_eq!(sent_to(&actions), Some(1));
}

#[test]
fn a_caller_takes_a_stream_up_at_the_recorded_version_alone() {
    for id in 1..20 {
        let mut host = Host::new(&["v1", "v2", "v1", "v2"]);
        let actions = host.take_up(id, recorded("v1"));
        let worker = sent_to(&actions).expect("a send");
        assert_eq!(worker % 2, 1);
    }
    let mut host = Host::new(&["v2", "v2"]);
    let actions = host.take_up(1, recorded("v1"));
    let refusal = refusal(&actions).expect("a refusal");
    assert_eq!(
        (refusal.reason, refusal.run),
        (Reason::Unavailable, Run::NotRun)
    );
    assert!(refusal.retry_after.is_some());
}

/// What the leader has heard of a service: the versions now, for how long it has heard no others, and
/// how long ago it last heard another.
struct Heard {
    versions: &'static [&'static str],
    unchanged: Duration,
    other: Option<Duration>,
}

impl Heard {
    /// What a leader says that has led for `led`, and heard no other version.
    const fn only(versions: &'static [&'static str], led: Duration) -> Self {
        Self {
            versions,
            unchanged: led,
            other: None,
        }
    }

    /// What a leader says that has heard another version until `ago`.
    const fn other(versions: &'static [&'static str], ago: Duration) -> Self {
        Self {
            versions,
            unchanged: ago,
            other: Some(ago),
        }
    }

    /// Returns the answer of a leader whose view a host has.
    fn answer(&self, host: &Host) -> OriginAnswer {
        let ms = |time: Duration| u64::try_from(time.as_millis()).expect("short");
        let (term, view) = host.core.view_position();
        OriginAnswer {
            recorded: None,
            versions: self.versions.iter().map(|it| Some((*it).into())).collect(),
            unchanged_ms: ms(self.unchanged),
            other_heard_ms: self.other.map(ms),
            term,
            view,
        }
    }
}

#[test]
fn a_stream_without_a_record_goes_on_only_where_one_version_has_run_long_enough() {
    const NOW: Duration = Duration::ZERO;
    // The versions at this host, how long it has seen them, what the leader has heard, and whether
    // the stream goes on.
    let rows = [
        (&["v1", "v1"][..], LONG, Heard::only(&["v1"], NOW), true),
        (&["v1", "v1"], LONG, Heard::only(&[], NOW), true),
        (&["v1", "v1"], NOW, Heard::only(&["v1"], LONG), true),
        (&["v1", "v1"], LIMIT, Heard::only(&["v1"], LIMIT), false),
        (&["v1", "v1"], LONG, Heard::only(&["v2"], NOW), false),
        (&["v1", "v1"], LONG, Heard::only(&["v1", "v2"], LONG), false),
        (&["v1", "v2"], LONG, Heard::only(&["v1"], NOW), false),
        (&["v1", "v2"], LONG, Heard::only(&["v1", "v2"], LONG), false),
        // The host was out of step while the other version came and went.
        (
            &["v1", "v1"],
            LONG,
            Heard::other(&["v1"], 6 * SECOND),
            false,
        ),
        (&["v1", "v1"], LONG, Heard::other(&[], 6 * SECOND), false),
        (&["v1", "v1"], LONG, Heard::other(&["v1"], LONG), true),
    ];
    for (row, (versions, seen, heard, goes_on)) in rows.into_iter().enumerate() {
        let mut host = Host::new(versions);
        host.now += seen;
        let answer = heard.answer(&host);
        let actions = host.take_up(1, answer);
        assert_eq!(sent_to(&actions).is_some(), goes_on, "row {row}");
        assert_eq!(refusal(&actions).is_some(), !goes_on, "row {row}");
    }
}

/// A leader that has just begun does not know what its predecessor heard, so that the host's own view
/// decides: it has to be the one of that leader, and in touch since the stream can have begun.
#[test]
fn a_host_that_was_out_of_step_does_not_rely_on_its_view() {
    let young = Heard::only(&["v1"], Duration::from_millis(300));
    let mut host = Host::new(&["v1", "v1"]);
    host.now += LONG;
    let mut newer = young.answer(&host);
    newer.view += 1;
    let mut next_term = young.answer(&host);
    next_term.term += 1;
    let mut untold = young.answer(&host);
    (untold.term, untold.view) = (0, 0);
    for (id, answer) in [newer, next_term, untold].into_iter().enumerate() {
        let actions = host.take_up(id as u64 + 1, answer);
        assert!(refusal(&actions).is_some(), "answer {id}");
    }
    // Its lease has run out and is renewed.
    host.now += Duration::from_hours(1);
    let until = host.now + Duration::from_hours(1);
    host.handle(Event::Lease { until, version: 1 });
    let answer = young.answer(&host);
    let actions = host.take_up(4, answer);
    assert!(refusal(&actions).is_some(), "just in touch again");
    host.now += LONG;
    let answer = young.answer(&host);
    let actions = host.take_up(5, answer);
    assert!(sent_to(&actions).is_some(), "in touch for long enough");
}

#[test]
fn a_host_knows_the_origin_of_its_own_streams() {
    let mut host = Host::new(&["v1", "v2", "v1", "v2"]);
    // The digest of the attempt is its id; see `stream`.
    let worker = host.begin(7);
    host.break_off(7);
    let unknown = Heard::only(&["v1", "v2"], LONG).answer(&host);
    let actions = host.take_up(8, unknown);
    let next = sent_to(&actions).expect("a target of its version");
    assert_eq!(next % 2, worker % 2);
}

#[test]
fn the_leader_is_told_of_streams_while_no_host_could_tell_without_a_record() {
    // The time since this host began to watch, and whether the leader is told.
    let rows = [(Duration::ZERO, true), (LIMIT, true), (LONG, false)];
    for (watched, told) in rows {
        let mut host = Host::new(&["v1", "v1"]);
        host.now += watched;
        let actions = host.handle(Event::Arrived(stream(1)));
        assert!(sent_to(&actions).is_some());
        host.handle(Event::Sent { id: 1, attempt: 1 });
        let actions = host.handle(Event::ResponseStarted { id: 1, attempt: 1 });
        assert_eq!(!reported(&actions).is_empty(), told, "{watched:?}");
    }
}

#[test]
fn a_stream_is_refused_if_the_leader_does_not_answer() {
    let mut host = Host::new(&["v1"]);
    host.now += LONG;
    host.handle(Event::Arrived(resumed(1, Resumes::Unnamed)));
    let answer = None;
    let actions = host.handle(Event::OriginAnswered { id: 1, answer });
    assert_eq!(refusal(&actions).map(|it| it.run), Some(Run::NotRun));
}

#[test]
fn the_leader_is_told_of_streams_that_began_before_a_second_version_came() {
    let mut host = Host::new(&["v1", "v1"]);
    host.begin(1);
    let actions = host.start_worker(3, 1, "v2");
    assert_eq!(reported(&actions), [1]);
    let actions = host.handle(Event::Arrived(stream(2)));
    assert!(sent_to(&actions).is_some());
    host.handle(Event::Sent { id: 2, attempt: 1 });
    let actions = host.handle(Event::ResponseStarted { id: 2, attempt: 1 });
    assert_eq!(reported(&actions), [2]);
}

#[test]
fn a_new_leader_is_told_of_all_streams_while_two_versions_run() {
    let mut host = Host::new(&["v1", "v2"]);
    host.begin(1);
    let actions = host.handle(Event::View(View {
        term: 2,
        from: 0,
        to: 1,
        changes: vec![Change::Settings(1, "models: []".into())],
    }));
    assert_eq!(reported(&actions), [1]);
}

#[test]
fn the_record_of_a_stream_is_kept_up_by_each_try_that_names_it() {
    let mut host = Host::new(&["v1", "v2"]);
    let actions = host.take_up(1, recorded("v1"));
    assert!(sent_to(&actions).is_some(), "{actions:?}");
    host.handle(Event::Sent { id: 1, attempt: 1 });
    let actions = host.handle(Event::ResponseStarted { id: 1, attempt: 1 });
    assert_eq!(reported(&actions), [1, 7]);
}
