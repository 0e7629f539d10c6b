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

/// Length from which a part is kept without a copy, in bytes.
const MIN_KEPT_BYTES: usize = 8 << 10;

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

/// An answer that is being buffered, in parts that are not copied. A part is kept until the connection has
/// taken all of it.
#[derive(Debug)]
pub struct HeldAnswer {
    parts: Vec<Bytes>,
    reservation: Reservation<IpAddr>,
    /// Bytes of all parts.
    length: usize,
}

/// A part of an answer, with its reservation.
#[derive(Debug)]
struct HeldPart {
    bytes: Bytes,
    #[expect(dead_code, reason = "frees the part's memory when it is dropped")]
    reservation: Reservation<IpAddr>,
}

impl AsRef<[u8]> for HeldPart {
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
            parts: Vec::new(),
            reservation: self.memory.reservation(&caller),
            length: 0,
        }
    }

    /// Appends a part to an answer.
    ///
    /// # Errors
    /// Returns a refusal that guarantees nothing if the caller's share has no room.
    pub fn append(&self, answer: &mut HeldAnswer, part: Bytes) -> Result<(), Refusal> {
        let length = answer.length + part.len();
        if !answer.reservation.resize(length) {
            return Err(self.refusal());
        }
        answer.length = length;
        // A short part may be a slice that keeps a long buffer.
        let part = if part.len() < MIN_KEPT_BYTES {
            Bytes::copy_from_slice(&part)
        } else {
            part
        };
        answer.parts.push(part);
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

impl HeldAnswer {
    /// Returns the parts, each of which frees its own memory when it is dropped.
    #[must_use]
    pub fn into_parts(mut self) -> Vec<Bytes> {
        let parts = self.parts.into_iter().map(|bytes| {
            let reservation = self.reservation.split(bytes.len());
            Bytes::from_owner(HeldPart { bytes, reservation })
        });
        parts.collect()
    }
}
