//! The keys, requests and results of claims.

use cornelhitch_types::id::{CallerId, HostId, Incarnation, Name, Time};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter};

use crate::outcome::Outcome;

/// The longest caller and idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// The identity of a request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// The caller that sent it.
    pub caller: CallerId,
    /// The idempotency key that the caller chose.
    pub key: Name,
}

/// One incarnation of an entry host, which holds claims.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holder {
    /// The entry host.
    pub host: HostId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// A request to claim a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The key to claim.
    pub key: Key,
    /// Digest of the request; a resend has the same one.
    pub digest: [u8; 32],
    /// The entry host that would send the request.
    pub holder: Holder,
    /// The holder's number for the call, unchanged when the proposal is repeated.
    pub call: u64,
    /// When the caller first sent the request, since the Unix epoch; `None` if the caller does not
    /// state it.
    pub issued: Option<Time>,
}

/// A request to record an outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finish {
    /// The key of the claim.
    pub key: Key,
    /// The entry host that sent the request.
    pub holder: Holder,
    /// The call number under which the holder claimed it.
    pub call: u64,
    /// The outcome to record.
    pub outcome: Outcome,
}

/// The result of a command about a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimResult {
    /// The holder may send the request, once.
    Granted,
    /// It was claimed before and is in progress.
    InProgress,
    /// It was claimed before and has this outcome.
    Recorded(Outcome),
    /// The key was used with another request.
    Mismatch,
    /// It was claimed before, or is older than the retention time; its outcome is no longer known.
    Forgotten,
    /// The outcome was recorded, or the claim was given back.
    Done,
    /// Nothing was granted or changed.
    Refused(Refusal),
}

/// The reason why nothing was granted or changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// The caller or the key is empty or longer than [`MAX_KEY_BYTES`].
    Malformed,
    /// The maximum number of claims is reached.
    Full,
    /// There is no such claim.
    Absent,
    /// Another holder, or another call of this holder, has the claim.
    Holder,
    /// Its outcome is already recorded.
    Ended,
}

impl Key {
    /// Returns whether both parts have an allowed length.
    pub(crate) fn is_valid(&self) -> bool {
        let allowed = 1..=MAX_KEY_BYTES;
        allowed.contains(&self.caller.len()) && allowed.contains(&self.key.len())
    }
}
