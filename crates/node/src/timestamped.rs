//! The payload of log entries: a command with the time at which the leader proposed it.

use bytes::Bytes;
use cornelhitch_types::id::Time;
use serde::{Deserialize, Serialize};

/// The payload of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimestampedCommand {
    /// The leader's time of the proposal, since the Unix epoch.
    pub time: Time,
    /// The encoded command.
    pub command: Bytes,
}

impl TimestampedCommand {
    /// Encodes the payload for the log.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        postcard::to_stdvec(self).unwrap_or_default().into()
    }

    /// Decodes a payload.
    ///
    /// # Errors
    /// Returns an error if the bytes are not a payload.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}
