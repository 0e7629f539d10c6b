//! Random schedules in which orders, answers and heartbeats are delayed, lost or answered late.

use std::collections::VecDeque;
use std::time::Duration;

use cornelhitch_control::current_table::SubmittedTable;
use cornelhitch_control::prelude::*;
use cornelhitch_types::id::{Name, Time};
use cornelhitch_types::order::{Order, Outcome};
use cornelhitch_types::target::{AnnouncedHeartbeat, Inspection};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::common::Bench;
use crate::worker::{MODELS, SimulatedWorker, table};
use crate::{demand, id};

/// A message in flight.
#[derive(Debug, Clone)]
enum Message {
    Order(Order),
    Outcome(Order, Outcome),
    Heartbeat(Box<AnnouncedHeartbeat>),
    Inspect(Name, u64),
    Answer(Name, u64, Inspection),
}

struct Schedule {
    random: SmallRng,
    bench: Bench,
    workers: Vec<SimulatedWorker>,
    in_flight: VecDeque<(Time, Message)>,
    /// Demand reports sent so far.
    reports: u64,
    /// Orders sent by the leader so far.
    orders_sent: u64,
    /// Inspections sent by the leader so far.
    inspections_sent: u64,
}

impl Schedule {
    /// Creates two workers with five of the models on each disk.
    fn new(seed: u64, table: SubmittedTable) -> Self {
        let mut bench = Bench::new();
        bench.commit(&Command::PublishTable(table));
        let disk: Vec<String> = MODELS.iter().map(|model| id(model)).collect();
        let disk: Vec<&str> = disk.iter().map(String::as_str).collect();
        let workers = ["w1", "w2"];
        let workers = workers.map(|name| SimulatedWorker::new(name, 1_000, &disk[..5]));
        Self {
            random: SmallRng::seed_from_u64(seed),
            bench,
            workers: workers.into(),
            in_flight: VecDeque::new(),
            reports: 0,
            orders_sent: 0,
            inspections_sent: 0,
        }
    }

    /// Sends a message that arrives soon, or sometimes seconds late.
    fn send(&mut self, message: Message) {
        let late = self.random.random_bool(0.05);
        let max_delay_ms = if late { 4_000 } else { 80 };
        self.send_within(max_delay_ms, message);
    }

    /// Sends a message that arrives within a time, in milliseconds.
    fn send_within(&mut self, max_delay_ms: u64, message: Message) {
        let delay = Duration::from_millis(self.random.random_range(1..max_delay_ms));
        self.in_flight.push_back((self.bench.now + delay, message));
    }

    /// Reports the outcome of an order as unknown a second from now.
    fn report_unknown(&mut self, order: Order) {
        let lost = Message::Outcome(order, Outcome::Unknown);
        let at = self.bench.now + Duration::from_secs(1);
        self.in_flight.push_back((at, lost));
    }

    /// Returns the number of orders and inspections that the leader has sent.
    fn requests_sent(&self) -> u64 {
        self.orders_sent + self.inspections_sent
    }

    /// Runs one round of 50 ms.
    fn round(&mut self, round: u64) -> Result<(), String> {
        self.bench.now += Duration::from_millis(50);
        self.advance_workers(round);
        if self.random.random_bool(0.004) {
            self.bench.restart();
        }
        if self.random.random_bool(0.3) {
            self.report_demand();
        }
        self.bench.handle(Input::Tick);
        for output in std::mem::take(&mut self.bench.outputs) {
            self.send_output(output);
        }
        let now = self.bench.now;
        let (due, rest) = self.in_flight.drain(..).partition(|(at, _)| *at <= now);
        self.in_flight = rest;
        let due: VecDeque<(Time, Message)> = due;
        due.into_iter()
            .try_for_each(|(_, message)| self.deliver(message))
    }

    /// Advances the workers, which send heartbeats and sometimes restart.
    fn advance_workers(&mut self, round: u64) {
        for at in 0..self.workers.len() {
            let worker = &mut self.workers[at];
            let done = worker.advance(self.bench.now);
            if done || round % 24 == u64::from(worker.name.as_bytes()[1]) % 24 {
                let heartbeat = Message::Heartbeat(Box::new(worker.presence(false)));
                self.send(heartbeat);
            }
            if self.random.random_bool(0.002) {
                let worker = &mut self.workers[at];
                let mut next = SimulatedWorker::new(&worker.name, worker.incarnation + 1_000, &[]);
                next.disk.clone_from(&worker.disk);
                *worker = next;
            }
        }
    }

    /// Reports demand for one model, sometimes with an adapter.
    fn report_demand(&mut self) {
        self.reports += 1;
        let model = MODELS[self.random.random_range(0..MODELS.len())];
        let adapter = format!("a{}", self.random.random_range(1..9));
        let adapters = [adapter.as_str()];
        let named = usize::from(self.random.random_bool(0.5));
        let waiting = self.random.random_range(0..3);
        let rows = [(model, waiting, &adapters[..named])];
        self.bench.handle(demand(self.reports, &rows));
    }

    /// Sends the messages for the leader's outputs.
    fn send_output(&mut self, output: Output) {
        match output {
            Output::Order(order) => {
                self.orders_sent += 1;
                let late = self.random.random_bool(0.1);
                let max_delay_ms = if late { 12_000 } else { 60 };
                self.send_within(max_delay_ms, Message::Order(order.clone()));
                if late {
                    self.report_unknown(order);
                }
            }
            Output::Inspect {
                target,
                incarnation,
            } => {
                self.inspections_sent += 1;
                self.send(Message::Inspect(target, incarnation));
            }
            _ => {}
        }
    }

    /// Delivers a message; returns an error if a worker crashes.
    fn deliver(&mut self, message: Message) -> Result<(), String> {
        match message {
            Message::Order(order) => return self.handle_order(order),
            Message::Outcome(order, outcome) => {
                self.bench.handle(Input::OrderDone { order, outcome });
            }
            Message::Heartbeat(presence) => self.bench.handle(Input::Presence(presence)),
            Message::Inspect(target, incarnation) => {
                let worker = self.workers.iter().find(|it| it.name == target);
                if let Some(worker) = worker.filter(|it| it.incarnation == incarnation) {
                    // The answer is as old as the inspection, however late it arrives.
                    let answer = Message::Answer(target, incarnation, worker.inspection());
                    self.send(answer);
                }
            }
            Message::Answer(target, incarnation, answer) => self.bench.handle(Input::Inspected {
                target,
                incarnation,
                inspection: Some(answer),
            }),
        }
        Ok(())
    }

    /// Delivers an order to its worker; the answer may be lost.
    fn handle_order(&mut self, order: Order) -> Result<(), String> {
        let now = self.bench.now;
        let mut workers = self.workers.iter_mut();
        let worker = workers.find(|it| it.name == order.target);
        let worker = worker.expect("the order must name a simulated worker");
        let outcome = worker.handle_order(&order, now);
        if let Some(fault) = &worker.crashed {
            return Err(format!("{} at {now:?}: {fault}", worker.name));
        }
        if self.random.random_bool(0.9) {
            self.send(Message::Outcome(order, outcome));
        } else {
            self.report_unknown(order);
        }
        Ok(())
    }
}

/// Runs one random schedule and returns how many orders were sent, or how a worker crashed.
pub fn schedule(seed: u64) -> Result<u64, String> {
    let mut schedule = Schedule::new(seed, table());
    (0..600).try_for_each(|round| schedule.round(round))?;
    Ok(schedule.orders_sent)
}

/// Runs a short random schedule with another table, whose sizes need not be those of the workers: these may crash.
/// Returns the most orders and inspections that the leader sent in one round.
pub fn schedule_with(seed: u64, table: SubmittedTable) -> u64 {
    let mut schedule = Schedule::new(seed, table);
    let mut most = 0;
    for round in 0..200 {
        let before = schedule.requests_sent();
        // The outcome says whether a worker crashed.
        let _ = schedule.round(round);
        most = most.max(schedule.requests_sent() - before);
    }
    most
}
