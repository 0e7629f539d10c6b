//! Runs the planner and carries out its decisions.

use std::collections::BTreeMap;

use cornelhitch_planner::Planner;
use cornelhitch_planner::decision::{Action, Decision};
use cornelhitch_types::id::{ModelId, Name, ReplicaId, TargetId};
use cornelhitch_types::model::Reference;
use cornelhitch_types::order;
use cornelhitch_types::view::State;

use crate::command::Command;
use crate::context::Context;
use crate::mutation::{self, Mutation};
use crate::orders::reference;
use crate::replicas::Decide;
use crate::term_state::{Adapter, TermState, Warming};
use crate::workers::Worker;

/// Memory needed by the decisions of one plan, by worker, in bytes.
type PlannedMemory = BTreeMap<TargetId, u64>;

impl TermState {
    /// Runs the planner, if it is due.
    pub(crate) fn run_planner(&mut self, planner: &mut dyn Planner, ctx: &mut Context) {
        // Models of engines that count their orders are placed by `hosting`.
        let managed = !ctx.state.current_settings().fleet().models.is_empty();
        if !managed || !self.is_plan_due(ctx) {
            return;
        }
        self.last_plan = Some(ctx.now);
        self.plan_requested = false;
        let adapters = u32::try_from(self.adapters.len()).unwrap_or(u32::MAX);
        let fleet_state = self.planner_input.refresh(
            &self.workers,
            &mut self.replica_orders,
            &mut self.demand,
            adapters,
            ctx,
        );
        let decisions = planner.plan(fleet_state, ctx.now);
        let mut planned_memory = PlannedMemory::new();
        for decision in decisions {
            self.apply_decision(decision, &mut planned_memory, ctx);
        }
    }

    /// Returns whether the planner may run now.
    fn is_plan_due(&self, ctx: &Context) -> bool {
        let wait = if self.plan_requested {
            ctx.timing.min_plan_interval
        } else {
            ctx.timing.max_plan_interval
        };
        let due = self
            .last_plan
            .is_none_or(|planned| ctx.now >= planned + wait);
        due && self.all_targets_reported(ctx) && !self.pending.is_deciding(ctx)
    }

    /// Carries out the planner's decisions by proposing commands or sending orders.
    fn apply_decision(
        &mut self,
        decision: Decision,
        planned_memory: &mut PlannedMemory,
        ctx: &mut Context,
    ) {
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
                self.propose_load(decide, planned_memory, ctx);
            }
            Action::Unload { replica } => {
                let known = ctx.state.replicas().get(replica);
                if known.is_some_and(|it| it.state != State::Retiring) {
                    self.pending.propose(Command::Retire { replica }, ctx);
                }
            }
            Action::Adapter { replica, adapter } => self.order_adapter(replica, adapter, ctx),
            Action::Warm { model, target } => self.order_warm(model, &target, ctx),
        }
    }

    /// Proposes a replica, if models may be loaded on the worker and it has free memory besides
    /// copies that belong to no decided replica.
    fn propose_load(
        &mut self,
        decide: Decide,
        planned_memory: &mut PlannedMemory,
        ctx: &mut Context,
    ) {
        let Some(worker) = self.workers.get(&decide.target) else {
            return;
        };
        let Some(known) = ctx.state.fleet().get(&decide.target) else {
            return;
        };
        let sum = planned_memory.entry(decide.target.clone()).or_default();
        let used = ctx.state.replicas().reserved(&decide.target);
        let used = used.saturating_add(worker.orphan_bytes());
        let used = used.saturating_add(*sum).saturating_add(decide.bytes);
        let fits = used <= known.announcement.memory;
        if fits && worker.is_loadable() && !worker.is_load_blocked(&decide.model, ctx.now) {
            *sum = sum.saturating_add(decide.bytes);
            if mutation::is(Mutation::EarlyOrder) {
                let model = Reference::base(decide.model.clone());
                let bytes = decide.bytes;
                let next = ctx.state.replicas().last() + 1;
                let action = order::Action::Load { model, bytes };
                self.send_order(&decide.target, next, action, ctx);
            }
            self.pending.propose(Command::Decide(decide), ctx);
        }
    }

    /// Orders the load of an adapter onto a ready replica.
    fn order_adapter(&mut self, replica: ReplicaId, name: Name, ctx: &mut Context) {
        let known = ctx.state.replicas().get(replica);
        let Some(known) = known.filter(|it| it.state == State::Ready) else {
            return;
        };
        let adapter = Adapter {
            replica,
            name: name.clone(),
        };
        let loadable = self.workers.get(&known.target);
        let loadable = loadable.is_some_and(Worker::is_loadable);
        if !loadable || self.adapters.contains_key(&adapter) {
            return;
        }
        self.adapters.insert(adapter, ctx.now);
        let model = Reference {
            adapter: Some(name),
            ..reference(known)
        };
        let action = order::Action::Adapter { model };
        self.send_order(&known.target, replica, action, ctx);
    }

    /// Orders a worker to copy a model into a faster storage tier.
    fn order_warm(&mut self, model: ModelId, target: &TargetId, ctx: &mut Context) {
        let worker = self.workers.get(target);
        let warming = Warming {
            target: target.clone(),
            model: model.clone(),
        };
        if worker.is_some_and(Worker::is_loadable) && !self.warming.contains_key(&warming) {
            self.warming.insert(warming, ctx.now);
            let model = Reference::base(model);
            self.send_order(target, 0, order::Action::Warm { model }, ctx);
        }
    }
}
