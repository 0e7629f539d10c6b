//! Orders to workers that count the orders they accept: one at a time, each conditional on the
//! number accepted before it.
//!
//! Such a worker refuses an order whose expected count differs from its own. An order whose answer
//! was lost can therefore take effect only before the next one is accepted, and no memory has to be
//! reserved in the log: what a worker holds follows from its heartbeats and the orders it accepted.

mod station;

use std::collections::BTreeMap;
use std::sync::Arc;

use cornelhitch_planner::hosting::{self, Action, Mean, Policy, Rate, Scene, Step, Wish};
use cornelhitch_types::id::{Incarnation, ModelId, Name, TargetId, Time, Version};
use cornelhitch_types::model::Reference;
use cornelhitch_types::order::{self, Order, Outcome};
use cornelhitch_types::route::{Engine, Model, Table};
use cornelhitch_types::target::{Holding, Inspection, Stage};
use cornelhitch_types::view::{Change, State};

use self::station::{BACKOFF, Given, Station, held};
use crate::command::Command;
use crate::levels::Total;
use crate::output::Output;
use crate::reign::Reign;
use crate::turn::Turn;
use crate::workers::{Beat, Coming, Worker};

/// Backoff for a worker that is busy with an order unknown to this leader.
const BUSY: Time = Time::from_millis(700);

/// How far an accepted order may be overdue before the worker is inspected.
const PATIENCE: Time = Time::from_millis(1_500);

/// How long an inspection may take before it is repeated.
const INSPECTION: Time = Time::from_secs(2);

/// How long a new leader waits for workers to report which models they have on local storage.
const SURVEY: Time = Time::from_secs(4);

/// The minimum interval between two plans.
const PAUSE: Time = Time::from_millis(40);

/// Moving averages of the demand for a model.
#[derive(Debug, Clone, Copy)]
struct Pace {
    /// The arrival rate.
    rate: Rate,
    /// Requests that wait or are in progress.
    load: Mean,
}

/// The models of a service by id.
type Models = Arc<BTreeMap<ModelId, Model>>;

/// The state of all workers that count their orders, and of the demand for their models.
#[derive(Debug, Default)]
pub(crate) struct Hosting {
    stations: BTreeMap<TargetId, Station>,
    policies: BTreeMap<Name, Policy>,
    paces: BTreeMap<ModelId, Pace>,
    /// The models of each service, for one version of the route table.
    models: (Version, BTreeMap<Name, Models>),
    /// For each service, the models that only the weight store holds, with their load time.
    distant: BTreeMap<Name, BTreeMap<ModelId, Time>>,
    /// When loads from the weight store were started, newest last.
    starts: Vec<Time>,
    planned: Time,
    /// Whether a change calls for a plan.
    eager: bool,
}

impl Hosting {
    /// Records the registration of an incarnation; `new` if it was registered in this term.
    pub(crate) fn register(&mut self, target: &TargetId, incarnation: Incarnation, new: bool) {
        let known = self.stations.get(target);
        if known.is_none_or(|known| known.incarnation != incarnation) {
            let station = Station::new(incarnation, new);
            self.stations.insert(target.clone(), station);
        }
        self.eager = true;
    }

    /// Removes a worker.
    pub(crate) fn forget(&mut self, target: &str) {
        self.stations.remove(target);
    }

    /// Requests a plan.
    pub(crate) fn hurry(&mut self) {
        self.eager = true;
    }

    /// Handles a heartbeat.
    pub(crate) fn beat(&mut self, target: &str, beat: &Beat, now: Time) {
        if let Some(station) = self.stations.get_mut(target) {
            station.beat(beat, now);
        }
        self.eager = true;
    }

    /// Returns the adapters of a copy, and whether it takes requests.
    pub(crate) fn shown(&self, target: &str, holding: &Holding) -> (Vec<Name>, State) {
        let Some(station) = self.stations.get(target) else {
            return (holding.adapters.clone(), State::Ready);
        };
        let state = if station.unloads(&holding.model.model) {
            State::Retiring
        } else {
            State::Ready
        };
        (station.adapters(holding, true), state)
    }

    /// Returns the model that a worker loads from the weight store, and when it is due.
    ///
    /// Such a load takes longer than many requests can wait, so entry hosts have to know of it.
    fn coming(&self, target: &str) -> Option<Coming> {
        let station = self.stations.get(target)?;
        let given = station.given.as_ref().filter(|_| station.fetches())?;
        let model = given.action.model().clone();
        let due = given.due;
        Some(Coming { model, due })
    }

    /// Returns the models that only the weight store holds, for an entry host without a view.
    pub(crate) fn outlooks(&self) -> impl Iterator<Item = Change> {
        let all = self.distant.values().flatten();
        all.map(|(model, lasts)| outlook(model, *lasts))
    }

    /// Returns the models of a service, cached for one version of the table.
    fn models(&mut self, table: &Table, service: &Name, engine: &Engine) -> Models {
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
    fn store_open(&mut self, engine: &Engine, now: Time) -> bool {
        let interval = engine.start_interval;
        self.starts.retain(|start| now < *start + interval);
        self.starts.is_empty()
    }

    /// Adds the demand for a model and returns its moving averages.
    fn pace(&mut self, model: &ModelId, total: &Total, now: Time) -> Pace {
        let pace = self.paces.entry(model.clone());
        let pace = pace.or_insert_with(|| Pace {
            rate: Rate::new(0, now),
            load: Mean::new(now),
        });
        pace.rate.count(total.arrivals, now);
        pace.load
            .take(f64::from(total.waiting + total.running), now);
        *pace
    }
}

impl Reign {
    /// Handles the outcome of an order to a worker that counts its orders.
    pub(crate) fn hosted_done(&mut self, order: &Order, outcome: &Outcome, turn: &mut Turn) {
        let station = self.hosting.stations.get_mut(&order.target);
        let Some(station) = station.filter(|it| it.incarnation == order.incarnation) else {
            return;
        };
        station.done(order, outcome, turn.now);
        self.hosting.eager = true;
        self.show_hosted(&order.target, turn.now);
        self.host(turn);
    }

    /// Handles the result of an inspection; `None` if the worker did not answer.
    pub(crate) fn inspected(
        &mut self,
        target: &TargetId,
        life: Incarnation,
        inspection: Option<&Inspection>,
        turn: &mut Turn,
    ) {
        let station = self.hosting.stations.get_mut(target);
        let Some(station) = station.filter(|station| station.incarnation == life) else {
            return;
        };
        station.asked(inspection.is_some());
        station.pause = turn.now + BACKOFF;
        if inspection.is_some_and(|inspection| inspection.busy) {
            station.pause = turn.now + BUSY;
        }
        if let Some(inspection) = inspection.filter(|inspection| !inspection.busy) {
            station.accepted = Some(inspection.orders);
            station.given = None;
            station.pause = turn.now;
            station.recount(&inspection.inventory, turn.now);
            if let Some(beat) = self.workers.get_mut(target).and_then(|it| it.beat.as_mut()) {
                beat.inventory
                    .retain(|holding| holding.stage != Stage::Ready);
                beat.inventory.extend(inspection.inventory.iter().cloned());
            }
        }
        self.hosting.eager = true;
        self.show_hosted(target, turn.now);
        self.host(turn);
    }

    /// Proposes to record what a worker holds, if that has changed.
    pub(crate) fn note_held(&mut self, target: &TargetId, turn: &mut Turn) {
        let Some(known) = turn.state.fleet().get(target) else {
            return;
        };
        let beat = self
            .workers
            .get(target)
            .and_then(|worker| worker.beat.as_ref());
        let Some(beat) = beat else {
            return;
        };
        let ready = beat.inventory.iter().filter(|it| it.stage == Stage::Ready);
        let models: Vec<Reference> = ready.map(|holding| holding.model.clone()).collect();
        if models != known.held {
            let command = Command::Hold {
                target: target.clone(),
                incarnation: known.announcement.incarnation,
                models,
            };
            self.pending.propose(command, turn);
        }
    }

    /// Publishes the copies on a worker that counts its orders.
    pub(crate) fn show_hosted(&mut self, target: &TargetId, now: Time) {
        let Some(worker) = self.workers.get_mut(target) else {
            return;
        };
        let before = worker.observed.clone();
        let hosting = &self.hosting;
        let coming = hosting.coming(target);
        if worker.observe(
            target,
            |holding| hosting.shown(target, holding),
            coming,
            now,
        ) {
            let observed = worker.observed.clone();
            self.publish_observed(&before, observed);
        }
    }

    /// Sends the orders that are due, and inspects workers whose state is unknown.
    pub(crate) fn host(&mut self, turn: &mut Turn) {
        let Some(table) = turn.state.document().table().cloned() else {
            return;
        };
        if !self.hosting.eager || turn.now < self.hosting.planned + PAUSE {
            return;
        }
        self.hosting.eager = false;
        self.hosting.planned = turn.now;
        self.inspect(turn);
        let totals = self.levels.totals();
        for (service, engine) in table.engines() {
            self.host_service(&table, &service.name, engine, &totals, turn);
        }
    }

    /// Sends the orders that are due to the workers of one service.
    fn host_service(
        &mut self,
        table: &Table,
        service: &Name,
        engine: &Engine,
        totals: &BTreeMap<ModelId, Total>,
        turn: &mut Turn,
    ) {
        let models = self.hosting.models(table, service, engine);
        let mut wishes = BTreeMap::new();
        for id in models.keys() {
            let total = totals.get(id).cloned().unwrap_or_default();
            let pace = self.hosting.pace(id, &total, turn.now);
            wishes.insert(
                id.clone(),
                Wish {
                    waiting: total.waiting,
                    running: total.running,
                    load: pace.load.value(),
                    rate: pace.rate.per_second(),
                    slack: total.slack,
                    weight: total.weight,
                    adapters: total.adapters,
                },
            );
        }
        let workers = self.hosts_of(service, turn);
        let fetching = self
            .hosting
            .stations
            .values()
            .filter(|it| it.fetches())
            .count();
        let scene = Scene {
            engine,
            models: &models,
            workers,
            wishes,
            fetching: u32::try_from(fetching).unwrap_or(u32::MAX),
            store_open: self.is_surveyed(turn) && self.hosting.store_open(engine, turn.now),
        };
        let policy = self.hosting.policies.entry(service.clone()).or_default();
        let steps = policy.plan(&scene);
        let distant = scene.distant().into_iter().cloned();
        let distant = distant.map(|id| (models[&id].from_store, id));
        let distant = distant.map(|(lasts, id)| (id, lasts)).collect();
        drop(scene);
        if self.is_surveyed(turn) {
            self.show_distant(service, distant);
        }
        for step in steps {
            self.give(&models, step, turn);
        }
    }

    /// Publishes changes to the set of models that only the weight store holds.
    fn show_distant(&mut self, service: &Name, distant: BTreeMap<ModelId, Time>) {
        let known = self.hosting.distant.entry(service.clone()).or_default();
        for model in known.keys().filter(|model| !distant.contains_key(*model)) {
            self.feed.push(outlook(model, Time::ZERO), true);
        }
        for (model, lasts) in &distant {
            if known.get(model) != Some(lasts) {
                self.feed.push(outlook(model, *lasts), true);
            }
        }
        *known = distant;
    }

    /// Returns whether each worker has told this leader what it has on local storage, or the time
    /// to wait for that has passed.
    ///
    /// A model that no worker is known to have on local storage is loaded from the weight store,
    /// which is slow.
    fn is_surveyed(&self, turn: &Turn) -> bool {
        let silent = |target: &TargetId| {
            let worker = self.workers.get(target);
            worker.is_some_and(|worker| worker.is_open() && worker.sequence() == 0)
        };
        let mut hosted = self.hosting.stations.keys();
        turn.now >= self.since + SURVEY || !hosted.any(silent)
    }

    /// Returns the workers of a service as the policy sees them.
    fn hosts_of(&self, service: &Name, turn: &Turn) -> Vec<hosting::Worker> {
        let fleet = turn.state.fleet();
        let stations = self.hosting.stations.iter();
        let workers = stations.filter_map(|(target, station)| {
            let known = fleet.alive(target, station.incarnation)?;
            let announcement = &known.announcement;
            let worker = self.workers.get(target)?;
            let beat = worker.beat.as_ref()?;
            let serves = announcement.services.contains(service);
            serves.then(|| hosting::Worker {
                target: target.clone(),
                region: announcement.region.clone(),
                held: held(beat, station),
                near: station.near.clone(),
                coming: station.coming().cloned(),
                // Before its first heartbeat to this leader, the worker's local storage is unknown.
                free_in: station.free_in(turn.now).filter(|_| beat.sequence > 0),
                open: !known.leaving && worker.is_open(),
            })
        });
        workers.collect()
    }

    /// Sends one order.
    fn give(&mut self, models: &Models, step: Step, turn: &mut Turn) {
        let now = turn.now;
        let Some(station) = self.hosting.stations.get_mut(&step.target) else {
            return;
        };
        let (action, lasts) = match &step.action {
            Action::Load { model, from } => {
                let Some(known) = models.get(model) else {
                    return;
                };
                let bytes = known.bytes;
                let lasts = match from {
                    Stage::Memory => known.from_memory,
                    Stage::Disk => known.from_disk,
                    _ => known.from_store,
                };
                if *from < Stage::Disk {
                    self.hosting.starts.push(now);
                }
                let model = Reference::base(model.clone());
                (order::Action::Load { model, bytes }, lasts)
            }
            Action::Unload { model } => {
                let model = Reference::base(model.clone());
                (order::Action::Unload { model }, Time::ZERO)
            }
            Action::Adapter { model, adapter } => {
                let model = with(model, adapter);
                (order::Action::Adapter { model }, Time::ZERO)
            }
            Action::DropAdapter { model, adapter } => {
                let model = with(model, adapter);
                (order::Action::DropAdapter { model }, Time::ZERO)
            }
        };
        let order = Order {
            fence: self.term,
            target: step.target.clone(),
            incarnation: station.incarnation,
            replica: 0,
            after: station.accepted,
            action,
        };
        turn.out.push(Output::Decided(step.clone()));
        if matches!(step.action, Action::Load { .. } | Action::Adapter { .. }) {
            // Counts as held from now on: whether the order arrived is known only later.
            station.note(&step.action, false, now);
        }
        station.given = Some(Given {
            order: order.clone(),
            action: step.action,
            due: now + lasts,
            accepted: false,
        });
        turn.out.push(Output::Order(order));
        self.show_hosted(&step.target, now);
    }

    /// Inspects workers whose accepted count is unknown or whose order is overdue.
    fn inspect(&mut self, turn: &mut Turn) {
        let now = turn.now;
        for (target, station) in &mut self.hosting.stations {
            let heard = self.workers.get(target).is_some_and(Worker::is_loadable);
            let late = station.given.as_ref();
            let late = late.is_some_and(|given| given.accepted && now > given.due + PATIENCE);
            let unknown = station.given.is_none() && station.accepted.is_none();
            let asked = station.inspected.is_some_and(|at| now < at + INSPECTION);
            if !heard || asked || station.pause > now || !(late || unknown) {
                continue;
            }
            station.inspected = Some(now);
            turn.out.push(Output::Inspect {
                target: target.clone(),
                incarnation: station.incarnation,
            });
        }
    }
}

/// Builds the change that announces how long a load takes where no target has the model on local
/// storage; zero where one has.
fn outlook(model: &ModelId, lasts: Time) -> Change {
    let ms = u32::try_from(lasts.as_millis()).unwrap_or(u32::MAX);
    Change::Outlook(model.clone(), ms)
}

/// Returns the reference to a model with an adapter.
fn with(model: &ModelId, adapter: &Name) -> Reference {
    Reference {
        adapter: Some(adapter.clone()),
        ..Reference::base(model.clone())
    }
}
