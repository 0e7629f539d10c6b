//! The requests that wait, in the order in which they are to be sent.
//!
//! A request's rank is `arrival + slack / weight`, where the slack is the time
//! from its arrival to its deadline. The rank never changes, so the order is a
//! plain sorted set; a larger weight goes sooner, and a request that has waited
//! goes before all that arrive after its own deadline, whatever their weight.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use cornelhitch_types::id::{CallerId, ModelId, Name, Time};
use serde::{Deserialize, Serialize};

use crate::event::{CallId, What};

/// Requests that can be sent to the same replicas.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// A model, in the version that was named.
    Model(ModelId, Option<Name>),
    /// A plain service.
    Service(Name),
}

impl From<&What> for Key {
    fn from(what: &What) -> Self {
        match what {
            What::Model(reference) => {
                Self::Model(reference.model.clone(), reference.version.clone())
            }
            What::Service { name, .. } => Self::Service(name.clone()),
        }
    }
}

/// A place in the order: the smallest goes first.
pub type Rank = Time;

/// The rank of a request.
///
/// ```
/// use cornelhitch_entry::queue::rank;
/// use std::time::Duration;
///
/// let preview = rank(Duration::from_secs(9), Duration::from_secs(10), 100);
/// let review = rank(Duration::from_secs(1), Duration::from_secs(600), 1);
/// assert!(preview < review);
/// ```
#[must_use]
pub fn rank(arrived: Time, deadline: Time, weight: u32) -> Rank {
    arrived + deadline.saturating_sub(arrived) / weight.max(1)
}

/// The requests that wait, and how many requests each caller has.
#[derive(Debug, Default, Serialize)]
pub struct Queue {
    /// In order, by the replicas that they can be sent to.
    lanes: BTreeMap<Key, BTreeSet<(Rank, CallId)>>,
    /// All of them in order.
    ranks: BTreeSet<(Rank, CallId)>,
    /// Requests of each caller, waiting or in progress.
    callers: HashMap<CallerId, u32>,
}

impl Queue {
    /// Adds a request.
    pub fn push(&mut self, key: &Key, rank: Rank, id: CallId) {
        if !self.lanes.contains_key(key) {
            self.lanes.insert(key.clone(), BTreeSet::new());
        }
        if let Some(lane) = self.lanes.get_mut(key) {
            lane.insert((rank, id));
        }
        self.ranks.insert((rank, id));
    }

    /// Takes a request out; it may not be there.
    pub fn remove(&mut self, key: &Key, rank: Rank, id: CallId) {
        self.ranks.remove(&(rank, id));
        let Some(lane) = self.lanes.get_mut(key) else {
            return;
        };
        lane.remove(&(rank, id));
        if lane.is_empty() {
            self.lanes.remove(key);
        }
    }

    /// Requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.ranks.len()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ranks.is_empty()
    }

    /// The request that will be sent last, which is the furthest from being met.
    #[must_use]
    pub fn last(&self) -> Option<(Rank, CallId)> {
        self.ranks.last().copied()
    }

    /// The keys of what waits.
    #[must_use]
    pub fn keys(&self) -> Vec<Key> {
        self.lanes.keys().cloned().collect()
    }

    /// Requests that wait for the same replicas, in order.
    pub fn lane(&self, key: &Key) -> impl Iterator<Item = (Rank, CallId)> {
        self.lanes.get(key).into_iter().flatten().copied()
    }

    /// How many wait for the same replicas.
    #[must_use]
    pub fn waiting(&self, key: &Key) -> usize {
        self.lanes.get(key).map_or(0, BTreeSet::len)
    }

    /// How many of them go before a rank; counts no further than `limit`.
    #[must_use]
    pub fn ahead(&self, key: &Key, rank: Rank, limit: usize) -> usize {
        let lane = self.lanes.get(key);
        lane.map_or(0, |lane| lane.range(..(rank, 0)).take(limit).count())
    }

    /// Requests of a caller, waiting or in progress.
    #[must_use]
    pub fn of_caller(&self, caller: &CallerId) -> u32 {
        self.callers.get(caller).copied().unwrap_or(0)
    }

    /// Counts a caller's request.
    pub fn enter(&mut self, caller: &CallerId) {
        *self.callers.entry(caller.clone()).or_default() += 1;
    }

    /// Counts the end of a caller's request.
    pub fn leave(&mut self, caller: &CallerId) {
        let Some(count) = self.callers.get_mut(caller) else {
            return;
        };
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.callers.remove(caller);
        }
    }
}
