//! The demand of all regions for one model and version.

use std::collections::BTreeMap;

use cornelhitch_types::id::{ModelId, Name, RegionId, Time};

use crate::catalog::Catalog;
use crate::picture::Demand;

/// A model in one version.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// The model.
    pub model: ModelId,
    /// The version, or none where the model has none.
    pub version: Option<Name>,
}

/// What waits and runs for one model and version.
#[derive(Debug, Clone, PartialEq)]
pub struct Need {
    /// The model and version.
    pub key: Key,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests in progress.
    pub running: u32,
    /// Requests that arrived since the last call.
    pub arrivals: u64,
    /// The nearest deadline of a waiting request.
    pub deadline: Time,
    /// The largest weight among waiting requests, at least 1.
    pub weight: u32,
    /// The region where most requests wait.
    pub region: RegionId,
    /// Adapters that waiting requests name.
    pub adapters: Vec<Name>,
    /// Waiting requests of `region`.
    most: u32,
}

impl Need {
    /// No request yet, for a call that is expected from a region.
    #[must_use]
    pub fn expected(key: Key, region: RegionId) -> Self {
        Self {
            key,
            waiting: 0,
            running: 0,
            arrivals: 0,
            deadline: Time::MAX,
            weight: 1,
            region,
            adapters: Vec::new(),
            most: 0,
        }
    }

    /// Adds the demand of one region.
    fn add(&mut self, demand: &Demand) {
        self.waiting = self.waiting.saturating_add(demand.waiting);
        self.running = self.running.saturating_add(demand.running);
        self.arrivals = self.arrivals.saturating_add(demand.arrivals);
        if demand.waiting == 0 {
            return;
        }
        self.deadline = self.deadline.min(demand.deadline);
        self.weight = self.weight.max(demand.weight);
        if demand.waiting > self.most {
            self.most = demand.waiting;
            self.region = demand.region.clone();
        }
        for adapter in &demand.adapters {
            if !self.adapters.contains(adapter) {
                self.adapters.push(adapter.clone());
            }
        }
    }

    /// Time left before the nearest deadline, shorter for heavier classes.
    #[must_use]
    pub fn urgency(&self, now: Time) -> Time {
        self.deadline.saturating_sub(now) / self.weight.max(1)
    }
}

/// The demand of all regions, one row a model and version, in the order of names.
#[must_use]
pub fn needs(demand: &[Demand], catalog: &Catalog) -> Vec<Need> {
    let mut needs: BTreeMap<Key, Need> = BTreeMap::new();
    for row in demand {
        let version = row.version.clone();
        let key = Key {
            model: row.model.clone(),
            version: version.or_else(|| catalog.version(&row.model)),
        };
        let fresh = || Need::expected(key.clone(), row.region.clone());
        needs.entry(key.clone()).or_insert_with(fresh).add(row);
    }
    needs.into_values().collect()
}
