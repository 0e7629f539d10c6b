//! The fleet state, indexed for one planning pass and updated with its decisions.

use std::collections::{HashMap, HashSet};

use cornelhitch_types::id::ReplicaId;
use cornelhitch_types::view::State;

use crate::demand::ModelVersion;
use crate::fleet_state::{FleetState, Replica, Worker};
use crate::pending::{PendingAction, PendingDecisions, matches_version};

/// The position of a worker in the fleet state.
pub type WorkerIndex = usize;

/// The accelerator memory of one worker after the decisions so far, in bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkerMemory {
    /// Memory that a load may take now.
    pub free: u64,
    /// Memory that draining replicas will free.
    pub draining: u64,
}

/// The replicas of one model.
#[derive(Debug, Default)]
struct ModelReplicas<'a> {
    replicas: Vec<&'a Replica>,
    /// The number of replicas that are not being unloaded.
    staying: u32,
}

/// An index of the workers and replicas in a fleet state.
#[derive(Debug)]
pub struct FleetIndex<'a> {
    /// The indexed fleet state.
    pub fleet_state: &'a FleetState,
    memory: Vec<WorkerMemory>,
    worker_positions: HashMap<&'a str, WorkerIndex>,
    replicas_by_model: HashMap<&'a str, ModelReplicas<'a>>,
    replicas_by_worker: Vec<Vec<&'a Replica>>,
    leaving: HashSet<ReplicaId>,
    pending_loads: Vec<(ModelVersion, WorkerIndex)>,
}

impl<'a> FleetIndex<'a> {
    /// Indexes the workers and replicas of a fleet state.
    #[must_use]
    pub fn new(fleet_state: &'a FleetState) -> Self {
        let workers = fleet_state.workers.iter().enumerate();
        let mut index = Self {
            fleet_state,
            memory: fleet_state.workers.iter().map(reported_memory).collect(),
            worker_positions: workers.map(|(index, w)| (&*w.target, index)).collect(),
            replicas_by_model: HashMap::new(),
            replicas_by_worker: vec![Vec::new(); fleet_state.workers.len()],
            leaving: HashSet::new(),
            pending_loads: Vec::new(),
        };
        for replica in &fleet_state.replicas {
            index.add_replica(replica);
        }
        index
    }

    /// Adds one replica to the index.
    fn add_replica(&mut self, replica: &'a Replica) {
        let group = self.replicas_by_model.entry(&*replica.model).or_default();
        group.replicas.push(replica);
        let retiring = replica.state == State::Retiring;
        group.staying += u32::from(!retiring);
        let Some(worker) = self.worker_index(&replica.target) else {
            return;
        };
        self.replicas_by_worker[worker].push(replica);
        if retiring {
            self.memory[worker].draining += replica.bytes;
        }
    }

    /// Applies pending decisions.
    pub fn apply_pending(&mut self, pending: &PendingDecisions) {
        for action in pending.iter() {
            match action {
                PendingAction::Load {
                    key, target, bytes, ..
                } => {
                    if let Some(worker) = self.worker_index(target) {
                        self.apply_load(key, worker, *bytes);
                    }
                }
                PendingAction::Unload(id, target) => {
                    if let Some(replica) = self.find_replica(*id, target) {
                        self.apply_unload(replica);
                    }
                }
                PendingAction::Adapter { .. } | PendingAction::Warm(..) => {}
            }
        }
    }

    /// Returns the replica with the given id on a worker.
    #[must_use]
    pub fn find_replica(&self, id: ReplicaId, target: &str) -> Option<&'a Replica> {
        let mut replicas = self.replicas_on(self.worker_index(target)?);
        replicas.find(|replica| replica.replica == id)
    }

    /// Returns the position of a worker, or `None` if it is not in the fleet state.
    #[must_use]
    pub fn worker_index(&self, target: &str) -> Option<WorkerIndex> {
        self.worker_positions.get(target).copied()
    }

    /// Returns the worker at a position.
    #[must_use]
    pub fn worker(&self, index: WorkerIndex) -> &'a Worker {
        &self.fleet_state.workers[index]
    }

    /// Returns the memory of a worker after the decisions so far.
    #[must_use]
    pub fn memory(&self, index: WorkerIndex) -> WorkerMemory {
        self.memory[index]
    }

    /// Returns the replicas of a model, in any version and state.
    pub fn replicas_of(&self, model: &str) -> impl Iterator<Item = &'a Replica> + use<'a, '_> {
        let groups = self.replicas_by_model.get(model).into_iter();
        groups.flat_map(|group| group.replicas.iter().copied())
    }

    /// Returns the replicas on a worker, in any state.
    pub fn replicas_on(
        &self,
        index: WorkerIndex,
    ) -> impl Iterator<Item = &'a Replica> + use<'a, '_> {
        self.replicas_by_worker[index].iter().copied()
    }

    /// Returns whether a replica is being unloaded or was decided to be.
    #[must_use]
    pub fn is_leaving(&self, replica: &Replica) -> bool {
        replica.state == State::Retiring || self.leaving.contains(&replica.replica)
    }

    /// Returns the number of replicas of a model, in any version, that are not being unloaded.
    #[must_use]
    pub fn staying_count(&self, model: &str) -> u32 {
        self.replicas_by_model
            .get(model)
            .map_or(0, |group| group.staying)
    }

    /// Returns whether the same model and version has another ready replica that is not being
    /// unloaded.
    #[must_use]
    pub fn has_other_ready(&self, replica: &Replica) -> bool {
        let mut others = self.replicas_of(&replica.model);
        others.any(|other| {
            other.replica != replica.replica
                && other.version == replica.version
                && other.state == State::Ready
                && !self.is_leaving(other)
        })
    }

    /// Returns the replicas of a model and version that are not being unloaded, loading ones
    /// included.
    pub fn staying_replicas(
        &self,
        key: &ModelVersion,
    ) -> impl Iterator<Item = &'a Replica> + use<'a, '_> {
        let key = key.clone();
        self.replicas_of(&key.model.clone())
            .filter(move |replica| matches_version(replica, &key) && !self.is_leaving(replica))
    }

    /// Returns the number of loads of a model and version that the fleet state does not reflect
    /// yet.
    #[must_use]
    pub fn pending_loads(&self, key: &ModelVersion) -> u32 {
        let loads = self.pending_loads.iter().filter(|(known, _)| known == key);
        u32::try_from(loads.count()).unwrap_or(u32::MAX)
    }

    /// Returns the number of existing and pending replicas of a model, in any version and state.
    #[must_use]
    pub fn replica_count(&self, model: &str) -> u32 {
        let loads = self
            .pending_loads
            .iter()
            .filter(|(key, _)| *key.model == *model);
        let decided = loads.count() + self.replicas_of(model).count();
        u32::try_from(decided).unwrap_or(u32::MAX)
    }

    /// Returns, by worker position, whether the worker has or is getting a replica of a model.
    #[must_use]
    pub fn workers_holding(&self, model: &str) -> Vec<bool> {
        let mut holders = vec![false; self.memory.len()];
        let replicas = self
            .replicas_of(model)
            .filter_map(|replica| self.worker_index(&replica.target));
        let loads = self
            .pending_loads
            .iter()
            .filter(|(key, _)| *key.model == *model);
        for worker in replicas.chain(loads.map(|(_, worker)| *worker)) {
            holders[worker] = true;
        }
        holders
    }

    /// Applies a load: takes the memory and remembers the load.
    pub fn apply_load(&mut self, key: &ModelVersion, worker: WorkerIndex, bytes: u64) {
        let memory = &mut self.memory[worker];
        memory.free = memory.free.saturating_sub(bytes);
        self.pending_loads.push((key.clone(), worker));
    }

    /// Applies an unload; its memory does not count as free until the fleet state shows it as free.
    pub fn apply_unload(&mut self, replica: &'a Replica) {
        if self.is_leaving(replica) {
            return;
        }
        self.leaving.insert(replica.replica);
        if let Some(group) = self.replicas_by_model.get_mut(&*replica.model) {
            group.staying = group.staying.saturating_sub(1);
        }
        if let Some(worker) = self.worker_index(&replica.target) {
            self.memory[worker].draining += replica.bytes;
        }
    }

    /// Sets memory of a worker aside for a load that waits until replicas are unloaded.
    pub fn reserve(&mut self, worker: WorkerIndex, bytes: u64) {
        let memory = &mut self.memory[worker];
        let now = memory.free.min(bytes);
        memory.free -= now;
        memory.draining = memory.draining.saturating_sub(bytes - now);
    }
}

/// Returns the memory of a worker as reported.
fn reported_memory(worker: &Worker) -> WorkerMemory {
    WorkerMemory {
        free: worker.free,
        draining: 0,
    }
}
