//! Several cores before engines of limited concurrency, in virtual time.

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

use crate::engine::{Engine, SHARED};
use crate::figures::Figures;

/// A setup.
pub struct Setup {
    /// Entry hosts.
    pub cores: usize,
    /// Engines, dealt out over the regions.
    pub engines: usize,
    /// Requests that an engine answers at once.
    pub concurrency: u32,
    /// Regions.
    pub regions: usize,
    /// Requests a second.
    pub rate: f64,
    /// How long requests arrive.
    pub span: Duration,
    /// Age of a load report when it is taken.
    pub lag: Duration,
    /// Mean time of an answer once the prompt is read.
    pub mean: Duration,
    /// Groups of callers with a common begin of their prompts; 0 for none.
    pub groups: u64,
    /// When the first engine dies.
    pub death: Option<Duration>,
    /// Only times of requests that arrive within it are kept, if there is one.
    pub window: Option<(Duration, Duration)>,
    /// In 100 attempts, how many fail at their end.
    pub sick: u32,
    /// Whether one request of the first batch takes its engine down.
    pub poison: bool,
    /// How a core is made.
    pub config: Box<dyn Fn(usize) -> Config>,
}

/// Something that will happen.
pub enum Happening {
    Event(usize, Event),
    Arrive,
    Connected(usize, CallId, Attempt, usize, u64),
    Written(usize, CallId, Attempt, usize, u64),
    Ended(usize, u64, Work),
    Publish(Vec<Change>),
    Report,
    Die(usize),
    Back(usize),
}

/// An attempt that reached an engine.
#[derive(Clone, Copy)]
pub struct Work {
    pub core: usize,
    pub id: CallId,
    pub attempt: Attempt,
}

/// What is known of a request outside the cores.
pub struct Ticket {
    pub at: Time,
    pub class: &'static str,
    pub region: usize,
    pub group: u64,
    pub poison: bool,
    pub bytes: u64,
}

/// A run.
pub struct Bench {
    pub setup: Setup,
    pub now: Time,
    pub serial: u64,
    pub due: BinaryHeap<Reverse<(Time, u64)>>,
    pub what: HashMap<u64, Happening>,
    pub cores: Vec<Core>,
    pub engines: Vec<Engine>,
    pub tickets: BTreeMap<CallId, Ticket>,
    pub reserved: HashMap<(Name, u64), usize>,
    pub strikes: HashMap<u64, HashSet<(Name, u64)>>,
    pub sequence: u64,
    pub random: SmallRng,
    pub figures: Figures,
}

impl Bench {
    pub fn run(setup: Setup) -> Figures {
        let mut bench = Self::new(setup);
        while let Some(at) = bench.next() {
            bench.now = at;
            for core in 0..bench.cores.len() {
                if bench.cores[core].next_wake().is_some_and(|wake| wake <= at) {
                    let actions = bench.cores[core].handle(Event::Tick, at);
                    bench.take(core, actions);
                }
            }
            while bench.due.peek().is_some_and(|due| due.0.0 <= at) {
                if let Some(Reverse((_, serial))) = bench.due.pop()
                    && let Some(happening) = bench.what.remove(&serial)
                {
                    bench.happen(happening);
                }
            }
            if at > bench.setup.span + Duration::from_mins(2) {
                break;
            }
        }
        bench.figures
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
            tickets: BTreeMap::new(),
            reserved: HashMap::new(),
            strikes: HashMap::new(),
            sequence: 0,
            random: SmallRng::seed_from_u64(11),
            figures: Figures::new(setup.engines, setup.span),
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
            bench.at(Time::ZERO, Happening::Event(core, lease));
        }
        bench.at(Time::from_millis(10), Happening::Arrive);
        bench.at(Time::from_millis(100), Happening::Report);
        if let Some(death) = bench.setup.death {
            bench.at(death, Happening::Die(0));
        }
        bench.figures.window = bench.setup.window;
        bench
    }

    fn next(&self) -> Option<Time> {
        let due = self.due.peek().map(|due| due.0.0);
        let wakes = self.cores.iter().filter_map(Core::next_wake);
        wakes.chain(due).min().map(|at| at.max(self.now))
    }

    pub fn at(&mut self, at: Time, happening: Happening) {
        self.serial += 1;
        self.due.push(Reverse((at, self.serial)));
        self.what.insert(self.serial, happening);
    }

    pub fn publish(&mut self, changes: Vec<Change>, way: Duration) {
        self.at(self.now + way, Happening::Publish(changes));
    }

    /// Hands changes to every core, numbered in the order in which they come.
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
            self.take(core, actions);
        }
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Event(core, event) => {
                let actions = self.cores[core].handle(event, self.now);
                self.take(core, actions);
            }
            Happening::Arrive => self.arrive(),
            Happening::Connected(core, id, attempt, engine, life) => {
                let known = &self.engines[engine];
                let up = known.alive && known.incarnation == life;
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
                self.take(core, actions);
                if proceeds {
                    let way = self.way(core, engine);
                    self.at(
                        self.now + way,
                        Happening::Written(core, id, attempt, engine, life),
                    );
                }
            }
            Happening::Written(core, id, attempt, engine, life) => {
                self.written(Work { core, id, attempt }, engine, life);
            }
            Happening::Ended(engine, life, work) => self.ended(engine, life, work),
            Happening::Publish(changes) => self.deliver(&changes),
            Happening::Report => self.report(),
            Happening::Die(engine) => self.die(engine),
            Happening::Back(engine) => {
                self.engines[engine].alive = true;
                let changes = self.engine(engine, Load::default()).to_vec();
                self.publish(changes, Duration::from_millis(20));
            }
        }
    }

    fn arrive(&mut self) {
        let id = self.serial;
        let core = self.random.random_range(0..self.cores.len());
        let draw = self.random.random_range(0..100);
        let class = match draw {
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
        let first = self.tickets.is_empty();
        let ticket = Ticket {
            at: self.now,
            class,
            region: core % self.setup.regions,
            group,
            poison: first && self.setup.poison,
            bytes: 200_000,
        };
        let mut request = Request::new(id, "caller", What::Model(Reference::base("report")));
        request.class = Some(class.into());
        request.bytes = ticket.bytes;
        if group > 0 {
            request.prefixes = (0..SHARED).map(|block| group * 1_000 + block).collect();
        }
        self.figures.arrived(class);
        self.tickets.insert(id, ticket);
        let actions = self.cores[core].handle(Event::Arrived(request), self.now);
        self.take(core, actions);
        let draw: f64 = self.random.random_range(1e-9..1.0);
        let next = self.now + Duration::from_secs_f64(-draw.ln() / self.setup.rate);
        if next < self.setup.span {
            self.at(next, Happening::Arrive);
        }
    }

    pub fn way(&self, core: usize, engine: usize) -> Duration {
        let far = core % self.setup.regions != engine % self.setup.regions;
        Duration::from_micros(if far { 15_000 } else { 250 })
    }

    fn take(&mut self, core: usize, actions: Vec<Action>) {
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
                let at = self.now + self.way(core, engine) * 2;
                let life = to.incarnation;
                self.at(at, Happening::Connected(core, id, attempt, engine, life));
            }
            Action::Cancel { id, target, .. } => {
                let engine = number(&target);
                let known = &mut self.engines[engine];
                known.queued.retain(|work| work.id != id);
                known.running.remove(&id);
                self.start(engine);
            }
            Action::Finish { id, .. } => {
                if let Some(ticket) = self.tickets.get(&id) {
                    self.figures.finished(ticket, self.now);
                }
            }
            Action::Refuse { id, refusal } | Action::StreamError { id, refusal } => {
                if let Some(ticket) = self.tickets.get(&id) {
                    self.figures.refused(ticket, &refusal, self.now);
                }
            }
            other => self.control(core, other),
        }
    }

    /// What control and the network answer.
    fn control(&mut self, core: usize, action: Action) {
        let soon = self.now + Duration::from_millis(5);
        match action {
            Action::Strike {
                fingerprint,
                target,
                incarnation,
            } => {
                let lives = self.strikes.entry(fingerprint).or_default();
                lives.insert((target, incarnation));
                let count = u32::try_from(lives.len()).unwrap_or_default();
                self.publish(
                    vec![Change::Strike(fingerprint, count)],
                    Duration::from_millis(20),
                );
            }
            Action::Reserve {
                target,
                incarnation,
            } => {
                let life = (target.clone(), incarnation);
                let granted = *self.reserved.entry(life).or_insert(core) == core;
                let event = Event::Reserved {
                    target,
                    incarnation,
                    granted,
                };
                self.at(soon, Happening::Event(core, event));
            }
            Action::Unreserve {
                target,
                incarnation,
            } => {
                self.reserved.remove(&(target, incarnation));
            }
            Action::Probe { target, .. } => {
                let connected = self.engines[number(&target)].alive;
                self.at(
                    soon,
                    Happening::Event(core, Event::Probed { target, connected }),
                );
            }
            _ => {}
        }
    }
}

/// The number in an engine's name.
fn number(name: &str) -> usize {
    name[1..].parse().unwrap_or_default()
}
