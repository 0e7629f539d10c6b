//! Model copies of an engine in accelerator memory, host memory and on disk; no I/O.

use std::collections::BTreeMap;

use cornelhitch_types::id::{ModelId, Name, ReplicaId};
use cornelhitch_types::model::Reference;
use cornelhitch_types::target::{self, Stage};

/// Identifies a copy in accelerator memory within one engine process.
pub type CopyId = u64;

/// A model copy in accelerator memory.
#[derive(Debug, Clone)]
pub struct ModelCopy {
    /// Unique within the engine process.
    pub id: CopyId,
    /// The model and version.
    pub model: Reference,
    /// The replica that the load order named.
    pub replica: ReplicaId,
    /// Accelerator memory that the copy occupies, in bytes.
    pub bytes: u64,
    /// Whether the copy is loaded and serves requests.
    pub ready: bool,
    /// Adapters that are loaded on the copy.
    pub adapters: Vec<Name>,
}

/// The result of reserving memory for a load order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadOutcome {
    /// Memory is reserved for a new copy.
    Reserved(CopyId),
    /// The replica has a copy already, ready or loading.
    AlreadyPresent,
    /// Not enough accelerator memory is free.
    OutOfMemory,
}

/// All model copies of an engine process.
#[derive(Debug)]
pub struct Memory {
    /// Accelerator memory in bytes.
    pub capacity: u64,
    /// Whether copies of a model are distinguished by replica id.
    pub tracks_replicas: bool,
    /// Copies in accelerator memory.
    pub copies: Vec<ModelCopy>,
    /// The nearest stage of each model below accelerator memory; unlisted models are remote.
    pub stages: BTreeMap<ModelId, Stage>,
    /// The id assigned last.
    last_id: CopyId,
}

impl Memory {
    /// Creates an empty accelerator memory above models at the given stages.
    pub fn new(capacity: u64, tracks_replicas: bool, stages: BTreeMap<ModelId, Stage>) -> Self {
        Self {
            capacity,
            tracks_replicas,
            copies: Vec::new(),
            stages,
            last_id: 0,
        }
    }

    /// Returns the accelerator memory in use, copies that are loading included.
    pub fn used_bytes(&self) -> u64 {
        self.copies.iter().map(|copy| copy.bytes).sum()
    }

    /// Returns the nearest stage of a model outside accelerator memory.
    pub fn stage(&self, model: &str) -> Stage {
        self.stages.get(model).copied().unwrap_or(Stage::Remote)
    }

    /// Records that a model is available at least at a stage.
    pub fn raise_stage(&mut self, model: &ModelId, stage: Stage) {
        let raised = self.stage(model).max(stage);
        self.stages.insert(model.clone(), raised);
    }

    /// Reserves accelerator memory for a copy.
    pub fn load(&mut self, model: Reference, replica: ReplicaId, bytes: u64) -> LoadOutcome {
        let already_present = self.copies.iter().any(|copy| copy.replica == replica);
        if already_present && self.tracks_replicas {
            return LoadOutcome::AlreadyPresent;
        }
        if self.used_bytes().saturating_add(bytes) > self.capacity {
            return LoadOutcome::OutOfMemory;
        }
        self.last_id += 1;
        self.copies.push(ModelCopy {
            id: self.last_id,
            model,
            replica,
            bytes,
            ready: false,
            adapters: Vec::new(),
        });
        LoadOutcome::Reserved(self.last_id)
    }

    /// Marks a copy as ready; returns `false` if it has been unloaded.
    pub fn mark_ready(&mut self, id: CopyId) -> bool {
        let copy = self.copies.iter_mut().find(|copy| copy.id == id);
        copy.map(|copy| copy.ready = true).is_some()
    }

    /// Removes the replica's copy, or the model's first one if replica ids are not tracked.
    pub fn unload(&mut self, model: &Reference, replica: ReplicaId) -> Option<ModelCopy> {
        let at = self.copies.iter().position(|copy| {
            if self.tracks_replicas {
                copy.replica == replica
            } else {
                copy.model.model == model.model
            }
        });
        at.map(|at| self.copies.remove(at))
    }

    /// Adds an adapter to a copy; returns `false` without an adapter or a matching copy.
    pub fn add_adapter(&mut self, model: &Reference, replica: ReplicaId) -> bool {
        let Some(adapter) = model.adapter.clone() else {
            return false;
        };
        let tracked = self.tracks_replicas;
        let copy = self
            .copies
            .iter_mut()
            .find(|copy| copy.model.model == model.model && (!tracked || copy.replica == replica));
        let Some(copy) = copy else { return false };
        if !copy.adapters.contains(&adapter) {
            copy.adapters.push(adapter);
        }
        true
    }

    /// Returns the first ready copy that can serve the model, version and adapter.
    pub fn find_ready(&self, model: &Reference) -> Option<&ModelCopy> {
        self.copies.iter().find(|copy| {
            let version = model.version.is_none() || copy.model.version == model.version;
            let adapter = model.adapter.as_ref();
            let adapter = adapter.is_none_or(|adapter| copy.adapters.contains(adapter));
            copy.ready && copy.model.model == model.model && version && adapter
        })
    }

    /// Returns whether a copy is still in accelerator memory.
    pub fn contains(&self, id: CopyId) -> bool {
        self.copies.iter().any(|copy| copy.id == id)
    }

    /// Lists all copies for a heartbeat, accelerator memory first.
    pub fn inventory(&self) -> Vec<target::Holding> {
        let copies = self.copies.iter().map(|copy| target::Holding {
            model: copy.model.clone(),
            replica: self.tracks_replicas.then_some(copy.replica),
            stage: if copy.ready {
                Stage::Ready
            } else {
                Stage::Loading
            },
            bytes: copy.bytes,
            adapters: copy.adapters.clone(),
        });
        let below = self.stages.iter().map(|(model, stage)| target::Holding {
            model: Reference::base(model.clone()),
            replica: None,
            stage: *stage,
            bytes: 0,
            adapters: Vec::new(),
        });
        copies.chain(below).collect()
    }
}
