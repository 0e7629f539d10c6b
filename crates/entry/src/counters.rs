//! Request and retry counters by service, since the process started.

use std::collections::BTreeMap;
use std::ops::Deref;

use cornelhitch_types::id::Name;
use serde::Serialize;

/// Counters of one service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct ServiceCounters {
    /// Requests whose first byte was handed to a connection.
    pub requests: u64,
    /// Sends beyond the first one of a request.
    pub repeats: u64,
    /// Number of times that the retry budget held back a possible retry.
    pub held_back: u64,
    /// Requests refused because all their targets name limits that leave them no turn.
    pub limited: u64,
    /// Connections to targets that were opened for a request.
    pub new_connections: u64,
    /// Requests that were sent on an idle connection.
    pub reused_connections: u64,
}

/// Counters of all services that were sent to.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Counters(BTreeMap<Name, ServiceCounters>);

impl Counters {
    /// Returns the mutable counters of a service, which start at zero.
    ///
    /// ```
    /// use cornelhitch_entry::counters::Counters;
    ///
    /// let mut counters = Counters::default();
    /// counters.of(&"auction".into()).repeats += 1;
    /// assert_eq!(counters["auction"].repeats, 1);
    /// ```
    pub fn of(&mut self, service: &Name) -> &mut ServiceCounters {
        self.0.entry(service.clone()).or_default()
    }
}

impl Deref for Counters {
    type Target = BTreeMap<Name, ServiceCounters>;

    fn deref(&self) -> &Self::Target {
        &self.0
    }
}
