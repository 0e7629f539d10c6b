//! Memory for answers and events that callers have not read yet, shared by all callers of a host. Each
//! caller's address has its share.
//!
//! An answer that is buffered completely is kept until the connection has taken all of it, also by the
//! HTTP/2 library, which takes an answer from its body before its caller has room for it.

use std::net::IpAddr;
use std::time::Duration;

use bytes::Bytes;
use cornelhitch_types::refusal::{Reason, Refusal, Run};
use tokio::time::sleep;

use crate::answer_memory::SMALL_ANSWER_BYTES;
use crate::metrics::{Count, Metrics};
use crate::process_memory::{ProcessMemory, Purpose};
use crate::shared_memory::{Reservation, SharedMemory};

/// Part of the process's memory that may hold unread answers.
const PART: f64 = 0.25;

/// Length from which a part is kept without a copy, in bytes.
const MIN_KEPT_BYTES: usize = 8 << 10;

/// What one caller may hold, relative to what is free: three quarters of all if it is alone.
const SHARE: usize = 3;

/// Interval at which an event that had no room is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// The memory of a host for unread answers.
#[derive(Debug)]
pub struct UnreadAnswers {
    memory: SharedMemory<IpAddr>,
    metrics: Metrics,
}

/// The share of one caller in that memory.
#[derive(Debug, Clone)]
pub struct CallerShare {
    memory: SharedMemory<IpAddr>,
    caller: IpAddr,
}

impl CallerShare {
    /// Returns an event of a stream that keeps its memory reserved until the connection has taken it. Waits
    /// while the share has no room, so that the target isn't read from meanwhile.
    pub async fn hold(&self, event: &Bytes) -> Bytes {
        let mut reservation = self.memory.reservation(&self.caller);
        while !reservation.resize(event.len()) {
            sleep(RETRY_INTERVAL).await;
        }
        let bytes = event.clone();
        Bytes::from_owner(HeldPart { bytes, reservation })
    }
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
    /// Creates the memory of a host whose process has this memory.
    #[must_use]
    pub fn new(process: ProcessMemory, metrics: Metrics) -> Self {
        let memory = SharedMemory::new(process.part(PART), SHARE);
        Self {
            memory: memory.within(process.room(Purpose::Answer)),
            metrics,
        }
    }

    /// Returns a caller's share.
    #[must_use]
    pub fn share(&self, caller: IpAddr) -> CallerShare {
        CallerShare {
            memory: self.memory.clone(),
            caller,
        }
    }

    /// Returns an empty answer to a caller.
    #[must_use]
    pub fn begin(&self, caller: IpAddr) -> HeldAnswer {
        let reservation = self.memory.reservation(&caller);
        HeldAnswer {
            parts: Vec::new(),
            reservation: reservation.small_up_to(SMALL_ANSWER_BYTES),
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
