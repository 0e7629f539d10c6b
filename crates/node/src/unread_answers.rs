//! Memory for complete answers that callers have not read yet, shared by all callers of a host. Each
//! caller's address has its share.
//!
//! An answer that is buffered completely is kept until the connection has taken all of it, also by the
//! HTTP/2 library, which takes an answer from its body before its caller has room for it.

use std::net::IpAddr;

use bytes::Bytes;
use cornelhitch_settings::process::Serving;
use cornelhitch_types::refusal::{Reason, Refusal, Run};

use crate::metrics::{Count, Metrics};
use crate::shared_memory::{Reservation, SharedMemory};

/// Part of a host's memory that may hold unread answers.
const PART: f64 = 0.25;

/// Bytes of a megabyte.
const MEGABYTE: f64 = 1e6;

/// What one caller may hold, relative to what is free: three quarters of all if it is alone.
const SHARE: usize = 3;

/// The memory of a host for unread answers.
#[derive(Debug)]
pub struct UnreadAnswers {
    memory: SharedMemory<IpAddr>,
    metrics: Metrics,
}

/// An answer that is being buffered.
#[derive(Debug)]
pub struct HeldAnswer {
    bytes: Vec<u8>,
    reservation: Reservation<IpAddr>,
}

impl AsRef<[u8]> for HeldAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl UnreadAnswers {
    /// Creates the memory of a host that serves with these settings.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn new(serving: &Serving, metrics: Metrics) -> Self {
        let limit = (PART * serving.memory_mb * MEGABYTE) as usize;
        Self {
            memory: SharedMemory::new(limit, SHARE),
            metrics,
        }
    }

    /// Returns an empty answer to a caller.
    #[must_use]
    pub fn begin(&self, caller: IpAddr) -> HeldAnswer {
        HeldAnswer {
            bytes: Vec::new(),
            reservation: self.memory.reservation(&caller),
        }
    }

    /// Appends a part to an answer.
    ///
    /// # Errors
    /// Returns a refusal that guarantees nothing if the caller's share has no room.
    pub fn append(&self, answer: &mut HeldAnswer, part: &[u8]) -> Result<(), Refusal> {
        let needed = answer.bytes.len() + part.len();
        if needed > answer.bytes.capacity() {
            let next = needed.max(2 * answer.bytes.capacity());
            if !answer.reservation.resize(next) {
                return Err(self.refusal());
            }
            answer.bytes.reserve_exact(next - answer.bytes.len());
        }
        answer.bytes.extend_from_slice(part);
        Ok(())
    }

    /// Returns the refusal of an answer that has no room.
    fn refusal(&self) -> Refusal {
        self.metrics.increment(Count::AnswersDropped);
        if self.memory.allow_log_line() {
            let reserved = self.memory.reserved();
            tracing::warn!(
                reserved,
                "answer dropped: its caller leaves too many unread"
            );
        }
        Refusal {
            reason: Reason::TargetFailed,
            run: Run::Unknown,
            retry_after: None,
            detail: "this host has no room for the answer".into(),
        }
    }
}

impl From<HeldAnswer> for Bytes {
    fn from(mut answer: HeldAnswer) -> Self {
        answer.bytes.shrink_to_fit();
        answer.reservation.resize(answer.bytes.capacity());
        Self::from_owner(answer)
    }
}
