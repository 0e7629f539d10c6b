//! The lease on the settings: without one, no new requests.

use std::time::Duration;

use cornelhitch_types::id::{Time, Version};
use serde::Serialize;

/// How long a host that holds a lease may act on older settings than the lease
/// names; "in force everywhere" is answered only once it has caught up.
pub const GRACE: Duration = Duration::from_secs(3);

/// What is known of the lease.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Lease {
    /// Until when it holds.
    until: Option<Time>,
    /// The settings version that control has in force.
    version: Version,
    /// When that version was first heard of.
    since: Time,
}

impl Lease {
    /// Takes a renewal; an older one that comes late changes nothing.
    pub fn renew(&mut self, until: Time, version: Version, now: Time) {
        self.until = Some(self.until.map_or(until, |known| known.max(until)));
        if version > self.version {
            self.version = version;
            self.since = now;
        }
    }

    /// Whether it holds for a host that acts on the settings of version `applied`.
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
        let live = self.until.is_some_and(|until| now < until);
        let current = applied >= self.version || now < self.since + GRACE;
        live && current && applied > 0
    }
}
