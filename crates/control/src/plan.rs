//! Runs the planner and carries out its decisions.

use std::collections::BTreeMap;

use cornelhitch_planner::Planner;
use cornelhitch_planner::decision::{Action, Decision};
use cornelhitch_types::id::{ModelId, Name, ReplicaId, TargetId};
use cornelhitch_types::model::Reference;
use cornelhitch_types::order;
use cornelhitch_types::view::State;

use crate::command::Command;
use crate::mutation::{self, Mutation};
use crate::orders::reference;
use crate::reign::{Adapter, Reign, Warming};
use crate::replicas::Decide;
use crate::turn::Turn;
use crate::workers::Worker;

/// Memory taken by the decisions of one plan, by worker, in bytes.
type Taken = BTreeMap<TargetId, u64>;

impl Reign {
    /// Runs the planner, if it is due.
    pub(crate) fn plan(&mut self, planner: &mut dyn Planner, turn: &mut Turn) {
        // Models of engines that count their orders are placed by `hosting`.
        let managed = !turn.state.catalogue().fleet().models.is_empty();
        if !managed || !self.is_plan_due(turn) {
            return;
        }
        self.planned = Some(turn.now);
        self.eager = false;
        let adapters = u32::try_from(self.adapters.len()).unwrap_or(u32::MAX);
        let picture = self.sketch.refresh(
            &self.workers,
            &mut self.tracks,
            &mut self.levels,
            adapters,
            turn,
        );
        let decisions = planner.plan(picture, turn.now);
        let mut taken = Taken::new();
        for decision in decisions {
            self.carry_out(decision, &mut taken, turn);
        }
    }

    /// Returns whether the planner may run now.
    fn is_plan_due(&self, turn: &Turn) -> bool {
        let wait = if self.eager {
            turn.timing.plan
        } else {
            turn.timing.replan
        };
        let due = self
            .planned
            .is_none_or(|planned| turn.now >= planned + wait);
        due && self.is_gathered(turn) && !self.pending.is_deciding(turn)
    }

    /// Proposes or orders what the planner decided.
    fn carry_out(&mut self, decision: Decision, taken: &mut Taken, turn: &mut Turn) {
        match decision.action {
            Action::Load {
                model,
                version,
                target,
                bytes,
            } => {
                let decide = Decide {
                    model,
                    version,
                    incarnation: self.workers.get(&target).map_or(0, |it| it.incarnation),
                    after: self.workers.get(&target).map_or(0, Worker::sequence),
                    target,
                    bytes,
                    adopted: false,
                };
                self.decide(decide, taken, turn);
            }
            Action::Unload { replica } => {
                let standing = turn.state.replicas().get(replica);
                if standing.is_some_and(|it| it.state != State::Retiring) {
                    self.pending.propose(Command::Retire { replica }, turn);
                }
            }
            Action::Adapter { replica, adapter } => self.load_adapter(replica, adapter, turn),
            Action::Warm { model, target } => self.warm(model, &target, turn),
        }
    }

    /// Proposes a replica, if models may be loaded on the worker and it has free memory besides
    /// copies that belong to no decided replica.
    fn decide(&mut self, decide: Decide, taken: &mut Taken, turn: &mut Turn) {
        let Some(worker) = self.workers.get(&decide.target) else {
            return;
        };
        let Some(known) = turn.state.fleet().get(&decide.target) else {
            return;
        };
        let sum = taken.entry(decide.target.clone()).or_default();
        let used = turn.state.replicas().reserved(&decide.target);
        let used = used.saturating_add(worker.unexplained());
        let used = used.saturating_add(*sum).saturating_add(decide.bytes);
        let room = used <= known.announcement.memory;
        if room && worker.is_loadable() && !worker.blocks(&decide.model, turn.now) {
            *sum = sum.saturating_add(decide.bytes);
            if mutation::is(Mutation::EarlyOrder) {
                let model = Reference::base(decide.model.clone());
                let bytes = decide.bytes;
                let next = turn.state.replicas().last() + 1;
                let action = order::Action::Load { model, bytes };
                self.order(&decide.target, next, action, turn);
            }
            self.pending.propose(Command::Decide(decide), turn);
        }
    }

    /// Orders an adapter to be loaded onto a ready replica.
    fn load_adapter(&mut self, replica: ReplicaId, name: Name, turn: &mut Turn) {
        let standing = turn.state.replicas().get(replica);
        let Some(standing) = standing.filter(|it| it.state == State::Ready) else {
            return;
        };
        let adapter = Adapter {
            replica,
            name: name.clone(),
        };
        let open = self.workers.get(&standing.target);
        let open = open.is_some_and(Worker::is_loadable);
        if !open || self.adapters.contains_key(&adapter) {
            return;
        }
        self.adapters.insert(adapter, turn.now);
        let model = Reference {
            adapter: Some(name),
            ..reference(standing)
        };
        let action = order::Action::Adapter { model };
        self.order(&standing.target, replica, action, turn);
    }

    /// Orders a model into a faster storage tier of a worker.
    fn warm(&mut self, model: ModelId, target: &TargetId, turn: &mut Turn) {
        let open = self.workers.get(target);
        let warming = Warming {
            target: target.clone(),
            model: model.clone(),
        };
        if open.is_some_and(Worker::is_loadable) && !self.warming.contains_key(&warming) {
            self.warming.insert(warming, turn.now);
            let model = Reference::base(model);
            self.order(target, 0, order::Action::Warm { model }, turn);
        }
    }
}
