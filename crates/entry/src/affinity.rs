//! Tracks which target holds which prompt prefixes in its cache, from cache events that may be late
//! or lost.
//!
//! An event is only a hint: acting on a wrong one costs a prefill and nothing else. A gap in a
//! target's sequence numbers halves the trust in its known prefixes, since the lost events may
//! have been evictions. A late event never overwrites a newer one for the same prefix.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

use cornelhitch_types::id::{ModelId, TargetId};
use cornelhitch_types::target::CacheEvent;
use serde::Serialize;

/// Maximum number of prefixes kept per target; the oldest are dropped first.
const MAX_PREFIXES: usize = 4_096;

/// Trust in a prefix that is only expected because its prompt was sent to the target.
const EXPECTED_TRUST: f64 = 0.7;

/// Trust in the shared part of a prompt at the target that all hosts prefer for it. It is higher
/// than [`EXPECTED_TRUST`], so that all hosts converge on the same target.
const PREFERRED_TRUST: f64 = 0.8;

/// Factor on the trust in earlier events after a gap.
const GAP_TRUST_FACTOR: f64 = 0.5;

/// Number of tokens in one block, where the sizes of prefixes are known.
pub const BLOCK_TOKENS: f64 = 177.0;

/// The last known state of one prefix on one target.
#[derive(Debug, Clone, Copy, Serialize)]
struct Entry {
    /// Sequence number of the event that reported it.
    sequence: u64,
    /// Whether the target holds the prefix.
    held: bool,
    /// How reliable this is, from 0 to 1.
    trust: f64,
}

/// The known prefixes of one target.
#[derive(Debug, Default, Serialize)]
struct Cache {
    /// The newest sequence number seen.
    newest: u64,
    /// Prefixes by model and digest.
    entries: HashMap<(ModelId, u64), Entry>,
    /// Prefixes in the order of their events, to drop the oldest.
    order: BTreeSet<(u64, ModelId, u64)>,
}

/// The known prefixes of all targets.
#[derive(Debug, Default, Serialize)]
pub struct PrefixCaches {
    targets: BTreeMap<TargetId, Cache>,
}

impl PrefixCaches {
    /// Applies cache events of a target, in any order.
    pub fn apply(&mut self, target: &TargetId, events: Vec<CacheEvent>) {
        let cache = self.targets.entry(target.clone()).or_default();
        for event in events {
            cache.apply(event);
        }
    }

    /// Records a prompt that was sent to a target: the target will soon hold most of it, but its
    /// cache event arrives later. Only prefixes whose length is a power of two are recorded, and
    /// the longest one.
    pub fn expect_prompt(&mut self, target: &TargetId, model: &ModelId, prefixes: &[u64]) {
        let noted = prefixes.iter().enumerate().filter(|(index, _)| {
            let length = index + 1;
            length.is_power_of_two() || length == prefixes.len()
        });
        let cache = self.targets.entry(target.clone()).or_default();
        for (_, prefix) in noted {
            cache.expect(model.clone(), *prefix);
        }
    }

    /// Drops the prefixes of a target that was removed or has restarted.
    pub fn forget(&mut self, target: &str) {
        self.targets.remove(target);
    }

    /// Returns the expected number of blocks of a prompt that a target holds. `sizes` is the number
    /// of tokens up to the end of each prefix, if known.
    ///
    /// ```
    /// use cornelhitch_entry::affinity::PrefixCaches;
    /// use cornelhitch_types::target::CacheEvent;
    ///
    /// let mut caches = PrefixCaches::default();
    /// let event = CacheEvent { sequence: 1, model: "report".into(), prefix: 9, held: true };
    /// caches.apply(&"worker-1".into(), vec![event]);
    /// assert!(caches.blocks("worker-1", &"report".into(), &[9, 10], &[]) > 0.9);
    /// ```
    #[must_use]
    pub fn blocks(&self, target: &str, model: &ModelId, prefixes: &[u64], sizes: &[u32]) -> f64 {
        let Some(cache) = self.targets.get(target) else {
            return 0.0;
        };
        let mut blocks = 0.0;
        for (index, prefix) in prefixes.iter().enumerate() {
            let Some(entry) = cache.entries.get(&(model.clone(), *prefix)) else {
                continue;
            };
            if entry.held {
                blocks = f64::max(blocks, length(index, sizes) * entry.trust);
            }
        }
        blocks
    }
}

/// Returns the number of blocks up to the end of a prefix.
fn length(index: usize, sizes: &[u32]) -> f64 {
    match sizes.get(index) {
        Some(tokens) => f64::from(*tokens) / BLOCK_TOKENS,
        None => f64::from(u32::try_from(index + 1).unwrap_or(u32::MAX)),
    }
}

/// Returns the target that all hosts prefer for prompts that share all but their last part, and the
/// expected number of blocks of the shared part that it holds. `None` if there is no shared part or
/// no target.
///
/// Hosts do not share which prompts they send, so without a common preference each would
/// fill the caches of all replicas with the same prefixes. The choice uses rendezvous hashing
/// (Thaler and Ravishankar 1998): hosts that know the same targets agree, and few prompts move when
/// a target is added or removed.
///
/// ```
/// use cornelhitch_entry::affinity::preferred;
/// use cornelhitch_types::id::TargetId;
///
/// let targets: [TargetId; 2] = ["worker-1".into(), "worker-2".into()];
/// let (one, _) = preferred(&targets, &[7, 8], &[]).expect("a shared part");
/// assert_eq!(preferred(&targets, &[7, 9], &[]).map(|(target, _)| target), Some(one));
/// assert_eq!(preferred(&targets, &[8], &[]), None);
/// ```
pub fn preferred<'a>(
    targets: impl IntoIterator<Item = &'a TargetId>,
    prefixes: &[u64],
    sizes: &[u32],
) -> Option<(&'a TargetId, f64)> {
    let shared = prefixes.len().checked_sub(2)?;
    let weight = |target: &&TargetId| hash(prefixes[shared], target);
    let target = targets.into_iter().max_by_key(weight)?;
    Some((target, length(shared, sizes) * PREFERRED_TRUST))
}

/// Returns the targets that all hosts prefer for prompts that share all but their last part, as
/// indices of `targets`, which come with their weights, best first, and the length of the shared part in blocks. Empty if there is
/// no shared part.
///
/// Targets are first for a share of the prompts in proportion to their weights (weighted rendezvous
/// hashing, Schindelhauer and Schomaker 2005). A host that finds the first one busy takes the next one, so that the
/// shared part is held by few targets (consistent hashing with bounded loads, Mirrokni et al. 2016).
///
/// ```
/// use cornelhitch_entry::affinity::preference_order;
/// use cornelhitch_types::id::TargetId;
///
/// let targets: [TargetId; 3] = ["worker-1".into(), "worker-2".into(), "worker-3".into()];
/// let weighted = targets.iter().map(|target| (target, 1.0));
/// let (order, blocks) = preference_order(weighted, &[7, 8], &[], 2);
/// assert_eq!((order.len(), blocks), (2, 1.0));
/// ```
pub fn preference_order<'a>(
    targets: impl IntoIterator<Item = (&'a TargetId, f64)>,
    prefixes: &[u64],
    sizes: &[u32],
    count: usize,
) -> (Vec<usize>, f64) {
    let Some(shared) = prefixes.len().checked_sub(2) else {
        return (Vec::new(), 0.0);
    };
    let mut best: Vec<(f64, usize)> = Vec::with_capacity(count + 1);
    for (index, (target, weight)) in targets.into_iter().enumerate() {
        let weight = weighted_score(hash(prefixes[shared], target), weight);
        let position = best.partition_point(|(known, _)| *known >= weight);
        if position < count {
            best.insert(position, (weight, index));
            best.truncate(count);
        }
    }
    let order = best.into_iter().map(|(_, index)| index);
    (order.collect(), length(shared, sizes))
}

/// Returns the score of a target with this weight in rendezvous hashing; the largest is the best.
fn weighted_score(hash: u64, weight: f64) -> f64 {
    // The upper 32 bits, as a number between 0 and 1, both excluded.
    let upper = u32::try_from(hash >> 32).unwrap_or(u32::MAX);
    let uniform = (f64::from(upper) + 0.5) / 4_294_967_296.0;
    -weight / uniform.ln()
}

/// Returns the hash of a target for a prefix in rendezvous hashing.
fn hash(prefix: u64, target: &TargetId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (prefix, &**target).hash(&mut hasher);
    hasher.finish()
}

impl Cache {
    /// Applies one event.
    fn apply(&mut self, event: CacheEvent) {
        if event.sequence > self.newest + 1 && self.newest > 0 {
            self.reduce_trust();
        }
        self.newest = self.newest.max(event.sequence);
        let key = (event.model, event.prefix);
        if let Some(known) = self.entries.get(&key) {
            if known.sequence >= event.sequence {
                return;
            }
            let old = (known.sequence, key.0.clone(), key.1);
            self.order.remove(&old);
        }
        let entry = Entry {
            sequence: event.sequence,
            held: event.held,
            trust: 1.0,
        };
        self.order.insert((event.sequence, key.0.clone(), key.1));
        self.entries.insert(key, entry);
        self.trim();
    }

    /// Records a prefix that the target is expected to hold soon.
    fn expect(&mut self, model: ModelId, prefix: u64) {
        let key = (model, prefix);
        if self.entries.get(&key).is_some_and(|known| known.held) {
            return;
        }
        if let Some(known) = self.entries.get(&key) {
            let old = (known.sequence, key.0.clone(), key.1);
            self.order.remove(&old);
        }
        let entry = Entry {
            sequence: self.newest,
            held: true,
            trust: EXPECTED_TRUST,
        };
        self.order.insert((self.newest, key.0.clone(), key.1));
        self.entries.insert(key, entry);
        self.trim();
    }

    /// Reduces the trust in all prefixes, because events were lost.
    fn reduce_trust(&mut self) {
        for entry in self.entries.values_mut() {
            entry.trust *= GAP_TRUST_FACTOR;
        }
    }

    /// Drops the oldest prefixes beyond the limit.
    fn trim(&mut self) {
        while self.entries.len() > MAX_PREFIXES {
            let Some((_, model, prefix)) = self.order.pop_first() else {
                return;
            };
            self.entries.remove(&(model, prefix));
        }
    }
}
