//! Builds the view for entry hosts from replicated and soft state.

use cornelhitch_settings::fleet::Loading;
use cornelhitch_types::id::{ReplicaId, Time};
use cornelhitch_types::target::Stage;
use cornelhitch_types::view::{self, Change};

use crate::hosting::Hosting;
use crate::leases::{Lease, Leases};
use crate::replica_orders::OrdersByReplica;
use crate::replicas::Replica;
use crate::state::State;
use crate::strikes::Count;
use crate::workers::Workers;

const BYTES_PER_GIB: u64 = 1 << 30;

/// The inputs of a view.
pub(crate) struct ViewBuilder<'a> {
    /// The replicated state.
    pub(crate) state: &'a State,
    /// The soft state of targets.
    pub(crate) workers: &'a Workers,
    /// The order state of replicas.
    pub(crate) replica_orders: &'a OrdersByReplica,
    /// The entry hosts and their leases.
    pub(crate) leases: &'a Leases,
    /// The state of workers that count their orders.
    pub(crate) hosting: &'a Hosting,
    /// The time at which the view is built.
    pub(crate) now: Time,
}

impl ViewBuilder<'_> {
    /// Returns a target, if it is registered.
    pub(crate) fn target(&self, target: &str) -> Option<view::Target> {
        let known = self.state.fleet().get(target)?;
        let announcement = &known.announcement;
        let worker = self.workers.get(target);
        let last_heartbeat = worker.and_then(|worker| worker.last_heartbeat.as_ref());
        Some(view::Target {
            target: announcement.target.clone(),
            incarnation: announcement.incarnation,
            kind: announcement.kind,
            address: announcement.address,
            region: announcement.region.clone(),
            zone: announcement.zone.clone(),
            services: announcement.services.clone(),
            open: !known.silent
                && !known.leaving
                && worker.is_some_and(crate::workers::Worker::is_open),
            load: last_heartbeat
                .map(|last_heartbeat| last_heartbeat.load)
                .unwrap_or_default(),
            slots: announcement.slots,
        })
    }

    /// Returns a decided replica, if it still holds a reservation.
    pub(crate) fn replica(&self, id: ReplicaId) -> Option<view::Replica> {
        let replica = self.state.replicas().get(id)?;
        let orders = self.replica_orders.get(&id);
        let from = orders.map_or(Stage::Remote, |orders| orders.from);
        Some(view::Replica {
            replica: id,
            model: replica.model.clone(),
            version: replica.version.clone(),
            target: replica.target.clone(),
            state: replica.state,
            ready_in_ms: self.remaining_load_ms(replica, from),
            adapters: orders.map(|it| it.adapters.clone()).unwrap_or_default(),
        })
    }

    /// Returns the time until a replica is expected to be ready, in milliseconds.
    fn remaining_load_ms(&self, replica: &Replica, from: Stage) -> u32 {
        if replica.state != view::State::Loading {
            return 0;
        }
        let ms_per_gib = ms_per_gib(&self.state.current_settings().fleet().loading, from);
        let length = replica
            .bytes
            .div_ceil(BYTES_PER_GIB)
            .saturating_mul(ms_per_gib);
        let ready = replica.decided.saturating_add(Time::from_millis(length));
        let left = ready.saturating_sub(self.now).as_millis();
        u32::try_from(left).unwrap_or(u32::MAX)
    }

    /// Returns the change that publishes an entry host, if its lease is valid.
    pub(crate) fn entry(&self, lease: &Lease) -> Option<Change> {
        lease
            .is_valid(self.now)
            .then(|| Change::Entry(lease.host.clone()))
    }

    /// Returns the settings, if there are any.
    pub(crate) fn settings(&self) -> Option<Change> {
        let current_settings = self.state.current_settings();
        let version = current_settings.version();
        (version > 0).then(|| Change::Settings(version, current_settings.text().clone()))
    }

    /// Returns the route table, if there is one.
    pub(crate) fn table(&self) -> Option<Change> {
        let table = self.state.current_table().table()?;
        Some(Change::of_table(table))
    }

    /// Returns the change that publishes a strike count; expired strikes count 0.
    pub(crate) fn strike(&self, count: Count) -> Change {
        let expired = count.forgotten <= self.now;
        Change::StrikeCount(count.fingerprint, if expired { 0 } else { count.lost })
    }

    /// Returns the change that publishes the crashes of a prompt section.
    pub(crate) fn section(&self, section: u64) -> Change {
        let crashes = self.state.section_strikes().crashes(section, self.now);
        Change::SectionCrashes(section, crashes)
    }

    /// Returns the crashes of all prompt sections.
    fn sections(&self) -> impl Iterator<Item = Change> {
        let sections = self.state.section_strikes().iter();
        let sections = sections.filter(|(_, forgotten)| self.now < *forgotten);
        sections.map(|(section, _)| self.section(section))
    }

    /// Returns the limits that targets name.
    fn target_limits(&self) -> impl Iterator<Item = Change> {
        self.workers.iter().filter_map(|(target, worker)| {
            let rate = worker.limit?.rate;
            Some(Change::TargetLimit(
                target.clone(),
                worker.incarnation,
                Some(rate),
            ))
        })
    }

    /// Returns the full view.
    pub(crate) fn full_view(&self) -> Vec<Change> {
        let state = self.state;
        let targets = state.fleet().iter();
        let targets = targets.filter_map(|it| self.target(&it.announcement.target));
        let replicas = state.replicas().iter();
        let replicas = replicas.filter_map(|it| self.replica(it.id));
        let observed = self.workers.values().flat_map(|it| it.observed(self.now));
        let strikes = state.strikes().iter().map(|count| self.strike(count));
        let mut changes: Vec<Change> = self.settings().into_iter().collect();
        changes.extend(self.table());
        changes.extend(targets.map(Change::Target));
        changes.extend(self.hosting.cold_start_estimates());
        changes.extend(replicas.chain(observed).map(Change::Replica));
        changes.extend(self.leases.iter().filter_map(|lease| self.entry(lease)));
        changes.extend(strikes);
        changes.extend(self.sections());
        changes.extend(self.target_limits());
        changes
    }
}

/// Returns the load time from a storage tier, in milliseconds for each gibibyte.
fn ms_per_gib(loading: &Loading, from: Stage) -> u64 {
    match from {
        Stage::Remote => loading.remote_ms_per_gib,
        Stage::Disk => loading.disk_ms_per_gib,
        Stage::Memory | Stage::Loading | Stage::Ready => loading.memory_ms_per_gib,
    }
}
