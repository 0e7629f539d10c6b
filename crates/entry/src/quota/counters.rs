//! What teams used and were refused at this host, since the process started.

use std::collections::BTreeMap;
use std::ops::Deref;

use cornelhitch_types::id::Name;
use serde::Serialize;

/// Counters of one team.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct TeamCounters {
    /// Sends of requests that were charged.
    pub sends: u64,
    /// Units that they were charged.
    pub charged: u64,
    /// Units of them that were given back because a target declined the request.
    pub declined: u64,
    /// Units that were held when their lease expired.
    pub expired: u64,
    /// Requests refused because the quota was used up.
    pub refused: u64,
    /// Requests refused because no leader answered in time.
    pub unanswered: u64,
}

/// Counters of all teams that have a quota.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct TeamCountersByName(BTreeMap<Name, TeamCounters>);

impl TeamCountersByName {
    /// Returns the mutable counters of a team, which start at zero.
    ///
    /// ```
    /// use cornelhitch_entry::quota::TeamCountersByName;
    ///
    /// let mut counters = TeamCountersByName::default();
    /// counters.of(&"night-desk".into()).refused += 1;
    /// assert_eq!(counters["night-desk"].refused, 1);
    /// ```
    pub fn of(&mut self, team: &Name) -> &mut TeamCounters {
        self.0.entry(team.clone()).or_default()
    }
}

impl Deref for TeamCountersByName {
    type Target = BTreeMap<Name, TeamCounters>;

    fn deref(&self) -> &Self::Target {
        &self.0
    }
}
