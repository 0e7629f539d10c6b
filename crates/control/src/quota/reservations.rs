//! Refused requests that were told when to come back, whose units are kept for them.

use std::time::Duration;

use cornelhitch_types::id::Time;
use serde::Serialize;

/// How long units are kept after the time at which a request was told to come back: the jitter of
/// callers and the way to another host.
const GRACE: Duration = Duration::from_millis(500);

/// Maximum number of reservations of one team; with more, callers are told a time without one.
const MAX_RESERVATIONS: usize = 1_024;

/// The units kept for one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct Reservation {
    key: u64,
    cost: u64,
    due: Time,
}

/// A bucket's level and refill, as far as reservations need them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Supply {
    /// Units that may be granted now.
    pub(super) available: u64,
    /// Refill, in units per 1,000 s.
    pub(super) rate: u64,
}

impl Supply {
    /// Returns the units that are available at a time from now.
    fn after(self, wait: Duration) -> u64 {
        let refilled = u128::from(self.rate) * wait.as_micros() / 1_000_000_000;
        let refilled = u64::try_from(refilled).unwrap_or(u64::MAX);
        self.available.saturating_add(refilled)
    }

    /// Returns when this many units are available; `None` if never.
    fn time_until(self, units: u64) -> Option<Duration> {
        let missing = u128::from(units.saturating_sub(self.available));
        if missing == 0 {
            return Some(Duration::ZERO);
        }
        if self.rate == 0 {
            return None;
        }
        let micros = (missing * 1_000_000_000).div_ceil(u128::from(self.rate));
        u64::try_from(micros).ok().map(Duration::from_micros)
    }
}

/// The reservations of a team, those due first at the front.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub(super) struct Reservations(Vec<Reservation>);

impl Reservations {
    /// Drops the reservations of callers that have not come back in time.
    pub(super) fn expire(&mut self, now: Time) {
        self.0
            .retain(|reservation| now <= reservation.due.saturating_add(GRACE));
    }

    /// Whether a request may take its units now without delaying those that are due before it, or
    /// any reservation at all if it has none itself.
    pub(super) fn admits(&self, key: u64, cost: u64, supply: Supply, now: Time) -> bool {
        let own = self.position(key);
        let before = &self.0[..own.unwrap_or(self.0.len())];
        let mut taken = cost;
        let kept = before.iter().all(|reservation| {
            taken = taken.saturating_add(reservation.cost);
            taken <= supply.after(reservation.due.saturating_sub(now))
        });
        kept && cost <= supply.available
    }

    /// Whether units are kept for a request.
    pub(super) fn contains(&self, key: u64) -> bool {
        self.position(key).is_some()
    }

    /// Removes the reservation of a request that was granted its units.
    pub(super) fn take(&mut self, key: u64) {
        self.0.retain(|reservation| reservation.key != key);
    }

    /// Returns when a refused request will find its units, behind those told to come back before it,
    /// and keeps them for it if its caller waits that long; `None` if it will never find them.
    pub(super) fn promise(
        &mut self,
        key: u64,
        cost: u64,
        supply: Supply,
        patience: Duration,
        now: Time,
    ) -> Option<Duration> {
        let own = self.position(key);
        let before = &self.0[..own.unwrap_or(self.0.len())];
        let ahead = before.iter().map(|reservation| reservation.cost);
        let needed = ahead.fold(cost, u64::saturating_add);
        let wait = supply.time_until(needed)?;
        let mut due = now + wait;
        if let Some(own) = own {
            due = due.max(self.0.remove(own).due);
        }
        let wait = due.saturating_sub(now);
        if wait <= patience && self.0.len() < MAX_RESERVATIONS {
            let place = self.0.partition_point(|other| other.due <= due);
            self.0.insert(place, Reservation { key, cost, due });
        }
        Some(wait)
    }

    /// Returns the sum of what is kept.
    pub(super) fn sum(&self) -> u64 {
        let costs = self.0.iter().map(|reservation| reservation.cost);
        costs.fold(0, u64::saturating_add)
    }

    /// Returns the place of a request's reservation.
    fn position(&self, key: u64) -> Option<usize> {
        self.0.iter().position(|reservation| reservation.key == key)
    }
}
