//! Loads models that requests are waiting for.

use std::time::Duration;

use cornelhitch_types::target::Stage;
use cornelhitch_types::view::State;

use crate::catalog::ModelEntry;
use crate::decision::{Action, Reason};
use crate::demand::ModelDemand;
use crate::fleet_state::Replica;
use crate::pass::PlanningPass;
use crate::pending::PendingAction;
use crate::placement::{Placement, PlacementSearch};
use crate::policy::{SEARCH_BUDGET, format_seconds};
use crate::scale::{Supply, additional_replicas};

/// Budget cost of a search that has to examine evictions, relative to one that does not.
const EVICTION_SEARCH_COST: usize = 8;

impl<'a> PlanningPass<'a> {
    /// Loads the models that requests are waiting for, the most urgent first.
    pub fn load_waiting(&mut self) {
        let mut waiting: Vec<&ModelDemand> = self
            .demands
            .iter()
            .filter(|demand| demand.waiting > 0)
            .collect();
        // Models for which no worker was found are tried last, so that they cannot use up the
        // search budget.
        waiting.sort_by_key(|demand| {
            let unplaced = self.policy.unplaced.contains(&demand.key);
            (unplaced, demand.urgency(self.now), &demand.key)
        });
        for demand in waiting {
            self.load_model(demand);
        }
    }

    /// Loads as many replicas of one model as its demand needs and the settings allow.
    fn load_model(&mut self, demand: &ModelDemand) {
        let Some(entry) = self.policy.catalog.get(&demand.key.model).cloned() else {
            return;
        };
        if !entry.managed {
            return;
        }
        let allowed = entry.rules.replicas;
        let allowed_more = allowed.saturating_sub(self.fleet.replica_count(&demand.key.model));
        let supply = self.supply(demand, &entry);
        let missing = additional_replicas(demand, &supply, self.now);
        if missing > 0 && allowed_more == 0 {
            self.log(demand, "no more replicas: the settings allow no more");
        }
        let reason = if supply.ready + supply.loading > 0 {
            Reason::Burst
        } else {
            Reason::Waiting
        };
        for _ in 0..missing.min(allowed_more) {
            let workers = self.fleet.fleet_state.workers.len();
            if self.budget < workers && self.budget < SEARCH_BUDGET {
                return;
            }
            let placement = self.search(demand, &entry);
            self.charge_budget(workers, placement.as_ref());
            let Some(placement) = placement else {
                self.policy.unplaced.insert(demand.key.clone());
                self.log(
                    demand,
                    "not loaded: it fits on no worker that may be loaded now",
                );
                return;
            };
            self.policy.unplaced.remove(&demand.key);
            self.execute(demand, &entry, &placement, reason);
        }
    }

    /// Deducts a search from the budget; one that had to examine evictions costs more.
    pub fn charge_budget(&mut self, workers: usize, placement: Option<&Placement>) {
        let full = placement.is_none_or(|placement| placement.blocked);
        let cost = if full {
            workers * EVICTION_SEARCH_COST
        } else {
            workers
        };
        self.budget = self.budget.saturating_sub(cost);
    }

    /// Summarises the existing and pending replicas of a model.
    fn supply(&self, demand: &ModelDemand, entry: &ModelEntry) -> Supply {
        let store = &self.policy.store;
        let loads = self.fleet.pending_loads(&demand.key);
        let pending = if loads > 0 {
            store.load_time(entry.model.bytes, Stage::Remote)
        } else {
            Duration::MAX
        };
        let mut supply = Supply {
            ready: 0,
            loading: loads,
            next_ready: pending,
            additional_ready: store.load_time(entry.model.bytes, Stage::Remote),
            concurrency: entry.rules.concurrency,
            service_s: self.history(&demand.key.model).and_then(|h| h.service_s),
        };
        for replica in self.fleet.staying_replicas(&demand.key) {
            if replica.state == State::Ready {
                supply.ready += 1;
                continue;
            }
            supply.loading += 1;
            let load_time = store.load_time(replica.bytes, replica.from);
            let elapsed = self.now.saturating_sub(replica.decided_at);
            supply.next_ready = supply.next_ready.min(remaining(load_time, elapsed));
        }
        supply
    }

    /// Returns the best worker for one more replica.
    pub fn search(&self, demand: &ModelDemand, entry: &ModelEntry) -> Option<Placement<'a>> {
        let eviction_cost = |replica: &Replica| self.eviction_cost(replica, demand);
        let search = PlacementSearch {
            fleet: &self.fleet,
            catalog: &self.policy.catalog,
            store: &self.policy.store,
            eviction_cost: &eviction_cost,
            now: self.now,
        };
        search.best(demand, entry)
    }

    /// Acts on a placement: evicts, reserves memory that is being freed, or loads.
    pub fn execute(
        &mut self,
        demand: &ModelDemand,
        entry: &ModelEntry,
        placement: &Placement<'a>,
        reason: Reason,
    ) {
        for replica in &placement.evict {
            let detail = format!("{} waits for its memory", demand.key.model);
            self.unload(replica, Reason::Preempted, detail.into());
        }
        let bytes = entry.model.bytes;
        if placement.blocked {
            self.fleet.reserve(placement.worker, bytes);
            self.log(demand, "not loaded yet: it waits until memory is freed");
            return;
        }
        let remote = placement.from == Stage::Remote;
        if remote && !self.policy.store.can_start() {
            self.fleet.reserve(placement.worker, bytes);
            self.log(demand, "not loaded yet: it waits for the weight store");
            return;
        }
        let target = self.fleet.worker(placement.worker).target.clone();
        if remote {
            self.policy
                .store
                .record_start(&demand.key.model, &target, self.now);
        }
        self.fleet.apply_load(&demand.key, placement.worker, bytes);
        let action = PendingAction::Load {
            key: demand.key.clone(),
            target: target.clone(),
            bytes,
            from: placement.from,
        };
        self.policy.pending.push(action, self.now);
        let detail = self.load_detail(demand, placement);
        let action = Action::Load {
            model: demand.key.model.clone(),
            version: demand.key.version.clone(),
            target,
            bytes,
        };
        self.record(&demand.key.model, action, reason, detail.into());
    }

    /// Logs why a model with waiting requests is not loaded.
    fn log(&mut self, demand: &ModelDemand, why: &str) {
        let log = &mut self.policy.decision_log;
        log.add(&demand.key.model, self.now, why.into());
    }

    /// Describes the figures behind a load.
    fn load_detail(&self, demand: &ModelDemand, placement: &Placement) -> String {
        let ready = format_seconds(placement.ready);
        if demand.waiting == 0 {
            return format!(
                "a call is expected; ready from {} in {ready}",
                placement.from
            );
        }
        let time_left = format_seconds(demand.deadline.saturating_sub(self.now));
        format!(
            "{} requests wait, the nearest deadline is in {time_left}; ready from {} in {ready}",
            demand.waiting, placement.from,
        )
    }
}

/// Returns the remaining time of a load; an overdue one is assumed to take as long again as it has
/// taken so far.
fn remaining(expected: Duration, elapsed: Duration) -> Duration {
    expected.checked_sub(elapsed).unwrap_or(elapsed)
}
