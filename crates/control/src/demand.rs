//! Demand as reported by the entry hosts; each report replaces the host's previous one.

use std::collections::BTreeMap;

use cornelhitch_planner::fleet_state;
use cornelhitch_types::demand::{Demand, DemandReport};
use cornelhitch_types::id::{HostId, Incarnation, ModelId, Name, RegionId, Time};

/// The model and version of a demand row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct DemandKey {
    model: ModelId,
    version: Option<Name>,
}

/// The model, version and region of a row of the planner's input.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct RegionalKey {
    key: DemandKey,
    region: RegionId,
}

/// The newest report of one entry host.
#[derive(Debug)]
struct HostDemand {
    incarnation: Incarnation,
    sequence: u64,
    received: Time,
    stale: bool,
    region: RegionId,
    rows: Vec<Demand>,
    /// The arrival counts last reported, by model and version.
    arrivals_reported: BTreeMap<DemandKey, u64>,
}

/// The demand of all entry hosts for one model.
#[derive(Debug, Clone, Default)]
pub(crate) struct Total {
    /// Requests that wait.
    pub(crate) waiting: u32,
    /// Requests in progress.
    pub(crate) running: u32,
    /// Arrivals since the start of this term.
    pub(crate) arrivals: u64,
    /// The time until the nearest deadline of a waiting request.
    pub(crate) time_to_deadline: Time,
    /// The largest weight of a waiting request.
    pub(crate) weight: u32,
    /// Adapters that waiting requests name.
    pub(crate) adapters: Vec<Name>,
}

impl Total {
    /// Returns the demand for a model without requests.
    fn none() -> Self {
        Self {
            time_to_deadline: Time::MAX,
            ..Self::default()
        }
    }
}

/// The newest reports of all entry hosts.
#[derive(Debug, Default)]
pub(crate) struct DemandTracker {
    hosts: BTreeMap<HostId, HostDemand>,
    arrivals: BTreeMap<RegionalKey, u64>,
    running: RunningCounts,
    /// The part of `running` that was reported by hosts now out of contact.
    stale: RunningCounts,
    /// Arrivals by model since the start of this term.
    total_arrivals: BTreeMap<ModelId, u64>,
}

impl DemandTracker {
    /// Handles a report; returns whether more requests wait for some model than before.
    pub(crate) fn on_report(&mut self, report: DemandReport, now: Time) -> bool {
        let old = self.hosts.remove(&report.host);
        let mut arrivals_reported = BTreeMap::new();
        let mut before = Vec::new();
        if let Some(old) = old {
            let newest = (old.incarnation, old.sequence);
            if (report.incarnation, report.sequence) <= newest {
                self.hosts.insert(report.host, old);
                return false;
            }
            self.running.subtract(&old.rows);
            if old.stale {
                self.stale.subtract(&old.rows);
            }
            before = old.rows;
            if report.incarnation == old.incarnation {
                arrivals_reported = old.arrivals_reported;
            }
        }
        let grown = report
            .rows
            .iter()
            .any(|row| is_waiting_increased(row, &before));
        self.count_arrivals(&report, &mut arrivals_reported);
        self.running.add(&report.rows);
        let host = HostDemand {
            incarnation: report.incarnation,
            sequence: report.sequence,
            received: now,
            stale: false,
            region: report.region,
            rows: report.rows,
            arrivals_reported,
        };
        self.hosts.insert(report.host, host);
        grown
    }

    /// Drops the requests waiting on hosts without a report since `waiting`, and those in progress on
    /// hosts without a report since `running`; the sequence numbers of the hosts are kept.
    ///
    /// A host out of contact continues the requests it has in progress, while those that wait there
    /// cannot be sent anywhere.
    pub(crate) fn expire(&mut self, waiting: Time, running: Time) {
        for host in self.hosts.values_mut() {
            if host.received < waiting && !host.stale {
                host.stale = true;
                self.stale.add(&host.rows);
                host.rows.iter_mut().for_each(|row| row.waiting = 0);
            }
            if host.received < running {
                self.running.subtract(&host.rows);
                self.stale.subtract(&host.rows);
                host.rows.clear();
            }
        }
    }

    /// Returns whether a host has reported since a time.
    pub(crate) fn has_reported_since(&self, host: HostId, since: Time) -> bool {
        let host = self.hosts.get(&host);
        host.is_some_and(|host| host.received >= since)
    }

    /// Returns the requests in progress on replicas of a model.
    pub(crate) fn running(&self, model: &str) -> u32 {
        self.running.get(model)
    }

    /// Returns the requests in progress on replicas of a model, as reported by hosts in contact.
    pub(crate) fn running_in_contact(&self, model: &str) -> u32 {
        self.running
            .get(model)
            .saturating_sub(self.stale.get(model))
    }

    /// Returns the demand for each model, summed over the hosts.
    pub(crate) fn totals(&self) -> BTreeMap<ModelId, Total> {
        let mut totals: BTreeMap<ModelId, Total> = BTreeMap::new();
        for row in self.hosts.values().flat_map(|host| &host.rows) {
            let total = totals.entry(row.model.clone()).or_insert_with(Total::none);
            if row.waiting > 0 {
                total.time_to_deadline = total.time_to_deadline.min(row.time_to_deadline);
            }
            total.waiting = total.waiting.saturating_add(row.waiting);
            total.running = total.running.saturating_add(row.running);
            total.weight = total.weight.max(row.weight);
            for adapter in &row.adapters {
                if !total.adapters.contains(adapter) {
                    total.adapters.push(adapter.clone());
                }
            }
        }
        for (model, total_arrivals) in &self.total_arrivals {
            let total = totals.entry(model.clone()).or_insert_with(Total::none);
            total.arrivals = *total_arrivals;
        }
        totals
    }

    /// Returns the rows of the planner's input; arrivals count since the last call.
    pub(crate) fn rows(&mut self) -> Vec<fleet_state::Demand> {
        let mut rows: BTreeMap<RegionalKey, fleet_state::Demand> = BTreeMap::new();
        for host in self.hosts.values() {
            for demand in &host.rows {
                let regional = RegionalKey {
                    key: DemandKey::of(demand),
                    region: host.region.clone(),
                };
                let row = rows.entry(regional).or_insert_with_key(empty_row);
                add_demand(row, demand, host.received);
            }
        }
        for (regional, arrivals) in std::mem::take(&mut self.arrivals) {
            let row = rows.entry(regional).or_insert_with_key(empty_row);
            row.arrivals += arrivals;
        }
        rows.into_values().collect()
    }

    /// Counts arrivals since the last report of the same incarnation.
    fn count_arrivals(
        &mut self,
        report: &DemandReport,
        arrivals_reported: &mut BTreeMap<DemandKey, u64>,
    ) {
        for row in &report.rows {
            let key = DemandKey::of(row);
            let seen = arrivals_reported.insert(key.clone(), row.arrivals);
            // A host's first report to this leader counts only waiting requests, because the previous
            // leader may already have counted older arrivals.
            let base = seen.unwrap_or(row.arrivals.saturating_sub(u64::from(row.waiting)));
            let regional = RegionalKey {
                key,
                region: report.region.clone(),
            };
            let new = row.arrivals.saturating_sub(base);
            *self.total_arrivals.entry(row.model.clone()).or_default() += new;
            *self.arrivals.entry(regional).or_default() += new;
        }
    }
}

/// Requests in progress by model.
#[derive(Debug, Default)]
struct RunningCounts(BTreeMap<ModelId, u32>);

impl RunningCounts {
    /// Returns the requests in progress for a model.
    fn get(&self, model: &str) -> u32 {
        self.0.get(model).copied().unwrap_or(0)
    }

    /// Adds the requests of some rows.
    fn add(&mut self, rows: &[Demand]) {
        for row in rows {
            let sum = self.0.entry(row.model.clone()).or_default();
            *sum = sum.saturating_add(row.running);
        }
    }

    /// Subtracts the requests of rows that were added before.
    fn subtract(&mut self, rows: &[Demand]) {
        for row in rows {
            let sum = self.0.entry(row.model.clone()).or_default();
            *sum = sum.saturating_sub(row.running);
        }
    }
}

impl DemandKey {
    /// Returns the key of a row.
    fn of(demand: &Demand) -> Self {
        Self {
            model: demand.model.clone(),
            version: demand.version.clone(),
        }
    }
}

/// Returns whether more requests wait than in the previous rows.
fn is_waiting_increased(row: &Demand, before: &[Demand]) -> bool {
    let same = |old: &&Demand| old.model == row.model && old.version == row.version;
    let old = before.iter().find(same);
    row.waiting > old.map_or(0, |old| old.waiting)
}

/// Returns a row without requests.
fn empty_row(regional: &RegionalKey) -> fleet_state::Demand {
    fleet_state::Demand {
        model: regional.key.model.clone(),
        version: regional.key.version.clone(),
        region: regional.region.clone(),
        waiting: 0,
        running: 0,
        deadline: Time::MAX,
        weight: 0,
        arrivals: 0,
        adapters: Vec::new(),
    }
}

/// Adds one host's demand to a row.
fn add_demand(row: &mut fleet_state::Demand, demand: &Demand, received: Time) {
    row.waiting = row.waiting.saturating_add(demand.waiting);
    row.running = row.running.saturating_add(demand.running);
    if demand.waiting > 0 {
        row.deadline = row
            .deadline
            .min(received.saturating_add(demand.time_to_deadline));
        row.weight = row.weight.max(demand.weight);
    }
    for adapter in &demand.adapters {
        if !row.adapters.contains(adapter) {
            row.adapters.push(adapter.clone());
        }
    }
}
