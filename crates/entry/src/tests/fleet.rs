//! The run of a plan: cores, fake control and fake targets in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cornelhitch_types::id::{Name, Time};
use cornelhitch_types::view::{Change, State};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::control::{CALLER, Control, Fake, QUEUE};
use super::ledger::{Entry, Ledger, Violation};
use super::outcome::Step;
use super::plan::{Ask, Kind, Plan, Trouble};
use crate::action::{Action, Destination};
use crate::config::Config;
use crate::core::Core;
use crate::event::{Attempt, CallId, Event, Request, What};
use crate::fault::Fault;
use crate::quarantine::TargetInstance;

/// A run never takes longer.
pub(super) const END: Time = Time::from_mins(10);

/// The fingerprint of every poison request.
pub(super) const POISON: u64 = 666;

/// How long a target is away.
pub(super) const AWAY: Time = Time::from_millis(700);

/// How long it takes until every core knows of a strike, even if a view is lost.
const SHARED: Time = Time::from_secs(1);

/// The longest way of a message.
const WAY: u64 = 30;

/// Something that will happen.
#[derive(Debug, Clone)]
pub(super) enum Happening {
    Event(usize, Event),
    Ask(usize),
    Trouble(Trouble),
    Control(usize, Action),
    Step(usize, CallId, Attempt, Step),
    Back(usize),
    Beat,
}

/// An attempt that was allowed to write.
#[derive(Debug, Clone)]
pub(super) struct Flight {
    pub core: usize,
    pub id: CallId,
    pub attempt: Attempt,
    pub begun: bool,
}

/// The state of a run.
pub struct Fleet {
    pub(super) plan: Plan,
    pub(super) now: Time,
    pub(super) serial: u64,
    pub(super) due: BTreeMap<(Time, u64), Happening>,
    pub(super) cores: Vec<Core>,
    pub(super) control: Control,
    pub(super) targets: Vec<Fake>,
    pub(super) flights: BTreeMap<Name, Vec<Flight>>,
    pub(super) sends: BTreeMap<(CallId, Attempt), Destination>,
    pub(super) suspects: BTreeSet<(CallId, Attempt)>,
    pub(super) lost_views: Vec<bool>,
    pub(super) ledger: Ledger,
    pub(super) random: SmallRng,
}

impl Fleet {
    /// Runs a plan with a planted fault or without one.
    pub fn run(plan: &Plan, fault: Option<Fault>) -> Result<Ledger, Violation> {
        let mut fleet = Self::new(plan, fault);
        while let Some(at) = fleet.next().filter(|at| *at <= END) {
            fleet.tick(at)?;
            fleet.now = at;
            let due = fleet.due.first_entry().filter(|due| due.key().0 <= at);
            if let Some(due) = due {
                let happening = due.remove();
                fleet.happen(happening)?;
            }
        }
        fleet.tick(END)?;
        fleet.ledger.closes()?;
        Ok(fleet.ledger)
    }

    fn new(plan: &Plan, fault: Option<Fault>) -> Self {
        let mut random = SmallRng::seed_from_u64(plan.seed);
        let cores = (0..plan.cores).map(|core| {
            let mut config = Config::new(core as u64).seed(random.random());
            config = config.place("perth-a", "perth-a1");
            config.fault = fault;
            Core::new(config, Time::ZERO)
        });
        let targets = (0..plan.targets).map(|index| Fake {
            name: format!("w{index}").into(),
            incarnation: 1,
            alive: true,
            open: true,
            replica: index as u64,
            state: State::Ready,
        });
        let mut fleet = Self {
            now: Time::ZERO,
            serial: 0,
            due: BTreeMap::new(),
            cores: cores.collect(),
            control: Control::default(),
            targets: targets.collect(),
            flights: BTreeMap::new(),
            sends: BTreeMap::new(),
            suspects: BTreeSet::new(),
            lost_views: vec![false; plan.cores],
            ledger: Ledger::default(),
            random: SmallRng::seed_from_u64(plan.seed ^ 1),
            plan: plan.clone(),
        };
        fleet.begin();
        fleet
    }

    /// Plans what is known beforehand.
    fn begin(&mut self) {
        for core in 0..self.plan.cores {
            let view = self.control.whole(&self.targets, self.plan.cores);
            self.at(Time::ZERO, Happening::Event(core, Event::View(view)));
            let lease = Event::Lease {
                until: END,
                version: 1,
            };
            self.at(Time::ZERO, Happening::Event(core, lease));
        }
        for index in 0..self.plan.asks.len() {
            let at = Duration::from_millis(self.plan.asks[index].at + 1);
            self.at(at, Happening::Ask(index));
        }
        for (at, trouble) in self.plan.troubles.clone() {
            self.at(Duration::from_millis(at), Happening::Trouble(trouble));
        }
        self.at(Duration::from_millis(500), Happening::Beat);
    }

    pub(super) fn at(&mut self, at: Time, happening: Happening) {
        self.serial += 1;
        self.due.insert((at, self.serial), happening);
    }

    pub(super) fn soon(&mut self, happening: Happening) {
        let way = Duration::from_millis(self.random.random_range(1..WAY));
        self.at(self.now + way, happening);
    }

    /// When something happens next.
    fn next(&self) -> Option<Time> {
        let wakes = self.cores.iter().filter_map(Core::next_wake);
        let due = self.due.keys().next().map(|(at, _)| *at);
        wakes.chain(due).min().map(|next| next.max(self.now))
    }

    /// Wakes the cores, each at the very time that it asked for.
    fn tick(&mut self, until: Time) -> Result<(), Violation> {
        for core in 0..self.cores.len() {
            while let Some(wake) = self.cores[core].next_wake().filter(|wake| *wake <= until) {
                let before = self.now;
                self.now = wake.max(before);
                let actions = self.cores[core].handle(Event::Tick, self.now);
                self.take(core, actions)?;
                let stuck = self.cores[core]
                    .next_wake()
                    .is_some_and(|next| next <= wake);
                self.now = before;
                if stuck {
                    return Err(format!(
                        "core {core} wants to be woken at {wake:?} for ever"
                    ));
                }
            }
        }
        Ok(())
    }

    fn happen(&mut self, happening: Happening) -> Result<(), Violation> {
        match happening {
            Happening::Event(core, event) => self.tell(core, event),
            Happening::Ask(index) => self.ask(index),
            Happening::Trouble(trouble) => self.trouble(trouble),
            Happening::Control(core, action) => {
                self.commit(core, action);
                Ok(())
            }
            Happening::Step(core, id, attempt, step) => self.step(core, id, attempt, step),
            Happening::Back(index) => {
                self.targets[index].alive = true;
                self.targets[index].open = true;
                self.publish(index);
                Ok(())
            }
            Happening::Beat => {
                self.broadcast(Vec::new());
                if self.now < END / 2 {
                    self.at(self.now + Duration::from_millis(500), Happening::Beat);
                }
                Ok(())
            }
        }
    }

    /// Hands an event to a core, and checks its bounds.
    pub(super) fn tell(&mut self, core: usize, event: Event) -> Result<(), Violation> {
        if let Event::CallerLeft { id } = event
            && let Some(entry) = self.ledger.entries.get_mut(&id)
        {
            entry.left = entry.ends.is_empty();
        }
        let actions = self.cores[core].handle(event, self.now);
        self.take(core, actions)?;
        if self.cores[core].queue.len() > QUEUE {
            return Err(format!("{} requests wait", self.cores[core].queue.len()));
        }
        for caller in 0..5 {
            let caller: Name = format!("caller-{caller}").into();
            if self.cores[core].queue.caller_requests(&caller) > CALLER {
                return Err(format!("{caller} has too many requests"));
            }
        }
        Ok(())
    }

    fn ask(&mut self, index: usize) -> Result<(), Violation> {
        let mut ask = self.plan.asks[index];
        let core = ask.core % self.plan.cores;
        if ask.kind == Kind::Poison && !self.may_poison(core) {
            ask.kind = Kind::Whole;
            self.plan.asks[index] = ask;
        }
        let id = index as u64;
        let request = request(id, &ask);
        let entry = Entry {
            deadline: self.now + Duration::from_millis(ask.deadline),
            streaming: request.streaming,
            repeatable: !matches!(ask.kind, Kind::Keyed(_) | Kind::Bare),
            key: request.key.clone(),
            poison: (ask.kind == Kind::Poison).then_some(core),
            ..Entry::default()
        };
        self.ledger.entries.insert(id, entry);
        if let Some(leaves) = ask.leaves {
            let at = self.now + Duration::from_millis(leaves);
            self.at(at, Happening::Event(core, Event::CallerLeft { id }));
        }
        self.tell(core, Event::Arrived(request))
    }

    /// Whether strikes have been shared since the last poison request at another core: its caller
    /// sends it again only after its answer.
    fn may_poison(&self, core: usize) -> bool {
        let mut others = self.ledger.entries.values();
        others.all(|entry| {
            let elsewhere = entry.poison.is_some_and(|other| other != core);
            let shared = |(at, _): &(Time, _)| *at + SHARED < self.now;
            !elsewhere || entry.ends.iter().any(shared)
        })
    }

    /// Does what a core asks for.
    fn take(&mut self, core: usize, actions: Vec<Action>) -> Result<(), Violation> {
        for action in actions {
            self.carry_out(core, action)?;
        }
        Ok(())
    }

    fn carry_out(&mut self, core: usize, action: Action) -> Result<(), Violation> {
        let now = self.now;
        match action {
            Action::Send {
                id,
                attempt,
                to,
                resume,
            } => self.connect(core, id, attempt, to, resume.is_some()),
            Action::Proceed { id, attempt } => self.proceed(core, id, attempt),
            Action::Deliver { id, .. } => {
                if let Some(entry) = self.ledger.entries.get_mut(&id) {
                    entry.moved = Some(now);
                }
                Ok(())
            }
            Action::Finish { id, attempt } => self.ledger.finishes(id, attempt, now),
            Action::Refuse { id, refusal } | Action::StreamError { id, refusal } => {
                self.ledger.ends(id, Some(refusal.run), now)
            }
            Action::Replay { id, .. } => self.ledger.ends(id, None, now),
            Action::Cancel { id, attempt, .. } => {
                for flights in self.flights.values_mut() {
                    flights.retain(|flight| (flight.id, flight.attempt) != (id, attempt));
                }
                Ok(())
            }
            Action::CloseListener | Action::Drained | Action::Report | Action::Suspect { .. } => {
                Ok(())
            }
            Action::BadSettings { error, .. } => Err(error),
            other => {
                self.soon(Happening::Control(core, other));
                Ok(())
            }
        }
    }

    pub(super) fn publish(&mut self, index: usize) {
        let changes = self.targets[index].changes().to_vec();
        self.broadcast(changes);
    }

    /// Sends changes to every core, in order, but for lost ones.
    fn broadcast(&mut self, changes: Vec<Change>) {
        let view = self.control.changes(changes);
        for core in 0..self.cores.len() {
            if std::mem::take(&mut self.lost_views[core]) {
                continue;
            }
            let event = Event::View(view.clone());
            let way = Duration::from_millis(WAY);
            self.at(self.now + way, Happening::Event(core, event));
        }
    }

    /// A reply to a claim: it may be lost, late or doubled.
    fn reply(&mut self, core: usize, event: Event) {
        let luck = self.random.random_range(0..100);
        if luck < 30 {
            let late = Duration::from_millis(self.random.random_range(100..8_000));
            self.at(self.now + late, Happening::Event(core, event.clone()));
        }
        if luck >= 10 {
            self.soon(Happening::Event(core, event));
        }
    }

    /// Control takes a message.
    fn commit(&mut self, core: usize, action: Action) {
        match action {
            Action::Claim {
                id,
                caller,
                key,
                digest,
            } => {
                let reply = self.control.claim(id, (caller, key), digest);
                self.reply(core, Event::Claimed { id, reply });
            }
            Action::Record {
                id,
                caller,
                key,
                outcome,
            } => {
                self.control.record(id, &(caller, key), outcome);
                self.soon(Happening::Event(core, Event::Recorded { id }));
            }
            Action::Strike {
                fingerprint,
                target,
                incarnation,
            } => {
                let change = self.control.strike(fingerprint, (target, incarnation));
                self.broadcast(vec![change]);
            }
            Action::Reserve {
                target,
                incarnation,
            } => {
                let life: TargetInstance = (target.clone(), incarnation);
                let granted = self.control.reserve(life, core);
                let event = Event::Reserved {
                    target,
                    incarnation,
                    granted,
                };
                self.soon(Happening::Event(core, event));
            }
            Action::Unreserve {
                target,
                incarnation,
            } => {
                self.control.unreserve(&(target, incarnation), core);
            }
            Action::Probe { target, .. } => {
                let connected = self
                    .targets
                    .iter()
                    .any(|fake| fake.name == target && fake.alive);
                self.soon(Happening::Event(core, Event::Probed { target, connected }));
            }
            Action::RequestView { .. } => {
                let view = self.control.whole(&self.targets, self.plan.cores);
                let way = Duration::from_millis(WAY);
                self.at(self.now + way, Happening::Event(core, Event::View(view)));
            }
            _ => {}
        }
    }
}

/// The request that an ask stands for.
fn request(id: CallId, ask: &Ask) -> Request {
    let service = |method: &str| What::Service {
        name: "bids".into(),
        method: method.into(),
    };
    let what = match ask.kind {
        Kind::Stream | Kind::Whole | Kind::Poison => "report".parse().map(What::Model),
        Kind::Keyed(_) | Kind::Bare => Ok(service("POST")),
        Kind::Lookup => Ok(service("GET")),
    };
    let caller = format!("caller-{}", ask.caller);
    let mut request = Request::new(id, caller, what.expect("a model"));
    request.class = Some(if ask.urgent { "urgent" } else { "patient" }.into());
    request.deadline = Some(Duration::from_millis(ask.deadline));
    request.streaming = ask.kind == Kind::Stream;
    match ask.kind {
        Kind::Poison => request.fingerprint = POISON,
        Kind::Keyed(key) => {
            request.caller = "caller-0".into();
            request.key = Some(format!("key-{key}").into());
        }
        _ => request.fingerprint = 1_000 + id,
    }
    request
}
