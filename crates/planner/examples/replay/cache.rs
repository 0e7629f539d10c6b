//! An LRU cache of model copies on a worker.

use cornelhitch_types::id::ModelId;

/// A cache of copies, least recently added first.
#[derive(Debug, Clone)]
pub struct Cache {
    capacity_bytes: u64,
    copies: Vec<(ModelId, u64)>,
}

impl Cache {
    /// Creates an empty cache.
    pub fn new(capacity_bytes: u64) -> Self {
        Self {
            capacity_bytes,
            copies: Vec::new(),
        }
    }

    /// Adds a copy as the newest, and evicts the oldest ones until all fit.
    pub fn add(&mut self, model: &ModelId, bytes: u64) {
        self.copies.retain(|(known, _)| known != model);
        self.copies.push((model.clone(), bytes));
        while self.copies.iter().map(|(_, bytes)| bytes).sum::<u64>() > self.capacity_bytes {
            self.copies.remove(0);
        }
    }

    /// Returns whether the cache has a copy of the model.
    pub fn has(&self, model: &str) -> bool {
        self.copies.iter().any(|(known, _)| **known == *model)
    }

    /// Iterates over the models, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &ModelId> {
        self.copies.iter().map(|(model, _)| model)
    }
}
