//! What the planner decides.

use cornelhitch_types::id::{ModelId, Name, ReplicaId, TargetId};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter};

/// One decision with its reason.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// What to do.
    pub action: Action,
    /// Why.
    pub reason: Reason,
    /// The figures that decided, in one sentence for operators.
    pub detail: Name,
}

/// What to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Reserve memory for a new replica and load it.
    Load {
        /// The model.
        model: ModelId,
        /// The version.
        version: Option<Name>,
        /// The worker.
        target: TargetId,
        /// Memory to reserve, in bytes.
        bytes: u64,
    },
    /// Send a replica nothing new, and unload it once its requests have ended.
    Unload {
        /// The replica.
        replica: ReplicaId,
    },
    /// Load an adapter onto a ready replica.
    Adapter {
        /// The replica.
        replica: ReplicaId,
        /// The adapter.
        adapter: Name,
    },
    /// Bring a model to a worker's host memory or disk.
    Warm {
        /// The model.
        model: ModelId,
        /// The worker.
        target: TargetId,
    },
}

/// Why a decision was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumIter)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// Requests wait and there is no replica.
    Waiting,
    /// Requests wait and the replicas cannot meet their deadlines.
    Burst,
    /// A call is expected soon enough to be worth the accelerator.
    Expected,
    /// Keeping it costs more than its next cold start.
    Idle,
    /// Its memory is needed for waiting requests.
    Preempted,
    /// There are more replicas than the demand needs.
    Surplus,
    /// The settings no longer allow it.
    Settings,
    /// The version in force changed.
    Version,
}
