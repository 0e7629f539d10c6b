//! Announcements and heartbeats of targets, reconciliation with the replicas, and silence.

use cornelhitch_types::id::{Incarnation, ReplicaId, TargetId};
use cornelhitch_types::order::Action;
use cornelhitch_types::target::{Announcement, CacheEvent, Heartbeat, Holding, Presence, Stage};
use cornelhitch_types::view::{self, Change, State};

use crate::command::Command;
use crate::output::Output;
use crate::reign::Reign;
use crate::replicas::{Decide, Evidence, QUIET_BEATS, Replica};
use crate::turn::Turn;
use crate::workers::{Leave, Stranger, explains};

/// The number of consecutive heartbeats that must show a copy before it is adopted or unloaded.
const PERSISTENT: u64 = 2;

impl Reign {
    /// Handles an announcement: proposes to register what is new.
    pub(crate) fn announcement(&mut self, announcement: Announcement, turn: &mut Turn) {
        let known = turn.state.fleet().get(&announcement.target);
        let old = known.map(|known| &known.announcement);
        if old == Some(&announcement) {
            return;
        }
        let over = turn
            .state
            .fleet()
            .is_over(&announcement.target, announcement.incarnation);
        if !over {
            self.pending.propose(Command::Register(announcement), turn);
        }
    }

    /// Handles an announcement that comes with a heartbeat.
    ///
    /// The heartbeat of an incarnation that is not registered yet is kept until its registration is
    /// applied.
    pub(crate) fn presence(&mut self, presence: Presence, turn: &mut Turn) {
        let Presence {
            announcement,
            heartbeat,
        } = presence;
        let target = announcement.target.clone();
        let life = announcement.incarnation;
        self.announcement(announcement, turn);
        if turn.state.fleet().alive(&target, life).is_some() {
            self.heartbeat(heartbeat, turn);
        } else {
            self.early.insert(target, heartbeat);
        }
    }

    /// Handles a heartbeat.
    pub(crate) fn heartbeat(&mut self, mut heartbeat: Heartbeat, turn: &mut Turn) {
        let target = heartbeat.target.clone();
        let cache = std::mem::take(&mut heartbeat.cache);
        let Some(worker) = self.workers.get_mut(&target) else {
            turn.out.push(Output::Ask { target });
            return;
        };
        if heartbeat.incarnation > worker.incarnation {
            turn.out.push(Output::Ask { target });
            return;
        }
        let late = worker.beat.is_some() && heartbeat.sequence <= worker.sequence();
        if late || heartbeat.incarnation < worker.incarnation {
            return;
        }
        let open = worker.is_open();
        let old = worker.beat.take();
        worker.take(heartbeat, turn.now, turn.timing.distrust);
        let reopened = worker.is_open() != open;
        let beat = worker.beat.as_ref();
        let load = beat.map(|it| it.load) != old.as_ref().map(|it| it.load);
        let inventory = beat.map(|it| &it.inventory) != old.as_ref().map(|it| &it.inventory);
        if load || reopened {
            self.feed.target(&target, reopened);
        }
        if inventory || reopened || old.is_none() || !worker.strangers.is_empty() {
            self.sketch.worker(&target);
        }
        self.eager |= reopened;
        self.unsilence(&target, turn);
        self.cache(&target, cache);
        self.compare(&target, turn);
    }

    /// Publishes changes of prefix caches.
    fn cache(&mut self, target: &TargetId, events: Vec<CacheEvent>) {
        if !events.is_empty() {
            self.feed.push(Change::Cache(target.clone(), events), false);
        }
    }

    /// Proposes to record that a silent target is heard again.
    fn unsilence(&mut self, target: &TargetId, turn: &mut Turn) {
        let known = turn.state.fleet().get(target);
        if let Some(known) = known.filter(|known| known.silent) {
            let command = Command::Silence {
                target: target.clone(),
                incarnation: known.announcement.incarnation,
                silent: false,
            };
            self.pending.propose(command, turn);
        }
    }

    /// Reconciles a worker's inventory with its replicas.
    fn compare(&mut self, target: &TargetId, turn: &mut Turn) {
        let state = turn.state;
        let replicas: Vec<&Replica> = state.replicas().on(target).collect();
        for replica in &replicas {
            self.compare_replica(replica, turn);
        }
        let settings = state.catalogue().fleet();
        let Some(worker) = self.workers.get_mut(target) else {
            return;
        };
        let before = worker.observed.clone();
        let known = state.fleet().get(target);
        if known.is_some_and(|known| known.announcement.is_hosted()) {
            if let Some(beat) = &worker.beat {
                self.hosting.beat(target, beat, turn.now);
            }
            self.note_held(target, turn);
            self.show_hosted(target, turn.now);
            self.host(turn);
            return;
        }
        if worker.sort(target, &replicas, settings, turn.now) {
            let observed = worker.observed.clone();
            self.publish_observed(&before, observed);
        }
        let strangers = self.workers[target].strangers.clone();
        for stranger in &strangers {
            self.meet(target, stranger, turn);
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
                self.feed.push(Change::ReplicaGone(old.replica), true);
            }
        }
        for replica in observed {
            if !before.contains(&replica) {
                self.feed.push(Change::Replica(replica), true);
            }
        }
    }

    /// Reconciles one replica with the newest inventory of its worker.
    fn compare_replica(&mut self, replica: &Replica, turn: &mut Turn) {
        let Some(worker) = self.workers.get(&replica.target) else {
            return;
        };
        let Some(beat) = &worker.beat else {
            return;
        };
        let sequence = beat.sequence;
        let Some(track) = self.tracks.get_mut(&replica.id) else {
            return;
        };
        track.lapse(turn.now.saturating_sub(turn.timing.order), turn.now);
        let holding = beat.inventory.iter().find(|it| explains(replica, it));
        if let Some(holding) = holding {
            track.seen = Some(sequence);
            track.stir();
            let holding = holding.clone();
            self.shown(replica, &holding, sequence, turn);
        } else {
            track.rest(turn.now);
            if track.is_gone(replica, fencing(replica, turn), sequence) {
                let command = Command::Release {
                    replica: replica.id,
                    evidence: Evidence::Inventory { sequence },
                    unknown: track.doubtful,
                };
                self.pending.propose(command, turn);
            }
        }
        self.drive(replica.id, turn);
    }

    /// Records what a worker shows of a replica.
    fn shown(&mut self, replica: &Replica, holding: &Holding, sequence: u64, turn: &mut Turn) {
        if holding.stage == Stage::Ready && replica.state == State::Loading {
            let command = Command::Ready {
                replica: replica.id,
                sequence,
            };
            self.pending.propose(command, turn);
        }
        let Some(track) = self.tracks.get_mut(&replica.id) else {
            return;
        };
        if track.adapters != holding.adapters {
            track.adapters.clone_from(&holding.adapters);
            self.adapters.retain(|adapter, _| {
                adapter.replica != replica.id || !holding.adapters.contains(&adapter.name)
            });
            self.sketch.replica(replica.id, &replica.target);
            self.feed.replica(replica.id, true);
            self.eager = true;
        }
    }

    /// Adopts or unloads a copy that belongs to no decided replica.
    ///
    /// In managed groups a copy without a replica id is adopted where the rules allow it, so that a
    /// change from unmanaged to managed ends no request; other copies are unloaded. Copies in
    /// unmanaged groups, and of models that the settings do not list, are left alone.
    fn meet(&mut self, target: &TargetId, stranger: &Stranger, turn: &mut Turn) {
        let settings = turn.state.catalogue().fleet();
        let model = settings.model(&stranger.model.model);
        let Some(model) = model.filter(|model| settings.managed(model)) else {
            return;
        };
        let Some(worker) = self.workers.get(target) else {
            return;
        };
        let sequence = worker.sequence();
        if sequence < stranger.first.saturating_add(PERSISTENT) {
            return;
        }
        let mut peers = turn.state.replicas().on(target);
        let alone = peers.all(|replica| replica.model != stranger.model.model);
        let adoptable = alone && stranger.ready && stranger.replica.is_none() && !stranger.refused;
        if adoptable && stranger.ordered.is_none() {
            let decide = Decide {
                model: stranger.model.model.clone(),
                version: stranger.model.version.clone(),
                target: target.clone(),
                incarnation: worker.incarnation,
                bytes: stranger.bytes.max(model.bytes),
                after: sequence,
                adopted: true,
            };
            self.pending.propose(Command::Decide(decide), turn);
            return;
        }
        self.unload_stranger(target, stranger, sequence, turn);
    }

    /// Orders the unload of a copy that belongs to no decided replica, once nothing runs on it.
    fn unload_stranger(
        &mut self,
        target: &TargetId,
        stranger: &Stranger,
        sequence: u64,
        turn: &mut Turn,
    ) {
        // A worker that identifies copies by model name only would unload the replica's copy.
        let mut peers = turn.state.replicas().on(target);
        let named = stranger.replica.is_some() || stranger.model.version.is_some();
        if !named && peers.any(|replica| replica.model == stranger.model.model) {
            return;
        }
        let asked = |ordered: u64| sequence < ordered.saturating_add(QUIET_BEATS);
        let drained = self.is_drained(target, &stranger.model.model, stranger.since, turn);
        if !drained || stranger.ordered.is_some_and(asked) {
            return;
        }
        let model = stranger.model.clone();
        self.order(
            target,
            stranger.replica.unwrap_or(0),
            Action::Unload { model },
            turn,
        );
        let Some(worker) = self.workers.get_mut(target) else {
            return;
        };
        let until = turn.now + turn.timing.quiet;
        worker.back_off(&stranger.model.model, until, turn.now);
        let same =
            |it: &&mut Stranger| it.model == stranger.model && it.replica == stranger.replica;
        if let Some(known) = worker.strangers.iter_mut().find(same) {
            known.ordered = Some(sequence);
        }
    }

    /// Handles a report that an entry host lost its connections to a target.
    pub(crate) fn lost(&mut self, target: &TargetId, incarnation: Incarnation, turn: &mut Turn) {
        let worker = self.workers.get_mut(target);
        let Some(worker) = worker.filter(|worker| worker.incarnation == incarnation) else {
            return;
        };
        worker.hinted = true;
        // An entry host that cannot reach a target which others do reach must not close it
        // repeatedly.
        if !worker.suspected && turn.now >= worker.distrusted {
            worker.suspected = true;
            self.suspect(target, turn);
        }
    }

    /// Handles the committed notice that a target is leaving.
    pub(crate) fn left(&mut self, target: &TargetId, turn: &mut Turn) {
        if let Some(worker) = self.workers.get_mut(target) {
            worker.leave = Leave::Told;
            self.suspect(target, turn);
        }
    }

    /// Suspects targets that are silent, and removes those that have been silent for long.
    pub(crate) fn watch(&mut self, turn: &mut Turn) {
        let mut suspects = Vec::new();
        for (target, worker) in self.workers.iter_mut() {
            let silence = turn.now.saturating_sub(worker.heard);
            let patience = if worker.hinted {
                turn.timing.doubt
            } else {
                turn.timing.suspicion
            };
            if silence < patience {
                continue;
            }
            let first = !worker.suspected;
            worker.suspected = true;
            suspects.push((target.clone(), silence, first));
        }
        for (target, silence, first) in suspects {
            if first {
                self.suspect(&target, turn);
            }
            self.drive_all(&target, turn);
            if silence >= turn.timing.silence {
                self.silent(&target, silence >= turn.timing.dismissal, turn);
            }
        }
    }

    /// Publishes that a target gets no new work, and drives its replicas.
    fn suspect(&mut self, target: &TargetId, turn: &mut Turn) {
        self.feed.target(target, true);
        self.sketch.worker(target);
        self.eager = true;
        self.drive_all(target, turn);
    }

    /// Sends the due orders of all replicas on a target.
    fn drive_all(&mut self, target: &TargetId, turn: &mut Turn) {
        let on = turn.state.replicas().on(target);
        let ids: Vec<ReplicaId> = on.map(|replica| replica.id).collect();
        for id in ids {
            self.drive(id, turn);
        }
    }

    /// Proposes to record that a target is silent, or to remove it.
    fn silent(&mut self, target: &TargetId, long: bool, turn: &mut Turn) {
        let Some(known) = turn.state.fleet().get(target) else {
            return;
        };
        let target = target.clone();
        let incarnation = known.announcement.incarnation;
        if !known.silent {
            let command = Command::Silence {
                target,
                incarnation,
                silent: true,
            };
            self.pending.propose(command, turn);
        } else if long && turn.state.replicas().reserved(&target) == 0 {
            let command = Command::Dismiss {
                target,
                incarnation,
                attested: false,
            };
            self.pending.propose(command, turn);
        }
    }
}

/// Returns whether a replica's worker refuses orders with an old fencing number.
pub(crate) fn fencing(replica: &Replica, turn: &Turn) -> bool {
    let target = turn.state.fleet().get(&replica.target);
    target.is_some_and(|target| target.announcement.fencing)
}
