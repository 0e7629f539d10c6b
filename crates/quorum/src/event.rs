//! Events that the owner passes to a [`Core`](crate::core::Core).

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::id::{BatchToken, Index, MemberId, Peer, RequestId};
use crate::message::Envelope;

/// Events that the owner passes to a [`Core`](crate::core::Core).
#[derive(Clone, Debug)]
pub enum Event {
    /// Runs expired timers; due at [`Core::next_wake`](crate::core::Core::next_wake).
    Tick,
    /// A message was received.
    Receive {
        /// The sender, as authenticated by the transport.
        from: MemberId,
        /// The received message.
        message: Envelope,
    },
    /// Proposes a payload for the log. Completed by [`Action::Apply`](crate::action::Action::Apply)
    /// with the same ID or by [`Action::Rejected`](crate::action::Action::Rejected).
    Propose {
        /// The owner's request ID.
        id: RequestId,
        /// The payload to append.
        payload: Bytes,
    },
    /// All batches up to and including this one are synced.
    Persisted {
        /// Token of the last synced batch.
        token: BatchToken,
    },
    /// Writing a batch failed, so no later batch of the same attempt was written either.
    PersistFailed {
        /// Token of the first batch that failed.
        token: BatchToken,
    },
    /// Changes the membership. Completed by
    /// [`Action::MembershipChanged`](crate::action::Action::MembershipChanged) or
    /// [`Action::Rejected`](crate::action::Action::Rejected).
    ChangeMembership {
        /// The owner's request ID.
        id: RequestId,
        /// The requested change.
        change: MembershipChange,
    },
    /// A snapshot of the owner's state. It may lag behind the entries already handed to the owner.
    Snapshot {
        /// The last entry applied to the state, or the index of the snapshot that it was restored
        /// from, whichever is later.
        index: Index,
        /// The encoded state.
        data: Bytes,
    },
    /// Other members are to be asked for admission while this member belongs to no group.
    Peers(Vec<MemberId>),
    /// Requests [`Action::BarrierDone`](crate::action::Action::BarrierDone) once a read of the
    /// owner's state reflects everything committed before this event.
    Barrier {
        /// The owner's request ID.
        id: RequestId,
    },
}

/// A membership change. Only one may be in progress; requesting a change that already took effect
/// succeeds at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MembershipChange {
    /// Adds a learner.
    Add(Peer),
    /// Promotes a learner to voter once it has synced every committed entry.
    Promote(MemberId),
    /// Removes a member.
    Remove(MemberId),
    /// Makes a voter a learner.
    Demote(MemberId),
    /// Makes a member whose storage was wiped a learner under its new incarnation, in one step.
    Readmit(Peer),
    /// Replaces a member with a new voter; complete when the final membership is committed. A
    /// member whose storage was wiped replaces itself under its new incarnation.
    Replace {
        /// The member to remove.
        old: MemberId,
        /// The voter that replaces it.
        new: Peer,
    },
}
