//! The demand for one model and version, summed over all regions.

use std::collections::BTreeMap;

use cornelhitch_types::id::{ModelId, Name, RegionId, Time};

use crate::catalog::Catalog;
use crate::fleet_state::Demand;

/// A model in one version.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelVersion {
    /// The model's id.
    pub model: ModelId,
    /// The version; `None` if the model has no versions.
    pub version: Option<Name>,
}

/// The requests for one model and version.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelDemand {
    /// The model and version.
    pub key: ModelVersion,
    /// Requests waiting for a replica.
    pub waiting: u32,
    /// Requests in progress.
    pub running: u32,
    /// Requests that arrived since the last call of the planner.
    pub arrivals: u64,
    /// The earliest deadline of the waiting requests; [`Time::MAX`] if none waits.
    pub deadline: Time,
    /// The largest weight of the waiting requests, at least 1.
    pub weight: u32,
    /// The region with the most waiting requests.
    pub region: RegionId,
    /// Adapters that waiting requests name.
    pub adapters: Vec<Name>,
    /// The number of requests waiting in `region`.
    waiting_in_region: u32,
}

impl ModelDemand {
    /// Creates a demand without requests, for a model that is expected to be called from `region`.
    #[must_use]
    pub fn expected(key: ModelVersion, region: RegionId) -> Self {
        Self {
            key,
            waiting: 0,
            running: 0,
            arrivals: 0,
            deadline: Time::MAX,
            weight: 1,
            region,
            adapters: Vec::new(),
            waiting_in_region: 0,
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
        if demand.waiting > self.waiting_in_region {
            self.waiting_in_region = demand.waiting;
            self.region = demand.region.clone();
        }
        for adapter in &demand.adapters {
            if !self.adapters.contains(adapter) {
                self.adapters.push(adapter.clone());
            }
        }
    }

    /// Returns the time left before the earliest deadline, divided by the class weight.
    #[must_use]
    pub fn urgency(&self, now: Time) -> Time {
        self.deadline.saturating_sub(now) / self.weight.max(1)
    }
}

/// Sums the demand of all regions, one entry for each model and version, sorted.
#[must_use]
pub fn aggregate_demand(demand: &[Demand], catalog: &Catalog) -> Vec<ModelDemand> {
    let mut demands: BTreeMap<ModelVersion, ModelDemand> = BTreeMap::new();
    for row in demand {
        let version = row.version.clone();
        let key = ModelVersion {
            model: row.model.clone(),
            version: version.or_else(|| catalog.default_version(&row.model)),
        };
        let fresh = || ModelDemand::expected(key.clone(), row.region.clone());
        demands.entry(key.clone()).or_insert_with(fresh).add(row);
    }
    demands.into_values().collect()
}
