//! Memory for the parts of answers that are buffered until they are complete, shared by all requests
//! of a host. Each target has its share.

use bytes::Bytes;
use cornelhitch_types::id::TargetId;

use crate::process_memory::{ProcessMemory, Purpose};
use crate::shared_memory::SharedMemory;

/// Most memory for all buffered parts of answers of a host, in bytes. A half of it holds the largest answer.
const TOTAL_BYTES: usize = 40 << 20;

/// Part of the process's memory that may hold them, if that is less.
const PART: f64 = 0.25;

/// What one target may hold, relative to what is free.
const SHARE: usize = 1;

/// Size up to which an answer is small, in bytes: the first segment. The target has run its request, so that it is
/// refused only if the process has no memory at all.
pub(crate) const SMALL_ANSWER_BYTES: usize = MIN_SEGMENT_BYTES;

/// Bounds on the size of a segment, in bytes. The largest answer has fewer segments than a caller's
/// queue has places.
const MIN_SEGMENT_BYTES: usize = 8 << 10;
const MAX_SEGMENT_BYTES: usize = 512 << 10;

/// The memory of a host for buffered parts of answers, shared by targets.
///
/// ```
/// use cornelhitch_node::answer_memory::AnswerMemory;
/// use cornelhitch_node::process_memory::ProcessMemory;
/// use cornelhitch_settings::process::Serving;
///
/// let memory = AnswerMemory::of_host(ProcessMemory::new(&Serving::default(), None));
/// let mut first = memory.reservation(&"worker-1".into());
/// assert!(first.resize(20 << 20));
/// assert!(!memory.reservation(&"worker-1".into()).resize(1));
/// assert!(memory.reservation(&"worker-2".into()).resize(10 << 20));
/// drop(first);
/// assert!(memory.reservation(&"worker-1".into()).resize(1));
/// ```
pub type AnswerMemory = SharedMemory<TargetId>;

impl AnswerMemory {
    /// Creates the memory of a host whose process has this memory.
    #[must_use]
    pub fn of_host(process: ProcessMemory) -> Self {
        let limit = process.part(PART).min(TOTAL_BYTES);
        Self::new(limit, SHARE).within(process.room(Purpose::Answer))
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

    /// Returns the body in order, without the room that its last segment has left.
    pub(crate) fn into_parts(mut self) -> impl Iterator<Item = Bytes> + Send {
        if let Some(last) = self.parts.last_mut() {
            last.shrink_to_fit();
        }
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
