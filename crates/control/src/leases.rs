//! Entry hosts and their leases on versions of the settings.

use std::collections::BTreeMap;

use cornelhitch_types::entry;
use cornelhitch_types::id::{HostId, Time, Version};

use crate::context::Context;
use crate::mutation::{self, Mutation};
use crate::output::Output;

/// Requests by which the load of a host has to differ from the published one to be published.
const MIN_LOAD_CHANGE: u32 = 8;

/// The share of the published load by which it has to differ besides.
const LOAD_CHANGE_SHARE: u32 = 4;

/// An entry host and its leases.
#[derive(Debug, Clone)]
pub(crate) struct Lease {
    /// The newest renewal of the host.
    pub(crate) host: entry::Host,
    /// The load of the host when its state was last published.
    published_load: u32,
    /// When the renewal arrived.
    pub(crate) last_renewal: Time,
    /// Versions of the settings that it may act on, and until when.
    grants: BTreeMap<Version, Time>,
    /// Whether the expiry of all grants was already reported.
    expiry_reported: bool,
}

impl Lease {
    /// Returns whether the host may accept requests.
    pub(crate) fn is_valid(&self, now: Time) -> bool {
        self.grants.values().any(|until| now <= *until)
    }

    /// Returns whether a renewal changes what is published of the host. Every change goes to every
    /// entry host, so small ones of the load are left out.
    fn is_changed_by(&self, host: &entry::Host, now: Time) -> bool {
        let load = self.published_load;
        let expected = entry::Host {
            load: host.load,
            ..self.host.clone()
        };
        let change = host.load.abs_diff(load);
        let load_changed = change >= MIN_LOAD_CHANGE && change > load / LOAD_CHANGE_SHARE;
        expected != *host || load_changed || !self.is_valid(now)
    }

    /// Returns whether the host may act on settings older than a version.
    fn is_behind(&self, version: Version, now: Time) -> bool {
        let older = self.grants.range(..version);
        older.into_iter().any(|(_, until)| now <= *until)
    }
}

/// The entry hosts that have renewed a lease with this leader.
#[derive(Debug)]
pub(crate) struct Leases {
    /// When the leases granted by earlier leaders have expired.
    inherited_until: Time,
    hosts: BTreeMap<HostId, Lease>,
    /// The newest version that was reported as in force.
    announced: Version,
}

impl Leases {
    /// Creates the leases at the start of a term.
    pub(crate) fn new(ctx: &Context) -> Self {
        Self {
            inherited_until: ctx.now + ctx.timing.guarded_lease(),
            hosts: BTreeMap::new(),
            announced: 0,
        }
    }

    /// Returns an entry host.
    pub(crate) fn get(&self, host: HostId) -> Option<&Lease> {
        self.hosts.get(&host)
    }

    /// Returns all entry hosts.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Lease> {
        self.hosts.values()
    }

    /// Grants a host a lease on the settings in force; returns whether its published state changes.
    ///
    /// A host that acts on older settings has to fetch the newer ones first; its lease on the older
    /// ones is not extended. The leader counts the lease on the newer ones from now on, since the
    /// host may fetch them as soon as it is notified.
    pub(crate) fn renew(&mut self, host: entry::Host, ctx: &mut Context) -> bool {
        let version = ctx.state.current_settings().version();
        let old = self.hosts.remove(&host.host);
        if let Some(newer) = old
            .as_ref()
            .filter(|old| old.host.incarnation > host.incarnation)
        {
            self.hosts.insert(host.host, newer.clone());
            return false;
        }
        let published = old
            .as_ref()
            .filter(|old| !old.is_changed_by(&host, ctx.now));
        let changed = published.is_none();
        let published_load = published.map_or(host.load, |old| old.published_load);
        let same = old.filter(|old| old.host.incarnation == host.incarnation);
        let mut grants = same.map(|old| old.grants).unwrap_or_default();
        grants.retain(|granted, _| *granted >= host.settings);
        if version > 0 {
            grants.insert(version, ctx.now + ctx.timing.guarded_lease());
        }
        ctx.out.push(Output::Lease {
            host: host.host,
            incarnation: host.incarnation,
            length: ctx.timing.lease_length,
            version,
        });
        let lease = Lease {
            published_load,
            last_renewal: ctx.now,
            expiry_reported: version == 0,
            grants,
            host,
        };
        self.hosts.insert(lease.host.host, lease);
        changed
    }

    /// Returns the hosts whose leases have all expired since the last call.
    pub(crate) fn expired(&mut self, now: Time) -> Vec<HostId> {
        let mut expired = Vec::new();
        for (host, lease) in &mut self.hosts {
            if !lease.expiry_reported && !lease.is_valid(now) {
                lease.expiry_reported = true;
                expired.push(*host);
            }
        }
        expired
    }

    /// Returns whether no entry host can still act on settings older than a version.
    pub(crate) fn in_force(&self, version: Version, now: Time) -> bool {
        let early = mutation::is(Mutation::EarlyInForce);
        let current = |lease: &Lease| early || !lease.is_behind(version, now);
        let inherited = now <= self.inherited_until && !mutation::is(Mutation::NoInheritedLeases);
        !inherited && self.hosts.values().all(current)
    }

    /// Returns the oldest settings that some host may act on: [`Version::MAX`] if no host has a
    /// lease, `None` while leases of an earlier leader may still be valid.
    pub(crate) fn oldest(&self, now: Time) -> Option<Version> {
        let grants = self.hosts.values().flat_map(|lease| &lease.grants);
        let valid = grants.filter(|(_, until)| now <= **until);
        let oldest = valid.map(|(version, _)| *version).min();
        (now > self.inherited_until).then_some(oldest.unwrap_or(Version::MAX))
    }

    /// Reports once that the settings are in force.
    pub(crate) fn announce(&mut self, ctx: &mut Context) {
        let version = ctx.state.current_settings().version();
        if version > self.announced && self.in_force(version, ctx.now) {
            self.announced = version;
            ctx.out.push(Output::InForce { version });
        }
    }

    /// Removes hosts that have been silent for long, and returns them.
    pub(crate) fn remove_silent(&mut self, ctx: &Context) -> Vec<Lease> {
        let silent = |it: &Lease| {
            !it.is_valid(ctx.now) && it.last_renewal + ctx.timing.host_timeout < ctx.now
        };
        let ids: Vec<HostId> = self
            .hosts
            .iter()
            .filter(|(_, lease)| silent(lease))
            .map(|(host, _)| *host)
            .collect();
        ids.iter().filter_map(|id| self.hosts.remove(id)).collect()
    }
}
