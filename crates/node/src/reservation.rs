//! Which entry host may send suspect requests to a target.

use std::collections::HashMap;

use cornelhitch_types::id::{HostId, Incarnation, TargetId, Time};

/// How long a reservation lasts when it is not given back.
const LENGTH: Time = Time::from_mins(1);

/// One life of a target.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Life {
    target: TargetId,
    incarnation: Incarnation,
}

/// Who holds a reservation.
#[derive(Debug, Clone, Copy)]
struct Holder {
    host: HostId,
    until: Time,
}

/// The reservations of the leader's term.
///
/// They only keep suspect requests of several hosts from one target at once; a
/// new leader starts without any, and the limit of targets that one request may
/// take down is kept by the committed strikes.
#[derive(Debug, Default)]
pub struct Reservations(HashMap<Life, Holder>);

impl Reservations {
    /// Whether the host has the target for suspect requests now.
    pub fn reserve(
        &mut self,
        host: HostId,
        target: TargetId,
        incarnation: Incarnation,
        now: Time,
    ) -> bool {
        let life = Life {
            target,
            incarnation,
        };
        let taken = self.0.get(&life);
        if taken.is_some_and(|holder| holder.host != host && holder.until > now) {
            return false;
        }
        let until = now + LENGTH;
        self.0.insert(life, Holder { host, until });
        true
    }

    /// Gives a reservation back.
    pub fn release(&mut self, host: HostId, target: TargetId, incarnation: Incarnation) {
        let life = Life {
            target,
            incarnation,
        };
        if self.0.get(&life).is_some_and(|holder| holder.host == host) {
            self.0.remove(&life);
        }
    }
}
