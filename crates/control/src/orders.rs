//! Orders for replicas decided in the log: when to send them, and their outcomes.

use cornelhitch_types::id::{ModelId, ReplicaId, TargetId, Time};
use cornelhitch_types::model::Reference;
use cornelhitch_types::order::{Action, Order, Outcome, Reply};
use cornelhitch_types::target::Stage;
use cornelhitch_types::view::State;

use crate::beats::fencing;
use crate::command::Command;
use crate::mutation::{self, Mutation};
use crate::output::Output;
use crate::reign::{Adapter, Reign};
use crate::replicas::{Evidence, QUIET_BEATS, Replica};
use crate::tracks::Sent;
use crate::turn::Turn;

impl Reign {
    /// Sends an order with this term as its fencing number.
    pub(crate) fn order(
        &mut self,
        target: &TargetId,
        replica: ReplicaId,
        action: Action,
        turn: &mut Turn,
    ) {
        let Some(worker) = self.workers.get(target) else {
            return;
        };
        turn.out.push(Output::Order(Order {
            fence: self.term,
            target: target.clone(),
            incarnation: worker.incarnation,
            replica,
            after: None,
            action,
        }));
    }

    /// Sends the load or unload order that a replica needs, if it is due.
    pub(crate) fn drive(&mut self, id: ReplicaId, turn: &mut Turn) {
        let Some(replica) = turn.state.replicas().get(id) else {
            return;
        };
        match replica.state {
            State::Loading => self.drive_load(replica, turn),
            State::Ready => {}
            State::Retiring => self.drive_unload(replica, turn),
        }
    }

    /// Sends a load order, if it is due.
    fn drive_load(&mut self, replica: &Replica, turn: &mut Turn) {
        let Some(worker) = self.workers.get(&replica.target) else {
            return;
        };
        let reserved = turn.state.replicas().reserved(&replica.target);
        let memory = turn.state.fleet().get(&replica.target);
        let memory = memory.map_or(0, |target| target.announcement.memory);
        let room = reserved.saturating_add(worker.unexplained()) <= memory;
        let alone = !worker.shows(&replica.model);
        let usable = room && alone && worker.is_loadable();
        let Some(track) = self.tracks.get_mut(&replica.id) else {
            return;
        };
        if replica.adopted || track.seen.is_some() {
            return;
        }
        let withheld = track.load == Sent::Withheld;
        if track.is_unsent(replica) && (!usable || withheld) {
            self.refuse_load(replica, turn);
            return;
        }
        // If the worker does not check fencing numbers, an order of an earlier leader, or one with
        // an unknown outcome, may still arrive; a second order could then load a second copy.
        let fencing = fencing(replica, turn) || mutation::is(Mutation::BlindResend);
        let due = match track.load {
            Sent::Never => !track.inherited || fencing,
            Sent::Unknown { at } => fencing && turn.now >= at + turn.timing.resend,
            Sent::Out { .. } | Sent::Settled | Sent::Withheld => false,
        };
        if !due || !usable {
            return;
        }
        track.load = Sent::Out { at: turn.now };
        track.stir();
        let action = Action::Load {
            model: reference(replica),
            bytes: replica.bytes,
        };
        self.order(&replica.target, replica.id, action, turn);
    }

    /// Sends an unload order, if it is due.
    fn drive_unload(&mut self, replica: &Replica, turn: &mut Turn) {
        let Some(worker) = self.workers.get(&replica.target) else {
            return;
        };
        let sequence = worker.sequence();
        let heard = !worker.suspected && worker.beat.is_some();
        let Some(track) = self.tracks.get(&replica.id) else {
            return;
        };
        if track.is_unsent(replica) {
            self.refuse_load(replica, turn);
            return;
        }
        let since = track.retired.unwrap_or(turn.now);
        if !heard || !self.is_drained(&replica.target, &replica.model, since, turn) {
            return;
        }
        let fencing = fencing(replica, turn);
        let Some(track) = self.tracks.get_mut(&replica.id) else {
            return;
        };
        let shown = track.seen == Some(sequence);
        let asked = track.asked.saturating_add(QUIET_BEATS);
        let quiet = sequence >= asked;
        let due = match track.unload {
            Sent::Never => true,
            Sent::Unknown { at } if fencing => turn.now >= at + turn.timing.resend,
            Sent::Unknown { .. } | Sent::Settled => quiet,
            Sent::Out { .. } | Sent::Withheld => false,
        };
        if !due || !shown {
            return;
        }
        track.unload = Sent::Out { at: turn.now };
        track.asked = sequence;
        let model = reference(replica);
        self.order(&replica.target, replica.id, Action::Unload { model }, turn);
    }

    /// Returns whether nothing runs on a model's copy that got its last new request at `since`.
    pub(crate) fn is_drained(
        &self,
        target: &TargetId,
        model: &ModelId,
        since: Time,
        turn: &Turn,
    ) -> bool {
        let Some(worker) = self.workers.get(target) else {
            return false;
        };
        if turn.now >= since + turn.timing.drain {
            return true;
        }
        let settled = since + turn.timing.settle;
        let idle = worker.is_idle() && worker.heard >= settled;
        turn.now >= settled && (idle || self.is_unused(model, settled, turn))
    }

    /// Returns whether every entry host has reported, since a time, that it runs nothing on a
    /// model.
    ///
    /// A new leader has not heard of hosts that are out of contact, so it returns false until their
    /// timeout has passed.
    fn is_unused(&self, model: &ModelId, since: Time, turn: &Turn) -> bool {
        let acquainted = turn.now >= self.since + turn.timing.host;
        let mut hosts = self.leases.iter().filter(|it| it.is_valid(turn.now));
        let heard = hosts.all(|lease| self.levels.is_heard(lease.host.host, since));
        acquainted && heard && self.levels.running(model) == 0
    }

    /// Handles the outcome of an order.
    pub(crate) fn order_done(&mut self, order: &Order, outcome: &Outcome, turn: &mut Turn) {
        if order.fence != self.term {
            return;
        }
        let known = turn.state.fleet().get(&order.target);
        if known.is_some_and(|known| known.announcement.is_hosted()) {
            return self.hosted_done(order, outcome, turn);
        }
        match &order.action {
            Action::Load { .. } => self.load_done(order, outcome, turn),
            Action::Unload { .. } => self.unload_done(order, outcome, turn),
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
    fn load_done(&mut self, order: &Order, outcome: &Outcome, turn: &mut Turn) {
        let Some(replica) = turn.state.replicas().get(order.replica) else {
            return;
        };
        let Some(track) = self.tracks.get_mut(&order.replica) else {
            return;
        };
        track.stir();
        let certain = !track.doubtful && !track.inherited && track.seen.is_none();
        match outcome {
            Outcome::Answered(Reply::Accepted) => {
                track.load = Sent::Settled;
            }
            Outcome::Unknown => {
                track.doubtful = true;
                track.load = Sent::Unknown { at: turn.now };
            }
            Outcome::Unsent | Outcome::Answered(_) if certain => {
                self.refuse_load(replica, turn);
            }
            Outcome::Unsent => track.load = Sent::Unknown { at: turn.now },
            Outcome::Answered(_) => track.load = Sent::Settled,
        }
    }

    /// Handles the outcome of an unload order.
    fn unload_done(&mut self, order: &Order, outcome: &Outcome, turn: &Turn) {
        let Some(track) = self.tracks.get_mut(&order.replica) else {
            return;
        };
        track.unload = match outcome {
            Outcome::Answered(_) => Sent::Settled,
            Outcome::Unsent => Sent::Never,
            Outcome::Unknown => {
                track.doubtful = true;
                Sent::Unknown { at: turn.now }
            }
        };
    }

    /// Proposes to release the reservation of a load that did not take place.
    fn refuse_load(&mut self, replica: &Replica, turn: &mut Turn) {
        if let Some(track) = self.tracks.get_mut(&replica.id) {
            track.load = Sent::Withheld;
        }
        if let Some(worker) = self.workers.get_mut(&replica.target) {
            let until = turn.now + turn.timing.backoff;
            worker.back_off(&replica.model, until, turn.now);
        }
        self.sketch.worker(&replica.target);
        let command = Command::Release {
            replica: replica.id,
            evidence: Evidence::Refused,
            unknown: false,
        };
        self.pending.propose(command, turn);
    }

    /// Returns the fastest storage tier of the worker that holds the replica's weights.
    pub(crate) fn nearest(&self, replica: &Replica) -> Stage {
        let worker = self.workers.get(&replica.target);
        let beat = worker.and_then(|worker| worker.beat.as_ref());
        let inventory = beat.into_iter().flat_map(|beat| &beat.inventory);
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
