//! Memory for the parts of answers that are buffered until they are complete, shared by all requests
//! of a host.
//!
//! A target's share is what is still free, by the dynamic threshold of Choudhury and Hahne (1998): one
//! target alone can take a half, two a third each, and some always remains for the others.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use cornelhitch_types::id::TargetId;

use crate::log_limit::LogLimiter;

/// Memory for all buffered parts of answers of a host, in bytes: a quarter of a small host's memory.
/// A half of it holds the largest answer.
const TOTAL_BYTES: usize = 40 << 20;

/// Bounds on the size of a segment, in bytes. The largest answer has fewer segments than a caller's
/// queue has places.
const MIN_SEGMENT_BYTES: usize = 8 << 10;
const MAX_SEGMENT_BYTES: usize = 512 << 10;

/// The memory of a host for buffered parts of answers; clones share it.
#[derive(Debug, Clone, Default)]
pub struct AnswerMemory(Arc<Mutex<Usage>>);

/// What is reserved.
#[derive(Debug, Default)]
struct Usage {
    /// Bytes of all targets.
    total: usize,
    /// Bytes of each target that holds any.
    targets: BTreeMap<TargetId, usize>,
    /// Limits the log lines about answers that are given up.
    log_limit: LogLimiter,
}

impl Usage {
    /// Adds bytes to what a target holds; returns false, and adds nothing, if its share has no room.
    fn add(&mut self, target: &TargetId, bytes: usize) -> bool {
        let held = self.targets.get(target).copied().unwrap_or_default();
        let free = TOTAL_BYTES - self.total;
        let fits = free
            .checked_sub(bytes)
            .is_some_and(|free| held + bytes <= free);
        if fits {
            self.total += bytes;
            self.targets.insert(target.clone(), held + bytes);
        }
        fits
    }

    /// Takes bytes from what a target holds.
    fn subtract(&mut self, target: &TargetId, bytes: usize) {
        self.total -= bytes;
        if let Some(held) = self.targets.get_mut(target) {
            *held -= bytes;
            if *held == 0 {
                self.targets.remove(target);
            }
        }
    }
}

/// The memory that an answer of a target has reserved; freed when dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: AnswerMemory,
    target: TargetId,
    /// Bytes reserved.
    bytes: usize,
}

impl AnswerMemory {
    /// Returns a reservation without memory for an answer of a target.
    #[must_use]
    pub fn reservation(&self, target: &TargetId) -> Reservation {
        Reservation {
            memory: self.clone(),
            target: target.clone(),
            bytes: 0,
        }
    }

    /// Returns the bytes that are reserved for answers of all targets.
    #[must_use]
    pub fn reserved(&self) -> usize {
        self.usage().total
    }

    /// Returns whether a line about an answer that is given up may be logged now.
    pub(crate) fn allow_log_line(&self) -> bool {
        self.usage().log_limit.allow()
    }

    /// Locks the usage.
    fn usage(&self) -> MutexGuard<'_, Usage> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Reservation {
    /// Changes the reservation to this many bytes; returns false, and changes nothing, if that is
    /// more and the target's share has no room for it.
    ///
    /// ```
    /// use cornelhitch_node::answer_memory::AnswerMemory;
    ///
    /// let memory = AnswerMemory::default();
    /// let mut first = memory.reservation(&"worker-1".into());
    /// assert!(first.resize(20 << 20));
    /// assert!(!memory.reservation(&"worker-1".into()).resize(1));
    /// assert!(memory.reservation(&"worker-2".into()).resize(10 << 20));
    /// drop(first);
    /// assert!(memory.reservation(&"worker-1".into()).resize(1));
    /// ```
    pub fn resize(&mut self, bytes: usize) -> bool {
        if bytes == self.bytes {
            return true;
        }
        let mut usage = self.memory.usage();
        if bytes < self.bytes {
            usage.subtract(&self.target, self.bytes - bytes);
        } else if !usage.add(&self.target, bytes - self.bytes) {
            return false;
        }
        drop(usage);
        self.bytes = bytes;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}

/// A body that is buffered in segments, so that it grows without being copied and takes hardly more
/// memory than its length.
#[derive(Debug, Default)]
pub(crate) struct Segments {
    /// The segments in order; those before the last one are full.
    parts: Vec<Vec<u8>>,
    /// Bytes of the body.
    pub(crate) length: usize,
    /// Bytes that all segments take.
    capacity: usize,
}

impl Segments {
    /// Returns the bytes that all segments take once a chunk is appended.
    pub(crate) fn capacity_with(&self, chunk: &[u8]) -> usize {
        let lacking = (self.length + chunk.len()).saturating_sub(self.capacity);
        self.capacity + self.next_segment(lacking)
    }

    /// Appends a chunk.
    pub(crate) fn append(&mut self, chunk: &[u8]) {
        let room = self.capacity - self.length;
        let (here, rest) = chunk.split_at(room.min(chunk.len()));
        if let Some(last) = self.parts.last_mut() {
            last.extend_from_slice(here);
        }
        if !rest.is_empty() {
            let mut segment = Vec::with_capacity(self.next_segment(rest.len()));
            segment.extend_from_slice(rest);
            self.capacity += segment.capacity();
            self.parts.push(segment);
        }
        self.length += chunk.len();
    }

    /// Returns the body in order.
    pub(crate) fn into_parts(self) -> impl Iterator<Item = Bytes> + Send {
        self.parts.into_iter().map(Bytes::from)
    }

    /// Returns the size of the next segment, which has to hold this many bytes.
    fn next_segment(&self, bytes: usize) -> usize {
        if bytes == 0 {
            return 0;
        }
        let usual = self.length.clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES);
        bytes.max(usual)
    }
}
