//! Decided replicas and the memory they reserve.
//!
//! A replica holds its reservation from its decision to its release. Only [`Evidence`] ends it; a
//! timeout never does.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use cornelhitch_settings::fleet::FleetSettings as Settings;
use cornelhitch_types::id::{Incarnation, ModelId, Name, ReplicaId, TargetId, Term, Time};

use cornelhitch_types::view::State;
use serde::{Deserialize, Serialize, Serializer};
use strum::{Display, EnumIter};

use crate::command::Entry;
use crate::fleet::Fleet;
use crate::mutation::{self, Mutation};

/// The number of heartbeats, counted in the target's own running time, after which an order that
/// was sent before them on a connection since closed can no longer arrive.
pub const QUIET_HEARTBEATS: u64 = 10;

/// A request to decide a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decide {
    /// The model to place.
    pub model: ModelId,
    /// The version to place; `None` where none is specified.
    pub version: Option<Name>,
    /// The worker to load.
    pub target: TargetId,
    /// The worker's incarnation.
    pub incarnation: Incarnation,
    /// Accelerator memory to reserve, in bytes.
    pub bytes: u64,
    /// The newest heartbeat of the worker that the leader has seen.
    pub after: u64,
    /// Whether the worker already holds the copy, so that no load order follows.
    pub adopted: bool,
}

/// Proof that a replica's memory is free.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Evidence {
    /// An inventory of the same incarnation, later than the order, without the replica.
    Inventory {
        /// The sequence number of the heartbeat that carried it.
        sequence: u64,
    },
    /// The worker's incarnation ended.
    Ended,
    /// The worker refused the load order, or it was never sent, and no other was sent.
    Refused,
}

/// The reason why a decision or a change of a replica was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// There is no such target.
    Target,
    /// The target runs plain services, not models.
    Service,
    /// The worker has another incarnation.
    Incarnation,
    /// The worker has been silent for long.
    Silent,
    /// The settings do not list the model.
    Model,
    /// The model's group is unmanaged.
    Unmanaged,
    /// Less memory was requested than the model needs.
    Bytes,
    /// The worker does not have enough free memory.
    Memory,
    /// The model already has its maximum number of replicas.
    Limit,
    /// The worker already has a replica of the model.
    Present,
    /// An order for the model with an unknown outcome may still arrive at the worker.
    Quiet,
    /// There is no such replica.
    Replica,
    /// The evidence does not prove that the memory is free.
    Evidence,
}

/// The result of a command about a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The replica was decided.
    Decided(Replica),
    /// The replica changed as requested, or already had that state.
    Done,
    /// The reservation ended.
    Released(Replica),
    /// Nothing changed.
    Refused(Refusal),
}

/// A replica that holds a reservation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// The id, never reused.
    pub id: ReplicaId,
    /// The model it holds.
    pub model: ModelId,
    /// The version it holds; `None` where none is specified.
    pub version: Option<Name>,
    /// The worker it is on.
    pub target: TargetId,
    /// The worker's incarnation.
    pub incarnation: Incarnation,
    /// Accelerator memory reserved, in bytes.
    pub bytes: u64,
    /// Whether it is loading, ready or retiring.
    pub state: State,
    /// The term in which it was decided.
    pub term: Term,
    /// When it was decided.
    pub decided: Time,
    /// When it was first seen ready.
    pub ready: Option<Time>,
    /// Whether the worker held the copy before the decision, so that no load was ordered.
    pub adopted: bool,
    /// The newest heartbeat known when it was decided, or that showed it ready.
    pub after: u64,
}

/// A model that must not be loaded on a worker for a while.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quiet {
    /// The worker concerned.
    pub target: TargetId,
    /// The worker's incarnation.
    pub incarnation: Incarnation,
    /// The model concerned.
    pub model: ModelId,
    /// The first heartbeat from which it may be loaded again. Heartbeats count the worker's running
    /// time, so the clock of a control host does not matter.
    pub until: u64,
}

/// All replicas that hold a reservation.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(from = "Image")]
pub struct Replicas {
    last: ReplicaId,
    standing: BTreeMap<ReplicaId, Replica>,
    quiet: VecDeque<Quiet>,
    /// The number of replicas ever decided, by model.
    decided: BTreeMap<ModelId, u64>,
    /// Derived from `standing`.
    targets: BTreeMap<TargetId, Reservations>,
    /// Derived from `standing`.
    models: BTreeMap<ModelId, BTreeSet<ReplicaId>>,
}

/// The replicas of one worker and their memory.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Reservations {
    reserved: u64,
    replicas: BTreeSet<ReplicaId>,
}

/// Replicas as decoded from a snapshot.
#[derive(Debug, Deserialize)]
struct Image {
    last: ReplicaId,
    standing: Vec<Replica>,
    quiet: VecDeque<Quiet>,
    decided: BTreeMap<ModelId, u64>,
}

/// Replicas as encoded into a snapshot, with the layout of [`Image`].
#[derive(Serialize)]
struct ImageRef<'a> {
    last: ReplicaId,
    standing: Vec<&'a Replica>,
    quiet: &'a VecDeque<Quiet>,
    decided: &'a BTreeMap<ModelId, u64>,
}

impl Serialize for Replicas {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let image = ImageRef {
            last: self.last,
            standing: self.standing.values().collect(),
            quiet: &self.quiet,
            decided: &self.decided,
        };
        image.serialize(serializer)
    }
}

impl From<Image> for Replicas {
    fn from(image: Image) -> Self {
        let mut replicas = Self {
            last: if mutation::is(Mutation::ReusedIds) {
                0
            } else {
                image.last
            },
            quiet: image.quiet,
            decided: image.decided,
            ..Self::default()
        };
        for replica in image.standing {
            replicas.insert(replica);
        }
        replicas
    }
}

impl Replicas {
    /// Returns a replica that holds a reservation.
    #[must_use]
    pub fn get(&self, replica: ReplicaId) -> Option<&Replica> {
        self.standing.get(&replica)
    }

    /// Returns the number of replicas of a model that were ever decided.
    #[must_use]
    pub fn decided(&self, model: &str) -> u64 {
        self.decided.get(model).copied().unwrap_or_default()
    }

    /// Returns all replicas in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &Replica> {
        self.standing.values()
    }

    /// Returns the replicas of one worker.
    pub fn on_target<'a>(&'a self, target: &str) -> impl Iterator<Item = &'a Replica> {
        let ids = self.targets.get(target).into_iter();
        ids.flat_map(|reservations| &reservations.replicas)
            .filter_map(|id| self.standing.get(id))
    }

    /// Returns the replicas of one model.
    pub fn of_model<'a>(&'a self, model: &str) -> impl Iterator<Item = &'a Replica> {
        let ids = self.models.get(model).into_iter().flatten();
        ids.filter_map(|id| self.standing.get(id))
    }

    /// Returns the memory reserved on a worker, in bytes.
    #[must_use]
    pub fn reserved(&self, target: &str) -> u64 {
        self.targets
            .get(target)
            .map_or(0, |reservations| reservations.reserved)
    }

    /// Returns the models that must not be loaded on workers for a while.
    pub fn quiet(&self) -> impl Iterator<Item = &Quiet> {
        self.quiet.iter()
    }

    /// Returns the newest replica id that was assigned.
    #[must_use]
    pub fn last(&self) -> ReplicaId {
        self.last
    }

    /// Decides a replica, if every rule allows it.
    pub(crate) fn decide(
        &mut self,
        decide: Decide,
        settings: &Settings,
        fleet: &Fleet,
        entry: &Entry,
    ) -> Answer {
        if let Err(refusal) = self.check(&decide, settings, fleet) {
            return Answer::Refused(refusal);
        }
        self.last += 1;
        let replica = Replica {
            id: self.last,
            model: decide.model,
            version: decide.version,
            target: decide.target,
            incarnation: decide.incarnation,
            bytes: decide.bytes,
            state: State::Loading,
            term: entry.term,
            decided: entry.time,
            ready: None,
            adopted: decide.adopted,
            after: decide.after,
        };
        *self.decided.entry(replica.model.clone()).or_default() += 1;
        self.insert(replica.clone());
        Answer::Decided(replica)
    }

    /// Records that a heartbeat showed a replica ready.
    pub(crate) fn ready(&mut self, id: ReplicaId, sequence: u64, now: Time) -> Answer {
        let Some(replica) = self.standing.get_mut(&id) else {
            return Answer::Refused(Refusal::Replica);
        };
        replica.after = replica.after.max(sequence);
        if replica.ready.is_none() {
            replica.ready = Some(now);
        }
        if replica.state == State::Loading {
            replica.state = State::Ready;
        }
        Answer::Done
    }

    /// Retires a replica.
    pub(crate) fn retire(&mut self, id: ReplicaId) -> Answer {
        let Some(replica) = self.standing.get_mut(&id) else {
            return Answer::Refused(Refusal::Replica);
        };
        replica.state = State::Retiring;
        Answer::Done
    }

    /// Ends a reservation, if the evidence proves that its memory is free.
    pub(crate) fn release(
        &mut self,
        id: ReplicaId,
        evidence: Evidence,
        unknown: bool,
        fleet: &Fleet,
    ) -> Answer {
        let Some(replica) = self.standing.get(&id) else {
            return Answer::Refused(Refusal::Replica);
        };
        let registered = fleet.get_incarnation(&replica.target, replica.incarnation);
        let proven = match evidence {
            Evidence::Inventory { sequence } => replica.is_proven_absent(sequence),
            Evidence::Ended => registered.is_none(),
            Evidence::Refused => replica.ready.is_none() && !replica.adopted,
        };
        if !proven {
            return Answer::Refused(Refusal::Evidence);
        }
        let Some(replica) = self.remove(id) else {
            return Answer::Refused(Refusal::Replica);
        };
        let sequence = match evidence {
            Evidence::Inventory { sequence } => sequence,
            Evidence::Ended | Evidence::Refused => replica.after,
        };
        self.update_quiet(&replica, sequence, unknown);
        Answer::Released(replica)
    }

    /// Drops the quiet periods of the worker that have ended, and starts one if an order may still
    /// arrive.
    fn update_quiet(&mut self, replica: &Replica, sequence: u64, unknown: bool) {
        self.quiet
            .retain(|quiet| quiet.target != replica.target || sequence < quiet.until);
        if unknown {
            self.quiet.push_back(Quiet {
                target: replica.target.clone(),
                incarnation: replica.incarnation,
                model: replica.model.clone(),
                until: sequence.saturating_add(QUIET_HEARTBEATS),
            });
        }
    }

    /// Ends all reservations on a worker whose incarnation ended.
    pub(crate) fn release_all(&mut self, target: &str) {
        let ids: Vec<ReplicaId> = self.on_target(target).map(|replica| replica.id).collect();
        for id in ids {
            self.remove(id);
        }
        self.quiet.retain(|quiet| &*quiet.target != target);
    }

    /// Adds a replica and counts its memory.
    fn insert(&mut self, replica: Replica) {
        let reservations = self.targets.entry(replica.target.clone()).or_default();
        reservations.reserved = reservations.reserved.saturating_add(replica.bytes);
        reservations.replicas.insert(replica.id);
        let ids = self.models.entry(replica.model.clone()).or_default();
        ids.insert(replica.id);
        self.standing.insert(replica.id, replica);
    }

    /// Removes a replica and its memory reservation.
    fn remove(&mut self, id: ReplicaId) -> Option<Replica> {
        let replica = self.standing.remove(&id)?;
        if let Some(reservations) = self.targets.get_mut(&replica.target) {
            reservations.reserved = reservations.reserved.saturating_sub(replica.bytes);
            reservations.replicas.remove(&id);
            if reservations.replicas.is_empty() {
                self.targets.remove(&replica.target);
            }
        }
        if let Some(ids) = self.models.get_mut(&replica.model) {
            ids.remove(&id);
            if ids.is_empty() {
                self.models.remove(&replica.model);
            }
        }
        Some(replica)
    }
}

impl Replica {
    /// Returns whether an inventory without this replica proves that it is gone.
    ///
    /// Once the replica was seen ready, any later inventory does. Before that its order may still
    /// be in flight, so the worker must have run for another [`QUIET_HEARTBEATS`] heartbeats.
    pub(crate) fn is_proven_absent(&self, sequence: u64) -> bool {
        match self.ready {
            Some(_) => sequence > self.after,
            None if mutation::is(Mutation::EarlyRelease) => true,
            None => sequence >= self.after.saturating_add(QUIET_HEARTBEATS),
        }
    }
}
