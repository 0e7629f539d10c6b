//! The state and shared helpers of one planning pass.

use std::time::Duration;

use cornelhitch_types::id::{ModelId, Name, Time};
use cornelhitch_types::target::Stage;

use crate::catalog::ModelEntry;
use crate::convert::duration_from_secs;
use crate::decision::{Action, Decision, Reason};
use crate::demand::ModelDemand;
use crate::fleet_index::FleetIndex;
use crate::fleet_state::Replica;
use crate::history::RequestHistory;
use crate::keep_alive::KeepAliveInputs;
use crate::pending::PendingAction;
use crate::placement::nearest_stage;
use crate::policy::Policy;

/// Assumed drain time of a busy replica whose request duration is not known yet.
const DEFAULT_DRAIN_TIME: Duration = Duration::from_secs(30);

/// One planning pass: collects the decisions of one call of the planner.
pub(crate) struct PlanningPass<'a> {
    pub policy: &'a mut Policy,
    pub fleet: FleetIndex<'a>,
    pub demands: &'a [ModelDemand],
    pub now: Time,
    pub decisions: Vec<Decision>,
    /// Workers that may still be examined for placement in this pass.
    pub budget: usize,
}

impl<'a> PlanningPass<'a> {
    /// Returns the cost of evicting a replica for the requests of `demand`, or `None` if it must
    /// stay.
    pub fn eviction_cost(&self, replica: &Replica, demand: &ModelDemand) -> Option<Duration> {
        let entry = self.policy.catalog.get(&replica.model)?;
        if !entry.managed {
            return None;
        }
        let unknown = RequestHistory::default();
        let history = self.history(&replica.model).unwrap_or(&unknown);
        let inputs = self.keep_alive_inputs(replica, entry, history);
        if replica.running == 0 && !self.has_waiting_requests(replica) {
            return self.policy.keep_alive.eviction_cost(&inputs);
        }
        // Running requests finish during the drain, and waiting requests stay in the queue.
        let movable = entry.patient && demand.waiting > 0 && demand.weight > entry.weight;
        let drain = history
            .service_s
            .map_or(DEFAULT_DRAIN_TIME, duration_from_secs);
        movable.then(|| drain.saturating_add(inputs.cold_start))
    }

    /// Returns whether requests are waiting for the replica's model and version.
    pub fn has_waiting_requests(&self, replica: &Replica) -> bool {
        self.demand(replica)
            .is_some_and(|demand| demand.waiting > 0)
    }

    /// Returns whether there is any demand for the replica's model and version.
    pub fn has_demand(&self, replica: &Replica) -> bool {
        self.demand(replica).is_some()
    }

    /// Returns the demand for the replica's model and version.
    fn demand(&self, replica: &Replica) -> Option<&ModelDemand> {
        let names = (&*replica.model, replica.version.as_deref());
        let find =
            |demand: &ModelDemand| (&*demand.key.model, demand.key.version.as_deref()).cmp(&names);
        let position = self.demands.binary_search_by(find).ok()?;
        self.demands.get(position)
    }

    /// Collects the keep-alive inputs of a replica.
    pub fn keep_alive_inputs<'b>(
        &'b self,
        replica: &Replica,
        entry: &ModelEntry,
        history: &'b RequestHistory,
    ) -> KeepAliveInputs<'b> {
        let worker = self.fleet.worker_index(&replica.target);
        let from = worker.map_or(Stage::Remote, |worker| {
            nearest_stage(self.fleet.worker(worker), &replica.model)
        });
        let ready = replica.ready_at.unwrap_or(replica.decided_at);
        let last = replica.last_used.max(ready);
        KeepAliveInputs {
            history,
            cold_start: self.cold_start_time(entry, history, from),
            accelerators: entry.model.accelerators,
            idle: self.now.saturating_sub(last),
            keeping: &self.policy.catalog.fleet().keeping,
            rules: entry.rules,
        }
    }

    /// Returns the expected duration of the next cold start of a model.
    ///
    /// The average of its past loads takes precedence over an estimate from the nearest copy,
    /// since that copy may be evicted before the next request.
    pub fn cold_start_time(
        &self,
        entry: &ModelEntry,
        history: &RequestHistory,
        from: Stage,
    ) -> Duration {
        let staged = self.policy.store.load_time(entry.model.bytes, from);
        history.load_time.unwrap_or(staged)
    }

    /// Returns the request statistics of a model, or `None` if it was never requested.
    pub fn history(&self, model: &str) -> Option<&RequestHistory> {
        self.policy.histories.get(model)
    }

    /// Records the decision to unload a replica.
    pub fn unload(&mut self, replica: &'a Replica, reason: Reason, detail: Name) {
        self.fleet.apply_unload(replica);
        self.policy.pending.push(
            PendingAction::Unload(replica.replica, replica.target.clone()),
            self.now,
        );
        let action = Action::Unload {
            replica: replica.replica,
        };
        self.record(&replica.model, action, reason, detail);
    }

    /// Appends a decision and logs it for operators.
    pub fn record(&mut self, model: &ModelId, action: Action, reason: Reason, detail: Name) {
        let verb = match &action {
            Action::Load { target, .. } => format!("load on {target}"),
            Action::Unload { replica } => format!("unload replica {replica}"),
            Action::Adapter { replica, .. } => format!("adapter on replica {replica}"),
            Action::Warm { target, .. } => format!("warm on {target}"),
        };
        let text = format!("{verb} ({reason}): {detail}");
        self.policy.decision_log.add(model, self.now, text.into());
        self.decisions.push(Decision {
            action,
            reason,
            detail,
        });
    }
}
