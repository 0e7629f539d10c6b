//! Requests and repeats of each service, counted since the process started.

use std::collections::BTreeMap;
use std::ops::Deref;

use cornelhitch_types::id::Name;
use serde::Serialize;

/// What was counted of one service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Tally {
    /// Requests whose first byte was handed to a connection once.
    pub requests: u64,
    /// Sends beyond the first of their request.
    pub repeats: u64,
    /// Times that a repeat was possible and the retry budget held it back.
    pub held_back: u64,
}

/// The tallies of all services that were sent to.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Tallies(BTreeMap<Name, Tally>);

impl Tallies {
    /// The tally of a service, to be added to.
    ///
    /// ```
    /// use cornelhitch_entry::tally::Tallies;
    ///
    /// let mut tallies = Tallies::default();
    /// tallies.of(&"auction".into()).repeats += 1;
    /// assert_eq!(tallies["auction"].repeats, 1);
    /// ```
    pub fn of(&mut self, service: &Name) -> &mut Tally {
        self.0.entry(service.clone()).or_default()
    }
}

impl Deref for Tallies {
    type Target = BTreeMap<Name, Tally>;

    fn deref(&self) -> &Self::Target {
        &self.0
    }
}
