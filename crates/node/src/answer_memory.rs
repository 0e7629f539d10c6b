//! Memory for answers that are buffered until they are complete, shared by all requests of a host.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Memory for all buffered answers of a host, in KiB: an eighth of a small host's memory.
const TOTAL_KIB: usize = 32 << 10;

/// The memory of a host for buffered answers; clones share it.
#[derive(Debug, Clone)]
pub struct AnswerMemory(Arc<Semaphore>);

impl Default for AnswerMemory {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(TOTAL_KIB)))
    }
}

/// The memory that one answer has reserved; freed when dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: AnswerMemory,
    reserved: Option<OwnedSemaphorePermit>,
    /// Bytes of the last KiB reserved that are not used.
    unused: usize,
}

impl AnswerMemory {
    /// Returns a reservation without memory.
    #[must_use]
    pub fn reservation(&self) -> Reservation {
        Reservation {
            memory: self.clone(),
            reserved: None,
            unused: 0,
        }
    }
}

impl Reservation {
    /// Reserves memory for more bytes; returns whether the host has it.
    ///
    /// ```
    /// use cornelhitch_node::answer_memory::AnswerMemory;
    ///
    /// let memory = AnswerMemory::default();
    /// let mut first = memory.reservation();
    /// assert!(first.extend(32 << 20));
    /// assert!(!memory.reservation().extend(1));
    /// drop(first);
    /// assert!(memory.reservation().extend(1));
    /// ```
    pub fn extend(&mut self, bytes: usize) -> bool {
        let Some(lacking) = bytes.checked_sub(self.unused) else {
            self.unused -= bytes;
            return true;
        };
        let kib = lacking.div_ceil(1 << 10);
        let Ok(count) = u32::try_from(kib) else {
            return false;
        };
        let Ok(permit) = self.memory.0.clone().try_acquire_many_owned(count) else {
            return false;
        };
        match &mut self.reserved {
            Some(reserved) => reserved.merge(permit),
            None => self.reserved = Some(permit),
        }
        self.unused = (kib << 10) - lacking;
        true
    }
}
