//! Random schedules: orders, answers and heartbeats that come late, twice or never.

use std::collections::VecDeque;
use std::time::Duration;

use cornelhitch_control::prelude::*;
use cornelhitch_types::id::{Name, Time};
use cornelhitch_types::order::{Order, Outcome};
use cornelhitch_types::target::{Inspection, Presence};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::common::Bench;
use crate::worker::{MODELS, Worker, table};
use crate::{demand, id};

/// What is under way in a random schedule.
#[derive(Debug, Clone)]
enum Under {
    Order(Order),
    Outcome(Order, Outcome),
    Beat(Box<Presence>),
    Ask(Name, u64),
    Said(Name, u64, Inspection),
}

/// A random schedule.
struct Schedule {
    random: SmallRng,
    bench: Bench,
    workers: Vec<Worker>,
    under: VecDeque<(Time, Under)>,
    /// Reports of demand so far.
    reports: u64,
    /// Orders given so far.
    given: u64,
}

impl Schedule {
    /// Two workers, with five of the models on each disk.
    fn new(seed: u64) -> Self {
        let mut bench = Bench::new();
        bench.commit(&Command::Publish(table()));
        let disk: Vec<String> = MODELS.iter().map(|model| id(model)).collect();
        let disk: Vec<&str> = disk.iter().map(String::as_str).collect();
        let workers = ["w1", "w2"];
        let workers = workers.map(|name| Worker::new(name, 1_000, &disk[..5]));
        Self {
            random: SmallRng::seed_from_u64(seed),
            bench,
            workers: workers.into(),
            under: VecDeque::new(),
            reports: 0,
            given: 0,
        }
    }

    /// Sends something that arrives soon, or at times seconds late.
    fn send(&mut self, what: Under) {
        let late = self.random.random_bool(0.05);
        let longest = if late { 4_000 } else { 80 };
        self.send_within(longest, what);
    }

    /// Sends something that arrives within a time, in milliseconds.
    fn send_within(&mut self, longest: u64, what: Under) {
        let way = Duration::from_millis(self.random.random_range(1..longest));
        self.under.push_back((self.bench.now + way, what));
    }

    /// Lets an order count as unknown a second from now.
    fn lose(&mut self, order: Order) {
        let lost = Under::Outcome(order, Outcome::Unknown);
        let at = self.bench.now + Duration::from_secs(1);
        self.under.push_back((at, lost));
    }

    /// One round of 50 ms.
    fn round(&mut self, round: u64) -> Result<(), String> {
        self.bench.now += Duration::from_millis(50);
        self.work(round);
        if self.random.random_bool(0.004) {
            self.bench.restart();
        }
        if self.random.random_bool(0.3) {
            self.ask();
        }
        self.bench.give(Input::Tick);
        for output in std::mem::take(&mut self.bench.outputs) {
            self.carry(output);
        }
        let now = self.bench.now;
        let (due, rest) = self.under.drain(..).partition(|(at, _)| *at <= now);
        self.under = rest;
        let due: VecDeque<(Time, Under)> = due;
        due.into_iter().try_for_each(|(_, what)| self.arrive(what))
    }

    /// Lets workers work, tell of themselves, and now and then start anew.
    fn work(&mut self, round: u64) {
        for at in 0..self.workers.len() {
            let worker = &mut self.workers[at];
            let done = worker.work(self.bench.now);
            if done || round % 24 == u64::from(worker.name.as_bytes()[1]) % 24 {
                let beat = Under::Beat(Box::new(worker.presence(false)));
                self.send(beat);
            }
            if self.random.random_bool(0.002) {
                let worker = &mut self.workers[at];
                let mut next = Worker::new(&worker.name, worker.born + 1_000, &[]);
                next.disk.clone_from(&worker.disk);
                *worker = next;
            }
        }
    }

    /// Reports demand for one model, perhaps with an adapter.
    fn ask(&mut self) {
        self.reports += 1;
        let model = MODELS[self.random.random_range(0..MODELS.len())];
        let adapter = format!("a{}", self.random.random_range(1..9));
        let adapters = [adapter.as_str()];
        let named = usize::from(self.random.random_bool(0.5));
        let waiting = self.random.random_range(0..3);
        let rows = [(model, waiting, &adapters[..named])];
        self.bench.give(demand(self.reports, &rows));
    }

    /// Sends what the leader gives out.
    fn carry(&mut self, output: Output) {
        match output {
            Output::Order(order) => {
                self.given += 1;
                let late = self.random.random_bool(0.1);
                let longest = if late { 12_000 } else { 60 };
                self.send_within(longest, Under::Order(order.clone()));
                if late {
                    self.lose(order);
                }
            }
            Output::Inspect {
                target,
                incarnation,
            } => self.send(Under::Ask(target, incarnation)),
            _ => {}
        }
    }

    /// Lets something arrive; the error says how a worker went down.
    fn arrive(&mut self, what: Under) -> Result<(), String> {
        match what {
            Under::Order(order) => return self.obey(order),
            Under::Outcome(order, outcome) => {
                self.bench.give(Input::OrderDone { order, outcome });
            }
            Under::Beat(presence) => self.bench.give(Input::Presence(presence)),
            Under::Ask(target, life) => {
                let worker = self.workers.iter().find(|it| it.name == target);
                if let Some(worker) = worker.filter(|it| it.born == life) {
                    // What it says is as old as its report.
                    let said = Under::Said(target, life, worker.inspection());
                    self.send(said);
                }
            }
            Under::Said(target, incarnation, inspection) => self.bench.give(Input::Inspected {
                target,
                incarnation,
                inspection: Some(inspection),
            }),
        }
        Ok(())
    }

    /// Lets a worker carry out an order, whose answer may be lost.
    fn obey(&mut self, order: Order) -> Result<(), String> {
        let now = self.bench.now;
        let mut workers = self.workers.iter_mut();
        let worker = workers.find(|it| it.name == order.target);
        let worker = worker.expect("a worker");
        let outcome = worker.obey(&order, now);
        if let Some(how) = &worker.crashed {
            return Err(format!("{} at {now:?}: {how}", worker.name));
        }
        if self.random.random_bool(0.9) {
            self.send(Under::Outcome(order, outcome));
        } else {
            self.lose(order);
        }
        Ok(())
    }
}

/// The orders of one random schedule; the error says how a worker went down.
pub fn schedule(seed: u64) -> Result<u64, String> {
    let mut schedule = Schedule::new(seed);
    (0..600).try_for_each(|round| schedule.round(round))?;
    Ok(schedule.given)
}
