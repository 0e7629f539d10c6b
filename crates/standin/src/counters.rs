//! Counters of a fake engine over all its restarts, for tests to compare with the system's decisions.

use std::collections::BTreeMap;
use std::time::Duration;

use cornelhitch_types::id::{ModelId, Name, ReplicaId};

/// Identifies a load by model and replica.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Load {
    /// The model, without adapter and version.
    pub model: ModelId,
    /// The replica that the load order named.
    pub replica: ReplicaId,
}

/// Counts since the engine was built, over all restarts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counters {
    /// Loads started, by model and replica.
    pub loads: BTreeMap<Load, u32>,
    /// Loads that became ready.
    pub loads_completed: u32,
    /// Copies unloaded.
    pub unloads: u32,
    /// Maximum accelerator memory in use at once, in bytes.
    pub memory_peak_bytes: u64,
    /// Load orders refused because not enough accelerator memory was free.
    pub loads_over_capacity: u32,
    /// Orders refused because of an old fencing token.
    pub fenced: u32,
    /// Tokens generated.
    pub tokens: u64,
    /// How often each request, by its id, started to run.
    pub runs: BTreeMap<Name, u32>,
    /// Requests whose response was complete.
    pub answered: u32,
    /// Requests cancelled, or abandoned by their caller.
    pub cancelled: u32,
    /// Requests aborted because their model copy was unloaded.
    pub aborted_by_unload: u32,
    /// Crashes, whatever their cause.
    pub crashes: u32,
    /// Time from the leave message to the last new request; `None` if none arrived after it.
    pub last_request_after_leave: Option<Duration>,
    /// Maximum number of requests in the batch at once.
    pub batch_peak: u32,
}

impl Counters {
    /// Returns the number of loads started for a model, over all replicas.
    #[must_use]
    pub fn loads_of(&self, model: &str) -> u32 {
        let matching = self.loads.iter().filter(|(load, _)| &*load.model == model);
        matching.map(|(_, count)| count).sum()
    }

    /// Returns the replicas that were loaded more than once.
    #[must_use]
    pub fn duplicate_loads(&self) -> Vec<Load> {
        let matching = self.loads.iter().filter(|(_, count)| **count > 1);
        matching.map(|(load, _)| load.clone()).collect()
    }
}
