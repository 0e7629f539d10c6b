//! What was done to an engine, over all its lives.

use std::collections::BTreeMap;
use std::time::Duration;

use cornelhitch_types::id::{ModelId, Name, ReplicaId};

/// A load of a model for a replica.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Load {
    /// The model.
    pub model: ModelId,
    /// The replica that the order named.
    pub replica: ReplicaId,
}

/// Counts since the engine was built.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counters {
    /// Loads begun, by model and replica.
    pub loads: BTreeMap<Load, u32>,
    /// Loads that became ready.
    pub loaded: u32,
    /// Unloads done.
    pub unloads: u32,
    /// The most accelerator memory in use at once, in bytes.
    pub memory_peak: u64,
    /// Load orders that did not fit.
    pub overcommits: u32,
    /// Orders refused for an old fencing number.
    pub fenced: u32,
    /// Tokens generated.
    pub tokens: u64,
    /// Times that each request began to run.
    pub runs: BTreeMap<Name, u32>,
    /// Requests answered whole.
    pub answered: u32,
    /// Requests cancelled, or left by their caller.
    pub cancelled: u32,
    /// Requests broken off by an unload.
    pub cut: u32,
    /// Crashes, by whatever cause.
    pub crashes: u32,
    /// How long after its farewell the last new request came.
    pub after_leaving: Option<Duration>,
    /// The largest batch.
    pub batch_peak: u32,
}

impl Counters {
    /// Loads begun for a model, over all replicas.
    #[must_use]
    pub fn loads_of(&self, model: &str) -> u32 {
        let rows = self.loads.iter().filter(|(load, _)| &*load.model == model);
        rows.map(|(_, count)| count).sum()
    }

    /// Replicas that were loaded more than once.
    #[must_use]
    pub fn doubled(&self) -> Vec<Load> {
        let rows = self.loads.iter().filter(|(_, count)| **count > 1);
        rows.map(|(load, _)| load.clone()).collect()
    }
}
