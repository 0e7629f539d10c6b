//! Orders for replicas decided in the log: when to send them, and their outcomes.

use cornelhitch_types::id::{ModelId, ReplicaId, TargetId, Time};
use cornelhitch_types::model::Reference;
use cornelhitch_types::order::{Action, Order, Outcome, Reply};
use cornelhitch_types::target::Stage;
use cornelhitch_types::view::State;

use crate::command::Command;
use crate::context::Context;
use crate::heartbeats::checks_fencing;
use crate::mutation::{self, Mutation};
use crate::output::Output;
use crate::replica_orders::OrderStatus;
use crate::replicas::{Evidence, QUIET_HEARTBEATS, Replica};
use crate::term_state::{Adapter, TermState};

impl TermState {
    /// Sends an order with this term as its fencing number.
    pub(crate) fn send_order(
        &mut self,
        target: &TargetId,
        replica: ReplicaId,
        action: Action,
        ctx: &mut Context,
    ) {
        let Some(worker) = self.workers.get(target) else {
            return;
        };
        ctx.out.push(Output::Order(Order {
            fence: self.term,
            target: target.clone(),
            incarnation: worker.incarnation,
            replica,
            after: None,
            action,
        }));
    }

    /// Sends the load or unload order that a replica needs, if it is due.
    pub(crate) fn send_due_order(&mut self, id: ReplicaId, ctx: &mut Context) {
        let Some(replica) = ctx.state.replicas().get(id) else {
            return;
        };
        match replica.state {
            State::Loading => self.send_due_load(replica, ctx),
            State::Ready => {}
            State::Retiring => self.send_due_unload(replica, ctx),
        }
    }

    /// Sends a load order, if it is due.
    fn send_due_load(&mut self, replica: &Replica, ctx: &mut Context) {
        let Some(worker) = self.workers.get(&replica.target) else {
            return;
        };
        let reserved = ctx.state.replicas().reserved(&replica.target);
        let memory = ctx.state.fleet().get(&replica.target);
        let memory = memory.map_or(0, |target| target.announcement.memory);
        let fits = reserved.saturating_add(worker.orphan_bytes()) <= memory;
        let no_orphan = !worker.has_orphan_of(&replica.model);
        let usable = fits && no_orphan && worker.is_loadable();
        let Some(orders) = self.replica_orders.get_mut(&replica.id) else {
            return;
        };
        if replica.adopted || orders.last_seen.is_some() {
            return;
        }
        let withheld = orders.load == OrderStatus::Withheld;
        if orders.is_unsent(replica) && (!usable || withheld) {
            self.cancel_load(replica, ctx);
            return;
        }
        // If the worker does not check fencing numbers, an order of an earlier leader, or one with
        // an unknown outcome, may still arrive; a second order could then load a second copy.
        let fencing = checks_fencing(replica, ctx) || mutation::is(Mutation::BlindResend);
        let due = match orders.load {
            OrderStatus::NotSent => !orders.inherited || fencing,
            OrderStatus::Unknown { at } => fencing && ctx.now >= at + ctx.timing.resend_interval,
            OrderStatus::InFlight { .. } | OrderStatus::Answered | OrderStatus::Withheld => false,
        };
        if !due || !usable {
            return;
        }
        orders.load = OrderStatus::InFlight { at: ctx.now };
        orders.reset_absence();
        let action = Action::Load {
            model: reference(replica),
            bytes: replica.bytes,
        };
        self.send_order(&replica.target, replica.id, action, ctx);
    }

    /// Sends an unload order, if it is due.
    fn send_due_unload(&mut self, replica: &Replica, ctx: &mut Context) {
        let Some(worker) = self.workers.get(&replica.target) else {
            return;
        };
        let sequence = worker.sequence();
        let responsive = !worker.suspected && worker.last_heartbeat.is_some();
        let Some(orders) = self.replica_orders.get(&replica.id) else {
            return;
        };
        if orders.is_unsent(replica) {
            self.cancel_load(replica, ctx);
            return;
        }
        let since = orders.retired.unwrap_or(ctx.now);
        if !responsive || !self.is_drained(&replica.target, &replica.model, since, ctx) {
            return;
        }
        let fencing = checks_fencing(replica, ctx);
        let Some(orders) = self.replica_orders.get_mut(&replica.id) else {
            return;
        };
        let still_held = orders.last_seen == Some(sequence);
        let resend_from = orders.unload_sequence.saturating_add(QUIET_HEARTBEATS);
        let resend_due = sequence >= resend_from;
        let due = match orders.unload {
            OrderStatus::NotSent => true,
            OrderStatus::Unknown { at } if fencing => ctx.now >= at + ctx.timing.resend_interval,
            OrderStatus::Unknown { .. } | OrderStatus::Answered => resend_due,
            OrderStatus::InFlight { .. } | OrderStatus::Withheld => false,
        };
        if !due || !still_held {
            return;
        }
        orders.unload = OrderStatus::InFlight { at: ctx.now };
        orders.unload_sequence = sequence;
        let model = reference(replica);
        self.send_order(&replica.target, replica.id, Action::Unload { model }, ctx);
    }

    /// Returns whether no request is in progress on a copy that received its last new one at
    /// `since`; also true once the drain timeout has passed.
    pub(crate) fn is_drained(
        &self,
        target: &TargetId,
        model: &ModelId,
        since: Time,
        ctx: &Context,
    ) -> bool {
        let Some(worker) = self.workers.get(target) else {
            return false;
        };
        if ctx.now >= since + ctx.timing.drain_timeout {
            return true;
        }
        let settled = since + ctx.timing.retire_settle;
        let idle = worker.is_idle() && worker.last_contact >= settled;
        ctx.now >= settled && (idle || self.is_unused(model, settled, ctx))
    }

    /// Returns whether every entry host has reported since a time, and none has requests of the
    /// model in progress.
    ///
    /// A new leader does not know the hosts that are out of contact, so this returns false until
    /// the host timeout of the term has passed.
    fn is_unused(&self, model: &ModelId, since: Time, ctx: &Context) -> bool {
        let hosts_known = ctx.now >= self.since + ctx.timing.host_timeout;
        let mut hosts = self.leases.iter().filter(|it| it.is_valid(ctx.now));
        let all_reported =
            hosts.all(|lease| self.demand.has_reported_since(lease.host.host, since));
        hosts_known && all_reported && self.demand.running(model) == 0
    }

    /// Handles the outcome of an order.
    pub(crate) fn on_order_done(&mut self, order: &Order, outcome: &Outcome, ctx: &mut Context) {
        if order.fence != self.term {
            return;
        }
        let known = ctx.state.fleet().get(&order.target);
        if known.is_some_and(|known| known.announcement.takes_numbered_orders()) {
            return self.on_hosted_order_done(order, outcome, ctx);
        }
        match &order.action {
            Action::Load { .. } => self.on_load_done(order, outcome, ctx),
            Action::Unload { .. } => self.on_unload_done(order, outcome, ctx),
            Action::Adapter { model } => {
                let refused = matches!(
                    outcome,
                    Outcome::Unsent
                        | Outcome::Answered(Reply::Refused { .. } | Reply::Fenced { .. })
                );
                if let Some(name) = model.adapter.clone().filter(|_| refused) {
                    let replica = order.replica;
                    self.adapters.remove(&Adapter { replica, name });
                }
            }
            Action::DropAdapter { .. } | Action::Warm { .. } | Action::Role { .. } => {}
        }
    }

    /// Handles the outcome of a load order.
    fn on_load_done(&mut self, order: &Order, outcome: &Outcome, ctx: &mut Context) {
        let Some(replica) = ctx.state.replicas().get(order.replica) else {
            return;
        };
        let Some(orders) = self.replica_orders.get_mut(&order.replica) else {
            return;
        };
        orders.reset_absence();
        let certain = !orders.may_arrive && !orders.inherited && orders.last_seen.is_none();
        match outcome {
            Outcome::Answered(Reply::Accepted) => {
                orders.load = OrderStatus::Answered;
            }
            Outcome::Unknown => {
                orders.may_arrive = true;
                orders.load = OrderStatus::Unknown { at: ctx.now };
            }
            Outcome::Unsent | Outcome::Answered(_) if certain => {
                self.cancel_load(replica, ctx);
            }
            Outcome::Unsent => orders.load = OrderStatus::Unknown { at: ctx.now },
            Outcome::Answered(_) => orders.load = OrderStatus::Answered,
        }
    }

    /// Handles the outcome of an unload order.
    fn on_unload_done(&mut self, order: &Order, outcome: &Outcome, ctx: &Context) {
        let Some(orders) = self.replica_orders.get_mut(&order.replica) else {
            return;
        };
        orders.unload = match outcome {
            Outcome::Answered(_) => OrderStatus::Answered,
            Outcome::Unsent => OrderStatus::NotSent,
            Outcome::Unknown => {
                orders.may_arrive = true;
                OrderStatus::Unknown { at: ctx.now }
            }
        };
    }

    /// Proposes to release the reservation of a load that did not take place.
    fn cancel_load(&mut self, replica: &Replica, ctx: &mut Context) {
        if let Some(orders) = self.replica_orders.get_mut(&replica.id) {
            orders.load = OrderStatus::Withheld;
        }
        if let Some(worker) = self.workers.get_mut(&replica.target) {
            let until = ctx.now + ctx.timing.load_backoff;
            worker.back_off(&replica.model, until, ctx.now);
        }
        self.planner_input.mark_worker(&replica.target);
        let command = Command::Release {
            replica: replica.id,
            evidence: Evidence::Refused,
            unknown: false,
        };
        self.pending.propose(command, ctx);
    }

    /// Returns the fastest storage tier of the worker that holds the replica's weights.
    pub(crate) fn fastest_tier(&self, replica: &Replica) -> Stage {
        let worker = self.workers.get(&replica.target);
        let last_heartbeat = worker.and_then(|worker| worker.last_heartbeat.as_ref());
        let inventory = last_heartbeat
            .into_iter()
            .flat_map(|last_heartbeat| &last_heartbeat.inventory);
        let copies = inventory.filter(|it| it.model.model == replica.model);
        copies.map(|it| it.stage).max().unwrap_or(Stage::Remote)
    }
}

/// Returns the reference to a replica's model and version.
pub(crate) fn reference(replica: &Replica) -> Reference {
    Reference {
        version: replica.version.clone(),
        ..Reference::base(replica.model.clone())
    }
}
