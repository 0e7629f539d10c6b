//! The queue of waiting requests, in the order in which they are to be sent.
//!
//! Within a class, teams share turns by what their requests cost (see [`crate::fair_share`]), and of
//! one team's requests the earliest deadline goes first. Requests without a team count as one team,
//! so that without teams the earliest deadline of the class goes first. Classes share turns in proportion to their
//! weights by stride scheduling (Waldspurger and Weihl 1995): a heavy class goes before a light
//! one, and no class starves however long the heavy ones are busy.

mod class;

use std::collections::{BTreeMap, HashMap};

use cornelhitch_types::id::{CallerId, ModelId, Name, Time};
use cornelhitch_types::route;
use serde::{Deserialize, Serialize};

use crate::event::{CallId, RequestedResource};
use crate::fair_share::{FairShares, Flow};
use class::{Class, ClassOrder};

/// Identifies a lane: the requests that can be sent to the same replicas.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum QueueKey {
    /// A model, with the version if the request names one.
    Model(ModelId, Option<Name>),
    /// A service, by name.
    Service(Name),
}

impl QueueKey {
    /// Returns the service that the requests belong to. All models outside a service count as one,
    /// with an empty name.
    ///
    /// ```
    /// use cornelhitch_entry::queue::QueueKey;
    ///
    /// assert_eq!(&*QueueKey::Service("auction".into()).service(), "auction");
    /// assert_eq!(&*QueueKey::Model("engines/report".into(), None).service(), "engines");
    /// assert_eq!(&*QueueKey::Model("report".into(), None).service(), "");
    /// ```
    #[must_use]
    pub fn service(&self) -> Name {
        match self {
            Self::Model(model, _) => route::service_name(model).unwrap_or_default().into(),
            Self::Service(name) => name.clone(),
        }
    }
}

impl From<&RequestedResource> for QueueKey {
    fn from(what: &RequestedResource) -> Self {
        match what {
            RequestedResource::Model(reference) => {
                Self::Model(reference.model.clone(), reference.version.clone())
            }
            RequestedResource::Service { name, .. } => Self::Service(name.clone()),
        }
    }
}

/// Weight of a response that is to be resumed; it goes before all classes.
pub const RESUME_WEIGHT: u32 = u32::MAX;

/// The position of a request in the order of its lane.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Rank {
    /// The weight of the request's class.
    pub weight: u32,
    /// The request's deadline.
    pub deadline: Time,
    /// The team that the request counts for, and what it costs.
    pub flow: Flow,
}

/// Requests that share turns in the order of their deadlines: those of one team and class in a lane.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Group {
    /// The lane.
    pub key: QueueKey,
    /// The weight of the class.
    pub weight: u32,
    /// The digest of the team; see [`Flow::team`].
    pub team: u64,
}

impl Group {
    /// Returns the group of a request.
    #[must_use]
    pub fn of(key: &QueueKey, rank: Rank) -> Self {
        Self {
            key: key.clone(),
            weight: rank.weight,
            team: rank.flow.team,
        }
    }
}

/// The waiting requests for the same replicas.
#[derive(Debug, Default)]
struct Lane {
    /// Classes by weight.
    classes: BTreeMap<u32, Class>,
    /// Virtual time: the turn of the last request that was sent.
    clock: f64,
}

/// Returns the virtual time that one turn of a class takes.
fn stride(weight: u32) -> f64 {
    1.0 / f64::from(weight.max(1))
}

impl Lane {
    /// Adds a request. If its class had no waiting requests, its next turn is no earlier than now.
    /// Returns whether it is new.
    fn push(&mut self, rank: Rank, id: CallId) -> bool {
        let clock = self.clock;
        let class = self.classes.entry(rank.weight).or_default();
        if class.len() == 0 {
            class.turn = class.turn.max(clock);
        }
        class.insert(rank, id)
    }

    /// Advances virtual time by one turn of a class.
    fn take_turn(&mut self, weight: u32) {
        if let Some(class) = self.classes.get_mut(&weight) {
            self.clock = self.clock.max(class.turn);
            class.turn += stride(weight);
        }
    }

    /// Removes a request. Returns whether it was there.
    fn remove(&mut self, rank: Rank, id: CallId) -> bool {
        let class = self.classes.get_mut(&rank.weight);
        class.is_some_and(|class| class.remove(rank, id))
    }

    /// Returns the number of waiting requests.
    fn len(&self) -> usize {
        self.classes.values().map(Class::len).sum()
    }

    /// Returns the request with the last turn, and that turn relative to now.
    fn last(&self, shares: &FairShares) -> Option<(f64, CallId)> {
        let lasts = self.classes.iter().filter_map(|(weight, class)| {
            let id = class.last(shares)?;
            Some((self.end_turn(*weight, class), id))
        });
        lasts.max_by(|one, other| one.0.total_cmp(&other.0))
    }

    /// Returns the turn of a class's last request, relative to now.
    fn end_turn(&self, weight: u32, class: &Class) -> f64 {
        let count = u32::try_from(class.len()).unwrap_or(u32::MAX);
        class.turn - self.clock + f64::from(count) * stride(weight)
    }

    /// Returns how many waiting requests would go before a new one if no others arrived.
    fn ahead(&self, rank: Rank, shares: &FairShares) -> usize {
        let own = self.classes.get(&rank.weight);
        let before = own.map_or(0, |class| class.count_before(rank, shares));
        let start = own.map_or(self.clock, |class| class.turn.max(self.clock));
        let count = u32::try_from(before).unwrap_or(u32::MAX);
        let turn = start + f64::from(count) * stride(rank.weight);
        let others = self
            .classes
            .iter()
            .filter(|(weight, _)| **weight != rank.weight);
        let others = others.map(|(weight, class)| {
            let turns = ((turn - class.turn) / stride(*weight)).ceil().max(0.0);
            turns_to_count(turns).min(class.len())
        });
        before + others.sum::<usize>()
    }
}

/// Converts a number of turns to a count.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn turns_to_count(turns: f64) -> usize {
    turns as usize
}

/// Iteration state of one class.
struct ClassCursor<'a> {
    /// The virtual time of its next turn.
    turn: f64,
    /// The virtual time between its turns.
    stride: f64,
    waiting: ClassOrder<'a>,
}

/// Iterator over the requests of a lane in the order of their turns.
struct TurnOrder<'a> {
    /// One cursor per class, the heaviest first.
    cursors: Vec<ClassCursor<'a>>,
}

impl Iterator for TurnOrder<'_> {
    type Item = CallId;

    fn next(&mut self) -> Option<CallId> {
        while !self.cursors.is_empty() {
            let turns = self.cursors.iter().enumerate();
            let (index, _) = turns.min_by(|one, other| one.1.turn.total_cmp(&other.1.turn))?;
            let cursors = &mut self.cursors[index];
            if let Some(id) = cursors.waiting.next() {
                cursors.turn += cursors.stride;
                return Some(id);
            }
            let _spent = self.cursors.remove(index);
        }
        None
    }
}

/// The waiting requests, and the number of requests of each caller.
#[derive(Debug, Default)]
pub struct Queue {
    lanes: BTreeMap<QueueKey, Lane>,
    /// What the teams were sent for, over all lanes.
    shares: FairShares,
    /// Total number of waiting requests.
    length: usize,
    /// Number of requests of each caller, waiting or in flight.
    callers: HashMap<CallerId, u32>,
}

impl Queue {
    /// Adds a request. Adding it again has no effect.
    ///
    /// ```
    /// use cornelhitch_entry::queue::{QueueKey, Queue, Rank};
    /// use cornelhitch_entry::fair_share::Flow;
    /// use std::time::Duration;
    ///
    /// let mut queue = Queue::default();
    /// let key = QueueKey::Service("bids".into());
    /// let rank = |weight, seconds| Rank {
    ///     weight,
    ///     deadline: Duration::from_secs(seconds),
    ///     flow: Flow::default(),
    /// };
    /// queue.push(&key, rank(1, 600), 1);
    /// queue.push(&key, rank(1, 500), 2);
    /// queue.push(&key, rank(100, 900), 3);
    /// let order: Vec<u64> = queue.lane(&key).collect();
    /// assert_eq!(order, [3, 2, 1]);
    /// ```
    pub fn push(&mut self, key: &QueueKey, rank: Rank, id: CallId) {
        if !self.lanes.contains_key(key) {
            self.lanes.insert(key.clone(), Lane::default());
        }
        if let Some(lane) = self.lanes.get_mut(key)
            && lane.push(rank, id)
        {
            self.length += 1;
            self.shares.add_waiting(rank.flow.team);
        }
    }

    /// Removes a request that is being sent, which uses a turn of its class.
    pub fn take_turn(&mut self, key: &QueueKey, rank: Rank, id: CallId) {
        if let Some(lane) = self.lanes.get_mut(key) {
            lane.take_turn(rank.weight);
            self.shares.charge(rank.flow);
        }
        self.remove(key, rank, id);
    }

    /// Removes a request, if it is queued.
    pub fn remove(&mut self, key: &QueueKey, rank: Rank, id: CallId) {
        let Some(lane) = self.lanes.get_mut(key) else {
            return;
        };
        let was_there = lane.remove(rank, id);
        if lane.len() == 0 {
            self.lanes.remove(key);
        }
        if was_there {
            self.length -= 1;
            self.shares.remove_waiting(rank.flow.team);
        }
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether no requests wait.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the request with the last turn over all lanes, which is the one shed when the queue
    /// is full.
    #[must_use]
    pub fn last(&self) -> Option<CallId> {
        let lasts = self.lanes.values();
        let lasts = lasts.filter_map(|lane| lane.last(&self.shares));
        let last = lasts.max_by(|one, other| one.0.total_cmp(&other.0));
        last.map(|(_, id)| id)
    }

    /// Returns the keys of all lanes with waiting requests.
    #[must_use]
    pub fn keys(&self) -> Vec<QueueKey> {
        self.lanes.keys().cloned().collect()
    }

    /// Iterates over the waiting requests of a lane in the order of their turns.
    pub fn lane(&self, key: &QueueKey) -> impl Iterator<Item = CallId> {
        let lane = self.lanes.get(key);
        // Of classes with the same turn, the heaviest goes first.
        let classes = lane.into_iter().flat_map(|lane| lane.classes.iter().rev());
        let cursors = classes.map(|(weight, class)| ClassCursor {
            turn: class.turn,
            stride: stride(*weight),
            waiting: class.order(&self.shares),
        });
        TurnOrder {
            cursors: cursors.collect(),
        }
    }

    /// Returns the number of waiting requests in a lane.
    #[must_use]
    pub fn waiting(&self, key: &QueueKey) -> usize {
        self.lanes.get(key).map_or(0, Lane::len)
    }

    /// Returns how many waiting requests of a lane would go before a new one.
    #[must_use]
    pub fn ahead(&self, key: &QueueKey, rank: Rank) -> usize {
        self.lanes
            .get(key)
            .map_or(0, |lane| lane.ahead(rank, &self.shares))
    }

    /// Returns how many waiting requests of the same group have earlier deadlines.
    #[must_use]
    pub fn ahead_in_group(&self, key: &QueueKey, rank: Rank) -> usize {
        let class = self.lanes.get(key);
        let class = class.and_then(|lane| lane.classes.get(&rank.weight));
        class.map_or(0, |class| class.count_before_in_team(rank))
    }

    /// Returns the number of a caller's requests, waiting or in flight.
    #[must_use]
    pub fn caller_requests(&self, caller: &CallerId) -> u32 {
        self.callers.get(caller).copied().unwrap_or(0)
    }

    /// Counts a new request of a caller.
    pub fn add_caller_request(&mut self, caller: &CallerId) {
        *self.callers.entry(caller.clone()).or_default() += 1;
    }

    /// Counts the end of a caller's request.
    pub fn remove_caller_request(&mut self, caller: &CallerId) {
        let Some(count) = self.callers.get_mut(caller) else {
            return;
        };
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.callers.remove(caller);
        }
    }
}
