//! What it costs a worker to take a model, and the orders of one plan.

use std::collections::BTreeMap;

use cornelhitch_types::id::{ModelId, Name};
use cornelhitch_types::target::Stage;

use super::scene::{HORIZON_S, Held, Scene, Wish, Worker};
use super::{Action, Reason, Step};

/// Requests on one copy beyond which another copy is even fetched from the weight store.
pub(super) const SWAMPED: f64 = 8.0;

/// Requests on each of the copies left up to which one can be taken away.
const RELAXED: f64 = 3.0;

/// What it costs that a request finds no copy: the time of a swap.
const MISS_S: f64 = 0.3;

/// What it costs to take a copy that others can stand in for.
const SPARE_COST: f64 = 0.05;

/// What it costs to take a copy on which requests run: the worker takes no other order until the last
/// of them has ended.
const BUSY_COST: f64 = 3.0;

/// What it costs to take a copy without which the others of its model are crowded.
const CROWD_COST: f64 = 2.0;

/// What it costs to take the only copy of a model that is waited for.
const WAITED_COST: f64 = 5.0;

/// The time that an order of its own takes until the next one can be given, in seconds.
const ORDER_S: f64 = 0.15;

/// Loads from the weight store at once: more of them slow one another down.
pub(super) const STORE_LANES: u32 = 2;

/// A worker that could take a model, and what that costs.
#[derive(Debug)]
pub(super) struct Offer {
    /// The worker's position.
    pub(super) at: usize,
    /// What it costs.
    pub(super) cost: f64,
    /// What of it is the loss of another model.
    pub(super) loss: f64,
    /// The model that has to go.
    pub(super) victim: Option<ModelId>,
    /// Where the weights come from.
    pub(super) from: Stage,
}

/// One call of the policy.
pub(super) struct Round<'a> {
    pub(super) scene: &'a Scene<'a>,
    /// Copies of each model that take requests or will soon.
    pub(super) copies: BTreeMap<&'a ModelId, u32>,
    /// Which workers take an order.
    pub(super) free: Vec<bool>,
    pub(super) steps: Vec<Step>,
    pub(super) fetching: u32,
    pub(super) store_open: bool,
}

impl Round<'_> {
    /// Copies of a model that take requests or will soon.
    pub(super) fn copies(&self, model: &ModelId) -> u32 {
        self.copies.get(model).copied().unwrap_or(0)
    }

    /// The workers that take an order now and have room for the smallest model.
    pub(super) fn roomy(&self) -> Vec<usize> {
        let smallest = self.scene.models.values().map(|model| model.bytes).min();
        let smallest = smallest.unwrap_or(u64::MAX);
        let free = (0..self.free.len()).filter(|at| self.free[*at]);
        let roomy = free.filter(|at| {
            let used = self.scene.used(&self.scene.workers[*at]);
            used.saturating_add(smallest) <= self.scene.engine.memory
        });
        roomy.collect()
    }

    /// Gives a worker an order.
    pub(super) fn give(&mut self, at: usize, action: Action, reason: Reason) {
        self.free[at] = false;
        let model = action.model();
        self.steps.push(Step {
            target: self.scene.workers[at].target.clone(),
            reason,
            wish: self.scene.wishes.get(model).cloned().unwrap_or_default(),
            copies: self.copies(model),
            action,
        });
    }

    /// The worker to which a model costs the least, whether it takes an order now or soon.
    pub(super) fn best(&self, model: &ModelId) -> Option<Offer> {
        cheapest((0..self.free.len()).filter_map(|at| self.offer(at, model)))
    }

    /// What a model costs on each worker that takes an order now.
    pub(super) fn free_offers(&self, model: &ModelId) -> impl Iterator<Item = Offer> {
        let free = (0..self.free.len()).filter(|at| self.free[*at]);
        free.filter_map(|at| self.offer(at, model))
    }

    /// What a model costs on one worker.
    pub(super) fn offer(&self, at: usize, model: &ModelId) -> Option<Offer> {
        let worker = &self.scene.workers[at];
        let known = self.scene.models.get(model)?;
        if !worker.open || worker.holds(model) || worker.coming.as_ref() == Some(model) {
            return None;
        }
        let wait = worker.free_in?.as_secs_f64();
        let from = worker.near.get(model).copied().unwrap_or(Stage::Remote);
        let load = match from {
            Stage::Memory => known.from_memory.as_secs_f64(),
            Stage::Disk => known.from_disk.as_secs_f64(),
            _ if !self.store_open || self.fetching >= STORE_LANES => return None,
            _ => known.from_store.as_secs_f64(),
        };
        let room = self
            .scene
            .engine
            .memory
            .saturating_sub(self.scene.used(worker));
        let (victim, loss) = if known.bytes <= room {
            (None, 0.0)
        } else {
            let (victim, loss) = self.victim(worker, model)?;
            (Some(victim), loss)
        };
        let orders = if victim.is_some() { ORDER_S } else { 0.0 };
        Some(Offer {
            at,
            cost: wait + load + orders + loss,
            loss,
            victim,
            from,
        })
    }

    /// The model on a worker that is missed the least, and how much, of those that make room for
    /// another one.
    fn victim(&self, worker: &Worker, model: &ModelId) -> Option<(ModelId, f64)> {
        let held = worker.held.iter().filter(|held| !held.leaving);
        let held = held.filter(|held| self.yields(&held.model, model));
        let losses = held.map(|held| (held.model.clone(), self.loss(&held.model)));
        losses.min_by(|one, other| one.1.total_cmp(&other.1))
    }

    /// Whether a copy of one model may make room for another model.
    ///
    /// The only copy of a model, or one of few that are swamped already, stays where more requests
    /// need it than the other model: two models that many ask for would otherwise take turns, and
    /// be loaded more than they answer.
    fn yields(&self, held: &ModelId, model: &ModelId) -> bool {
        let demand = |model| self.scene.wishes.get(model).map_or(0.0, Wish::demand);
        let copies = self.copies(held);
        let wish = self.scene.wishes.get(held);
        let pressure = wish.map_or(0.0, Wish::pressure);
        if copies > 1 && pressure / f64::from(copies - 1) <= SWAMPED {
            return true;
        }
        let lost = demand(held) / f64::from(copies.max(1));
        lost < demand(model) / f64::from(self.copies(model) + 1)
    }

    /// What is lost with one copy of a model.
    fn loss(&self, model: &ModelId) -> f64 {
        let copies = self.copies(model);
        let Some(wish) = self.scene.wishes.get(model) else {
            return SPARE_COST;
        };
        if copies > 1 {
            let left = wish.pressure() / f64::from(copies - 1);
            let crowd = if left > RELAXED { CROWD_COST } else { 0.0 };
            let busy = wish.pressure() / f64::from(copies);
            return SPARE_COST + crowd + BUSY_COST * busy.min(1.0);
        }
        if wish.waiting > 0 {
            return WAITED_COST;
        }
        let busy = BUSY_COST * wish.pressure().min(1.0);
        SPARE_COST + busy + wish.rate * HORIZON_S * MISS_S
    }

    /// Gives adapters that are waited for a place.
    pub(super) fn adapters(&mut self) {
        for (model, wish) in &self.scene.wishes {
            for adapter in &wish.adapters {
                self.adapter(model, adapter);
            }
        }
    }

    /// Gives one adapter a place on the copy of its model with the most room.
    fn adapter(&mut self, model: &ModelId, adapter: &Name) {
        let has = |held: &Held| held.model == *model && !held.leaving;
        let mut copies = self.scene.workers.iter().filter(|worker| worker.open);
        if copies.any(|worker| {
            let mut held = worker.held.iter().filter(|held| has(held));
            held.any(|held| held.adapters.contains(adapter))
        }) {
            return;
        }
        let free = (0..self.free.len()).filter(|at| self.free[*at]);
        let holds = free.filter(|at| self.scene.workers[*at].held.iter().any(has));
        let Some(at) = holds.min_by_key(|at| self.scene.workers[*at].adapters()) else {
            return;
        };
        let worker = &self.scene.workers[at];
        let known = self.scene.models.get(model);
        let bytes = known.map_or(0, |known| known.adapter_bytes);
        let places = worker.adapters() < self.scene.engine.adapters as usize;
        let room = self.scene.used(worker) + bytes <= self.scene.engine.memory;
        let action = if places && room {
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
        self.give(at, action, reason);
    }

    /// The adapter of a worker that was loaded first and that nobody waits for.
    fn oldest_adapter(&self, worker: &Worker) -> Option<Action> {
        let wanted = |held: &Held, adapter: &Name| {
            let wish = self.scene.wishes.get(&held.model);
            wish.is_some_and(|wish| wish.adapters.contains(adapter))
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

/// The offer that costs the least.
pub(super) fn cheapest(offers: impl Iterator<Item = Offer>) -> Option<Offer> {
    offers.min_by(|one, other| one.cost.total_cmp(&other.cost))
}
