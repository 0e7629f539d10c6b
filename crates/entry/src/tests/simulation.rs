//! Simulates several cores with fake control and fake targets in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cornelhitch_types::id::{Name, Time};
use cornelhitch_types::view::{Change, State};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::attempt_script::Step;
use super::fake_control::{FakeControl, FakeTarget, MAX_PER_CALLER, MAX_QUEUED};
use super::plan::{Disturbance, Kind, Plan, PlannedRequest};
use super::request_log::{RequestLog, RequestRecord, Violation};
use crate::action::{Action, Destination};
use crate::config::Config;
use crate::core::Core;
use crate::event::{Attempt, CallId, Event, Request, RequestedResource};
use crate::fault::Fault;
use crate::quarantine::TargetInstance;

/// Time at which a simulation ends at the latest.
pub(super) const MAX_TIME: Time = Time::from_mins(10);

/// The fingerprint of every poison request, which takes down each target that runs it.
pub(super) const POISON: u64 = 666;

/// How long a target is down, or a core without its lease.
pub(super) const DOWNTIME: Time = Time::from_millis(700);

/// How long it takes until every core knows of a strike, even if a view is lost.
const STRIKE_PROPAGATION: Time = Time::from_secs(1);

/// Upper limit on the delay of a message, in milliseconds.
const MAX_DELAY_MS: u64 = 30;

/// An event scheduled in virtual time.
#[derive(Debug, Clone)]
pub(super) enum Task {
    Event(usize, Event),
    Arrival(usize),
    Disturbance(Disturbance),
    Control(usize, Action),
    Step(usize, CallId, Attempt, Step),
    Restart(usize),
    Heartbeat,
}

/// An attempt that was allowed to write to its target.
#[derive(Debug, Clone)]
pub(super) struct WritingAttempt {
    pub core: usize,
    pub id: CallId,
    pub attempt: Attempt,
    pub begun: bool,
}

/// The state of a simulation.
pub struct Simulation {
    pub(super) plan: Plan,
    pub(super) now: Time,
    pub(super) serial: u64,
    pub(super) due: BTreeMap<(Time, u64), Task>,
    pub(super) cores: Vec<Core>,
    pub(super) control: FakeControl,
    pub(super) targets: Vec<FakeTarget>,
    pub(super) in_flight: BTreeMap<Name, Vec<WritingAttempt>>,
    pub(super) sends: BTreeMap<(CallId, Attempt), Destination>,
    pub(super) suspects: BTreeSet<(CallId, Attempt)>,
    pub(super) lost_views: Vec<bool>,
    pub(super) request_log: RequestLog,
    pub(super) random: SmallRng,
}

impl Simulation {
    /// Runs a plan, with an injected fault or without one.
    pub fn run(plan: &Plan, fault: Option<Fault>) -> Result<RequestLog, Violation> {
        let mut simulation = Self::new(plan, fault);
        while let Some(at) = simulation.next().filter(|at| *at <= MAX_TIME) {
            simulation.tick(at)?;
            simulation.now = at;
            let due = simulation.due.first_entry().filter(|due| due.key().0 <= at);
            if let Some(due) = due {
                let event = due.remove();
                simulation.handle(event)?;
            }
        }
        simulation.tick(MAX_TIME)?;
        simulation.request_log.check_all_ended()?;
        Ok(simulation.request_log)
    }

    fn new(plan: &Plan, fault: Option<Fault>) -> Self {
        let mut random = SmallRng::seed_from_u64(plan.seed);
        let cores = (0..plan.cores).map(|core| {
            let mut config = Config::new(core as u64).seed(random.random());
            config = config.place("perth-a", "perth-a1");
            config.fault = fault;
            Core::new(config, Time::ZERO)
        });
        let targets = (0..plan.targets).map(|index| FakeTarget {
            name: format!("w{index}").into(),
            incarnation: 1,
            alive: true,
            open: true,
            replica: index as u64,
            state: State::Ready,
        });
        let mut simulation = Self {
            now: Time::ZERO,
            serial: 0,
            due: BTreeMap::new(),
            cores: cores.collect(),
            control: FakeControl::default(),
            targets: targets.collect(),
            in_flight: BTreeMap::new(),
            sends: BTreeMap::new(),
            suspects: BTreeSet::new(),
            lost_views: vec![false; plan.cores],
            request_log: RequestLog::default(),
            random: SmallRng::seed_from_u64(plan.seed ^ 1),
            plan: plan.clone(),
        };
        simulation.schedule_plan();
        simulation
    }

    /// Schedules what the plan determines in advance.
    fn schedule_plan(&mut self) {
        for core in 0..self.plan.cores {
            let view = self.control.complete_view(&self.targets, self.plan.cores);
            self.schedule(Time::ZERO, Task::Event(core, Event::View(view)));
            let lease = Event::Lease {
                until: MAX_TIME,
                version: 1,
            };
            self.schedule(Time::ZERO, Task::Event(core, lease));
        }
        for index in 0..self.plan.requests.len() {
            let at = Duration::from_millis(self.plan.requests[index].at + 1);
            self.schedule(at, Task::Arrival(index));
        }
        for (at, disturbance) in self.plan.disturbances.clone() {
            self.schedule(Duration::from_millis(at), Task::Disturbance(disturbance));
        }
        self.schedule(Duration::from_millis(500), Task::Heartbeat);
    }

    pub(super) fn schedule(&mut self, at: Time, event: Task) {
        self.serial += 1;
        self.due.insert((at, self.serial), event);
    }

    pub(super) fn schedule_soon(&mut self, event: Task) {
        let delay = Duration::from_millis(self.random.random_range(1..MAX_DELAY_MS));
        self.schedule(self.now + delay, event);
    }

    /// Returns the time of the next event.
    fn next(&self) -> Option<Time> {
        let wakes = self.cores.iter().filter_map(Core::next_wake);
        let due = self.due.keys().next().map(|(at, _)| *at);
        wakes.chain(due).min().map(|next| next.max(self.now))
    }

    /// Sends `Tick` to the cores, each at exactly the time of its `next_wake`.
    fn tick(&mut self, until: Time) -> Result<(), Violation> {
        for core in 0..self.cores.len() {
            while let Some(wake) = self.cores[core].next_wake().filter(|wake| *wake <= until) {
                let before = self.now;
                self.now = wake.max(before);
                let actions = self.cores[core].handle(Event::Tick, self.now);
                self.carry_out_all(core, actions)?;
                let stuck = self.cores[core]
                    .next_wake()
                    .is_some_and(|next| next <= wake);
                self.now = before;
                if stuck {
                    return Err(format!(
                        "core {core} asks to be woken at {wake:?} again and again"
                    ));
                }
            }
        }
        Ok(())
    }

    fn handle(&mut self, event: Task) -> Result<(), Violation> {
        match event {
            Task::Event(core, event) => self.deliver(core, event),
            Task::Arrival(index) => self.arrive(index),
            Task::Disturbance(disturbance) => self.disturbance(disturbance),
            Task::Control(core, action) => {
                self.commit(core, action);
                Ok(())
            }
            Task::Step(core, id, attempt, step) => self.step(core, id, attempt, step),
            Task::Restart(index) => {
                self.targets[index].alive = true;
                self.targets[index].open = true;
                self.publish(index);
                Ok(())
            }
            Task::Heartbeat => {
                self.broadcast(Vec::new());
                if self.now < MAX_TIME / 2 {
                    self.schedule(self.now + Duration::from_millis(500), Task::Heartbeat);
                }
                Ok(())
            }
        }
    }

    /// Hands an event to a core and checks its limits.
    pub(super) fn deliver(&mut self, core: usize, event: Event) -> Result<(), Violation> {
        if let Event::CallerDisconnected { id } = event
            && let Some(record) = self.request_log.records.get_mut(&id)
        {
            record.left = record.ends.is_empty();
        }
        let actions = self.cores[core].handle(event, self.now);
        self.carry_out_all(core, actions)?;
        if self.cores[core].queue.len() > MAX_QUEUED {
            return Err(format!(
                "{} requests wait, more than {MAX_QUEUED}",
                self.cores[core].queue.len()
            ));
        }
        for caller in 0..5 {
            let caller: Name = format!("caller-{caller}").into();
            if self.cores[core].queue.caller_requests(&caller) > MAX_PER_CALLER {
                return Err(format!("{caller} has more than {MAX_PER_CALLER} requests"));
            }
        }
        Ok(())
    }

    fn arrive(&mut self, index: usize) -> Result<(), Violation> {
        let mut planned = self.plan.requests[index];
        let core = planned.core % self.plan.cores;
        if planned.kind == Kind::Poison && !self.may_poison(core) {
            planned.kind = Kind::Whole;
            self.plan.requests[index] = planned;
        }
        let id = index as u64;
        let request = request(id, &planned);
        let record = RequestRecord {
            deadline: self.now + Duration::from_millis(planned.deadline),
            streaming: request.streaming,
            repeatable: !matches!(planned.kind, Kind::Keyed(_) | Kind::Bare),
            key: request.key.clone(),
            poison: (planned.kind == Kind::Poison).then_some(core),
            ..RequestRecord::default()
        };
        self.request_log.records.insert(id, record);
        if let Some(leaves) = planned.leaves {
            let at = self.now + Duration::from_millis(leaves);
            self.schedule(at, Task::Event(core, Event::CallerDisconnected { id }));
        }
        self.deliver(core, Event::Arrived(request))
    }

    /// Whether strikes have been shared since the last poison request at another core: the caller
    /// of a poison request resends it only after its response.
    fn may_poison(&self, core: usize) -> bool {
        let mut others = self.request_log.records.values();
        others.all(|record| {
            let elsewhere = record.poison.is_some_and(|other| other != core);
            let shared = |(at, _): &(Time, _)| *at + STRIKE_PROPAGATION < self.now;
            !elsewhere || record.ends.iter().any(shared)
        })
    }

    /// Carries out the actions of a core.
    fn carry_out_all(&mut self, core: usize, actions: Vec<Action>) -> Result<(), Violation> {
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
                if let Some(record) = self.request_log.records.get_mut(&id) {
                    record.moved = Some(now);
                }
                Ok(())
            }
            Action::Finish { id, attempt } => self.request_log.on_finish(id, attempt, now),
            Action::Refuse { id, refusal } | Action::StreamError { id, refusal } => {
                self.request_log.on_end(id, Some(refusal.run), now)
            }
            Action::Replay { id, .. } => self.request_log.on_end(id, None, now),
            Action::Cancel { id, attempt, .. } => {
                for in_flight in self.in_flight.values_mut() {
                    in_flight.retain(|running| (running.id, running.attempt) != (id, attempt));
                }
                Ok(())
            }
            Action::CloseListener | Action::Drained | Action::Report | Action::Suspect { .. } => {
                Ok(())
            }
            Action::BadSettings { error, .. } => Err(error),
            other => {
                self.schedule_soon(Task::Control(core, other));
                Ok(())
            }
        }
    }

    pub(super) fn publish(&mut self, index: usize) {
        let changes = self.targets[index].changes().to_vec();
        self.broadcast(changes);
    }

    /// Sends changes to every core in order, except those whose next view is to be lost.
    fn broadcast(&mut self, changes: Vec<Change>) {
        let view = self.control.changes(changes);
        for core in 0..self.cores.len() {
            if std::mem::take(&mut self.lost_views[core]) {
                continue;
            }
            let event = Event::View(view.clone());
            let delay = Duration::from_millis(MAX_DELAY_MS);
            self.schedule(self.now + delay, Task::Event(core, event));
        }
    }

    /// Sends a reply to a claim, which may be lost, late or duplicated.
    fn reply(&mut self, core: usize, event: Event) {
        let luck = self.random.random_range(0..100);
        if luck < 30 {
            let late = Duration::from_millis(self.random.random_range(100..8_000));
            self.schedule(self.now + late, Task::Event(core, event.clone()));
        }
        if luck >= 10 {
            self.schedule_soon(Task::Event(core, event));
        }
    }

    /// Commits a strike, or that the strikes of a request are cleared, and publishes the count.
    fn count_strikes(&mut self, action: Action) {
        let change = match action {
            Action::Strike {
                fingerprint,
                target,
                incarnation,
                ..
            } => self.control.strike(fingerprint, (target, incarnation)),
            Action::ClearStrikes { fingerprint } => self.control.clear_strikes(fingerprint),
            _ => return,
        };
        self.broadcast(vec![change]);
    }

    /// Handles a message to control.
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
                self.schedule_soon(Task::Event(core, Event::Recorded { id }));
            }
            Action::Strike { .. } | Action::ClearStrikes { .. } => self.count_strikes(action),
            Action::Reserve {
                target,
                incarnation,
            } => {
                let instance: TargetInstance = (target.clone(), incarnation);
                let granted = self.control.reserve(instance, core);
                let event = Event::Reserved {
                    target,
                    incarnation,
                    granted,
                };
                self.schedule_soon(Task::Event(core, event));
            }
            Action::Unreserve {
                target,
                incarnation,
            } => self.control.unreserve(&(target, incarnation), core),
            Action::Probe { target, .. } => {
                let connected = self
                    .targets
                    .iter()
                    .any(|fake| fake.name == target && fake.alive);
                self.schedule_soon(Task::Event(core, Event::Probed { target, connected }));
            }
            Action::RequestView { .. } => {
                let view = self.control.complete_view(&self.targets, self.plan.cores);
                let delay = Duration::from_millis(MAX_DELAY_MS);
                self.schedule(self.now + delay, Task::Event(core, Event::View(view)));
            }
            _ => {}
        }
    }
}

/// Returns the request that the plan describes.
fn request(id: CallId, planned: &PlannedRequest) -> Request {
    let service = |method: &str| RequestedResource::Service {
        name: "bids".into(),
        method: method.into(),
    };
    let what = match planned.kind {
        Kind::Stream | Kind::Whole | Kind::Poison => "report".parse().map(RequestedResource::Model),
        Kind::Keyed(_) | Kind::Bare => Ok(service("POST")),
        Kind::Lookup => Ok(service("GET")),
    };
    let caller = format!("caller-{}", planned.caller);
    let mut request = Request::new(id, caller, what.expect("a model"));
    request.class = Some(if planned.urgent { "urgent" } else { "patient" }.into());
    request.deadline = Some(Duration::from_millis(planned.deadline));
    request.streaming = planned.kind == Kind::Stream;
    match planned.kind {
        Kind::Poison => request.fingerprint = POISON,
        Kind::Keyed(key) => {
            request.caller = "caller-0".into();
            request.key = Some(format!("key-{key}").into());
        }
        _ => request.fingerprint = 1_000 + id,
    }
    request
}
