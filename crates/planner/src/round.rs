//! One call of the planner, step by step.

use std::time::Duration;

use cornelhitch_types::id::{ModelId, Name, Time};
use cornelhitch_types::target::Stage;

use crate::catalog::Entry;
use crate::decision::{Action, Decision, Reason};
use crate::history::History;
use crate::keep::Facts;
use crate::need::Need;
use crate::pending::What;
use crate::picture::Replica;
use crate::place::stage;
use crate::policy::Policy;
use crate::scene::Scene;

/// One call of the planner.
pub(crate) struct Round<'a> {
    pub policy: &'a mut Policy,
    pub scene: Scene<'a>,
    pub needs: &'a [Need],
    pub now: Time,
    pub decisions: Vec<Decision>,
}

impl Round<'_> {
    /// What it costs to push a replica out, or none where it must stay.
    pub fn price(&self, replica: &Replica) -> Option<Duration> {
        let entry = self.policy.catalog.get(&replica.model)?;
        if !entry.managed || replica.running > 0 || self.asked(replica) {
            return None;
        }
        let unknown = History::default();
        let history = self.history(&replica.model).unwrap_or(&unknown);
        self.policy.keep.price(&self.facts(replica, entry, history))
    }

    /// Whether requests wait for a replica's model.
    pub fn asked(&self, replica: &Replica) -> bool {
        self.needs.iter().any(|need| {
            need.waiting > 0
                && need.key.model == replica.model
                && need.key.version == replica.version
        })
    }

    /// What decides on an idle replica.
    pub fn facts<'b>(
        &'b self,
        replica: &Replica,
        entry: &Entry,
        history: &'b History,
    ) -> Facts<'b> {
        let worker = self.scene.worker(&replica.target);
        let from = worker.map_or(Stage::Remote, |worker| {
            stage(self.scene.at(worker), &replica.model)
        });
        let ready = replica.ready.unwrap_or(replica.decided);
        let last = replica.used.max(ready);
        Facts {
            history,
            cold: self.policy.store.load(replica.bytes, from),
            accelerators: entry.model.accelerators,
            idle: self.now.saturating_sub(last),
            keeping: &self.policy.catalog.fleet().keeping,
            rules: entry.rules,
        }
    }

    /// What is known of a model's calls.
    pub fn history(&self, model: &str) -> Option<&History> {
        self.policy.histories.get(model)
    }

    /// Decides to unload a replica.
    pub fn unload(&mut self, replica: &Replica, reason: Reason, detail: Name) {
        self.scene.unload(replica);
        self.policy
            .pending
            .push(What::Unload(replica.replica), self.now);
        let action = Action::Unload {
            replica: replica.replica,
        };
        self.decide(&replica.model, action, reason, detail);
    }

    /// Notes a decision.
    pub fn decide(&mut self, model: &ModelId, action: Action, reason: Reason, detail: Name) {
        let verb = match &action {
            Action::Load { target, .. } => format!("load on {target}"),
            Action::Unload { replica } => format!("unload replica {replica}"),
            Action::Adapter { replica, .. } => format!("adapter on replica {replica}"),
            Action::Warm { target, .. } => format!("warm on {target}"),
        };
        let text = format!("{verb} ({reason}): {detail}");
        self.policy.notes.add(model, self.now, text.into());
        self.decisions.push(Decision {
            action,
            reason,
            detail,
        });
    }
}
