//! Decisions of the planner and their reasons.

use cornelhitch_types::id::{ModelId, Name, ReplicaId, TargetId};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter};

/// An action together with its reason.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// The action to carry out.
    pub action: Action,
    /// The category of the reason.
    pub reason: Reason,
    /// The figures behind the decision, as one sentence for operators.
    pub detail: Name,
}

/// A change to the models that a worker holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Reserve memory for a new replica and load it.
    Load {
        /// The model to load.
        model: ModelId,
        /// The version to load; `None` if the model has no versions.
        version: Option<Name>,
        /// The worker to load it on.
        target: TargetId,
        /// Memory to reserve, in bytes.
        bytes: u64,
    },
    /// Drain a replica: route no new requests to it and unload it once its requests have ended.
    Unload {
        /// The replica to unload.
        replica: ReplicaId,
    },
    /// Load an adapter onto a ready replica.
    Adapter {
        /// The replica that gets the adapter.
        replica: ReplicaId,
        /// The adapter to load.
        adapter: Name,
    },
    /// Copy a model's weights to a worker's host memory or disk.
    Warm {
        /// The model whose weights are copied.
        model: ModelId,
        /// The worker that gets the copy.
        target: TargetId,
    },
}

/// The reason for a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumIter)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// Requests are waiting and the model has no replica.
    Waiting,
    /// Requests are waiting and the existing replicas cannot meet their deadlines.
    Burst,
    /// A request is expected soon enough to justify holding the accelerator.
    Expected,
    /// Keeping the idle replica costs more than its next cold start.
    Idle,
    /// The memory of the replica is needed for waiting requests.
    Preempted,
    /// The model has more replicas than its demand needs.
    Surplus,
    /// The settings no longer allow the replica.
    Settings,
    /// Another version of the model is in force.
    Version,
}
