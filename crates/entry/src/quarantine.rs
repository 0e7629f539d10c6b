//! Limits the number of targets that a request can crash.
//!
//! When a target dies, every request in flight on it gets a strike, since any of them may be the
//! cause. A request with a strike (a suspect) runs only on a target that is reserved for this
//! host's suspects, one at a time, so that the next crash identifies its cause. It is refused at
//! the number of strikes in the host's settings, by default two; control counts for all hosts. With
//! at most two crashes, only running suspects one at a time can both find the cause and serve all
//! other requests.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cornelhitch_types::id::{Incarnation, TargetId, Time};
use serde::Serialize;

/// Maximum number of fingerprints with strikes that are kept; the oldest are dropped first.
const MAX_RECORDS: usize = 10_000;

/// Maximum number of targets that one host reserves for suspects at the same time.
const MAX_RESERVATIONS: usize = 2;

/// How long to wait for the answer to a reservation.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(2);

/// How long to wait before requesting a reservation again after it was denied or released.
const RESERVATION_BACKOFF: Duration = Duration::from_millis(500);

/// How long a strike may take to be committed; its owner gives up then.
pub const COMMIT_TIMEOUT: Duration = Duration::from_mins(1);

/// A target with its incarnation.
pub type TargetInstance = (TargetId, Incarnation);

/// The strikes of one fingerprint.
#[derive(Debug, Default, Serialize)]
struct Record {
    /// Targets that died, as observed by this host, while the fingerprint was in flight on them.
    seen: BTreeSet<TargetInstance>,
    /// Number of strikes that control published.
    published: u32,
    /// Lower bound: one more than the strikes known when the attempt was sent that took its target
    /// down.
    least: u32,
    /// Time of the last strike.
    at: Time,
}

/// The state of a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
enum Reservation {
    /// Requested from control and not answered yet.
    Asked {
        /// When to stop waiting for an answer.
        until: Time,
    },
    /// This host holds it.
    Held {
        /// Number of suspects in flight on the target.
        running: u32,
    },
    /// Denied by control, or released by this host.
    Denied {
        /// When it may be requested again.
        until: Time,
    },
}

/// Strikes by fingerprint, and reservations of targets for suspects.
#[derive(Debug, Default, Serialize)]
pub struct Quarantine {
    records: BTreeMap<u64, Record>,
    /// Reservations by target.
    slots: BTreeMap<TargetInstance, Reservation>,
}

impl Quarantine {
    /// Returns the number of strikes of a fingerprint.
    #[must_use]
    pub fn strikes(&self, fingerprint: u64) -> u32 {
        let record = self.records.get(&fingerprint);
        record.map_or(0, |record| {
            let seen = u32::try_from(record.seen.len()).unwrap_or(u32::MAX);
            seen.max(record.published).max(record.least)
        })
    }

    /// Adds a strike for a target that died. The same incarnation of a target counts once.
    ///
    /// `known` is the number of strikes counted when the attempt was sent. Those were for other
    /// targets, since this one was alive then, even if control does not name them.
    pub fn strike(&mut self, fingerprint: u64, instance: TargetInstance, known: u32, now: Time) {
        let record = self.records.entry(fingerprint).or_default();
        record.seen.insert(instance);
        record.least = record.least.max(known + 1);
        record.at = now;
        self.drop_oldest();
    }

    /// Drops the oldest strikes beyond the limit.
    fn drop_oldest(&mut self) {
        while self.records.len() > MAX_RECORDS {
            let oldest = self.records.iter().min_by_key(|(_, record)| record.at);
            let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.records.remove(&fingerprint);
        }
    }

    /// Drops the strikes of a fingerprint.
    pub fn forget(&mut self, fingerprint: u64) {
        self.records.remove(&fingerprint);
    }

    /// Applies the number of strikes that control published; 0 means that they are cleared.
    ///
    /// A lower number than before replaces what this host observed: control knows which of the
    /// targets run on.
    pub fn set_published(&mut self, fingerprint: u64, strikes: u32, now: Time) {
        if strikes == 0 {
            self.forget(fingerprint);
            return;
        }
        let record = self.records.entry(fingerprint).or_default();
        if strikes < record.published {
            record.seen.clear();
            record.least = 0;
        }
        record.published = strikes;
        record.at = now;
        self.drop_oldest();
    }

    /// Clears what control published, before a complete view is applied. Of what this host observed
    /// itself, only strikes that may not be committed yet are kept.
    pub fn clear_published(&mut self, now: Time) {
        for record in self.records.values_mut() {
            record.published = 0;
        }
        self.records
            .retain(|_, record| !record.seen.is_empty() && now < record.at + COMMIT_TIMEOUT);
    }

    /// Whether any target is reserved for this host.
    #[must_use]
    pub fn has_reservations(&self) -> bool {
        let mut slots = self.slots.values();
        slots.any(|reservation| matches!(reservation, Reservation::Held { .. }))
    }

    /// Returns all fingerprints with their strikes.
    #[must_use]
    pub fn list(&self) -> Vec<crate::dump::Strike> {
        let fingerprints = self.records.keys().copied();
        let rows = fingerprints.map(|fingerprint| crate::dump::Strike {
            fingerprint,
            strikes: self.strikes(fingerprint),
        });
        rows.collect()
    }

    /// Returns how much longer a fingerprint is refused, if strikes are kept for `kept`.
    #[must_use]
    pub fn time_left(&self, fingerprint: u64, kept: Duration, now: Time) -> Duration {
        let record = self.records.get(&fingerprint);
        record.map_or(Duration::ZERO, |record| {
            (record.at + kept).saturating_sub(now)
        })
    }

    /// Drops strikes that are older than `kept`.
    pub fn expire(&mut self, kept: Duration, now: Time) {
        self.records.retain(|_, record| record.at + kept > now);
    }

    /// Returns the reserved targets with fewer than `width` suspects in flight.
    #[must_use]
    pub fn available(&self, width: u32) -> Vec<TargetInstance> {
        let free = self
            .slots
            .iter()
            .filter(|(_, held)| matches!(held, Reservation::Held { running } if *running < width));
        free.map(|(instance, _)| instance.clone()).collect()
    }

    /// Picks the next target to request a reservation for, out of those that can run a waiting
    /// suspect. Returns `None` if all are already reserved or denied, or this host has its maximum
    /// of reservations.
    pub fn next_to_reserve(
        &mut self,
        targets: &[TargetInstance],
        now: Time,
    ) -> Option<TargetInstance> {
        self.expire_reservations(now);
        let denied = |reservation: &&Reservation| matches!(reservation, Reservation::Denied { .. });
        let denied = self.slots.values().filter(denied).count();
        if self.slots.len() - denied >= MAX_RESERVATIONS {
            return None;
        }
        let next = targets
            .iter()
            .find(|instance| !self.slots.contains_key(instance))?;
        let until = now + RESERVATION_TIMEOUT;
        self.slots
            .insert(next.clone(), Reservation::Asked { until });
        Some(next.clone())
    }

    /// Drops unanswered and denied reservations whose time is up.
    pub fn expire_reservations(&mut self, now: Time) {
        self.slots.retain(|_, reservation| match reservation {
            Reservation::Asked { until } | Reservation::Denied { until } => *until > now,
            Reservation::Held { .. } => true,
        });
    }

    /// Applies control's answer. Returns whether the reservation was still wanted.
    pub fn on_reservation(&mut self, instance: &TargetInstance, granted: bool, now: Time) -> bool {
        let requested = match self.slots.get(instance) {
            Some(Reservation::Held { .. }) => return true,
            Some(Reservation::Asked { .. }) => true,
            _ => false,
        };
        if requested {
            let reservation = if granted {
                Reservation::Held { running: 0 }
            } else {
                Reservation::Denied {
                    until: now + RESERVATION_BACKOFF,
                }
            };
            self.slots.insert(instance.clone(), reservation);
        }
        requested
    }

    /// Counts a suspect that was sent. Returns whether the target is reserved for it.
    pub fn start_suspect(&mut self, instance: &TargetInstance) -> bool {
        let Some(Reservation::Held { running }) = self.slots.get_mut(instance) else {
            return false;
        };
        *running += 1;
        true
    }

    /// Counts a suspect whose attempt ended.
    pub fn end_suspect(&mut self, instance: &TargetInstance) {
        if let Some(Reservation::Held { running }) = self.slots.get_mut(instance) {
            *running = running.saturating_sub(1);
        }
    }

    /// Releases the reservations that are idle and not `kept`, and returns their targets.
    ///
    /// They are not requested again at once: a new reservation request that overtook the release
    /// would be granted and then undone by it.
    pub fn release_idle(
        &mut self,
        kept: impl Fn(&TargetInstance) -> bool,
        now: Time,
    ) -> Vec<TargetInstance> {
        let idle =
            |reservation: &Reservation| matches!(reservation, Reservation::Held { running: 0 });
        let slots = self.slots.iter();
        let slots = slots.filter(|(instance, reservation)| idle(reservation) && !kept(instance));
        let instances: Vec<TargetInstance> = slots.map(|(instance, _)| instance.clone()).collect();
        for instance in &instances {
            let until = now + RESERVATION_BACKOFF;
            self.slots
                .insert(instance.clone(), Reservation::Denied { until });
        }
        instances
    }

    /// Returns when the next unanswered or denied reservation expires.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Time> {
        let times = self
            .slots
            .values()
            .filter_map(|reservation| match reservation {
                Reservation::Asked { until } | Reservation::Denied { until } => Some(*until),
                Reservation::Held { .. } => None,
            });
        times.min()
    }
}
