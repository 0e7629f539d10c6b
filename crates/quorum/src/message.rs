//! Messages between the members of a group.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::id::{ClusterId, GroupId, Incarnation, Index, MemberId, Peer, Term, Time};
use crate::log::Entry;
use crate::member::Membership;

/// A message with its sender, recipient and term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender's cluster.
    pub cluster: ClusterId,
    /// The sender's group.
    pub group: GroupId,
    /// Identifies the sender's log: the storage incarnation of the member that bootstrapped it; 0
    /// while the sender has no log.
    pub lineage: Incarnation,
    /// The sending member and its storage incarnation.
    pub from: Peer,
    /// The recipient.
    pub to: MemberId,
    /// The recipient's expected storage incarnation; `None` matches any.
    pub incarnation: Option<Incarnation>,
    /// The sender's term. In a pre-vote request and in a granted pre-vote response, the term of the
    /// prospective election.
    pub term: Term,
    /// The content of the message.
    pub message: Message,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Message {
    /// Requests a vote or a pre-vote.
    #[serde(rename = "Vote")]
    #[strum(serialize = "vote")]
    RequestVote(RequestVote),
    /// The response to a [`RequestVote`].
    #[serde(rename = "Voted")]
    #[strum(serialize = "voted")]
    VoteResponse(VoteResponse),
    /// Replicates log entries; serves as a heartbeat when it has none.
    #[serde(rename = "Append")]
    #[strum(serialize = "append")]
    AppendEntries(AppendEntries),
    /// Reports how much of the leader's log the member has.
    #[serde(rename = "Appended")]
    #[strum(serialize = "appended")]
    AppendResponse(AppendResponse),
    /// Reports that the consistency check of an [`AppendEntries`] failed.
    #[serde(rename = "Refused")]
    #[strum(serialize = "refused")]
    AppendRejected(AppendRejected),
    /// Carries one chunk of the leader's snapshot.
    #[serde(rename = "Chunk")]
    #[strum(serialize = "chunk")]
    SnapshotChunk(SnapshotChunk),
    /// Reports how much of a snapshot the member has received.
    #[serde(rename = "Received")]
    #[strum(serialize = "received")]
    ChunkReceived(ChunkReceived),
    /// Asks to be admitted to the group.
    Join,
    /// The response to [`Message::Join`]: whether the sender does not belong to a group either.
    #[serde(rename = "Outside")]
    #[strum(serialize = "outside")]
    NoGroup(bool),
    /// Passes on the [`Message::Join`] of another host to the leader.
    ForwardedJoin(Peer),
    /// Reports to the other members which members do not respond to the leader, so that a later
    /// leader need not wait for them anew.
    Silences(Vec<Silence>),
}

impl Message {
    /// Whether this responds to a candidate or a leader.
    #[must_use]
    pub fn is_response(&self) -> bool {
        matches!(
            self,
            Self::VoteResponse(_)
                | Self::AppendResponse(_)
                | Self::AppendRejected(_)
                | Self::ChunkReceived(_)
        )
    }
}

/// How long a member has not responded to the leaders of the group, not counting the time without a
/// leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Silence {
    /// The member under its admitted incarnation.
    pub member: Peer,
    /// For how long it has not responded.
    pub lasted: Time,
}

/// A `RequestVote` request (Ongaro's thesis §3.4) or, with `pre_vote`, a pre-vote request (§9.6).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestVote {
    /// Whether this is a pre-vote, which does not change the recipient's term or vote.
    #[serde(rename = "pre")]
    pub pre_vote: bool,
    /// Index of the last entry in the candidate's log.
    pub last_index: Index,
    /// Term of that entry.
    pub last_term: Term,
}

/// The response to a [`RequestVote`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteResponse {
    /// Whether this responds to a pre-vote request.
    #[serde(rename = "pre")]
    pub pre_vote: bool,
    /// Whether the vote is granted.
    pub granted: bool,
}

/// An `AppendEntries` request (Ongaro's thesis §3.5).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendEntries {
    /// Index of the entry that immediately precedes `entries`.
    pub prev_index: Index,
    /// Term of the entry at `prev_index`.
    pub prev_term: Term,
    /// The leader's commit index.
    pub commit: Index,
    /// The leader's clock at sending; echoed in the response.
    pub stamp: Time,
    /// The entries to append; empty in a heartbeat.
    pub entries: Vec<Entry>,
}

/// What a member has of the leader's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendResponse {
    /// Last index that is both consistent with the leader's log and synced on the member.
    pub durable: Index,
    /// Last index, in memory, that is known to be consistent with the leader's log.
    #[serde(rename = "held")]
    pub accepted_index: Index,
    /// The latest stamp received from the leader of this term.
    pub stamp: Time,
}

/// The response to an [`AppendEntries`] whose `prev_index` and `prev_term` do not match the
/// member's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRejected {
    /// `prev_index` of the rejected request.
    pub prev_index: Index,
    /// Upper bound of the last index at which the two logs may agree.
    pub hint: Index,
    /// The latest stamp received from the leader of this term.
    pub stamp: Time,
}

/// Identifies a snapshot; snapshots with equal IDs have equal bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotId {
    /// Index of the last entry covered by the snapshot.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// Length of the snapshot data in bytes.
    pub total: u64,
    /// CRC-32 of the snapshot data.
    pub checksum: u32,
}

/// One chunk of a snapshot (`InstallSnapshot`, Ongaro's thesis §5).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The snapshot that this refers to.
    pub snapshot: SnapshotId,
    /// The membership as of the snapshot's last entry.
    pub membership: Membership,
    /// Offset of this chunk in the snapshot data, in bytes.
    pub offset: u64,
    /// The leader's clock at sending; echoed in the response.
    pub stamp: Time,
    /// The bytes of the chunk; empty in a heartbeat.
    pub data: Bytes,
}

/// Reports how much of a snapshot the member has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkReceived {
    /// The snapshot that this refers to.
    pub snapshot: SnapshotId,
    /// Number of contiguous bytes received from the start.
    pub offset: u64,
    /// The latest stamp received from the leader of this term.
    pub stamp: Time,
}
