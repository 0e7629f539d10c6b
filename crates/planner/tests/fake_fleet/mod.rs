//! A fake fleet that runs a random script and checks each decision of the planner.

mod check;
mod script;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use cornelhitch_planner::Planner;
use cornelhitch_planner::decision::{Action, Decision};
use cornelhitch_planner::fleet_state::{
    Demand, FleetState, LoadCooldown, Replica, WeightCopy, Worker,
};
use cornelhitch_settings::fleet::FleetSettings;
use cornelhitch_types::id::{ModelId, Time};
use cornelhitch_types::target::Stage;
use cornelhitch_types::view::State;

pub use script::{Step, script};

const GIB: u64 = 1 << 30;
const REGIONS: [&str; 2] = ["perth-a", "bunbury-a"];
const MODELS: usize = 6;
const WORKERS: usize = 5;
/// Models 0 to 3 fit on every worker, model 4 on some, and model 5 is in an unmanaged group.
const SETTINGS: &str = "
loading: { starts-per-second: 2.0, concurrency: 3, adapters-in-flight: 4 }
keeping: { minimum-s: 5, maximum-s: 120 }
placing: { replicas: 2, concurrency: 2 }
groups: [{ name: new }, { name: old, managed: false }]
classes: [{ name: long, weight: 1, patient: true }, { name: quick, weight: 9 }]
models:
  - { name: m0, bytes: 4294967296, group: new, class: quick, adapters: [a, b, c, d, e, f] }
  - { name: m1, bytes: 8589934592, group: new, class: long }
  - { name: m2, bytes: 12884901888, group: new }
  - { name: m3, bytes: 8589934592, group: new, class: quick }
  - { name: m4, bytes: 21474836480, group: new }
  - { name: m5, bytes: 4294967296, group: old }
exceptions: [{ reason: one is enough, model: m3, replicas: 1 }]
";

/// The demand for one model from one region, and its arrivals since the last call of the planner.
#[derive(Debug, Clone)]
struct Row {
    demand: Demand,
    new_arrivals: u64,
}

/// The state of the fleet, its faults and counters.
pub struct FakeFleet {
    pub now: Time,
    pub fleet: FleetSettings,
    pub workers: Vec<Worker>,
    pub replicas: Vec<Replica>,
    /// Replicas that the fleet state does not show yet, and the time from which it does.
    hidden: Vec<(Time, Replica)>,
    rows: Vec<Row>,
    starts: VecDeque<Time>,
    adapters_in_flight: u32,
    lose_decisions: bool,
    delay_replicas: bool,
    next_id: u64,
    /// Requests that have arrived.
    pub arrived: u64,
    /// Loads that were started.
    pub loads: u64,
    /// Replicas lost through the failure of their worker.
    pub lost_replicas: u64,
}

impl FakeFleet {
    pub fn new() -> Self {
        Self {
            now: Duration::from_secs(1_000),
            fleet: SETTINGS.parse().expect("settings"),
            workers: (0..WORKERS).map(worker).collect(),
            replicas: Vec::new(),
            hidden: Vec::new(),
            rows: Vec::new(),
            starts: VecDeque::new(),
            adapters_in_flight: 0,
            lose_decisions: false,
            delay_replicas: false,
            next_id: 1,
            arrived: 0,
            loads: 0,
            lost_replicas: 0,
        }
    }

    /// Applies one step, then calls the planner, and checks and applies its decisions.
    pub fn run_step(&mut self, step: &Step, planner: &mut dyn Planner) {
        self.apply_step(step);
        let fleet_state = self.fleet_state();
        let decisions = planner.plan(&fleet_state, self.now);
        for decision in &decisions {
            self.check(decision);
            if !self.lose_decisions {
                self.apply(decision);
            }
        }
        self.lose_decisions = false;
    }

    fn apply_step(&mut self, step: &Step) {
        match step {
            Step::Arrive {
                model,
                region,
                count,
                deadline_s,
            } => {
                self.arrive(*model, *region, *count, Duration::from_secs(*deadline_s));
            }
            Step::Adapter { name } => self.adapter(*name),
            Step::Wait { ms } => self.wait(Duration::from_millis(*ms)),
            Step::FinishLoad { which } => self.finish_load(*which),
            Step::Dispatch => self.dispatch(),
            Step::EndRequests => self.end_requests(),
            Step::FailWorker { worker } => self.fail_worker(*worker),
            Step::OpenWorker { worker } => self.workers[*worker].accepts_loads = true,
            Step::CloseWorker { worker } => self.workers[*worker].accepts_loads = false,
            Step::Quiet { worker, model } => {
                let until = self.now + Duration::from_secs(20);
                self.workers[*worker].cooldowns.push(LoadCooldown {
                    model: name(*model),
                    until,
                });
            }
            Step::Cached { worker, model } => {
                let stage = if model % 2 == 0 {
                    Stage::Disk
                } else {
                    Stage::Memory
                };
                self.workers[*worker].copies.push(WeightCopy {
                    model: name(*model),
                    stage,
                });
            }
            Step::Replicas { most } => self.fleet.placing.replicas = *most,
            Step::Limits {
                starts,
                concurrency,
            } => {
                self.fleet.loading.starts_per_second = *starts;
                self.fleet.loading.concurrency = *concurrency;
            }
            Step::Managed { group, on } => self.fleet.groups[*group].managed = *on,
            Step::Remove { model } => self.fleet.models.retain(|m| m.name != name(*model)),
            Step::InFlight { adapters } => self.adapters_in_flight = *adapters,
            Step::LoseDecisions => self.lose_decisions = true,
            Step::ToggleDelay => self.delay_replicas = !self.delay_replicas,
        }
    }

    fn arrive(&mut self, model: usize, region: usize, count: u32, left: Duration) {
        self.arrived += u64::from(count);
        let deadline = self.now + left;
        let known = |row: &&mut Row| {
            row.demand.model == name(model) && *row.demand.region == *REGIONS[region]
        };
        if let Some(row) = self.rows.iter_mut().find(known) {
            row.demand.waiting += count;
            row.demand.deadline = row.demand.deadline.min(deadline);
            row.new_arrivals += u64::from(count);
            return;
        }
        let demand = Demand {
            model: name(model),
            version: None,
            region: REGIONS[region].into(),
            waiting: count,
            running: 0,
            deadline,
            weight: 1 + u32::try_from(model).unwrap_or(0),
            arrivals: 0,
            adapters: Vec::new(),
        };
        self.rows.push(Row {
            demand,
            new_arrivals: u64::from(count),
        });
    }

    fn adapter(&mut self, index: usize) {
        let adapter = ["a", "b", "c", "d", "e", "f"][index];
        let rows = self.rows.iter_mut();
        for row in rows.filter(|row| *row.demand.model == *"m0" && row.demand.waiting > 0) {
            row.demand.adapters.push(adapter.into());
        }
    }

    /// Advances the time, drops requests past their deadline, and reveals hidden replicas.
    fn wait(&mut self, time: Duration) {
        self.now += time;
        let now = self.now;
        self.rows
            .retain(|row| row.demand.deadline > now || row.demand.running > 0);
        for row in &mut self.rows {
            if row.demand.deadline <= now {
                row.demand.waiting = 0;
            }
        }
        let shown = |entry: &(Time, Replica)| entry.0 <= now;
        for (_, replica) in self.hidden.iter().filter(|entry| shown(entry)) {
            let worker = self.workers.iter_mut().find(|w| w.target == replica.target);
            worker.expect("a worker").free -= replica.bytes;
            self.replicas.push(replica.clone());
        }
        self.hidden.retain(|entry| !shown(entry));
    }

    fn finish_load(&mut self, which: usize) {
        let now = self.now;
        let loading = |r: &&mut Replica| r.state == State::Loading;
        if let Some(replica) = self.replicas.iter_mut().filter(loading).nth(which) {
            replica.state = State::Ready;
            replica.ready_at = Some(now);
        }
    }

    /// Dispatches waiting requests to ready replicas with free slots.
    fn dispatch(&mut self) {
        let slots = self.fleet.placing.concurrency;
        for row in &mut self.rows {
            for replica in &mut self.replicas {
                let same = replica.model == row.demand.model && replica.state == State::Ready;
                let room = slots.saturating_sub(replica.running);
                if same && room > 0 {
                    let taken = room.min(row.demand.waiting);
                    replica.running += taken;
                    replica.last_used = self.now;
                    row.demand.waiting -= taken;
                    row.demand.running += taken;
                }
            }
        }
    }

    /// Ends all running requests and removes retiring replicas.
    fn end_requests(&mut self) {
        for replica in &mut self.replicas {
            replica.running = 0;
        }
        for row in &mut self.rows {
            row.demand.running = 0;
        }
        self.rows.retain(|row| row.demand.waiting > 0);
        for replica in self.replicas.iter().filter(|r| r.state == State::Retiring) {
            let worker = self.workers.iter_mut().find(|w| w.target == replica.target);
            worker.expect("a worker").free += replica.bytes;
        }
        self.replicas
            .retain(|replica| replica.state != State::Retiring);
    }

    fn fail_worker(&mut self, index: usize) {
        let worker = &mut self.workers[index];
        worker.accepts_loads = false;
        worker.free = worker.memory;
        let target = worker.target.clone();
        let before = self.replicas.len() + self.hidden.len();
        self.replicas.retain(|replica| replica.target != target);
        self.hidden.retain(|(_, replica)| replica.target != target);
        self.lost_replicas += (before - self.replicas.len() - self.hidden.len()) as u64;
    }

    pub fn fleet_state(&mut self) -> FleetState {
        let rows = self.rows.iter_mut();
        let demand = rows.map(|row| {
            let arrivals = std::mem::take(&mut row.new_arrivals);
            Demand {
                arrivals,
                ..row.demand.clone()
            }
        });
        FleetState {
            demand: demand.collect(),
            settings: Arc::new(self.fleet.clone()),
            workers: self.workers.clone(),
            replicas: self.replicas.clone(),
            adapters_in_flight: self.adapters_in_flight,
        }
    }

    /// Returns all replicas whose load was decided, hidden ones included.
    fn decided(&self) -> impl Iterator<Item = &Replica> {
        self.replicas
            .iter()
            .chain(self.hidden.iter().map(|(_, replica)| replica))
    }

    fn apply(&mut self, decision: &Decision) {
        match &decision.action {
            Action::Load {
                model,
                version,
                target,
                bytes,
            } => {
                let worker = self.workers.iter_mut().find(|w| w.target == *target);
                let worker = worker.expect("a worker");
                let from = from(worker, model);
                let replica = Replica {
                    replica: self.next_id,
                    model: model.clone(),
                    version: version.clone(),
                    target: target.clone(),
                    bytes: *bytes,
                    state: State::Loading,
                    decided_at: self.now,
                    ready_at: None,
                    from,
                    running: 0,
                    last_used: self.now,
                    adapters: Vec::new(),
                };
                self.next_id += 1;
                self.loads += 1;
                if from == Stage::Remote {
                    self.starts.push_back(self.now);
                }
                if self.delay_replicas {
                    self.hidden
                        .push((self.now + Duration::from_secs(1), replica));
                } else {
                    worker.free -= bytes;
                    self.replicas.push(replica);
                }
            }
            Action::Unload { replica } => {
                let mut replicas = self.replicas.iter_mut();
                let replica = replicas.find(|known| known.replica == *replica);
                replica.expect("a replica").state = State::Retiring;
            }
            Action::Adapter { replica, adapter } => {
                let mut replicas = self.replicas.iter_mut();
                let replica = replicas.find(|known| known.replica == *replica);
                replica.expect("a replica").adapters.push(adapter.clone());
                self.adapters_in_flight += 1;
            }
            Action::Warm { .. } => {}
        }
    }

    /// Ends all faults and drops all requests.
    pub fn clear_faults(&mut self) {
        self.fleet = SETTINGS.parse().expect("settings");
        self.delay_replicas = false;
        self.adapters_in_flight = 0;
        for worker in &mut self.workers {
            worker.accepts_loads = true;
            worker.cooldowns.clear();
        }
        self.end_requests();
        self.rows.clear();
        self.wait(Duration::from_secs(5));
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> u32 {
        self.rows.iter().map(|row| row.demand.waiting).sum()
    }
}

fn name(model: usize) -> ModelId {
    format!("m{model}").into()
}

fn from(worker: &Worker, model: &str) -> Stage {
    let copies = worker.copies.iter().filter(|copy| *copy.model == *model);
    copies.map(|copy| copy.stage).max().unwrap_or(Stage::Remote)
}

fn worker(index: usize) -> Worker {
    let gib = if index < 2 { 24 } else { 16 };
    Worker {
        target: format!("worker-{index}").into(),
        region: REGIONS[index % 2].into(),
        zone: format!("zone-{index}").into(),
        memory: gib * GIB,
        free: gib * GIB,
        accelerators: 2,
        accepts_loads: true,
        copies: Vec::new(),
        cooldowns: Vec::new(),
    }
}
