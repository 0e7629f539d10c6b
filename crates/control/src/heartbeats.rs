//! Announcements and heartbeats of targets, reconciliation with the replicas, and silence.

use cornelhitch_types::id::{Incarnation, ReplicaId, TargetId};
use cornelhitch_types::order::Action;
use cornelhitch_types::target::{
    AnnouncedHeartbeat, Announcement, CacheEvent, Heartbeat, Holding, Stage,
};
use cornelhitch_types::view::{self, Change, State};

use crate::command::Command;
use crate::context::Context;
use crate::fleet::Fleet;
use crate::output::Output;
use crate::replicas::{Decide, Evidence, QUIET_HEARTBEATS, Replica};
use crate::term_state::TermState;
use crate::workers::{LeaveState, Orphan, is_copy_of};

/// The number of consecutive heartbeats that must show a copy before it is adopted or unloaded.
const MIN_ORPHAN_HEARTBEATS: u64 = 2;

/// A target that has sent no heartbeat for some time.
struct Suspect {
    target: TargetId,
    /// Whether it was not suspected before.
    is_new: bool,
    /// Whether it has been silent for so long that this is recorded.
    is_silent: bool,
    /// Whether it may be removed.
    is_dismissible: bool,
}

impl TermState {
    /// Returns whether a target is registered, or may be: there are fewer than `max_targets`, those that
    /// wait for their registration among them.
    pub(crate) fn has_room_for(&self, target: &str, fleet: &Fleet, max_targets: usize) -> bool {
        let known = fleet.get(target).is_some() || self.pending_heartbeats.contains_key(target);
        known || fleet.len() + self.pending_heartbeats.len() < max_targets
    }

    /// Handles an announcement: proposes to register a new or changed one.
    pub(crate) fn on_announcement(&mut self, announcement: Announcement, ctx: &mut Context) {
        let known = ctx.state.fleet().get(&announcement.target);
        let old = known.map(|known| &known.announcement);
        if old == Some(&announcement) {
            return;
        }
        let ended = ctx
            .state
            .fleet()
            .has_ended(&announcement.target, announcement.incarnation);
        let has_room =
            self.has_room_for(&announcement.target, ctx.state.fleet(), ctx.limits.targets);
        if !ended && has_room {
            self.pending.propose(Command::Register(announcement), ctx);
        }
    }

    /// Handles an announcement sent together with a heartbeat.
    ///
    /// The heartbeat of an incarnation that is not registered yet is kept until its registration is
    /// applied.
    pub(crate) fn on_presence(&mut self, presence: AnnouncedHeartbeat, ctx: &mut Context) {
        let AnnouncedHeartbeat {
            announcement,
            heartbeat,
            ..
        } = presence;
        let target = announcement.target.clone();
        let incarnation = announcement.incarnation;
        self.on_announcement(announcement, ctx);
        if ctx
            .state
            .fleet()
            .get_incarnation(&target, incarnation)
            .is_some()
        {
            self.on_heartbeat(heartbeat, ctx);
        } else if self.has_room_for(&target, ctx.state.fleet(), ctx.limits.targets) {
            self.pending_heartbeats.insert(target, heartbeat);
        }
    }

    /// Handles a heartbeat.
    pub(crate) fn on_heartbeat(&mut self, mut heartbeat: Heartbeat, ctx: &mut Context) {
        let target = heartbeat.target.clone();
        let cache = std::mem::take(&mut heartbeat.cache);
        let Some(worker) = self.workers.get_mut(&target) else {
            ctx.out.push(Output::RequestAnnouncement { target });
            return;
        };
        if heartbeat.incarnation > worker.incarnation {
            ctx.out.push(Output::RequestAnnouncement { target });
            return;
        }
        let stale = worker.last_heartbeat.is_some() && heartbeat.sequence <= worker.sequence();
        if stale || heartbeat.incarnation < worker.incarnation {
            return;
        }
        let incarnation = heartbeat.incarnation;
        let open = worker.is_open();
        let old = worker.last_heartbeat.take();
        worker.on_heartbeat(heartbeat, ctx.now, ctx.timing.report_distrust);
        let reopened = worker.is_open() != open;
        let last_heartbeat = worker.last_heartbeat.as_ref();
        let load = last_heartbeat.map(|it| it.load) != old.as_ref().map(|it| it.load);
        let inventory =
            last_heartbeat.map(|it| &it.inventory) != old.as_ref().map(|it| &it.inventory);
        if load || reopened {
            self.feed.mark_target(&target, reopened);
        }
        if inventory || reopened || old.is_none() || !worker.orphans.is_empty() {
            self.planner_input.mark_worker(&target);
        }
        self.plan_requested |= reopened;
        self.propose_not_silent(&target, ctx);
        self.propose_survived(&target, incarnation, ctx);
        self.publish_cache_events(&target, cache);
        self.reconcile_inventory(&target, ctx);
    }

    /// Publishes changes of prefix caches.
    fn publish_cache_events(&mut self, target: &TargetId, events: Vec<CacheEvent>) {
        if !events.is_empty() {
            self.feed.push(Change::Cache(target.clone(), events), false);
        }
    }

    /// Proposes to record that the heartbeats of a silent target have resumed.
    fn propose_not_silent(&mut self, target: &TargetId, ctx: &mut Context) {
        let known = ctx.state.fleet().get(target);
        if let Some(known) = known.filter(|known| known.silent) {
            let command = Command::RecordSilence {
                target: target.clone(),
                incarnation: known.announcement.incarnation,
                silent: false,
            };
            self.pending.propose(command, ctx);
        }
    }

    /// Reconciles a worker's inventory with its replicas.
    fn reconcile_inventory(&mut self, target: &TargetId, ctx: &mut Context) {
        let state = ctx.state;
        let replicas: Vec<&Replica> = state.replicas().on_target(target).collect();
        for replica in &replicas {
            self.reconcile_replica(replica, ctx);
        }
        let settings = state.current_settings().fleet();
        let Some(worker) = self.workers.get_mut(target) else {
            return;
        };
        let before = worker.observed.clone();
        let known = state.fleet().get(target);
        if known.is_some_and(|known| known.announcement.takes_numbered_orders()) {
            if let Some(last_heartbeat) = &worker.last_heartbeat {
                self.hosting.on_heartbeat(target, last_heartbeat, ctx.now);
            }
            self.propose_held(target, ctx);
            self.publish_hosted(target, ctx.now);
            self.plan_hosted(ctx);
            return;
        }
        if worker.classify_copies(target, &replicas, settings, ctx.now) {
            let observed = worker.observed.clone();
            self.publish_observed(&before, observed);
        }
        let orphans = self.workers[target].orphans.clone();
        for orphan in &orphans {
            self.handle_orphan(target, orphan, ctx);
        }
    }

    /// Publishes the changes to the observed copies on a worker.
    pub(crate) fn publish_observed(
        &mut self,
        before: &[view::Replica],
        observed: Vec<view::Replica>,
    ) {
        for old in before {
            if observed.iter().all(|it| it.replica != old.replica) {
                self.feed.push(Change::ReplicaRemoved(old.replica), true);
            }
        }
        for replica in observed {
            if !before.contains(&replica) {
                self.feed.push(Change::Replica(replica), true);
            }
        }
    }

    /// Reconciles one replica with the newest inventory of its worker.
    fn reconcile_replica(&mut self, replica: &Replica, ctx: &mut Context) {
        let Some(worker) = self.workers.get(&replica.target) else {
            return;
        };
        let Some(last_heartbeat) = &worker.last_heartbeat else {
            return;
        };
        let sequence = last_heartbeat.sequence;
        let Some(orders) = self.replica_orders.get_mut(&replica.id) else {
            return;
        };
        orders.expire_in_flight(ctx.now.saturating_sub(ctx.timing.order_timeout), ctx.now);
        let copy = last_heartbeat
            .inventory
            .iter()
            .find(|it| is_copy_of(replica, it));
        if let Some(copy) = copy {
            orders.last_seen = Some(sequence);
            orders.reset_absence();
            let copy = copy.clone();
            self.on_replica_shown(replica, &copy, sequence, ctx);
        } else {
            orders.count_absence(ctx.now);
            if orders.is_gone(replica, checks_fencing(replica, ctx), sequence) {
                let command = Command::Release {
                    replica: replica.id,
                    evidence: Evidence::Inventory { sequence },
                    unknown: orders.may_arrive,
                };
                self.pending.propose(command, ctx);
            }
        }
        self.send_due_order(replica.id, ctx);
    }

    /// Handles a heartbeat that shows a replica: records its readiness and its adapters.
    fn on_replica_shown(
        &mut self,
        replica: &Replica,
        copy: &Holding,
        sequence: u64,
        ctx: &mut Context,
    ) {
        if copy.stage == Stage::Ready && replica.state == State::Loading {
            let command = Command::Ready {
                replica: replica.id,
                sequence,
            };
            self.pending.propose(command, ctx);
        }
        let Some(orders) = self.replica_orders.get_mut(&replica.id) else {
            return;
        };
        if orders.adapters != copy.adapters {
            orders.adapters.clone_from(&copy.adapters);
            self.adapters.retain(|adapter, _| {
                adapter.replica != replica.id || !copy.adapters.contains(&adapter.name)
            });
            self.planner_input.mark_replica(replica.id, &replica.target);
            self.feed.mark_replica(replica.id, true);
            self.plan_requested = true;
        }
    }

    /// Adopts or unloads a copy that belongs to no decided replica.
    ///
    /// In managed groups a copy without a replica id is adopted where the rules allow it, so that a
    /// change from unmanaged to managed ends no request; other copies are unloaded. Copies in
    /// unmanaged groups, and of models that the settings do not list, are left alone.
    fn handle_orphan(&mut self, target: &TargetId, orphan: &Orphan, ctx: &mut Context) {
        let settings = ctx.state.current_settings().fleet();
        let model = settings.model(&orphan.model.model);
        let Some(model) = model.filter(|model| settings.managed(model)) else {
            return;
        };
        let Some(worker) = self.workers.get(target) else {
            return;
        };
        let sequence = worker.sequence();
        if sequence < orphan.first.saturating_add(MIN_ORPHAN_HEARTBEATS) {
            return;
        }
        let mut peers = ctx.state.replicas().on_target(target);
        let alone = peers.all(|replica| replica.model != orphan.model.model);
        let adoptable = alone && orphan.ready && orphan.replica.is_none() && !orphan.refused;
        if adoptable && orphan.ordered.is_none() {
            let decide = Decide {
                model: orphan.model.model.clone(),
                version: orphan.model.version.clone(),
                target: target.clone(),
                incarnation: worker.incarnation,
                bytes: orphan.bytes.max(model.bytes),
                after: sequence,
                adopted: true,
            };
            self.pending.propose(Command::Decide(decide), ctx);
            return;
        }
        self.unload_orphan(target, orphan, sequence, ctx);
    }

    /// Orders the unload of a copy that belongs to no decided replica, once nothing runs on it.
    fn unload_orphan(
        &mut self,
        target: &TargetId,
        orphan: &Orphan,
        sequence: u64,
        ctx: &mut Context,
    ) {
        // A worker that identifies copies by model name only would unload the replica's copy.
        let mut peers = ctx.state.replicas().on_target(target);
        let named = orphan.replica.is_some() || orphan.model.version.is_some();
        if !named && peers.any(|replica| replica.model == orphan.model.model) {
            return;
        }
        let recently_ordered = |ordered: u64| sequence < ordered.saturating_add(QUIET_HEARTBEATS);
        let drained = self.is_drained(target, &orphan.model.model, orphan.since, ctx);
        if !drained || orphan.ordered.is_some_and(recently_ordered) {
            return;
        }
        let model = orphan.model.clone();
        self.send_order(
            target,
            orphan.replica.unwrap_or(0),
            Action::Unload { model },
            ctx,
        );
        let Some(worker) = self.workers.get_mut(target) else {
            return;
        };
        let until = ctx.now + ctx.timing.quiet_period;
        worker.back_off(&orphan.model.model, until, ctx.now);
        let same = |it: &&mut Orphan| it.model == orphan.model && it.replica == orphan.replica;
        if let Some(known) = worker.orphans.iter_mut().find(same) {
            known.ordered = Some(sequence);
        }
    }

    /// Handles a report that an entry host lost its connections to a target.
    pub(crate) fn on_connection_lost(
        &mut self,
        target: &TargetId,
        incarnation: Incarnation,
        ctx: &mut Context,
    ) {
        let worker = self.workers.get_mut(target);
        let Some(worker) = worker.filter(|worker| worker.incarnation == incarnation) else {
            return;
        };
        worker.reported_lost = true;
        // An entry host that cannot reach a target which others do reach must not close it
        // repeatedly.
        if !worker.suspected && ctx.now >= worker.reports_ignored_until {
            worker.suspected = true;
            self.close_target(target, ctx);
        }
    }

    /// Handles the committed notice that a target is leaving.
    pub(crate) fn on_leave(&mut self, target: &TargetId, ctx: &mut Context) {
        if let Some(worker) = self.workers.get_mut(target) {
            worker.leave_state = LeaveState::Final;
            self.close_target(target, ctx);
        }
    }

    /// Suspects targets that are silent, and removes those that have been silent for long. Without room for
    /// further targets it removes those that have been silent for longer than they were heard.
    pub(crate) fn check_silence(&mut self, ctx: &mut Context) {
        let is_full = ctx.lacks_memory || ctx.state.fleet().len() >= ctx.limits.targets;
        let mut suspects = Vec::new();
        for (target, worker) in self.workers.iter_mut() {
            let silence = ctx.now.saturating_sub(worker.last_contact);
            let limit = if worker.reported_lost {
                ctx.timing.suspect_reported_after
            } else {
                ctx.timing.suspect_after
            };
            let excused = ctx.now < worker.excused_until && !worker.reported_lost;
            if silence < limit || excused {
                continue;
            }
            let is_new = !worker.suspected;
            worker.suspected = true;
            let heard = worker.last_contact.saturating_sub(worker.tracked_since);
            suspects.push(Suspect {
                target: target.clone(),
                is_new,
                is_silent: silence >= ctx.timing.silent_after,
                is_dismissible: silence >= ctx.timing.dismiss_after || is_full && silence >= heard,
            });
        }
        for suspect in suspects {
            if suspect.is_new {
                self.close_target(&suspect.target, ctx);
            }
            self.send_due_orders_to(&suspect.target, ctx);
            if suspect.is_silent {
                self.propose_silent(&suspect.target, suspect.is_dismissible, ctx);
            }
        }
    }

    /// Gives targets time to send their heartbeats to another control host.
    pub(crate) fn on_heartbeats_delayed(&mut self, targets: &[TargetId], ctx: &Context) {
        for target in targets {
            if let Some(worker) = self.workers.get_mut(target).filter(|it| !it.suspected) {
                worker.excused_until = ctx.now + ctx.timing.heartbeat_move;
            }
        }
    }

    /// Publishes that a target gets no new work, and sends the due orders of its replicas.
    fn close_target(&mut self, target: &TargetId, ctx: &mut Context) {
        self.feed.mark_target(target, true);
        self.planner_input.mark_worker(target);
        self.plan_requested = true;
        self.send_due_orders_to(target, ctx);
    }

    /// Sends the due orders of all replicas on a target.
    fn send_due_orders_to(&mut self, target: &TargetId, ctx: &mut Context) {
        let replicas = ctx.state.replicas().on_target(target);
        let ids: Vec<ReplicaId> = replicas.map(|replica| replica.id).collect();
        for id in ids {
            self.send_due_order(id, ctx);
        }
    }

    /// Proposes to record that a target is silent, or to remove it.
    fn propose_silent(&mut self, target: &TargetId, dismissible: bool, ctx: &mut Context) {
        let Some(known) = ctx.state.fleet().get(target) else {
            return;
        };
        let target = target.clone();
        let incarnation = known.announcement.incarnation;
        if !known.silent {
            let command = Command::RecordSilence {
                target,
                incarnation,
                silent: true,
            };
            self.pending.propose(command, ctx);
        } else if dismissible && ctx.state.replicas().reserved(&target) == 0 {
            let command = Command::Deregister {
                target,
                incarnation,
                attested: false,
            };
            self.pending.propose(command, ctx);
        }
    }
}

/// Returns whether a replica's worker refuses orders with an old fencing number.
pub(crate) fn checks_fencing(replica: &Replica, ctx: &Context) -> bool {
    let target = ctx.state.fleet().get(&replica.target);
    target.is_some_and(|target| target.announcement.fencing)
}
