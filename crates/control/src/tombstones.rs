//! Digests of claims whose outcome is no longer kept.

use std::collections::{BTreeSet, VecDeque};

use cornelhitch_types::id::Time;
use serde::{Deserialize, Serialize, Serializer};

use crate::claims::Key;
use crate::mutation::{self, Mutation};

/// The first half of a blake3 digest of caller and key.
type Digest = u128;

/// Digests in the order in which their claims ended.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(from = "VecDeque<Tombstone>")]
pub(crate) struct Tombstones {
    order: VecDeque<Tombstone>,
    digests: BTreeSet<Digest>,
}

/// One claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Tombstone {
    time: Time,
    digest: Digest,
}

impl Serialize for Tombstones {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.order.serialize(serializer)
    }
}

impl From<VecDeque<Tombstone>> for Tombstones {
    fn from(order: VecDeque<Tombstone>) -> Self {
        if mutation::is(Mutation::LostTombstones) {
            return Self::default();
        }
        let digests = order.iter().map(|tombstone| tombstone.digest).collect();
        Self { order, digests }
    }
}

impl Tombstones {
    /// How many there are.
    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether a claim has one.
    pub(crate) fn contains(&self, key: &Key) -> bool {
        self.digests.contains(&digest(key))
    }

    /// Adds a claim that ended at a time, not before the ones added earlier.
    pub(crate) fn insert(&mut self, key: &Key, time: Time) {
        let digest = digest(key);
        if self.digests.insert(digest) {
            self.order.push_back(Tombstone { time, digest });
        }
    }

    /// Drops those that ended before a time.
    pub(crate) fn expire(&mut self, before: Time) {
        while let Some(oldest) = self.order.front().filter(|it| it.time < before) {
            self.digests.remove(&oldest.digest);
            self.order.pop_front();
        }
    }
}

/// The digest of caller and key, each with its length before it.
fn digest(key: &Key) -> Digest {
    let mut hasher = blake3::Hasher::new();
    for part in [&key.caller, &key.key] {
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part.as_bytes());
    }
    let mut half = [0; 16];
    half.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    Digest::from_le_bytes(half)
}
