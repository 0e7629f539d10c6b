//! Entry hosts and their leases on the settings.

use std::collections::BTreeMap;

use cornelhitch_types::entry;
use cornelhitch_types::id::{HostId, Time, Version};

use crate::output::Output;
use crate::turn::Turn;

/// An entry host and its lease.
#[derive(Debug, Clone)]
pub(crate) struct Lease {
    /// What the host said last.
    pub(crate) host: entry::Host,
    /// When it said so.
    pub(crate) heard: Time,
    /// Until when it may take requests on the settings that it named.
    pub(crate) until: Time,
    /// Whether that has passed and was noted.
    lapsed: bool,
}

/// All entry hosts that this leader has heard of.
#[derive(Debug)]
pub(crate) struct Leases {
    /// When leases that an earlier leader gave have run out.
    inherited: Time,
    hosts: BTreeMap<HostId, Lease>,
    announced: Version,
}

impl Leases {
    /// The leases at the start of a term.
    pub(crate) fn new(turn: &Turn) -> Self {
        Self {
            inherited: turn.now + turn.timing.guarded_lease(),
            hosts: BTreeMap::new(),
            announced: 0,
        }
    }

    /// An entry host.
    pub(crate) fn get(&self, host: HostId) -> Option<&Lease> {
        self.hosts.get(&host)
    }

    /// All entry hosts.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Lease> {
        self.hosts.values()
    }

    /// Renews a lease, if the host acts on the settings in force; says whether the view changes.
    ///
    /// A host that acts on older settings is told the version to fetch, and its
    /// lease on the older ones is not made longer.
    pub(crate) fn renew(&mut self, host: entry::Host, turn: &mut Turn) -> bool {
        let version = turn.state.catalogue().version();
        let old = self.hosts.get(&host.host);
        if old.is_some_and(|old| old.host.incarnation > host.incarnation) {
            return false;
        }
        let mut until = old.map_or(Time::ZERO, |old| old.until);
        if host.settings >= version && version > 0 {
            until = turn.now + turn.timing.guarded_lease();
        }
        let changed = old.is_none_or(|old| old.host != host || old.until < turn.now);
        turn.out.push(Output::Lease {
            host: host.host,
            incarnation: host.incarnation,
            length: turn.timing.lease,
            version,
        });
        let lease = Lease {
            heard: turn.now,
            lapsed: until < turn.now,
            until,
            host,
        };
        self.hosts.insert(lease.host.host, lease);
        changed
    }

    /// Hosts whose lease has run out since the last call.
    pub(crate) fn lapsed(&mut self, now: Time) -> Vec<HostId> {
        let mut lapsed = Vec::new();
        for (host, lease) in &mut self.hosts {
            if !lease.lapsed && lease.until < now {
                lease.lapsed = true;
                lapsed.push(*host);
            }
        }
        lapsed
    }

    /// Whether no entry host acts on settings older than a version.
    pub(crate) fn in_force(&self, version: Version, now: Time) -> bool {
        let current = |lease: &Lease| lease.host.settings >= version || lease.until < now;
        now > self.inherited && self.hosts.values().all(current)
    }

    /// Says once that the settings are in force.
    pub(crate) fn announce(&mut self, turn: &mut Turn) {
        let version = turn.state.catalogue().version();
        if version > self.announced && self.in_force(version, turn.now) {
            self.announced = version;
            turn.out.push(Output::InForce { version });
        }
    }

    /// Drops hosts that have been silent for long, and returns them.
    pub(crate) fn expire(&mut self, turn: &Turn) -> Vec<Lease> {
        let silent =
            |lease: &Lease| lease.until < turn.now && lease.heard + turn.timing.host < turn.now;
        let ids: Vec<HostId> = self
            .hosts
            .iter()
            .filter(|(_, lease)| silent(lease))
            .map(|(host, _)| *host)
            .collect();
        ids.iter().filter_map(|id| self.hosts.remove(id)).collect()
    }
}
