//! The planner's input: the workers of a service and the demand for its models at one moment.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cornelhitch_types::id::{ModelId, Name, RegionId, TargetId, Time};
use cornelhitch_types::route::{Model, WorkerCapacity};
use cornelhitch_types::target::Stage;

/// Period for which expected requests count towards the demand for a copy, in seconds.
pub(super) const DEMAND_HORIZON_S: f64 = 10.0;

/// A worker and what it holds.
#[derive(Debug, Clone, PartialEq)]
pub struct Worker {
    /// The worker's name.
    pub target: TargetId,
    /// The region that it is in.
    pub region: RegionId,
    /// Models in accelerator memory.
    pub held: Vec<HeldModel>,
    /// Models with a copy nearer than the weight store, and the nearest stage of each.
    pub local_copies: Arc<BTreeMap<ModelId, Stage>>,
    /// The model that it is loading.
    pub loading: Option<ModelId>,
    /// Time until it accepts the next order; `None` if not known.
    pub time_until_free: Option<Time>,
    /// Whether it may be given new work.
    pub open: bool,
}

impl Worker {
    /// Returns whether a model is in accelerator memory.
    pub(super) fn holds(&self, model: &ModelId) -> bool {
        self.held.iter().any(|held| held.model == *model)
    }

    /// Returns whether it accepts an order now.
    pub(super) fn is_free(&self) -> bool {
        self.open && self.time_until_free == Some(Time::ZERO)
    }

    /// Returns the number of adapters that it holds.
    pub(super) fn adapters(&self) -> usize {
        self.held.iter().map(|held| held.adapters.len()).sum()
    }
}

/// A model in a worker's accelerator memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldModel {
    /// The model's id.
    pub model: ModelId,
    /// Its adapters, including those being loaded, in order of loading.
    pub adapters: Vec<Name>,
    /// Whether the model is being unloaded.
    pub unloading: bool,
}

/// The demand for one model, summed over the entry hosts.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ModelDemand {
    /// Waiting requests.
    pub waiting: u32,
    /// Requests in progress.
    pub running: u32,
    /// Running mean of the requests that wait or are in progress, over the last seconds.
    pub load: f64,
    /// Arrivals per second.
    pub rate: f64,
    /// Time until the earliest deadline of the waiting requests.
    pub time_to_deadline: Time,
    /// The largest weight of the waiting requests.
    pub weight: u32,
    /// Adapters that waiting requests name.
    pub adapters: Vec<Name>,
}

impl ModelDemand {
    /// Returns the requests that wait or are in progress: the current number or the mean, whichever
    /// is larger.
    ///
    /// The mean of a new leader starts at 0, so the current number is needed; the mean prevents a
    /// copy from being evicted between two bursts.
    pub(super) fn current_load(&self) -> f64 {
        let now = f64::from(self.waiting) + f64::from(self.running);
        now.max(self.load)
    }

    /// Returns the requests that a copy serves: the current ones and those expected soon.
    pub(super) fn expected_load(&self) -> f64 {
        self.current_load() + self.rate * DEMAND_HORIZON_S
    }
}

/// The workers and demand of a service at one moment.
#[derive(Debug, Clone)]
pub struct ServiceState<'a> {
    /// The capacity of each worker.
    pub engine: &'a WorkerCapacity,
    /// The models by id.
    pub models: &'a BTreeMap<ModelId, Model>,
    /// The workers, sorted by name.
    pub workers: Vec<Worker>,
    /// The demand by model.
    pub demand: BTreeMap<ModelId, ModelDemand>,
    /// Loads from the weight store in progress.
    pub store_loads_in_flight: u32,
    /// Whether the weight store allows another load to start now.
    pub store_open: bool,
}

impl ServiceState<'_> {
    /// Returns the copies of each model that serve requests or are being loaded.
    pub(super) fn copies(&self) -> BTreeMap<&ModelId, u32> {
        let mut copies = BTreeMap::new();
        for worker in self.workers.iter().filter(|worker| worker.open) {
            let held = worker.held.iter().filter(|held| !held.unloading);
            let models = held.map(|held| &held.model);
            let loading = worker.loading.iter().filter(|model| !worker.holds(model));
            for model in models.chain(loading) {
                *copies.entry(model).or_default() += 1;
            }
        }
        copies
    }

    /// Returns the models that only the weight store has: no open worker holds them, loads them or
    /// has a local copy.
    #[must_use]
    pub fn store_only_models(&self) -> BTreeSet<&ModelId> {
        let mut store_only: BTreeSet<&ModelId> = self.models.keys().collect();
        for worker in self.workers.iter().filter(|worker| worker.open) {
            let held = worker.held.iter().map(|held| &held.model);
            let loading = worker.loading.iter();
            for model in worker.local_copies.keys().chain(held).chain(loading) {
                store_only.remove(model);
            }
        }
        store_only
    }

    /// Returns the number of workers that are loading each model.
    pub(super) fn loading_counts(&self) -> BTreeMap<&ModelId, u32> {
        let mut counts = BTreeMap::new();
        let open = self.workers.iter().filter(|worker| worker.open);
        for model in open.filter_map(|worker| worker.loading.as_ref()) {
            *counts.entry(model).or_default() += 1;
        }
        counts
    }

    /// Returns the number of open workers with a copy of each model nearer than the weight store.
    pub(super) fn local_copy_counts(&self) -> BTreeMap<&ModelId, usize> {
        let mut nearby = BTreeMap::new();
        let open = self.workers.iter().filter(|worker| worker.open);
        for model in open.flat_map(|worker| worker.local_copies.keys()) {
            *nearby.entry(model).or_default() += 1;
        }
        nearby
    }

    /// Returns the mean time between two requests for a model in milliseconds, at most 1,000,000.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub(super) fn request_interval_ms(&self, model: &ModelId) -> u64 {
        let rate = self.demand.get(model).map_or(0.0, |demand| demand.rate);
        (1_000.0 / rate.max(1e-3)) as u64
    }

    /// Returns the accelerator memory in bytes that a worker uses, or will use after its current
    /// load.
    pub(super) fn used_bytes(&self, worker: &Worker) -> u64 {
        let held = worker.held.iter().map(|held| {
            let Some(model) = self.models.get(&held.model) else {
                // A model that was removed from the table still occupies memory; its size is
                // unknown, so the largest one is assumed.
                return self.largest_model_bytes();
            };
            let adapters = (held.adapters.len() as u64).saturating_mul(model.adapter_bytes);
            model.bytes.saturating_add(adapters)
        });
        let loading = worker.loading.as_ref();
        let loading = loading.map_or(0, |model| {
            self.models
                .get(model)
                .map_or(self.largest_model_bytes(), |model| model.bytes)
        });
        held.fold(loading, u64::saturating_add)
    }

    /// Returns the size of the largest model in bytes.
    fn largest_model_bytes(&self) -> u64 {
        self.models
            .values()
            .map(|model| model.bytes)
            .max()
            .unwrap_or(0)
    }
}

/// Returns the mean number of requests for each of `copies` copies of a model.
pub(super) fn load_per_copy(demand: &ModelDemand, copies: u32) -> f64 {
    demand.load / f64::from(copies.max(1))
}
