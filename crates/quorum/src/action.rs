//! What a core asks its owner to do.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::id::{Index, MemberId, Peer, RequestId, Term};
use crate::log::Snapshot;
use crate::message::Envelope;
use crate::status::Role;
use crate::store::Batch;

/// What a core asks its owner to do, in order.
#[derive(Clone, Debug)]
pub enum Action {
    /// Write and sync a batch, after those before it; then report `Persisted`.
    Persist(Batch),
    /// Send a message; it may be lost.
    Send {
        /// The addressee.
        to: MemberId,
        /// The message.
        message: Envelope,
    },
    /// Apply a committed entry to the owner's state.
    Apply(Entry),
    /// Replace the owner's state by a snapshot.
    Restore(Snapshot),
    /// The log has grown: answer with [`Event::Snapshot`](crate::event::Event::Snapshot).
    NeedSnapshot,
    /// A proposal, barrier or change is over without success.
    Rejected {
        /// The owner's number for it.
        id: RequestId,
        /// Why.
        reason: Reason,
        /// Who leads, as far as known.
        leader: Option<MemberId>,
    },
    /// A read of the owner's state now sees all that was committed before the barrier.
    BarrierDone {
        /// The owner's number for it.
        id: RequestId,
    },
    /// A change of the members is committed.
    Changed {
        /// The owner's number for it.
        id: RequestId,
    },
    /// A member without a group asks this leader to be admitted.
    Joining(Peer),
    /// The role, term or leader has changed.
    Role {
        /// This member's role.
        role: Role,
        /// Its term.
        term: Term,
        /// Who leads, as far as known.
        leader: Option<MemberId>,
    },
}

/// A committed entry for the owner. Entries without a payload for the owner are left out, so
/// indexes grow and may have gaps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its position in the log.
    pub index: Index,
    /// The term of the leader that wrote it.
    pub term: Term,
    /// What was proposed.
    pub payload: Bytes,
    /// The owner's number, if it was proposed here in this life of the process.
    pub id: Option<RequestId>,
}

/// Why a request was not done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// This member does not lead; nothing was done.
    NotLeader,
    /// Too much is under way, or another change is; nothing was done.
    Busy,
    /// The payload is larger than a message may be; nothing was done.
    TooLarge,
    /// Another entry was committed in its place; it never takes effect.
    Superseded,
    /// It may have taken effect: the state or leadership came from elsewhere meanwhile.
    Unknown,
    /// The change does not fit the members: an unknown member, a known member under another
    /// incarnation, or the last voter.
    Invalid,
    /// The learner made no progress for too long.
    Stalled,
}
