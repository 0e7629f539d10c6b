//! What a core asks its owner to do.

use std::net::SocketAddr;

use bytes::Bytes;
use cornelhitch_types::id::{CallerId, Incarnation, Name, ReplicaId, TargetId, Version};
use cornelhitch_types::refusal::Refusal;
use serde::{Deserialize, Serialize};

use crate::claim;
use crate::event::{Attempt, CallId, Digest};

/// Where an attempt goes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Destination {
    /// The target.
    pub target: TargetId,
    /// The life of the target.
    pub incarnation: Incarnation,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The replica, for a model.
    pub replica: Option<ReplicaId>,
}

/// What a core asks its owner to do.
///
/// Exactly one of `Refuse`, `StreamError`, `Replay` and `Finish` ends a request
/// towards its caller, unless the caller left first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Ask control for the right to run a request with a key.
    Claim {
        /// The request.
        id: CallId,
        /// Who asks.
        caller: CallerId,
        /// The caller's key.
        key: Name,
        /// Digest of the request.
        digest: Digest,
    },
    /// Ask control to commit the outcome of a request with a key, until `Recorded` comes.
    Record {
        /// The request.
        id: CallId,
        /// Who asked.
        caller: CallerId,
        /// The caller's key.
        key: Name,
        /// What became of it; the owner adds the answer to `Answered`.
        outcome: claim::Outcome,
    },
    /// Connect to a target; write nothing before `Proceed`.
    Send {
        /// The request.
        id: CallId,
        /// The attempt.
        attempt: Attempt,
        /// Where to.
        to: Destination,
        /// Tokens that the caller has, where an answer is to be continued.
        resume: Option<u64>,
    },
    /// The first byte may be written.
    Proceed {
        /// The request.
        id: CallId,
        /// The attempt.
        attempt: Attempt,
    },
    /// The answer of this attempt may be passed to the caller.
    Deliver {
        /// The request.
        id: CallId,
        /// The attempt.
        attempt: Attempt,
    },
    /// The answer is whole: end it towards the caller.
    Finish {
        /// The request.
        id: CallId,
        /// The attempt.
        attempt: Attempt,
    },
    /// Stop an attempt: cancel it at the engine and close its connection.
    Cancel {
        /// The request.
        id: CallId,
        /// The attempt.
        attempt: Attempt,
        /// The target.
        target: TargetId,
    },
    /// Answer with a refusal, now.
    Refuse {
        /// The request.
        id: CallId,
        /// The refusal.
        refusal: Refusal,
    },
    /// End an answer that had begun with an error that the caller can tell from its end.
    StreamError {
        /// The request.
        id: CallId,
        /// What to say.
        refusal: Refusal,
    },
    /// Answer with the recorded answer of the same request.
    Replay {
        /// The request.
        id: CallId,
        /// The recorded answer, in the owner's own form.
        recorded: Bytes,
    },
    /// Tell control that a target failed with this request in progress.
    Strike {
        /// The request's fingerprint.
        fingerprint: u64,
        /// The target.
        target: TargetId,
        /// The life of the target.
        incarnation: Incarnation,
    },
    /// Tell control that a target cannot be reached from here.
    Suspect {
        /// The target.
        target: TargetId,
        /// The life of the target.
        incarnation: Incarnation,
    },
    /// Try to connect to an ejected target and report `Probed`.
    Probe {
        /// The target.
        target: TargetId,
        /// Where to.
        address: SocketAddr,
    },
    /// Ask control to let suspect requests to this target come from this host only.
    Reserve {
        /// The target.
        target: TargetId,
        /// The life of the target.
        incarnation: Incarnation,
    },
    /// Give the reservation back.
    Unreserve {
        /// The target.
        target: TargetId,
        /// The life of the target.
        incarnation: Incarnation,
    },
    /// Send a demand report now: a model without a replica is waited for.
    Report,
    /// Ask control for the whole view: changes were lost.
    RequestView {
        /// The last sequence number that is known.
        from: u64,
    },
    /// The settings that control published were not taken.
    BadSettings {
        /// Their version.
        version: Version,
        /// What is wrong with them.
        error: String,
    },
    /// Close the listener: callers have had time to learn other addresses.
    CloseListener,
    /// Everything has ended: the process may exit.
    Drained,
}
