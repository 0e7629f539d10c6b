//! Idle connections to targets: a request that is sent on one saves the time to open a connection.
//!
//! The owner keeps the connections and tells of each change. Only expected-time routing considers them.

use std::collections::HashMap;
use std::net::SocketAddr;

use cornelhitch_types::id::Time;
use serde::{Deserialize, Serialize};

use crate::core::Core;
use crate::event::{CallId, RequestedResource};
use crate::request::Call;
use crate::route::Candidate;

/// Time that a target of the usual pace takes to accept a connection, in milliseconds.
const ACCEPT_MS: f64 = 1.0;

/// The idle connections to one target address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdleConnections {
    /// The target's address.
    pub address: SocketAddr,
    /// Number of idle connections.
    pub count: u32,
    /// Number of those whose target has stated how long it keeps them.
    pub stated: u32,
    /// When the last of them is no longer reused.
    pub until: Time,
}

/// The idle connections to all targets, as the owner told of them last.
#[derive(Debug, Default)]
pub struct WarmConnections {
    addresses: HashMap<SocketAddr, IdleConnections>,
}

impl WarmConnections {
    /// Records the idle connections to an address.
    ///
    /// ```
    /// use cornelhitch_entry::warm::{IdleConnections, WarmConnections};
    /// use std::time::Duration;
    ///
    /// let (mut warm, address) = (WarmConnections::default(), ([10, 0, 0, 1], 80).into());
    /// let until = Duration::from_secs(4);
    /// warm.apply(IdleConnections { address, count: 1, stated: 0, until });
    /// assert!(warm.is_warm(address, false, Duration::ZERO));
    /// assert!(!warm.is_warm(address, true, Duration::ZERO));
    /// assert!(!warm.is_warm(address, false, until));
    /// ```
    pub fn apply(&mut self, idle: IdleConnections) {
        if idle.count == 0 {
            self.addresses.remove(&idle.address);
        } else {
            self.addresses.insert(idle.address, idle);
        }
    }

    /// Whether there is an idle connection to an address; `stated` asks for one whose target has
    /// stated how long it keeps it.
    #[must_use]
    pub fn is_warm(&self, address: SocketAddr, stated: bool, now: Time) -> bool {
        self.addresses.get(&address).is_some_and(|idle| {
            let count = if stated { idle.stated } else { idle.count };
            count > 0 && now < idle.until
        })
    }

    /// Counts one connection less until the owner tells of the change, so that several requests that
    /// are sent at once don't count on the same one.
    fn expect_use(&mut self, address: SocketAddr) {
        if let Some(idle) = self.addresses.get_mut(&address) {
            idle.count = idle.count.saturating_sub(1);
            idle.stated = idle.stated.saturating_sub(1);
        }
    }
}

/// Whether a request is sent only on connections whose target has stated how long it keeps them,
/// since it must not run twice.
fn needs_stated(call: &Call) -> bool {
    let request = &call.request;
    match request.what {
        RequestedResource::Model(_) if request.terms.is_none() => false,
        _ if request.terms.is_some() => !request.repeatable,
        _ => request.key.is_some(),
    }
}

impl Core {
    /// Returns what an idle connection to a candidate saves a request, in milliseconds: the round trip
    /// and the target's time for a new one. 0 without a connection that it may be sent on.
    pub(crate) fn connection_saving_ms(&self, call: &Call, candidate: &Candidate) -> f64 {
        let stated = needs_stated(call);
        let is_warm = self.warm.is_warm(candidate.address, stated, self.now);
        if !self.uses_expected_time() || !is_warm {
            return 0.0;
        }
        candidate.distance_ms + ACCEPT_MS * candidate.work.pace
    }

    /// Records that a request is about to be sent to an address.
    pub(crate) fn expect_connection(&mut self, id: CallId, address: SocketAddr) {
        let stated = self.calls.get(&id).is_some_and(needs_stated);
        if self.warm.is_warm(address, stated, self.now) {
            self.warm.expect_use(address);
        }
    }

    /// Counts a connection for a request.
    pub(crate) fn on_connected(&mut self, id: CallId, reused: bool) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let service = call.key.service();
        let counters = self.counters.of(&service);
        if reused {
            counters.reused_connections += 1;
        } else {
            counters.new_connections += 1;
        }
    }
}
