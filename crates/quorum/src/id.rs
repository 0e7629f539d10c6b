//! Aliases for ids and for time.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Time since the owner's process started, on its monotonic clock.
pub type Time = Duration;

/// A member of a group: the number of its host.
pub type MemberId = u64;

/// One life of a member's disk; an emptied disk gets another one.
pub type Incarnation = u64;

/// A term of the log; it is also the fencing number of what its leader decides.
pub type Term = u64;

/// A position in the log, from 1.
pub type Index = u64;

/// A batch of records on its way to the disk; later batches have larger tokens.
pub type Token = u64;

/// A cluster; messages of other clusters are dropped.
pub type ClusterId = u64;

/// A group of members with one log; a process may hold several.
pub type GroupId = u32;

/// The owner's number for a proposal, barrier or change; it never leaves the process.
pub type RequestId = u64;

/// A member together with the life of its disk: who may vote and acknowledge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// The member.
    pub id: MemberId,
    /// The life of its disk.
    pub incarnation: Incarnation,
}
