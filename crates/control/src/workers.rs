//! The leader's soft state of targets, as reported in their heartbeats.

use std::collections::BTreeMap;

use cornelhitch_settings::fleet::FleetSettings as Settings;
use cornelhitch_types::id::{Incarnation, ModelId, Name, ReplicaId, TargetId, Time};
use cornelhitch_types::model::Reference;
use cornelhitch_types::target::{Heartbeat, Holding, Load, MAX_LIMIT_WINDOW, RequestRate, Stage};
use cornelhitch_types::view;

use crate::mutation::{self, Mutation};
use crate::replicas::Replica;

/// The newest heartbeat of a target.
#[derive(Debug, Clone)]
pub(crate) struct LastHeartbeat {
    /// Its sequence number.
    pub(crate) sequence: u64,
    /// The copies that the target holds.
    pub(crate) inventory: Vec<Holding>,
    /// The load of the target.
    pub(crate) load: Load,
}

/// A copy in accelerator memory that belongs to no decided replica.
#[derive(Debug, Clone)]
pub(crate) struct Orphan {
    /// The model of the copy.
    pub(crate) model: Reference,
    /// The replica that the worker names, which no longer holds a reservation.
    pub(crate) replica: Option<ReplicaId>,
    /// The memory that it occupies, in bytes.
    pub(crate) bytes: u64,
    /// Whether it accepts requests.
    pub(crate) ready: bool,
    /// When it was first seen.
    pub(crate) since: Time,
    /// The sequence number of the heartbeat that first showed it.
    pub(crate) first: u64,
    /// Whether the state machine refused to adopt it as a replica.
    pub(crate) refused: bool,
    /// The newest heartbeat when its unload was ordered; `None` before that.
    pub(crate) ordered: Option<u64>,
}

/// A load in progress on a worker whose replicas are not decided in the log.
#[derive(Debug, Clone)]
pub(crate) struct PendingLoad {
    /// The model being loaded.
    pub(crate) model: ModelId,
    /// When it is expected to be ready.
    pub(crate) due: Time,
}

/// A model that must not be loaded on a worker before a time.
#[derive(Debug, Clone)]
pub(crate) struct Backoff {
    /// The model.
    pub(crate) model: ModelId,
    /// When the backoff ends.
    pub(crate) until: Time,
}

/// Whether a target is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LeaveState {
    /// It is not leaving.
    Staying,
    /// Its newest heartbeat reports that it is leaving.
    ByHeartbeat,
    /// It announced this outside its heartbeats; the state lasts for the rest of its incarnation.
    Final,
}

impl From<bool> for LeaveState {
    fn from(leaving: bool) -> Self {
        if leaving {
            Self::ByHeartbeat
        } else {
            Self::Staying
        }
    }
}

/// The limit that a target names in its answers to entry hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NamedLimit {
    /// The requests that it takes from all entry hosts together.
    pub(crate) rate: RequestRate,
    /// When an entry host last reported it.
    reported_at: Time,
}

/// The soft state of one incarnation of a target.
#[derive(Debug, Clone)]
pub(crate) struct Worker {
    /// The incarnation.
    pub(crate) incarnation: Incarnation,
    /// When the leader began to track it.
    pub(crate) tracked_since: Time,
    /// When its last heartbeat arrived; before the first, when the leader began to track it.
    pub(crate) last_contact: Time,
    /// Until when its silence says nothing, since the host that took its heartbeats is silent itself.
    pub(crate) excused_until: Time,
    /// Its newest heartbeat in this term.
    pub(crate) last_heartbeat: Option<LastHeartbeat>,
    /// Whether it is suspected to have failed.
    pub(crate) suspected: bool,
    /// The limit that it names in its answers.
    pub(crate) limit: Option<NamedLimit>,
    /// Whether it is leaving.
    pub(crate) leave_state: LeaveState,
    /// Whether an entry host reported it lost since its last heartbeat.
    pub(crate) reported_lost: bool,
    /// Until when such reports alone are ignored.
    pub(crate) reports_ignored_until: Time,
    /// Copies that belong to no decided replica.
    pub(crate) orphans: Vec<Orphan>,
    /// Replicas of unmanaged models, as entry hosts see them.
    pub(crate) observed: Vec<view::Replica>,
    /// The load in progress, which is among the observed replicas.
    pending_load: Option<PendingLoad>,
    /// Models that must not be loaded here for a while.
    pub(crate) backoff: Vec<Backoff>,
}

impl Worker {
    /// Applies an entry host's report on the target's limit; returns whether the limit changed.
    ///
    /// Reports that it has ended count once no host has confirmed it for [`MAX_LIMIT_WINDOW`].
    pub(crate) fn on_limit(&mut self, reported: Option<RequestRate>, now: Time) -> bool {
        let old = self.limit.map(|limit| limit.rate);
        match (reported, self.limit) {
            (Some(rate), _) => {
                let reported_at = now;
                self.limit = Some(NamedLimit { rate, reported_at });
            }
            (None, Some(limit)) if now >= limit.reported_at + MAX_LIMIT_WINDOW => self.limit = None,
            (None, _) => {}
        }
        old != self.limit.map(|limit| limit.rate)
    }

    /// Creates the state of a target that has sent no heartbeat in this term.
    pub(crate) fn new(incarnation: Incarnation, now: Time) -> Self {
        Self {
            incarnation,
            tracked_since: now,
            last_contact: now,
            excused_until: Time::ZERO,
            last_heartbeat: None,
            suspected: false,
            limit: None,
            leave_state: LeaveState::Staying,
            reported_lost: false,
            reports_ignored_until: Time::ZERO,
            orphans: Vec::new(),
            observed: Vec::new(),
            pending_load: None,
            backoff: Vec::new(),
        }
    }

    /// Restores what the worker held under an earlier leader, until its first heartbeat.
    pub(crate) fn restore_held(&mut self, held: &[Reference]) {
        let copy = |model: &Reference| Holding {
            model: model.clone(),
            replica: None,
            stage: Stage::Ready,
            bytes: 0,
            adapters: Vec::new(),
        };
        self.last_heartbeat = Some(LastHeartbeat {
            sequence: 0,
            inventory: held.iter().map(copy).collect(),
            load: Load::default(),
        });
    }

    /// Returns the sequence number of the newest heartbeat; 0 before the first.
    pub(crate) fn sequence(&self) -> u64 {
        self.last_heartbeat
            .as_ref()
            .map_or(0, |last_heartbeat| last_heartbeat.sequence)
    }

    /// Returns whether the target may get new work.
    pub(crate) fn is_open(&self) -> bool {
        self.leave_state == LeaveState::Staying && !self.suspected
    }

    /// Returns whether models may be loaded on the target.
    pub(crate) fn is_loadable(&self) -> bool {
        self.is_open() && self.last_heartbeat.is_some()
    }

    /// Returns the accelerator memory of copies that belong to no decided replica, in bytes.
    pub(crate) fn orphan_bytes(&self) -> u64 {
        if mutation::is(Mutation::NoOrphans) {
            return 0;
        }
        let bytes = self.orphans.iter().map(|orphan| orphan.bytes);
        bytes.fold(0, u64::saturating_add)
    }

    /// Returns whether nothing runs or waits on the target.
    pub(crate) fn is_idle(&self) -> bool {
        let load = self
            .last_heartbeat
            .as_ref()
            .map(|last_heartbeat| last_heartbeat.load);
        load.is_some_and(|load| load.running == 0 && load.queued == 0)
    }

    /// Returns whether the target holds a copy of a model that belongs to no decided replica.
    pub(crate) fn has_orphan_of(&self, model: &str) -> bool {
        let mut orphans = self.orphans.iter();
        orphans.any(|it| &*it.model.model == model) && !mutation::is(Mutation::NoOrphans)
    }

    /// Returns whether a model must not be loaded here now.
    pub(crate) fn is_load_blocked(&self, model: &str, now: Time) -> bool {
        let mut backoff = self.backoff.iter();
        self.has_orphan_of(model) || backoff.any(|it| &*it.model == model && now < it.until)
    }

    /// Blocks loads of a model here until a time.
    pub(crate) fn back_off(&mut self, model: &ModelId, until: Time, now: Time) {
        self.backoff
            .retain(|it| now < it.until && it.model != *model);
        self.backoff.push(Backoff {
            model: model.clone(),
            until,
        });
    }

    /// Handles a heartbeat.
    pub(crate) fn on_heartbeat(&mut self, heartbeat: Heartbeat, now: Time, report_distrust: Time) {
        self.last_contact = now;
        self.suspected = false;
        if self.leave_state != LeaveState::Final {
            self.leave_state = LeaveState::from(heartbeat.leaving);
        }
        if std::mem::take(&mut self.reported_lost) {
            self.reports_ignored_until = now + report_distrust;
        }
        self.last_heartbeat = Some(LastHeartbeat {
            sequence: heartbeat.sequence,
            inventory: heartbeat.inventory,
            load: heartbeat.load,
        });
    }

    /// Classifies the copies that belong to no decided replica: all count as orphans, and ready
    /// ones of unmanaged models are also observed.
    ///
    /// Returns whether the observed ones changed.
    pub(crate) fn classify_copies(
        &mut self,
        target: &TargetId,
        replicas: &[&Replica],
        settings: &Settings,
        now: Time,
    ) -> bool {
        let Some(last_heartbeat) = &self.last_heartbeat else {
            return false;
        };
        let mut orphans = Vec::new();
        let mut observed = Vec::new();
        for copy in unmatched_copies(&last_heartbeat.inventory, replicas) {
            let model = settings.model(&copy.model.model);
            if model.is_some_and(|model| !settings.managed(model)) && copy.stage == Stage::Ready {
                observed.push(observed_replica(target, self.incarnation, copy));
            }
            orphans.push(self.orphan(copy, last_heartbeat.sequence, now));
        }
        let changed = observed != self.observed;
        self.orphans = orphans;
        self.observed = observed;
        changed
    }

    /// Records every ready copy as an observed replica, on a worker whose replicas are not decided
    /// in the log. `copy_status` returns the adapters of a copy and whether it accepts requests. A
    /// load in progress is recorded as loading.
    ///
    /// Returns whether the observed replicas changed.
    pub(crate) fn observe(
        &mut self,
        target: &TargetId,
        copy_status: impl Fn(&Holding) -> (Vec<Name>, view::State),
        pending_load: Option<PendingLoad>,
        now: Time,
    ) -> bool {
        let Some(last_heartbeat) = &self.last_heartbeat else {
            return false;
        };
        let ready = last_heartbeat
            .inventory
            .iter()
            .filter(|it| it.stage == Stage::Ready);
        let mut observed: Vec<_> = ready
            .map(|copy| {
                let (adapters, state) = copy_status(copy);
                view::Replica {
                    adapters,
                    state,
                    ..observed_replica(target, self.incarnation, copy)
                }
            })
            .collect();
        let pending_load =
            pending_load.filter(|it| observed.iter().all(|copy| copy.model != it.model));
        if let Some(pending_load) = &pending_load {
            let copy = loading_replica(target, self.incarnation, pending_load, now);
            let known = self.observed.iter().find(|it| it.replica == copy.replica);
            let known = known.filter(|it| it.state == view::State::Loading);
            observed.push(known.cloned().unwrap_or(copy));
        }
        self.pending_load = pending_load;
        let changed = observed != self.observed;
        self.observed = observed;
        changed
    }

    /// Returns the observed replicas, with the remaining load time as of now.
    pub(crate) fn observed(&self, now: Time) -> impl Iterator<Item = view::Replica> {
        let due = self
            .pending_load
            .as_ref()
            .map(|pending_load| pending_load.due);
        self.observed
            .iter()
            .cloned()
            .map(move |copy| view::Replica {
                ready_in_ms: match copy.state {
                    view::State::Loading => remaining_ms(due.unwrap_or_default(), now),
                    _ => 0,
                },
                ..copy
            })
    }

    /// Returns an orphan, keeping the times and order state recorded at earlier heartbeats.
    fn orphan(&self, copy: &Holding, sequence: u64, now: Time) -> Orphan {
        let same = |it: &&Orphan| it.model == copy.model && it.replica == copy.replica;
        let old = self.orphans.iter().find(same);
        Orphan {
            model: copy.model.clone(),
            replica: copy.replica,
            bytes: copy.bytes,
            ready: copy.stage == Stage::Ready,
            since: old.map_or(now, |old| old.since),
            first: old.map_or(sequence, |old| old.first),
            refused: old.is_some_and(|old| old.refused),
            ordered: old.and_then(|old| old.ordered),
        }
    }
}

/// Returns whether a copy belongs to a replica.
///
/// Workers that report replica ids are matched by id, others by model and version.
pub(crate) fn is_copy_of(replica: &Replica, copy: &Holding) -> bool {
    if let Some(id) = copy.replica {
        return id == replica.id;
    }
    let version = copy.model.version.as_ref();
    let version = version.zip(replica.version.as_ref());
    copy.stage >= Stage::Loading
        && copy.model.model == replica.model
        && version.is_none_or(|(held, decided)| held == decided)
}

/// Returns the copies in accelerator memory that belong to no replica; each replica accounts for
/// one.
fn unmatched_copies<'a>(inventory: &'a [Holding], replicas: &[&Replica]) -> Vec<&'a Holding> {
    let mut matched = Vec::new();
    let mut left = Vec::new();
    for copy in inventory.iter().filter(|it| it.stage >= Stage::Loading) {
        let mut free = replicas.iter().filter(|it| !matched.contains(&it.id));
        match free.find(|replica| is_copy_of(replica, copy)) {
            Some(replica) => matched.push(replica.id),
            None => left.push(copy),
        }
    }
    left
}

/// Returns an unmanaged copy as entry hosts see it, under an id that no decided replica gets.
fn observed_replica(target: &TargetId, incarnation: Incarnation, copy: &Holding) -> view::Replica {
    let mut hasher = blake3::Hasher::new();
    hasher.update(target.as_bytes());
    hasher.update(&incarnation.to_le_bytes());
    hasher.update(copy.model.to_string().as_bytes());
    let mut id = [0; 8];
    id.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    view::Replica {
        replica: ReplicaId::from_le_bytes(id) | OBSERVED_ID_BIT,
        model: copy.model.model.clone(),
        version: copy.model.version.clone(),
        target: target.clone(),
        state: view::State::Ready,
        ready_in_ms: 0,
        adapters: copy.adapters.clone(),
    }
}

/// Returns a copy being loaded as entry hosts see it, under the id that it keeps once it is ready.
fn loading_replica(
    target: &TargetId,
    incarnation: Incarnation,
    pending_load: &PendingLoad,
    now: Time,
) -> view::Replica {
    let copy = Holding {
        model: Reference::base(pending_load.model.clone()),
        replica: None,
        stage: Stage::Loading,
        bytes: 0,
        adapters: Vec::new(),
    };
    view::Replica {
        state: view::State::Loading,
        ready_in_ms: remaining_ms(pending_load.due, now),
        ..observed_replica(target, incarnation, &copy)
    }
}

/// Returns the remaining time, in milliseconds.
fn remaining_ms(then: Time, now: Time) -> u32 {
    let left = then.saturating_sub(now).as_millis();
    u32::try_from(left).unwrap_or(u32::MAX)
}

/// The bit that is set in ids of observed replicas and never in ids of decided ones.
pub(crate) const OBSERVED_ID_BIT: ReplicaId = 1 << 63;

/// All targets by their names.
#[derive(Debug, Default)]
pub(crate) struct Workers(BTreeMap<TargetId, Worker>);

impl std::ops::Deref for Workers {
    type Target = BTreeMap<TargetId, Worker>;

    fn deref(&self) -> &Self::Target {
        &self.0
    }
}

impl std::ops::DerefMut for Workers {
    fn deref_mut(&mut self) -> &mut Self::Target {
        &mut self.0
    }
}
