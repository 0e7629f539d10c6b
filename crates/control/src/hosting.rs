//! Orders to workers that count the orders they accept: one at a time, each conditional on the
//! number accepted before it.
//!
//! Such a worker refuses an order whose expected count differs from its own. An order whose answer
//! was lost can therefore take effect only before the next one is accepted, and no memory has to be
//! reserved in the log: what a worker holds follows from its heartbeats and the orders it accepted.

mod worker_orders;

use std::collections::BTreeMap;
use std::sync::Arc;

use cornelhitch_planner::hosting::{
    self, Action, ArrivalRate, ModelDemand, PlannedOrder, Policy, RunningMean, ServiceState,
};
use cornelhitch_types::id::{Incarnation, ModelId, Name, TargetId, Time, Version};
use cornelhitch_types::model::Reference;
use cornelhitch_types::order::{self, Order, Outcome};
use cornelhitch_types::route::{MAX_TIME, Model, RouteTable, WorkerCapacity};
use cornelhitch_types::target::{Holding, Inspection, Stage};
use cornelhitch_types::view::{Change, State};

use self::worker_orders::{InFlightOrder, REFUSED_BACKOFF, WorkerOrders, held};
use crate::command::Command;
use crate::context::Context;
use crate::demand::Total;
use crate::output::Output;
use crate::term_state::TermState;
use crate::workers::{LastHeartbeat, PendingLoad, Worker};

/// Backoff for a worker that is busy with an order unknown to this leader.
const BUSY_BACKOFF: Time = Time::from_millis(700);

/// How far an accepted order may be overdue before the worker is inspected.
const OVERDUE_GRACE: Time = Time::from_millis(1_500);

/// The least number of inspections that may be in progress at once.
const MIN_CONCURRENT_INSPECTIONS: usize = 8;

/// The share of the workers that may be inspected at once, so that a new leader, which has to inspect
/// all of them, has time for other work.
const INSPECTED_SHARE: usize = 16;

/// How long a new leader waits for workers to report which models they have on local storage.
const STORAGE_REPORT_TIMEOUT: Time = Time::from_secs(4);

/// The minimum interval between two plans.
const MIN_PLAN_INTERVAL: Time = Time::from_millis(40);

/// The minimum interval between two plans for each worker: a plan takes longer with more of them.
const PLAN_INTERVAL_PER_WORKER: Time = Time::from_millis(1);

/// The longest that two plans are kept apart.
const MAX_PLAN_INTERVAL: Time = Time::from_secs(1);

/// Moving averages of the demand for a model.
#[derive(Debug, Clone, Copy)]
struct MeanDemand {
    /// The arrival rate.
    rate: ArrivalRate,
    /// Requests that wait or are in progress.
    load: RunningMean,
}

/// The models of a service by id.
type Models = Arc<BTreeMap<ModelId, Model>>;

/// The state of all workers that count their orders, and of the demand for their models.
#[derive(Debug, Default)]
pub(crate) struct Hosting {
    workers: BTreeMap<TargetId, WorkerOrders>,
    policies: BTreeMap<Name, Policy>,
    mean_demand: BTreeMap<ModelId, MeanDemand>,
    /// The models of each service, for one version of the route table.
    models: (Version, BTreeMap<Name, Models>),
    /// For each service, the models that only the weight store holds, with their load time.
    store_only: BTreeMap<Name, BTreeMap<ModelId, Time>>,
    /// When loads from the weight store were started, newest last.
    store_load_starts: Vec<Time>,
    last_plan: Time,
    /// Whether a change requires a planner run.
    plan_requested: bool,
}

impl Hosting {
    /// Records the registration of an incarnation; `new` if it was registered in this term.
    pub(crate) fn register(&mut self, target: &TargetId, incarnation: Incarnation, new: bool) {
        let known = self.workers.get(target);
        if known.is_none_or(|known| known.incarnation != incarnation) {
            let worker_orders = WorkerOrders::new(incarnation, new);
            self.workers.insert(target.clone(), worker_orders);
        }
        self.plan_requested = true;
    }

    /// Removes a worker.
    pub(crate) fn forget(&mut self, target: &str) {
        self.workers.remove(target);
    }

    /// Returns the minimum interval between two plans.
    fn plan_interval(&self) -> Time {
        let workers = u32::try_from(self.workers.len()).unwrap_or(u32::MAX);
        let interval = PLAN_INTERVAL_PER_WORKER.saturating_mul(workers);
        interval.clamp(MIN_PLAN_INTERVAL, MAX_PLAN_INTERVAL)
    }

    /// Returns how many more workers may be inspected now.
    fn inspections_allowed(&self, now: Time) -> usize {
        let limit = (self.workers.len() / INSPECTED_SHARE).max(MIN_CONCURRENT_INSPECTIONS);
        let workers = self.workers.values();
        let running = workers.filter(|worker_orders| worker_orders.is_inspected(now));
        limit.saturating_sub(running.count())
    }

    /// Requests a plan.
    pub(crate) fn request_plan(&mut self) {
        self.plan_requested = true;
    }

    /// Handles a heartbeat.
    pub(crate) fn on_heartbeat(&mut self, target: &str, last_heartbeat: &LastHeartbeat, now: Time) {
        if let Some(worker_orders) = self.workers.get_mut(target) {
            worker_orders.on_heartbeat(last_heartbeat, now);
        }
        self.plan_requested = true;
    }

    /// Returns the adapters of a copy, and whether it accepts requests or is being unloaded.
    pub(crate) fn copy_status(&self, target: &str, copy: &Holding) -> (Vec<Name>, State) {
        let Some(worker_orders) = self.workers.get(target) else {
            return (copy.adapters.clone(), State::Ready);
        };
        let state = if worker_orders.is_unloading(&copy.model.model) {
            State::Retiring
        } else {
            State::Ready
        };
        (worker_orders.adapters(copy, true), state)
    }

    /// Returns the model that a worker loads from the weight store, and when it is due.
    ///
    /// Such a load takes longer than many requests can wait, so it is published to entry hosts.
    fn pending_load(&self, target: &str) -> Option<PendingLoad> {
        let worker_orders = self.workers.get(target)?;
        let in_flight = worker_orders
            .in_flight
            .as_ref()
            .filter(|_| worker_orders.is_loading_from_store())?;
        let model = in_flight.action.model().clone();
        let due = in_flight.due;
        Some(PendingLoad { model, due })
    }

    /// Returns the models that only the weight store holds, for the full view.
    pub(crate) fn cold_start_estimates(&self) -> impl Iterator<Item = Change> {
        let all = self.store_only.values().flatten();
        all.map(|(model, load_time)| cold_start_change(model, *load_time))
    }

    /// Returns the models of a service, cached for one version of the table.
    fn models(&mut self, table: &RouteTable, service: &Name, engine: &WorkerCapacity) -> Models {
        if self.models.0 != table.version {
            self.models = (table.version, BTreeMap::new());
        }
        let known = self.models.1.entry(service.clone());
        let models = known.or_insert_with(|| {
            let models = engine.models.iter();
            let models = models.map(|model| (model.id(service), model.clone()));
            Arc::new(models.collect())
        });
        models.clone()
    }

    /// Returns whether the weight store's start rate allows another load.
    fn is_store_load_allowed(&mut self, engine: &WorkerCapacity, now: Time) -> bool {
        let interval = engine.start_interval;
        if interval >= MAX_TIME {
            return false;
        }
        self.store_load_starts
            .retain(|start| now < *start + interval);
        self.store_load_starts.is_empty()
    }

    /// Adds the demand for a model and returns its moving averages.
    fn update_demand(&mut self, model: &ModelId, total: &Total, now: Time) -> MeanDemand {
        let mean = self.mean_demand.entry(model.clone());
        let mean = mean.or_insert_with(|| MeanDemand {
            rate: ArrivalRate::new(0, now),
            load: RunningMean::new(now),
        });
        mean.rate.update(total.arrivals, now);
        mean.load
            .update(f64::from(total.waiting + total.running), now);
        *mean
    }
}

impl TermState {
    /// Handles the outcome of an order to a worker that counts its orders.
    pub(crate) fn on_hosted_order_done(
        &mut self,
        order: &Order,
        outcome: &Outcome,
        ctx: &mut Context,
    ) {
        let worker_orders = self.hosting.workers.get_mut(&order.target);
        let Some(worker_orders) = worker_orders.filter(|it| it.incarnation == order.incarnation)
        else {
            return;
        };
        worker_orders.on_outcome(order, outcome, ctx.now);
        self.hosting.plan_requested = true;
        self.publish_hosted(&order.target, ctx.now);
        self.plan_hosted(ctx);
    }

    /// Sends a worker no orders and no inspections from this host for a time.
    pub(crate) fn on_target_paused(
        &mut self,
        target: &TargetId,
        incarnation: Incarnation,
        pause: Time,
        ctx: &Context,
    ) {
        let worker_orders = self.hosting.workers.get_mut(target);
        let worker_orders = worker_orders.filter(|known| known.incarnation == incarnation);
        if let Some(worker_orders) = worker_orders {
            worker_orders.wants_none_until = ctx.now + pause;
        }
    }

    /// Handles the result of an inspection; `None` if the worker did not answer.
    pub(crate) fn on_inspected(
        &mut self,
        target: &TargetId,
        incarnation: Incarnation,
        inspection: Option<&Inspection>,
        ctx: &mut Context,
    ) {
        let worker_orders = self.hosting.workers.get_mut(target);
        let Some(worker_orders) =
            worker_orders.filter(|worker_orders| worker_orders.incarnation == incarnation)
        else {
            return;
        };
        worker_orders.on_inspection_done(inspection.is_some());
        worker_orders.paused_until = ctx.now + REFUSED_BACKOFF;
        if inspection.is_some_and(|inspection| inspection.busy) {
            worker_orders.paused_until = ctx.now + BUSY_BACKOFF;
        }
        if let Some(inspection) = inspection.filter(|inspection| !inspection.busy) {
            worker_orders.accepted = Some(inspection.orders);
            worker_orders.in_flight = None;
            worker_orders.paused_until = ctx.now;
            worker_orders.replace_recent(&inspection.inventory, ctx.now);
            if let Some(last_heartbeat) = self
                .workers
                .get_mut(target)
                .and_then(|it| it.last_heartbeat.as_mut())
            {
                last_heartbeat
                    .inventory
                    .retain(|copy| copy.stage != Stage::Ready);
                last_heartbeat
                    .inventory
                    .extend(inspection.inventory.iter().cloned());
            }
        }
        self.hosting.plan_requested = true;
        self.publish_hosted(target, ctx.now);
        self.plan_hosted(ctx);
    }

    /// Proposes to record what a worker holds, if that has changed.
    pub(crate) fn propose_held(&mut self, target: &TargetId, ctx: &mut Context) {
        let Some(known) = ctx.state.fleet().get(target) else {
            return;
        };
        let last_heartbeat = self
            .workers
            .get(target)
            .and_then(|worker| worker.last_heartbeat.as_ref());
        let Some(last_heartbeat) = last_heartbeat else {
            return;
        };
        let ready = last_heartbeat
            .inventory
            .iter()
            .filter(|it| it.stage == Stage::Ready);
        let models: Vec<Reference> = ready.map(|copy| copy.model.clone()).collect();
        if models != known.held {
            let command = Command::RecordHeld {
                target: target.clone(),
                incarnation: known.announcement.incarnation,
                models,
            };
            self.pending.propose(command, ctx);
        }
    }

    /// Publishes the copies on a worker that counts its orders.
    pub(crate) fn publish_hosted(&mut self, target: &TargetId, now: Time) {
        let Some(worker) = self.workers.get_mut(target) else {
            return;
        };
        let before = worker.observed.clone();
        let hosting = &self.hosting;
        let pending_load = hosting.pending_load(target);
        if worker.observe(
            target,
            |copy| hosting.copy_status(target, copy),
            pending_load,
            now,
        ) {
            let observed = worker.observed.clone();
            self.publish_observed(&before, observed);
        }
    }

    /// Runs the placement policy, sends the resulting orders and inspects workers whose state is
    /// unknown.
    pub(crate) fn plan_hosted(&mut self, ctx: &mut Context) {
        let Some(table) = ctx.state.current_table().table().cloned() else {
            return;
        };
        let next_plan = self.hosting.last_plan + self.hosting.plan_interval();
        if !self.hosting.plan_requested || ctx.now < next_plan {
            return;
        }
        self.hosting.plan_requested = false;
        self.hosting.last_plan = ctx.now;
        self.inspect_workers(ctx);
        let totals = self.demand.totals();
        for (service, engine) in table.engines() {
            self.plan_hosted_service(&table, &service.name, engine, &totals, ctx);
        }
    }

    /// Runs the placement policy of one service and sends the resulting orders.
    fn plan_hosted_service(
        &mut self,
        table: &RouteTable,
        service: &Name,
        engine: &WorkerCapacity,
        totals: &BTreeMap<ModelId, Total>,
        ctx: &mut Context,
    ) {
        let models = self.hosting.models(table, service, engine);
        let mut demand = BTreeMap::new();
        for id in models.keys() {
            let total = totals.get(id).cloned().unwrap_or_default();
            let mean = self.hosting.update_demand(id, &total, ctx.now);
            demand.insert(
                id.clone(),
                ModelDemand {
                    waiting: total.waiting,
                    running: total.running,
                    load: mean.load.value(),
                    rate: mean.rate.per_second(),
                    time_to_deadline: total.time_to_deadline,
                    weight: total.weight,
                    adapters: total.adapters,
                },
            );
        }
        let workers = self.policy_workers(service, ctx);
        let store_loads_in_flight = self
            .hosting
            .workers
            .values()
            .filter(|it| it.is_loading_from_store())
            .count();
        let service_state = ServiceState {
            engine,
            models: &models,
            workers,
            demand,
            store_loads_in_flight: u32::try_from(store_loads_in_flight).unwrap_or(u32::MAX),
            store_open: self.is_storage_known(ctx)
                && self.hosting.is_store_load_allowed(engine, ctx.now),
        };
        let policy = self.hosting.policies.entry(service.clone()).or_default();
        let steps = policy.plan(&service_state);
        let store_only = service_state.store_only_models().into_iter().cloned();
        let store_only = store_only.map(|id| (models[&id].from_store, id));
        let store_only = store_only.map(|(load_time, id)| (id, load_time)).collect();
        drop(service_state);
        if self.is_storage_known(ctx) {
            self.publish_store_only(service, store_only);
        }
        for step in steps {
            self.send_hosted_order(&models, step, ctx);
        }
    }

    /// Publishes changes to the set of models that only the weight store holds.
    fn publish_store_only(&mut self, service: &Name, store_only: BTreeMap<ModelId, Time>) {
        let known = self.hosting.store_only.entry(service.clone()).or_default();
        for model in known
            .keys()
            .filter(|model| !store_only.contains_key(*model))
        {
            self.feed.push(cold_start_change(model, Time::ZERO), true);
        }
        for (model, load_time) in &store_only {
            if known.get(model) != Some(load_time) {
                self.feed.push(cold_start_change(model, *load_time), true);
            }
        }
        *known = store_only;
    }

    /// Returns whether every open worker that counts its orders has reported its local storage to
    /// this leader, or the time to wait for the reports has passed.
    ///
    /// A model that no worker is known to have on local storage is loaded from the weight store,
    /// which is slow.
    fn is_storage_known(&self, ctx: &Context) -> bool {
        let silent = |target: &TargetId| {
            let worker = self.workers.get(target);
            worker.is_some_and(|worker| worker.is_open() && worker.sequence() == 0)
        };
        let mut hosted = self.hosting.workers.keys();
        ctx.now >= self.since + STORAGE_REPORT_TIMEOUT || !hosted.any(silent)
    }

    /// Returns the workers of a service as the policy sees them.
    fn policy_workers(&self, service: &Name, ctx: &Context) -> Vec<hosting::Worker> {
        let fleet = ctx.state.fleet();
        let workers = self.hosting.workers.iter();
        let workers = workers.filter_map(|(target, worker_orders)| {
            let known = fleet.get_incarnation(target, worker_orders.incarnation)?;
            let announcement = &known.announcement;
            let worker = self.workers.get(target)?;
            let last_heartbeat = worker.last_heartbeat.as_ref()?;
            let serves = announcement.services.contains(service);
            serves.then(|| hosting::Worker {
                target: target.clone(),
                region: announcement.region.clone(),
                held: held(last_heartbeat, worker_orders),
                local_copies: worker_orders.fastest_tiers.clone(),
                loading: worker_orders.loading_model().cloned(),
                // Before its first heartbeat to this leader, the worker's local storage is unknown.
                time_until_free: worker_orders
                    .time_until_free(ctx.now)
                    .filter(|_| last_heartbeat.sequence > 0),
                open: !known.leaving && worker.is_open(),
            })
        });
        workers.collect()
    }

    /// Sends one order.
    fn send_hosted_order(&mut self, models: &Models, step: PlannedOrder, ctx: &mut Context) {
        let now = ctx.now;
        let Some(worker_orders) = self.hosting.workers.get_mut(&step.target) else {
            return;
        };
        let (action, load_time) = match &step.action {
            Action::Load { model, from } => {
                let Some(known) = models.get(model) else {
                    return;
                };
                let bytes = known.bytes;
                let load_time = match from {
                    Stage::Memory => known.from_memory,
                    Stage::Disk => known.from_disk,
                    _ => known.from_store,
                };
                if *from < Stage::Disk {
                    self.hosting.store_load_starts.push(now);
                }
                let model = Reference::base(model.clone());
                (order::Action::Load { model, bytes }, load_time)
            }
            Action::Unload { model } => {
                let model = Reference::base(model.clone());
                (order::Action::Unload { model }, Time::ZERO)
            }
            Action::Adapter { model, adapter } => {
                let model = with_adapter(model, adapter);
                (order::Action::Adapter { model }, Time::ZERO)
            }
            Action::DropAdapter { model, adapter } => {
                let model = with_adapter(model, adapter);
                (order::Action::DropAdapter { model }, Time::ZERO)
            }
        };
        let order = Order {
            fence: self.term,
            target: step.target.clone(),
            incarnation: worker_orders.incarnation,
            replica: 0,
            after: worker_orders.accepted,
            action,
        };
        ctx.out.push(Output::PlacementStep(step.clone()));
        if matches!(step.action, Action::Load { .. } | Action::Adapter { .. }) {
            // Counts as held from now on: whether the order arrived is known only later.
            worker_orders.record(&step.action, false, now);
        }
        worker_orders.in_flight = Some(InFlightOrder {
            order: order.clone(),
            action: step.action,
            due: now + load_time,
            accepted: false,
        });
        ctx.out.push(Output::Order(order));
        self.publish_hosted(&step.target, now);
    }

    /// Inspects workers whose accepted count is unknown or whose order is overdue.
    fn inspect_workers(&mut self, ctx: &mut Context) {
        let now = ctx.now;
        let mut allowed = self.hosting.inspections_allowed(now);
        for (target, worker_orders) in &mut self.hosting.workers {
            if allowed == 0 {
                return;
            }
            let loadable = self.workers.get(target).is_some_and(Worker::is_loadable);
            let overdue = worker_orders.in_flight.as_ref();
            let overdue = overdue
                .is_some_and(|in_flight| in_flight.accepted && now > in_flight.due + OVERDUE_GRACE);
            let unknown = worker_orders.in_flight.is_none() && worker_orders.accepted.is_none();
            if !loadable
                || worker_orders.is_inspected(now)
                || worker_orders.pause(now) > Time::ZERO
                || !(overdue || unknown)
            {
                continue;
            }
            worker_orders.inspected = Some(now);
            allowed -= 1;
            ctx.out.push(Output::Inspect {
                target: target.clone(),
                incarnation: worker_orders.incarnation,
            });
        }
    }
}

/// Builds the change that publishes the load time of a model that no target has on local storage;
/// zero if a target has it.
fn cold_start_change(model: &ModelId, load_time: Time) -> Change {
    let ms = u32::try_from(load_time.as_millis()).unwrap_or(u32::MAX);
    Change::ColdStartEstimate(model.clone(), ms)
}

/// Returns the reference to a model with an adapter.
fn with_adapter(model: &ModelId, adapter: &Name) -> Reference {
    Reference {
        adapter: Some(adapter.clone()),
        ..Reference::base(model.clone())
    }
}
