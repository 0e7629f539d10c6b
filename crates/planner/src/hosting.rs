//! Placement of models on the workers of one service, where each worker accepts one order at a
//! time.
//!
//! This policy is for services with many models, most of which are requested every few seconds.
//! They do not all fit into accelerator memory, while the workers' disks hold several copies of
//! each. A load from disk takes well under a second, so what matters is that a request for a model
//! that no worker holds finds a worker which has a local copy of its weights and loses little by
//! evicting another model, and that the most requested models keep as many copies as their load
//! needs.

mod mean;
mod pass;
mod service_state;

use std::collections::{BTreeMap, BTreeSet};

use cornelhitch_types::id::{ModelId, Name, TargetId};
use cornelhitch_types::target::Stage;
use strum::Display;

pub use self::mean::{ArrivalRate, RunningMean};
use self::pass::{Candidate, HEAVY_OVERLOAD_THRESHOLD, MAX_STORE_LOADS, PlanningPass, cheapest};
use self::service_state::load_per_copy;
pub use self::service_state::{HeldModel, ModelDemand, ServiceState, Worker};

/// Requests for each copy of a model above which it counts as overloaded, and another copy is wanted.
const OVERLOAD_THRESHOLD: f64 = 4.0;

/// Requests per second above which a model that only the weight store has is fetched: one in the last
/// 20 s.
const MIN_FETCH_RATE: f64 = 0.02;

/// The highest eviction loss that is accepted for another copy of an overloaded model.
const MAX_SCALE_OUT_LOSS: f64 = 4.0;

/// Concurrent loads from the weight store up to which models that no request waits for are fetched.
const MAX_SPECULATIVE_STORE_LOADS: u32 = 1;

/// An order to one worker, and the figures behind it.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedOrder {
    /// The worker that gets the order.
    pub target: TargetId,
    /// The change that is ordered.
    pub action: Action,
    /// The reason for the order.
    pub reason: Reason,
    /// The demand for the model of the order.
    pub demand: ModelDemand,
    /// The copies of that model that serve requests or are being loaded.
    pub copies: u32,
}

/// A change to what a worker holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Load a model from the worker's nearest copy of its weights.
    Load {
        /// The model to load.
        model: ModelId,
        /// Where its weights are loaded from.
        from: Stage,
    },
    /// Unload a model.
    Unload {
        /// The model to unload.
        model: ModelId,
    },
    /// Load an adapter for a model.
    Adapter {
        /// The base model.
        model: ModelId,
        /// The adapter to load.
        adapter: Name,
    },
    /// Unload an adapter.
    DropAdapter {
        /// The base model.
        model: ModelId,
        /// The adapter to unload.
        adapter: Name,
    },
}

impl Action {
    /// Returns the model that is loaded or unloaded, or the base model of the adapter.
    #[must_use]
    pub fn model(&self) -> &ModelId {
        match self {
            Self::Load { model, .. }
            | Self::Unload { model }
            | Self::Adapter { model, .. }
            | Self::DropAdapter { model, .. } => model,
        }
    }
}

/// The reason for an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// Requests are waiting and no worker holds the model, or its adapter.
    Waiting,
    /// The copies of the model have more requests than they can serve well.
    Overloaded,
    /// Makes room for another model or adapter.
    Room,
    /// Memory is free and requests for the model are expected.
    Expected,
}

/// Decides which models the workers of a service hold.
///
/// ```
/// use cornelhitch_planner::hosting::Policy;
///
/// assert!(Policy::default().workers_making_room().is_empty());
/// ```
#[derive(Debug, Default)]
pub struct Policy {
    /// The loads that wait for an unload on the same worker.
    planned_loads: BTreeMap<TargetId, PlannedLoad>,
}

/// A load that follows once the worker has room.
#[derive(Debug, Clone, PartialEq, Eq)]
struct PlannedLoad {
    model: ModelId,
    reason: Reason,
}

impl Policy {
    /// Returns the workers that unload a model to make room for another.
    #[must_use]
    pub fn workers_making_room(&self) -> BTreeSet<&TargetId> {
        self.planned_loads.keys().collect()
    }

    /// Returns the next orders, at most one for each worker.
    #[must_use]
    pub fn plan(&mut self, service_state: &ServiceState) -> Vec<PlannedOrder> {
        let mut pass = PlanningPass::new(service_state);
        let store_only = service_state.store_only_models();
        self.resume_planned_loads(&mut pass);
        self.load_waiting(&mut pass, &store_only);
        pass.load_adapters();
        self.scale_out(&mut pass);
        self.fetch_from_store(&mut pass, &store_only);
        self.fill_free_memory(&mut pass);
        pass.orders
    }

    /// Continues loads that waited for room.
    fn resume_planned_loads(&mut self, pass: &mut PlanningPass) {
        let plans = std::mem::take(&mut self.planned_loads);
        for (target, plan) in plans {
            let worker_index = pass
                .service_state
                .workers
                .iter()
                .position(|it| it.target == target);
            let Some(worker_index) =
                worker_index.filter(|worker_index| pass.service_state.workers[*worker_index].open)
            else {
                continue;
            };
            if pass.copies(&plan.model) > 0 && plan.reason != Reason::Overloaded {
                continue;
            }
            if !pass.free[worker_index] {
                self.planned_loads.insert(target, plan);
                continue;
            }
            let wanted = pass.wanted(&plan.model);
            let candidate = wanted.and_then(|wanted| pass.candidate(worker_index, &wanted));
            if let Some(candidate) = candidate {
                self.accept(pass, candidate, plan);
            }
        }
    }

    /// Places models that requests wait for and no worker holds, if some worker has a local copy.
    fn load_waiting(&mut self, pass: &mut PlanningPass, store_only: &BTreeSet<&ModelId>) {
        let demand = pass.service_state.demand.iter();
        let demand = demand.filter(|(model, demand)| demand.waiting > 0 && pass.copies(model) == 0);
        let mut wanted: Vec<(&ModelId, &ModelDemand)> = demand
            .filter(|(model, _)| !self.is_planned(model) && !store_only.contains(model))
            .collect();
        wanted.sort_by_key(|(_, demand)| demand.time_to_deadline);
        for (model, _) in wanted {
            self.place(pass, model);
        }
    }

    /// Fetches models that only the weight store has, the most requested first.
    ///
    /// Such a load takes longer than most requests can wait, so it serves future requests: the
    /// order follows the request rate.
    fn fetch_from_store(&mut self, pass: &mut PlanningPass, store_only: &BTreeSet<&ModelId>) {
        let demand = store_only.iter().filter_map(|model| {
            let demand = pass.service_state.demand.get(*model)?;
            Some((*model, demand))
        });
        let mut wanted: Vec<(&ModelId, &ModelDemand)> = demand
            .filter(|(model, demand)| demand.rate > MIN_FETCH_RATE && !self.is_planned(model))
            .collect();
        wanted.sort_by(|one, other| other.1.rate.total_cmp(&one.1.rate));
        for (model, _) in wanted {
            if pass.store_loads_in_flight >= MAX_STORE_LOADS || !pass.store_open {
                return;
            }
            self.place(pass, model);
        }
    }

    /// Places a model on the worker with the least cost, provided that it accepts an order now.
    ///
    /// If the cheapest worker is busy but has a local copy, waiting for it is faster than
    /// loading the model elsewhere.
    fn place(&mut self, pass: &mut PlanningPass, model: &ModelId) {
        let candidate = pass
            .best(model)
            .filter(|candidate| pass.free[candidate.worker_index]);
        if let Some(candidate) = candidate {
            let plan = PlannedLoad {
                model: model.clone(),
                reason: Reason::Waiting,
            };
            self.accept(pass, candidate, plan);
        }
    }

    /// Adds a copy for each model whose copies have too many requests.
    fn scale_out(&mut self, pass: &mut PlanningPass) {
        for (model, demand) in &pass.service_state.demand {
            let copies = pass.copies(model);
            let copy_load = load_per_copy(demand, copies);
            // At most as many copies are being loaded as are serving, so that their effect shows.
            let ramping_up = pass.loading(model) * 2 >= copies;
            if ramping_up || copy_load <= OVERLOAD_THRESHOLD || self.is_planned(model) {
                continue;
            }
            let candidates = pass.free_candidates(model).filter(|candidate| {
                let fetched = copy_load > HEAVY_OVERLOAD_THRESHOLD;
                candidate.loss < MAX_SCALE_OUT_LOSS && (candidate.from >= Stage::Disk || fetched)
            });
            if let Some(candidate) = cheapest(candidates) {
                let plan = PlannedLoad {
                    model: model.clone(),
                    reason: Reason::Overloaded,
                };
                self.accept(pass, candidate, plan);
            }
        }
    }

    /// Fills free memory: first with models that no worker holds, then with those of which the
    /// fewest workers have a local copy.
    fn fill_free_memory(&mut self, pass: &mut PlanningPass) {
        let mut with_room = pass.workers_with_room();
        if with_room.is_empty() {
            return;
        }
        let local_copies = pass.service_state.local_copy_counts();
        // A model with waiting requests goes where it is ready first, even if that worker is busy.
        let has_waiting = |model| {
            let demand = pass.service_state.demand.get(model);
            pass.copies(model) == 0 && demand.is_some_and(|demand| demand.waiting > 0)
        };
        let models = pass.service_state.models.keys();
        let models = models.filter(|model| !self.is_planned(model) && !has_waiting(model));
        let mut models: Vec<(&ModelId, (u32, usize, u64))> = models
            .map(|model| {
                let copies = pass.copies(model).min(1);
                let nearby = local_copies.get(model).copied().unwrap_or(0);
                (
                    model,
                    (
                        copies,
                        nearby,
                        pass.service_state.request_interval_ms(model),
                    ),
                )
            })
            .collect();
        models.sort_by_key(|(_, order)| *order);
        for (model, _) in models {
            let Some(wanted) = pass.wanted(model) else {
                continue;
            };
            let candidates = with_room
                .iter()
                .filter_map(|worker_index| pass.candidate(*worker_index, &wanted));
            let candidates = candidates.filter(|candidate| candidate.victim.is_none());
            let Some(candidate) = cheapest(candidates) else {
                continue;
            };
            if candidate.from >= Stage::Disk
                || pass.store_loads_in_flight < MAX_SPECULATIVE_STORE_LOADS
            {
                let plan = PlannedLoad {
                    model: model.clone(),
                    reason: Reason::Expected,
                };
                with_room.retain(|worker_index| *worker_index != candidate.worker_index);
                self.accept(pass, candidate, plan);
            }
            if with_room.is_empty() {
                return;
            }
        }
    }

    /// Acts on a candidate: loads the model, or unloads another one first.
    fn accept(&mut self, pass: &mut PlanningPass, candidate: Candidate, plan: PlannedLoad) {
        let target = pass.service_state.workers[candidate.worker_index]
            .target
            .clone();
        if let Some(model) = candidate.victim {
            pass.order(
                candidate.worker_index,
                Action::Unload { model },
                Reason::Room,
            );
            self.planned_loads.insert(target, plan);
            return;
        }
        if candidate.from < Stage::Disk {
            pass.store_loads_in_flight += 1;
            pass.store_open = false;
        }
        let (model, from) = (plan.model, candidate.from);
        pass.order(
            candidate.worker_index,
            Action::Load { model, from },
            plan.reason,
        );
    }

    /// Returns whether a worker is making room for the model.
    fn is_planned(&self, model: &ModelId) -> bool {
        self.planned_loads.values().any(|plan| plan.model == *model)
    }
}
