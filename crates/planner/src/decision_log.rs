//! A bounded log of the latest decisions on each model, for operators.

use std::collections::{BTreeMap, VecDeque};

use cornelhitch_types::id::{ModelId, Name, Time};

/// Upper bound on the entries kept for one model.
const MAX_ENTRIES_PER_MODEL: usize = 16;

/// A logged decision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogEntry {
    /// When it was made.
    pub at: Time,
    /// The decision and its reason, for operators.
    pub text: Name,
}

/// The latest decisions on each model.
#[derive(Debug, Default)]
pub struct DecisionLog {
    models: BTreeMap<ModelId, VecDeque<LogEntry>>,
}

impl DecisionLog {
    /// Appends an entry and drops the oldest one of the model if the log is full.
    ///
    /// An entry that repeats the latest one is not added.
    pub fn add(&mut self, model: &ModelId, at: Time, text: Name) {
        let entries = self.models.entry(model.clone()).or_default();
        if entries.back().is_some_and(|entry| entry.text == text) {
            return;
        }
        if entries.len() == MAX_ENTRIES_PER_MODEL {
            entries.pop_front();
        }
        entries.push_back(LogEntry { at, text });
    }

    /// Returns the entries of a model, oldest first.
    pub fn entries(&self, model: &str) -> impl Iterator<Item = &LogEntry> {
        self.models.get(model).into_iter().flatten()
    }
}
