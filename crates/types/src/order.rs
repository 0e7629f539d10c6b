//! Orders that control sends to workers, and the workers' replies.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::id::{Incarnation, Name, ReplicaId, TargetId, Term};
use crate::model::Reference;

/// An order from control to one worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// Fencing number: the Raft term in which the order was decided.
    pub fence: Term,
    /// The worker that must execute the order.
    pub target: TargetId,
    /// Incarnation of the worker that the order is meant for.
    pub incarnation: Incarnation,
    /// The replica that the order concerns.
    pub replica: ReplicaId,
    /// Number of orders that the worker must have accepted before this one; a worker whose count
    /// differs refuses the order. `None` for workers that don't count orders.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<u64>,
    /// The requested action.
    pub action: Action,
}

/// The action that an order requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "do", deny_unknown_fields)]
pub enum Action {
    /// Loads a model into accelerator memory.
    Load {
        /// The model and its version.
        model: Reference,
        /// Accelerator memory reserved for the model, in bytes.
        bytes: u64,
    },
    /// Unloads a model from accelerator memory.
    Unload {
        /// The model and its version.
        model: Reference,
    },
    /// Loads an adapter onto a loaded model.
    Adapter {
        /// The model with the adapter.
        model: Reference,
    },
    /// Unloads an adapter.
    DropAdapter {
        /// The model with the adapter.
        model: Reference,
    },
    /// Copies a model to a nearer cache tier without using accelerator memory.
    Warm {
        /// The model and its version.
        model: Reference,
    },
    /// Changes the worker's role in disaggregated prefill and decode.
    Role {
        /// The new role.
        role: Role,
    },
}

/// Which phases of inference a worker runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// Runs both prefill and decode.
    Mixed,
    /// Runs prefill and exports the KV cache.
    Prefill,
    /// Runs decode on imported KV caches.
    Decode,
}

/// A worker's reply to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "result", deny_unknown_fields)]
pub enum Reply {
    /// The order is being executed, or already has been.
    Accepted,
    /// The worker has seen a larger fencing number.
    Fenced {
        /// The largest fencing number that the worker has seen.
        seen: Term,
    },
    /// The worker cannot execute the order.
    Refused {
        /// The reason, for operators.
        reason: Name,
    },
}

/// The outcome of an attempt to send an order, from the sender's point of view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The order was not sent: no connection could be made.
    Unsent,
    /// The worker replied.
    Answered(Reply),
    /// The order may have arrived: the reply was lost or late.
    Unknown,
}
