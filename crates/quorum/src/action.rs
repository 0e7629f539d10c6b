//! Actions that a [`Core`](crate::core::Core) returns for its owner to execute.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::id::{Index, MemberId, Peer, RequestId, Term};
use crate::log::Snapshot;
use crate::message::Envelope;
use crate::status::Role;
use crate::store::Batch;

/// An action for the owner of a [`Core`](crate::core::Core), to be executed in the order returned.
#[derive(Clone, Debug)]
pub enum Action {
    /// Write and sync a batch after all earlier ones, then report
    /// [`Event::Persisted`](crate::event::Event::Persisted).
    Persist(Batch),
    /// Send a message. Delivery is not required to be reliable.
    Send {
        /// The recipient.
        to: MemberId,
        /// The message to send.
        message: Envelope,
    },
    /// Apply a committed entry to the owner's state machine.
    Apply(Entry),
    /// Replace the owner's state machine with a snapshot.
    Restore(Snapshot),
    /// Take a snapshot, because the log has grown past the threshold, and pass it in as
    /// [`Event::Snapshot`](crate::event::Event::Snapshot).
    NeedSnapshot,
    /// A proposal, barrier or membership change failed.
    Rejected {
        /// The owner's request ID.
        id: RequestId,
        /// Why the request failed.
        reason: RejectReason,
        /// The leader, if known.
        leader: Option<MemberId>,
    },
    /// A barrier has completed: a read of the owner's state now reflects everything committed
    /// before it.
    BarrierDone {
        /// The owner's request ID.
        id: RequestId,
    },
    /// A membership change is committed.
    MembershipChanged {
        /// The owner's request ID.
        id: RequestId,
    },
    /// A member that belongs to no group asks this leader to admit it.
    JoinRequested(Peer),
    /// This member's role or term, or the known leader, has changed.
    Role {
        /// This member's role.
        role: Role,
        /// This member's term.
        term: Term,
        /// The leader, if known.
        leader: Option<MemberId>,
    },
}

/// A committed entry for the owner. Entries that carry no owner payload are skipped, so indexes
/// increase but may have gaps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Position in the log.
    pub index: Index,
    /// Term of the leader that appended the entry.
    pub term: Term,
    /// The proposed payload.
    pub payload: Bytes,
    /// The owner's request ID, if the entry was proposed on this member since the process started.
    pub id: Option<RequestId>,
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RejectReason {
    /// This member is not the leader; the request had no effect.
    NotLeader,
    /// Too many uncommitted bytes are in flight, or another membership change is in progress; the
    /// request had no effect.
    Busy,
    /// The payload exceeds the maximum size of one; the request had no effect.
    TooLarge,
    /// Another entry was committed at the proposal's index; the proposal never takes effect.
    Superseded,
    /// The request may have taken effect: its outcome was lost through a change of leader, an
    /// installed snapshot or the removal of this member.
    Unknown,
    /// The change is not valid for the current membership: the member is unknown, it is known under
    /// another incarnation, or it is the last voter.
    Invalid,
    /// The learner made no progress, or a quorum of the new membership did not respond, within the
    /// catch-up timeout.
    Stalled,
}
