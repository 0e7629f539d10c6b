//! Entry hosts before targets of different and changing speed, in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use cornelhitch_entry::event::RouteLimits;
use cornelhitch_entry::peer_load::{PeerReport, ReceivedReport};
use cornelhitch_entry::prelude::*;
use cornelhitch_settings::process::{Routing, Serving};
use cornelhitch_types::entry::Host;
use cornelhitch_types::id::Time;
use cornelhitch_types::target::{Kind, Load};
use cornelhitch_types::team::TokenUsage;
use cornelhitch_types::view::{Change, Replica, State, Target, View};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::engine::{Engine, Job, SLOTS};
use crate::pools::{ACCEPT, Keeping, Pools};

const SETTINGS: &str = "models: [{ name: report, bytes: 1000 }]";

/// Time that work takes at the targets, relative to the usual speed.
const PACES: [f64; 4] = [1.0 / 0.55, 1.0 / 0.8, 1.0, 1.0 / 1.2];

/// One-way time between a host and a target.
const ONE_WAY: Duration = Duration::from_micros(500);

/// Tokens in an event.
const EVENT_TOKENS: f64 = 6.0;

/// A kind of request.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    /// Requests a second over all hosts.
    pub rate: f64,
    /// Tokens of the shared part of the prompt, and of the rest.
    pub tokens: (u32, u32),
    /// Number of different shared parts.
    pub parts: u64,
    /// Events of a response.
    pub events: u32,
    /// Time to the first event.
    pub objective: Duration,
    /// Rank of its route.
    pub rank: u8,
}

/// What is simulated.
pub struct Scenario {
    pub hosts: usize,
    pub targets: usize,
    pub demands: Vec<Demand>,
    pub length: Duration,
    pub seed: u64,
    /// How hosts keep connections; `None` if connections take no time and nobody is told of them.
    pub keeping: Option<Keeping>,
}

/// The outcome for one kind of request.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    pub requests: u32,
    /// Those that were refused or whose first event came after the objective.
    pub late: u32,
    pub refused: u32,
    /// Sum of the times to the first event, in seconds.
    pub wait_s: f64,
}

impl Outcome {
    /// Returns the share of requests whose first event came within the objective.
    pub fn in_time(&self) -> f64 {
        1.0 - f64::from(self.late) / f64::from(self.requests)
    }
}

/// The outcome of a simulation.
#[derive(Debug)]
pub struct Report {
    pub kinds: Vec<Outcome>,
    /// Time for which each target processed prompts, in seconds.
    pub busy_s: Vec<f64>,
    /// Number of reports between hosts.
    pub told: u64,
    /// Requests that were sent on an idle connection, and on a new one.
    pub reused: u32,
    pub opened: u32,
}

impl Report {
    /// Returns the busy time of the busiest target relative to the mean.
    pub fn imbalance(&self) -> f64 {
        let count = f64::from(u32::try_from(self.busy_s.len()).expect("few targets"));
        let mean = self.busy_s.iter().sum::<f64>() / count;
        self.busy_s.iter().copied().fold(0.0, f64::max) / mean
    }

    /// Returns the share of requests that were sent on an idle connection.
    pub fn reused_share(&self) -> f64 {
        f64::from(self.reused) / f64::from(self.reused + self.opened)
    }

    /// Returns the mean time to the first event of those that were not refused, in seconds.
    pub fn mean_wait_s(&self) -> f64 {
        let begun = self.kinds.iter().map(|kind| kind.requests - kind.refused);
        let waits = self.kinds.iter().map(|kind| kind.wait_s);
        waits.sum::<f64>() / f64::from(begun.sum::<u32>())
    }

    /// Returns the number of late requests of all kinds.
    pub fn late(&self) -> u32 {
        self.kinds.iter().map(|kind| kind.late).sum()
    }
}

/// What happens at a time.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Step {
    /// A request of a kind arrives at some host.
    Arrive(usize),
    /// A request reaches a target.
    Reach(usize, Job),
    /// A target ends a chunk.
    Chunk(usize),
    /// The first event of a response leaves a target.
    First(usize, Job),
    /// A response ends at a target.
    Last(usize, Job),
    /// A host's timer fires.
    Tick(usize),
    /// A host's report of its work reaches another one.
    Told(usize, usize),
}

/// A request in flight.
struct Flight {
    kind: usize,
    arrived: Time,
    part: u64,
    attempt: u32,
}

pub struct Simulation {
    scenario: Scenario,
    random: SmallRng,
    hosts: Vec<Core>,
    /// When each host's timer is set to fire.
    ticks: Vec<Option<Time>>,
    engines: Vec<Engine>,
    steps: BinaryHeap<Reverse<(Time, u64)>>,
    content: HashMap<u64, Step>,
    count: u64,
    flights: HashMap<u64, Flight>,
    outcomes: Vec<Outcome>,
    /// Reports between hosts, by the number of their step.
    reports: HashMap<u64, PeerReport>,
    told: u64,
    pools: Option<Pools>,
}

/// Returns the address of a target.
pub fn address(target: usize) -> SocketAddr {
    let port = u16::try_from(target + 1).expect("fewer targets than ports");
    ([10, 0, 0, 1], port).into()
}

/// Returns the view that all hosts have.
fn view(scenario: &Scenario) -> View {
    let mut changes = vec![Change::Settings(1, SETTINGS.into())];
    for number in 0..scenario.targets {
        let name: std::sync::Arc<str> = format!("w{number}").into();
        changes.push(Change::Target(Target {
            target: name.clone(),
            incarnation: 1,
            kind: Kind::Worker,
            address: address(number),
            region: "perth".into(),
            zone: "a".into(),
            services: Vec::new(),
            open: true,
            load: Load::default(),
            slots: Some(SLOTS),
        }));
        changes.push(Change::Replica(Replica {
            replica: number as u64,
            model: "report".into(),
            version: None,
            target: name,
            state: State::Ready,
            ready_in_ms: 0,
            adapters: Vec::new(),
        }));
    }
    for host in 0..scenario.hosts {
        changes.push(Change::Entry(Host {
            host: host as u64,
            incarnation: 1,
            address: ([10, 0, 1, 1], 80).into(),
            region: "perth".into(),
            zone: "a".into(),
            load: 0,
            draining: false,
            settings: 1,
        }));
    }
    View {
        term: 1,
        from: 0,
        to: 1,
        changes,
    }
}

impl Simulation {
    /// Runs a scenario with this routing.
    pub fn run(scenario: Scenario, routing: Routing) -> Report {
        let serving = Serving {
            routing,
            ..Serving::default()
        };
        let hosts = (0..scenario.hosts as u64).map(|number| {
            let config = Config::new(number).place("perth", "a");
            let config = config.serving(serving).seed(scenario.seed * 1_000 + number);
            let mut core = Core::new(config, Time::ZERO);
            core.handle(Event::View(view(&scenario)), Time::ZERO);
            let until = Duration::from_hours(1);
            core.handle(Event::Lease { until, version: 1 }, Time::ZERO);
            core
        });
        let engines = (0..scenario.targets).map(|n| Engine::new(n as u64, PACES[n % PACES.len()]));
        let mut simulation = Self {
            random: SmallRng::seed_from_u64(scenario.seed),
            hosts: hosts.collect(),
            ticks: vec![None; scenario.hosts],
            engines: engines.collect(),
            steps: BinaryHeap::new(),
            content: HashMap::new(),
            count: 0,
            flights: HashMap::new(),
            outcomes: vec![Outcome::default(); scenario.demands.len()],
            reports: HashMap::new(),
            told: 0,
            pools: scenario.keeping.map(Pools::new),
            scenario,
        };
        simulation.play();
        let busy = simulation.engines.iter();
        Report {
            busy_s: busy.map(|engine| engine.busy.as_secs_f64()).collect(),
            kinds: simulation.outcomes,
            told: simulation.told,
            reused: simulation.pools.as_ref().map_or(0, |pools| pools.reused),
            opened: simulation.pools.as_ref().map_or(0, |pools| pools.opened),
        }
    }

    /// Plays all steps.
    fn play(&mut self) {
        for kind in 0..self.scenario.demands.len() {
            self.schedule(Time::ZERO, Step::Arrive(kind));
        }
        while let Some(Reverse((now, number))) = self.steps.pop() {
            let step = self.content.remove(&number).expect("a step");
            if let Step::Told(from, to) = step {
                let report = self.reports.remove(&number).expect("a report");
                let event = Event::PeerReport(ReceivedReport {
                    host: from as u64,
                    incarnation: 1,
                    report,
                });
                self.handle(to, event, now);
            } else {
                self.step(step, now);
            }
        }
    }

    /// Schedules a step.
    fn schedule(&mut self, at: Time, step: Step) {
        self.count += 1;
        self.content.insert(self.count, step);
        self.steps.push(Reverse((at, self.count)));
    }

    /// Plays one step.
    fn step(&mut self, step: Step, now: Time) {
        match step {
            Step::Arrive(kind) => self.arrive(kind, now),
            Step::Reach(target, job) => {
                let chunk = self.engines[target].accept(job, now);
                self.schedule_chunk(target, chunk);
            }
            Step::Chunk(target) => {
                let (done, chunk) = self.engines[target].end_chunk(now);
                self.schedule_chunk(target, chunk);
                if let Some((job, first, last)) = done {
                    self.schedule(first + ONE_WAY, Step::First(target, job));
                    self.schedule(last, Step::Last(target, job));
                }
            }
            Step::First(target, job) => self.first_event(target, job, now),
            Step::Last(target, job) => {
                let chunk = self.engines[target].end(now);
                self.schedule_chunk(target, chunk);
                if let Some(flight) = self.flights.remove(&job.id) {
                    let (id, attempt) = (job.id, flight.attempt);
                    self.handle(job.host, Event::ResponseEnded { id, attempt }, now);
                }
                if let Some(pools) = &mut self.pools {
                    pools.put(job.host, target, now);
                    self.tell_of_connections(job.host, target, now);
                }
            }
            Step::Tick(host) => {
                if self.ticks[host].is_some_and(|at| at <= now) {
                    self.ticks[host] = None;
                }
                self.handle(host, Event::Tick, now);
            }
            Step::Told(..) => unreachable!("played with its report"),
        }
    }

    /// Schedules the end of a chunk, if one has begun.
    fn schedule_chunk(&mut self, target: usize, chunk: Option<Time>) {
        if let Some(at) = chunk {
            self.schedule(at, Step::Chunk(target));
        }
    }

    /// Brings a request to a random host, and schedules the next one of its kind.
    fn arrive(&mut self, kind: usize, now: Time) {
        let about = self.scenario.demands[kind];
        let gap = -(1.0 - self.random.random::<f64>()).ln() / about.rate;
        let next = now + Duration::from_secs_f64(gap);
        if next < self.scenario.length {
            self.schedule(next, Step::Arrive(kind));
        }
        self.count += 1;
        let id = self.count;
        let host = self.random.random_range(0..self.hosts.len());
        let part = kind as u64 * 1_000_000 + self.random.random_range(0..about.parts);
        let what = RequestedResource::Model("report".parse().expect("a reference"));
        let mut request = Request::new(id, "dealer", what);
        request.streaming = true;
        request.deadline = Some(Duration::from_secs(11));
        request.prefixes = vec![part, 1_000_000_000 + id];
        let prompt = about.tokens.0 + about.tokens.1;
        request.usage = Some(TokenUsage {
            prompt: prompt.into(),
            output: u64::from(about.events) * 6,
        });
        request.terms = Some(Box::new(RouteLimits {
            route: format!("kind-{kind}").into(),
            attempts: 1,
            limit: Duration::from_secs(11),
            objective: Some(about.objective),
            rank: about.rank,
            sizes: vec![about.tokens.0, prompt],
        }));
        let flight = Flight {
            kind,
            arrived: now,
            part,
            attempt: 0,
        };
        self.flights.insert(id, flight);
        self.outcomes[kind].requests += 1;
        self.handle(host, Event::Arrived(request), now);
    }

    /// Passes a target's report and the beginning of its response to the host.
    fn first_event(&mut self, target: usize, job: Job, now: Time) {
        let Some(flight) = self.flights.get(&job.id) else {
            return;
        };
        let about = self.scenario.demands[flight.kind];
        let (attempt, wait) = (flight.attempt, now.saturating_sub(flight.arrived));
        let outcome = &mut self.outcomes[flight.kind];
        outcome.wait_s += wait.as_secs_f64();
        outcome.late += u32::from(wait > about.objective);
        let load = self.engines[target].report(now);
        let name = format!("w{target}").into();
        let loaded = Event::Loaded {
            target: name,
            incarnation: 1,
            load,
        };
        self.handle(job.host, loaded, now);
        let id = job.id;
        self.handle(job.host, Event::ResponseStarted { id, attempt }, now);
    }

    /// Passes an event to a host and carries out its actions.
    fn handle(&mut self, host: usize, event: Event, now: Time) {
        let actions = self.hosts[host].handle(event, now);
        for action in actions {
            self.perform(host, action, now);
        }
        let wake = self.hosts[host].next_wake().map(|at| at.max(now));
        let set = self.ticks[host];
        if let Some(at) = wake.filter(|at| set.is_none_or(|set| *at < set)) {
            self.ticks[host] = Some(at);
            self.schedule(at, Step::Tick(host));
        }
    }

    /// Takes a connection for a request; returns how long that takes.
    fn connect(&mut self, host: usize, target: usize, now: Time) -> Duration {
        let Some(pools) = &mut self.pools else {
            return Duration::ZERO;
        };
        let reused = pools.take(host, target, now);
        self.tell_of_connections(host, target, now);
        if reused {
            Duration::ZERO
        } else {
            2 * ONE_WAY + ACCEPT
        }
    }

    /// Tells a host's core of its idle connections to a target.
    fn tell_of_connections(&mut self, host: usize, target: usize, now: Time) {
        let pools = self.pools.as_ref();
        if let Some(event) = pools.and_then(|pools| pools.event(host, target)) {
            self.handle(host, event, now);
        }
    }

    /// Carries out an action.
    fn perform(&mut self, host: usize, action: Action, now: Time) {
        match action {
            Action::Send {
                id, attempt, to, ..
            } => {
                let target: usize = to.target[1..].parse().expect("a target's number");
                let flight = self.flights.get_mut(&id).expect("a request in flight");
                flight.attempt = attempt;
                let about = self.scenario.demands[flight.kind];
                let job = Job {
                    host,
                    id,
                    rank: to.rank.unwrap_or(about.rank),
                    part: flight.part,
                    tokens: (f64::from(about.tokens.0), f64::from(about.tokens.1)),
                    output: (EVENT_TOKENS, EVENT_TOKENS * f64::from(about.events)),
                };
                self.handle(host, Event::Sent { id, attempt }, now);
                let opening = self.connect(host, target, now);
                self.schedule(now + opening + ONE_WAY, Step::Reach(target, job));
            }
            Action::Refuse { id, .. } => {
                if let Some(flight) = self.flights.remove(&id) {
                    let outcome = &mut self.outcomes[flight.kind];
                    outcome.late += 1;
                    outcome.refused += 1;
                }
            }
            Action::TellPeers { hosts, report } => {
                for (peer, _) in hosts {
                    let peer = usize::try_from(peer).expect("a host's number");
                    self.told += 1;
                    let step = Step::Told(host, peer);
                    self.schedule(now + ONE_WAY, step);
                    self.reports.insert(self.count, report.clone());
                }
            }
            _ => {}
        }
    }
}
