//! The prefix cache of a fake engine, whose events arrive late and with gaps; no I/O.

use std::collections::VecDeque;

use cornelhitch_types::id::ModelId;
use cornelhitch_types::target::CacheEvent;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::text;

/// Number of leading body bytes that count as the prompt's prefix.
const PREFIX_BYTES: usize = 256;

/// A prompt prefix of a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prefix {
    pub model: ModelId,
    /// FNV-1a hash of the prefix bytes.
    pub digest: u64,
}

impl Prefix {
    /// Returns the prefix of a request body.
    pub fn of(model: ModelId, body: &[u8]) -> Self {
        let digest = text::digest(&body[..body.len().min(PREFIX_BYTES)]);
        Self { model, digest }
    }
}

/// An LRU cache of prompt prefixes that reports its changes with a delay and with losses.
#[derive(Debug)]
pub struct PrefixCache {
    /// Cached prefixes, least recently used first.
    entries: VecDeque<Prefix>,
    /// Maximum number of entries.
    capacity: usize,
    /// Events since the last report, which the report after the next one carries.
    pending: Vec<CacheEvent>,
    /// Events that the next report carries.
    next_report: Vec<CacheEvent>,
    /// Sequence number of the last event, lost ones included.
    sequence: u64,
    /// Percentage of events that are lost.
    loss_percent: u8,
    /// Chooses the lost events.
    random: SmallRng,
}

impl PrefixCache {
    /// Creates an empty cache for at least one entry.
    pub fn new(capacity: usize, loss_percent: u8, seed: u64) -> Self {
        Self {
            entries: VecDeque::new(),
            capacity: capacity.max(1),
            pending: Vec::new(),
            next_report: Vec::new(),
            sequence: 0,
            loss_percent,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns whether a prefix is cached.
    pub fn contains(&self, prefix: &Prefix) -> bool {
        self.entries.contains(prefix)
    }

    /// Marks a prefix as used, adding it if needed; returns whether it was cached.
    pub fn touch(&mut self, prefix: Prefix) -> bool {
        if let Some(at) = self.entries.iter().position(|entry| *entry == prefix) {
            self.entries.remove(at);
            self.entries.push_back(prefix);
            return true;
        }
        self.record_event(&prefix, true);
        self.entries.push_back(prefix);
        if self.entries.len() > self.capacity
            && let Some(oldest) = self.entries.pop_front()
        {
            self.record_event(&oldest, false);
        }
        false
    }

    /// Returns the events for the next heartbeat, which are one report late.
    pub fn report(&mut self) -> Vec<CacheEvent> {
        let next_report = std::mem::take(&mut self.next_report);
        self.next_report = std::mem::take(&mut self.pending);
        next_report
    }

    /// Assigns a sequence number to an event, and keeps the event unless it is lost.
    fn record_event(&mut self, prefix: &Prefix, held: bool) {
        self.sequence += 1;
        if self.random.random_range(0..100) < self.loss_percent {
            return;
        }
        self.pending.push(CacheEvent {
            sequence: self.sequence,
            model: prefix.model.clone(),
            prefix: prefix.digest,
            held,
        });
    }
}
