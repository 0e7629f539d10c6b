//! A store in memory for tests, which can lose what is not synced and can fail.

use crate::store::{Error, Record, Recovered, Store, TooLargeSnafu};

/// A disk in memory: records are written first and last only once they are synced.
#[derive(Clone, Debug)]
pub struct Memory {
    synced: Recovered,
    written: Vec<Record>,
    /// Whether writes fail.
    pub full: bool,
}

impl Memory {
    /// A disk that holds `recovered`.
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
    /// An error if the disk is full.
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

    /// Syncs what is written.
    ///
    /// # Errors
    ///
    /// [`Error::Gap`] if entries do not follow from one another.
    pub fn sync(&mut self) -> Result<(), Error> {
        let written = std::mem::take(&mut self.written);
        written
            .iter()
            .try_for_each(|record| self.synced.apply(record))
    }

    /// A crash: of the records not synced only the first `kept` last.
    ///
    /// # Errors
    ///
    /// [`Error::Gap`] if entries do not follow from one another.
    pub fn crash(&mut self, kept: usize) -> Result<(), Error> {
        self.written.truncate(kept);
        self.sync()
    }

    /// What is synced.
    #[must_use]
    pub fn synced(&self) -> &Recovered {
        &self.synced
    }

    /// How many records are written and not synced.
    #[must_use]
    pub fn unsynced(&self) -> usize {
        self.written.len()
    }
}

impl Store for Memory {
    fn recovered(&self) -> Recovered {
        self.synced.clone()
    }

    fn append(&mut self, records: &[Record]) -> Result<(), Error> {
        self.write(records)?;
        self.sync()
    }
}
