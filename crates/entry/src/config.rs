//! The configuration of a core.

use std::collections::BTreeSet;

use cornelhitch_settings::process::{Routing, Serving};
use cornelhitch_types::id::{HostId, Incarnation, RegionId, ZoneId};

use crate::route::{self, Router};

/// A protection mechanism that can be disabled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Guard {
    /// Early refusal of requests that cannot meet their deadline.
    Early,
    /// Sharing a target's concurrency among entry hosts.
    Sharing,
    /// Ejection of targets that cannot be reached.
    Ejection,
    /// The retry budget.
    Budget,
}

/// The configuration of a core, with builder methods.
///
/// ```
/// use cornelhitch_entry::config::Config;
///
/// let config = Config::new(3).incarnation(2).place("perth-a", "perth-a1").seed(7);
/// assert_eq!(config.host, 3);
/// ```
pub struct Config {
    /// This host's number.
    pub host: HostId,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The host's region.
    pub region: RegionId,
    /// The host's availability zone.
    pub zone: ZoneId,
    /// Seed of the core's random choices.
    pub seed: u64,
    /// Chooses the replica for each request.
    pub router: Box<dyn Router>,
    /// Maximum number of suspect requests in flight on one target.
    pub suspects: u32,
    /// The process settings for serving requests.
    pub serving: Serving,
    /// Guards that are disabled, to measure their effect.
    pub disabled: BTreeSet<Guard>,
    /// The fault that a test injects.
    #[cfg(test)]
    pub(crate) fault: Option<crate::fault::Fault>,
}

impl Config {
    /// Creates the configuration of a host with empty region and zone and all guards enabled.
    #[must_use]
    pub fn new(host: HostId) -> Self {
        Self {
            host,
            incarnation: 1,
            region: "".into(),
            zone: "".into(),
            seed: host,
            router: Box::new(route::TwoChoiceRouter::with_all_costs(host)),
            suspects: 1,
            serving: Serving::default(),
            disabled: BTreeSet::new(),
            #[cfg(test)]
            fault: None,
        }
    }

    /// Sets the incarnation of this process.
    #[must_use]
    pub fn incarnation(mut self, incarnation: Incarnation) -> Self {
        self.incarnation = incarnation;
        self
    }

    /// Sets the region and the availability zone.
    #[must_use]
    pub fn place(mut self, region: impl Into<RegionId>, zone: impl Into<ZoneId>) -> Self {
        self.region = region.into();
        self.zone = zone.into();
        self
    }

    /// Sets the seed, and replaces the router by the one of the settings with this seed.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self.router = route::router(self.serving.routing, seed);
        self
    }

    /// Sets the router that chooses replicas.
    #[must_use]
    pub fn router(mut self, router: Box<dyn Router>) -> Self {
        self.router = router;
        self
    }

    /// Sets the maximum number of suspect requests in flight on one target.
    #[must_use]
    pub fn suspects(mut self, suspects: u32) -> Self {
        self.suspects = suspects;
        self
    }

    /// Sets the process settings for serving requests, and replaces the router if they name another
    /// one than the default.
    #[must_use]
    pub fn serving(mut self, serving: Serving) -> Self {
        self.serving = serving;
        if serving.routing != Routing::default() {
            self.router = route::router(serving.routing, self.seed);
        }
        self
    }

    /// Disables a guard.
    #[must_use]
    pub fn without(mut self, guard: Guard) -> Self {
        self.disabled.insert(guard);
        self
    }

    /// Whether a guard is enabled.
    #[must_use]
    pub fn uses(&self, guard: Guard) -> bool {
        !self.disabled.contains(&guard)
    }
}
