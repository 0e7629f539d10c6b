//! Reservations of targets for the suspect requests of one entry host.

use std::collections::HashMap;

use cornelhitch_types::id::{HostId, Incarnation, TargetId, Time};

/// How long a reservation lasts unless it is released.
const RESERVATION_TTL: Time = Time::from_mins(1);

/// One incarnation of a target.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct TargetIncarnation {
    target: TargetId,
    incarnation: Incarnation,
}

/// The host that holds a reservation.
#[derive(Debug, Clone, Copy)]
struct Holder {
    host: HostId,
    until: Time,
}

/// The reservations of the leader's term.
///
/// They only keep several hosts from sending suspect requests to one target at a time. A new leader
/// starts without any: the limit on targets that one request may take down is enforced by the
/// committed strikes.
#[derive(Debug, Default)]
pub struct Reservations(HashMap<TargetIncarnation, Holder>);

impl Reservations {
    /// Reserves a target for a host; returns false if another host has reserved it.
    pub fn reserve(
        &mut self,
        host: HostId,
        target: TargetId,
        incarnation: Incarnation,
        now: Time,
    ) -> bool {
        let key = TargetIncarnation {
            target,
            incarnation,
        };
        let taken = self.0.get(&key);
        if taken.is_some_and(|holder| holder.host != host && holder.until > now) {
            return false;
        }
        let until = now + RESERVATION_TTL;
        self.0.insert(key, Holder { host, until });
        true
    }

    /// Releases a host's reservation of a target.
    pub fn release(&mut self, host: HostId, target: TargetId, incarnation: Incarnation) {
        let key = TargetIncarnation {
            target,
            incarnation,
        };
        if self.0.get(&key).is_some_and(|holder| holder.host == host) {
            self.0.remove(&key);
        }
    }
}
