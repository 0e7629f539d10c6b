//! Unloads replicas that the settings no longer allow or that are too expensive to keep idle.

use cornelhitch_types::view::State;

use crate::catalog::ModelEntry;
use crate::decision::Reason;
use crate::fleet_state::Replica;
use crate::history::RequestHistory;
use crate::pass::PlanningPass;
use crate::policy::format_seconds;

impl<'a> PlanningPass<'a> {
    /// Unloads replicas that the settings no longer allow.
    pub fn unload_disallowed(&mut self) {
        let fleet_state = self.fleet.fleet_state;
        for replica in &fleet_state.replicas {
            if self.fleet.is_leaving(replica) || replica.state != State::Ready {
                continue;
            }
            let reason = match self.policy.catalog.get(&replica.model) {
                None => Some((Reason::Settings, "the model is no longer in the settings")),
                Some(entry) if entry.managed => self.disallowed_reason(replica, entry),
                Some(_) => None,
            };
            if let Some((reason, detail)) = reason {
                self.unload(replica, reason, detail.into());
            }
        }
    }

    /// Returns why the settings no longer allow a replica, or `None` if they do.
    fn disallowed_reason(
        &self,
        replica: &'a Replica,
        entry: &ModelEntry,
    ) -> Option<(Reason, &'static str)> {
        if self.fleet.staying_count(&replica.model) > entry.rules.replicas
            && self.is_least_busy(replica)
        {
            return Some((Reason::Settings, "the settings allow fewer replicas"));
        }
        let current = replica.version == entry.model.version;
        let idle = self.now.saturating_sub(replica.last_used) >= entry.rules.minimum;
        if !current && !self.has_demand(replica) && idle && replica.running == 0 {
            return Some((Reason::Version, "another version is in force"));
        }
        None
    }

    /// Returns whether no other remaining replica of the model has fewer running requests.
    fn is_least_busy(&self, replica: &Replica) -> bool {
        let mut others = self.fleet.replicas_of(&replica.model);
        !others.any(|other| !self.fleet.is_leaving(other) && other.running < replica.running)
    }

    /// Unloads idle replicas that cost more than their next cold start.
    pub fn unload_idle(&mut self) {
        let fleet_state = self.fleet.fleet_state;
        for replica in &fleet_state.replicas {
            let idle = replica.state == State::Ready && replica.running == 0;
            if !idle || self.fleet.is_leaving(replica) || self.has_waiting_requests(replica) {
                continue;
            }
            let Some(entry) = self.policy.catalog.get(&replica.model) else {
                continue;
            };
            if !entry.managed {
                continue;
            }
            let unknown = RequestHistory::default();
            let history = self.history(&replica.model).unwrap_or(&unknown);
            let inputs = self.keep_alive_inputs(replica, entry, history);
            if inputs.idle < inputs.rules.minimum {
                continue;
            }
            let surplus = self.policy.keep_alive.surplus_timeout();
            if surplus.is_some_and(|after| inputs.idle >= after)
                && self.fleet.has_other_ready(replica)
            {
                let detail = format!("idle for {}, others stand in", format_seconds(inputs.idle));
                self.unload(replica, Reason::Surplus, detail.into());
                continue;
            }
            let keep_alive = self.policy.keep_alive.decide(&inputs);
            if keep_alive.keep.is_zero() {
                let detail = format!(
                    "idle for {}, its next cold start would take {}",
                    format_seconds(inputs.idle),
                    format_seconds(inputs.cold_start),
                );
                self.unload(replica, Reason::Idle, detail.into());
            }
        }
    }
}
