//! Targets that state in an answer that they leave, or that they want nothing for a time.

use std::time::Duration;

use cornelhitch_entry::event::{Failure, RouteLimits};
use cornelhitch_entry::prelude::*;
use cornelhitch_entry::target_notices::MAX_PAUSE;
use cornelhitch_settings::process::Serving;
use cornelhitch_types::id::{Incarnation, Time};
use cornelhitch_types::refusal::{Refusal, Run};
use cornelhitch_types::target::{Kind, Load, Statement};
use cornelhitch_types::view::{Change, Replica, State, Target, View};

/// What a target states that leaves.
const LEAVING: Statement = Statement {
    limit: None,
    leaving: true,
    pause: None,
};

/// A core that knows some targets of one service, with all of its actions so far.
struct Host {
    core: Core,
    now: Time,
    sequence: u64,
    requests: u64,
    actions: Vec<Action>,
}

impl Host {
    /// Starts a host that knows the targets `w1` to `w{count}` in their first incarnation, which also
    /// have a model.
    fn new(count: u64) -> Self {
        let serving = Serving {
            quarantine: false,
            strikes: 3,
            ..Serving::default()
        };
        let config = Config::new(1).place("perth", "a").serving(serving);
        let now = Time::from_secs(100);
        let mut host = Self {
            core: Core::new(config, now),
            now,
            sequence: 0,
            requests: 0,
            actions: Vec::new(),
        };
        let settings = "models: [{ name: report, bytes: 1000 }]";
        let mut changes = vec![Change::Settings(1, settings.into())];
        for number in 1..=count {
            let name = format!("w{number}");
            changes.extend([ready(&name, 1), replica(&name, number)]);
        }
        host.show(0, changes);
        let until = now + Duration::from_hours(1);
        host.handle(Event::Lease { until, version: 1 });
        host
    }

    /// Handles an event and returns the actions.
    fn handle(&mut self, event: Event) -> Vec<Action> {
        let actions = self.core.handle(event, self.now);
        self.actions.extend(actions.iter().cloned());
        actions
    }

    /// Lets time pass.
    fn run(&mut self, length: Time) {
        let until = self.now + length;
        while self.now < until {
            self.now += Time::from_millis(10);
            self.handle(Event::Tick);
        }
    }

    /// Applies changes of the view, which is complete if `from` is 0.
    fn show(&mut self, from: u64, changes: Vec<Change>) {
        self.sequence += 1;
        let view = View {
            term: 1,
            from,
            to: self.sequence,
            changes,
        };
        self.handle(Event::View(view));
    }

    /// Applies one change of the view.
    fn change(&mut self, change: Change) {
        self.show(self.sequence, vec![change]);
    }

    /// Tells what an answer of a target states.
    fn state(&mut self, target: &str, incarnation: Incarnation, statement: Statement) {
        self.handle(Event::Stated {
            target: target.into(),
            incarnation,
            statement,
        });
    }

    /// Sends a request to the service that may be repeated; returns its number and the actions.
    fn request(&mut self) -> (CallId, Vec<Action>) {
        let (name, method) = ("auction".into(), "POST".into());
        self.ask(RequestedResource::Service { name, method })
    }

    /// Sends a request that may be repeated; returns its number and the actions.
    fn ask(&mut self, what: RequestedResource) -> (CallId, Vec<Action>) {
        self.requests += 1;
        let id = self.requests;
        let mut request = Request::new(id, "dealer", what);
        request.streaming = true;
        request.deadline = Some(Duration::from_secs(4));
        request.terms = Some(Box::new(RouteLimits {
            route: "lookup".into(),
            attempts: 2,
            limit: Duration::from_secs(4),
            objective: Some(Duration::from_millis(400)),
            rank: 0,
            sizes: Vec::new(),
        }));
        (id, self.handle(Event::Arrived(request)))
    }

    /// Returns whether a request that arrives now is sent to a target.
    fn sends_to(&mut self, target: &str) -> bool {
        let (id, actions) = self.request();
        self.handle(Event::CallerDisconnected { id });
        sent_to(&actions).as_deref() == Some(target)
    }

    /// Returns the number of reports to control that a target leaves.
    fn reports(&self) -> usize {
        let report = |action: &&Action| matches!(action, Action::ReportLeaving { .. });
        self.actions.iter().filter(report).count()
    }
}

/// Returns the change of the view that shows a target as ready.
fn ready(name: &str, incarnation: Incarnation) -> Change {
    Change::Target(Target {
        target: name.into(),
        incarnation,
        kind: Kind::Service,
        address: ([10, 0, 0, 1], 80).into(),
        region: "perth".into(),
        zone: "a".into(),
        services: vec!["auction".into()],
        open: true,
        load: Load::default(),
        slots: Some(6),
    })
}

/// Returns the change of the view that shows a replica of the model as ready.
fn replica(target: &str, replica: u64) -> Change {
    Change::Replica(Replica {
        replica,
        model: "report".into(),
        version: None,
        target: target.into(),
        state: State::Ready,
        ready_in_ms: 0,
        adapters: Vec::new(),
    })
}

/// Returns the target of the first send among the actions.
fn sent_to(actions: &[Action]) -> Option<String> {
    actions.iter().find_map(|action| match action {
        Action::Send { to, .. } => Some(to.target.to_string()),
        _ => None,
    })
}

#[test]
fn a_target_that_states_that_it_leaves_is_closed_whatever_the_view_says() {
    let mut host = Host::new(1);
    assert!(host.sends_to("w1"));
    host.state("w1", 1, LEAVING);
    assert!(!host.sends_to("w1"), "after the answer");
    host.change(ready("w1", 1));
    assert!(!host.sends_to("w1"), "after a change of the view");
    host.show(0, vec![ready("w1", 1)]);
    assert!(!host.sends_to("w1"), "after a complete view");
    host.change(Change::TargetRemoved("w1".into()));
    host.run(Time::from_mins(5));
    host.change(ready("w1", 1));
    assert!(!host.sends_to("w1"), "after it was removed and registered");
    host.change(ready("w1", 2));
    assert!(host.sends_to("w1"), "after it started again");
}

#[test]
fn what_an_earlier_incarnation_states_late_closes_nothing() {
    let mut host = Host::new(1);
    host.change(ready("w1", 2));
    host.state("w1", 1, LEAVING);
    assert!(host.sends_to("w1"));
    host.state("w1", 2, LEAVING);
    host.state("w1", 1, Statement::default());
    assert!(!host.sends_to("w1"));
}

/// The connection may be opened before the answer to another request, and used after it.
#[test]
fn a_request_that_connects_is_not_sent_to_a_target_that_states_that_it_leaves() {
    let mut host = Host::new(2);
    let (id, actions) = host.request();
    let first = sent_to(&actions).expect("a send");
    host.state(&first, 1, LEAVING);
    let actions = host.handle(Event::Sent { id, attempt: 1 });
    let proceeds = |action: &Action| matches!(action, Action::Proceed { .. });
    assert!(!actions.iter().any(proceeds), "{actions:?}");
    let second = sent_to(&actions).expect("another send");
    assert_ne!(first, second);
}

#[test]
fn a_stream_whose_target_states_that_it_leaves_runs_on_and_is_resumed_elsewhere() {
    let mut host = Host::new(2);
    let model = "report".parse().expect("a reference");
    let (id, actions) = host.ask(RequestedResource::Model(model));
    let first = sent_to(&actions).expect("a send");
    let attempt = 1;
    host.handle(Event::Sent { id, attempt });
    host.state(&first, 1, LEAVING);
    let actions = host.handle(Event::ResponseStarted { id, attempt });
    let delivers = |action: &Action| matches!(action, Action::Deliver { .. });
    assert!(actions.iter().any(delivers), "{actions:?}");
    let offset = 3;
    host.handle(Event::Progress {
        id,
        attempt,
        offset,
    });
    let failure = Failure::Truncated;
    let actions = host.handle(Event::Failed {
        id,
        attempt,
        failure,
    });
    let second = sent_to(&actions).expect("a resumed send");
    assert_ne!(first, second);
}

#[test]
fn an_ejected_target_that_states_that_it_leaves_is_not_probed() {
    let mut host = Host::new(1);
    let (id, _) = host.request();
    let attempt = 1;
    host.handle(Event::Sent { id, attempt });
    let failure = Failure::Broken;
    host.handle(Event::Failed {
        id,
        attempt,
        failure,
    });
    host.state("w1", 1, LEAVING);
    host.run(Time::from_secs(30));
    let probe = |action: &Action| matches!(action, Action::Probe { .. });
    assert!(!host.actions.iter().any(probe));
}

#[test]
fn control_is_told_that_a_target_leaves_until_the_view_agrees() {
    let mut host = Host::new(1);
    host.state("w1", 1, LEAVING);
    host.state("w1", 1, LEAVING);
    assert_eq!(host.reports(), 1);
    for _ in 0..30 {
        host.run(Time::from_millis(100));
        host.change(ready("w1", 1));
    }
    assert_eq!(host.reports(), 4);
}

/// Returns what a target states that wants no requests for a time.
fn pause(length: Duration) -> Statement {
    Statement {
        pause: Some(length),
        ..Statement::default()
    }
}

/// Returns the first refusal among the actions.
fn refusal(actions: &[Action]) -> Option<&Refusal> {
    actions.iter().find_map(|action| match action {
        Action::Refuse { refusal, .. } => Some(refusal),
        _ => None,
    })
}

#[test]
fn a_target_that_names_a_time_gets_nothing_until_it_ends() {
    let mut host = Host::new(2);
    host.state("w1", 1, pause(Duration::from_secs(3)));
    // A later answer that names less ends nothing sooner, and a view changes nothing.
    host.state("w1", 1, pause(Duration::from_secs(1)));
    host.show(0, vec![ready("w1", 1), ready("w2", 1)]);
    for _ in 0..299 {
        assert!(!host.sends_to("w1"), "{:?}", host.now);
        host.run(Time::from_millis(10));
    }
    host.run(Time::from_millis(10));
    host.state("w2", 1, pause(Duration::from_secs(1)));
    assert!(host.sends_to("w1"), "{:?}", host.now);
    host.state("w1", 1, pause(Duration::from_secs(3)));
    host.change(ready("w1", 2));
    assert!(host.sends_to("w1"), "after it started again");
}

#[test]
fn where_all_targets_name_a_time_requests_are_refused_with_it_or_wait_for_it() {
    let mut host = Host::new(2);
    host.state("w1", 1, pause(Duration::from_millis(2_500)));
    host.state("w2", 1, pause(Duration::from_secs(9)));
    let (_, actions) = host.request();
    let refused = refusal(&actions).expect("a refusal at once");
    assert_eq!(refused.run, Run::NotRun);
    assert_eq!(refused.retry_after, Some(Duration::from_millis(2_500)));
    host.run(Time::from_millis(1_900));
    let (_, actions) = host.request();
    assert_eq!(refusal(&actions), None);
    assert_eq!(sent_to(&actions), None);
    let before = host.actions.len();
    host.run(Time::from_millis(610));
    let sent = sent_to(&host.actions[before..]);
    assert_eq!(sent.as_deref(), Some("w1"), "when the first time ends");
}

/// The refused request itself, those that connect, and those whose answers broke off.
#[test]
fn repeats_keep_to_the_time_that_a_target_names() {
    for failure in [Failure::Refused, Failure::Broken] {
        let mut host = Host::new(1);
        let (id, _) = host.request();
        let (connecting, _) = host.request();
        let attempt = 1;
        host.handle(Event::Sent { id, attempt });
        host.state("w1", 1, pause(Duration::from_secs(30)));
        let mut actions = host.handle(Event::Sent {
            id: connecting,
            attempt,
        });
        actions.extend(host.handle(Event::Failed {
            id,
            attempt,
            failure,
        }));
        let before = host.actions.len();
        host.run(Time::from_secs(29));
        actions.extend(host.actions[before..].iter().cloned());
        let reaches = |action: &Action| {
            matches!(
                action,
                Action::Proceed { .. } | Action::Send { .. } | Action::Probe { .. }
            )
        };
        assert!(!actions.iter().any(reaches), "{failure}: {actions:?}");
        assert!(refusal(&actions).is_some(), "{failure}");
    }
}

/// A time of days is no reason to lose a target for good.
#[test]
fn a_time_that_a_target_names_is_kept_to_within_a_bound() {
    let mut host = Host::new(1);
    host.state("w1", 1, pause(Duration::MAX));
    assert!(!host.sends_to("w1"));
    host.run(MAX_PAUSE);
    assert!(host.sends_to("w1"));
}
