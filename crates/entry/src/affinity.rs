//! Which target holds which prompt prefixes, from cache events that come late and with gaps.
//!
//! An event is a hint: a wrong one costs a prefill and nothing else. A gap in a
//! target's sequence makes what is known of it half as believable, since some
//! of it may be gone; a late event never overwrites a newer one of the same
//! prefix.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

use cornelhitch_types::id::{ModelId, TargetId};
use cornelhitch_types::target::CacheEvent;
use serde::Serialize;

/// Prefixes kept per target; the oldest go first.
const LIMIT: usize = 4_096;

/// The trust in a prompt that was only sent there.
const EXPECTED: f64 = 0.7;

/// The trust in the shared part of a prompt at the target that all hosts prefer for it: more than in
/// what this host sent elsewhere, so that all hosts end up at the same target.
const PREFERRED: f64 = 0.8;

/// What is left of the trust in old events after a gap.
const AFTER_GAP: f64 = 0.5;

/// Tokens of one block, where the sizes of prefixes are known.
const BLOCK_TOKENS: f64 = 177.0;

/// What is known of one prefix.
#[derive(Debug, Clone, Copy, Serialize)]
struct Entry {
    /// The event that told it.
    sequence: u64,
    /// Whether the prefix is held.
    held: bool,
    /// How far it is believed, up to 1.
    trust: f64,
}

/// What one target holds.
#[derive(Debug, Default, Serialize)]
struct Cache {
    /// The newest sequence number.
    newest: u64,
    /// By model and prefix.
    entries: HashMap<(ModelId, u64), Entry>,
    /// In the order of the events, to drop the oldest.
    order: BTreeSet<(u64, ModelId, u64)>,
}

/// What all targets hold.
#[derive(Debug, Default, Serialize)]
pub struct Caches {
    /// By target.
    targets: BTreeMap<TargetId, Cache>,
}

impl Caches {
    /// Takes events of a target, in any order.
    pub fn take(&mut self, target: &TargetId, events: Vec<CacheEvent>) {
        let cache = self.targets.entry(target.clone()).or_default();
        for event in events {
            cache.take(event);
        }
    }

    /// Notes a prompt that was sent to a target: it will hold most of it soon, and its event comes
    /// only later. Of the prefixes every other length twice as long is noted, and the longest.
    pub fn sent(&mut self, target: &TargetId, model: &ModelId, prefixes: &[u64]) {
        let noted = prefixes.iter().enumerate().filter(|(index, _)| {
            let length = index + 1;
            length.is_power_of_two() || length == prefixes.len()
        });
        let cache = self.targets.entry(target.clone()).or_default();
        for (_, prefix) in noted {
            cache.expect(model.clone(), *prefix);
        }
    }

    /// Forgets a target, when it is gone or has a new life.
    pub fn forget(&mut self, target: &str) {
        self.targets.remove(target);
    }

    /// How many blocks of a prompt a target is believed to hold, as a mean; `sizes` are the tokens
    /// up to the end of each prefix, where they are known.
    ///
    /// ```
    /// use cornelhitch_entry::affinity::Caches;
    /// use cornelhitch_types::target::CacheEvent;
    ///
    /// let mut caches = Caches::default();
    /// let event = CacheEvent { sequence: 1, model: "report".into(), prefix: 9, held: true };
    /// caches.take(&"worker-1".into(), vec![event]);
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

/// The blocks up to the end of a prefix.
fn length(index: usize, sizes: &[u32]) -> f64 {
    match sizes.get(index) {
        Some(tokens) => f64::from(*tokens) / BLOCK_TOKENS,
        None => f64::from(u32::try_from(index + 1).unwrap_or(u32::MAX)),
    }
}

/// Which target all hosts prefer for the prompts that share all but their last part, and how many
/// blocks of them it is believed to hold.
///
/// Hosts tell each other nothing of the prompts that they send, so that each would fill the caches
/// of all replicas with the same parts. The choice is by rendezvous hashing (Thaler and Ravishankar
/// 1998): hosts that know the same targets agree, and few prompts move when a target comes or goes.
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
    let weight = |target: &&TargetId| {
        let mut hasher = DefaultHasher::new();
        (prefixes[shared], &***target).hash(&mut hasher);
        hasher.finish()
    };
    let target = targets.into_iter().max_by_key(weight)?;
    Some((target, length(shared, sizes) * PREFERRED))
}

impl Cache {
    /// Takes one event.
    fn take(&mut self, event: CacheEvent) {
        if event.sequence > self.newest + 1 && self.newest > 0 {
            self.doubt();
        }
        self.newest = self.newest.max(event.sequence);
        let at = (event.model, event.prefix);
        if let Some(known) = self.entries.get(&at) {
            if known.sequence >= event.sequence {
                return;
            }
            let old = (known.sequence, at.0.clone(), at.1);
            self.order.remove(&old);
        }
        let entry = Entry {
            sequence: event.sequence,
            held: event.held,
            trust: 1.0,
        };
        self.order.insert((event.sequence, at.0.clone(), at.1));
        self.entries.insert(at, entry);
        self.trim();
    }

    /// Notes a prefix that is expected to be held soon.
    fn expect(&mut self, model: ModelId, prefix: u64) {
        let at = (model, prefix);
        if self.entries.get(&at).is_some_and(|known| known.held) {
            return;
        }
        if let Some(known) = self.entries.get(&at) {
            let old = (known.sequence, at.0.clone(), at.1);
            self.order.remove(&old);
        }
        let entry = Entry {
            sequence: self.newest,
            held: true,
            trust: EXPECTED,
        };
        self.order.insert((self.newest, at.0.clone(), at.1));
        self.entries.insert(at, entry);
        self.trim();
    }

    /// Believes less of what is known: events were lost.
    fn doubt(&mut self) {
        for entry in self.entries.values_mut() {
            entry.trust *= AFTER_GAP;
        }
    }

    /// Drops the oldest beyond the limit.
    fn trim(&mut self) {
        while self.entries.len() > LIMIT {
            let Some((_, model, prefix)) = self.order.pop_first() else {
                return;
            };
            self.entries.remove(&(model, prefix));
        }
    }
}
