//! One planning pass: the cost of placing a model on a worker, and the orders given so far.

use std::cell::OnceCell;
use std::collections::BTreeMap;

use cornelhitch_types::id::{ModelId, Name};
use cornelhitch_types::route::Model;
use cornelhitch_types::target::Stage;

use super::service_state::{DEMAND_HORIZON_S, HeldModel, ModelDemand, ServiceState, Worker};
use super::{Action, PlannedOrder, Reason};

/// Requests for each copy of a model above which it counts as heavily overloaded: another copy is then
/// fetched even from the weight store.
pub(super) const HEAVY_OVERLOAD_THRESHOLD: f64 = 8.0;

/// Requests for each of the remaining copies above which evicting a copy crowds them.
const CROWDING_THRESHOLD: f64 = 3.0;

/// Cost of a request that finds no copy: the time of a swap, in seconds.
const MISS_COST_S: f64 = 0.3;

/// Cost of evicting a copy whose requests other copies can serve.
const REDUNDANT_COPY_COST: f64 = 0.05;

/// Cost of evicting a copy with running requests: the worker accepts no other order until the last
/// of them has ended.
const BUSY_COST: f64 = 3.0;

/// Cost of evicting a copy if that crowds the remaining copies of its model.
const CROWDING_COST: f64 = 2.0;

/// Cost of evicting the only copy of a model that requests wait for.
const WAITING_COST: f64 = 5.0;

/// Time that an additional order takes before the next one can be given, in seconds.
const EXTRA_ORDER_S: f64 = 0.15;

/// Upper bound on concurrent loads from the weight store: more of them slow one another down.
pub(super) const MAX_STORE_LOADS: u32 = 2;

/// A worker that could load a model, and the cost of doing so.
#[derive(Debug)]
pub(super) struct Candidate {
    /// The worker's position.
    pub(super) worker_index: usize,
    /// The total cost in seconds.
    pub(super) cost: f64,
    /// The part of the cost that comes from evicting another model.
    pub(super) loss: f64,
    /// The model that has to be evicted.
    pub(super) victim: Option<ModelId>,
    /// Where the weights are loaded from.
    pub(super) from: Stage,
}

/// A model for which a worker is sought.
#[derive(Debug, Clone, Copy)]
pub(super) struct Wanted<'a> {
    model: &'a ModelId,
    settings: &'a Model,
    /// The requests that each copy would serve with one more.
    load: f64,
}

/// A model on a worker that may be evicted.
#[derive(Debug, Clone)]
struct Evictable<'a> {
    model: &'a ModelId,
    /// The cost of evicting it.
    loss: f64,
    /// The requests that the copy serves.
    load: f64,
    /// Whether other copies can serve its requests.
    redundant: bool,
}

/// What candidates on a worker have in common, whatever the model.
#[derive(Debug, Clone)]
struct WorkerCost<'a> {
    /// The free accelerator memory in bytes.
    room: u64,
    evictable: Vec<Evictable<'a>>,
}

/// The state of one planning pass.
pub(super) struct PlanningPass<'a> {
    pub(super) service_state: &'a ServiceState<'a>,
    /// Copies of each model that serve requests or are being loaded.
    copies: BTreeMap<&'a ModelId, u32>,
    /// Workers that are loading each model.
    loading: BTreeMap<&'a ModelId, u32>,
    /// The costs of each worker, by position; computed on first use.
    worker_costs: Vec<OnceCell<WorkerCost<'a>>>,
    /// Whether each worker accepts an order, by position.
    pub(super) free: Vec<bool>,
    pub(super) orders: Vec<PlannedOrder>,
    pub(super) store_loads_in_flight: u32,
    pub(super) store_open: bool,
}

impl<'a> PlanningPass<'a> {
    /// Begins a pass without orders.
    pub(super) fn new(service_state: &'a ServiceState<'a>) -> Self {
        Self {
            service_state,
            copies: service_state.copies(),
            loading: service_state.loading_counts(),
            worker_costs: vec![OnceCell::new(); service_state.workers.len()],
            free: service_state.workers.iter().map(Worker::is_free).collect(),
            orders: Vec::new(),
            store_loads_in_flight: service_state.store_loads_in_flight,
            store_open: service_state.store_open,
        }
    }

    /// Returns the costs of a worker.
    fn worker_cost(&self, worker_index: usize) -> &WorkerCost<'a> {
        self.worker_costs[worker_index].get_or_init(|| {
            let worker = &self.service_state.workers[worker_index];
            let used = self.service_state.used_bytes(worker);
            let held = worker.held.iter().filter(|held| !held.unloading);
            WorkerCost {
                room: self.service_state.engine.memory.saturating_sub(used),
                evictable: held.map(|held| self.evictable(&held.model)).collect(),
            }
        })
    }

    /// Returns the copies of a model that serve requests or are being loaded.
    pub(super) fn copies(&self, model: &ModelId) -> u32 {
        self.copies.get(model).copied().unwrap_or(0)
    }

    /// Returns the number of workers that are loading a model.
    pub(super) fn loading(&self, model: &ModelId) -> u32 {
        self.loading.get(model).copied().unwrap_or(0)
    }

    /// Returns what candidates for a model have in common; `None` if the service does not have it.
    pub(super) fn wanted<'m>(&'m self, model: &'m ModelId) -> Option<Wanted<'m>> {
        let settings = self.service_state.models.get(model)?;
        let load = self.expected_load(model) / f64::from(self.copies(model) + 1);
        Some(Wanted {
            model,
            settings,
            load,
        })
    }

    /// Returns the requests that a model serves now and is expected to serve soon.
    fn expected_load(&self, model: &ModelId) -> f64 {
        let demand = self.service_state.demand.get(model);
        demand.map_or(0.0, ModelDemand::expected_load)
    }

    /// Returns the workers that accept an order now and have room for the smallest model.
    pub(super) fn workers_with_room(&self) -> Vec<usize> {
        let smallest = self
            .service_state
            .models
            .values()
            .map(|model| model.bytes)
            .min();
        let smallest = smallest.unwrap_or(u64::MAX);
        let free = (0..self.free.len()).filter(|worker_index| self.free[*worker_index]);
        let with_room = free.filter(|worker_index| {
            let used = self
                .service_state
                .used_bytes(&self.service_state.workers[*worker_index]);
            used.saturating_add(smallest) <= self.service_state.engine.memory
        });
        with_room.collect()
    }

    /// Adds an order to a worker, which then accepts no other in this pass.
    pub(super) fn order(&mut self, worker_index: usize, action: Action, reason: Reason) {
        self.free[worker_index] = false;
        let model = action.model();
        self.orders.push(PlannedOrder {
            target: self.service_state.workers[worker_index].target.clone(),
            reason,
            demand: self
                .service_state
                .demand
                .get(model)
                .cloned()
                .unwrap_or_default(),
            copies: self.copies(model),
            action,
        });
    }

    /// Returns the cheapest worker for a model, including those that are busy now.
    pub(super) fn best(&self, model: &ModelId) -> Option<Candidate> {
        let wanted = self.wanted(model)?;
        let workers = 0..self.free.len();
        cheapest(workers.filter_map(|worker_index| self.candidate(worker_index, &wanted)))
    }

    /// Returns the candidates for a model among the workers that accept an order now.
    pub(super) fn free_candidates<'m>(
        &'m self,
        model: &'m ModelId,
    ) -> impl Iterator<Item = Candidate> + use<'a, 'm> {
        let wanted = self.wanted(model);
        let free = (0..self.free.len()).filter(|worker_index| self.free[*worker_index]);
        free.filter_map(move |worker_index| self.candidate(worker_index, wanted.as_ref()?))
    }

    /// Returns the cost of loading a model on one worker, or `None` if that is not possible.
    pub(super) fn candidate(&self, worker_index: usize, wanted: &Wanted) -> Option<Candidate> {
        let worker = &self.service_state.workers[worker_index];
        let model = wanted.model;
        if !worker.open || worker.holds(model) || worker.loading.as_ref() == Some(model) {
            return None;
        }
        let wait = worker.time_until_free?.as_secs_f64();
        let from = worker
            .local_copies
            .get(model)
            .copied()
            .unwrap_or(Stage::Remote);
        let load = match from {
            Stage::Memory => wanted.settings.from_memory.as_secs_f64(),
            Stage::Disk => wanted.settings.from_disk.as_secs_f64(),
            _ if !self.store_open || self.store_loads_in_flight >= MAX_STORE_LOADS => return None,
            _ => wanted.settings.from_store.as_secs_f64(),
        };
        let worker_cost = self.worker_cost(worker_index);
        let (victim, loss) = if wanted.settings.bytes <= worker_cost.room {
            (None, 0.0)
        } else {
            let victim = worker_cost.victim(wanted.load)?;
            (Some(victim.model.clone()), victim.loss)
        };
        let extra_order = if victim.is_some() { EXTRA_ORDER_S } else { 0.0 };
        Some(Candidate {
            worker_index,
            cost: wait + load + extra_order + loss,
            loss,
            victim,
            from,
        })
    }

    /// Returns what evicting a copy of a model costs.
    fn evictable(&self, model: &'a ModelId) -> Evictable<'a> {
        let copies = self.copies(model);
        let demand = self.service_state.demand.get(model);
        let load = demand.map_or(0.0, ModelDemand::current_load);
        let redundant = copies > 1 && load / f64::from(copies - 1) <= HEAVY_OVERLOAD_THRESHOLD;
        Evictable {
            model,
            loss: self.eviction_loss(model),
            load: self.expected_load(model) / f64::from(copies.max(1)),
            redundant,
        }
    }

    /// Returns the cost of evicting one copy of a model.
    fn eviction_loss(&self, model: &ModelId) -> f64 {
        let copies = self.copies(model);
        let Some(demand) = self.service_state.demand.get(model) else {
            return REDUNDANT_COPY_COST;
        };
        if copies > 1 {
            let load_per_remaining_copy = demand.current_load() / f64::from(copies - 1);
            let crowding = if load_per_remaining_copy > CROWDING_THRESHOLD {
                CROWDING_COST
            } else {
                0.0
            };
            let busy = demand.current_load() / f64::from(copies);
            return REDUNDANT_COPY_COST + crowding + BUSY_COST * busy.min(1.0);
        }
        if demand.waiting > 0 {
            return WAITING_COST;
        }
        let busy = BUSY_COST * demand.current_load().min(1.0);
        REDUNDANT_COPY_COST + busy + demand.rate * DEMAND_HORIZON_S * MISS_COST_S
    }

    /// Loads the adapters that requests wait for.
    pub(super) fn load_adapters(&mut self) {
        for (model, demand) in &self.service_state.demand {
            for adapter in &demand.adapters {
                self.load_adapter(model, adapter);
            }
        }
    }

    /// Loads one adapter on the free worker that holds its model and has the fewest adapters.
    fn load_adapter(&mut self, model: &ModelId, adapter: &Name) {
        let holds_model = |held: &HeldModel| held.model == *model && !held.unloading;
        let mut copies = self
            .service_state
            .workers
            .iter()
            .filter(|worker| worker.open);
        if copies.any(|worker| {
            let mut held = worker.held.iter().filter(|held| holds_model(held));
            held.any(|held| held.adapters.contains(adapter))
        }) {
            return;
        }
        let free = (0..self.free.len()).filter(|worker_index| self.free[*worker_index]);
        let holders = free.filter(|worker_index| {
            self.service_state.workers[*worker_index]
                .held
                .iter()
                .any(holds_model)
        });
        let Some(worker_index) =
            holders.min_by_key(|worker_index| self.service_state.workers[*worker_index].adapters())
        else {
            return;
        };
        let worker = &self.service_state.workers[worker_index];
        let model_settings = self.service_state.models.get(model);
        let bytes = model_settings.map_or(0, |model_settings| model_settings.adapter_bytes);
        let slot_free = worker.adapters() < self.service_state.engine.adapters as usize;
        let used = self.service_state.used_bytes(worker);
        let has_memory = used.saturating_add(bytes) <= self.service_state.engine.memory;
        let action = if slot_free && has_memory {
            Action::Adapter {
                model: model.clone(),
                adapter: adapter.clone(),
            }
        } else {
            let Some(oldest) = self.oldest_adapter(worker) else {
                return;
            };
            oldest
        };
        let reason = match action {
            Action::Adapter { .. } => Reason::Waiting,
            _ => Reason::Room,
        };
        self.order(worker_index, action, reason);
    }

    /// Returns the unload of a worker's oldest adapter that no request waits for.
    fn oldest_adapter(&self, worker: &Worker) -> Option<Action> {
        let wanted = |held: &HeldModel, adapter: &Name| {
            let demand = self.service_state.demand.get(&held.model);
            demand.is_some_and(|demand| demand.adapters.contains(adapter))
        };
        worker.held.iter().find_map(|held| {
            let mut adapters = held.adapters.iter();
            let adapter = adapters.find(|adapter| !wanted(held, adapter))?;
            Some(Action::DropAdapter {
                model: held.model.clone(),
                adapter: adapter.clone(),
            })
        })
    }
}

impl<'a> WorkerCost<'a> {
    /// Returns the model that is cheapest to evict for one that would serve `load` requests.
    ///
    /// The only copy of a model, or one without which the others would be heavily overloaded, stays
    /// if it serves more requests than the other model would: otherwise two models in high demand
    /// would evict each other in turn and spend more time loading than serving.
    fn victim(&self, load: f64) -> Option<&Evictable<'a>> {
        let evictable = self.evictable.iter();
        let evictable = evictable.filter(|held| held.redundant || held.load < load);
        evictable.min_by(|one, other| one.loss.total_cmp(&other.loss))
    }
}

/// Returns the candidate with the least cost.
pub(super) fn cheapest(candidates: impl Iterator<Item = Candidate>) -> Option<Candidate> {
    candidates.min_by(|one, other| one.cost.total_cmp(&other.cost))
}
