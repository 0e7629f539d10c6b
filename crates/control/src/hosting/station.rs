//! The order state of one worker that counts its orders.

use std::collections::BTreeMap;
use std::sync::Arc;

use cornelhitch_planner::hosting::{Action, Held};
use cornelhitch_types::id::{Incarnation, ModelId, Name, Time};
use cornelhitch_types::order::{Order, Outcome, Reply};
use cornelhitch_types::target::{Holding, Stage};

use crate::workers::Beat;

/// Backoff after an order that the worker did not accept.
pub(super) const BACKOFF: Time = Time::from_millis(250);

/// Usual delay from an order's expected end to the heartbeat or inspection that shows it done.
const TAIL: Time = Time::from_millis(100);

/// Usual time to learn by inspection how many orders a worker has accepted.
const ASKING: Time = Time::from_millis(500);

/// Consecutive unanswered inspections after which a worker is not counted on.
const SILENT: u32 = 2;

/// The minimum expected remaining time of an order in progress.
const LEAST: Time = Time::from_millis(20);

/// The maximum delay of a heartbeat: what was ordered within this time counts as held, whatever
/// heartbeats show.
const LAG: Time = Time::from_secs(8);

/// An order that was sent and is not known to have ended.
#[derive(Debug, Clone)]
pub(super) struct Given {
    /// The order as it was sent.
    pub(super) order: Order,
    /// The effect of the order.
    pub(super) action: Action,
    /// When the order is expected to be complete.
    pub(super) due: Time,
    /// Whether the worker accepted the order.
    pub(super) accepted: bool,
}

/// A model or an adapter that was ordered recently.
#[derive(Debug, Clone)]
struct Item {
    /// The model.
    model: ModelId,
    /// The adapter; `None` for the model itself.
    adapter: Option<Name>,
    /// Whether it was loaded rather than unloaded.
    loaded: bool,
    /// Whether the worker has accepted the order.
    accepted: bool,
    /// When it was ordered, or when the worker reported it.
    at: Time,
}

impl Item {
    /// Returns whether the entry is about this model or adapter.
    pub(super) fn is(&self, model: &str, adapter: Option<&Name>) -> bool {
        *self.model == *model && self.adapter.as_ref() == adapter
    }
}

/// The order state of one worker.
#[derive(Debug, Clone)]
pub(super) struct Station {
    /// The incarnation of the worker.
    pub(super) incarnation: Incarnation,
    /// The number of orders it has accepted; `None` if unknown after a change of leader or a lost
    /// answer.
    pub(super) accepted: Option<u64>,
    /// The order in progress.
    pub(super) given: Option<Given>,
    /// Recent orders that delayed heartbeats may not show yet.
    ledger: Vec<Item>,
    /// For each model, the fastest storage tier below accelerator memory that holds a copy.
    pub(super) near: Arc<BTreeMap<ModelId, Stage>>,
    /// When the inspection in progress was sent.
    pub(super) inspected: Option<Time>,
    /// Consecutive inspections without an answer.
    unanswered: u32,
    /// No order is sent before this time.
    pub(super) pause: Time,
}

impl Station {
    /// Creates the state of an incarnation without known orders; `new` if it was registered in this
    /// term.
    pub(super) fn new(incarnation: Incarnation, new: bool) -> Self {
        Self {
            incarnation,
            accepted: new.then_some(0),
            given: None,
            ledger: Vec::new(),
            near: Arc::default(),
            inspected: None,
            unanswered: 0,
            pause: Time::ZERO,
        }
    }

    /// Returns the expected time until the worker takes an order; `None` if it does not answer
    /// inspections.
    pub(super) fn free_in(&self, now: Time) -> Option<Time> {
        let pause = self.pause.saturating_sub(now);
        if self.accepted.is_none() {
            return (self.unanswered < SILENT).then_some(ASKING.max(pause));
        }
        let Some(given) = &self.given else {
            return Some(pause);
        };
        let due = given.due + TAIL;
        // An order that is overdue is expected to take as long again.
        let left = due.saturating_sub(now).max(now.saturating_sub(due));
        Some(left.max(pause).max(LEAST))
    }

    /// Records the end of an inspection, with an answer or without.
    pub(super) fn asked(&mut self, answered: bool) {
        self.inspected = None;
        self.unanswered = if answered { 0 } else { self.unanswered + 1 };
    }

    /// Returns the model that the worker is loading.
    pub(super) fn coming(&self) -> Option<&ModelId> {
        match &self.given.as_ref()?.action {
            Action::Load { model, .. } => Some(model),
            _ => None,
        }
    }

    /// Returns whether the worker is loading from the weight store.
    pub(super) fn fetches(&self) -> bool {
        let given = self.given.as_ref().map(|given| &given.action);
        matches!(given, Some(Action::Load { from, .. }) if *from < Stage::Disk)
    }

    /// Returns whether the worker is unloading the model.
    pub(super) fn unloads(&self, model: &str) -> bool {
        let given = self.given.as_ref().map(|given| &given.action);
        matches!(given, Some(Action::Unload { model: it }) if **it == *model)
    }

    /// Returns the adapters of a copy according to heartbeats and recent orders; `sure` excludes
    /// orders that the worker has not accepted yet.
    pub(super) fn adapters(&self, holding: &Holding, sure: bool) -> Vec<Name> {
        let mut adapters = holding.adapters.clone();
        let ordered = self
            .ledger
            .iter()
            .filter(|it| it.model == holding.model.model);
        let ordered = ordered.filter(|it| it.accepted || !sure);
        for item in ordered {
            let Some(adapter) = &item.adapter else {
                continue;
            };
            if item.loaded && !adapters.contains(adapter) {
                adapters.push(adapter.clone());
            }
            if !item.loaded {
                adapters.retain(|it| it != adapter);
            }
        }
        adapters
    }

    /// Returns the models that were ordered but that the newest heartbeat does not show.
    pub(super) fn hidden(&self, beat: &Beat) -> Vec<ModelId> {
        let models = self
            .ledger
            .iter()
            .filter(|it| it.adapter.is_none() && it.loaded);
        let hidden = models.filter(|item| !shows(beat, &item.model));
        hidden.map(|item| item.model.clone()).collect()
    }

    /// Records the effect of an order, replacing earlier entries for the same model or adapter.
    pub(super) fn note(&mut self, action: &Action, accepted: bool, at: Time) {
        let (model, adapter, loaded) = match action.clone() {
            Action::Load { model, .. } => (model, None, true),
            Action::Unload { model } => (model, None, false),
            Action::Adapter { model, adapter } => (model, Some(adapter), true),
            Action::DropAdapter { model, adapter } => (model, Some(adapter), false),
        };
        self.ledger
            .retain(|item| !item.is(&model, adapter.as_ref()));
        if adapter.is_none() {
            self.ledger.retain(|item| item.model != model);
        }
        self.ledger.push(Item {
            model,
            adapter,
            loaded,
            accepted,
            at,
        });
    }

    /// Replaces the recent orders by the inventory that the worker reported.
    pub(super) fn recount(&mut self, inventory: &[Holding], at: Time) {
        self.ledger.clear();
        for holding in inventory {
            let model = &holding.model.model;
            let whole = std::iter::once(None);
            let adapters = holding.adapters.iter().cloned().map(Some);
            let items = whole.chain(adapters).map(|adapter| Item {
                model: model.clone(),
                adapter,
                loaded: true,
                accepted: true,
                at,
            });
            self.ledger.extend(items);
        }
    }

    /// Handles a heartbeat; an order that it shows to be complete is over.
    pub(super) fn beat(&mut self, beat: &Beat, now: Time) {
        self.near = Arc::new(near(beat));
        let given = self.given.as_ref().filter(|given| given.accepted);
        let done = match given.map(|given| &given.action) {
            Some(Action::Load { model, .. }) => shows(beat, model),
            Some(Action::Unload { model }) => !shows(beat, model),
            _ => false,
        };
        if done {
            self.given = None;
        }
        let coming = self.coming().cloned();
        self.ledger.retain(|item| {
            let expected = coming.as_ref() == Some(&item.model);
            expected || now < item.at + LAG
        });
    }

    /// Handles the outcome of an order.
    ///
    /// Only the order in progress counts: an earlier one that an inspection has settled may have
    /// been sent with the same number of accepted orders.
    pub(super) fn done(&mut self, order: &Order, outcome: &Outcome, now: Time) {
        let given = self.given.as_mut();
        let Some(given) = given.filter(|given| given.order == *order && !given.accepted) else {
            return;
        };
        match outcome {
            Outcome::Answered(Reply::Accepted) => {
                self.accepted = self.accepted.map(|accepted| accepted + 1);
                given.accepted = true;
                let action = given.action.clone();
                if matches!(action, Action::Adapter { .. } | Action::DropAdapter { .. }) {
                    self.given = None;
                }
                self.note(&action, true, now);
            }
            Outcome::Unsent => {
                self.given = None;
                self.pause = now + BACKOFF;
                self.ledger.retain(|item| item.accepted);
            }
            Outcome::Answered(_) | Outcome::Unknown => {
                self.given = None;
                self.accepted = None;
                self.pause = now + BACKOFF;
            }
        }
    }
}

/// Returns what a worker holds in accelerator memory.
pub(super) fn held(beat: &Beat, station: &Station) -> Vec<Held> {
    let ready = beat.inventory.iter().filter(|it| it.stage == Stage::Ready);
    let held = ready.map(|holding| Held {
        model: holding.model.model.clone(),
        adapters: station.adapters(holding, false),
        leaving: station.unloads(&holding.model.model),
    });
    // A model that no heartbeat shows takes memory and gets no requests.
    let hidden = station.hidden(beat).into_iter();
    let hidden = hidden.filter(|model| station.coming() != Some(model));
    let hidden = hidden.map(|model| Held {
        model,
        adapters: Vec::new(),
        leaving: true,
    });
    held.chain(hidden).collect()
}

/// Returns whether a heartbeat shows a model in accelerator memory.
fn shows(beat: &Beat, model: &str) -> bool {
    let mut ready = beat.inventory.iter().filter(|it| it.stage == Stage::Ready);
    ready.any(|it| *it.model.model == *model)
}

/// Returns, for each model, the fastest storage tier below accelerator memory that holds a copy.
fn near(beat: &Beat) -> BTreeMap<ModelId, Stage> {
    let mut near = BTreeMap::new();
    for holding in beat.inventory.iter().filter(|it| it.stage < Stage::Loading) {
        let stage = near
            .entry(holding.model.model.clone())
            .or_insert(holding.stage);
        *stage = holding.stage.max(*stage);
    }
    near
}
