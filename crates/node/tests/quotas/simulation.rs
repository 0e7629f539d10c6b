//! Entry hosts' allowances and leaders' buckets on a virtual clock, with a network between them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use cornelhitch_control::quota::Quotas;
use cornelhitch_entry::quota::{Allowances, Charge, Demanded};
use cornelhitch_types::id::Time;
use cornelhitch_types::quota::{Answer, Cause, Report};
use cornelhitch_types::team::{Access, Quota, Team};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::plan::{Plan, Spread, WINDOW};

const TEAM: &str = "night-desk";

/// How long a caller waits for its answer.
const DEADLINE: Duration = Duration::from_secs(5);

/// How long a request waits for its allowance.
const ALLOWANCE_WAIT: Duration = Duration::from_millis(500);

/// A clock that starts at some time and drifts.
#[derive(Debug, Clone, Copy)]
struct Clock {
    offset: Duration,
    ppm: u32,
}

const MILLION: u32 = 1_000_000;

impl Clock {
    fn random(random: &mut SmallRng, drift_ppm: u32) -> Self {
        Self {
            offset: Duration::from_millis(random.random_range(0..100_000)),
            ppm: MILLION - drift_ppm + random.random_range(0..=2 * drift_ppm),
        }
    }

    /// Returns what the clock shows at a real time.
    fn at(self, real: Time) -> Time {
        self.offset + scale(real, self.ppm, MILLION)
    }

    /// Returns a real time at which the clock shows at least a time.
    fn real(self, shown: Time) -> Time {
        let since = shown.saturating_sub(self.offset);
        scale(since, MILLION, self.ppm) + Duration::from_micros(1)
    }
}

/// Returns a time multiplied by a fraction.
fn scale(time: Time, by: u32, of: u32) -> Time {
    let nanos = time.as_nanos() * u128::from(by) / u128::from(of);
    Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
}

/// A caller's request.
#[derive(Debug, Clone, Copy)]
struct Caller {
    key: u64,
    cost: u64,
    deadline: Time,
    /// Whether it was told when to come back, and does.
    returns: bool,
}

/// A request at a host.
struct Held {
    caller: Caller,
    charge: Option<Charge>,
}

/// An entry host.
struct Host {
    allowances: Allowances,
    incarnation: u64,
    clock: Clock,
    /// The control host that it takes for the leader.
    leader: usize,
    held: BTreeMap<u64, Held>,
    cut_until: Time,
    /// When it looks next for what is due.
    wake: Option<Time>,
}

/// A control host in a term.
struct Leader {
    quotas: Quotas,
    clock: Clock,
    /// When it began to lead.
    since: Time,
    /// When its own lease ends, so that it no longer answers.
    until: Option<Time>,
}

enum Event {
    Arrive(usize, Caller),
    Wake(usize),
    Report(usize, usize, Report),
    Answer(usize, Answer),
    Send(usize, u64, u64),
    Declined(usize, u64, u64, usize),
    Restart,
    Cut,
    Elect,
    Switch(usize, usize),
}

/// What was run and refused.
#[derive(Debug, Default)]
pub struct Outcome {
    /// What ran, with the real time of the send; 0 if the target declined it.
    pub runs: Vec<(Time, u64)>,
    /// Requests refused since the quota was used up.
    pub refused: u64,
    /// Refusals of callers that came back when told.
    pub refused_again: u64,
    /// Callers that came back when told.
    pub returned: u64,
    /// Units that ran for callers that came back when told.
    pub ran_late: u64,
    /// Requests refused since no leader answered.
    pub unanswered: u64,
    /// Messages between hosts and leaders.
    pub messages: u64,
    /// The most that could be spent at one moment: what all hosts held, and what the leader could
    /// grant. Counted only in plans that measure it.
    pub most_at_once: u64,
}

impl Outcome {
    /// Returns the most that ran in any window that begins at `from` or later.
    pub fn most_in_a_window(&self, from: Time) -> u64 {
        let mut runs: Vec<_> = self.runs.iter().filter(|(at, _)| *at >= from).collect();
        runs.sort_unstable();
        let (mut first, mut sum, mut most) = (0, 0, 0);
        for (at, cost) in &runs {
            sum += cost;
            while runs[first].0 + WINDOW < *at {
                sum -= runs[first].1;
                first += 1;
            }
            most = most.max(sum);
        }
        most
    }

    /// Returns the sum of what ran between two times.
    pub fn ran(&self, from: Time, to: Time) -> u64 {
        let runs = self.runs.iter();
        let runs = runs.filter(|(at, _)| (from..to).contains(at));
        runs.map(|(_, cost)| cost).sum()
    }
}

pub struct Simulation {
    plan: Plan,
    random: SmallRng,
    now: Time,
    events: BTreeMap<u64, Event>,
    order: BinaryHeap<Reverse<(Time, u64)>>,
    next_event: u64,
    next_key: u64,
    hosts: Vec<Host>,
    leaders: Vec<Leader>,
    outcome: Outcome,
}

impl Simulation {
    /// Plays a plan.
    pub fn run(plan: Plan, seed: u64) -> Outcome {
        let mut random = SmallRng::seed_from_u64(seed);
        let hosts = (0..plan.hosts).map(|_| Host {
            allowances: Allowances::new(1),
            incarnation: 1,
            clock: Clock::random(&mut random, plan.faults.drift_ppm),
            leader: 0,
            held: BTreeMap::new(),
            cut_until: Time::ZERO,
            wake: None,
        });
        let hosts = hosts.collect();
        let mut simulation = Self {
            plan,
            random,
            now: Time::ZERO,
            events: BTreeMap::new(),
            order: BinaryHeap::new(),
            next_event: 0,
            next_key: 0,
            hosts,
            leaders: Vec::new(),
            outcome: Outcome::default(),
        };
        simulation.elect();
        simulation.schedule_arrival();
        let faults = plan.faults;
        simulation.schedule_fault(faults.restarts, Event::Restart);
        simulation.schedule_fault(faults.partitions, Event::Cut);
        simulation.schedule_fault(faults.elections, Event::Elect);
        while let Some(Reverse((at, number))) = simulation.order.pop() {
            if at > plan.length {
                break;
            }
            simulation.now = at;
            if let Some(event) = simulation.events.remove(&number) {
                simulation.handle(event);
                if plan.measures_holdings {
                    simulation.measure_holdings();
                }
            }
        }
        simulation.outcome
    }

    /// Records what could be spent at this moment.
    fn measure_holdings(&mut self) {
        let hosts = self.hosts.iter();
        let held = hosts.map(|host| host.allowances.spendable(TEAM, host.clock.at(self.now)));
        let mut sum: u64 = held.sum();
        if let Some(leader) = self.leaders.last_mut() {
            let now = leader.clock.at(self.now);
            if leader.quotas.is_ready(now) {
                leader.quotas.advance(now);
                let states = leader.quotas.states();
                sum += states.iter().map(|state| state.available).sum::<u64>();
            }
        }
        self.outcome.most_at_once = self.outcome.most_at_once.max(sum);
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.next_event += 1;
        self.events.insert(self.next_event, event);
        self.order.push(Reverse((at, self.next_event)));
    }

    /// Schedules a fault that happens so many times a minute.
    fn schedule_fault(&mut self, per_minute: f64, event: Event) {
        if per_minute > 0.0 {
            let pause = self.exponential(60.0 / per_minute);
            self.schedule(self.now + pause, event);
        }
    }

    /// Returns a random time with this mean, in seconds.
    fn exponential(&mut self, mean_s: f64) -> Duration {
        let draw: f64 = self.random.random_range(1e-9..1.0);
        Duration::from_secs_f64(-draw.ln() * mean_s)
    }

    /// Returns a random time up to a limit.
    fn up_to(&mut self, limit: Duration) -> Duration {
        limit.mul_f64(self.random.random_range(0.0..1.0))
    }

    /// Schedules the arrival of a new request.
    fn schedule_arrival(&mut self) {
        let mean_cost = self.plan.largest as f64 / 2.0;
        let per_second = self.plan.demand * self.plan.rate as f64 / mean_cost;
        let mut at = self.now + self.exponential(1.0 / per_second);
        if let Some(period) = self.plan.bursts {
            let periods = at.as_millis() / period.as_millis();
            let is_silent = periods.is_multiple_of(2);
            at += if is_silent { period } else { Duration::ZERO };
        }
        self.next_key += 1;
        let caller = Caller {
            key: self.next_key,
            cost: self.random.random_range(1..self.plan.largest),
            deadline: at + DEADLINE,
            returns: false,
        };
        let host = self.pick_host();
        self.schedule(at, Event::Arrive(host, caller));
    }

    /// Returns a host at which a request arrives.
    fn pick_host(&mut self) -> usize {
        let hosts = self.plan.hosts;
        let few = hosts.div_ceil(10);
        let to_few = self.plan.spread == Spread::OneInTen && self.random.random_bool(0.9);
        self.random
            .random_range(0..if to_few { few } else { hosts })
    }

    /// Lets another control host lead, from the moment at which the old one's lease ends.
    fn elect(&mut self) {
        let mut elapsed = None;
        if let Some(old) = self.leaders.last_mut() {
            old.until = Some(self.now);
            elapsed = Some(self.now.saturating_sub(old.since));
        }
        let clock = Clock::random(&mut self.random, self.plan.faults.drift_ppm);
        let term = self.leaders.len() as u64 + 1;
        let (terms, now) = (self.plan.terms(), clock.at(self.now));
        // Some new leaders have not seen their predecessors.
        let elapsed = elapsed.filter(|_| self.random.random_bool(0.8));
        let quotas = match elapsed {
            Some(elapsed) => Quotas::after_leader(terms, term, elapsed, now),
            None => Quotas::new(terms, term, now),
        };
        self.leaders.push(Leader {
            quotas,
            clock,
            since: self.now,
            until: None,
        });
        let leader = self.leaders.len() - 1;
        for host in 0..self.hosts.len() {
            let delay = self.up_to(Duration::from_millis(1_600));
            let delay = if term == 1 { Duration::ZERO } else { delay };
            self.schedule(self.now + delay, Event::Switch(host, leader));
        }
    }

    /// Returns the quota in force.
    fn quota(&self) -> Quota {
        match self.plan.lowered_at {
            Some(at) if self.now >= at => self.plan.lowered(),
            _ => self.plan.quota(),
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(host, caller) => {
                if !caller.returns {
                    self.schedule_arrival();
                }
                self.arrive(host, caller);
                self.settle(host);
            }
            Event::Wake(host) => {
                if self.hosts[host].wake == Some(self.now) {
                    self.hosts[host].wake = None;
                    self.settle(host);
                }
            }
            Event::Report(host, leader, report) => self.on_report(host, leader, &report),
            Event::Answer(host, answer) => {
                self.on_answer(host, &answer);
                self.settle(host);
            }
            Event::Send(host, incarnation, id) => {
                self.send(host, incarnation, id);
                self.settle(host);
            }
            Event::Declined(host, incarnation, id, run) => {
                self.declined(host, incarnation, id, run);
                self.settle(host);
            }
            Event::Restart => {
                let host = self.random.random_range(0..self.hosts.len());
                self.restart(host);
                self.schedule_fault(self.plan.faults.restarts, Event::Restart);
            }
            Event::Cut => {
                let host = self.random.random_range(0..self.hosts.len());
                self.hosts[host].cut_until = self.now + self.up_to(Duration::from_secs(5));
                self.schedule_fault(self.plan.faults.partitions, Event::Cut);
            }
            Event::Elect => {
                self.elect();
                self.schedule_fault(self.plan.faults.elections, Event::Elect);
            }
            Event::Switch(host, leader) => self.hosts[host].leader = leader,
        }
    }

    /// A request arrives at a host: it is charged, or waits.
    fn arrive(&mut self, host: usize, caller: Caller) {
        self.outcome.returned += u64::from(caller.returns);
        let real = self.now;
        self.next_key += 1;
        let id = self.next_key;
        let at = &mut self.hosts[host];
        let now = at.clock.at(real);
        let demanded = Demanded {
            id,
            cost: caller.cost,
            key: caller.key,
            plain: false,
            tokens: true,
        };
        let charge = at.allowances.charge(&TEAM.into(), demanded, now);
        let charged = charge.is_some();
        at.held.insert(id, Held { caller, charge });
        if charged {
            self.queue(host, id);
        } else {
            let patience = caller.deadline.saturating_sub(real) / 3;
            let until = now + ALLOWANCE_WAIT;
            at.allowances.wait(&TEAM.into(), demanded, patience, until);
        }
    }

    /// Queues a charged request for a target.
    fn queue(&mut self, host: usize, id: u64) {
        let mut wait = self.up_to(self.plan.queueing);
        if let Some(gate) = self.plan.gate {
            let gates = self.now.as_nanos() / gate.as_nanos() + 1;
            let opens = gate * u32::try_from(gates).expect("few gates");
            wait = opens.saturating_sub(self.now);
        }
        let incarnation = self.hosts[host].incarnation;
        self.schedule(self.now + wait, Event::Send(host, incarnation, id));
    }

    /// A target is ready for a charged request.
    fn send(&mut self, host: usize, incarnation: u64, id: u64) {
        let at = &mut self.hosts[host];
        if at.incarnation != incarnation {
            return;
        }
        let Some(mut held) = at.held.remove(&id) else {
            return;
        };
        let now = at.clock.at(self.now);
        let Some(charge) = &mut held.charge else {
            return;
        };
        // Some requests end in the queue: their callers have left.
        if self.random.random_bool(0.02) {
            at.allowances.release(charge);
            return;
        }
        if !at.allowances.send(charge, now) {
            self.arrive(host, held.caller);
            return;
        }
        self.outcome.runs.push((self.now, held.caller.cost));
        if held.caller.returns {
            self.outcome.ran_late += held.caller.cost;
        }
        if self.random.random_bool(self.plan.faults.declined) {
            at.held.insert(id, held);
            let run = self.outcome.runs.len() - 1;
            let delay = self.up_to(Duration::from_millis(600));
            let declined = Event::Declined(host, incarnation, id, run);
            self.schedule(self.now + delay, declined);
        }
    }

    /// A target states that it has not run a request: it is sent again on the same charge if that can
    /// be restored.
    fn declined(&mut self, host: usize, incarnation: u64, id: u64, run: usize) {
        self.outcome.runs[run].1 = 0;
        let at = &mut self.hosts[host];
        if at.incarnation != incarnation {
            return;
        }
        let charge = at.held.get_mut(&id).and_then(|held| held.charge.as_mut());
        if charge.is_some_and(|charge| at.allowances.undo_send(charge)) {
            self.queue(host, id);
        } else {
            at.held.remove(&id);
        }
    }

    /// Ends overdue waits, sends the report that is due, and schedules the next look.
    fn settle(&mut self, host: usize) {
        let at = &mut self.hosts[host];
        let now = at.clock.at(self.now);
        at.allowances.expire(now);
        for id in at.allowances.take_overdue(now) {
            at.held.remove(&id);
            self.outcome.unanswered += 1;
        }
        if let Some(report) = at.allowances.report(now) {
            let leader = at.leader;
            self.transmit(host, || Event::Report(host, leader, report.clone()));
        }
        let at = &self.hosts[host];
        if let Some(wake) = at.allowances.next_wake(now) {
            let wake = at
                .clock
                .real(wake)
                .max(self.now + Duration::from_micros(100));
            if at.wake.is_none_or(|planned| wake < planned) {
                self.hosts[host].wake = Some(wake);
                self.schedule(wake, Event::Wake(host));
            }
        }
    }

    /// Sends a message between a host and a leader; it may be lost, late or repeated.
    fn transmit(&mut self, host: usize, message: impl Fn() -> Event) {
        self.outcome.messages += 1;
        let faults = self.plan.faults;
        let copies = 1 + u32::from(self.random.random_bool(faults.repeats));
        for _ in 0..copies {
            let lost = self.random.random_bool(faults.loss);
            if lost || self.now < self.hosts[host].cut_until {
                continue;
            }
            let usual = Duration::from_millis(1) + self.up_to(Duration::from_millis(35));
            let delay = if self.random.random_bool(faults.late) {
                self.up_to(Duration::from_secs(4))
            } else {
                usual
            };
            self.schedule(self.now + delay, message());
        }
    }

    /// A control host handles a report, if its lease proves that it leads.
    fn on_report(&mut self, host: usize, leader: usize, report: &Report) {
        let quota = self.quota();
        let team = Team {
            name: TEAM.into(),
            keys: Vec::new(),
            priority: None,
            quota: Some(quota),
        };
        let access = Access {
            teams: vec![Arc::new(team)],
            public_routes: Vec::new(),
        };
        let at = &mut self.leaders[leader];
        if at.until.is_some_and(|until| self.now >= until) {
            return;
        }
        let now = at.clock.at(self.now);
        at.quotas.set_teams(quota.rate, Some(&access), now);
        at.quotas.advance(now);
        if let Some(answer) = at.quotas.report(host as u64, report, now) {
            self.transmit(host, || Event::Answer(host, answer.clone()));
        }
    }

    /// A host handles an answer.
    fn on_answer(&mut self, host: usize, answer: &Answer) {
        let at = &mut self.hosts[host];
        let now = at.clock.at(self.now);
        let decided = at.allowances.apply(answer, now);
        for (id, charge) in decided.granted {
            if let Some(held) = self.hosts[host].held.get_mut(&id) {
                held.charge = Some(charge);
                self.queue(host, id);
            }
        }
        for (id, refusal) in decided.refused {
            let Some(held) = self.hosts[host].held.remove(&id) else {
                continue;
            };
            if refusal.cause == Cause::NotReady {
                self.outcome.unanswered += 1;
                continue;
            }
            self.outcome.refused += 1;
            self.outcome.refused_again += u64::from(held.caller.returns);
            if let Some(wait) = refusal.wait {
                self.come_back(held.caller, wait);
            }
        }
    }

    /// A refused caller comes back when told if it has the time.
    fn come_back(&mut self, caller: Caller, wait: Duration) {
        let left = caller.deadline.saturating_sub(self.now);
        if !self.plan.returning || wait > left / 3 {
            return;
        }
        let delay = Duration::from_millis(6) + self.up_to(Duration::from_millis(50));
        let host = self.pick_host();
        let caller = Caller {
            returns: true,
            ..caller
        };
        self.schedule(self.now + wait + delay, Event::Arrive(host, caller));
    }

    /// A host starts again: it holds nothing, and its requests are lost.
    fn restart(&mut self, host: usize) {
        let clock = Clock::random(&mut self.random, self.plan.faults.drift_ppm);
        let at = &mut self.hosts[host];
        at.incarnation += 1;
        at.allowances = Allowances::new(at.incarnation);
        at.held.clear();
        at.clock = clock;
    }
}
