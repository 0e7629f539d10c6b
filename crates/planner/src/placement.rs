//! Placement: finds the worker on which a model is expected to be ready first.

use std::time::Duration;

use cornelhitch_types::id::Time;
use cornelhitch_types::target::Stage;
use cornelhitch_types::view::State;

use crate::catalog::{Catalog, ModelEntry};
use crate::demand::ModelDemand;
use crate::fleet_index::{FleetIndex, WorkerIndex};
use crate::fleet_state::{Replica, Worker};
use crate::weight_store::WeightStore;

/// Assumed time for a worker to free the memory of an idle replica.
const IDLE_UNLOAD_TIME: Duration = Duration::from_secs(1);
/// Penalty for a worker outside the region with the most waiting requests.
const OTHER_REGION_PENALTY: Duration = Duration::from_secs(1);
/// Penalty for a worker in a zone that already has a replica of the model.
const SAME_ZONE_PENALTY: Duration = Duration::from_secs(2);

/// A worker for a new replica, and what has to be evicted first.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement<'a> {
    /// The chosen worker.
    pub worker: WorkerIndex,
    /// Where the weights are loaded from.
    pub from: Stage,
    /// Expected time from now until the model is ready.
    pub ready: Duration,
    /// Replicas that must be unloaded first.
    pub evict: Vec<&'a Replica>,
    /// Whether the load must wait until memory is freed.
    pub blocked: bool,
    /// The time to be ready plus penalties and eviction costs.
    score: Duration,
}

/// Returns the cost of evicting a replica as an equivalent delay, or `None` if it must stay.
pub type EvictionCost<'a> = &'a dyn Fn(&Replica) -> Option<Duration>;

/// The inputs of a placement search.
#[derive(Clone, Copy)]
pub struct PlacementSearch<'a, 'b> {
    /// The workers and replicas.
    pub fleet: &'b FleetIndex<'a>,
    /// The settings.
    pub catalog: &'b Catalog,
    /// The weight store, for load and queueing times.
    pub store: &'b WeightStore,
    /// The cost of evicting a replica.
    pub eviction_cost: EvictionCost<'b>,
    /// The current time.
    pub now: Time,
}

/// Expected load times by source, queueing for the weight store included.
struct LoadTimes {
    remote: Duration,
    disk: Duration,
    memory: Duration,
}

impl LoadTimes {
    /// Estimates the load times of a model of `bytes`.
    fn new(store: &WeightStore, bytes: u64) -> Self {
        let remote = store.load_time(bytes, Stage::Remote);
        Self {
            remote: remote.saturating_add(store.queue_time(bytes)),
            disk: store.load_time(bytes, Stage::Disk),
            memory: store.load_time(bytes, Stage::Memory),
        }
    }

    /// Returns the load time from a stage.
    fn time_from(&self, stage: Stage) -> Duration {
        match stage {
            Stage::Remote => self.remote,
            Stage::Disk => self.disk,
            Stage::Memory | Stage::Loading | Stage::Ready => self.memory,
        }
    }
}

impl<'a> PlacementSearch<'a, '_> {
    /// Returns the best worker for one more replica, or `None` if no worker has room for it.
    #[must_use]
    pub fn best(&self, demand: &ModelDemand, entry: &ModelEntry) -> Option<Placement<'a>> {
        let zones = self.occupied_zones(demand);
        let times = LoadTimes::new(self.store, entry.model.bytes);
        let holders = self.fleet.workers_holding(&entry.model.name);
        let workers = self.fleet.fleet_state.workers.iter().enumerate();
        let mut best: Option<Placement<'a>> = None;
        for (index, worker) in workers {
            if holders[index] || !self.accepts(worker, entry) {
                continue;
            }
            let Some(mut placement) = self.placement_on(index, &times, entry, best.as_ref()) else {
                continue;
            };
            placement.score = placement
                .score
                .saturating_add(locality_penalty(demand, worker, &zones));
            if best
                .as_ref()
                .is_none_or(|best| placement.score < best.score)
            {
                best = Some(placement);
            }
        }
        best
    }

    /// Returns whether a worker accepts the model and is large enough for it.
    fn accepts(&self, worker: &Worker, entry: &ModelEntry) -> bool {
        let model = &entry.model;
        let cooling_down = || {
            let mut cooldowns = worker.cooldowns.iter();
            cooldowns.any(|cooldown| cooldown.model == model.name && self.now < cooldown.until)
        };
        worker.accepts_loads
            && worker.memory >= model.bytes
            && worker.accelerators >= model.accelerators
            && !cooling_down()
    }

    /// Returns the zones that already have a replica of the model, sorted; empty if the settings do
    /// not ask for replicas to be spread.
    fn occupied_zones(&self, demand: &ModelDemand) -> Vec<&'a str> {
        if !self.catalog.fleet().placing.spread {
            return Vec::new();
        }
        let staying = self.fleet.staying_replicas(&demand.key);
        let workers = staying.filter_map(|replica| self.fleet.worker_index(&replica.target));
        let mut zones: Vec<&str> = workers
            .map(|worker| &*self.fleet.worker(worker).zone)
            .collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    /// Returns the placement on one worker, or `None` if it cannot beat `best` or cannot free
    /// enough memory.
    fn placement_on(
        &self,
        index: WorkerIndex,
        times: &LoadTimes,
        entry: &ModelEntry,
        best: Option<&Placement>,
    ) -> Option<Placement<'a>> {
        let bytes = entry.model.bytes;
        let from = nearest_stage(self.fleet.worker(index), &entry.model.name);
        let ready = times.time_from(from);
        if best.is_some_and(|best| best.score <= ready) {
            return None;
        }
        let mut placement = Placement {
            worker: index,
            from,
            ready,
            evict: Vec::new(),
            blocked: false,
            score: ready,
        };
        let memory = self.fleet.memory(index);
        if memory.free >= bytes {
            return Some(placement);
        }
        placement.blocked = true;
        placement.ready = ready.saturating_add(self.drain_time(index));
        placement.score = placement.ready;
        let missing_bytes = bytes.saturating_sub(memory.free.saturating_add(memory.draining));
        if missing_bytes > 0 {
            let (evict, eviction_cost) = self.evictions(index, missing_bytes)?;
            placement.evict = evict;
            placement.score = placement.score.saturating_add(eviction_cost);
        }
        Some(placement)
    }

    /// Returns how long the draining replicas of a worker may still take.
    fn drain_time(&self, index: WorkerIndex) -> Duration {
        let busy = self
            .fleet
            .replicas_on(index)
            .any(|replica| self.fleet.is_leaving(replica) && replica.running > 0);
        if busy {
            IDLE_UNLOAD_TIME * 10
        } else {
            IDLE_UNLOAD_TIME
        }
    }

    /// Returns the cheapest replicas that free at least `missing_bytes`, and their total cost.
    fn evictions(
        &self,
        index: WorkerIndex,
        missing_bytes: u64,
    ) -> Option<(Vec<&'a Replica>, Duration)> {
        let mut candidates: Vec<(Duration, &Replica)> = self
            .fleet
            .replicas_on(index)
            .filter(|replica| !self.fleet.is_leaving(replica) && replica.state == State::Ready)
            .filter_map(|replica| {
                (self.eviction_cost)(replica).map(|eviction_cost| (eviction_cost, replica))
            })
            .collect();
        candidates.sort_by_key(|(eviction_cost, replica)| (*eviction_cost, replica.replica));
        let mut taken = Vec::new();
        let mut freed = 0;
        let mut total = Duration::ZERO;
        for (eviction_cost, replica) in candidates {
            if freed >= missing_bytes {
                break;
            }
            freed += replica.bytes;
            total = total.saturating_add(eviction_cost);
            taken.push((eviction_cost, replica));
        }
        if freed < missing_bytes {
            return None;
        }
        // A cheap replica taken early may no longer be needed after a larger one was added.
        taken.retain(|(eviction_cost, replica)| {
            let spare = freed - replica.bytes >= missing_bytes;
            if spare {
                freed -= replica.bytes;
                total = total.saturating_sub(*eviction_cost);
            }
            !spare
        });
        let replicas = taken.into_iter().map(|(_, replica)| replica).collect();
        Some((replicas, total))
    }
}

/// Returns the stage of the nearest copy of a model on a worker.
#[must_use]
pub fn nearest_stage(worker: &Worker, model: &str) -> Stage {
    let copies = worker.copies.iter().filter(|copy| *copy.model == *model);
    copies.map(|copy| copy.stage).max().unwrap_or(Stage::Remote)
}

/// Returns the penalty for the region and zone of a worker.
fn locality_penalty(demand: &ModelDemand, worker: &Worker, zones: &[&str]) -> Duration {
    let mut penalty = Duration::ZERO;
    if worker.region != demand.region {
        penalty += OTHER_REGION_PENALTY;
    }
    if zones.contains(&&*worker.zone) {
        penalty += SAME_ZONE_PENALTY;
    }
    penalty
}
