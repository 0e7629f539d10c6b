//! Preloads models before requests that are expected soon.

use cornelhitch_types::target::Stage;

use crate::catalog::ModelEntry;
use crate::decision::Reason;
use crate::demand::{ModelDemand, ModelVersion};
use crate::history::RequestHistory;
use crate::keep_alive::KeepAliveInputs;
use crate::pass::PlanningPass;

impl PlanningPass<'_> {
    /// Preloads models whose next request is expected soon, at most once for each idle gap.
    pub fn preload(&mut self) {
        let catalog = self.policy.catalog.iter();
        let expected: Vec<ModelEntry> = catalog
            .filter(|entry| self.should_preload(entry))
            .cloned()
            .collect();
        for entry in expected {
            self.preload_model(&entry);
        }
    }

    /// Returns whether a model without a replica should be preloaded.
    fn should_preload(&self, entry: &ModelEntry) -> bool {
        let model = &entry.model.name;
        let Some(history) = self.history(model) else {
            return false;
        };
        let absent = entry.managed && !history.preloaded && self.fleet.replica_count(model) == 0;
        let waiting = || self.demands.iter().any(|demand| demand.key.model == *model);
        absent
            && !waiting()
            && self
                .policy
                .keep_alive
                .should_preload(&self.absent_inputs(entry, history))
    }

    /// Collects the keep-alive inputs of a model without a replica.
    fn absent_inputs<'b>(
        &'b self,
        entry: &ModelEntry,
        history: &'b RequestHistory,
    ) -> KeepAliveInputs<'b> {
        KeepAliveInputs {
            history,
            cold_start: self.cold_start_time(entry, history, Stage::Remote),
            accelerators: entry.model.accelerators,
            idle: history.idle(self.now),
            keeping: &self.policy.catalog.fleet().keeping,
            rules: entry.rules,
        }
    }

    /// Preloads one model if a worker has room and the weight store can start a load.
    fn preload_model(&mut self, entry: &ModelEntry) {
        let model = &entry.model.name;
        let Some(region) = self.history(model).and_then(|h| h.region.clone()) else {
            return;
        };
        let key = ModelVersion {
            model: model.clone(),
            version: entry.model.version.clone(),
        };
        let demand = ModelDemand::expected(key, region);
        let workers = self.fleet.fleet_state.workers.len();
        if self.budget < workers {
            return;
        }
        let placement = self.search(&demand, entry);
        self.charge_budget(workers, placement.as_ref());
        if let Some(history) = self.policy.histories.get_mut(model) {
            history.preloaded = true;
        }
        let Some(placement) = placement else {
            return;
        };
        let free = placement.from != Stage::Remote || self.policy.store.can_start();
        if placement.blocked || !free || entry.rules.replicas == 0 {
            return;
        }
        self.execute(&demand, entry, &placement, Reason::Expected);
    }
}
