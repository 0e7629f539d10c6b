//! What members say to one another.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::id::{ClusterId, GroupId, Incarnation, Index, MemberId, Peer, Term, Time};
use crate::log::Entry;
use crate::member::Membership;

/// A message with its sender and addressee.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The cluster of the sender.
    pub cluster: ClusterId,
    /// The group of the sender.
    pub group: GroupId,
    /// The incarnation of the disk that founded the sender's log; 0 while it has none.
    pub lineage: Incarnation,
    /// The sender.
    pub from: Peer,
    /// The member addressed.
    pub to: MemberId,
    /// The life of the addressee's disk that is meant; `None` for any.
    pub incarnation: Option<Incarnation>,
    /// The sender's term; the one it asks for in a vote request.
    pub term: Term,
    /// What it says.
    pub message: Message,
}

/// What a member says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Message {
    /// A candidate, or one that would be, asks for a vote.
    Vote(Vote),
    /// The answer to a vote request.
    Voted(Voted),
    /// A leader's entries, or none: a heartbeat.
    Append(Append),
    /// What the member has of the leader's log.
    Appended(Appended),
    /// The leader's entry does not follow from the member's log.
    Refused(Refused),
    /// Part of a leader's snapshot.
    Chunk(Chunk),
    /// How much of a snapshot has arrived.
    Received(Received),
    /// A member without a group asks to be admitted.
    Join,
    /// The answer to `Join`: whether the sender belongs to no group either.
    Outside(bool),
}

/// A request for a vote (Raft §3.4; with `pre`, the pre-vote of Ongaro's thesis §9.6).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// Whether the sender only asks if it would be elected.
    pub pre: bool,
    /// The last entry of the sender's log.
    pub last_index: Index,
    /// The term of that entry.
    pub last_term: Term,
}

/// The answer to a vote request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voted {
    /// Whether this answers a pre-vote.
    pub pre: bool,
    /// Whether the vote is given.
    pub granted: bool,
}

/// Entries of the leader's log (Raft §3.5).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// The index before the first entry.
    pub prev_index: Index,
    /// The term at that index.
    pub prev_term: Term,
    /// The leader's commit index.
    pub commit: Index,
    /// The leader's clock when it sent this; the answer repeats it.
    pub stamp: Time,
    /// The entries.
    pub entries: Vec<Entry>,
}

/// What a member has of the leader's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Synced up to here.
    pub durable: Index,
    /// In memory up to here.
    pub held: Index,
    /// The latest stamp heard of the leader.
    pub stamp: Time,
}

/// The leader's entries do not follow from the member's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// The index before the refused entries.
    pub prev_index: Index,
    /// Where the logs may agree, at most.
    pub hint: Index,
    /// The latest stamp heard of the leader.
    pub stamp: Time,
}

/// Which snapshot a chunk belongs to; equal ones have equal bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotId {
    /// The last entry in the snapshot.
    pub index: Index,
    /// The term of that entry.
    pub term: Term,
    /// The length of the data in bytes.
    pub total: u64,
    /// CRC-32 of the data.
    pub checksum: u32,
}

/// Part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The snapshot.
    pub snapshot: SnapshotId,
    /// The members after its last entry.
    pub membership: Membership,
    /// Where the data of this chunk starts.
    pub offset: u64,
    /// The leader's clock when it sent this.
    pub stamp: Time,
    /// The data; empty in a heartbeat.
    pub data: Bytes,
}

/// How much of a snapshot has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Received {
    /// The snapshot.
    pub snapshot: SnapshotId,
    /// Bytes that have arrived without a gap.
    pub offset: u64,
    /// The latest stamp heard of the leader.
    pub stamp: Time,
}
