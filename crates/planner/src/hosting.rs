//! Which models the workers of a service hold, where each worker takes one order at a time.
//!
//! The load that this answers: many models of which most are asked for every few seconds, more of
//! them than fit into accelerator memory, while the workers' disks hold several copies of each. A
//! load from a disk takes well under a second, so what counts is that a request for a model that
//! nobody holds finds a worker which has it near and gives up little for it, and that the models
//! asked for most keep as many copies as their load needs.

mod mean;
mod round;
mod scene;

use std::collections::{BTreeMap, BTreeSet};

use cornelhitch_types::id::{ModelId, Name, TargetId};
use cornelhitch_types::target::Stage;
use strum::Display;

pub use self::mean::{Mean, Rate};
use self::round::{Offer, Round, STORE_LANES, SWAMPED, cheapest};
use self::scene::load;
pub use self::scene::{Held, Scene, Wish, Worker};

/// Requests on one copy beyond which another copy is wanted.
const CROWDED: f64 = 4.0;

/// Requests a second for a model that only the weight store has, from which on it is fetched: one in
/// the last 20 s.
const ASKED: f64 = 0.02;

/// The most that may be lost for another copy of a crowded model.
const RELIEF_COST: f64 = 4.0;

/// Loads from the weight store at once for models that nobody waits for.
const STORE_SPARE: u32 = 1;

/// An order to one worker, and what decided it.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// The worker.
    pub target: TargetId,
    /// What to do.
    pub action: Action,
    /// Why.
    pub reason: Reason,
    /// The demand for the model that the order is about.
    pub wish: Wish,
    /// The copies of that model that take requests or will soon.
    pub copies: u32,
}

/// What a worker shall do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Load a model from where its weights are nearest.
    Load {
        /// The model.
        model: ModelId,
        /// Where from.
        from: Stage,
    },
    /// Unload a model.
    Unload {
        /// The model.
        model: ModelId,
    },
    /// Load an adapter onto a model.
    Adapter {
        /// The model.
        model: ModelId,
        /// The adapter.
        adapter: Name,
    },
    /// Unload an adapter.
    DropAdapter {
        /// The model.
        model: ModelId,
        /// The adapter.
        adapter: Name,
    },
}

impl Action {
    /// The model that it is about.
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

/// Why an order is given.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// Requests wait and nothing holds the model, or its adapter.
    Waiting,
    /// The copies of the model have more requests than they run well together.
    Overloaded,
    /// It makes room for another model or adapter.
    Room,
    /// There is room, and the model is expected to be asked for.
    Expected,
}

/// Decides which models workers hold.
///
/// ```
/// use cornelhitch_planner::hosting::Policy;
///
/// assert!(Policy::default().rooms().is_empty());
/// ```
#[derive(Debug, Default)]
pub struct Policy {
    /// The model for which a worker makes room.
    rooms: BTreeMap<TargetId, Plan>,
}

/// A load that is to follow once there is room.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Plan {
    /// The model.
    model: ModelId,
    /// Why.
    reason: Reason,
}

impl Policy {
    /// The workers that make room for a model.
    #[must_use]
    pub fn rooms(&self) -> BTreeSet<&TargetId> {
        self.rooms.keys().collect()
    }

    /// The next orders, at most one a worker.
    #[must_use]
    pub fn plan(&mut self, scene: &Scene) -> Vec<Step> {
        let mut round = Round {
            scene,
            copies: scene.copies(),
            free: scene.workers.iter().map(Worker::is_free).collect(),
            steps: Vec::new(),
            fetching: scene.fetching,
            store_open: scene.store_open,
        };
        let distant = scene.distant();
        self.go_on(&mut round);
        self.serve(&mut round, &distant);
        round.adapters();
        self.relieve(&mut round);
        self.fetch(&mut round, &distant);
        self.fill(&mut round);
        round.steps
    }

    /// Goes on with loads that waited for room.
    fn go_on(&mut self, round: &mut Round) {
        let plans = std::mem::take(&mut self.rooms);
        for (target, plan) in plans {
            let at = round
                .scene
                .workers
                .iter()
                .position(|it| it.target == target);
            let Some(at) = at.filter(|at| round.scene.workers[*at].open) else {
                continue;
            };
            if round.copies(&plan.model) > 0 && plan.reason != Reason::Overloaded {
                continue;
            }
            if !round.free[at] {
                self.rooms.insert(target, plan);
                continue;
            }
            if let Some(offer) = round.offer(at, &plan.model) {
                self.take(round, offer, plan);
            }
        }
    }

    /// Gives models that are waited for and that nothing holds a worker, where one has them near.
    fn serve(&mut self, round: &mut Round, distant: &BTreeSet<&ModelId>) {
        let wishes = round.scene.wishes.iter();
        let wishes = wishes.filter(|(model, wish)| wish.waiting > 0 && round.copies(model) == 0);
        let mut wanted: Vec<(&ModelId, &Wish)> = wishes
            .filter(|(model, _)| !self.is_planned(model) && !distant.contains(model))
            .collect();
        wanted.sort_by_key(|(_, wish)| wish.slack);
        for (model, _) in wanted {
            self.get(round, model);
        }
    }

    /// Fetches models that only the weight store has.
    ///
    /// Such a load lasts longer than most requests can wait, so it is for those to come, and the
    /// model that most of them ask for goes first.
    fn fetch(&mut self, round: &mut Round, distant: &BTreeSet<&ModelId>) {
        let wishes = distant.iter().filter_map(|model| {
            let wish = round.scene.wishes.get(*model)?;
            Some((*model, wish))
        });
        let mut wanted: Vec<(&ModelId, &Wish)> = wishes
            .filter(|(model, wish)| wish.rate > ASKED && !self.is_planned(model))
            .collect();
        wanted.sort_by(|one, other| other.1.rate.total_cmp(&one.1.rate));
        for (model, _) in wanted {
            if round.fetching >= STORE_LANES || !round.store_open {
                return;
            }
            self.get(round, model);
        }
    }

    /// Gives a model the worker to which it costs the least, once that one takes an order.
    ///
    /// Where a worker that is busy has the weights near, waiting for it is the shortest way.
    fn get(&mut self, round: &mut Round, model: &ModelId) {
        let offer = round.best(model).filter(|offer| round.free[offer.at]);
        if let Some(offer) = offer {
            let plan = Plan {
                model: model.clone(),
                reason: Reason::Waiting,
            };
            self.take(round, offer, plan);
        }
    }

    /// Gives models whose copies have too many requests another one.
    fn relieve(&mut self, round: &mut Round) {
        for (model, wish) in &round.scene.wishes {
            let copies = round.copies(model);
            let crowd = load(wish, copies);
            // No more copies come at once than there are, so that their effect shows.
            let enough = round.scene.coming(model) * 2 >= copies;
            if enough || crowd <= CROWDED || self.is_planned(model) {
                continue;
            }
            let offers = round.free_offers(model).filter(|offer| {
                let fetched = crowd > SWAMPED;
                offer.loss < RELIEF_COST && (offer.from >= Stage::Disk || fetched)
            });
            if let Some(offer) = cheapest(offers) {
                let plan = Plan {
                    model: model.clone(),
                    reason: Reason::Overloaded,
                };
                self.take(round, offer, plan);
            }
        }
    }

    /// Uses room that is left: for models that nothing holds, then for those with the fewest
    /// copies near.
    fn fill(&mut self, round: &mut Round) {
        let mut roomy = round.roomy();
        if roomy.is_empty() {
            return;
        }
        let near = round.scene.nearby();
        // What is waited for goes where it is served the soonest, even if that worker is busy now.
        let waited = |model| {
            let wish = round.scene.wishes.get(model);
            round.copies(model) == 0 && wish.is_some_and(|wish| wish.waiting > 0)
        };
        let models = round.scene.models.keys();
        let models = models.filter(|model| !self.is_planned(model) && !waited(model));
        let mut models: Vec<(&ModelId, (u32, usize, u64))> = models
            .map(|model| {
                let copies = round.copies(model).min(1);
                let nearby = near.get(model).copied().unwrap_or(0);
                (model, (copies, nearby, round.scene.calm(model)))
            })
            .collect();
        models.sort_by_key(|(_, order)| *order);
        for (model, _) in models {
            let offers = roomy.iter().filter_map(|at| round.offer(*at, model));
            let offers = offers.filter(|offer| offer.victim.is_none());
            let Some(offer) = cheapest(offers) else {
                continue;
            };
            if offer.from >= Stage::Disk || round.fetching < STORE_SPARE {
                let plan = Plan {
                    model: model.clone(),
                    reason: Reason::Expected,
                };
                roomy.retain(|at| *at != offer.at);
                self.take(round, offer, plan);
            }
            if roomy.is_empty() {
                return;
            }
        }
    }

    /// Takes an offer: loads, or makes room first.
    fn take(&mut self, round: &mut Round, offer: Offer, plan: Plan) {
        let target = round.scene.workers[offer.at].target.clone();
        if let Some(model) = offer.victim {
            round.give(offer.at, Action::Unload { model }, Reason::Room);
            self.rooms.insert(target, plan);
            return;
        }
        if offer.from < Stage::Disk {
            round.fetching += 1;
            round.store_open = false;
        }
        let (model, from) = (plan.model, offer.from);
        round.give(offer.at, Action::Load { model, from }, plan.reason);
    }

    /// Whether a worker makes room for a model.
    fn is_planned(&self, model: &ModelId) -> bool {
        self.rooms.values().any(|plan| plan.model == *model)
    }
}
