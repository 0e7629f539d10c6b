//! Shares a target's concurrency among entry hosts without coordination between them.
//!
//! Each host starts with a share of what a replica serves concurrently: one request for a host in
//! another region, and an equal share of the rest for each host in the target's own region. When a
//! load report shows free capacity, each host with requests there grows by its share of it, so that
//! together they never add more than was free. When a report shows requests queued inside the
//! target, every host's share shrinks.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::route::Place;

/// The entry hosts that share a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sharers {
    /// Entry hosts in the target's region that are not draining.
    pub near: u32,
    /// Entry hosts in other regions that are not draining.
    pub far: u32,
    /// How many of all these hosts have requests, including this one.
    pub busy: u32,
    /// Whether this host is in the target's region.
    pub is_near: bool,
}

impl Sharers {
    /// Returns this host's share before any report, at least one request.
    fn initial_share(self, capacity: u32) -> u32 {
        if !self.is_near {
            return 1;
        }
        let rest = capacity.saturating_sub(self.far);
        rest.div_ceil(self.near.max(1)).max(1)
    }
}

/// A load report of a target, with the hosts that share it.
#[derive(Debug, Clone, Copy)]
pub struct Report {
    /// Number of running requests, from all entry hosts.
    pub running: u32,
    /// Number of requests queued inside the target.
    pub queued: u32,
    /// Number of this host's requests in flight there.
    pub own: u32,
    /// Number of requests that the target serves concurrently.
    pub capacity: u32,
    /// The entry hosts that share the target.
    pub sharers: Sharers,
}

/// How many requests this host may have in flight at each place.
#[derive(Debug, Default, Serialize)]
pub struct Shares {
    /// Limits that a report has changed from the initial share.
    limits: BTreeMap<Place, u32>,
}

impl Shares {
    /// Returns how many requests this host may have in flight at a place.
    ///
    /// ```
    /// use cornelhitch_entry::route::Place;
    /// use cornelhitch_entry::share::{Sharers, Shares};
    ///
    /// let place = Place { target: "worker-1".into(), replica: Some(4) };
    /// let sharers = Sharers { near: 9, far: 0, busy: 9, is_near: true };
    /// assert_eq!(Shares::default().limit(&place, 16, sharers), 2);
    /// ```
    #[must_use]
    pub fn limit(&self, place: &Place, capacity: u32, sharers: Sharers) -> u32 {
        let known = self.limits.get(place).copied();
        known
            .unwrap_or_else(|| sharers.initial_share(capacity))
            .min(capacity.max(1))
    }

    /// Updates the limit of a place from a new load report.
    ///
    /// A host with no requests there returns to its initial share: it learns late which other hosts
    /// have requests, so in a burst of first requests each host would otherwise claim all the free
    /// capacity.
    pub fn apply_report(&mut self, place: &Place, report: Report) {
        if report.own == 0 {
            self.limits.remove(place);
            return;
        }
        let initial_share = report.sharers.initial_share(report.capacity);
        let total = report.running.saturating_add(report.queued);
        let limit = if report.queued > 0 && total > 0 {
            let now = u64::from(self.limit(place, report.capacity, report.sharers));
            let fit = now * u64::from(report.capacity) / u64::from(total);
            u32::try_from(fit).unwrap_or(u32::MAX)
        } else {
            let free = report.capacity.saturating_sub(total);
            report.own + free.div_ceil(report.sharers.busy.max(1))
        };
        let limit = limit.clamp(initial_share, report.capacity.max(initial_share));
        self.limits.insert(place.clone(), limit);
    }

    /// Drops the limit of a place that was removed.
    pub fn forget(&mut self, place: &Place) {
        self.limits.remove(place);
    }
}
