//! The leader's soft state, for operators.

use cornelhitch_types::id::{HostId, ReplicaId, TargetId, Term, Time, Version};
use serde::Serialize;

use crate::state::State;
use crate::term_state::TermState;

/// The soft state of the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Dump {
    /// The term in which it leads.
    pub term: Term,
    /// The time since its election.
    pub age: Time,
    /// The newest settings that are in force at every entry host.
    pub in_force: Version,
    /// The tracked targets.
    pub targets: Vec<Target>,
    /// The replicas with their orders.
    pub replicas: Vec<Replica>,
    /// The entry hosts with their leases.
    pub hosts: Vec<Host>,
    /// The number of adapter loads in flight.
    pub adapters: usize,
    /// The number of fingerprints with strikes.
    pub strikes: usize,
}

/// The leader's soft state of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Target {
    /// The name of the target.
    pub target: TargetId,
    /// The time since its last heartbeat, or since this leader began to track it.
    pub silence: Time,
    /// The sequence number of its newest heartbeat; 0 before the first in this term.
    pub sequence: u64,
    /// Whether it may get new work.
    pub open: bool,
    /// Memory of copies that belong to no decided replica, in bytes.
    pub unexplained: u64,
}

/// The orders of a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Replica {
    /// The id of the replica.
    pub replica: ReplicaId,
    /// Whether an earlier leader decided it.
    pub inherited: bool,
    /// The status of its load order.
    pub load: &'static str,
    /// The status of its unload order.
    pub unload: &'static str,
    /// Whether an order for it may still arrive.
    pub doubtful: bool,
    /// The newest heartbeat that showed it.
    pub seen: Option<u64>,
}

/// The lease of an entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Host {
    /// The id of the host.
    pub host: HostId,
    /// The time since its last renewal.
    pub silence: Time,
    /// The version of the settings that it acts on.
    pub settings: Version,
    /// Whether its lease is valid.
    pub leased: bool,
}

impl Dump {
    /// Collects the soft state of a term.
    pub(crate) fn new(term_state: &TermState, state: &State, now: Time) -> Self {
        let version = state.current_settings().version();
        Self {
            term: term_state.term,
            age: now.saturating_sub(term_state.since),
            in_force: term_state
                .leases
                .oldest(now)
                .map_or(0, |it| it.min(version)),
            targets: targets(term_state, now),
            replicas: replicas(term_state),
            hosts: hosts(term_state, now),
            adapters: term_state.adapters.len(),
            strikes: term_state.quarantine.len(),
        }
    }
}

/// Collects the targets.
fn targets(term_state: &TermState, now: Time) -> Vec<Target> {
    let targets = term_state.workers.iter().map(|(target, worker)| Target {
        target: target.clone(),
        silence: now.saturating_sub(worker.last_contact),
        sequence: worker.sequence(),
        open: worker.is_open(),
        unexplained: worker.orphan_bytes(),
    });
    targets.collect()
}

/// Collects the replicas.
fn replicas(term_state: &TermState) -> Vec<Replica> {
    let replicas = term_state
        .replica_orders
        .iter()
        .map(|(replica, orders)| Replica {
            replica: *replica,
            inherited: orders.inherited,
            load: orders.load.name(),
            unload: orders.unload.name(),
            doubtful: orders.may_arrive,
            seen: orders.last_seen,
        });
    replicas.collect()
}

/// Collects the entry hosts.
fn hosts(term_state: &TermState, now: Time) -> Vec<Host> {
    let hosts = term_state.leases.iter().map(|lease| Host {
        host: lease.host.host,
        silence: now.saturating_sub(lease.last_renewal),
        settings: lease.host.settings,
        leased: lease.is_valid(now),
    });
    hosts.collect()
}
