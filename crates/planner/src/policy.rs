//! The planner: loads models that requests wait for or are expected for, and unloads idle ones.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cornelhitch_types::id::{ModelId, Time};

use crate::Planner;
use crate::catalog::Catalog;
use crate::decision::Decision;
use crate::decision_log::DecisionLog;
use crate::demand::{ModelDemand, ModelVersion, aggregate_demand};
use crate::fleet_index::FleetIndex;
use crate::fleet_state::FleetState;
use crate::history::RequestHistory;
use crate::keep_alive::{CostBased, KeepAlivePolicy};
use crate::pass::PlanningPass;
use crate::pending::PendingDecisions;
use crate::weight_store::WeightStore;

/// Upper bound on the workers examined for placement in one call; what remains is left for the
/// next call.
pub(crate) const SEARCH_BUDGET: usize = 40_000;

/// The planner of the fleet.
///
/// ```
/// use std::time::Duration;
/// use cornelhitch_planner::Planner;
/// use cornelhitch_planner::fleet_state::FleetState;
/// use cornelhitch_planner::policy::Policy;
///
/// let mut policy = Policy::default();
/// let decisions = policy.plan(&FleetState::default(), Duration::from_secs(1));
/// assert!(decisions.is_empty());
/// ```
pub struct Policy {
    pub(crate) keep_alive: Box<dyn KeepAlivePolicy>,
    pub(crate) catalog: Catalog,
    pub(crate) histories: BTreeMap<ModelId, RequestHistory>,
    pub(crate) store: WeightStore,
    pub(crate) pending: PendingDecisions,
    pub(crate) decision_log: DecisionLog,
    /// Models for which the last search found no worker.
    pub(crate) unplaced: BTreeSet<ModelVersion>,
}

impl Default for Policy {
    fn default() -> Self {
        Self::new(Box::new(CostBased))
    }
}

impl Policy {
    /// Creates a planner with the given keep-alive policy.
    #[must_use]
    pub fn new(keep_alive: Box<dyn KeepAlivePolicy>) -> Self {
        Self {
            keep_alive,
            catalog: Catalog::default(),
            histories: BTreeMap::new(),
            store: WeightStore::default(),
            pending: PendingDecisions::default(),
            decision_log: DecisionLog::default(),
            unplaced: BTreeSet::new(),
        }
    }

    /// Updates the state kept between calls from the current fleet state.
    fn observe(&mut self, fleet: &mut FleetIndex, demands: &[ModelDemand], now: Time) {
        self.pending.remove_confirmed(fleet, now);
        fleet.apply_pending(&self.pending);
        self.store.observe(fleet.fleet_state, &self.pending, now);
        let catalog = &self.catalog;
        self.histories
            .retain(|model, _| catalog.get(model).is_some());
        self.unplaced.retain(|key| {
            demands
                .binary_search_by_key(&key, |demand| &demand.key)
                .is_ok()
        });
        for demand in demands {
            if self.catalog.get(&demand.key.model).is_none() {
                continue;
            }
            let history = self.histories.entry(demand.key.model.clone());
            history.or_default().observe(demand, now);
        }
        for finish in self.store.finished() {
            if let Some(history) = self.histories.get_mut(&finish.model) {
                history.record_load(finish.took);
            }
        }
    }
}

impl Planner for Policy {
    fn plan(&mut self, fleet_state: &FleetState, now: Time) -> Vec<Decision> {
        self.catalog.refresh(&fleet_state.settings);
        let demands = aggregate_demand(&fleet_state.demand, &self.catalog);
        let mut fleet = FleetIndex::new(fleet_state);
        self.observe(&mut fleet, &demands, now);
        let mut pass = PlanningPass {
            policy: self,
            fleet,
            demands: &demands,
            now,
            decisions: Vec::new(),
            budget: SEARCH_BUDGET,
        };
        pass.unload_disallowed();
        pass.load_waiting();
        pass.load_adapters();
        pass.unload_idle();
        pass.preload();
        pass.decisions
    }

    fn explain(&self, model: &str, now: Time) -> Vec<String> {
        let mut lines = Vec::new();
        let Some(entry) = self.catalog.get(model) else {
            lines.push(format!("{model} is not in the settings"));
            return lines;
        };
        if !entry.managed {
            lines.push(format!("{model} belongs to a group that is not managed"));
        }
        if let Some(history) = self.histories.get(model) {
            lines.push(format!(
                "{model} was last called {} s ago; {:.1} gaps seen, {:.1} requests a call",
                history.idle(now).as_secs(),
                history.gaps.weight,
                history.delayed_requests(),
            ));
        }
        for entry in self.decision_log.entries(model) {
            let ago = now.saturating_sub(entry.at);
            lines.push(format!("{} s ago: {}", ago.as_secs(), entry.text));
        }
        lines
    }
}

/// Formats a duration in seconds for operators.
pub(crate) fn format_seconds(time: Duration) -> String {
    format!("{:.1} s", time.as_secs_f64())
}
