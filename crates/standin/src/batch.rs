//! Continuous batching: places in the batch by priority, and the pace of tokens.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;

/// Who waits: a larger priority first, then the older.
type Rank = (u32, u64);

/// The state of the batch.
#[derive(Debug, Default)]
struct State {
    /// Requests in the batch.
    running: u32,
    /// Those that wait for a place, the last one first.
    waiting: BTreeMap<Rank, oneshot::Sender<Place>>,
    /// Counts those that came.
    came: u64,
}

/// The batch of one engine.
#[derive(Debug, Clone)]
pub struct Batch {
    /// Requests at once at most.
    most: u32,
    /// Requests that wait at most.
    queue: usize,
    /// Time of a token while the batch is small.
    token: Duration,
    /// Tokens of all requests together, a second.
    rate: f64,
    /// The state.
    state: Arc<Mutex<State>>,
}

impl Batch {
    /// An empty batch.
    pub fn new(most: u32, queue: usize, token: Duration, rate: f64) -> Self {
        Self {
            most: most.max(1),
            queue,
            token,
            rate: rate.max(1.0),
            state: Arc::default(),
        }
    }

    /// A place in the batch; none where too many wait already.
    pub async fn place(&self, priority: u32) -> Option<Place> {
        let waiting = {
            let mut state = self.state();
            if state.running < self.most {
                state.running += 1;
                return Some(self.new_place());
            }
            if state.waiting.len() >= self.queue {
                return None;
            }
            state.came += 1;
            let rank = (priority, u64::MAX - state.came);
            let (sender, receiver) = oneshot::channel();
            state.waiting.insert(rank, sender);
            receiver
        };
        waiting.await.ok()
    }

    /// Requests in the batch.
    pub fn running(&self) -> u32 {
        self.state().running
    }

    /// Requests that wait for a place.
    pub fn queued(&self) -> u32 {
        let state = self.state();
        let waiting = state.waiting.values().filter(|sender| !sender.is_closed());
        u32::try_from(waiting.count()).unwrap_or(u32::MAX)
    }

    /// Time of the next token of each request.
    pub fn pace(&self) -> Duration {
        let shared = f64::from(self.running()) / self.rate;
        self.token.max(Duration::from_secs_f64(shared))
    }

    /// A place that is counted already.
    fn new_place(&self) -> Place {
        Place {
            batch: self.clone(),
        }
    }

    /// Hands a place that became free to the next who waits.
    ///
    /// Where that one has left, its place is dropped, which comes back here.
    fn release(&self) {
        let mut state = self.state();
        let next = state.waiting.pop_last();
        if next.is_none() {
            state.running -= 1;
        }
        drop(state);
        if let Some((_, sender)) = next {
            drop(sender.send(self.new_place()));
        }
    }

    /// The state.
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A place in the batch, free again once it is dropped.
#[derive(Debug)]
pub struct Place {
    /// The batch.
    batch: Batch,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.batch.release();
    }
}

#[cfg(test)]
mod tests;
