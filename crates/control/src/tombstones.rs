//! Digests of claims whose outcome is no longer kept.

use std::collections::{BTreeSet, VecDeque};

use cornelhitch_types::id::Time;
use serde::{Deserialize, Serialize, Serializer};

use crate::claims::Key;
use crate::mutation::{self, Mutation};

/// The first 16 bytes of the BLAKE3 digest of caller and key.
type Digest = u128;

/// Digests in the order in which their claims ended.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(from = "VecDeque<Tombstone>")]
pub(crate) struct Tombstones {
    order: VecDeque<Tombstone>,
    digests: BTreeSet<Digest>,
}

/// The digest of one claim, with the time at which it ended.
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
    /// Returns the number of tombstones.
    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }

    /// Returns whether a claim has a tombstone.
    pub(crate) fn contains(&self, key: &Key) -> bool {
        self.digests.contains(&digest(key))
    }

    /// Adds a claim that ended at `time`, which must not be before that of earlier ones.
    pub(crate) fn insert(&mut self, key: &Key, time: Time) {
        let digest = digest(key);
        if self.digests.insert(digest) {
            self.order.push_back(Tombstone { time, digest });
        }
    }

    /// Drops the tombstones of claims that ended before a time.
    pub(crate) fn expire(&mut self, before: Time) {
        while let Some(oldest) = self.order.front().filter(|it| it.time < before) {
            self.digests.remove(&oldest.digest);
            self.order.pop_front();
        }
    }
}

/// Returns the digest of caller and key, each prefixed with its length.
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
