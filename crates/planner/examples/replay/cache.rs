//! Copies of models on a worker, where the one used longest ago gives way.

use cornelhitch_types::id::ModelId;

/// A cache of copies with a size in bytes.
#[derive(Debug, Clone)]
pub struct Cache {
    size: u64,
    copies: Vec<(ModelId, u64)>,
}

impl Cache {
    /// An empty cache.
    pub fn new(size: u64) -> Self {
        Self {
            size,
            copies: Vec::new(),
        }
    }

    /// Adds a copy as the newest, and drops the oldest until all fit.
    pub fn add(&mut self, model: &ModelId, bytes: u64) {
        self.copies.retain(|(known, _)| known != model);
        self.copies.push((model.clone(), bytes));
        while self.copies.iter().map(|(_, bytes)| bytes).sum::<u64>() > self.size {
            self.copies.remove(0);
        }
    }

    /// Whether a model is there.
    pub fn has(&self, model: &str) -> bool {
        self.copies.iter().any(|(known, _)| **known == *model)
    }

    /// The models, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &ModelId> {
        self.copies.iter().map(|(model, _)| model)
    }
}
