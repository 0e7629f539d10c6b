//! Requests that were in progress when targets were lost.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cornelhitch_types::id::{Incarnation, TargetId, Time};
use serde::{Deserialize, Serialize};

/// The maximum number of fingerprints that are remembered.
pub const MAX_FINGERPRINTS: usize = 10_000;

/// The maximum number of lost incarnations that are remembered, over all fingerprints; as many as
/// the largest limit that an entry host's settings may name.
pub const MAX_LOST_INCARNATIONS: usize = 100_000;

/// A target that was lost with requests in progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Strike {
    /// The requests' fingerprints: digests of model and body.
    pub fingerprints: Vec<u64>,
    /// The target that was lost.
    pub target: TargetId,
    /// Its incarnation that ended.
    pub incarnation: Incarnation,
}

/// The result of a strike or of clearing strikes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The counts of every fingerprint in the command.
    pub counts: Vec<Count>,
}

/// The strikes of a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// The fingerprint counted.
    pub fingerprint: u64,
    /// The number of target incarnations that ended with it in progress.
    pub lost: u32,
    /// Always `None`: each entry host refuses it by the limit of its own settings.
    pub until: Option<Time>,
    /// When its strikes expire.
    pub forgotten: Time,
}

/// The stored strikes of one fingerprint.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Suspect {
    lost: BTreeSet<TargetIncarnation>,
    last: Time,
    /// Always `None`; part of the stored format.
    until: Option<Time>,
    forgotten: Time,
}

/// One incarnation of a target.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct TargetIncarnation {
    pub(crate) target: TargetId,
    pub(crate) incarnation: Incarnation,
}

/// All fingerprints with strikes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Strikes {
    suspects: BTreeMap<u64, Suspect>,
}

impl Strikes {
    /// Returns the strikes of a fingerprint.
    #[must_use]
    pub fn count(&self, fingerprint: u64) -> Count {
        let suspect = self.suspects.get(&fingerprint);
        let lost = suspect.map_or(0, |suspect| suspect.lost.len());
        Count {
            fingerprint,
            lost: u32::try_from(lost).unwrap_or(u32::MAX),
            until: None,
            forgotten: suspect.map_or(Time::ZERO, |suspect| suspect.forgotten),
        }
    }

    /// Returns all fingerprints with strikes.
    pub fn iter(&self) -> impl Iterator<Item = Count> {
        self.suspects
            .keys()
            .map(|fingerprint| self.count(*fingerprint))
    }

    /// Records a strike, which expires `quarantine` after the last one.
    ///
    /// Every lost incarnation is counted, because only entry hosts know at how many they refuse.
    pub(crate) fn strike(&mut self, strike: Strike, quarantine: Duration, now: Time) -> Answer {
        let incarnation = TargetIncarnation {
            target: strike.target,
            incarnation: strike.incarnation,
        };
        for fingerprint in &strike.fingerprints {
            let suspect = self.suspects.entry(*fingerprint).or_default();
            suspect.lost.insert(incarnation.clone());
            suspect.last = now;
            suspect.forgotten = now.saturating_add(quarantine);
        }
        self.enforce_limit();
        self.answer(strike.fingerprints)
    }

    /// Takes back the strikes for a target that has certainly run until a given time, and returns
    /// the counts that changed. Fingerprints with a later strike keep theirs until that one is
    /// disproved too: which target it names is not stored.
    pub(crate) fn survived(&mut self, survivor: &TargetIncarnation, until: Time) -> Answer {
        let mut fingerprints = Vec::new();
        for (fingerprint, suspect) in &mut self.suspects {
            if suspect.last <= until && suspect.lost.remove(survivor) {
                fingerprints.push(*fingerprint);
            }
        }
        self.suspects.retain(|_, suspect| !suspect.lost.is_empty());
        self.answer(fingerprints)
    }

    /// Whether strikes name an incarnation.
    pub(crate) fn names(&self, target: &TargetIncarnation) -> bool {
        let mut suspects = self.suspects.values();
        suspects.any(|suspect| suspect.lost.contains(target))
    }

    /// Returns the incarnations named in strikes.
    pub(crate) fn incarnations(&self) -> impl Iterator<Item = &TargetIncarnation> {
        self.suspects
            .values()
            .flat_map(|suspect| suspect.lost.iter())
    }

    /// Clears a fingerprint's strikes.
    pub(crate) fn clear(&mut self, fingerprint: u64) -> Answer {
        self.suspects.remove(&fingerprint);
        self.answer(vec![fingerprint])
    }

    /// Drops strikes that have expired.
    pub(crate) fn expire(&mut self, now: Time) {
        self.suspects.retain(|_, suspect| now < suspect.forgotten);
    }

    /// Returns the strikes of some fingerprints.
    fn answer(&self, fingerprints: Vec<u64>) -> Answer {
        let counts = fingerprints.into_iter().map(|it| self.count(it));
        Answer {
            counts: counts.collect(),
        }
    }

    /// Drops fingerprints above the limits: those with the fewest strikes first, then the oldest.
    fn enforce_limit(&mut self) {
        let lost = self.suspects.values().map(|suspect| suspect.lost.len());
        let mut lost: usize = lost.sum();
        while self.suspects.len() > MAX_FINGERPRINTS || lost > MAX_LOST_INCARNATIONS {
            let least = self
                .suspects
                .iter()
                .min_by_key(|(_, suspect)| (suspect.lost.len(), suspect.last));
            let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            let dropped = self.suspects.remove(&fingerprint);
            lost -= dropped.map_or(0, |suspect| suspect.lost.len());
        }
    }
}
