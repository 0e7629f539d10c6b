//! Identifiers, log positions and time.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Time since the owner's process started, measured on its monotonic clock.
pub type Time = Duration;

/// Identifies a member of a group: the number of its host.
pub type MemberId = u64;

/// Identifies the contents of a member's storage: wiped storage gets a new incarnation.
pub type Incarnation = u64;

/// A Raft term; also the fencing token for the decisions of its leader.
pub type Term = u64;

/// A position in the log, starting at 1.
pub type Index = u64;

/// Identifies a batch of records submitted for writing; later batches have larger tokens.
pub type BatchToken = u64;

/// Identifies a cluster; messages from other clusters are dropped.
pub type ClusterId = u64;

/// Identifies a Raft group, whose members share one log; a process may belong to several.
pub type GroupId = u32;

/// The owner's ID for a proposal, barrier or membership change; never leaves the process.
pub type RequestId = u64;

/// A member together with its storage incarnation. Only the admitted incarnation of a voter may
/// vote and acknowledge entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// The member.
    pub id: MemberId,
    /// The incarnation of its storage.
    pub incarnation: Incarnation,
}
