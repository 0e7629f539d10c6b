//! What the planner knows of the fleet.

use std::sync::Arc;

use cornelhitch_settings::fleet::Fleet;
use cornelhitch_types::id::{ModelId, Name, RegionId, ReplicaId, TargetId, Time, ZoneId};
use cornelhitch_types::target::Stage;
use cornelhitch_types::view::State;
use serde::{Deserialize, Serialize};

/// The fleet at one moment: what is committed, and the newest reports.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Picture {
    /// The settings in force.
    pub settings: Arc<Fleet>,
    /// Workers that announced themselves, in the order of their names.
    pub workers: Vec<Worker>,
    /// Replicas that were decided and whose memory is still reserved.
    pub replicas: Vec<Replica>,
    /// Demand of all entry hosts added up, one row a model and region.
    pub demand: Vec<Demand>,
    /// Adapter loads that were ordered and are not seen ready.
    pub adapters_in_flight: u32,
}

/// A worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// Its name.
    pub target: TargetId,
    /// Its region.
    pub region: RegionId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Accelerator memory in bytes.
    pub memory: u64,
    /// Accelerator memory that no reservation and no unexplained copy takes, in bytes.
    pub free: u64,
    /// Its accelerators.
    pub accelerators: u32,
    /// Whether it may be loaded: neither leaving nor suspected.
    pub open: bool,
    /// Copies below accelerator memory.
    pub copies: Vec<Copy>,
    /// Models that may not be loaded on it before a time, after an order with unknown outcome.
    pub quiet: Vec<Quiet>,
}

/// A copy on a worker's disk or in its host memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Copy {
    /// The model.
    pub model: ModelId,
    /// Where it is.
    pub stage: Stage,
}

/// A model that may not be loaded on a worker for a while.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quiet {
    /// The model.
    pub model: ModelId,
    /// Until when.
    pub until: Time,
}

/// A replica and what is known of its work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Its id.
    pub replica: ReplicaId,
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: Option<Name>,
    /// The worker.
    pub target: TargetId,
    /// Memory reserved, in bytes.
    pub bytes: u64,
    /// Its state.
    pub state: State,
    /// When it was decided.
    pub decided: Time,
    /// When it was seen ready.
    pub ready: Option<Time>,
    /// Where its weights came from, if that is known.
    pub from: Stage,
    /// Requests in progress on it, added up over the entry hosts.
    pub running: u32,
    /// When a request was last in progress on it.
    pub used: Time,
    /// Adapters ready on it.
    pub adapters: Vec<Name>,
}

/// The demand for one model from one region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The model.
    pub model: ModelId,
    /// The version asked for, or the one in force.
    pub version: Option<Name>,
    /// The region of the entry hosts.
    pub region: RegionId,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests in progress.
    pub running: u32,
    /// The nearest deadline of a waiting request.
    pub deadline: Time,
    /// The largest class weight among the waiting requests.
    pub weight: u32,
    /// Requests that arrived since the last call of the planner.
    pub arrivals: u64,
    /// Adapters that waiting requests name.
    pub adapters: Vec<Name>,
}
