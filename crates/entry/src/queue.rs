//! The requests that wait, in the order in which they are to be sent.
//!
//! Within a class the nearest deadline goes first. Between classes the turns
//! are shared out by weight (stride scheduling, Waldspurger and Weihl 1995): a
//! class that waits gets turns in proportion to its weight, so a heavy class
//! goes before a light one, and no class starves however long the heavy ones
//! are busy.

use std::collections::btree_set::Iter;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use cornelhitch_types::id::{CallerId, ModelId, Name, Time};
use cornelhitch_types::route;
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

impl Key {
    /// The service that the requests are for; models that belong to no service count as one, which
    /// has an empty name.
    ///
    /// ```
    /// use cornelhitch_entry::queue::Key;
    ///
    /// assert_eq!(&*Key::Service("auction".into()).service(), "auction");
    /// assert_eq!(&*Key::Model("engines/report".into(), None).service(), "engines");
    /// assert_eq!(&*Key::Model("report".into(), None).service(), "");
    /// ```
    #[must_use]
    pub fn service(&self) -> Name {
        match self {
            Self::Model(model, _) => route::service_name(model).unwrap_or_default().into(),
            Self::Service(name) => name.clone(),
        }
    }
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

/// The weight of requests that go before all classes: answers that are to be continued.
pub const FIRST: u32 = u32::MAX;

/// A place in the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Rank {
    /// The weight of its class.
    pub weight: u32,
    /// Its deadline.
    pub deadline: Time,
}

/// The requests of one class that wait for the same replicas.
#[derive(Debug, Default)]
struct Class {
    /// In the order of their deadlines.
    waiting: BTreeSet<(Time, CallId)>,
    /// When its next turn is, on the clock of the lane.
    turn: f64,
}

/// The requests that wait for the same replicas.
#[derive(Debug, Default)]
struct Lane {
    /// By weight.
    classes: BTreeMap<u32, Class>,
    /// The turn of the last request that was sent.
    clock: f64,
}

/// The part of the lane's clock that one turn of a class takes.
fn stride(weight: u32) -> f64 {
    1.0 / f64::from(weight.max(1))
}

impl Lane {
    /// Adds a request; a class that did not wait has its next turn now.
    fn push(&mut self, rank: Rank, id: CallId) {
        let clock = self.clock;
        let class = self.classes.entry(rank.weight).or_default();
        if class.waiting.is_empty() {
            class.turn = class.turn.max(clock);
        }
        class.waiting.insert((rank.deadline, id));
    }

    /// Counts a turn.
    fn serve(&mut self, weight: u32) {
        if let Some(class) = self.classes.get_mut(&weight) {
            self.clock = self.clock.max(class.turn);
            class.turn += stride(weight);
        }
    }

    /// Takes a request out.
    fn remove(&mut self, rank: Rank, id: CallId) {
        if let Some(class) = self.classes.get_mut(&rank.weight) {
            class.waiting.remove(&(rank.deadline, id));
        }
    }

    /// Requests that wait.
    fn len(&self) -> usize {
        self.classes.values().map(|class| class.waiting.len()).sum()
    }

    /// The request with the last turn, and that turn as seen from now.
    fn last(&self) -> Option<(f64, CallId)> {
        let lasts = self.classes.iter().filter_map(|(weight, class)| {
            let (_, id) = class.waiting.last()?;
            Some((self.end(*weight, class), *id))
        });
        lasts.max_by(|one, other| one.0.total_cmp(&other.0))
    }

    /// The turn of a class's last request, as seen from now.
    fn end(&self, weight: u32, class: &Class) -> f64 {
        let count = u32::try_from(class.waiting.len()).unwrap_or(u32::MAX);
        class.turn - self.clock + f64::from(count) * stride(weight)
    }

    /// How many go before a new request, as far as is known now.
    fn ahead(&self, rank: Rank) -> usize {
        let own = self.classes.get(&rank.weight);
        let before = own.map_or(0, |class| class.waiting.range(..(rank.deadline, 0)).count());
        let start = own.map_or(self.clock, |class| class.turn.max(self.clock));
        let count = u32::try_from(before).unwrap_or(u32::MAX);
        let turn = start + f64::from(count) * stride(rank.weight);
        let others = self
            .classes
            .iter()
            .filter(|(weight, _)| **weight != rank.weight);
        let others = others.map(|(weight, class)| {
            let turns = ((turn - class.turn) / stride(*weight)).ceil().max(0.0);
            turns_to_count(turns).min(class.waiting.len())
        });
        before + others.sum::<usize>()
    }
}

/// A number of turns as a count.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn turns_to_count(turns: f64) -> usize {
    turns as usize
}

/// The requests of one class that are yet to be gone through.
struct Series<'a> {
    /// The next turn.
    turn: f64,
    /// The time between turns.
    stride: f64,
    /// The requests.
    waiting: Iter<'a, (Time, CallId)>,
}

/// The requests of a lane in the order of their turns.
struct Turns<'a> {
    /// One series a class, the heaviest first.
    series: Vec<Series<'a>>,
}

impl Iterator for Turns<'_> {
    type Item = CallId;

    fn next(&mut self) -> Option<CallId> {
        while !self.series.is_empty() {
            let turns = self.series.iter().enumerate();
            let (index, _) = turns.min_by(|one, other| one.1.turn.total_cmp(&other.1.turn))?;
            let series = &mut self.series[index];
            if let Some((_, id)) = series.waiting.next() {
                series.turn += series.stride;
                return Some(*id);
            }
            let _spent = self.series.remove(index);
        }
        None
    }
}

/// The requests that wait, and how many requests each caller has.
#[derive(Debug, Default)]
pub struct Queue {
    /// By the replicas that they can be sent to.
    lanes: BTreeMap<Key, Lane>,
    /// Requests that wait.
    length: usize,
    /// Requests of each caller, waiting or in progress.
    callers: HashMap<CallerId, u32>,
}

impl Queue {
    /// Adds a request that does not wait yet.
    ///
    /// ```
    /// use cornelhitch_entry::queue::{Key, Queue, Rank};
    /// use std::time::Duration;
    ///
    /// let mut queue = Queue::default();
    /// let key = Key::Service("bids".into());
    /// let rank = |weight, seconds| Rank { weight, deadline: Duration::from_secs(seconds) };
    /// queue.push(&key, rank(1, 600), 1);
    /// queue.push(&key, rank(1, 500), 2);
    /// queue.push(&key, rank(100, 900), 3);
    /// let order: Vec<u64> = queue.lane(&key).collect();
    /// assert_eq!(order, [3, 2, 1]);
    /// ```
    pub fn push(&mut self, key: &Key, rank: Rank, id: CallId) {
        if !self.lanes.contains_key(key) {
            self.lanes.insert(key.clone(), Lane::default());
        }
        if let Some(lane) = self.lanes.get_mut(key) {
            let before = lane.len();
            lane.push(rank, id);
            self.length += lane.len() - before;
        }
    }

    /// Takes a request out that is sent, which is a turn of its class.
    pub fn serve(&mut self, key: &Key, rank: Rank, id: CallId) {
        if let Some(lane) = self.lanes.get_mut(key) {
            lane.serve(rank.weight);
        }
        self.remove(key, rank, id);
    }

    /// Takes a request out; it may not be there.
    pub fn remove(&mut self, key: &Key, rank: Rank, id: CallId) {
        let Some(lane) = self.lanes.get_mut(key) else {
            return;
        };
        let before = lane.len();
        lane.remove(rank, id);
        let left = lane.len();
        self.length -= before - left;
        if left == 0 {
            self.lanes.remove(key);
        }
    }

    /// Requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// The request with the last turn of all, which is the furthest from being met.
    #[must_use]
    pub fn last(&self) -> Option<CallId> {
        let lasts = self.lanes.values().filter_map(Lane::last);
        let last = lasts.max_by(|one, other| one.0.total_cmp(&other.0));
        last.map(|(_, id)| id)
    }

    /// The keys of what waits.
    #[must_use]
    pub fn keys(&self) -> Vec<Key> {
        self.lanes.keys().cloned().collect()
    }

    /// Requests that wait for the same replicas, in the order of their turns.
    pub fn lane(&self, key: &Key) -> impl Iterator<Item = CallId> {
        let lane = self.lanes.get(key);
        // Of classes with the same turn the heaviest goes first.
        let classes = lane.into_iter().flat_map(|lane| lane.classes.iter().rev());
        let series = classes.map(|(weight, class)| Series {
            turn: class.turn,
            stride: stride(*weight),
            waiting: class.waiting.iter(),
        });
        Turns {
            series: series.collect(),
        }
    }

    /// How many wait for the same replicas.
    #[must_use]
    pub fn waiting(&self, key: &Key) -> usize {
        self.lanes.get(key).map_or(0, Lane::len)
    }

    /// How many of them would go before a new one.
    #[must_use]
    pub fn ahead(&self, key: &Key, rank: Rank) -> usize {
        self.lanes.get(key).map_or(0, |lane| lane.ahead(rank))
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
