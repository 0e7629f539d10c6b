//! Adapters on ready replicas.

use cornelhitch_types::id::Name;
use cornelhitch_types::view::State;

use crate::decision::{Action, Reason};
use crate::need::Need;
use crate::pending::{What, same};
use crate::picture::Replica;
use crate::round::Round;

impl Round<'_> {
    /// Loads adapters that waiting requests name onto ready replicas.
    pub fn adapters(&mut self) {
        let limit = self.policy.catalog.fleet().loading.adapters_in_flight;
        let pending = u32::try_from(self.policy.pending.adapters()).unwrap_or(u32::MAX);
        let in_flight = self.scene.picture.adapters_in_flight;
        let mut left = limit.saturating_sub(in_flight.saturating_add(pending));
        let mut waiting: Vec<&Need> = self
            .needs
            .iter()
            .filter(|need| need.waiting > 0 && !need.adapters.is_empty())
            .collect();
        waiting.sort_by_key(|need| (need.urgency(self.now), &need.key));
        for need in waiting {
            for adapter in &need.adapters {
                if left == 0 {
                    return;
                }
                if self.adapter(need, adapter) {
                    left -= 1;
                }
            }
        }
    }

    /// Loads one adapter, if no replica has it or gets it.
    fn adapter(&mut self, need: &Need, adapter: &Name) -> bool {
        let entry = self.policy.catalog.get(&need.key.model);
        if !entry.is_some_and(|entry| entry.managed && entry.model.adapters.contains(adapter)) {
            return false;
        }
        let ready = |replica: &&Replica| replica.state == State::Ready;
        let replicas: Vec<&Replica> = self.scene.staying(&need.key).filter(ready).collect();
        if replicas.iter().any(|r| r.adapters.contains(adapter)) || self.adapting(need, adapter) {
            return false;
        }
        let near = |replica: &Replica| {
            let worker = self.scene.worker(&replica.target);
            worker.is_some_and(|worker| self.scene.at(worker).region == need.region)
        };
        let best = replicas
            .into_iter()
            .min_by_key(|replica| (!near(replica), replica.running, replica.replica));
        let Some(best) = best else {
            return false;
        };
        let what = What::Adapter {
            replica: best.replica,
            target: best.target.clone(),
            adapter: adapter.clone(),
        };
        self.policy.pending.push(what, self.now);
        let action = Action::Adapter {
            replica: best.replica,
            adapter: adapter.clone(),
        };
        let detail = format!("requests wait for adapter {adapter}");
        self.decide(&need.key.model, action, Reason::Waiting, detail.into());
        true
    }

    /// Whether the load of an adapter onto a model is pending.
    fn adapting(&self, need: &Need, adapter: &Name) -> bool {
        self.policy.pending.iter().any(|what| match what {
            What::Adapter {
                replica,
                target,
                adapter: known,
            } => {
                let replica = || self.scene.find(*replica, target);
                known == adapter && replica().is_some_and(|r| same(r, &need.key))
            }
            What::Load { .. } | What::Unload(..) | What::Warm(..) => false,
        })
    }
}
