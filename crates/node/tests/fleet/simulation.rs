//! Simulates entry hosts, the leader with its replicated state, and targets that end or name limits.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use cornelhitch_control::prelude::*;
use cornelhitch_control::sections::{self, Acquittal};
use cornelhitch_entry::event::{Attempt, CallId, Failure, Identity, RouteLimits};
use cornelhitch_entry::prelude::*;
use cornelhitch_node::trials::Trials;
use cornelhitch_planner::Planner;
use cornelhitch_planner::decision::Decision;
use cornelhitch_planner::fleet_state::FleetState;
use cornelhitch_settings::process::{IsolationPolicy, Serving};
use cornelhitch_types::entry;
use cornelhitch_types::id::{HostId, Incarnation, Name, Time};
use cornelhitch_types::refusal::Reason;
use cornelhitch_types::target::{
    AnnouncedHeartbeat, Announcement, Heartbeat, Kind, Load, RequestRate, Statement,
};
use cornelhitch_types::view::View;

/// Duration of one simulation step.
const STEP: Time = Time::from_millis(10);
/// How long a target takes to answer, or to end under a request that crashes it.
const ATTEMPT: Time = Time::from_millis(30);
/// How long a target takes to begin an answer to a request with sections.
const FIRST_TOKEN: Time = Time::from_millis(40);
/// How long after its start a target ends under a section that crashes it.
const SECTION_CRASH: Time = Time::from_millis(50);
/// How long a target takes to answer a request with sections.
const GENERATION: Time = Time::from_secs(1);
/// Time between two heartbeats of a target.
const HEARTBEAT: Time = Time::from_millis(1_200);
/// Time between two lease renewals of an entry host.
const RENEWAL: Time = Time::from_millis(500);
/// How long a target is down after it ended, unless a fleet sets another time.
const DOWNTIME: Time = Time::from_secs(3);
/// How long before a request its host must have known a limit for the request to count.
const TOLD_FOR: Time = Time::from_millis(500);
/// How long after a target first named a limit requests count.
const KNOWN_AFTER: Time = Time::from_secs(4);
/// The number of the entry host at index 0.
const FIRST_HOST: HostId = 100;

/// A planner without decisions: the targets are plain services.
struct NoPlanner;

impl Planner for NoPlanner {
    fn plan(&mut self, _: &FleetState, _: Time) -> Vec<Decision> {
        Vec::new()
    }

    fn explain(&self, _: &str, _: Time) -> Vec<String> {
        Vec::new()
    }
}

/// A target; each start is a new incarnation under the same name.
struct Target {
    life: Incarnation,
    heartbeats: u64,
    heartbeat_at: Time,
    down_until: Option<Time>,
    /// The requests per second that it takes from all hosts, if it names a limit.
    limit: Option<f64>,
    /// Whether it states in its answers that it leaves.
    leaving: bool,
    /// The only host whose answers name the limit, if not all do.
    tells_only: Option<usize>,
    /// When an answer first named the current limit.
    named_at: Option<Time>,
    /// When each host first got an answer that names the current limit.
    told: BTreeMap<usize, Time>,
}

impl Target {
    /// Begins to name a limit as if for the first time.
    fn forget_told(&mut self) {
        self.named_at = None;
        self.told.clear();
    }
}

/// A request that reached a target.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    pub id: CallId,
    pub target: usize,
    pub at: Time,
    /// Whether the target has named its limit for [`KNOWN_AFTER`], and the host that sent it has
    /// known it for [`TOLD_FOR`].
    pub told: bool,
}

/// How many of a number of runs are answered with an error.
#[derive(Debug, Clone, Copy)]
struct Errors {
    errors: u64,
    runs: u64,
}

/// One send of one request.
#[derive(Clone)]
struct PendingSend {
    host: usize,
    id: CallId,
    attempt: Attempt,
    target: usize,
    life: Incarnation,
    at: Time,
    /// Whether the host knew a limit of the target.
    limited: bool,
    /// Whether the first byte was written.
    running: bool,
    /// Whether the answer began.
    begun: bool,
}

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// It was answered completely.
    Answered,
    /// It was refused, or its answer was aborted.
    Refused(Reason),
}

/// The simulated fleet.
pub struct Fleet {
    pub now: Time,
    /// Times at which a target ended under the crashing request.
    pub crashes: Vec<Time>,
    /// Requests under whose sections targets ended, and when.
    pub crashed: Vec<(Time, CallId)>,
    /// When requests arrived at their hosts.
    pub sent: BTreeMap<CallId, Time>,
    /// How requests ended, and when.
    pub ends: BTreeMap<CallId, (Time, End)>,
    /// When refused requests were told to come back, as a time after their refusal.
    pub retries: BTreeMap<CallId, Duration>,
    /// Requests that reached targets.
    pub arrivals: Vec<Arrival>,
    /// Requests whose answers have begun for their callers.
    pub begun: BTreeSet<CallId>,
    /// How long a target is down after it ended.
    pub downtime: Time,
    /// How long a view takes from the leader to an entry host.
    pub publication: Time,
    state: State,
    leader: Option<Leader>,
    term: u64,
    entries: u64,
    hosts: Vec<Option<Core>>,
    renewed: Vec<Time>,
    incarnations: u64,
    targets: Vec<Target>,
    sends: Vec<PendingSend>,
    contents: BTreeMap<CallId, u64>,
    /// Contents of requests that end the target that runs them.
    crashing: BTreeSet<u64>,
    /// How often targets answer these with an error instead.
    errors: Option<Errors>,
    /// Number of runs of these requests.
    crashing_runs: u64,
    /// The sections of requests that have some.
    sections: BTreeMap<CallId, Vec<u64>>,
    /// Sections under which a target ends once it has begun to answer.
    crashing_sections: BTreeSet<u64>,
    /// Views on their way, with the time of their arrival.
    views: VecDeque<(Time, usize, View)>,
    /// Proposals of entry hosts that no leader has committed yet.
    proposals: VecDeque<Command>,
    /// What the leader granted, and its answers on their way.
    trials: Trials,
    trial_answers: VecDeque<(Time, usize, CallId, bool)>,
    last_id: CallId,
}

impl Fleet {
    /// Starts a fleet and runs it until all hosts know all targets.
    pub fn new(hosts: usize, targets: usize) -> Self {
        let target = |_| Target {
            life: 1,
            heartbeats: 0,
            heartbeat_at: Time::ZERO,
            down_until: None,
            limit: None,
            leaving: false,
            tells_only: None,
            named_at: None,
            told: BTreeMap::new(),
        };
        let mut fleet = Self {
            now: Time::from_hours(1),
            crashes: Vec::new(),
            crashed: Vec::new(),
            sent: BTreeMap::new(),
            ends: BTreeMap::new(),
            retries: BTreeMap::new(),
            arrivals: Vec::new(),
            begun: BTreeSet::new(),
            downtime: DOWNTIME,
            publication: Time::ZERO,
            state: State::default(),
            leader: None,
            term: 0,
            entries: 0,
            hosts: (0..hosts).map(|_| None).collect(),
            renewed: vec![Time::ZERO; hosts],
            incarnations: 0,
            targets: (0..targets).map(target).collect(),
            sends: Vec::new(),
            contents: BTreeMap::new(),
            crashing: BTreeSet::new(),
            errors: None,
            crashing_runs: 0,
            sections: BTreeMap::new(),
            crashing_sections: BTreeSet::new(),
            views: VecDeque::new(),
            proposals: VecDeque::new(),
            trials: Trials::default(),
            trial_answers: VecDeque::new(),
            last_id: 0,
        };
        fleet.elect_leader();
        let settings = Apply {
            operator: "ann".into(),
            request: "first".into(),
            base: 0,
            text: "models: []".into(),
        };
        fleet.commit(&Command::Apply(settings));
        (0..hosts).for_each(|at| fleet.restart_host(at));
        fleet.run(Time::from_secs(6));
        fleet
    }

    /// Makes every request for a content end the target that runs it.
    pub fn crash_targets_with(&mut self, content: u64) {
        self.crashing.insert(content);
    }

    /// Makes targets answer a crashing request with an error in some of its runs, out of this many.
    pub fn answer_with_errors(&mut self, errors: u64, runs: u64) {
        self.errors = Some(Errors { errors, runs });
    }

    /// Makes every request with a section end the target that begins to answer it.
    pub fn crash_targets_with_section(&mut self, section: u64) {
        self.crashing_sections.insert(section);
    }

    /// Starts an entry host with no prior state.
    pub fn restart_host(&mut self, at: usize) {
        self.incarnations += 1;
        let serving = Serving {
            isolated: IsolationPolicy::Serve,
            strikes: 3,
            quarantine: false,
            ..Serving::default()
        };
        let config = Config::new(host_number(at))
            .incarnation(self.incarnations)
            .place("perth", "a")
            .serving(serving);
        self.hosts[at] = Some(Core::new(config, self.now));
        self.sends.retain(|send| send.host != at);
        self.views.retain(|(_, host, _)| *host != at);
        for target in &mut self.targets {
            target.told.remove(&at);
        }
        self.renewed[at] = Time::ZERO;
    }

    /// Elects another leader over the same state.
    pub fn elect_leader(&mut self) {
        self.term += 1;
        self.leader = Some(Leader::new(Box::new(NoPlanner)));
        self.trials = Trials::elected(self.now);
        self.lead(Input::Elected { term: self.term });
    }

    /// Sets the limit that a target names in its answers, in requests per second.
    pub fn name_limit(&mut self, target: usize, limit: Option<f64>) {
        self.targets[target].limit = limit;
        self.targets[target].forget_told();
    }

    /// Makes a target state in its answers that it leaves, while its heartbeats say nothing.
    pub fn state_leaving(&mut self, target: usize) {
        self.targets[target].leaving = true;
    }

    /// Makes a target state what it states in answers to one host only.
    pub fn tell_only(&mut self, target: usize, host: usize) {
        self.targets[target].tells_only = Some(host);
    }

    /// Ends the target that runs a request, for a reason of its own.
    pub fn kill_target_of(&mut self, id: CallId) {
        if let Some(target) = self.target_of(id) {
            self.kill_target(target);
        }
    }

    /// Breaks the connection of a request to its target, which runs on.
    pub fn break_connection_of(&mut self, id: CallId) {
        if let Some(target) = self.target_of(id) {
            self.break_connections(target);
        }
    }

    /// Returns the target that runs a request.
    fn target_of(&self, id: CallId) -> Option<usize> {
        let mut sends = self.sends.iter();
        let send = sends.find(|send| send.id == id && send.running)?;
        Some(send.target)
    }

    /// Ends a target for a reason of its own.
    pub fn kill_target(&mut self, at: usize) {
        self.targets[at].down_until = Some(self.now + self.downtime);
        self.break_connections(at);
    }

    /// Breaks all connections to a target.
    fn break_connections(&mut self, at: usize) {
        let broken = self
            .sends
            .extract_if(.., |send| send.target == at && send.running);
        for send in broken.collect::<Vec<_>>() {
            let failure = if send.begun {
                Failure::Truncated
            } else {
                Failure::Broken
            };
            self.fail(&send, failure);
        }
    }

    /// Sends a request to an entry host and returns its id.
    pub fn request(&mut self, host: usize, fingerprint: u64) -> CallId {
        self.request_of(host, fingerprint, fingerprint, &[])
    }

    /// Sends one caller's request for a content that others ask for too, and returns its id.
    pub fn request_content(&mut self, host: usize, fingerprint: u64, content: u64) -> CallId {
        self.request_of(host, fingerprint, content, &[])
    }

    /// Sends a request whose prompt has sections to an entry host and returns its id.
    pub fn request_with_sections(
        &mut self,
        host: usize,
        fingerprint: u64,
        sections: &[u64],
    ) -> CallId {
        self.request_of(host, fingerprint, fingerprint, sections)
    }

    /// Sends a request to an entry host and returns its id.
    fn request_of(
        &mut self,
        host: usize,
        fingerprint: u64,
        content: u64,
        sections: &[u64],
    ) -> CallId {
        self.last_id += 1;
        let id = self.last_id;
        let what = RequestedResource::Service {
            name: "auction".into(),
            method: "GET".into(),
        };
        let mut request = Request::new(id, "dealer", what);
        request.fingerprint = fingerprint;
        request.identity = Some(Box::new(Identity {
            content,
            ..Identity::default()
        }));
        request.sections = sections.to_vec();
        request.repeatable = true;
        request.deadline = Some(Duration::from_secs(4));
        request.terms = Some(Box::new(RouteLimits {
            route: "lookup".into(),
            attempts: 2,
            limit: Duration::from_secs(4),
            objective: Some(Duration::from_millis(400)),
            rank: 0,
            sizes: Vec::new(),
        }));
        self.contents.insert(id, content);
        if !sections.is_empty() {
            self.sections.insert(id, sections.to_vec());
        }
        self.sent.insert(id, self.now);
        self.deliver(host, Event::Arrived(request));
        id
    }

    /// Advances the simulation.
    pub fn run(&mut self, length: Time) {
        let until = self.now + length;
        while self.now < until {
            self.now += STEP;
            self.lead(Input::Tick);
            self.commit_proposals();
            self.deliver_views();
            self.deliver_trial_answers();
            for target in 0..self.targets.len() {
                self.advance_target(target);
            }
            for host in 0..self.hosts.len() {
                self.renew_lease(host);
                self.deliver(host, Event::Tick);
            }
            self.advance_sends();
        }
    }

    /// Sends a target's heartbeat if it is due, and starts the target again after its downtime.
    fn advance_target(&mut self, at: usize) {
        let target = &mut self.targets[at];
        match target.down_until {
            Some(until) if until > self.now => return,
            Some(_) => {
                target.down_until = None;
                target.life += 1;
                target.leaving = false;
                target.forget_told();
                target.heartbeats = 0;
                target.heartbeat_at = self.now;
            }
            None => {}
        }
        if target.heartbeat_at > self.now {
            return;
        }
        target.heartbeat_at = self.now + HEARTBEAT;
        target.heartbeats += 1;
        let presence = presence(at, target);
        self.lead(Input::Presence(Box::new(presence)));
    }

    /// Renews a host's lease if it is due.
    fn renew_lease(&mut self, at: usize) {
        if self.hosts[at].is_none() || self.renewed[at] + RENEWAL > self.now {
            return;
        }
        self.renewed[at] = self.now;
        let host = entry::Host {
            host: host_number(at),
            incarnation: 1,
            address: ([10, 0, 0, 1], 80).into(),
            region: "perth".into(),
            zone: "a".into(),
            load: 0,
            draining: false,
            settings: 1,
        };
        self.lead(Input::Renewal(host));
        let position = self.hosts[at].as_ref().map(Core::view_position);
        if let Some((term, sequence)) = position.filter(|(term, _)| *term < self.term) {
            let host = host_number(at);
            self.lead(Input::Subscribe {
                host,
                term,
                sequence,
            });
        }
    }

    /// Passes an input to the leader, if there is one, and carries out what it returns.
    fn lead(&mut self, input: Input) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        for output in leader.handle(input, &self.state, self.now) {
            match output {
                Output::Propose(command) => self.commit(&command),
                Output::Publish { to, view } => self.publish(&to, &view),
                Output::Lease {
                    host,
                    length,
                    version,
                    ..
                } => {
                    let until = self.now + length;
                    self.deliver(host_index(host), Event::Lease { until, version });
                }
                _ => {}
            }
        }
    }

    /// Commits a command and tells the leader.
    fn commit(&mut self, command: &Command) {
        self.entries += 1;
        let entry = Entry {
            index: self.entries,
            term: self.term,
            time: self.now,
        };
        let command = Command::decode(&command.encode()).expect("a command is readable");
        let reply = self.state.apply(&entry, command.clone());
        self.trials.on_committed(&command, self.now);
        self.lead(Input::Applied { command, reply });
    }

    /// Commits what entry hosts have proposed, if somebody leads.
    fn commit_proposals(&mut self) {
        while self.leader.is_some()
            && let Some(command) = self.proposals.pop_front()
        {
            self.commit(&command);
        }
    }

    /// Passes a view to the entry hosts that it is for.
    fn publish(&mut self, to: &Audience, view: &View) {
        for at in 0..self.hosts.len() {
            let wanted = match to {
                Audience::All => true,
                Audience::Host(host) => *host == host_number(at),
                Audience::Hosts(hosts) => hosts.contains(&host_number(at)),
            };
            if wanted {
                let due = self.now + self.publication;
                self.views.push_back((due, at, view.clone()));
            }
        }
        self.deliver_views();
    }

    /// Delivers the views that are due.
    fn deliver_views(&mut self) {
        while let Some((_, at, view)) = self.views.pop_front_if(|(due, ..)| *due <= self.now) {
            self.deliver(at, Event::View(view));
        }
    }

    /// Answers an entry host's question for a trial, if somebody leads.
    fn answer_trial(&mut self, host: usize, id: CallId, parts: &[u64]) {
        let granted = self.leader.is_some() && self.trials.grant(parts, self.now);
        let due = self.now + STEP;
        self.trial_answers.push_back((due, host, id, granted));
    }

    /// Delivers the leader's answers about trials that are due.
    fn deliver_trial_answers(&mut self) {
        let now = self.now;
        while let Some((_, at, id, granted)) =
            self.trial_answers.pop_front_if(|(due, ..)| *due <= now)
        {
            self.deliver(at, Event::TrialAnswered { id, granted });
        }
    }

    /// Advances the sends that are due.
    fn advance_sends(&mut self) {
        let now = self.now;
        let due: Vec<PendingSend> = self.sends.extract_if(.., |send| send.at <= now).collect();
        for send in due {
            if send.running {
                self.end_run(&send);
            } else {
                self.connect(&send);
            }
        }
    }

    /// Connects to the target of a send.
    fn connect(&mut self, send: &PendingSend) {
        let (id, attempt) = (send.id, send.attempt);
        let target = &self.targets[send.target];
        if target.down_until.is_some() {
            self.fail(send, Failure::Connect);
        } else {
            self.record_arrival(send);
            // The host cancels the send at once if the target has left meanwhile.
            self.sends.push(PendingSend {
                at: self.now + self.first_step(send.id),
                running: true,
                begun: false,
                ..send.clone()
            });
            self.deliver(send.host, Event::Sent { id, attempt });
        }
    }

    /// Whether a request holds a section that ends what answers it.
    fn holds_crashing_section(&self, id: CallId) -> bool {
        let mut sections = self.sections.get(&id).into_iter().flatten();
        sections.any(|section| self.crashing_sections.contains(section))
    }

    /// Returns how long a request runs until its answer begins or its run ends.
    fn first_step(&self, id: CallId) -> Time {
        if !self.sections.contains_key(&id) {
            ATTEMPT
        } else if self.holds_crashing_section(id) && id.is_multiple_of(2) {
            // Every other such request ends its target before a first byte of the answer.
            SECTION_CRASH
        } else {
            FIRST_TOKEN
        }
    }

    /// Begins the answer to a request with sections.
    fn begin_answer(&mut self, send: &PendingSend) {
        let (id, attempt) = (send.id, send.attempt);
        let until_end = if self.holds_crashing_section(id) {
            SECTION_CRASH.saturating_sub(FIRST_TOKEN)
        } else {
            GENERATION.saturating_sub(FIRST_TOKEN)
        };
        self.sends.push(PendingSend {
            at: self.now + until_end,
            begun: true,
            ..send.clone()
        });
        self.deliver(send.host, Event::ResponseStarted { id, attempt });
    }

    /// Ends a run under a section: the target answers, or ends.
    fn end_answer(&mut self, send: &PendingSend) {
        let (id, attempt) = (send.id, send.attempt);
        if self.holds_crashing_section(id) {
            self.crashes.push(self.now);
            if self.targets[send.target].down_until.is_none() {
                self.crashed.push((self.now, id));
            }
            let failure = if send.begun {
                Failure::Truncated
            } else {
                Failure::Broken
            };
            self.fail(send, failure);
            self.kill_target(send.target);
        } else {
            self.deliver(send.host, Event::ResponseEnded { id, attempt });
        }
    }

    /// Ends a run: the target answers, or ends under the request.
    fn end_run(&mut self, send: &PendingSend) {
        let (id, attempt) = (send.id, send.attempt);
        if self.targets[send.target].life != send.life {
            self.fail(send, Failure::WrongTarget);
        } else if self.sections.contains_key(&id) {
            if send.begun || self.first_step(id) == SECTION_CRASH {
                self.end_answer(send);
            } else {
                self.begin_answer(send);
            }
        } else if self.crashing.contains(&self.contents[&id]) {
            self.end_crashing_run(send);
        } else {
            self.tell_statement(send);
            self.deliver(send.host, Event::ResponseStarted { id, attempt });
            self.deliver(send.host, Event::ResponseEnded { id, attempt });
        }
    }

    /// Ends a run of a crashing request: the target ends, or answers with an error.
    fn end_crashing_run(&mut self, send: &PendingSend) {
        let (id, attempt) = (send.id, send.attempt);
        let run = self.crashing_runs;
        self.crashing_runs += 1;
        if self.errors.is_some_and(|it| run % it.runs < it.errors) {
            self.deliver(send.host, Event::ErrorStatus { id, attempt });
            self.deliver(send.host, Event::ResponseStarted { id, attempt });
            self.deliver(send.host, Event::ResponseEnded { id, attempt });
        } else {
            self.crashes.push(self.now);
            self.fail(send, Failure::Broken);
            self.kill_target(send.target);
        }
    }

    /// Records that a request reaches its target.
    fn record_arrival(&mut self, send: &PendingSend) {
        let target = &self.targets[send.target];
        let known = target
            .named_at
            .is_some_and(|at| at + KNOWN_AFTER <= self.now);
        let told = target.told.get(&send.host);
        let told = told.is_some_and(|at| *at + TOLD_FOR <= self.now);
        self.arrivals.push(Arrival {
            id: send.id,
            target: send.target,
            at: self.now,
            told: known && told,
        });
    }

    /// Tells a host what the answer to a request states.
    fn tell_statement(&mut self, send: &PendingSend) {
        let now = self.now;
        let target = &mut self.targets[send.target];
        let tells = target.tells_only.is_none_or(|host| host == send.host);
        let limit = target.limit.filter(|_| tells);
        if limit.is_some() {
            target.named_at = target.named_at.or(Some(now));
            target.told.entry(send.host).or_insert(now);
        }
        let limit = limit.and_then(RequestRate::per_second);
        let leaving = target.leaving && tells;
        if limit.is_some() || leaving || send.limited {
            let event = Event::Stated {
                target: target_name(send.target),
                incarnation: send.life,
                statement: Statement {
                    limit,
                    leaving,
                    pause: None,
                },
            };
            self.deliver(send.host, event);
        }
    }

    /// Reports a failed attempt to its host.
    fn fail(&mut self, send: &PendingSend, failure: Failure) {
        let (id, attempt) = (send.id, send.attempt);
        let event = Event::Failed {
            id,
            attempt,
            failure,
        };
        self.deliver(send.host, event);
    }

    /// Hands an event to an entry host and carries out its actions.
    fn deliver(&mut self, at: usize, event: Event) {
        let Some(core) = self.hosts[at].as_mut() else {
            return;
        };
        for action in core.handle(event, self.now) {
            self.perform(at, action);
        }
    }

    /// Carries out one action of an entry host.
    fn perform(&mut self, host: usize, action: Action) {
        match action {
            Action::Send {
                id, attempt, to, ..
            } => self.sends.push(PendingSend {
                host,
                id,
                attempt,
                target: target_index(&to.target),
                life: to.incarnation,
                at: self.now + STEP,
                limited: to.limited,
                running: false,
                begun: false,
            }),
            Action::Deliver { id, .. } => {
                self.begun.insert(id);
            }
            Action::Finish { id, .. } => {
                self.ends.insert(id, (self.now, End::Answered));
            }
            Action::Refuse { id, refusal } | Action::StreamError { id, refusal } => {
                let end = End::Refused(refusal.reason);
                self.ends.insert(id, (self.now, end));
                if let Some(retry) = refusal.retry_after {
                    self.retries.insert(id, retry);
                }
            }
            Action::Cancel { id, attempt, .. } => {
                let same = |send: &PendingSend| (send.host, send.id, send.attempt);
                self.sends.retain(|send| same(send) != (host, id, attempt));
            }
            Action::Probe { target, .. } => {
                let connected = self.targets[target_index(&target)].down_until.is_none();
                self.deliver(host, Event::Probed { target, connected });
            }
            action => self.report(host, action),
        }
    }

    /// Passes what an entry host tells or asks control to the leader.
    fn report(&mut self, host: usize, action: Action) {
        match action {
            Action::Strike {
                fingerprint,
                suspicion,
                target,
                incarnation,
                ..
            } => {
                let strike = sections::Strike {
                    fingerprint,
                    sections: suspicion.sections,
                    target,
                    incarnation,
                    tried: suspicion.tried,
                };
                let command = Command::strike(strike);
                self.proposals.push_back(command);
            }
            Action::AcquitSections { sections, known } => self
                .proposals
                .push_back(Command::AcquitSections(Acquittal { sections, known })),
            Action::ClearStrikes { fingerprint } => self
                .proposals
                .push_back(Command::ClearStrikes { fingerprint }),
            Action::Suspect {
                target,
                incarnation,
            } => self.lead(Input::ConnectionLost {
                target,
                incarnation,
            }),
            Action::ReportLimit {
                target,
                incarnation,
                limit,
            } => self.lead(Input::LimitNamed {
                target,
                incarnation,
                limit,
            }),
            Action::ReportLeaving {
                target,
                incarnation,
            } => self.proposals.push_back(Command::Leave {
                target,
                incarnation,
            }),
            Action::AskTrial { id, parts } => self.answer_trial(host, id, &parts),
            Action::RequestView { .. } => {
                let (term, sequence) = (0, 0);
                let host = host_number(host);
                self.lead(Input::Subscribe {
                    host,
                    term,
                    sequence,
                });
            }
            _ => {}
        }
    }
}

/// Returns the number of the entry host at an index.
fn host_number(at: usize) -> HostId {
    FIRST_HOST + HostId::try_from(at).expect("few hosts")
}

/// Returns the index of an entry host.
fn host_index(host: HostId) -> usize {
    usize::try_from(host - FIRST_HOST).expect("few hosts")
}

/// Returns the name of a target.
fn target_name(at: usize) -> Name {
    format!("target-{at}").into()
}

/// Returns the index of a target.
fn target_index(name: &str) -> usize {
    let number = name.strip_prefix("target-").expect("a target's name");
    number.parse().expect("a number")
}

/// Returns a target's announcement with its heartbeat.
fn presence(at: usize, target: &Target) -> AnnouncedHeartbeat {
    let name = target_name(at);
    AnnouncedHeartbeat {
        announcement: Announcement {
            target: name.clone(),
            incarnation: target.life,
            kind: Kind::Service,
            address: ([10, 0, 1, u8::try_from(at).expect("few targets")], 80).into(),
            region: "perth".into(),
            zone: "a".into(),
            memory: 0,
            accelerators: 0,
            fencing: false,
            services: vec!["auction".into()],
            slots: Some(6),
            incarnation_is_start_time: true,
        },
        heartbeat: Heartbeat {
            target: name,
            incarnation: target.life,
            sequence: target.heartbeats,
            fence: 0,
            inventory: Vec::new(),
            load: Load::default(),
            cache: Vec::new(),
            leaving: false,
        },
        software: None,
    }
}
