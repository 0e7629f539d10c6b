//! What the log carries: a command with the time at which its leader proposed it.

use bytes::Bytes;
use cornelhitch_types::id::Time;
use serde::{Deserialize, Serialize};

/// One payload of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamped {
    /// Since the Unix epoch, by the leader's clock.
    pub time: Time,
    /// The command, encoded.
    pub command: Bytes,
}

impl Stamped {
    /// The bytes for the log.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        postcard::to_stdvec(self).unwrap_or_default().into()
    }

    /// The payload in the bytes.
    ///
    /// # Errors
    /// The bytes are none.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}
