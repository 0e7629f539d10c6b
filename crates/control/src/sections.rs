//! Prompt sections that were in progress when targets were lost.
//!
//! One section of a prompt may end each target that begins to answer it. Control keeps, for each
//! section, the lost incarnations since requests with it were last answered completely; entry hosts
//! decide by these sets which requests to refuse.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cornelhitch_types::id::{Incarnation, TargetId, Time};
use cornelhitch_types::view::SectionCrash;
use serde::{Deserialize, Serialize};

use crate::strikes::TargetIncarnation;

/// The maximum number of sections that are remembered.
pub const MAX_SECTIONS: usize = 1_000;

/// The maximum number of crashes that are remembered for one section; the oldest are dropped first.
pub const MAX_CRASHES: usize = 8;

/// The number of requests in progress on a lost target from which on no more are counted.
const MAX_REQUESTS: usize = 32;

/// The maximum number of other sections that are remembered for one crash.
const MAX_PARTNERS: usize = 16;

/// A target that was lost with prompt sections in progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Strike {
    /// The fingerprint of the request.
    pub fingerprint: u64,
    /// The shared sections of its prompt.
    pub sections: Vec<u64>,
    /// The target that was lost.
    pub target: TargetId,
    /// Its incarnation that ended.
    pub incarnation: Incarnation,
    /// The sections that the request was sent to try.
    pub tried: Vec<u64>,
}

/// A complete answer to a request, which clears the earlier crashes of its sections.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acquittal {
    /// The shared sections of the request's prompt.
    pub sections: Vec<u64>,
    /// Index of the newest log entry whose crashes the host knew when it sent the request; later
    /// ones stay.
    pub known: u64,
}

/// The sections whose crashes changed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The sections, each once.
    pub sections: Vec<u64>,
}

/// A lost incarnation, as recorded for one section.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Crash {
    lost: TargetIncarnation,
    /// Index of the log entry that recorded it.
    index: u64,
    /// Time of the log entry.
    at: Time,
    /// Digests of the requests with the section that were in progress.
    requests: BTreeSet<u32>,
    /// The other sections of these requests.
    with: BTreeSet<u64>,
    /// Whether it ended under a trial of the section.
    trial: bool,
}

/// The crashes of one section.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Suspect {
    /// Each incarnation once, the oldest first.
    crashes: Vec<Crash>,
    /// When the crashes expire.
    forgotten: Time,
}

impl Suspect {
    /// Returns when the last crash was recorded.
    fn last(&self) -> Time {
        let last = self.crashes.last();
        last.map_or(Time::ZERO, |crash| crash.at)
    }

    /// Whether crashes name an incarnation.
    fn names(&self, target: &TargetIncarnation) -> bool {
        self.crashes.iter().any(|crash| crash.lost == *target)
    }

    /// Returns the crash of an incarnation; adds it if it is not recorded yet.
    fn crash(&mut self, lost: &TargetIncarnation, index: u64, now: Time) -> Option<&mut Crash> {
        if !self.names(lost) {
            if self.crashes.len() >= MAX_CRASHES {
                self.crashes.remove(0);
            }
            self.crashes.push(Crash {
                lost: lost.clone(),
                index,
                at: now,
                requests: BTreeSet::new(),
                with: BTreeSet::new(),
                trial: false,
            });
        }
        self.crashes.iter_mut().find(|crash| crash.lost == *lost)
    }
}

impl Crash {
    /// Adds a request that was in progress with this section.
    fn add_request(&mut self, section: u64, strike: &Strike) {
        if self.requests.len() < MAX_REQUESTS {
            self.requests.insert(shortened(strike.fingerprint));
        }
        let others = strike.sections.iter().filter(|other| **other != section);
        for other in others {
            if self.with.len() < MAX_PARTNERS {
                self.with.insert(*other);
            }
        }
        self.trial |= strike.tried.contains(&section);
    }
}

/// Returns the lower half of a fingerprint.
fn shortened(fingerprint: u64) -> u32 {
    u32::try_from(fingerprint & u64::from(u32::MAX)).unwrap_or(u32::MAX)
}

/// All sections with crashes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionStrikes {
    suspects: BTreeMap<u64, Suspect>,
}

impl SectionStrikes {
    /// Returns the crashes of a section that have not expired.
    #[must_use]
    pub fn crashes(&self, section: u64, now: Time) -> Vec<SectionCrash> {
        let suspect = self.suspects.get(&section);
        let Some(suspect) = suspect.filter(|suspect| now < suspect.forgotten) else {
            return Vec::new();
        };
        let crashes = suspect.crashes.iter();
        let crashes = crashes.map(|crash| SectionCrash {
            target: crash.lost.target.clone(),
            incarnation: crash.lost.incarnation,
            index: crash.index,
            requests: u32::try_from(crash.requests.len()).unwrap_or(u32::MAX),
            with: crash.with.iter().copied().collect(),
            trial: crash.trial,
        });
        crashes.collect()
    }

    /// Returns all sections with crashes, and when these expire.
    pub fn iter(&self) -> impl Iterator<Item = (u64, Time)> {
        let suspects = self.suspects.iter();
        suspects.map(|(section, suspect)| (*section, suspect.forgotten))
    }

    /// Returns when the crashes of a section expire; `None` if it has none.
    #[must_use]
    pub fn forgotten(&self, section: u64) -> Option<Time> {
        Some(self.suspects.get(&section)?.forgotten)
    }

    /// Records a crash for each section of a request, which expires `quarantine` after the last one.
    pub(crate) fn strike(
        &mut self,
        strike: Strike,
        quarantine: Duration,
        index: u64,
        now: Time,
    ) -> Answer {
        let lost = TargetIncarnation {
            target: strike.target.clone(),
            incarnation: strike.incarnation,
        };
        for section in &strike.sections {
            let suspect = self.suspects.entry(*section).or_default();
            suspect.forgotten = now.saturating_add(quarantine);
            if let Some(crash) = suspect.crash(&lost, index, now) {
                crash.add_request(*section, &strike);
            }
        }
        let dropped = self.enforce_limit();
        let sections = [strike.sections, dropped].concat();
        Answer { sections }
    }

    /// Clears the crashes that a complete answer disproves.
    pub(crate) fn acquit(&mut self, acquittal: &Acquittal) -> Answer {
        let known = acquittal.known;
        let cleared = |crash: &Crash| crash.index <= known;
        let sections = acquittal.sections.iter().copied();
        let sections = sections.filter(|section| self.remove(*section, cleared));
        let sections = sections.collect::<Vec<_>>();
        Answer { sections }
    }

    /// Takes back the crashes of a target that has certainly run until a given time.
    pub(crate) fn survived(&mut self, survivor: &TargetIncarnation, until: Time) -> Answer {
        let disproved = |crash: &Crash| crash.lost == *survivor && crash.at <= until;
        let sections: Vec<u64> = self.suspects.keys().copied().collect();
        let sections = sections.into_iter();
        let sections = sections.filter(|section| self.remove(*section, disproved));
        let sections = sections.collect();
        Answer { sections }
    }

    /// Removes the matching crashes of a section; returns whether there were any.
    fn remove(&mut self, section: u64, matches: impl Fn(&Crash) -> bool) -> bool {
        let Some(suspect) = self.suspects.get_mut(&section) else {
            return false;
        };
        let before = suspect.crashes.len();
        suspect.crashes.retain(|crash| !matches(crash));
        let left = suspect.crashes.len();
        if left == 0 {
            self.suspects.remove(&section);
        }
        left < before
    }

    /// Whether crashes name an incarnation.
    pub(crate) fn names(&self, target: &TargetIncarnation) -> bool {
        let mut suspects = self.suspects.values();
        suspects.any(|suspect| suspect.names(target))
    }

    /// Returns the incarnations named in crashes.
    pub(crate) fn incarnations(&self) -> impl Iterator<Item = &TargetIncarnation> {
        let crashes = self.suspects.values().flat_map(|suspect| &suspect.crashes);
        crashes.map(|crash| &crash.lost)
    }

    /// Drops crashes that have expired.
    pub(crate) fn expire(&mut self, now: Time) {
        self.suspects.retain(|_, suspect| now < suspect.forgotten);
    }

    /// Drops sections above the limit, those with the fewest crashes first, then the oldest;
    /// returns them.
    fn enforce_limit(&mut self) -> Vec<u64> {
        let mut dropped = Vec::new();
        while self.suspects.len() > MAX_SECTIONS {
            let least = self
                .suspects
                .iter()
                .min_by_key(|(_, suspect)| (suspect.crashes.len(), suspect.last()));
            let Some(section) = least.map(|(section, _)| *section) else {
                break;
            };
            self.suspects.remove(&section);
            dropped.push(section);
        }
        dropped
    }
}
