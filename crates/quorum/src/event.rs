//! What the owner tells a core.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::id::{Index, MemberId, Peer, RequestId, Token};
use crate::message::Envelope;

/// What the owner tells a core.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; due at [`Core::next_wake`](crate::core::Core::next_wake).
    Tick,
    /// A message has arrived.
    Receive {
        /// The member that the transport has authenticated.
        from: MemberId,
        /// The message.
        message: Envelope,
    },
    /// Put a payload into the log; answered by `Apply` with the id, or by `Rejected`.
    Propose {
        /// The owner's number for it.
        id: RequestId,
        /// What to put into the log.
        payload: Bytes,
    },
    /// All batches up to this one are synced.
    Persisted {
        /// The last synced batch.
        token: Token,
    },
    /// A batch could not be written, so no later one of its attempt was either.
    PersistFailed {
        /// The first batch that failed.
        token: Token,
    },
    /// Change the members; answered by `Changed` or `Rejected`.
    Change {
        /// The owner's number for it.
        id: RequestId,
        /// What to change.
        change: Change,
    },
    /// The owner's state, after all that it was given to apply or restore, or less.
    Snapshot {
        /// The last entry that was applied to the state, or the snapshot that it was restored
        /// from, whichever is later.
        index: Index,
        /// The state.
        data: Bytes,
    },
    /// Answer `BarrierDone` once a read of the owner's state sees all that was committed before.
    Barrier {
        /// The owner's number for it.
        id: RequestId,
    },
}

/// A change of the members. One at a time; asking again for one that is done is answered at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Admit a learner.
    Add(Peer),
    /// Make a learner a voter once it has synced all that is committed.
    Promote(MemberId),
    /// Remove a member.
    Remove(MemberId),
    /// Put a new voter in the place of a member; done when the new set is committed.
    /// The same member under a new incarnation replaces itself.
    Replace {
        /// The member that leaves.
        old: MemberId,
        /// The one that comes.
        new: Peer,
    },
}
