//! One call of the planner, step by step.

use std::time::Duration;

use cornelhitch_types::id::{ModelId, Name, Time};
use cornelhitch_types::target::Stage;

use crate::catalog::Entry;
use crate::decision::{Action, Decision, Reason};
use crate::history::History;
use crate::keep::Facts;
use crate::need::Need;
use crate::number::time;
use crate::pending::What;
use crate::picture::Replica;
use crate::place::stage;
use crate::policy::Policy;
use crate::scene::Scene;

/// How long a busy replica takes to end its requests where none has been seen.
const DRAIN: Duration = Duration::from_secs(30);

/// One call of the planner.
pub(crate) struct Round<'a> {
    pub policy: &'a mut Policy,
    pub scene: Scene<'a>,
    pub needs: &'a [Need],
    pub now: Time,
    pub decisions: Vec<Decision>,
    /// Workers that may still be weighed in this call.
    pub budget: usize,
}

impl<'a> Round<'a> {
    /// What it costs to push a replica out, or none where it must stay.
    pub fn price(&self, replica: &Replica, need: &Need) -> Option<Duration> {
        let entry = self.policy.catalog.get(&replica.model)?;
        if !entry.managed {
            return None;
        }
        let unknown = History::default();
        let history = self.history(&replica.model).unwrap_or(&unknown);
        let facts = self.facts(replica, entry, history);
        if replica.running == 0 && !self.asked(replica) {
            return self.policy.keep.price(&facts);
        }
        // Its requests end on it, and those that wait stay in the queue.
        let movable = entry.patient && need.waiting > 0 && need.weight > entry.weight;
        let drain = history.service.map_or(DRAIN, time);
        movable.then(|| drain.saturating_add(facts.cold))
    }

    /// Whether requests wait for a replica's model.
    pub fn asked(&self, replica: &Replica) -> bool {
        self.need(replica).is_some_and(|need| need.waiting > 0)
    }

    /// Whether there is any demand for a replica's model and version.
    pub fn named(&self, replica: &Replica) -> bool {
        self.need(replica).is_some()
    }

    /// The demand for a replica's model and version.
    fn need(&self, replica: &Replica) -> Option<&Need> {
        let names = (&*replica.model, replica.version.as_deref());
        let find = |need: &Need| (&*need.key.model, need.key.version.as_deref()).cmp(&names);
        let place = self.needs.binary_search_by(find).ok()?;
        self.needs.get(place)
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
            cold: self.cold(entry, history, from),
            accelerators: entry.model.accelerators,
            idle: self.now.saturating_sub(last),
            keeping: &self.policy.catalog.fleet().keeping,
            rules: entry.rules,
        }
    }

    /// How long the next cold start of a model would take.
    ///
    /// What its loads took goes before the stage of its nearest copy now, since
    /// that copy may be pushed out before the next call.
    pub fn cold(&self, entry: &Entry, history: &History, from: Stage) -> Duration {
        let staged = self.policy.store.load(entry.model.bytes, from);
        history.load.unwrap_or(staged)
    }

    /// What is known of a model's calls.
    pub fn history(&self, model: &str) -> Option<&History> {
        self.policy.histories.get(model)
    }

    /// Decides to unload a replica.
    pub fn unload(&mut self, replica: &'a Replica, reason: Reason, detail: Name) {
        self.scene.unload(replica);
        self.policy.pending.push(
            What::Unload(replica.replica, replica.target.clone()),
            self.now,
        );
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
