//! Simulation of a small fleet in virtual time that carries out the planner's decisions.
//!
//! Requests wait for a replica of their model and are refused at their deadline. Loads share the
//! bandwidth of the weight store. There is no network, no entry host and no control host: the
//! planner sees the exact state of the fleet.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use cornelhitch_planner::decision::{Action, Decision};
use cornelhitch_planner::fleet_state::{Demand, FleetState, Replica, Worker};
use cornelhitch_settings::fleet::{FleetSettings, Model};
use cornelhitch_types::id::{ModelId, Name, RegionId, ReplicaId, Time};
use cornelhitch_types::target::Stage;
use cornelhitch_types::view::State;

use super::host::{WorkerCaches, worker};
use super::stats::Stats;

/// Number of workers in each region.
const WORKERS_PER_REGION: usize = 4;

/// A request of a trace.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// Time of arrival.
    pub at: Time,
    /// The requested model.
    pub model: ModelId,
    /// The region of the entry host that receives it.
    pub region: RegionId,
    /// Time that a replica takes to serve it.
    pub service: Duration,
    /// The adapter that it names, if any.
    pub adapter: Option<Name>,
}

/// A queued request.
#[derive(Debug, Clone)]
struct Waiting {
    call: Call,
    deadline: Time,
    weight: u32,
    cold: bool,
}

/// The remaining work of a replica.
#[derive(Debug, Clone, Default)]
struct Work {
    /// Seconds that its load still takes at full speed.
    load_left_s: f64,
    /// The time at which each of its requests ends.
    ends: Vec<Time>,
}

/// A simulated fleet.
#[derive(Debug)]
pub struct World {
    /// The settings in force.
    pub fleet: Arc<FleetSettings>,
    /// The workers, without their copies below accelerator memory.
    pub workers: Vec<Worker>,
    /// All replicas that hold memory.
    pub replicas: Vec<Replica>,
    /// The statistics collected so far.
    pub stats: Stats,
    /// Factor by which the weight store is slower than declared.
    pub slowness: f64,
    /// The virtual time.
    pub now: Time,
    caches: Vec<WorkerCaches>,
    work: BTreeMap<ReplicaId, Work>,
    queues: BTreeMap<(ModelId, RegionId), VecDeque<Waiting>>,
    arrivals: BTreeMap<(ModelId, RegionId), u64>,
    next: ReplicaId,
}

impl World {
    /// Creates an empty fleet with four workers in each region of the settings.
    pub fn new(fleet: &Arc<FleetSettings>) -> Self {
        let mut workers = Vec::new();
        for region in &fleet.regions {
            for index in 0..WORKERS_PER_REGION {
                workers.push(worker(&region.name, index));
            }
        }
        Self {
            fleet: Arc::clone(fleet),
            caches: vec![WorkerCaches::new(); workers.len()],
            workers,
            replicas: Vec::new(),
            stats: Stats::default(),
            slowness: 1.0,
            now: Duration::ZERO,
            work: BTreeMap::new(),
            queues: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            next: 1,
        }
    }

    /// Puts a copy of a model on a worker's disk.
    pub fn cache(&mut self, worker: usize, model: &Model) {
        self.caches[worker].disk.add(&model.name, model.bytes);
    }

    /// Queues an arriving request.
    pub fn arrive(&mut self, call: Call) {
        let fleet = Arc::clone(&self.fleet);
        let Some(model) = fleet.model(&call.model) else {
            return;
        };
        let class = model.class.as_ref().and_then(|name| fleet.class(name));
        let rules = fleet.rules(&call.model);
        let limit = class.and_then(|class| class.deadline_ms);
        let limit = limit.map_or(rules.deadline, Duration::from_millis);
        let ready =
            |replica: &Replica| replica.model == call.model && replica.state == State::Ready;
        let waiting = Waiting {
            deadline: call.at + limit,
            weight: class.map_or(1, |class| class.weight),
            cold: !self.replicas.iter().any(ready),
            call,
        };
        let key = (waiting.call.model.clone(), waiting.call.region.clone());
        *self.arrivals.entry(key.clone()).or_default() += 1;
        self.queues.entry(key).or_default().push_back(waiting);
    }

    /// Advances the time: loads make progress, and requests end, start or are refused.
    pub fn step(&mut self, time: Duration) {
        self.now += time;
        self.advance_loads(time.as_secs_f64());
        self.end_requests();
        self.dispatch();
        self.refuse();
        self.stats
            .record_accelerator_time(&self.replicas, &self.fleet, time, self.now);
    }

    /// Returns whether requests are queued or replicas are loading or retiring.
    pub fn busy(&self) -> bool {
        let loading = |replica: &Replica| replica.state != State::Ready;
        self.queues.values().any(|queue| !queue.is_empty()) || self.replicas.iter().any(loading)
    }

    /// Advances all loads; those from the weight store share its bandwidth.
    fn advance_loads(&mut self, seconds: f64) {
        let remote = |r: &&Replica| r.state == State::Loading && r.from == Stage::Remote;
        let loads = u32::try_from(self.replicas.iter().filter(remote).count()).unwrap_or(1);
        let capacity = f64::from(self.fleet.loading.concurrency) / self.slowness;
        let speed = (capacity / f64::from(loads.max(1))).min(1.0);
        for replica in &mut self.replicas {
            if replica.state != State::Loading {
                continue;
            }
            let work = self.work.entry(replica.replica).or_default();
            work.load_left_s -= if replica.from == Stage::Remote {
                seconds * speed
            } else {
                seconds
            };
            if work.load_left_s <= 0.0 {
                replica.state = State::Ready;
                replica.ready_at = Some(self.now);
                replica.last_used = self.now;
            }
        }
    }

    /// Ends requests, and removes retiring replicas that have none left.
    fn end_requests(&mut self) {
        let now = self.now;
        for replica in &mut self.replicas {
            let work = self.work.entry(replica.replica).or_default();
            work.ends.retain(|end| *end > now);
            replica.running = u32::try_from(work.ends.len()).unwrap_or(u32::MAX);
            if replica.running > 0 {
                replica.last_used = now;
            }
        }
        let gone = |replica: &Replica| replica.state == State::Retiring && replica.running == 0;
        for replica in self.replicas.iter().filter(|replica| gone(replica)) {
            if let Some(index) = self.workers.iter().position(|w| w.target == replica.target) {
                self.workers[index].free += replica.bytes;
            }
            self.work.remove(&replica.replica);
        }
        self.replicas.retain(|replica| !gone(replica));
    }

    /// Dispatches queued requests of each model and region to ready replicas, oldest first.
    fn dispatch(&mut self) {
        for (key, queue) in &mut self.queues {
            let slots = self.fleet.rules(&key.0).concurrency;
            while let Some(waiting) = queue.front() {
                let open = self.replicas.iter_mut().filter(|replica| {
                    replica.model == key.0
                        && replica.state == State::Ready
                        && replica.running < slots
                });
                let Some(replica) = open.min_by_key(|replica| replica.running) else {
                    break;
                };
                let work = self.work.entry(replica.replica).or_default();
                work.ends.push(self.now + waiting.call.service);
                replica.running += 1;
                replica.last_used = self.now;
                self.stats
                    .record_start(waiting.call.at, waiting.cold, self.now);
                queue.pop_front();
            }
        }
    }

    /// Refuses requests whose deadline has passed.
    fn refuse(&mut self) {
        for queue in self.queues.values_mut() {
            while queue.front().is_some_and(|w| w.deadline <= self.now) {
                if let Some(waiting) = queue.pop_front() {
                    self.stats
                        .record_refusal(waiting.call.at, waiting.cold, self.now);
                }
            }
        }
        self.queues.retain(|_, queue| !queue.is_empty());
    }

    /// Fails a worker: its accelerator and host memory are lost, its disk is not.
    pub fn fail(&mut self, worker: usize) {
        let target = self.workers[worker].target.clone();
        self.workers[worker].accepts_loads = false;
        self.workers[worker].free = self.workers[worker].memory;
        self.caches[worker].lose_host_memory();
        self.replicas.retain(|replica| replica.target != target);
    }

    /// Brings a failed worker back.
    pub fn restore(&mut self, worker: usize) {
        self.workers[worker].accepts_loads = true;
    }

    /// Returns the planner's input.
    pub fn fleet_state(&mut self) -> FleetState {
        let mut workers = self.workers.clone();
        for (worker, caches) in workers.iter_mut().zip(&self.caches) {
            worker.copies = caches.copies();
        }
        let arrivals = std::mem::take(&mut self.arrivals);
        let mut demand: BTreeMap<(ModelId, RegionId), Demand> = BTreeMap::new();
        for (key, queue) in &self.queues {
            let row = demand.entry(key.clone()).or_insert_with(|| row(key));
            for waiting in queue {
                row.waiting += 1;
                row.deadline = row.deadline.min(waiting.deadline);
                row.weight = row.weight.max(waiting.weight);
                row.adapters.extend(waiting.call.adapter.clone());
            }
        }
        for (key, count) in arrivals {
            let row = demand.entry(key.clone()).or_insert_with(|| row(&key));
            row.arrivals = count;
        }
        for replica in self.replicas.iter().filter(|replica| replica.running > 0) {
            let key = (replica.model.clone(), self.fleet.regions[0].name.clone());
            let row = demand.entry(key.clone()).or_insert_with(|| row(&key));
            row.running += replica.running;
        }
        FleetState {
            settings: Arc::clone(&self.fleet),
            workers,
            replicas: self.replicas.clone(),
            demand: demand.into_values().collect(),
            adapters_in_flight: 0,
        }
    }

    /// Carries out a decision.
    pub fn apply(&mut self, decision: &Decision) {
        match &decision.action {
            Action::Load {
                model,
                version,
                target,
                bytes,
            } => {
                let Some(worker) = self.workers.iter().position(|w| w.target == *target) else {
                    return;
                };
                self.start_load(worker, model, version.clone(), *bytes);
            }
            Action::Unload { replica } => {
                let mut replicas = self.replicas.iter_mut();
                if let Some(replica) = replicas.find(|known| known.replica == *replica) {
                    replica.state = State::Retiring;
                }
            }
            Action::Adapter { replica, adapter } => {
                let mut replicas = self.replicas.iter_mut();
                if let Some(replica) = replicas.find(|known| known.replica == *replica) {
                    replica.adapters.push(adapter.clone());
                }
            }
            Action::Warm { model, target } => {
                let position = self.workers.iter().position(|w| w.target == *target);
                let bytes = self.fleet.model(model).map(|model| model.bytes);
                if let (Some(worker), Some(bytes)) = (position, bytes) {
                    self.caches[worker].memory.add(model, bytes);
                }
            }
        }
    }

    /// Starts a load.
    fn start_load(&mut self, worker: usize, model: &ModelId, version: Option<Name>, bytes: u64) {
        let caches = &mut self.caches[worker];
        let from = caches.nearest_stage(model);
        caches.disk.add(model, bytes);
        caches.memory.add(model, bytes);
        self.stats.record_load(from, self.now);
        self.workers[worker].free -= bytes;
        let work = Work {
            load_left_s: load_seconds(&self.fleet, bytes, from),
            ends: Vec::new(),
        };
        self.work.insert(self.next, work);
        self.replicas.push(Replica {
            replica: self.next,
            model: model.clone(),
            version,
            target: self.workers[worker].target.clone(),
            bytes,
            state: State::Loading,
            decided_at: self.now,
            ready_at: None,
            from,
            running: 0,
            last_used: self.now,
            adapters: Vec::new(),
        });
        self.next += 1;
    }
}

/// Creates an empty row of demand.
fn row(key: &(ModelId, RegionId)) -> Demand {
    Demand {
        model: key.0.clone(),
        version: None,
        region: key.1.clone(),
        waiting: 0,
        running: 0,
        deadline: Time::MAX,
        weight: 1,
        arrivals: 0,
        adapters: Vec::new(),
    }
}

/// Returns the duration of a load at full speed, in seconds.
fn load_seconds(fleet: &FleetSettings, bytes: u64, from: Stage) -> f64 {
    let ms = match from {
        Stage::Remote => fleet.loading.remote_ms_per_gib,
        Stage::Disk => fleet.loading.disk_ms_per_gib,
        Stage::Memory | Stage::Loading | Stage::Ready => fleet.loading.memory_ms_per_gib,
    };
    let mebibytes = f64::from(u32::try_from(bytes >> 20).unwrap_or(u32::MAX));
    Duration::from_millis(ms).as_secs_f64() * mebibytes / 1024.0
}
