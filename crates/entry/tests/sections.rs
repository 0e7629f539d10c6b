//! Requests whose prompts hold sections under which targets end, from their arrival to the send.

use std::time::Duration;

use cornelhitch_entry::event::{CallId, Failure, RouteLimits};
use cornelhitch_entry::prelude::*;
use cornelhitch_settings::process::Serving;
use cornelhitch_types::entry;
use cornelhitch_types::id::Time;
use cornelhitch_types::refusal::Refusal;
use cornelhitch_types::target::{Kind, Load};
use cornelhitch_types::view::{Change, SectionCrash, Target, View};

/// Requests that the only target takes at once.
const SLOTS: u32 = 6;
/// Ends at which a section is refused.
const LIMIT: u64 = 3;

/// A host that knows one target, with all its actions so far.
struct Host {
    core: Core,
    now: Time,
    sequence: u64,
    requests: CallId,
    actions: Vec<Action>,
}

impl Host {
    /// Starts the only entry host of a fleet with one target.
    fn new() -> Self {
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
            requests: 0,
            actions: Vec::new(),
        };
        let target = Target {
            target: "w1".into(),
            incarnation: 1,
            kind: Kind::Service,
            address: ([10, 0, 0, 1], 80).into(),
            region: "perth".into(),
            zone: "a".into(),
            services: vec!["auction".into()],
            open: true,
            load: Load::default(),
            slots: Some(SLOTS),
        };
        let entry = entry::Host {
            host: 1,
            incarnation: 1,
            address: ([10, 0, 0, 9], 80).into(),
            region: "perth".into(),
            zone: "a".into(),
            load: 0,
            draining: false,
            settings: 1,
        };
        let settings = Change::Settings(1, "models: []".into());
        host.show(vec![settings, Change::Target(target), Change::Entry(entry)]);
        let until = now + Duration::from_hours(1);
        host.handle(Event::Lease { until, version: 1 });
        host
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = self.core.handle(event, self.now);
        // Control grants each trial at once.
        let asked = actions.iter().filter_map(|action| match action {
            Action::AskTrial { id, .. } => Some(*id),
            _ => None,
        });
        for id in asked.collect::<Vec<_>>() {
            let granted = Event::TrialAnswered { id, granted: true };
            actions.extend(self.core.handle(granted, self.now));
        }
        self.actions.extend(actions.iter().cloned());
        actions
    }

    /// Applies changes of the view.
    fn show(&mut self, changes: Vec<Change>) {
        let from = self.sequence;
        self.sequence += 1;
        let view = View {
            term: 1,
            from,
            to: self.sequence,
            changes,
        };
        self.handle(Event::View(view));
    }

    /// Publishes the ends of a section.
    fn publish(&mut self, section: u64, crashes: Vec<SectionCrash>) {
        self.show(vec![Change::SectionCrashes(section, crashes)]);
    }

    /// Publishes the ends of sections one after another, a second apart.
    fn publish_apart(&mut self, sections: &[(u64, Vec<SectionCrash>)]) {
        let most = sections.iter().map(|(_, crashes)| crashes.len()).max();
        for count in 1..=most.unwrap_or(0) {
            let published = sections.iter().map(|(section, crashes)| {
                let known = crashes.iter().take(count).cloned();
                Change::SectionCrashes(*section, known.collect())
            });
            self.show(published.collect());
            self.run(Time::from_secs(1));
        }
    }

    /// Lets time pass.
    fn run(&mut self, length: Time) {
        let until = self.now + length;
        while self.now < until {
            self.now += Time::from_millis(10);
            self.handle(Event::Tick);
        }
    }

    /// Receives a request with some time to its deadline.
    fn request_within(&mut self, sections: &[u64], deadline: Duration) -> (CallId, Vec<Action>) {
        self.requests += 1;
        let id = self.requests;
        let (name, method) = ("auction".into(), "POST".into());
        let what = RequestedResource::Service { name, method };
        let mut request = Request::new(id, "dealer", what);
        request.streaming = true;
        request.sections = sections.to_vec();
        request.deadline = Some(deadline);
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

    /// Receives a request.
    fn request(&mut self, sections: &[u64]) -> (CallId, Vec<Action>) {
        self.request_within(sections, Duration::from_secs(4))
    }

    /// Receives a request and writes its first byte to the target.
    fn start(&mut self, sections: &[u64]) -> CallId {
        let (id, actions) = self.request(sections);
        assert!(is_sent(&actions, id), "{actions:?}");
        self.handle(Event::Sent { id, attempt: 1 });
        id
    }

    /// Answers a request completely.
    fn answer(&mut self, id: CallId) {
        self.handle(Event::ResponseStarted { id, attempt: 1 });
        self.handle(Event::ResponseEnded { id, attempt: 1 });
    }
}

/// Whether a request is sent.
fn is_sent(actions: &[Action], sent: CallId) -> bool {
    let is_send = |action: &Action| matches!(action, Action::Send { id, .. } if *id == sent);
    actions.iter().any(is_send)
}

/// Returns the first refusal among the actions.
fn refusal(actions: &[Action]) -> Option<&Refusal> {
    actions.iter().find_map(|action| match action {
        Action::Refuse { refusal, .. } => Some(refusal),
        _ => None,
    })
}

/// Returns ends of targets, the last `trials` of them under trials.
fn ends(count: u64, requests: u32, trials: u64) -> Vec<SectionCrash> {
    let end = |number| SectionCrash {
        target: format!("t{number}").into(),
        incarnation: 1,
        index: number + 1,
        requests,
        with: Vec::new(),
        trial: number + trials >= count,
    };
    (0..count).map(end).collect()
}

#[test]
fn a_request_that_is_refused_for_its_deadline_uses_up_no_trial() {
    let mut host = Host::new();
    host.publish_apart(&[(2, ends(LIMIT, 1, 0))]);
    host.run(Time::from_millis(3_100));
    let (_, actions) = host.request_within(&[2], Duration::ZERO);
    assert!(refusal(&actions).is_some(), "{actions:?}");
    host.run(Time::from_millis(100));
    let (trial, actions) = host.request(&[2]);
    assert!(is_sent(&actions, trial), "{actions:?}");
}

#[test]
fn a_waiting_trial_is_not_sent_after_other_trials_have_ended_targets() {
    let mut host = Host::new();
    host.publish_apart(&[(2, ends(LIMIT, 1, 0))]);
    let running: Vec<CallId> = (0..SLOTS).map(|_| host.start(&[])).collect();
    host.run(Time::from_millis(3_100));
    let (trial, actions) = host.request(&[2]);
    assert!(refusal(&actions).is_none(), "{actions:?}");
    host.publish(2, ends(LIMIT + 3, 1, 3));
    host.answer(running[0]);
    host.run(Time::from_millis(500));
    assert!(!is_sent(&host.actions, trial));
}

#[test]
fn a_waiting_request_is_refused_when_an_answer_clears_what_explained_its_section() {
    let mut host = Host::new();
    let (rare, shared) = (3, 2);
    let crashes = [(rare, ends(LIMIT, 1, 0)), (shared, ends(LIMIT, 4, 0))];
    host.publish_apart(&crashes);
    host.run(Time::from_millis(1_100));
    let trial = host.start(&[rare]);
    for _ in 1..SLOTS {
        host.start(&[]);
    }
    let (waiting, actions) = host.request(&[shared]);
    assert!(refusal(&actions).is_none(), "{actions:?}");
    host.answer(trial);
    let (_, actions) = host.request(&[shared]);
    assert!(refusal(&actions).is_some(), "{actions:?}");
    host.run(Time::from_millis(200));
    assert!(!is_sent(&host.actions, waiting));
}

/// Three trials that were lost to ends for other reasons had their section refused until it expired.
#[test]
fn a_trial_whose_target_ends_late_counts_as_no_outcome() {
    for (delivered, expected) in [(100, vec![2]), (300, Vec::new())] {
        let mut host = Host::new();
        host.publish_apart(&[(2, ends(LIMIT, 1, 0))]);
        host.run(Time::from_millis(3_100));
        let id = host.start(&[2]);
        host.handle(Event::ResponseStarted { id, attempt: 1 });
        host.run(Time::from_millis(delivered));
        let actions = host.handle(Event::Failed {
            id,
            attempt: 1,
            failure: Failure::Truncated,
        });
        let tried = actions.iter().find_map(|action| match action {
            Action::Strike { suspicion, .. } => Some(suspicion.tried.clone()),
            _ => None,
        });
        assert_eq!(tried, Some(expected), "delivered for {delivered} ms");
    }
}
