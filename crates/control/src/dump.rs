//! The leader's soft state, for operators.

use cornelhitch_types::id::{HostId, ReplicaId, TargetId, Term, Time, Version};
use serde::Serialize;

use crate::reign::Reign;
use crate::state::State;

/// What the leader knows besides the replicated state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Dump {
    /// The term in which it leads.
    pub term: Term,
    /// How long it has led.
    pub age: Time,
    /// Settings that are in force at every entry host.
    pub in_force: Version,
    /// The targets.
    pub targets: Vec<Target>,
    /// The replicas.
    pub replicas: Vec<Replica>,
    /// The entry hosts.
    pub hosts: Vec<Host>,
    /// Adapter loads in flight.
    pub adapters: usize,
    /// Fingerprints with strikes.
    pub strikes: usize,
}

/// What is heard of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Target {
    /// Its name.
    pub target: TargetId,
    /// How long it has been silent.
    pub silence: Time,
    /// Its newest heartbeat; 0 before the first in this term.
    pub sequence: u64,
    /// Whether it may get new work.
    pub open: bool,
    /// Memory that no replica explains, in bytes.
    pub unexplained: u64,
}

/// What is known of a replica's orders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Replica {
    /// Its id.
    pub replica: ReplicaId,
    /// Whether an earlier leader decided it.
    pub inherited: bool,
    /// Its load order.
    pub load: &'static str,
    /// Its unload order.
    pub unload: &'static str,
    /// Whether an order for it may still arrive.
    pub doubtful: bool,
    /// The newest heartbeat that showed it.
    pub seen: Option<u64>,
}

/// What is known of an entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Host {
    /// Its number.
    pub host: HostId,
    /// How long it has been silent.
    pub silence: Time,
    /// The settings that it acts on.
    pub settings: Version,
    /// Whether it has a lease.
    pub leased: bool,
}

impl Dump {
    /// The soft state of a term.
    pub(crate) fn new(reign: &Reign, state: &State, now: Time) -> Self {
        let version = state.catalogue().version();
        Self {
            term: reign.term,
            age: now.saturating_sub(reign.since),
            in_force: reign.leases.oldest(now).map_or(0, |it| it.min(version)),
            targets: targets(reign, now),
            replicas: replicas(reign),
            hosts: hosts(reign, now),
            adapters: reign.adapters.len(),
            strikes: reign.quarantine.len(),
        }
    }
}

/// The targets.
fn targets(reign: &Reign, now: Time) -> Vec<Target> {
    let targets = reign.workers.iter().map(|(target, worker)| Target {
        target: target.clone(),
        silence: now.saturating_sub(worker.heard),
        sequence: worker.sequence(),
        open: worker.is_open(),
        unexplained: worker.unexplained(),
    });
    targets.collect()
}

/// The replicas.
fn replicas(reign: &Reign) -> Vec<Replica> {
    let replicas = reign.tracks.iter().map(|(replica, track)| Replica {
        replica: *replica,
        inherited: track.inherited,
        load: track.load.name(),
        unload: track.unload.name(),
        doubtful: track.doubtful,
        seen: track.seen,
    });
    replicas.collect()
}

/// The entry hosts.
fn hosts(reign: &Reign, now: Time) -> Vec<Host> {
    let hosts = reign.leases.iter().map(|lease| Host {
        host: lease.host.host,
        silence: now.saturating_sub(lease.heard),
        settings: lease.host.settings,
        leased: lease.is_valid(now),
    });
    hosts.collect()
}
