//! What is said about claims: requests and their answers.

use cornelhitch_types::id::{CallerId, HostId, Incarnation, Name, Time};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter};

use crate::outcome::Outcome;

/// The longest caller and key in bytes.
pub const NAME: usize = 256;

/// A request, as its caller names it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// The caller.
    pub caller: CallerId,
    /// The caller's idempotency key.
    pub key: Name,
}

/// One life of an entry host, which holds claims.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holder {
    /// The entry host.
    pub host: HostId,
    /// Its life.
    pub incarnation: Incarnation,
}

/// A request to claim a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The request.
    pub key: Key,
    /// Digest of the request; a resend has the same one.
    pub digest: [u8; 32],
    /// Who would send it.
    pub holder: Holder,
    /// The holder's number for the request, which a repeated proposal carries again.
    pub call: u64,
    /// When the caller first sent it, since the Unix epoch, where the caller says so.
    pub issued: Option<Time>,
}

/// A request to record an outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finish {
    /// The request.
    pub key: Key,
    /// Who sent it.
    pub holder: Holder,
    /// The number under which the holder claimed it.
    pub call: u64,
    /// What became of it.
    pub outcome: Outcome,
}

/// What became of a command about a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The holder may send the request, once.
    Granted,
    /// It was claimed before and is in progress.
    InProgress,
    /// It was claimed before, and this became of it.
    Recorded(Outcome),
    /// The key was used with another request.
    Mismatch,
    /// It was claimed before, or is older than what is kept; its outcome is no longer known.
    Forgotten,
    /// The outcome was recorded, or the claim given back.
    Done,
    /// Nothing was granted or changed.
    Refused(Refusal),
}

/// Why nothing was granted or changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// The caller or the key is empty or longer than [`NAME`].
    Malformed,
    /// As many claims are kept as may be.
    Full,
    /// There is no such claim.
    Absent,
    /// Someone else holds the claim.
    Holder,
    /// Its outcome is recorded.
    Ended,
}

impl Key {
    /// Whether both parts have an allowed length.
    pub(crate) fn is_valid(&self) -> bool {
        let allowed = 1..=NAME;
        allowed.contains(&self.caller.len()) && allowed.contains(&self.key.len())
    }
}
