//! One call of the planner, step by step.

use std::time::Duration;

use cornelhitch_types::id::{ModelId, Name, Time};
use cornelhitch_types::target::Stage;
use cornelhitch_types::view::State;

use crate::catalog::Entry;
use crate::decision::{Action, Decision, Reason};
use crate::history::History;
use crate::keep::Facts;
use crate::need::{Key, Need};
use crate::pending::What;
use crate::picture::Replica;
use crate::place::{Place, Search, stage};
use crate::policy::{Policy, seconds};
use crate::scale::{Supply, missing};
use crate::scene::Scene;

/// One call of the planner.
pub(crate) struct Round<'a> {
    pub policy: &'a mut Policy,
    pub scene: Scene<'a>,
    pub needs: &'a [Need],
    pub now: Time,
    pub decisions: Vec<Decision>,
}

impl<'a> Round<'a> {
    /// Unloads what the settings no longer allow.
    pub fn settings(&mut self) {
        let picture = self.scene.picture;
        for replica in &picture.replicas {
            if self.scene.leaving(replica) || replica.state != State::Ready {
                continue;
            }
            let reason = match self.policy.catalog.get(&replica.model) {
                None => Some((Reason::Settings, "the model is no longer in the settings")),
                Some(entry) if entry.managed => self.outdated(replica, entry),
                Some(_) => None,
            };
            if let Some((reason, detail)) = reason {
                self.unload(replica, reason, detail.into());
            }
        }
    }

    /// Why the settings no longer allow a replica, if they do not.
    fn outdated(&self, replica: &Replica, entry: &Entry) -> Option<(Reason, &'static str)> {
        if self.staying(&replica.model) > entry.rules.replicas {
            return Some((Reason::Settings, "the settings allow fewer replicas"));
        }
        let current = replica.version == entry.model.version;
        let asked = self
            .needs
            .iter()
            .any(|need| need.key.model == replica.model && need.key.version == replica.version);
        let quiet = self.now.saturating_sub(replica.used) >= entry.rules.minimum;
        if !current && !asked && quiet && replica.running == 0 {
            return Some((Reason::Version, "another version is in force"));
        }
        None
    }

    /// Replicas of a model that stay, in any version.
    fn staying(&self, model: &str) -> u32 {
        let of = self.scene.of(model);
        let staying = of.filter(|replica| !self.scene.leaving(replica));
        u32::try_from(staying.count()).unwrap_or(u32::MAX)
    }

    /// Loads what waiting requests need, the most urgent first.
    pub fn loads(&mut self) {
        let mut waiting: Vec<&Need> = self.needs.iter().filter(|need| need.waiting > 0).collect();
        waiting.sort_by_key(|need| (need.urgency(self.now), &need.key));
        for need in waiting {
            self.load(need);
        }
    }

    /// Loads one model as often as its demand needs.
    fn load(&mut self, need: &Need) {
        let Some(entry) = self.policy.catalog.get(&need.key.model).cloned() else {
            return;
        };
        if !entry.managed {
            return;
        }
        let allowed = entry.rules.replicas;
        let room = allowed.saturating_sub(self.scene.decided(&need.key.model));
        if room == 0 {
            return;
        }
        let supply = self.supply(need, &entry);
        let burst = supply.ready + supply.loading > 0;
        for _ in 0..missing(need, &supply, self.now).min(room) {
            let Some(place) = self.search(need, &entry) else {
                return;
            };
            self.take(need, &entry, &place, burst);
        }
    }

    /// The replicas that a model has.
    fn supply(&self, need: &Need, entry: &Entry) -> Supply {
        let store = &self.policy.store;
        let mut supply = Supply {
            ready: 0,
            loading: self.scene.loads(&need.key),
            next: store.load(entry.model.bytes, Stage::Remote),
            more: store.load(entry.model.bytes, Stage::Remote),
            concurrency: entry.rules.concurrency,
            service: self.history(&need.key.model).and_then(|h| h.service),
        };
        for replica in self.scene.staying(&need.key) {
            if replica.state == State::Ready {
                supply.ready += 1;
                continue;
            }
            supply.loading += 1;
            let whole = store.load(replica.bytes, replica.from);
            let left = whole.saturating_sub(self.now.saturating_sub(replica.decided));
            supply.next = supply.next.min(left);
        }
        supply
    }

    /// The best place for one more replica.
    fn search(&self, need: &Need, entry: &Entry) -> Option<Place<'a>> {
        let price = |replica: &Replica| self.price(replica);
        let search = Search {
            scene: &self.scene,
            catalog: &self.policy.catalog,
            store: &self.policy.store,
            price: &price,
            now: self.now,
        };
        search.best(need, entry)
    }

    /// What it costs to push a replica out, or none where it must stay.
    fn price(&self, replica: &Replica) -> Option<Duration> {
        let entry = self.policy.catalog.get(&replica.model)?;
        if !entry.managed || replica.running > 0 || self.asked(replica) {
            return None;
        }
        let unknown = History::default();
        let history = self.history(&replica.model).unwrap_or(&unknown);
        self.policy.keep.price(&self.facts(replica, entry, history))
    }

    /// Whether requests wait for a replica's model.
    fn asked(&self, replica: &Replica) -> bool {
        self.needs.iter().any(|need| {
            need.waiting > 0
                && need.key.model == replica.model
                && need.key.version == replica.version
        })
    }

    /// What decides on an idle replica.
    fn facts<'b>(&'b self, replica: &Replica, entry: &Entry, history: &'b History) -> Facts<'b> {
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
    fn history(&self, model: &str) -> Option<&History> {
        self.policy.histories.get(model)
    }

    /// Acts on a place: evicts, waits for memory, or loads.
    fn take(&mut self, need: &Need, entry: &Entry, place: &Place<'a>, burst: bool) {
        for replica in &place.evict {
            let detail = format!("{} waits for its memory", need.key.model);
            self.unload(replica, Reason::Preempted, detail.into());
        }
        let bytes = entry.model.bytes;
        if place.blocked {
            self.scene.claim(place.worker, bytes);
            return;
        }
        let remote = place.from == Stage::Remote;
        if remote && !self.policy.store.open() {
            self.scene.claim(place.worker, bytes);
            return;
        }
        let target = self.scene.at(place.worker).target.clone();
        if remote {
            self.policy.store.start(&need.key.model, &target, self.now);
        }
        self.scene.load(&need.key, place.worker, bytes);
        let what = What::Load {
            key: need.key.clone(),
            target: target.clone(),
            bytes,
            from: place.from,
        };
        self.policy.pending.push(what, self.now);
        let detail = format!(
            "{} requests wait, the nearest deadline is in {}; ready from {} in {}",
            need.waiting,
            seconds(need.deadline.saturating_sub(self.now)),
            place.from,
            seconds(place.ready),
        );
        let action = Action::Load {
            model: need.key.model.clone(),
            version: need.key.version.clone(),
            target,
            bytes,
        };
        let reason = if burst {
            Reason::Burst
        } else {
            Reason::Waiting
        };
        self.decide(&need.key.model, action, reason, detail.into());
    }

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
        let has = |replica: &&Replica| {
            let pending = What::Adapter(replica.replica, adapter.clone());
            replica.adapters.contains(adapter)
                || self.policy.pending.iter().any(|what| *what == pending)
        };
        if replicas.iter().any(has) {
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
        let what = What::Adapter(best.replica, adapter.clone());
        self.policy.pending.push(what, self.now);
        let action = Action::Adapter {
            replica: best.replica,
            adapter: adapter.clone(),
        };
        let detail = format!("requests wait for adapter {adapter}");
        self.decide(&need.key.model, action, Reason::Waiting, detail.into());
        true
    }

    /// Unloads idle replicas that are not worth their accelerators.
    pub fn idle(&mut self) {
        let picture = self.scene.picture;
        for replica in &picture.replicas {
            let idle = replica.state == State::Ready && replica.running == 0;
            if !idle || self.scene.leaving(replica) || self.asked(replica) {
                continue;
            }
            let Some(entry) = self.policy.catalog.get(&replica.model) else {
                continue;
            };
            if !entry.managed {
                continue;
            }
            let unknown = History::default();
            let history = self.history(&replica.model).unwrap_or(&unknown);
            let facts = self.facts(replica, entry, history);
            if facts.idle < facts.rules.minimum {
                continue;
            }
            let surplus = self.policy.keep.surplus();
            if surplus.is_some_and(|after| facts.idle >= after) && self.others(replica) {
                let detail = format!("idle for {}, others stand in", seconds(facts.idle));
                self.unload(replica, Reason::Surplus, detail.into());
                continue;
            }
            let verdict = self.policy.keep.verdict(&facts);
            if verdict.keep.is_zero() {
                let detail = format!(
                    "idle for {}, its next cold start would take {}",
                    seconds(facts.idle),
                    seconds(facts.cold),
                );
                self.unload(replica, Reason::Idle, detail.into());
            }
        }
    }

    /// Whether other ready replicas of the model have room for its requests.
    fn others(&self, replica: &Replica) -> bool {
        let key = Key {
            model: replica.model.clone(),
            version: replica.version.clone(),
        };
        let mut others = self
            .scene
            .staying(&key)
            .filter(|other| other.replica != replica.replica && other.state == State::Ready);
        others.next().is_some()
    }

    /// Decides to unload a replica.
    fn unload(&mut self, replica: &Replica, reason: Reason, detail: Name) {
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
    fn decide(&mut self, model: &ModelId, action: Action, reason: Reason, detail: Name) {
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
