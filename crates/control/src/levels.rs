//! Demand as reported by the entry hosts; each report replaces the host's previous one.

use std::collections::BTreeMap;

use cornelhitch_planner::picture;
use cornelhitch_types::demand::{Demand, Report};
use cornelhitch_types::id::{HostId, Incarnation, ModelId, Name, RegionId, Time};

/// What a row of demand is for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Subject {
    model: ModelId,
    version: Option<Name>,
}

/// What a row of the planner's input is for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    subject: Subject,
    region: RegionId,
}

/// The newest report of one entry host.
#[derive(Debug)]
struct Level {
    incarnation: Incarnation,
    sequence: u64,
    received: Time,
    stale: bool,
    region: RegionId,
    rows: Vec<Demand>,
    /// The arrival counts last reported, by model and version.
    counted: BTreeMap<Subject, u64>,
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
    pub(crate) slack: Time,
    /// The largest weight of a waiting request.
    pub(crate) weight: u32,
    /// Adapters that waiting requests name.
    pub(crate) adapters: Vec<Name>,
}

impl Total {
    /// Returns the demand for a model without requests.
    fn none() -> Self {
        Self {
            slack: Time::MAX,
            ..Self::default()
        }
    }
}

/// The newest reports of all entry hosts.
#[derive(Debug, Default)]
pub(crate) struct Levels {
    hosts: BTreeMap<HostId, Level>,
    arrivals: BTreeMap<Place, u64>,
    running: Running,
    /// The part of `running` that was reported by hosts now out of contact.
    stale: Running,
    /// Arrivals by model since the start of this term.
    arrived: BTreeMap<ModelId, u64>,
}

impl Levels {
    /// Handles a report; returns whether more requests wait for some model than before.
    pub(crate) fn take(&mut self, report: Report, now: Time) -> bool {
        let old = self.hosts.remove(&report.host);
        let mut counted = BTreeMap::new();
        let mut before = Vec::new();
        if let Some(old) = old {
            let newest = (old.incarnation, old.sequence);
            if (report.incarnation, report.sequence) <= newest {
                self.hosts.insert(report.host, old);
                return false;
            }
            self.running.take(&old.rows);
            if old.stale {
                self.stale.take(&old.rows);
            }
            before = old.rows;
            if report.incarnation == old.incarnation {
                counted = old.counted;
            }
        }
        let grown = report.rows.iter().any(|row| grows(row, &before));
        self.count_arrivals(&report, &mut counted);
        self.running.add(&report.rows);
        let level = Level {
            incarnation: report.incarnation,
            sequence: report.sequence,
            received: now,
            stale: false,
            region: report.region,
            rows: report.rows,
            counted,
        };
        self.hosts.insert(report.host, level);
        grown
    }

    /// Drops the requests that wait on hosts without a report since `waiting`, and those that run
    /// on hosts without a report since `running`; their sequence numbers stay.
    ///
    /// A host out of contact continues the requests it has in progress, while those that wait there
    /// cannot be sent anywhere.
    pub(crate) fn expire(&mut self, waiting: Time, running: Time) {
        for level in self.hosts.values_mut() {
            if level.received < waiting && !level.stale {
                level.stale = true;
                self.stale.add(&level.rows);
                level.rows.iter_mut().for_each(|row| row.waiting = 0);
            }
            if level.received < running {
                self.running.take(&level.rows);
                self.stale.take(&level.rows);
                level.rows.clear();
            }
        }
    }

    /// Returns whether a host has reported since a time.
    pub(crate) fn is_heard(&self, host: HostId, since: Time) -> bool {
        let level = self.hosts.get(&host);
        level.is_some_and(|level| level.received >= since)
    }

    /// Returns the requests in progress on replicas of a model.
    pub(crate) fn running(&self, model: &str) -> u32 {
        self.running.get(model)
    }

    /// Returns the requests in progress on replicas of a model, as reported by hosts in contact.
    pub(crate) fn fresh(&self, model: &str) -> u32 {
        self.running
            .get(model)
            .saturating_sub(self.stale.get(model))
    }

    /// Returns the demand for each model, summed over the hosts.
    pub(crate) fn totals(&self) -> BTreeMap<ModelId, Total> {
        let mut totals: BTreeMap<ModelId, Total> = BTreeMap::new();
        for row in self.hosts.values().flat_map(|level| &level.rows) {
            let total = totals.entry(row.model.clone()).or_insert_with(Total::none);
            if row.waiting > 0 {
                total.slack = total.slack.min(row.slack);
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
        for (model, arrived) in &self.arrived {
            let total = totals.entry(model.clone()).or_insert_with(Total::none);
            total.arrivals = *arrived;
        }
        totals
    }

    /// Returns the rows of the planner's input; arrivals count since the last call.
    pub(crate) fn rows(&mut self) -> Vec<picture::Demand> {
        let mut rows: BTreeMap<Place, picture::Demand> = BTreeMap::new();
        for level in self.hosts.values() {
            for demand in &level.rows {
                let place = Place {
                    subject: Subject::of(demand),
                    region: level.region.clone(),
                };
                let row = rows.entry(place).or_insert_with_key(empty);
                add(row, demand, level.received);
            }
        }
        for (place, arrivals) in std::mem::take(&mut self.arrivals) {
            let row = rows.entry(place).or_insert_with_key(empty);
            row.arrivals += arrivals;
        }
        rows.into_values().collect()
    }

    /// Counts arrivals since the last report of the same incarnation.
    fn count_arrivals(&mut self, report: &Report, counted: &mut BTreeMap<Subject, u64>) {
        for row in &report.rows {
            let subject = Subject::of(row);
            let seen = counted.insert(subject.clone(), row.arrivals);
            // A host's first report to this leader counts only what waits, because the previous
            // leader may already have counted older arrivals.
            let base = seen.unwrap_or(row.arrivals.saturating_sub(u64::from(row.waiting)));
            let place = Place {
                subject,
                region: report.region.clone(),
            };
            let new = row.arrivals.saturating_sub(base);
            *self.arrived.entry(row.model.clone()).or_default() += new;
            *self.arrivals.entry(place).or_default() += new;
        }
    }
}

/// Requests in progress by model.
#[derive(Debug, Default)]
struct Running(BTreeMap<ModelId, u32>);

impl Running {
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
    fn take(&mut self, rows: &[Demand]) {
        for row in rows {
            let sum = self.0.entry(row.model.clone()).or_default();
            *sum = sum.saturating_sub(row.running);
        }
    }
}

impl Subject {
    /// Returns the subject of a row.
    fn of(demand: &Demand) -> Self {
        Self {
            model: demand.model.clone(),
            version: demand.version.clone(),
        }
    }
}

/// Returns whether more requests wait than in the previous rows.
fn grows(row: &Demand, before: &[Demand]) -> bool {
    let same = |old: &&Demand| old.model == row.model && old.version == row.version;
    let old = before.iter().find(same);
    row.waiting > old.map_or(0, |old| old.waiting)
}

/// Returns a row without requests.
fn empty(place: &Place) -> picture::Demand {
    picture::Demand {
        model: place.subject.model.clone(),
        version: place.subject.version.clone(),
        region: place.region.clone(),
        waiting: 0,
        running: 0,
        deadline: Time::MAX,
        weight: 0,
        arrivals: 0,
        adapters: Vec::new(),
    }
}

/// Adds one host's demand to a row.
fn add(row: &mut picture::Demand, demand: &Demand, received: Time) {
    row.waiting = row.waiting.saturating_add(demand.waiting);
    row.running = row.running.saturating_add(demand.running);
    if demand.waiting > 0 {
        row.deadline = row.deadline.min(received.saturating_add(demand.slack));
        row.weight = row.weight.max(demand.weight);
    }
    for adapter in &demand.adapters {
        if !row.adapters.contains(adapter) {
            row.adapters.push(adapter.clone());
        }
    }
}
