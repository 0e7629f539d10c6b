//! How far callers have read their answers over HTTP/2.
//!
//! Over HTTP/2 a caller stops an answer by its flow control (RFC 9113, section 5.2) while the socket takes
//! other frames, such as answers to pings. So the time limit on unread answers is kept for each answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use crate::connection::Request;
use crate::connection_limits::MIN_BYTES_PER_SECOND;

/// Bytes that count as unsent until the HTTP library asks for the body, which it does once the caller lets it.
const NOT_BEGUN_BYTES: usize = 1;

/// How far the caller of one answer has read.
#[derive(Debug)]
pub(crate) struct AnswerProgress {
    since: Instant,
    /// Bytes that the HTTP library has taken and not sent yet.
    unsent: AtomicUsize,
    /// When bytes were last taken or sent, in milliseconds from the beginning.
    moved_ms: AtomicU64,
}

impl AnswerProgress {
    /// Begins an answer.
    pub(crate) fn new() -> Self {
        Self {
            since: Instant::now(),
            unsent: AtomicUsize::new(NOT_BEGUN_BYTES),
            moved_ms: AtomicU64::new(0),
        }
    }

    /// Records that the HTTP library asked for the body for the first time; returns whether nothing is unsent.
    pub(crate) fn begin(&self) -> bool {
        self.sent(NOT_BEGUN_BYTES)
    }

    /// Returns whether the caller has read nothing for longer than `timeout`, or too slowly.
    pub(crate) fn is_stalled(&self, timeout: Duration) -> bool {
        let unsent = u32::try_from(self.unsent.load(Ordering::Relaxed)).unwrap_or(u32::MAX);
        let moved = Duration::from_millis(self.moved_ms.load(Ordering::Relaxed));
        let reading = Duration::from_secs_f64(f64::from(unsent) / MIN_BYTES_PER_SECOND);
        unsent > 0 && self.since.elapsed() > moved + timeout + reading
    }

    /// Records that the HTTP library took bytes; returns whether nothing was unsent before.
    pub(crate) fn taken(&self, bytes: usize) -> bool {
        self.moved();
        self.unsent.fetch_add(bytes, Ordering::Relaxed) == 0
    }

    /// Records that bytes were sent; returns whether nothing is unsent.
    pub(crate) fn sent(&self, bytes: usize) -> bool {
        self.moved();
        self.unsent.fetch_sub(bytes, Ordering::Relaxed) == bytes
    }

    /// Records that the answer went on.
    fn moved(&self) {
        let elapsed = u64::try_from(self.since.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.moved_ms.store(elapsed, Ordering::Relaxed);
    }
}

/// Bytes that the HTTP library has taken; the request is in progress until they are sent.
#[derive(Debug)]
struct Unsent {
    bytes: Bytes,
    request: Arc<Request>,
}

impl AsRef<[u8]> for Unsent {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Unsent {
    fn drop(&mut self) {
        self.request.answer_sent(self.bytes.len());
    }
}

/// Returns bytes that the HTTP library takes from an answer, which record when they were sent.
pub(crate) fn take(bytes: Bytes, request: &Arc<Request>) -> Bytes {
    request.answer_taken(bytes.len());
    let request = request.clone();
    Bytes::from_owner(Unsent { bytes, request })
}
