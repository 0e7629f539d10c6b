//! Memory for the bodies of requests and messages, shared by all of a host. Each address has its share.
//!
//! A body is kept until the last part of the host that may send it has let go of it. A body whose
//! length is announced gets its room before it is read; one in chunks grows while it is read, and is refused
//! once it finds no more.

use std::net::IpAddr;
use std::time::Duration;

use bytes::Bytes;
use cornelhitch_settings::process::Serving;
use cornelhitch_types::refusal::{Reason, Refusal};
use http::Extensions;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use tokio::time::error::Elapsed;
use tokio::time::timeout;

use crate::connection::BodyProgress;
use crate::metrics::{Count, Metrics};
use crate::problem::not_run;
use crate::process_memory::{ProcessMemory, Purpose};
use crate::shared_memory::{Reservation, SharedMemory};

/// Part of the process's memory that may hold the bodies of callers' requests.
const CALLERS_PART: f64 = 0.5;

/// Part of it that may hold messages of targets and operators.
const MESSAGES_PART: f64 = 0.125;

/// What one caller may hold, relative to what is free: three quarters of all if it is alone.
const SHARE: usize = 3;

/// Factor by which the room of a body in chunks grows. Each time its bytes may be copied.
const GROWTH: usize = 4;

/// Bytes of a refused body that are read and dropped.
const MAX_DRAINED_BYTES: usize = 16 << 20;

/// Longest time without a byte of a body that is refused, or not a caller's; the default of `body-ms`.
const BODY_TIMEOUT: Duration = Duration::from_secs(15);

/// When a request that had no room may find some.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Reads the bodies of requests or messages, within the memory that a host has for them; clones share it.
#[derive(Debug, Clone)]
pub struct RequestBodies {
    memory: SharedMemory<IpAddr>,
    /// Longest time without a byte of a body.
    timeout: Duration,
    metrics: Metrics,
}

/// A body, and the memory that it has reserved.
struct HeldBody {
    bytes: Vec<u8>,
    reservation: Reservation<IpAddr>,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Why a body cannot be kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Lack {
    /// It is over the limit for one body.
    Limit,
    /// Its caller's share of the memory has no room for it.
    Memory,
    /// No byte of it came in time.
    Overdue,
}

impl HeldBody {
    /// Makes room for more bytes, at most `limit` in all.
    fn grow(&mut self, more: usize, limit: usize) -> Result<(), Lack> {
        let needed = self.bytes.len().saturating_add(more);
        if needed > limit {
            return Err(Lack::Limit);
        }
        let capacity = self.bytes.capacity();
        if needed <= capacity {
            return Ok(());
        }
        let next = match capacity {
            0 => needed,
            _ => needed.max(GROWTH * capacity).min(limit),
        };
        if !self.reservation.resize(next) {
            return Err(Lack::Memory);
        }
        self.bytes.reserve_exact(next - self.bytes.len());
        Ok(())
    }

    /// Gives back the room that a complete body doesn't need.
    fn shrink(&mut self) {
        self.bytes.shrink_to_fit();
        self.reservation.resize(self.bytes.capacity());
    }
}

impl RequestBodies {
    /// Creates the reader of callers' requests, for a host that serves with these settings.
    #[must_use]
    pub fn of_callers(serving: &Serving, process: ProcessMemory, metrics: Metrics) -> Self {
        let memory = SharedMemory::new(process.part(CALLERS_PART), SHARE);
        Self {
            memory: memory.within(process.room(Purpose::Body)),
            timeout: Duration::from_millis(serving.body_ms),
            metrics,
        }
    }

    /// Creates the reader of messages from targets and operators.
    #[must_use]
    pub fn of_messages(process: ProcessMemory, metrics: Metrics) -> Self {
        let memory = SharedMemory::new(process.part(MESSAGES_PART), SHARE);
        Self {
            memory: memory.within(process.room(Purpose::Message)),
            timeout: BODY_TIMEOUT,
            metrics,
        }
    }

    /// Reads a complete body.
    ///
    /// # Errors
    /// Returns a refusal if the body is over `limit` bytes, the caller's share of the memory has no room
    /// for it, or the connection breaks. What is left of the body is read and dropped then, so that the
    /// caller gets the refusal.
    pub async fn read(
        &self,
        mut body: Incoming,
        extensions: &Extensions,
        limit: usize,
        caller: IpAddr,
    ) -> Result<Bytes, Refusal> {
        let mut held = HeldBody {
            bytes: Vec::new(),
            reservation: self.memory.reservation(&caller),
        };
        let announced = body.size_hint().exact().unwrap_or(0);
        let announced = usize::try_from(announced).unwrap_or(usize::MAX);
        let mut room = held.grow(announced, limit);
        while room.is_ok() {
            let Ok(frame) = next_frame(&mut body, extensions, self.timeout).await else {
                room = Err(Lack::Overdue);
                break;
            };
            let Some(frame) = frame else { break };
            let broken = |error| not_run(Reason::Malformed, format!("the body: {error}"));
            if let Ok(data) = frame.map_err(broken)?.into_data() {
                room = held.grow(data.len(), limit);
                if room.is_ok() {
                    held.bytes.extend_from_slice(&data);
                }
            }
        }
        match room {
            Ok(()) => {
                held.shrink();
                Ok(Bytes::from_owner(held))
            }
            Err(lack) => {
                if lack != Lack::Overdue {
                    drain(body, extensions.clone());
                }
                Err(self.refusal(lack, limit, caller))
            }
        }
    }

    /// Returns the refusal of a request whose body cannot be kept.
    fn refusal(&self, lack: Lack, limit: usize, caller: IpAddr) -> Refusal {
        if lack == Lack::Limit {
            return not_run(Reason::TooLarge, format!("the body is over {limit} bytes"));
        }
        if lack == Lack::Overdue {
            self.metrics.increment(Count::BodiesOverdue);
            return overdue(self.timeout);
        }
        self.metrics.increment(Count::BodiesRefused);
        if self.memory.allow_log_line() {
            let reserved = self.memory.reserved();
            tracing::warn!(%caller, reserved, "request refused: no room for its body");
        }
        Refusal {
            retry_after: Some(RETRY_AFTER),
            ..not_run(
                Reason::Overloaded,
                "this host has no room for the request's body",
            )
        }
    }
}

/// Returns the next part of the body of a request with these extensions; fails if it takes too long.
async fn next_frame(
    body: &mut Incoming,
    extensions: &Extensions,
    limit: Duration,
) -> Result<Option<Result<Frame<Bytes>, hyper::Error>>, Elapsed> {
    let frame = timeout(limit, body.frame()).await?;
    match &frame {
        Some(Ok(frame)) => {
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            BodyProgress::record(extensions, bytes);
        }
        Some(Err(_)) | None => BodyProgress::end(extensions),
    }
    Ok(frame)
}

/// Returns the refusal of a request whose body takes too long.
fn overdue(limit: Duration) -> Refusal {
    not_run(Reason::Expired, format!("no byte of the body in {limit:?}"))
}

/// Reads and drops the rest of a body, up to [`MAX_DRAINED_BYTES`]. A connection that is closed with unread
/// bytes is reset, and its other side may lose the answer.
pub(crate) fn drain(mut body: Incoming, extensions: Extensions) {
    tokio::spawn(async move {
        let mut left = MAX_DRAINED_BYTES;
        while let Ok(Some(Ok(frame))) = next_frame(&mut body, &extensions, BODY_TIMEOUT).await {
            left = left.saturating_sub(frame.data_ref().map_or(0, Bytes::len));
            if left == 0 {
                return;
            }
        }
    });
}
