//! Continuous batching: batch slots granted by priority, and the interval between tokens.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;

/// Queue order, served from the largest: priority first, then earlier arrival.
type QueueKey = (u32, u64);

/// Occupancy and queue of a batch.
#[derive(Debug, Default)]
struct State {
    /// Requests that hold a slot.
    running: u32,
    /// Requests that wait for a slot; the last entry is served next.
    waiting: BTreeMap<QueueKey, oneshot::Sender<Slot>>,
    /// Number of requests that have been queued so far.
    arrivals: u64,
}

/// The batch of one engine; clones share the same state.
#[derive(Debug, Clone)]
pub struct Batch {
    /// Maximum number of requests in the batch.
    max_running: u32,
    /// Maximum number of requests that wait for a slot.
    max_queued: usize,
    /// Time between two tokens of a request while the batch is small.
    token_time: Duration,
    /// Throughput limit over all requests in the batch.
    tokens_per_second: f64,
    /// Shared by all clones.
    state: Arc<Mutex<State>>,
}

impl Batch {
    /// Creates an empty batch that runs at least one request.
    pub fn new(
        max_running: u32,
        max_queued: usize,
        token_time: Duration,
        tokens_per_second: f64,
    ) -> Self {
        Self {
            max_running: max_running.max(1),
            max_queued,
            token_time,
            tokens_per_second: tokens_per_second.max(1.0),
            state: Arc::default(),
        }
    }

    /// Waits for a slot in the batch; `None` if the queue is full.
    pub async fn acquire(&self, priority: u32) -> Option<Slot> {
        let waiting = {
            let mut state = self.state();
            if state.running < self.max_running {
                state.running += 1;
                return Some(self.new_slot());
            }
            if state.waiting.len() >= self.max_queued {
                return None;
            }
            state.arrivals += 1;
            let key = (priority, u64::MAX - state.arrivals);
            let (sender, receiver) = oneshot::channel();
            state.waiting.insert(key, sender);
            receiver
        };
        waiting.await.ok()
    }

    /// Returns the number of requests in the batch.
    pub fn running(&self) -> u32 {
        self.state().running
    }

    /// Returns the number of requests that still wait for a slot.
    pub fn queued(&self) -> u32 {
        let state = self.state();
        let waiting = state.waiting.values().filter(|sender| !sender.is_closed());
        u32::try_from(waiting.count()).unwrap_or(u32::MAX)
    }

    /// Returns the time until the next token of each request at the current batch size.
    pub fn token_interval(&self) -> Duration {
        let shared_interval = f64::from(self.running()) / self.tokens_per_second;
        self.token_time
            .max(Duration::from_secs_f64(shared_interval))
    }

    /// Wraps a slot that `running` already counts.
    fn new_slot(&self) -> Slot {
        Slot {
            batch: self.clone(),
        }
    }

    /// Hands a freed slot to the next request in the queue.
    ///
    /// If that request is gone, its slot is dropped, which calls this function again.
    fn release(&self) {
        let mut state = self.state();
        let next = state.waiting.pop_last();
        if next.is_none() {
            state.running -= 1;
        }
        drop(state);
        if let Some((_, sender)) = next {
            drop(sender.send(self.new_slot()));
        }
    }

    /// Locks the state; a panic of another holder leaves it usable.
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A slot in the batch, released when dropped.
#[derive(Debug)]
pub struct Slot {
    batch: Batch,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.batch.release();
    }
}

#[cfg(test)]
mod tests;
