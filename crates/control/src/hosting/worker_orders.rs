//! The order state of one worker that counts its orders.

use std::collections::BTreeMap;
use std::sync::Arc;

use cornelhitch_planner::hosting::{Action, HeldModel};
use cornelhitch_types::id::{Incarnation, ModelId, Name, Time};
use cornelhitch_types::order::{Order, Outcome, Reply};
use cornelhitch_types::target::{Holding, Stage};

use crate::workers::LastHeartbeat;

/// Backoff after an order that the worker did not accept.
pub(super) const REFUSED_BACKOFF: Time = Time::from_millis(250);

/// Usual delay from an order's expected end to the heartbeat or inspection that shows it done.
const COMPLETION_DELAY: Time = Time::from_millis(100);

/// How long an inspection may take before it is repeated.
const INSPECTION_TIMEOUT: Time = Time::from_secs(2);

/// Usual time for an inspection to return how many orders a worker has accepted.
const INSPECTION_ESTIMATE: Time = Time::from_millis(500);

/// Consecutive unanswered inspections after which no time is estimated for a worker.
const MAX_UNANSWERED_INSPECTIONS: u32 = 2;

/// The minimum expected remaining time of an order in progress.
const MIN_REMAINING: Time = Time::from_millis(20);

/// The maximum delay of a heartbeat: a model ordered within this time counts as held, whatever the
/// heartbeats report.
const MAX_HEARTBEAT_DELAY: Time = Time::from_secs(8);

/// An order that was sent and is not known to have ended.
#[derive(Debug, Clone)]
pub(super) struct InFlightOrder {
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
struct RecentOrder {
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

impl RecentOrder {
    /// Returns whether the entry is about this model or adapter.
    pub(super) fn is_about(&self, model: &str, adapter: Option<&Name>) -> bool {
        *self.model == *model && self.adapter.as_ref() == adapter
    }
}

/// The order state of one worker.
#[derive(Debug, Clone)]
pub(super) struct WorkerOrders {
    /// The incarnation of the worker.
    pub(super) incarnation: Incarnation,
    /// The number of orders it has accepted; `None` if unknown after a change of leader or a lost
    /// answer.
    pub(super) accepted: Option<u64>,
    /// The order in progress.
    pub(super) in_flight: Option<InFlightOrder>,
    /// Recent orders that delayed heartbeats may not show yet.
    recent: Vec<RecentOrder>,
    /// For each model, the fastest storage tier below accelerator memory that holds a copy.
    pub(super) fastest_tiers: Arc<BTreeMap<ModelId, Stage>>,
    /// When the inspection in progress was sent.
    pub(super) inspected: Option<Time>,
    /// Consecutive inspections without an answer.
    unanswered: u32,
    /// No order is sent before this time.
    pub(super) paused_until: Time,
    /// The worker wants no requests from this host before this time, as its answers state.
    pub(super) wants_none_until: Time,
}

impl WorkerOrders {
    /// Creates the state of an incarnation without known orders; `new` if it was registered in this
    /// term.
    pub(super) fn new(incarnation: Incarnation, new: bool) -> Self {
        Self {
            incarnation,
            accepted: new.then_some(0),
            in_flight: None,
            recent: Vec::new(),
            fastest_tiers: Arc::default(),
            inspected: None,
            unanswered: 0,
            paused_until: Time::ZERO,
            wants_none_until: Time::ZERO,
        }
    }

    /// Returns the expected time until the worker accepts another order; `None` if it does not
    /// answer inspections.
    pub(super) fn time_until_free(&self, now: Time) -> Option<Time> {
        let pause = self.pause(now);
        if self.accepted.is_none() {
            return (self.unanswered < MAX_UNANSWERED_INSPECTIONS)
                .then_some(INSPECTION_ESTIMATE.max(pause));
        }
        let Some(in_flight) = &self.in_flight else {
            return Some(pause);
        };
        let due = in_flight.due + COMPLETION_DELAY;
        // An order that is overdue is expected to take as long again as it is overdue.
        let left = due.saturating_sub(now).max(now.saturating_sub(due));
        Some(left.max(pause).max(MIN_REMAINING))
    }

    /// Returns the time before which nothing is sent to the worker.
    pub(super) fn pause(&self, now: Time) -> Time {
        let until = self.paused_until.max(self.wants_none_until);
        until.saturating_sub(now)
    }

    /// Returns whether an inspection is in progress.
    pub(super) fn is_inspected(&self, now: Time) -> bool {
        let inspected = self.inspected;
        inspected.is_some_and(|at| now < at + INSPECTION_TIMEOUT)
    }

    /// Records the end of an inspection, with an answer or without.
    pub(super) fn on_inspection_done(&mut self, answered: bool) {
        self.inspected = None;
        self.unanswered = if answered { 0 } else { self.unanswered + 1 };
    }

    /// Returns the model that the worker is loading.
    pub(super) fn loading_model(&self) -> Option<&ModelId> {
        match &self.in_flight.as_ref()?.action {
            Action::Load { model, .. } => Some(model),
            _ => None,
        }
    }

    /// Returns whether the worker is loading from the weight store.
    pub(super) fn is_loading_from_store(&self) -> bool {
        let in_flight = self.in_flight.as_ref().map(|in_flight| &in_flight.action);
        matches!(in_flight, Some(Action::Load { from, .. }) if *from < Stage::Disk)
    }

    /// Returns whether the worker is unloading the model.
    pub(super) fn is_unloading(&self, model: &str) -> bool {
        let in_flight = self.in_flight.as_ref().map(|in_flight| &in_flight.action);
        matches!(in_flight, Some(Action::Unload { model: it }) if **it == *model)
    }

    /// Returns the adapters of a copy according to heartbeats and recent orders; `accepted_only`
    /// excludes orders that the worker has not accepted yet.
    pub(super) fn adapters(&self, copy: &Holding, accepted_only: bool) -> Vec<Name> {
        let mut adapters = copy.adapters.clone();
        let ordered = self.recent.iter().filter(|it| it.model == copy.model.model);
        let ordered = ordered.filter(|it| it.accepted || !accepted_only);
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
    pub(super) fn not_shown(&self, last_heartbeat: &LastHeartbeat) -> Vec<ModelId> {
        let models = self
            .recent
            .iter()
            .filter(|it| it.adapter.is_none() && it.loaded);
        let not_shown = models.filter(|item| !is_shown_ready(last_heartbeat, &item.model));
        not_shown.map(|item| item.model.clone()).collect()
    }

    /// Records the effect of an order, replacing earlier entries for the same model or adapter.
    pub(super) fn record(&mut self, action: &Action, accepted: bool, at: Time) {
        let (model, adapter, loaded) = match action.clone() {
            Action::Load { model, .. } => (model, None, true),
            Action::Unload { model } => (model, None, false),
            Action::Adapter { model, adapter } => (model, Some(adapter), true),
            Action::DropAdapter { model, adapter } => (model, Some(adapter), false),
        };
        self.recent
            .retain(|item| !item.is_about(&model, adapter.as_ref()));
        if adapter.is_none() {
            self.recent.retain(|item| item.model != model);
        }
        self.recent.push(RecentOrder {
            model,
            adapter,
            loaded,
            accepted,
            at,
        });
    }

    /// Replaces the recent orders by the inventory that the worker reported.
    pub(super) fn replace_recent(&mut self, inventory: &[Holding], at: Time) {
        self.recent.clear();
        for copy in inventory {
            let model = &copy.model.model;
            let whole = std::iter::once(None);
            let adapters = copy.adapters.iter().cloned().map(Some);
            let items = whole.chain(adapters).map(|adapter| RecentOrder {
                model: model.clone(),
                adapter,
                loaded: true,
                accepted: true,
                at,
            });
            self.recent.extend(items);
        }
    }

    /// Handles a heartbeat; clears the order in progress if the heartbeat shows it complete.
    pub(super) fn on_heartbeat(&mut self, last_heartbeat: &LastHeartbeat, now: Time) {
        self.fastest_tiers = Arc::new(fastest_tiers(last_heartbeat));
        let in_flight = self
            .in_flight
            .as_ref()
            .filter(|in_flight| in_flight.accepted);
        let done = match in_flight.map(|in_flight| &in_flight.action) {
            Some(Action::Load { model, .. }) => is_shown_ready(last_heartbeat, model),
            Some(Action::Unload { model }) => !is_shown_ready(last_heartbeat, model),
            _ => false,
        };
        if done {
            self.in_flight = None;
        }
        let loading = self.loading_model().cloned();
        self.recent.retain(|item| {
            let expected = loading.as_ref() == Some(&item.model);
            expected || now < item.at + MAX_HEARTBEAT_DELAY
        });
    }

    /// Handles the outcome of an order.
    ///
    /// Only the order in progress counts: an earlier one that an inspection has resolved may have
    /// been sent with the same number of accepted orders.
    pub(super) fn on_outcome(&mut self, order: &Order, outcome: &Outcome, now: Time) {
        let in_flight = self.in_flight.as_mut();
        let Some(in_flight) =
            in_flight.filter(|in_flight| in_flight.order == *order && !in_flight.accepted)
        else {
            return;
        };
        match outcome {
            Outcome::Answered(Reply::Accepted) => {
                self.accepted = self.accepted.map(|accepted| accepted + 1);
                in_flight.accepted = true;
                let action = in_flight.action.clone();
                if matches!(action, Action::Adapter { .. } | Action::DropAdapter { .. }) {
                    self.in_flight = None;
                }
                self.record(&action, true, now);
            }
            Outcome::Unsent => {
                self.in_flight = None;
                self.paused_until = now + REFUSED_BACKOFF;
                self.recent.retain(|item| item.accepted);
            }
            Outcome::Answered(_) | Outcome::Unknown => {
                self.in_flight = None;
                self.accepted = None;
                self.paused_until = now + REFUSED_BACKOFF;
            }
        }
    }
}

/// Returns what a worker holds in accelerator memory.
pub(super) fn held(last_heartbeat: &LastHeartbeat, orders: &WorkerOrders) -> Vec<HeldModel> {
    let ready = last_heartbeat
        .inventory
        .iter()
        .filter(|it| it.stage == Stage::Ready);
    let held = ready.map(|copy| HeldModel {
        model: copy.model.model.clone(),
        adapters: orders.adapters(copy, false),
        unloading: orders.is_unloading(&copy.model.model),
    });
    // A model that was ordered but that no heartbeat shows yet occupies memory and gets no
    // requests.
    let not_shown = orders.not_shown(last_heartbeat).into_iter();
    let not_shown = not_shown.filter(|model| orders.loading_model() != Some(model));
    let not_shown = not_shown.map(|model| HeldModel {
        model,
        adapters: Vec::new(),
        unloading: true,
    });
    held.chain(not_shown).collect()
}

/// Returns whether a heartbeat shows a model in accelerator memory.
fn is_shown_ready(last_heartbeat: &LastHeartbeat, model: &str) -> bool {
    let mut ready = last_heartbeat
        .inventory
        .iter()
        .filter(|it| it.stage == Stage::Ready);
    ready.any(|it| *it.model.model == *model)
}

/// Returns, for each model, the fastest storage tier below accelerator memory that holds a copy.
fn fastest_tiers(last_heartbeat: &LastHeartbeat) -> BTreeMap<ModelId, Stage> {
    let mut fastest = BTreeMap::new();
    for copy in last_heartbeat
        .inventory
        .iter()
        .filter(|it| it.stage < Stage::Loading)
    {
        let stage = fastest
            .entry(copy.model.model.clone())
            .or_insert(copy.stage);
        *stage = copy.stage.max(*stage);
    }
    fastest
}
