//! The lease on the settings; without it, a host accepts no new requests.

use std::time::Duration;

use cornelhitch_types::id::{Time, Version};
use serde::Serialize;

/// How long a host with a lease may act on older settings than the lease names. Control reports a
/// version as in force everywhere only after every host has caught up.
pub const SETTINGS_GRACE: Duration = Duration::from_secs(3);

/// The state of this host's lease on the settings.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Lease {
    /// When the lease expires.
    until: Option<Time>,
    /// The settings version that control has in force.
    version: Version,
    /// When this host first learned of that version.
    since: Time,
}

impl Lease {
    /// Applies a renewal. Renewals may arrive out of order; an older one has no effect.
    pub fn renew(&mut self, until: Time, version: Version, now: Time) {
        self.until = Some(self.until.map_or(until, |known| known.max(until)));
        if version > self.version {
            self.version = version;
            self.since = now;
        }
    }

    /// Whether the lease has not expired, whatever the settings.
    #[must_use]
    pub fn is_live(&self, now: Time) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Whether the lease is valid for a host that acts on the settings of version `applied`.
    ///
    /// ```
    /// use cornelhitch_entry::lease::Lease;
    /// use std::time::Duration;
    ///
    /// let mut lease = Lease::default();
    /// lease.renew(Duration::from_secs(8), 2, Duration::ZERO);
    /// assert!(lease.holds(2, Duration::from_secs(7)));
    /// assert!(!lease.holds(2, Duration::from_secs(8)));
    /// assert!(!lease.holds(1, Duration::from_secs(7)));
    /// ```
    #[must_use]
    pub fn holds(&self, applied: Version, now: Time) -> bool {
        let live = self.is_live(now);
        let current = applied >= self.version || now < self.since + SETTINGS_GRACE;
        live && current && applied > 0
    }
}
