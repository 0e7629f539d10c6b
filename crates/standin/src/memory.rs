//! What an engine holds, in accelerator memory and below; no I/O.

use std::collections::BTreeMap;

use cornelhitch_types::id::{ModelId, Name, ReplicaId};
use cornelhitch_types::model::Reference;
use cornelhitch_types::target::{Holding, Stage};

/// Names one copy in accelerator memory within a life.
pub type Serial = u64;

/// A copy in accelerator memory.
#[derive(Debug, Clone)]
pub struct Copy {
    /// Names it.
    pub serial: Serial,
    /// The model and version.
    pub model: Reference,
    /// The replica that the order named.
    pub replica: ReplicaId,
    /// Bytes it takes.
    pub bytes: u64,
    /// Whether it answers.
    pub ready: bool,
    /// Adapters that are ready on it.
    pub adapters: Vec<Name>,
}

/// What became of a load order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Begun {
    /// A new copy is reserved.
    New(Serial),
    /// The replica is there already.
    Known,
    /// It does not fit.
    Full,
}

/// An engine's copies.
#[derive(Debug)]
pub struct Memory {
    /// Accelerator memory in bytes.
    pub size: u64,
    /// Whether replica ids are kept.
    pub keeps_replicas: bool,
    /// Copies in accelerator memory.
    pub copies: Vec<Copy>,
    /// How near models are otherwise; those that are not listed are remote.
    pub stages: BTreeMap<ModelId, Stage>,
    /// The last serial that was given.
    last: Serial,
}

impl Memory {
    /// Empty accelerators above some stages.
    pub fn new(size: u64, keeps_replicas: bool, stages: BTreeMap<ModelId, Stage>) -> Self {
        Self {
            size,
            keeps_replicas,
            copies: Vec::new(),
            stages,
            last: 0,
        }
    }

    /// Bytes in use.
    pub fn used(&self) -> u64 {
        self.copies.iter().map(|copy| copy.bytes).sum()
    }

    /// Where the nearest copy of a model is outside accelerator memory.
    pub fn stage(&self, model: &str) -> Stage {
        self.stages.get(model).copied().unwrap_or(Stage::Remote)
    }

    /// Brings a model at least to a stage.
    pub fn bring(&mut self, model: &ModelId, stage: Stage) {
        let nearer = self.stage(model).max(stage);
        self.stages.insert(model.clone(), nearer);
    }

    /// Reserves room for a copy.
    pub fn load(&mut self, model: Reference, replica: ReplicaId, bytes: u64) -> Begun {
        let known = self.copies.iter().any(|copy| copy.replica == replica);
        if known && self.keeps_replicas {
            return Begun::Known;
        }
        if self.used().saturating_add(bytes) > self.size {
            return Begun::Full;
        }
        self.last += 1;
        self.copies.push(Copy {
            serial: self.last,
            model,
            replica,
            bytes,
            ready: false,
            adapters: Vec::new(),
        });
        Begun::New(self.last)
    }

    /// Marks a copy as answering, if it is still there.
    pub fn ready(&mut self, serial: Serial) -> bool {
        let copy = self.copies.iter_mut().find(|copy| copy.serial == serial);
        copy.map(|copy| copy.ready = true).is_some()
    }

    /// Frees a copy: the replica's, or where ids are not kept the first of the model.
    pub fn unload(&mut self, model: &Reference, replica: ReplicaId) -> Option<Copy> {
        let at = self.copies.iter().position(|copy| {
            if self.keeps_replicas {
                copy.replica == replica
            } else {
                copy.model.model == model.model
            }
        });
        at.map(|at| self.copies.remove(at))
    }

    /// Adds an adapter to a copy that answers.
    pub fn adapt(&mut self, model: &Reference, replica: ReplicaId) -> bool {
        let Some(adapter) = model.adapter.clone() else {
            return false;
        };
        let keeps = self.keeps_replicas;
        let copy = self
            .copies
            .iter_mut()
            .find(|copy| copy.model.model == model.model && (!keeps || copy.replica == replica));
        let Some(copy) = copy else { return false };
        if !copy.adapters.contains(&adapter) {
            copy.adapters.push(adapter);
        }
        true
    }

    /// The copy that would answer a request for a model.
    pub fn answering(&self, model: &Reference) -> Option<&Copy> {
        self.copies.iter().find(|copy| {
            let version = model.version.is_none() || copy.model.version == model.version;
            let adapter = model.adapter.as_ref();
            let adapter = adapter.is_none_or(|adapter| copy.adapters.contains(adapter));
            copy.ready && copy.model.model == model.model && version && adapter
        })
    }

    /// Whether a copy is still there.
    pub fn holds(&self, serial: Serial) -> bool {
        self.copies.iter().any(|copy| copy.serial == serial)
    }

    /// All copies, as heartbeats list them.
    pub fn inventory(&self) -> Vec<Holding> {
        let copies = self.copies.iter().map(|copy| Holding {
            model: copy.model.clone(),
            replica: self.keeps_replicas.then_some(copy.replica),
            stage: if copy.ready {
                Stage::Ready
            } else {
                Stage::Loading
            },
            bytes: copy.bytes,
            adapters: copy.adapters.clone(),
        });
        let below = self.stages.iter().map(|(model, stage)| Holding {
            model: Reference::base(model.clone()),
            replica: None,
            stage: *stage,
            bytes: 0,
            adapters: Vec::new(),
        });
        copies.chain(below).collect()
    }
}
