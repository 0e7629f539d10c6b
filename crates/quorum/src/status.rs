//! A member's observable state: role, lease and status.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::event::MembershipChange;
use crate::id::{ClusterId, GroupId, Incarnation, Index, MemberId, Peer, Term, Time};
use crate::member::Membership;

/// A member's role in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Requests pre-votes.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Leads the group.
    Leader,
}

/// A leader lease: no other member holds one that overlaps in real time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The leader's term, usable as a fencing token.
    pub term: Term,
    /// Expiry on this process's monotonic clock.
    pub until: Time,
}

/// The state of a core, for status output.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Status {
    /// The cluster.
    pub cluster: ClusterId,
    /// The group.
    pub group: GroupId,
    /// This member.
    pub peer: Peer,
    /// Identifies the log: the storage incarnation of the member that bootstrapped it; 0 while
    /// there is no log.
    pub lineage: Incarnation,
    /// This member's role.
    pub role: Role,
    /// This member's term.
    pub term: Term,
    /// The leader, if known.
    pub leader: Option<MemberId>,
    /// Index of the last entry known to be committed.
    pub commit: Index,
    /// Index of the last applied entry.
    pub applied: Index,
    /// Index of the last entry in memory.
    pub last: Index,
    /// Index of the last entry synced to disk.
    pub durable: Index,
    /// Index of the last entry covered by the snapshot; 0 without a snapshot.
    pub snapshot: Index,
    /// Size of the entries in memory, in bytes.
    pub log_bytes: u64,
    /// The latest membership in the log, committed or not.
    pub members: Membership,
    /// On a leader, the last index synced by each other member.
    pub matched: BTreeMap<MemberId, Index>,
    /// On a leader, the time since the sending of the latest message that each other member
    /// answered; for one that has not answered this leader, also the time that earlier leaders
    /// waited.
    #[serde(rename = "silent")]
    pub unresponsive_for: BTreeMap<MemberId, Time>,
    /// Whether writes fail or stall; such a member neither leads nor votes.
    #[serde(rename = "disk_sick")]
    pub disk_unhealthy: bool,
    /// Number of messages dropped: addressed to another cluster, group, member or incarnation, or
    /// not processable in the current state.
    pub dropped: u64,
}

/// How a member sees its group, also without a leader: for log lines and status output.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct GroupView {
    /// The voters of the latest membership in the log, committed or not.
    pub voters: BTreeSet<MemberId>,
    /// Its learners.
    pub learners: BTreeSet<MemberId>,
    /// The members that do not respond to the leader, as this member counts as the leader or as the
    /// last leader reported.
    pub silent: BTreeSet<MemberId>,
    /// The membership change that this member makes as the leader.
    pub change: Option<MembershipChange>,
    /// The voters that granted this member a vote or pre-vote in its latest candidacy, itself
    /// included.
    pub votes: BTreeSet<MemberId>,
    /// The hosts that this member asks for admission besides the members.
    pub asked: BTreeSet<MemberId>,
    /// The hosts that last answered that they belong to no group.
    pub without_group: BTreeSet<MemberId>,
}
