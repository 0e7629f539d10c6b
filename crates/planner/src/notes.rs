//! The last decisions on each model, kept for operators.

use std::collections::{BTreeMap, VecDeque};

use cornelhitch_types::id::{ModelId, Name, Time};

/// Notes kept a model.
const KEPT: usize = 16;

/// One decision as operators read it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Note {
    /// When.
    pub at: Time,
    /// What and why.
    pub text: Name,
}

/// The last decisions on each model.
#[derive(Debug, Default)]
pub struct Notes {
    models: BTreeMap<ModelId, VecDeque<Note>>,
}

impl Notes {
    /// Adds a note, and drops the oldest of a model that has many.
    ///
    /// A note that repeats the last one is not added.
    pub fn add(&mut self, model: &ModelId, at: Time, text: Name) {
        let notes = self.models.entry(model.clone()).or_default();
        if notes.back().is_some_and(|note| note.text == text) {
            return;
        }
        if notes.len() == KEPT {
            notes.pop_front();
        }
        notes.push_back(Note { at, text });
    }

    /// The notes of a model, oldest first.
    pub fn of(&self, model: &str) -> impl Iterator<Item = &Note> {
        self.models.get(model).into_iter().flatten()
    }
}
