//! The run of a plan: cores, fake control and fake targets in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cornelhitch_types::id::{Name, TargetId, Time};
use cornelhitch_types::view::{Change, State};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::control::{CALLER, Control, Fake, QUEUE};
use super::ledger::{Entry, Ledger, Violation};
use super::outcome::{Step, steps};
use super::plan::{Ask, Kind, Plan, Trouble};
use crate::action::{Action, Destination};
use crate::config::Config;
use crate::core::Core;
use crate::event::{Attempt, CallId, Event, Failure, Request, What};
use crate::fault::Fault;
use crate::quarantine::Life;

/// A run never takes longer.
const END: Time = Time::from_mins(10);

/// The fingerprint of every poison request.
const POISON: u64 = 666;

/// How long a target is away.
const AWAY: Time = Time::from_millis(700);

/// How long it takes until every core knows of a strike, even if a view is lost.
const SHARED: Time = Time::from_secs(1);

/// The longest way of a message.
const WAY: u64 = 30;

/// Something that will happen.
#[derive(Debug, Clone)]
enum Happening {
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
struct Flight {
    core: usize,
    id: CallId,
    attempt: Attempt,
    begun: bool,
}

/// The state of a run.
pub struct Fleet {
    plan: Plan,
    now: Time,
    serial: u64,
    due: BTreeMap<(Time, u64), Happening>,
    pub cores: Vec<Core>,
    control: Control,
    targets: Vec<Fake>,
    flights: BTreeMap<Name, Vec<Flight>>,
    sends: BTreeMap<(CallId, Attempt), Destination>,
    suspects: BTreeSet<(CallId, Attempt)>,
    lost_views: Vec<bool>,
    ledger: Ledger,
    random: SmallRng,
}

impl Fleet {
    /// Runs a plan with a planted fault or without one.
    pub fn run(plan: &Plan, fault: Option<Fault>) -> Result<(), Violation> {
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
        fleet.ledger.closes()
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

    fn at(&mut self, at: Time, happening: Happening) {
        self.serial += 1;
        self.due.insert((at, self.serial), happening);
    }

    fn soon(&mut self, happening: Happening) {
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
    fn tell(&mut self, core: usize, event: Event) -> Result<(), Violation> {
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
            if self.cores[core].queue.of_caller(&caller) > CALLER {
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

    fn connect(
        &mut self,
        core: usize,
        id: CallId,
        attempt: Attempt,
        to: Destination,
        resumes: bool,
    ) -> Result<(), Violation> {
        self.allowed(core, id, &to)?;
        let before = self.sends.get(&(id, attempt - 1));
        let same = resumes && before.is_some_and(|before| *before == to);
        let call = self.cores[core].calls.get(&id);
        let struck = call.is_some_and(|call| {
            let fingerprint = call.request.fingerprint;
            self.cores[core].quarantine.strikes(fingerprint) > 0
        });
        if struck && !same {
            self.suspects.insert((id, attempt));
        }
        let fake = self.targets.iter().find(|fake| fake.name == to.target);
        let up = fake.is_some_and(|fake| fake.alive && fake.incarnation == to.incarnation);
        self.sends.insert((id, attempt), to);
        let event = if up {
            Event::Sent { id, attempt }
        } else {
            let failure = Failure::Connect;
            Event::Failed {
                id,
                attempt,
                failure,
            }
        };
        self.soon(Happening::Event(core, event));
        Ok(())
    }

    /// Nothing goes to a closed target or a retiring replica, as far as the core knows.
    fn allowed(&self, core: usize, id: CallId, to: &Destination) -> Result<(), Violation> {
        let picture = &self.cores[core].picture;
        if !picture.open(&to.target, to.incarnation) {
            return Err(format!(
                "request {id} went to the closed target {}",
                to.target
            ));
        }
        if to.replica.is_some_and(|replica| !picture.ready(replica)) {
            return Err(format!("request {id} went to a replica that is not ready"));
        }
        Ok(())
    }

    fn proceed(&mut self, core: usize, id: CallId, attempt: Attempt) -> Result<(), Violation> {
        self.ledger.proceeds(id)?;
        let Some(to) = self.sends.get(&(id, attempt)).cloned() else {
            return Err(format!("attempt {attempt} of request {id} was never sent"));
        };
        self.allowed(core, id, &to)?;
        self.alone(id, attempt, &to.target)?;
        let ask = self.plan.asks[usize::try_from(id).unwrap_or_default()];
        let poison = ask.kind == Kind::Poison;
        let streaming = ask.kind == Kind::Stream;
        let up = self
            .targets
            .iter()
            .any(|fake| fake.alive && fake.name == to.target && fake.incarnation == to.incarnation);
        let flight = Flight {
            core,
            id,
            attempt,
            begun: false,
        };
        if !up {
            let step = Step::Fail(Failure::Broken);
            self.soon(Happening::Step(core, id, attempt, step));
            return Ok(());
        }
        self.flights.entry(to.target).or_default().push(flight);
        for (after, step) in steps(poison, streaming, self.plan.sick, &mut self.random) {
            let happening = Happening::Step(core, id, attempt, step);
            self.at(self.now + after, happening);
        }
        Ok(())
    }

    /// At most one suspect runs on a target, over all cores; an answer that is continued counts not.
    fn alone(&self, id: CallId, attempt: Attempt, target: &TargetId) -> Result<(), Violation> {
        let flights = self.flights.get(target).into_iter().flatten();
        let mut others =
            flights.filter(|flight| self.suspects.contains(&(flight.id, flight.attempt)));
        if !self.suspects.contains(&(id, attempt)) {
            return Ok(());
        }
        match others.next() {
            Some(other) => Err(format!("suspects {id} and {} share {target}", other.id)),
            None => Ok(()),
        }
    }

    /// One step of an attempt; late ones come all the same.
    fn step(
        &mut self,
        core: usize,
        id: CallId,
        attempt: Attempt,
        step: Step,
    ) -> Result<(), Violation> {
        let Some(to) = self.sends.get(&(id, attempt)).cloned() else {
            return Ok(());
        };
        let up = self
            .targets
            .iter()
            .any(|fake| fake.alive && fake.name == to.target && fake.incarnation == to.incarnation);
        if !up && !matches!(step, Step::Fail(_)) {
            return Ok(());
        }
        let flights = self.flights.entry(to.target.clone()).or_default();
        let known = flights
            .iter_mut()
            .find(|flight| (flight.id, flight.attempt) == (id, attempt));
        let event = match step {
            Step::Begin => {
                if let Some(flight) = known {
                    flight.begun = true;
                }
                Event::Begun { id, attempt }
            }
            Step::Move(offset) => {
                self.moved(core, id, attempt);
                Event::Progress {
                    id,
                    attempt,
                    offset,
                }
            }
            Step::End => {
                flights.retain(|flight| (flight.id, flight.attempt) != (id, attempt));
                if let Some(entry) = self.ledger.entries.get_mut(&id) {
                    entry.whole.insert(attempt);
                }
                Event::Ended { id, attempt }
            }
            Step::Fail(failure) => {
                flights.retain(|flight| (flight.id, flight.attempt) != (id, attempt));
                Event::Failed {
                    id,
                    attempt,
                    failure,
                }
            }
            Step::Die => {
                if known.is_none() {
                    return Ok(());
                }
                let life = (to.target.clone(), to.incarnation);
                self.ledger.takes_down(POISON, life)?;
                let index = self.targets.iter().position(|fake| fake.name == to.target);
                self.die(index.unwrap_or_default());
                return Ok(());
            }
        };
        let doubled = self.random.random_range(0..20) == 0;
        if doubled {
            self.soon(Happening::Event(core, event.clone()));
        }
        self.tell(core, event)
    }

    /// Notes that the answer of the attempt in progress moved.
    fn moved(&mut self, core: usize, id: CallId, attempt: Attempt) {
        let call = self.cores[core].calls.get(&id);
        let current = call.is_some_and(|call| call.run(attempt).is_some());
        if let Some(entry) = self.ledger.entries.get_mut(&id).filter(|_| current) {
            entry.moved = entry.moved.map(|_| self.now);
        }
    }

    /// A target dies with everything on it, and comes back in another life.
    fn die(&mut self, index: usize) {
        let fake = &mut self.targets[index];
        if !fake.alive {
            return;
        }
        fake.alive = false;
        fake.open = false;
        fake.incarnation += 1;
        let name = fake.name.clone();
        for flight in self.flights.remove(&name).unwrap_or_default() {
            let failure = if flight.begun {
                Failure::Truncated
            } else {
                Failure::Broken
            };
            let step = Step::Fail(failure);
            self.soon(Happening::Step(
                flight.core,
                flight.id,
                flight.attempt,
                step,
            ));
        }
        self.at(self.now + AWAY, Happening::Back(index));
    }

    fn trouble(&mut self, trouble: Trouble) -> Result<(), Violation> {
        let (cores, targets) = (self.plan.cores, self.plan.targets);
        match trouble {
            Trouble::Death(index) => {
                self.die(index % targets);
                Ok(())
            }
            Trouble::Leave(index) => {
                self.targets[index % targets].open = false;
                self.publish(index % targets);
                self.at(self.now + AWAY, Happening::Back(index % targets));
                Ok(())
            }
            Trouble::Retire(index) => {
                let fake = &mut self.targets[index % targets];
                fake.state = State::Retiring;
                self.publish(index % targets);
                self.targets[index % targets].replica += 100;
                self.targets[index % targets].state = State::Ready;
                self.at(self.now + AWAY, Happening::Back(index % targets));
                Ok(())
            }
            Trouble::Isolated(core) => {
                let core = core % cores;
                self.cores[core].lease = crate::lease::Lease::default();
                let lease = Event::Lease {
                    until: END,
                    version: 1,
                };
                self.at(self.now + AWAY, Happening::Event(core, lease));
                Ok(())
            }
            Trouble::Drain(core) => self.tell(core % cores, Event::Drain),
            Trouble::LostView(core) => {
                self.lost_views[core % cores] = true;
                Ok(())
            }
        }
    }

    fn publish(&mut self, index: usize) {
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
                let life: Life = (target.clone(), incarnation);
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
