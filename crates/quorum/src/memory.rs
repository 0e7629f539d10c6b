//! An in-memory store for tests that can lose unsynced records and fail writes.

use crate::store::{Error, Record, Recovered, Store, TooLargeSnafu};

/// An in-memory store in which written records become durable only when synced.
#[derive(Clone, Debug)]
pub struct MemoryStore {
    synced: Recovered,
    written: Vec<Record>,
    /// Whether writes fail, as on a full disk.
    pub full: bool,
}

impl MemoryStore {
    /// Creates a store that holds `recovered`.
    #[must_use]
    pub fn new(recovered: Recovered) -> Self {
        Self {
            synced: recovered,
            written: Vec::new(),
            full: false,
        }
    }

    /// Writes records without syncing them.
    ///
    /// # Errors
    ///
    /// [`Error::TooLarge`] if the store is `full`.
    pub fn write(&mut self, records: &[Record]) -> Result<(), Error> {
        if self.full {
            return TooLargeSnafu {
                bytes: records.len(),
                limit: 0_usize,
            }
            .fail();
        }
        self.written.extend_from_slice(records);
        Ok(())
    }

    /// Makes all written records durable.
    ///
    /// # Errors
    ///
    /// [`Error::Gap`] if the entries are not contiguous.
    pub fn sync(&mut self) -> Result<(), Error> {
        let written = std::mem::take(&mut self.written);
        written
            .iter()
            .try_for_each(|record| self.synced.apply(record))
    }

    /// Simulates a crash in which only the first `kept` unsynced records survive.
    ///
    /// # Errors
    ///
    /// [`Error::Gap`] if the entries are not contiguous.
    pub fn crash(&mut self, kept: usize) -> Result<(), Error> {
        self.written.truncate(kept);
        self.sync()
    }

    /// The durable content.
    #[must_use]
    pub fn synced(&self) -> &Recovered {
        &self.synced
    }

    /// Number of records written but not synced.
    #[must_use]
    pub fn unsynced(&self) -> usize {
        self.written.len()
    }
}

impl Store for MemoryStore {
    fn recovered(&self) -> Recovered {
        self.synced.clone()
    }

    fn append(&mut self, records: &[Record]) -> Result<(), Error> {
        self.write(records)?;
        self.sync()
    }
}
