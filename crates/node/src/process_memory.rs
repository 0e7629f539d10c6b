//! The bound on all memory that one process holds.
//!
//! Handles overload: callers, targets and operators make a process hold bodies, answers, connections,
//! buffers of the HTTP library and tasks. The limits of single uses give each holder its share; this
//! bound is over their sum, which the allocator counts. The nearer the process comes to
//! it, the more is refused, in the order of [`Purpose`]: proxies call this load shedding by heap size.

use cornelhitch_settings::process::Serving;

/// Bytes of a megabyte.
const MEGABYTE: f64 = 1e6;

/// Bytes of a kibibyte.
const KIBIBYTE: f64 = 1_024.0;

/// The process's status, where Linux states the size of its code.
const STATUS_FILE: &str = "/proc/self/status";

/// The lines of the status with the code of the program and of its libraries.
const CODE_LINES: [&str; 2] = ["VmExe:", "VmLib:"];

/// Size of the code where the system states none, in bytes.
const UNSTATED_CODE_BYTES: f64 = 16e6;

/// Part of the memory beside the code that may be allocated. The rest is for stacks, and for what the allocator
/// can't reuse.
const HEAP_PART: f64 = 0.62;

/// Part of the heap's limit that is left for holders that have nothing yet.
const FIRST_PART: f64 = 0.12;

/// What memory is needed for, from what is refused first to what is refused last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// The body of a caller's request.
    Body,
    /// A part of an answer.
    Answer,
    /// A request whose head was received.
    Request,
    /// A message of a target or an operator.
    Message,
    /// A connection, and bytes that are read from it without a request in progress.
    Connection,
    /// Bytes that are read from a connection with a request in progress.
    Progress,
}

impl Purpose {
    /// Returns the part of the heap's limit up to which there is room.
    fn part(self) -> f64 {
        match self {
            Self::Body => 0.68,
            Self::Answer => 0.76,
            Self::Request => 0.86,
            Self::Message => 0.9,
            Self::Connection => 0.95,
            Self::Progress => 1.0,
        }
    }
}

/// Returns the bytes that the process has allocated.
pub type HeapSize = fn() -> usize;

/// The bound on the memory of one process.
///
/// ```
/// use cornelhitch_node::process_memory::{ProcessMemory, Purpose};
/// use cornelhitch_settings::process::Serving;
///
/// let memory = ProcessMemory::new(&Serving::default(), Some(|| 110_000_000));
/// assert!(!memory.has_room(Purpose::Body, 1_000));
/// assert!(memory.has_room(Purpose::Request, 1_000));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct ProcessMemory {
    /// Bytes of the process.
    total: f64,
    /// Bytes that may be allocated.
    limit: f64,
    /// Returns what is allocated; `None` if that is unknown, so that there is always room.
    heap: Option<HeapSize>,
}

impl ProcessMemory {
    /// Returns the bound for a process that serves with these settings.
    #[must_use]
    pub fn new(serving: &Serving, heap: Option<HeapSize>) -> Self {
        let total = serving.memory_mb * MEGABYTE;
        Self {
            total,
            limit: HEAP_PART * (total - code_bytes()).max(0.0),
            heap,
        }
    }

    /// Returns this part of the process's memory, in bytes.
    #[must_use]
    pub fn part(&self, part: f64) -> usize {
        to_bytes(part * self.total)
    }

    /// Returns this part of what may be allocated, in bytes.
    #[must_use]
    pub fn heap_part(&self, part: f64) -> usize {
        to_bytes(part * self.limit)
    }

    /// Returns what is allocated and what may be, in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> String {
        let (heap, limit) = (self.heap(), to_bytes(self.limit));
        format!(
            "# TYPE cornelhitch_heap_bytes gauge\ncornelhitch_heap_bytes {heap}\n\
             # TYPE cornelhitch_heap_limit_bytes gauge\ncornelhitch_heap_limit_bytes {limit}\n"
        )
    }

    /// Returns the bytes that are allocated; 0 if that is unknown.
    #[must_use]
    pub fn heap(&self) -> usize {
        self.heap.map_or(0, |heap| heap())
    }

    /// Returns the room that the process has for a purpose.
    #[must_use]
    pub fn room(self, purpose: Purpose) -> Room {
        Room {
            memory: self,
            purpose,
        }
    }

    /// Returns whether this many more bytes may be allocated for a use.
    #[must_use]
    pub fn has_room(&self, purpose: Purpose, bytes: usize) -> bool {
        self.has_room_within(purpose.part(), bytes)
    }

    /// Returns whether this many more bytes may be allocated within a part of the heap's limit.
    fn has_room_within(&self, part: f64, bytes: usize) -> bool {
        let limit = to_bytes(part * self.limit);
        self.heap
            .is_none_or(|heap| heap().saturating_add(bytes) <= limit)
    }
}

/// Returns the size of the code of the program and its libraries, in bytes.
fn code_bytes() -> f64 {
    let status = std::fs::read_to_string(STATUS_FILE).unwrap_or_default();
    let stated = CODE_LINES.map(|name| stated_kib(&status, name));
    let [Some(program), Some(libraries)] = stated else {
        return UNSTATED_CODE_BYTES;
    };
    (program + libraries) * KIBIBYTE
}

/// Returns the size in KiB on the line of this name.
fn stated_kib(status: &str, name: &str) -> Option<f64> {
    let line = status.lines().find_map(|line| line.strip_prefix(name))?;
    line.trim().strip_suffix(" kB")?.parse().ok()
}

/// Converts a number of bytes, which is not negative.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn to_bytes(bytes: f64) -> usize {
    bytes as usize
}

/// The room that a process has for one use of its memory.
#[derive(Debug, Clone, Copy)]
pub struct Room {
    memory: ProcessMemory,
    purpose: Purpose,
}

impl Room {
    /// Returns whether this many more bytes may be allocated for a holder that has some already.
    #[must_use]
    pub fn has(&self, bytes: usize) -> bool {
        self.memory.has_room(self.purpose, bytes)
    }

    /// Returns whether this many bytes may be allocated for something small that completes a request.
    #[must_use]
    pub fn has_small(&self, bytes: usize) -> bool {
        self.memory.has_room(Purpose::Progress, bytes)
    }

    /// Returns whether this many bytes may be allocated for a holder that has none yet.
    #[must_use]
    pub fn has_first(&self, bytes: usize) -> bool {
        let part = self.purpose.part() + FIRST_PART;
        self.memory.has_room_within(part, bytes)
    }
}
