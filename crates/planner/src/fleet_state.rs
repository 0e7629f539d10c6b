//! The planner's input: the state of the fleet at one moment.

use std::sync::Arc;

use cornelhitch_settings::fleet::FleetSettings;
use cornelhitch_types::id::{ModelId, Name, RegionId, ReplicaId, TargetId, Time, ZoneId};
use cornelhitch_types::target::Stage;
use cornelhitch_types::view::State;
use serde::{Deserialize, Serialize};

/// The state of the fleet at one moment: the committed state and the latest reports.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetState {
    /// The settings in force.
    pub settings: Arc<FleetSettings>,
    /// Registered workers, sorted by name.
    pub workers: Vec<Worker>,
    /// Replicas whose load was decided and whose memory is still reserved.
    pub replicas: Vec<Replica>,
    /// Demand summed over all entry hosts, one row for each model and region.
    pub demand: Vec<Demand>,
    /// Adapter loads that were ordered and not yet reported as ready.
    pub adapters_in_flight: u32,
}

/// A worker and its free resources.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// The worker's name.
    pub target: TargetId,
    /// The region that it is in.
    pub region: RegionId,
    /// The availability zone that it is in.
    pub zone: ZoneId,
    /// Accelerator memory in bytes.
    pub memory: u64,
    /// Accelerator memory in bytes that is neither reserved nor taken by a copy of unknown origin.
    pub free: u64,
    /// The number of accelerators.
    pub accelerators: u32,
    /// Whether models may be loaded on it: it is neither leaving nor suspected of having failed.
    #[serde(rename = "open")]
    pub accepts_loads: bool,
    /// Copies of weights on disk and in host memory.
    pub copies: Vec<WeightCopy>,
    /// Models that must not be loaded on it for now, after an order with unknown outcome.
    #[serde(rename = "quiet")]
    pub cooldowns: Vec<LoadCooldown>,
}

/// A copy of a model's weights on a worker's disk or in its host memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightCopy {
    /// The model that was copied.
    pub model: ModelId,
    /// Whether the copy is on disk or in host memory.
    pub stage: Stage,
}

/// A model that must not be loaded on a worker before a given time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadCooldown {
    /// The model that must not be loaded.
    pub model: ModelId,
    /// The time from which it may be loaded again.
    pub until: Time,
}

/// A replica and its activity.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// The replica's id.
    pub replica: ReplicaId,
    /// The model that it serves.
    pub model: ModelId,
    /// The version that it serves; `None` if the model has no versions.
    pub version: Option<Name>,
    /// The worker that holds it.
    pub target: TargetId,
    /// Reserved accelerator memory in bytes.
    pub bytes: u64,
    /// Its lifecycle state.
    pub state: State,
    /// When its load was decided.
    #[serde(rename = "decided")]
    pub decided_at: Time,
    /// When it was first reported as ready; `None` before that.
    #[serde(rename = "ready")]
    pub ready_at: Option<Time>,
    /// Where its weights were loaded from, if known.
    pub from: Stage,
    /// Requests in progress, summed over the entry hosts.
    pub running: u32,
    /// When a request was last in progress on it.
    #[serde(rename = "used")]
    pub last_used: Time,
    /// Adapters that are ready on it.
    pub adapters: Vec<Name>,
}

/// The demand for one model from one region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The requested model.
    pub model: ModelId,
    /// The requested version, or the one in force.
    pub version: Option<Name>,
    /// The region of the entry hosts that received the requests.
    pub region: RegionId,
    /// Requests waiting for a replica.
    pub waiting: u32,
    /// Requests in progress.
    pub running: u32,
    /// The earliest deadline of the waiting requests.
    pub deadline: Time,
    /// The largest class weight of the waiting requests.
    pub weight: u32,
    /// Requests that arrived since the last call of the planner.
    pub arrivals: u64,
    /// Adapters that waiting requests name.
    pub adapters: Vec<Name>,
}
