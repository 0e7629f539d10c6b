//! Simulates several cores in front of engines with limited concurrency, in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet, VecDeque};
use std::time::Duration;

use cornelhitch_entry::event::{Attempt, CallId, Failure};
use cornelhitch_entry::prelude::*;
use cornelhitch_types::id::{Name, Time};
use cornelhitch_types::model::Reference;
use cornelhitch_types::target::Load;
use cornelhitch_types::view::{Change, View};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::engine::{Engine, SHARED_BLOCKS};
use crate::measurements::Measurements;

/// The parameters of a simulation.
pub struct Setup {
    /// Number of entry hosts.
    pub cores: usize,
    /// Number of engines, distributed over the regions.
    pub engines: usize,
    /// Number of requests that an engine serves concurrently.
    pub concurrency: u32,
    /// Number of regions.
    pub regions: usize,
    /// Requests per second.
    pub rate: f64,
    /// How long requests arrive.
    pub span: Duration,
    /// Age of a load report when a host applies it.
    pub lag: Duration,
    /// Mean time of a response after prefill.
    pub mean: Duration,
    /// Number of groups of callers whose prompts share a prefix; 0 for none.
    pub groups: u64,
    /// When the first engine dies.
    pub death: Option<Duration>,
    /// If set, response times are recorded only for requests that arrive within it.
    pub window: Option<(Duration, Duration)>,
    /// Percentage of attempts that fail at their end.
    pub failure_percent: u32,
    /// Whether the first request takes its engine down.
    pub poison: bool,
    /// Creates the configuration of a core.
    pub config: Box<dyn Fn(usize) -> Config>,
}

/// An event scheduled in virtual time.
pub enum ScheduledEvent {
    Event(usize, Box<Event>),
    Arrive,
    Connected(usize, CallId, Attempt, usize, u64),
    Written(usize, CallId, Attempt, usize, u64),
    Ended(usize, u64, Job),
    Publish(Vec<Change>),
    Report,
    Die(usize),
    Restart(usize),
}

/// An attempt that reached an engine.
#[derive(Clone, Copy)]
pub struct Job {
    pub core: usize,
    pub id: CallId,
    pub attempt: Attempt,
}

/// The state of a request outside the cores.
pub struct RequestInfo {
    pub at: Time,
    pub class: &'static str,
    pub region: usize,
    pub group: u64,
    pub poison: bool,
    pub bytes: u64,
}

/// The state of a simulation.
pub struct Bench {
    pub setup: Setup,
    pub now: Time,
    pub serial: u64,
    pub due: BinaryHeap<Reverse<(Time, u64)>>,
    pub what: HashMap<u64, ScheduledEvent>,
    pub cores: Vec<Core>,
    pub engines: Vec<Engine>,
    pub infos: BTreeMap<CallId, RequestInfo>,
    pub reserved: HashMap<(Name, u64), usize>,
    pub strikes: HashMap<u64, HashSet<(Name, u64)>>,
    pub sequence: u64,
    pub random: SmallRng,
    pub measurements: Measurements,
}

impl Bench {
    pub fn run(setup: Setup) -> Measurements {
        let mut bench = Self::new(setup);
        while let Some(at) = bench.next() {
            bench.now = at;
            for core in 0..bench.cores.len() {
                if bench.cores[core].next_wake().is_some_and(|wake| wake <= at) {
                    let actions = bench.cores[core].handle(Event::Tick, at);
                    bench.carry_out_all(core, actions);
                }
            }
            while bench.due.peek().is_some_and(|due| due.0.0 <= at) {
                if let Some(Reverse((_, serial))) = bench.due.pop()
                    && let Some(event) = bench.what.remove(&serial)
                {
                    bench.handle(event);
                }
            }
            if at > bench.setup.span + Duration::from_mins(2) {
                break;
            }
        }
        bench.measurements
    }

    fn new(setup: Setup) -> Self {
        let engine = |_| Engine {
            incarnation: 1,
            alive: true,
            running: HashSet::new(),
            queued: VecDeque::new(),
            cached: VecDeque::new(),
            events: Vec::new(),
            sequence: 0,
        };
        let mut bench = Self {
            now: Time::ZERO,
            serial: 0,
            due: BinaryHeap::new(),
            what: HashMap::new(),
            cores: (0..setup.cores)
                .map(|core| Core::new((setup.config)(core), Time::ZERO))
                .collect(),
            engines: (0..setup.engines).map(engine).collect(),
            infos: BTreeMap::new(),
            reserved: HashMap::new(),
            strikes: HashMap::new(),
            sequence: 0,
            random: SmallRng::seed_from_u64(11),
            measurements: Measurements::new(setup.engines, setup.span),
            setup,
        };
        let settings = bench.settings();
        let mut changes = vec![Change::Settings(1, settings.into())];
        changes.extend((0..bench.setup.cores).map(|core| bench.host(core)));
        for engine in 0..bench.setup.engines {
            changes.extend(bench.engine(engine, Load::default()));
        }
        bench.publish(changes, Time::ZERO);
        for core in 0..bench.setup.cores {
            let until = Time::from_hours(10);
            let lease = Event::Lease { until, version: 1 };
            bench.schedule(Time::ZERO, ScheduledEvent::Event(core, Box::new(lease)));
        }
        bench.schedule(Time::from_millis(10), ScheduledEvent::Arrive);
        bench.schedule(Time::from_millis(100), ScheduledEvent::Report);
        if let Some(death) = bench.setup.death {
            bench.schedule(death, ScheduledEvent::Die(0));
        }
        bench.measurements.window = bench.setup.window;
        bench
    }

    fn next(&self) -> Option<Time> {
        let due = self.due.peek().map(|due| due.0.0);
        let wakes = self.cores.iter().filter_map(Core::next_wake);
        wakes.chain(due).min().map(|at| at.max(self.now))
    }

    pub fn schedule(&mut self, at: Time, event: ScheduledEvent) {
        self.serial += 1;
        self.due.push(Reverse((at, self.serial)));
        self.what.insert(self.serial, event);
    }

    pub fn publish(&mut self, changes: Vec<Change>, delay: Duration) {
        self.schedule(self.now + delay, ScheduledEvent::Publish(changes));
    }

    /// Publishes changes to every core, numbered in the order in which they arrive.
    fn deliver(&mut self, changes: &[Change]) {
        let from = self.sequence;
        self.sequence += 1;
        for core in 0..self.cores.len() {
            let view = View {
                term: 1,
                from,
                to: self.sequence,
                changes: changes.to_vec(),
            };
            let actions = self.cores[core].handle(Event::View(view), self.now);
            self.carry_out_all(core, actions);
        }
    }

    fn handle(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Event(core, event) => {
                let actions = self.cores[core].handle(*event, self.now);
                self.carry_out_all(core, actions);
            }
            ScheduledEvent::Arrive => self.arrive(),
            ScheduledEvent::Connected(core, id, attempt, engine, incarnation) => {
                let known = &self.engines[engine];
                let up = known.alive && known.incarnation == incarnation;
                let failure = Failure::Connect;
                let event = if up {
                    Event::Sent { id, attempt }
                } else {
                    Event::Failed {
                        id,
                        attempt,
                        failure,
                    }
                };
                let actions = self.cores[core].handle(event, self.now);
                let proceeds = actions
                    .iter()
                    .any(|action| matches!(action, Action::Proceed { .. }));
                self.carry_out_all(core, actions);
                if proceeds {
                    let latency = self.latency(core, engine);
                    self.schedule(
                        self.now + latency,
                        ScheduledEvent::Written(core, id, attempt, engine, incarnation),
                    );
                }
            }
            ScheduledEvent::Written(core, id, attempt, engine, incarnation) => {
                self.written(Job { core, id, attempt }, engine, incarnation);
            }
            ScheduledEvent::Ended(engine, incarnation, job) => self.ended(engine, incarnation, job),
            ScheduledEvent::Publish(changes) => self.deliver(&changes),
            ScheduledEvent::Report => self.report(),
            ScheduledEvent::Die(engine) => self.die(engine),
            ScheduledEvent::Restart(engine) => {
                self.engines[engine].alive = true;
                let changes = self.engine(engine, Load::default()).to_vec();
                self.publish(changes, Duration::from_millis(20));
            }
        }
    }

    fn arrive(&mut self) {
        let id = self.serial;
        let core = self.random.random_range(0..self.cores.len());
        let sample = self.random.random_range(0..100);
        let class = match sample {
            _ if self.setup.poison => "pattern",
            0..10 => "preview",
            10..30 => "heritage",
            _ => "pattern",
        };
        let group = if self.setup.groups > 0 {
            1 + self.random.random_range(0..self.setup.groups)
        } else {
            0
        };
        let first = self.infos.is_empty();
        let info = RequestInfo {
            at: self.now,
            class,
            region: core % self.setup.regions,
            group,
            poison: first && self.setup.poison,
            bytes: 200_000,
        };
        let mut request = Request::new(
            id,
            "caller",
            RequestedResource::Model(Reference::base("report")),
        );
        request.class = Some(class.into());
        request.bytes = info.bytes;
        if group > 0 {
            request.prefixes = (0..SHARED_BLOCKS)
                .map(|block| group * 1_000 + block)
                .collect();
        }
        self.measurements.arrived(class);
        self.infos.insert(id, info);
        let actions = self.cores[core].handle(Event::Arrived(request), self.now);
        self.carry_out_all(core, actions);
        let sample: f64 = self.random.random_range(1e-9..1.0);
        let next = self.now + Duration::from_secs_f64(-sample.ln() / self.setup.rate);
        if next < self.setup.span {
            self.schedule(next, ScheduledEvent::Arrive);
        }
    }

    pub fn latency(&self, core: usize, engine: usize) -> Duration {
        let far = core % self.setup.regions != engine % self.setup.regions;
        Duration::from_micros(if far { 15_000 } else { 250 })
    }

    fn carry_out_all(&mut self, core: usize, actions: Vec<Action>) {
        for action in actions {
            self.carry_out(core, action);
        }
    }

    fn carry_out(&mut self, core: usize, action: Action) {
        match action {
            Action::Send {
                id, attempt, to, ..
            } => {
                let engine = number(&to.target);
                let at = self.now + self.latency(core, engine) * 2;
                let incarnation = to.incarnation;
                self.schedule(
                    at,
                    ScheduledEvent::Connected(core, id, attempt, engine, incarnation),
                );
            }
            Action::Cancel { id, target, .. } => {
                let engine = number(&target);
                let known = &mut self.engines[engine];
                known.queued.retain(|job| job.id != id);
                known.running.remove(&id);
                self.start(engine);
            }
            Action::Finish { id, .. } => {
                if let Some(info) = self.infos.get(&id) {
                    self.measurements.finished(info, self.now);
                }
            }
            Action::Refuse { id, refusal } | Action::StreamError { id, refusal } => {
                if let Some(info) = self.infos.get(&id) {
                    self.measurements.refused(info, &refusal, self.now);
                }
            }
            other => self.control(core, other),
        }
    }

    /// Answers for control and the network.
    fn control(&mut self, core: usize, action: Action) {
        let soon = self.now + Duration::from_millis(5);
        match action {
            Action::ClearStrikes { fingerprint } => {
                self.strikes.remove(&fingerprint);
                let change = Change::StrikeCount(fingerprint, 0);
                self.publish(vec![change], Duration::from_millis(20));
            }
            Action::Strike {
                fingerprint,
                target,
                incarnation,
                ..
            } => {
                let instances = self.strikes.entry(fingerprint).or_default();
                instances.insert((target, incarnation));
                let count = u32::try_from(instances.len()).unwrap_or_default();
                self.publish(
                    vec![Change::StrikeCount(fingerprint, count)],
                    Duration::from_millis(20),
                );
            }
            Action::Reserve {
                target,
                incarnation,
            } => {
                let instance = (target.clone(), incarnation);
                let granted = *self.reserved.entry(instance).or_insert(core) == core;
                let event = Event::Reserved {
                    target,
                    incarnation,
                    granted,
                };
                self.schedule(soon, ScheduledEvent::Event(core, Box::new(event)));
            }
            Action::Unreserve {
                target,
                incarnation,
            } => {
                self.reserved.remove(&(target, incarnation));
            }
            Action::Probe { target, .. } => {
                let connected = self.engines[number(&target)].alive;
                self.schedule(
                    soon,
                    ScheduledEvent::Event(core, Box::new(Event::Probed { target, connected })),
                );
            }
            _ => {}
        }
    }
}

/// Returns the number in an engine's name.
fn number(name: &str) -> usize {
    name[1..].parse().unwrap_or_default()
}
