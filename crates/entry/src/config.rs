//! What a core is made from.

use cornelhitch_types::id::{HostId, Incarnation, RegionId, ZoneId};

use crate::route::{self, Router};

/// The settings of a core, built up step by step.
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
    /// This life of the process.
    pub incarnation: Incarnation,
    /// The host's region.
    pub region: RegionId,
    /// The host's availability zone.
    pub zone: ZoneId,
    /// Where the core's random choices start.
    pub seed: u64,
    /// How replicas are chosen.
    pub router: Box<dyn Router>,
    /// Whether the early refusal of requests that cannot start in time is on.
    pub early: bool,
    /// Suspect requests that run on one target at once.
    pub suspects: u32,
    /// Whether a target's concurrency is shared out among entry hosts.
    pub sharing: bool,
    /// Whether targets that cannot be reached are ejected.
    pub ejecting: bool,
    /// A fault that tests plant.
    #[cfg(test)]
    pub(crate) fault: Option<crate::fault::Fault>,
}

impl Config {
    /// A host in no named place, with every part in use.
    #[must_use]
    pub fn new(host: HostId) -> Self {
        Self {
            host,
            incarnation: 1,
            region: "".into(),
            zone: "".into(),
            seed: host,
            router: Box::new(route::TwoChoices::whole(host)),
            early: true,
            suspects: 1,
            sharing: true,
            ejecting: true,
            #[cfg(test)]
            fault: None,
        }
    }

    /// Sets this life of the process.
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

    /// Sets where random choices start, with the usual router.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self.router = Box::new(route::TwoChoices::whole(seed));
        self
    }

    /// Sets how replicas are chosen.
    #[must_use]
    pub fn router(mut self, router: Box<dyn Router>) -> Self {
        self.router = router;
        self
    }

    /// Switches the early refusal.
    #[must_use]
    pub fn early(mut self, early: bool) -> Self {
        self.early = early;
        self
    }

    /// Sets how many suspect requests run on one target at once.
    #[must_use]
    pub fn suspects(mut self, suspects: u32) -> Self {
        self.suspects = suspects;
        self
    }

    /// Switches the sharing of a target's concurrency.
    #[must_use]
    pub fn sharing(mut self, sharing: bool) -> Self {
        self.sharing = sharing;
        self
    }

    /// Switches the ejection of targets that cannot be reached.
    #[must_use]
    pub fn ejecting(mut self, ejecting: bool) -> Self {
        self.ejecting = ejecting;
        self
    }
}
