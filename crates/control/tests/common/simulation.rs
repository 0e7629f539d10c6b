//! Simulated workers, a lossy network and a leader, driven by a schedule of random steps.

use std::collections::BTreeSet;
use std::time::Duration;

use cornelhitch_control::prelude::*;
use cornelhitch_control::replicas::Decide;
use cornelhitch_planner::Planner;
use cornelhitch_types::id::ReplicaId;
use cornelhitch_types::order::{Action, Order, Outcome};
use cornelhitch_types::target::Heartbeat;
use cornelhitch_types::view::State as ReplicaState;
use proptest::prelude::*;

use super::fake::{Capabilities, FakeWorker, Held};
use super::{DemandPlanner, MODELS};

/// An order in flight is lost with its connection after this many seconds of the worker's running
/// time.
const ORDER_LIFETIME_S: u64 = 8;

/// The models and their bytes.
const MODEL_BYTES: [(&str, u64); 3] = [("report", 40), ("preview", 40), ("lane", 50)];

/// A delayed heartbeat is lost after this many seconds.
const MAX_HEARTBEAT_DELAY_S: u64 = 3;

/// The fate of an order in flight.
#[derive(Debug, Clone, Copy)]
pub enum Delivery {
    Answered,
    AnswerLost,
    Lost,
    Unsent,
    /// The sender times out; the order arrives later or never.
    Hangs,
}

/// One step of a schedule. Masks have one bit for each worker.
#[derive(Debug, Clone)]
#[rustfmt::skip]
pub enum Step {
    /// One second with ticks and heartbeats; some workers' heartbeats are lost or delayed, and
    /// paused workers send none.
    Second { lost: u8, late: u8, paused: u8 },
    /// A delayed heartbeat arrives; if it is duplicated, it also stays in flight.
    Late { which: usize, duplicated: bool },
    /// An entry host reports demand; with an old sequence number it is a delayed report.
    Demand { host: u64, model: usize, waiting: u32, running: u32, old: bool },
    /// An order in flight is delivered, lost or left hanging.
    Order { which: usize, delivery: Delivery },
    /// A worker restarts in a new incarnation.
    Restart { worker: usize, announced: bool },
    /// A load fails halfway.
    Fail { worker: usize },
    /// Another leader is elected, over a snapshot or the log; only `kept` proposals are committed.
    Elect { kept: usize, snapshot: bool },
    /// A decision that no leader has checked is committed.
    Decide { worker: usize, model: usize },
    /// Commits stall or resume.
    Stall(bool),
    /// An entry host loses its connections to a worker.
    ConnectionLost { worker: usize },
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        4 => Just(Delivery::Answered),
        1 => Just(Delivery::AnswerLost),
        1 => Just(Delivery::Lost),
        1 => Just(Delivery::Unsent),
        2 => Just(Delivery::Hangs),
    ]
}

/// Generates any step.
pub fn step() -> impl Strategy<Value = Step> {
    let mask = || prop_oneof![3 => Just(0_u8), 1 => any::<u8>()];
    prop_oneof![
        10 => (mask(), mask(), mask())
            .prop_map(|(lost, late, paused)| Step::Second { lost, late, paused }),
        1 => (any::<usize>(), any::<bool>())
            .prop_map(|(which, duplicated)| Step::Late { which, duplicated }),
        6 => (1..4_u64, 0..3_usize, 0..9_u32, 0..2_u32, any::<bool>()).prop_map(
            |(host, model, waiting, running, old)| {
                Step::Demand { host, model, waiting, running, old: old && host == 1 }
            }
        ),
        6 => (any::<usize>(), delivery()).prop_map(|(which, delivery)| Step::Order { which, delivery }),
        1 => (0..4_usize, any::<bool>())
            .prop_map(|(worker, announced)| Step::Restart { worker, announced }),
        1 => (0..4_usize).prop_map(|worker| Step::Fail { worker }),
        1 => (0..3_usize, any::<bool>())
            .prop_map(|(kept, snapshot)| Step::Elect { kept, snapshot }),
        1 => (0..4_usize, 0..3_usize)
            .prop_map(|(worker, model)| Step::Decide { worker, model }),
        1 => any::<bool>().prop_map(Step::Stall),
        1 => (0..4_usize).prop_map(|worker| Step::ConnectionLost { worker }),
    ]
}

/// An order in flight.
#[derive(Debug, Clone)]
struct InFlight {
    order: Order,
    worker: usize,
    expires: u64,
    is_reported: bool,
}

/// Creates the planner of a new leader.
pub type PlannerFactory = fn() -> Box<dyn Planner>;

/// The simulated cluster.
pub struct Simulation {
    state: State,
    leader: Leader,
    planner: PlannerFactory,
    now: Duration,
    term: u64,
    log: Vec<(Entry, Command)>,
    proposals: Vec<Command>,
    stalled: bool,
    workers: Vec<FakeWorker>,
    in_flight: Vec<InFlight>,
    late: Vec<(u64, Heartbeat)>,
    reports: u64,
    seconds: u64,
    decided: BTreeSet<ReplicaId>,
    /// Number of load orders sent, to verify that schedules have an effect.
    pub loads: usize,
    /// Replicas that were released.
    pub releases: usize,
}

impl Simulation {
    pub fn new() -> Self {
        Self::with(|| Box::new(DemandPlanner))
    }

    /// Creates a simulation whose leaders use this planner.
    pub fn with(planner: PlannerFactory) -> Self {
        let capabilities = |fencing, ids| Capabilities { fencing, ids };
        let mut workers = vec![
            FakeWorker::new("w0", 100, capabilities(true, true)),
            FakeWorker::new("w1", 100, capabilities(false, true)),
            FakeWorker::new("w2", 100, capabilities(false, false)),
            FakeWorker::new("w3", 50, capabilities(false, false)),
        ];
        for (worker, model, bytes) in [(2, "script", 10), (1, "foreign", 30), (3, "report", 40)] {
            workers[worker].held.push(Held {
                replica: None,
                model: cornelhitch_types::model::Reference::base(model),
                bytes,
                seconds_left: 0,
            });
        }
        let mut simulation = Self {
            state: State::default(),
            leader: Leader::new(planner()),
            planner,
            now: super::START,
            term: 0,
            log: Vec::new(),
            proposals: Vec::new(),
            stalled: false,
            workers,
            in_flight: Vec::new(),
            late: Vec::new(),
            reports: 0,
            seconds: 0,
            decided: BTreeSet::new(),
            loads: 0,
            releases: 0,
        };
        simulation.elect(0, false);
        simulation.proposals.push(Command::Apply(Apply {
            operator: "ann".into(),
            request: "1".into(),
            base: 0,
            text: MODELS.into(),
        }));
        for fake in simulation.workers.clone() {
            simulation.handle(Input::Announcement(fake.announcement));
        }
        simulation.commit(usize::MAX);
        simulation
    }

    /// Runs a step, then checks every invariant.
    pub fn run(&mut self, step: &Step) -> Result<(), String> {
        match step.clone() {
            Step::Second { lost, late, paused } => self.advance_second(lost, late, paused),
            Step::Late { which, duplicated } => self.deliver_late_heartbeat(which, duplicated),
            Step::Demand {
                host,
                model,
                waiting,
                running,
                old,
            } => {
                self.reports += u64::from(!old);
                let model = MODEL_BYTES[model].0;
                let report = super::report(host, self.reports, &[(model, waiting, running)]);
                self.handle(Input::Report(report));
            }
            Step::Order { which, delivery } => self.deliver(which, delivery),
            Step::Restart { worker, announced } => self.restart(worker, announced),
            Step::Fail { worker } => {
                let loading = |held: &Held| held.seconds_left > 0 && held.replica.is_some();
                let held = &mut self.workers[worker].held;
                if let Some(at) = held.iter().position(loading) {
                    held.remove(at);
                }
            }
            Step::Elect { kept, snapshot } => self.elect(kept, snapshot),
            Step::Decide { worker, model } => self.decide(worker, model),
            Step::Stall(stalled) => self.stalled = stalled,
            Step::ConnectionLost { worker } => {
                let announcement = &self.workers[worker].announcement;
                let target = announcement.target.clone();
                let incarnation = announcement.incarnation;
                self.handle(Input::ConnectionLost {
                    target,
                    incarnation,
                });
            }
        }
        if !self.stalled {
            self.commit(usize::MAX);
        }
        self.check()
    }

    /// Returns how many replicas were decided.
    pub fn decided(&self) -> usize {
        self.decided.len()
    }

    /// Returns how many replicas of a model are ready.
    pub fn ready(&self, model: &str) -> usize {
        let replicas = self.state.replicas().of_model(model);
        replicas
            .filter(|it| it.state == ReplicaState::Ready)
            .count()
    }

    /// Runs without faults: while requests wait, every model must become ready; then demand ends.
    pub fn check_recovery(&mut self) -> Result<(), String> {
        let second = Step::Second {
            lost: 0,
            late: 0,
            paused: 0,
        };
        self.run(&Step::Stall(false))?;
        for host in 1..4 {
            let (model, waiting, running, old) = (0, 0, 0, false);
            self.run(&Step::Demand {
                host,
                model,
                waiting,
                running,
                old,
            })?;
        }
        for seconds in 0..90_u32 {
            let waiting = u32::from(seconds < 45);
            for model in 0..MODEL_BYTES.len() {
                let host = 11 + model as u64;
                self.run(&Step::Demand {
                    host,
                    model,
                    waiting,
                    running: 0,
                    old: false,
                })?;
            }
            self.run(&second)?;
            while !self.in_flight.is_empty() {
                self.run(&Step::Order {
                    which: 0,
                    delivery: Delivery::Answered,
                })?;
            }
            let missing = MODEL_BYTES.iter().find(|(name, _)| self.ready(name) == 0);
            if let Some((model, _)) = missing.filter(|_| seconds == 44) {
                return Err(format!("{model} is not ready after the faults"));
            }
        }
        Ok(())
    }

    /// Checks that no replica is left after [`Simulation::check_recovery`]; requires a planner that
    /// keeps no idle replicas.
    pub fn check_empty(&self) -> Result<(), String> {
        match self.state.replicas().iter().next() {
            Some(replica) => Err(format!(
                "{replica:?} is left although no request waits for it"
            )),
            None => Ok(()),
        }
    }

    /// Checks that replaying the log gives the same state.
    pub fn check_replay(&self) -> Result<(), String> {
        let mut replayed = State::default();
        for (entry, command) in &self.log {
            replayed.apply(entry, command.clone());
        }
        let same = replayed.digest() == self.state.digest();
        same.then_some(())
            .ok_or_else(|| "replaying the log gives a different state".to_owned())
    }

    fn handle(&mut self, input: Input) {
        let outputs = self.leader.handle(input, &self.state, self.now);
        for output in outputs {
            match output {
                Output::Propose(command) => self.proposals.push(command),
                Output::Order(order) => self.send(order),
                Output::RequestAnnouncement { target } => {
                    let mut workers = self.workers.iter();
                    let fake = workers.find(|it| it.announcement.target == target);
                    let announcement = fake.map(|it| it.announcement.clone());
                    if let Some(announcement) = announcement {
                        self.handle(Input::Announcement(announcement));
                    }
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, order: Order) {
        if let Action::Load { bytes, .. } = order.action {
            self.loads += 1;
            let decided = self.state.replicas().get(order.replica);
            let fits = decided.is_some_and(|it| {
                it.target == order.target
                    && it.incarnation == order.incarnation
                    && it.bytes == bytes
            });
            assert!(
                fits,
                "load order without a matching committed decision: {order:?}"
            );
        }
        let mut workers = self.workers.iter();
        let worker = workers.position(|it| it.announcement.target == order.target);
        let worker = worker.expect("the order must name a simulated worker");
        // An order for an ended incarnation finds no connection.
        if order.incarnation == self.workers[worker].announcement.incarnation {
            self.in_flight.push(InFlight {
                order,
                worker,
                expires: self.workers[worker].running_seconds + ORDER_LIFETIME_S,
                is_reported: false,
            });
        }
    }

    fn commit(&mut self, count: usize) {
        for _ in 0..count {
            if self.proposals.is_empty() {
                return;
            }
            let command = self.proposals.remove(0);
            let entry = Entry {
                index: self.log.len() as u64 + 1,
                term: self.term,
                time: self.now,
            };
            self.log.push((entry, command.clone()));
            let reply = self.state.apply(&entry, command.clone());
            self.check_reply(&reply);
            self.handle(Input::Applied { command, reply });
        }
    }

    fn decide(&mut self, worker: usize, model: usize) {
        let (model, bytes) = MODEL_BYTES[model];
        let worker = &self.workers[worker];
        self.proposals.push(Command::Decide(Decide {
            model: model.into(),
            version: None,
            target: worker.announcement.target.clone(),
            incarnation: worker.announcement.incarnation,
            bytes,
            after: worker.sequence,
            adopted: false,
        }));
    }

    fn check_reply(&mut self, reply: &Reply) {
        use cornelhitch_control::replicas::Answer;
        match reply {
            Reply::Replica(Answer::Decided(replica)) => {
                assert!(
                    self.decided.insert(replica.id),
                    "replica id {} was decided twice",
                    replica.id
                );
                let fleet = self.state.fleet();
                let heard = |target: &str| fleet.get(target).is_some_and(|it| !it.silent);
                let standing = self.state.replicas().of_model(&replica.model);
                let counted = standing.filter(|it| heard(&it.target)).count();
                let limit = self
                    .state
                    .current_settings()
                    .fleet()
                    .rules(&replica.model)
                    .replicas;
                assert!(
                    counted <= limit as usize,
                    "{counted} replicas of a model, at most {limit} allowed: {replica:?}"
                );
            }
            Reply::Replica(Answer::Released(_)) => self.releases += 1,
            _ => {}
        }
    }

    fn advance_second(&mut self, lost: u8, late: u8, paused: u8) {
        for _ in 0..10 {
            self.now += Duration::from_millis(100);
            self.handle(Input::Tick);
            if !self.stalled {
                self.commit(usize::MAX);
            }
        }
        self.seconds += 1;
        for at in 0..self.workers.len() {
            let bit = 1 << at;
            if paused & bit != 0 {
                continue;
            }
            let heartbeat = self.workers[at].run_second();
            if late & bit != 0 {
                self.late.push((self.seconds, heartbeat));
            } else if lost & bit == 0 {
                self.handle(Input::Heartbeat(heartbeat));
            }
        }
        let oldest = self.seconds.saturating_sub(MAX_HEARTBEAT_DELAY_S);
        self.late.retain(|(since, _)| *since >= oldest);
        self.expire();
    }

    /// Loses the orders whose connection is closed.
    fn expire(&mut self) {
        let workers = &self.workers;
        let over = |it: &InFlight| workers[it.worker].running_seconds >= it.expires;
        let (expired, left) = self.in_flight.drain(..).partition(over);
        self.in_flight = left;
        for order_in_flight in expired {
            self.report_outcome(order_in_flight, Outcome::Unknown);
        }
    }

    fn report_outcome(&mut self, order_in_flight: InFlight, outcome: Outcome) {
        if !order_in_flight.is_reported {
            let order = order_in_flight.order;
            self.handle(Input::OrderDone { order, outcome });
        }
    }

    fn deliver_late_heartbeat(&mut self, which: usize, duplicated: bool) {
        if self.late.is_empty() {
            return;
        }
        let at = which % self.late.len();
        let heartbeat = self.late[at].1.clone();
        if !duplicated {
            self.late.remove(at);
        }
        self.handle(Input::Heartbeat(heartbeat));
    }

    fn deliver(&mut self, which: usize, delivery: Delivery) {
        if self.in_flight.is_empty() {
            return;
        }
        let at = which % self.in_flight.len();
        if matches!(delivery, Delivery::Hangs) && !self.in_flight[at].is_reported {
            let order_in_flight = self.in_flight[at].clone();
            self.in_flight[at].is_reported = true;
            self.report_outcome(order_in_flight, Outcome::Unknown);
            return;
        }
        let order_in_flight = self.in_flight.remove(at);
        let worker = &mut self.workers[order_in_flight.worker];
        let before = worker.held.len();
        let outcome = match delivery {
            Delivery::Answered => Outcome::Answered(worker.handle_order(&order_in_flight.order)),
            Delivery::AnswerLost | Delivery::Hangs => {
                worker.handle_order(&order_in_flight.order);
                Outcome::Unknown
            }
            Delivery::Lost => Outcome::Unknown,
            Delivery::Unsent => Outcome::Unsent,
        };
        // A worker reports a change of its inventory at once, which may be before it answers the
        // order.
        let heartbeat = (worker.held.len() != before).then(|| worker.heartbeat());
        if let Some(heartbeat) = heartbeat {
            self.handle(Input::Heartbeat(heartbeat));
        }
        self.report_outcome(order_in_flight, outcome);
    }

    fn restart(&mut self, worker: usize, announced: bool) {
        self.workers[worker].restart();
        let (expired, left) = self
            .in_flight
            .drain(..)
            .partition(|it: &InFlight| it.worker == worker);
        self.in_flight = left;
        for order_in_flight in expired {
            self.report_outcome(order_in_flight, Outcome::Unknown);
        }
        if announced {
            let announcement = self.workers[worker].announcement.clone();
            self.handle(Input::Announcement(announcement));
        }
    }

    fn elect(&mut self, kept: usize, snapshot: bool) {
        self.commit(kept);
        self.proposals.clear();
        if snapshot {
            let digest = self.state.digest();
            self.state = State::restore(&self.state.snapshot()).expect("a readable snapshot");
            assert!(
                digest == self.state.digest(),
                "restoring a snapshot gives a different state"
            );
        }
        for order_in_flight in &mut self.in_flight {
            order_in_flight.is_reported = true;
        }
        self.term += 1;
        self.leader = Leader::new((self.planner)());
        self.handle(Input::Elected { term: self.term });
    }

    /// Checks every invariant.
    fn check(&mut self) -> Result<(), String> {
        for fake in &self.workers {
            let name = &fake.announcement.target;
            let memory = fake.announcement.memory;
            let reserved = self.state.replicas().reserved(name);
            if reserved > memory {
                return Err(format!("{name}: {reserved} bytes reserved of {memory}"));
            }
            if fake.used() > memory {
                return Err(format!("{name}: {} bytes used of {memory}", fake.used()));
            }
            if let Some(wrong_unload) = &fake.wrong_unload {
                return Err(format!("{name}: {wrong_unload}"));
            }
            for held in fake.held.iter().filter(|it| it.replica.is_some()) {
                let replica = held.replica.unwrap_or_default();
                let standing = self.state.replicas().get(replica);
                if standing.is_none_or(|it| it.target != *name) {
                    return Err(format!("{name}: {replica} is loaded but not decided"));
                }
                let copies = fake.held.iter().filter(|it| it.replica == held.replica);
                if copies.count() > 1 {
                    return Err(format!("{name}: {replica} is loaded twice"));
                }
            }
        }
        Ok(())
    }
}
