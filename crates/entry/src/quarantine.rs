//! Requests that took a target down, kept from taking down more than two.
//!
//! When a target dies, every request in progress on it is struck: one of them
//! may be the cause. A struck request runs again only on a target that is
//! reserved for this host's suspects, one suspect at a time, so that the next
//! death names its cause; at the second strike it is refused. With two deaths
//! at most, nothing but one at a time can both find the cause and serve all
//! its neighbours: see `docs/design/entry.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cornelhitch_types::id::{Incarnation, TargetId, Time};
use serde::Serialize;

/// Targets that one fingerprint may take down.
pub const LIMIT: u32 = 2;

/// Fingerprints with strikes that are remembered; the oldest go first.
const RECORDS: usize = 10_000;

/// Targets that one host reserves for suspects at once.
const RESERVED: usize = 2;

/// How long a reservation that was asked for is waited for.
const PATIENCE: Duration = Duration::from_secs(2);

/// The pause after a reservation was not granted.
const PAUSE: Duration = Duration::from_millis(500);

/// A target in one life.
pub type Life = (TargetId, Incarnation);

/// What is known of one fingerprint.
#[derive(Debug, Default, Serialize)]
struct Record {
    /// Targets that died with it in progress, seen from here.
    seen: BTreeSet<Life>,
    /// Strikes that control published.
    published: u32,
    /// One more than were known when an attempt was sent that took its target down.
    least: u32,
    /// When the last strike came.
    at: Time,
}

/// The state of a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
enum Slot {
    /// Control was asked.
    Asked {
        /// When to stop waiting.
        until: Time,
    },
    /// This host has it.
    Held {
        /// Suspects in progress there.
        running: u32,
    },
    /// Another host has it.
    Denied {
        /// When to ask again.
        until: Time,
    },
}

/// Strikes and reservations.
#[derive(Debug, Default, Serialize)]
pub struct Quarantine {
    /// By fingerprint.
    records: BTreeMap<u64, Record>,
    /// Reservations.
    slots: BTreeMap<Life, Slot>,
}

impl Quarantine {
    /// Strikes of a fingerprint.
    #[must_use]
    pub fn strikes(&self, fingerprint: u64) -> u32 {
        let record = self.records.get(&fingerprint);
        record.map_or(0, |record| {
            let seen = u32::try_from(record.seen.len()).unwrap_or(u32::MAX);
            seen.max(record.published).max(record.least)
        })
    }

    /// Counts a target that died; the same life of a target counts once.
    ///
    /// `known` strikes had been counted when the attempt was sent: they were other targets, since
    /// this one lived then, whether or not control names them.
    pub fn strike(&mut self, fingerprint: u64, life: Life, known: u32, now: Time) {
        let record = self.records.entry(fingerprint).or_default();
        record.seen.insert(life);
        record.least = record.least.max(known + 1);
        record.at = now;
        self.bound();
    }

    /// Forgets the oldest strikes beyond the limit.
    fn bound(&mut self) {
        while self.records.len() > RECORDS {
            let oldest = self.records.iter().min_by_key(|(_, record)| record.at);
            let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.records.remove(&fingerprint);
        }
    }

    /// Takes what control published; 0 is an operator's release.
    pub fn publish(&mut self, fingerprint: u64, strikes: u32, now: Time) {
        if strikes == 0 {
            self.records.remove(&fingerprint);
            return;
        }
        let record = self.records.entry(fingerprint).or_default();
        record.published = strikes;
        record.at = now;
        self.bound();
    }

    /// Forgets what control published, before the whole of it comes again.
    pub fn unpublish(&mut self) {
        for record in self.records.values_mut() {
            record.published = 0;
        }
        self.records.retain(|_, record| !record.seen.is_empty());
    }

    /// Whether a target is reserved for this host.
    #[must_use]
    pub fn holds(&self) -> bool {
        let mut slots = self.slots.values();
        slots.any(|slot| matches!(slot, Slot::Held { .. }))
    }

    /// Every fingerprint with its strikes.
    #[must_use]
    pub fn list(&self) -> Vec<crate::dump::Strike> {
        let fingerprints = self.records.keys().copied();
        let rows = fingerprints.map(|fingerprint| crate::dump::Strike {
            fingerprint,
            strikes: self.strikes(fingerprint),
        });
        rows.collect()
    }

    /// How long a fingerprint is still refused.
    #[must_use]
    pub fn left(&self, fingerprint: u64, kept: Duration, now: Time) -> Duration {
        let record = self.records.get(&fingerprint);
        record.map_or(Duration::ZERO, |record| {
            (record.at + kept).saturating_sub(now)
        })
    }

    /// Forgets strikes whose time is over.
    pub fn expire(&mut self, kept: Duration, now: Time) {
        self.records.retain(|_, record| record.at + kept > now);
    }

    /// The targets on which a suspect may be started now.
    #[must_use]
    pub fn free(&self, width: u32) -> Vec<Life> {
        let free = self
            .slots
            .iter()
            .filter(|(_, slot)| matches!(slot, Slot::Held { running } if *running < width));
        free.map(|(life, _)| life.clone()).collect()
    }

    /// The target to ask control for, out of those that could run a waiting suspect.
    pub fn ask(&mut self, targets: &[Life], now: Time) -> Option<Life> {
        self.lapse(now);
        let denied = |slot: &&Slot| matches!(slot, Slot::Denied { .. });
        let denied = self.slots.values().filter(denied).count();
        if self.slots.len() - denied >= RESERVED {
            return None;
        }
        let next = targets.iter().find(|life| !self.slots.contains_key(life))?;
        let until = now + PATIENCE;
        self.slots.insert(next.clone(), Slot::Asked { until });
        Some(next.clone())
    }

    /// Forgets reservations that were asked for or denied too long ago.
    pub fn lapse(&mut self, now: Time) {
        self.slots.retain(|_, slot| match slot {
            Slot::Asked { until } | Slot::Denied { until } => *until > now,
            Slot::Held { .. } => true,
        });
    }

    /// Takes control's answer; returns whether the reservation is of use.
    pub fn reserved(&mut self, life: &Life, granted: bool, now: Time) -> bool {
        let asked = match self.slots.get(life) {
            Some(Slot::Held { .. }) => return true,
            Some(Slot::Asked { .. }) => true,
            _ => false,
        };
        if asked {
            let slot = if granted {
                Slot::Held { running: 0 }
            } else {
                Slot::Denied { until: now + PAUSE }
            };
            self.slots.insert(life.clone(), slot);
        }
        asked
    }

    /// Counts a suspect that was sent; returns whether the target is reserved for it.
    pub fn start(&mut self, life: &Life) -> bool {
        let Some(Slot::Held { running }) = self.slots.get_mut(life) else {
            return false;
        };
        *running += 1;
        true
    }

    /// Counts a suspect that ended.
    pub fn end(&mut self, life: &Life) {
        if let Some(Slot::Held { running }) = self.slots.get_mut(life) {
            *running = running.saturating_sub(1);
        }
    }

    /// Takes out the reservations on which nothing runs and that are not `kept`.
    pub fn release(&mut self, kept: impl Fn(&Life) -> bool) -> Vec<Life> {
        let idle = |slot: &Slot| matches!(slot, Slot::Held { running: 0 });
        let slots = self.slots.iter();
        let slots = slots.filter(|(life, slot)| idle(slot) && !kept(life));
        let lives: Vec<Life> = slots.map(|(life, _)| life.clone()).collect();
        for life in &lives {
            self.slots.remove(life);
        }
        lives
    }

    /// When a reservation may be asked for again.
    #[must_use]
    pub fn next(&self) -> Option<Time> {
        let times = self.slots.values().filter_map(|slot| match slot {
            Slot::Asked { until } | Slot::Denied { until } => Some(*until),
            Slot::Held { .. } => None,
        });
        times.min()
    }
}
