//! Streams whose target ended while their sections are refused: which of them are resumed.

use std::time::Duration;

use cornelhitch_entry::event::{CallId, Failure};
use cornelhitch_entry::prelude::*;
use cornelhitch_settings::process::Serving;
use cornelhitch_types::id::Time;
use cornelhitch_types::model::Reference;
use cornelhitch_types::refusal::Reason;
use cornelhitch_types::target::{Kind, Load};
use cornelhitch_types::view::{Change, Replica, SectionCrash, State, Target, View};

const SETTINGS: &str = "models: [{ name: report, bytes: 1000 }]";
/// The section of all prompts.
const SECTION: u64 = 7;
/// Ends under the section before the stream breaks off, each a second after the last.
const ENDS: u64 = 6;
/// How long the stream has delivered when its target ends, if it speaks for its section.
const LASTING: Duration = Duration::from_secs(6);

/// A host that knows two targets.
struct Host {
    core: Core,
    now: Time,
    sequence: u64,
}

impl Host {
    fn new() -> Self {
        let serving = Serving {
            quarantine: false,
            strikes: 3,
            ..Serving::default()
        };
        let now = Time::from_secs(100);
        let core = Core::new(Config::new(1).serving(serving), now);
        let sequence = 0;
        let mut host = Self {
            core,
            now,
            sequence,
        };
        let mut changes = vec![Change::Settings(1, SETTINGS.into())];
        for (number, target) in ["w1", "w2"].into_iter().enumerate() {
            changes.push(Change::Target(Target {
                target: target.into(),
                incarnation: 1,
                kind: Kind::Worker,
                address: ([10, 0, 0, 1], 9_000).into(),
                region: "".into(),
                zone: "".into(),
                services: Vec::new(),
                open: true,
                load: Load::default(),
                slots: None,
            }));
            changes.push(Change::Replica(Replica {
                replica: number as u64 + 1,
                model: "report".into(),
                version: None,
                target: target.into(),
                state: State::Ready,
                ready_in_ms: 0,
                adapters: Vec::new(),
            }));
        }
        host.show(changes);
        let until = now + Duration::from_hours(1);
        host.handle(Event::Lease { until, version: 1 });
        host
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        self.core.handle(event, self.now)
    }

    /// Applies changes of the view.
    fn show(&mut self, changes: Vec<Change>) -> Vec<Action> {
        let from = self.sequence;
        self.sequence += 1;
        let (term, to) = (1, self.sequence);
        let view = View {
            term,
            from,
            to,
            changes,
        };
        self.handle(Event::View(view))
    }

    /// Publishes this many ends under the section.
    fn publish(&mut self, count: u64) -> Vec<Action> {
        let end = |number| SectionCrash {
            target: format!("t{number}").into(),
            incarnation: 1,
            index: number + 1,
            requests: 1,
            with: Vec::new(),
            trial: false,
        };
        let crashes = (0..count).map(end).collect();
        self.show(vec![Change::SectionCrashes(SECTION, crashes)])
    }

    /// Receives a stream and writes its first byte to a target.
    fn send(&mut self, id: CallId) {
        let what = RequestedResource::Model(Reference::base("report"));
        let mut request = Request::new(id, "dealer", what);
        request.streaming = true;
        request.fingerprint = id;
        request.sections = vec![SECTION];
        request.deadline = Some(Duration::from_mins(1));
        let actions = self.handle(Event::Arrived(request));
        assert!(sent_to(&actions, id).is_some(), "{actions:?}");
        self.handle(Event::Sent { id, attempt: 1 });
    }

    /// Delivers a token of a stream.
    fn deliver(&mut self, id: CallId, attempt: u32) {
        self.handle(Event::ResponseStarted { id, attempt });
        let offset = u64::try_from(self.now.as_millis()).expect("a short time");
        self.handle(Event::Progress {
            id,
            attempt,
            offset,
        });
    }

    /// Ends the target of a stream, which refuses connections from then on; returns what follows.
    fn end_target(&mut self, id: CallId, attempt: u32) -> Vec<Action> {
        let failure = Failure::Truncated;
        let mut actions = self.handle(Event::Failed {
            id,
            attempt,
            failure,
        });
        if sent_to(&actions, id).is_some() {
            let (attempt, failure) = (attempt + 1, Failure::Connect);
            actions.extend(self.handle(Event::Failed {
                id,
                attempt,
                failure,
            }));
        }
        self.now += Duration::from_millis(100);
        actions.extend(self.handle(Event::Tick));
        actions
    }
}

/// Returns the target that a request was sent to last.
fn sent_to(actions: &[Action], sent: CallId) -> Option<&str> {
    actions.iter().rev().find_map(|action| match action {
        Action::Send { id, to, .. } if *id == sent => Some(&*to.target),
        _ => None,
    })
}

/// Whether a request is ended for its section.
fn is_refused(actions: &[Action], refused: CallId) -> bool {
    actions.iter().any(|action| match action {
        Action::Refuse { id, refusal } | Action::StreamError { id, refusal } => {
            *id == refused && refusal.reason == Reason::Quarantined
        }
        _ => false,
    })
}

/// Breaks off a stream whose section is refused; returns the host and what follows.
fn interrupt(is_answered: bool, delivered: Duration) -> (Host, Vec<Action>) {
    let mut host = Host::new();
    if is_answered {
        host.send(1);
        host.deliver(1, 1);
        host.handle(Event::ResponseEnded { id: 1, attempt: 1 });
    }
    host.send(2);
    let from = host.now + LASTING.saturating_sub(delivered);
    for count in 1..=ENDS {
        host.publish(count);
        for _ in 0..10 {
            host.now += Duration::from_millis(100);
            if host.now > from {
                host.deliver(2, 1);
            }
            host.handle(Event::Tick);
        }
    }
    let actions = host.end_target(2, 1);
    (host, actions)
}

/// Such streams were refused for their section.
#[test]
fn a_stream_that_delivered_before_its_target_ended_is_resumed_though_its_section_is_refused() {
    let (mut host, actions) = interrupt(true, LASTING);
    assert!(!is_refused(&actions, 2), "{actions:?}");
    assert!(sent_to(&actions, 2).is_some(), "{actions:?}");
    let actions = host.publish(ENDS + 1);
    assert!(!is_refused(&actions, 2), "{actions:?}");
}

/// A section that has never been answered, or that ends targets as they begin to answer, must not
/// reach further targets by streams that are resumed.
#[test]
fn a_stream_that_says_nothing_for_its_section_is_not_resumed() {
    for (is_answered, delivered) in [(false, LASTING), (true, Duration::from_millis(100))] {
        let (_, actions) = interrupt(is_answered, delivered);
        let row = (is_answered, delivered);
        assert!(is_refused(&actions, 2), "{row:?}: {actions:?}");
        assert_eq!(sent_to(&actions, 2), None, "{row:?}");
    }
}

/// A section under which targets end late must not reach one target after another by one stream.
#[test]
fn a_stream_is_resumed_once_while_its_section_is_refused() {
    let (mut host, _) = interrupt(true, LASTING);
    let attempt = 3;
    host.handle(Event::Sent { id: 2, attempt });
    host.deliver(2, attempt);
    host.now += Duration::from_secs(1);
    let actions = host.end_target(2, attempt);
    assert!(is_refused(&actions, 2), "{actions:?}");
}
