//! The prefix cache of an engine, and its late and gappy events; no I/O.

use std::collections::VecDeque;

use cornelhitch_types::id::ModelId;
use cornelhitch_types::target::CacheEvent;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::text;

/// Bytes of a body that count as its prefix.
const PREFIX: usize = 256;

/// A prefix of a model's prompts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prefix {
    /// The model.
    pub model: ModelId,
    /// Digest of the prefix.
    pub digest: u64,
}

impl Prefix {
    /// The prefix of a body.
    pub fn of(model: ModelId, body: &[u8]) -> Self {
        let digest = text::digest(&body[..body.len().min(PREFIX)]);
        Self { model, digest }
    }
}

/// The prefixes that are held, the one used last at the end.
#[derive(Debug)]
pub struct Prefixes {
    /// Those held.
    held: VecDeque<Prefix>,
    /// How many are held at most.
    most: usize,
    /// Events since the last report, and those of the report before, which are due.
    fresh: Vec<CacheEvent>,
    /// Events that the next report carries.
    due: Vec<CacheEvent>,
    /// Counts events.
    sequence: u64,
    /// Of a hundred events, how many are lost.
    lost: u8,
    /// Chooses which.
    random: SmallRng,
}

impl Prefixes {
    /// An empty cache.
    pub fn new(most: usize, lost: u8, seed: u64) -> Self {
        Self {
            held: VecDeque::new(),
            most: most.max(1),
            fresh: Vec::new(),
            due: Vec::new(),
            sequence: 0,
            lost,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Whether a prefix is held.
    pub fn holds(&self, prefix: &Prefix) -> bool {
        self.held.contains(prefix)
    }

    /// Uses a prefix; says whether it was held.
    pub fn touch(&mut self, prefix: Prefix) -> bool {
        if let Some(at) = self.held.iter().position(|held| *held == prefix) {
            self.held.remove(at);
            self.held.push_back(prefix);
            return true;
        }
        self.note(&prefix, true);
        self.held.push_back(prefix);
        if self.held.len() > self.most
            && let Some(oldest) = self.held.pop_front()
        {
            self.note(&oldest, false);
        }
        false
    }

    /// Events for the next heartbeat: those of the one before, less the lost ones.
    pub fn report(&mut self) -> Vec<CacheEvent> {
        let due = std::mem::take(&mut self.due);
        self.due = std::mem::take(&mut self.fresh);
        due
    }

    /// Counts an event, and keeps it unless it is lost.
    fn note(&mut self, prefix: &Prefix, held: bool) {
        self.sequence += 1;
        if self.random.random_range(0..100) < self.lost {
            return;
        }
        self.fresh.push(CacheEvent {
            sequence: self.sequence,
            model: prefix.model.clone(),
            prefix: prefix.digest,
            held,
        });
    }
}
