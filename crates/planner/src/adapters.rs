//! Loads adapters onto ready replicas.

use cornelhitch_types::id::Name;
use cornelhitch_types::view::State;

use crate::decision::{Action, Reason};
use crate::demand::ModelDemand;
use crate::fleet_state::Replica;
use crate::pass::PlanningPass;
use crate::pending::{PendingAction, matches_version};

impl PlanningPass<'_> {
    /// Loads the adapters that waiting requests name, the most urgent first.
    pub fn load_adapters(&mut self) {
        let limit = self.policy.catalog.fleet().loading.adapters_in_flight;
        let pending = u32::try_from(self.policy.pending.adapter_loads()).unwrap_or(u32::MAX);
        let in_flight = self.fleet.fleet_state.adapters_in_flight;
        let mut loads_left = limit.saturating_sub(in_flight.saturating_add(pending));
        let mut waiting: Vec<&ModelDemand> = self
            .demands
            .iter()
            .filter(|demand| demand.waiting > 0 && !demand.adapters.is_empty())
            .collect();
        waiting.sort_by_key(|demand| (demand.urgency(self.now), &demand.key));
        for demand in waiting {
            for adapter in &demand.adapters {
                if loads_left == 0 {
                    return;
                }
                if self.load_adapter(demand, adapter) {
                    loads_left -= 1;
                }
            }
        }
    }

    /// Loads one adapter unless a replica has it or is getting it; returns whether it did.
    fn load_adapter(&mut self, demand: &ModelDemand, adapter: &Name) -> bool {
        let entry = self.policy.catalog.get(&demand.key.model);
        if !entry.is_some_and(|entry| entry.managed && entry.model.adapters.contains(adapter)) {
            return false;
        }
        let ready = |replica: &&Replica| replica.state == State::Ready;
        let replicas: Vec<&Replica> = self
            .fleet
            .staying_replicas(&demand.key)
            .filter(ready)
            .collect();
        if replicas.iter().any(|r| r.adapters.contains(adapter))
            || self.is_loading_adapter(demand, adapter)
        {
            return false;
        }
        let in_region = |replica: &Replica| {
            let worker = self.fleet.worker_index(&replica.target);
            worker.is_some_and(|worker| self.fleet.worker(worker).region == demand.region)
        };
        let best = replicas
            .into_iter()
            .min_by_key(|replica| (!in_region(replica), replica.running, replica.replica));
        let Some(best) = best else {
            return false;
        };
        let action = PendingAction::Adapter {
            replica: best.replica,
            target: best.target.clone(),
            adapter: adapter.clone(),
        };
        self.policy.pending.push(action, self.now);
        let action = Action::Adapter {
            replica: best.replica,
            adapter: adapter.clone(),
        };
        let detail = format!("requests wait for adapter {adapter}");
        self.record(&demand.key.model, action, Reason::Waiting, detail.into());
        true
    }

    /// Returns whether a load of the adapter onto the model is pending.
    fn is_loading_adapter(&self, demand: &ModelDemand, adapter: &Name) -> bool {
        self.policy.pending.iter().any(|action| match action {
            PendingAction::Adapter {
                replica,
                target,
                adapter: known,
            } => {
                let replica = || self.fleet.find_replica(*replica, target);
                known == adapter && replica().is_some_and(|r| matches_version(r, &demand.key))
            }
            PendingAction::Load { .. } | PendingAction::Unload(..) | PendingAction::Warm(..) => {
                false
            }
        })
    }
}
