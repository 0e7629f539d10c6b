//! Claims on requests that must not be repeated.
//!
//! An entry host claims `(caller, key)` before it sends the first byte, and records the outcome
//! afterwards. Within the retention time a key is granted once: a record dropped to save space
//! leaves a tombstone, and when the tombstones are full too, new claims are refused and their
//! requests are not run.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use cornelhitch_types::id::{HostId, Incarnation, Time};
use serde::{Deserialize, Serialize, Serializer};

pub use crate::claim::{Claim, ClaimResult, Finish, Holder, Key, MAX_KEY_BYTES, Refusal};
use crate::mutation::{self, Mutation};
pub use crate::outcome::{MAX_BODY_BYTES, MAX_CONTENT_TYPE_BYTES, Outcome};
use crate::tombstones::Tombstones;

/// The size limits of the claims table; beyond them the oldest outcomes lose data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The total size of kept bodies, in bytes.
    pub bodies: usize,
    /// The number of claims with a record.
    pub records: usize,
    /// The number of claims of which only a digest is left.
    pub tombstones: usize,
}

/// The limits on every control host. They affect replies, so they must not differ within a cluster.
pub const LIMITS: Limits = Limits {
    bodies: 8 << 20,
    records: 20_000,
    tombstones: 200_000,
};

/// A claim and its outcome; `None` while in progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    digest: [u8; 32],
    holder: Holder,
    call: u64,
    outcome: Option<Outcome>,
}

/// The end of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct End {
    time: Time,
    key: Key,
}

/// All claims.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(from = "Image")]
pub struct Claims {
    records: BTreeMap<Key, Record>,
    /// Ended claims that still have a record, oldest first.
    ended: VecDeque<End>,
    /// The number of entries at the front of `ended` that have lost their body.
    bare: usize,
    tombstones: Tombstones,
    watermark: Time,
    /// Derived from `records`.
    bodies: usize,
    /// Derived from `records`.
    running: BTreeMap<Holder, BTreeSet<Key>>,
}

/// Claims as decoded from a snapshot.
#[derive(Debug, Deserialize)]
struct Image {
    records: BTreeMap<Key, Record>,
    ended: VecDeque<End>,
    bare: usize,
    tombstones: Tombstones,
    watermark: Time,
}

/// Claims as encoded into a snapshot, with the layout of [`Image`].
#[derive(Serialize)]
struct ImageRef<'a> {
    records: &'a BTreeMap<Key, Record>,
    ended: &'a VecDeque<End>,
    bare: usize,
    tombstones: &'a Tombstones,
    watermark: Time,
}

impl Serialize for Claims {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let image = ImageRef {
            records: &self.records,
            ended: &self.ended,
            bare: self.bare,
            tombstones: &self.tombstones,
            watermark: self.watermark,
        };
        image.serialize(serializer)
    }
}

impl From<Image> for Claims {
    fn from(image: Image) -> Self {
        let mut claims = Self {
            bare: image.bare.min(image.ended.len()),
            ended: image.ended,
            tombstones: image.tombstones,
            watermark: image.watermark,
            ..Self::default()
        };
        for (key, record) in &image.records {
            match &record.outcome {
                Some(outcome) => claims.bodies += outcome.body_bytes(),
                None => claims.add_running(record.holder, key),
            }
        }
        claims.records = image.records;
        claims
    }
}

impl Claims {
    /// Returns the number of claims with a record.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no claim has a record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of claims of which only a digest is left.
    #[must_use]
    pub fn tombstones(&self) -> usize {
        self.tombstones.len()
    }

    /// Returns the time before which first-sent requests are answered as forgotten.
    #[must_use]
    pub fn watermark(&self) -> Time {
        self.watermark
    }

    /// Returns the incarnations of entry hosts that hold claims in progress.
    pub fn holders(&self) -> impl Iterator<Item = Holder> {
        self.running.keys().copied()
    }

    /// Grants a key that was not claimed before, or returns its outcome.
    pub(crate) fn claim(&mut self, claim: &Claim, limits: &Limits) -> ClaimResult {
        if !claim.key.is_valid() {
            return ClaimResult::Refused(Refusal::Malformed);
        }
        if let Some(record) = self.records.get(&claim.key) {
            return record.answer(claim);
        }
        let is_expired = claim.issued.is_some_and(|issued| issued < self.watermark);
        if is_expired || self.tombstones.contains(&claim.key) {
            return ClaimResult::Forgotten;
        }
        let capacity = limits.records + limits.tombstones;
        if self.records.len() + self.tombstones.len() >= capacity {
            return ClaimResult::Refused(Refusal::Full);
        }
        let record = Record {
            digest: claim.digest,
            holder: claim.holder,
            call: claim.call,
            outcome: None,
        };
        self.records.insert(claim.key.clone(), record);
        self.add_running(claim.holder, &claim.key);
        self.enforce_limits(limits);
        ClaimResult::Granted
    }

    /// Records an outcome; the holder may replace an unknown one.
    pub(crate) fn finish(&mut self, finish: Finish, limits: &Limits, now: Time) -> ClaimResult {
        let Some(record) = self.records.get_mut(&finish.key) else {
            return ClaimResult::Refused(Refusal::Absent);
        };
        if !record.is_held(finish.holder, finish.call) {
            return ClaimResult::Refused(Refusal::Holder);
        }
        let outcome = finish.outcome.with_bounded_body();
        match &record.outcome {
            Some(Outcome::Unknown) => {
                // The claim keeps its position in `ended`, which may be among those that have lost
                // their bodies, so only the short form is kept.
                record.outcome = Some(outcome.without_body());
                return ClaimResult::Done;
            }
            Some(_) => return ClaimResult::Refused(Refusal::Ended),
            None => {}
        }
        self.bodies += outcome.body_bytes();
        record.outcome = Some(outcome);
        self.end(finish.holder, finish.key, now);
        self.enforce_limits(limits);
        ClaimResult::Done
    }

    /// Frees a claim whose request was not sent.
    ///
    /// The call number is checked too: a delayed duplicate of an earlier call's abandonment must
    /// not free a later claim of the same holder.
    pub(crate) fn abandon(&mut self, key: &Key, holder: Holder, call: u64) -> ClaimResult {
        let Some(record) = self.records.get(key) else {
            return ClaimResult::Refused(Refusal::Absent);
        };
        if !record.is_held(holder, call) {
            return ClaimResult::Refused(Refusal::Holder);
        }
        if record.outcome.is_some() {
            return ClaimResult::Refused(Refusal::Ended);
        }
        self.records.remove(key);
        self.remove_running(holder, key);
        ClaimResult::Done
    }

    /// Marks the claims held by the ended incarnations of a host as unknown.
    pub(crate) fn host_ended(
        &mut self,
        host: HostId,
        newest: Incarnation,
        limits: &Limits,
        now: Time,
    ) -> ClaimResult {
        let first = Holder {
            host,
            incarnation: 0,
        };
        let last = Holder {
            host,
            incarnation: newest,
        };
        let ended_holders: Vec<Holder> = self
            .running
            .range(first..=last)
            .map(|(it, _)| *it)
            .collect();
        for holder in ended_holders {
            for key in self.running.remove(&holder).unwrap_or_default() {
                if mutation::is(Mutation::FreedClaims) {
                    self.records.remove(&key);
                    continue;
                }
                if let Some(record) = self.records.get_mut(&key) {
                    record.outcome = Some(Outcome::Unknown);
                }
                self.ended.push_back(End { time: now, key });
            }
        }
        self.enforce_limits(limits);
        ClaimResult::Done
    }

    /// Drops records and tombstones that ended before the retention time.
    pub(crate) fn expire(&mut self, retention: Duration, now: Time) {
        let watermark = now.saturating_sub(retention);
        if watermark <= self.watermark {
            return;
        }
        self.watermark = watermark;
        while self.ended.front().is_some_and(|end| end.time < watermark) {
            self.drop_oldest();
        }
        self.tombstones.expire(watermark);
    }

    /// Enforces the limits: the oldest bodies are dropped first, then records become tombstones.
    fn enforce_limits(&mut self, limits: &Limits) {
        while self.bodies > limits.bodies && self.bare < self.ended.len() {
            let record = self.records.get_mut(&self.ended[self.bare].key);
            self.bare += 1;
            if let Some(outcome) = record.and_then(|record| record.outcome.as_mut()) {
                self.bodies -= outcome.body_bytes();
                *outcome = outcome.without_body();
            }
        }
        while self.records.len() > limits.records {
            let Some(end) = self.drop_oldest() else {
                return;
            };
            self.tombstones.insert(&end.key, end.time);
        }
    }

    /// Drops the record that ended first.
    fn drop_oldest(&mut self) -> Option<End> {
        let end = self.ended.pop_front()?;
        self.bare = self.bare.saturating_sub(1);
        let record = self.records.remove(&end.key);
        let outcome = record.and_then(|record| record.outcome);
        self.bodies -= outcome.map_or(0, |outcome| outcome.body_bytes());
        Some(end)
    }

    /// Records that a claim is no longer in progress.
    fn end(&mut self, holder: Holder, key: Key, now: Time) {
        self.remove_running(holder, &key);
        self.ended.push_back(End { time: now, key });
    }

    /// Records that a holder has a claim in progress.
    fn add_running(&mut self, holder: Holder, key: &Key) {
        self.running.entry(holder).or_default().insert(key.clone());
    }

    /// Records that a holder no longer has a claim in progress.
    fn remove_running(&mut self, holder: Holder, key: &Key) {
        if let Some(keys) = self.running.get_mut(&holder) {
            keys.remove(key);
            if keys.is_empty() {
                self.running.remove(&holder);
            }
        }
    }
}

impl Record {
    /// Returns whether `holder` claimed the key under this call number.
    fn is_held(&self, holder: Holder, call: u64) -> bool {
        self.holder == holder && self.call == call
    }

    /// Returns the answer to a resend; a repeated proposal of the same call is granted again.
    fn answer(&self, claim: &Claim) -> ClaimResult {
        if self.digest != claim.digest {
            return ClaimResult::Mismatch;
        }
        match &self.outcome {
            Some(outcome) => ClaimResult::Recorded(outcome.clone()),
            None if self.is_held(claim.holder, claim.call) => ClaimResult::Granted,
            None => ClaimResult::InProgress,
        }
    }
}

#[cfg(test)]
mod tests;
