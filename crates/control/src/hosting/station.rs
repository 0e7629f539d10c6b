//! What is known of one worker's orders.

use std::collections::BTreeMap;
use std::sync::Arc;

use cornelhitch_planner::hosting::{Action, Held};
use cornelhitch_types::id::{Incarnation, ModelId, Name, Time};
use cornelhitch_types::order::{Order, Outcome, Reply};
use cornelhitch_types::target::{Holding, Stage};

use crate::workers::Beat;

/// How long a worker is left alone after an order that it did not take.
pub(super) const BACKOFF: Time = Time::from_millis(250);

/// How long after its expected end an order is known to be over, mostly.
const TAIL: Time = Time::from_millis(100);

/// How long it takes to learn what a worker has accepted, mostly.
const ASKING: Time = Time::from_millis(500);

/// Inspections without an answer after which a worker is not counted on.
const SILENT: u32 = 2;

/// The shortest time that an order in progress is expected to take yet.
const LEAST: Time = Time::from_millis(20);

/// How long a heartbeat may have been under way: what was ordered within this time counts as held,
/// whatever heartbeats show.
const LAG: Time = Time::from_secs(8);

/// An order that was given.
#[derive(Debug, Clone)]
pub(super) struct Given {
    /// The order as it was sent.
    pub(super) order: Order,
    /// What it does.
    pub(super) action: Action,
    /// When it is expected to have been carried out.
    pub(super) due: Time,
    /// Whether the worker accepted it.
    pub(super) accepted: bool,
}

/// A model or an adapter that was ordered not long ago.
#[derive(Debug, Clone)]
struct Item {
    /// The model.
    model: ModelId,
    /// The adapter, where it is one.
    adapter: Option<Name>,
    /// Whether it was loaded, or else unloaded.
    loaded: bool,
    /// Whether the worker has accepted the order.
    accepted: bool,
    /// When it was ordered, or the worker said so.
    at: Time,
}

impl Item {
    /// Whether it is about the same model or adapter as another one.
    pub(super) fn is(&self, model: &str, adapter: Option<&Name>) -> bool {
        *self.model == *model && self.adapter.as_ref() == adapter
    }
}

/// What is known of one worker's orders.
#[derive(Debug, Clone)]
pub(super) struct Station {
    /// The life of the worker.
    pub(super) incarnation: Incarnation,
    /// Orders that it has accepted; not known where an earlier leader or a lost answer is in play.
    pub(super) accepted: Option<u64>,
    /// The order in progress.
    pub(super) given: Option<Given>,
    /// What was ordered not long ago, which heartbeats under way may not show yet.
    ledger: Vec<Item>,
    /// Where the nearest copies below accelerator memory are.
    pub(super) near: Arc<BTreeMap<ModelId, Stage>>,
    /// Since when it is asked what it has accepted.
    pub(super) inspected: Option<Time>,
    /// Inspections that were not answered, since the last one that was.
    unanswered: u32,
    /// It is given no order before.
    pub(super) pause: Time,
}

impl Station {
    /// A life of which no order is known; `new` where it started in this term.
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

    /// How long until it takes an order; none where it does not say what it has accepted.
    pub(super) fn free_in(&self, now: Time) -> Option<Time> {
        let pause = self.pause.saturating_sub(now);
        if self.accepted.is_none() {
            return (self.unanswered < SILENT).then_some(ASKING.max(pause));
        }
        let Some(given) = &self.given else {
            return Some(pause);
        };
        let due = given.due + TAIL;
        // An order that is late for some time is expected to be late for as long again.
        let left = due.saturating_sub(now).max(now.saturating_sub(due));
        Some(left.max(pause).max(LEAST))
    }

    /// An inspection has ended, with an answer or without.
    pub(super) fn asked(&mut self, answered: bool) {
        self.inspected = None;
        self.unanswered = if answered { 0 } else { self.unanswered + 1 };
    }

    /// The model that it loads.
    pub(super) fn coming(&self) -> Option<&ModelId> {
        match &self.given.as_ref()?.action {
            Action::Load { model, .. } => Some(model),
            _ => None,
        }
    }

    /// Whether it loads from the weight store.
    pub(super) fn fetches(&self) -> bool {
        let given = self.given.as_ref().map(|given| &given.action);
        matches!(given, Some(Action::Load { from, .. }) if *from < Stage::Disk)
    }

    /// Whether it unloads a model.
    pub(super) fn unloads(&self, model: &str) -> bool {
        let given = self.given.as_ref().map(|given| &given.action);
        matches!(given, Some(Action::Unload { model: it }) if **it == *model)
    }

    /// The adapters of a copy as far as heartbeats and orders tell; `sure` leaves out those whose
    /// order the worker has not accepted yet.
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

    /// Models that were ordered and that the newest heartbeat does not show.
    pub(super) fn hidden(&self, beat: &Beat) -> Vec<ModelId> {
        let models = self
            .ledger
            .iter()
            .filter(|it| it.adapter.is_none() && it.loaded);
        let hidden = models.filter(|item| !shows(beat, &item.model));
        hidden.map(|item| item.model.clone()).collect()
    }

    /// Notes what an order changes, in place of what was noted of the same thing.
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

    /// Takes over what the worker said that it holds, in place of all that was ordered.
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

    /// Takes in a heartbeat: an order that it shows done is over.
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

    /// Takes in what became of an order.
    ///
    /// Only the order in progress counts: an earlier one that an inspection has settled may have been
    /// given for the same number of accepted orders.
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

/// What a worker holds in accelerator memory.
pub(super) fn held(beat: &Beat, station: &Station) -> Vec<Held> {
    let ready = beat.inventory.iter().filter(|it| it.stage == Stage::Ready);
    let held = ready.map(|holding| Held {
        model: holding.model.model.clone(),
        adapters: station.adapters(holding, false),
        leaving: station.unloads(&holding.model.model),
    });
    // What no heartbeat shows takes room and gets no requests.
    let hidden = station.hidden(beat).into_iter();
    let hidden = hidden.filter(|model| station.coming() != Some(model));
    let hidden = hidden.map(|model| Held {
        model,
        adapters: Vec::new(),
        leaving: true,
    });
    held.chain(hidden).collect()
}

/// Whether a heartbeat shows a model in accelerator memory.
fn shows(beat: &Beat, model: &str) -> bool {
    let mut ready = beat.inventory.iter().filter(|it| it.stage == Stage::Ready);
    ready.any(|it| *it.model.model == *model)
}

/// Where the nearest copies of a worker below accelerator memory are.
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
