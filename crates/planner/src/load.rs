//! Loads for waiting requests.

use std::time::Duration;

use cornelhitch_types::target::Stage;
use cornelhitch_types::view::State;

use crate::catalog::Entry;
use crate::decision::{Action, Reason};
use crate::need::Need;
use crate::pending::What;
use crate::picture::Replica;
use crate::place::{Place, Search};
use crate::policy::{BUDGET, seconds};
use crate::round::Round;
use crate::scale::{Supply, missing};

/// How many times as long a worker takes to weigh where something must leave first.
const EVICTIONS: usize = 8;

impl<'a> Round<'a> {
    /// Loads what waiting requests need, the most urgent first.
    pub fn loads(&mut self) {
        let mut waiting: Vec<&Need> = self.needs.iter().filter(|need| need.waiting > 0).collect();
        // What fitted nowhere goes last, so that it cannot use up the budget of the others.
        waiting.sort_by_key(|need| {
            let unplaced = self.policy.unplaced.contains(&need.key);
            (unplaced, need.urgency(self.now), &need.key)
        });
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
        let supply = self.supply(need, &entry);
        let missing = missing(need, &supply, self.now);
        if missing > 0 && room == 0 {
            self.note(need, "no more replicas: the settings allow no more");
        }
        let reason = if supply.ready + supply.loading > 0 {
            Reason::Burst
        } else {
            Reason::Waiting
        };
        for _ in 0..missing.min(room) {
            let workers = self.scene.picture.workers.len();
            if self.budget < workers && self.budget < BUDGET {
                return;
            }
            let place = self.search(need, &entry);
            self.spend(workers, place.as_ref());
            let Some(place) = place else {
                self.policy.unplaced.insert(need.key.clone());
                self.note(
                    need,
                    "not loaded: it fits on no worker that may be loaded now",
                );
                return;
            };
            self.policy.unplaced.remove(&need.key);
            self.take(need, &entry, &place, reason);
        }
    }

    /// Takes a search off the budget; one that had to weigh evictions costs more.
    pub fn spend(&mut self, workers: usize, place: Option<&Place>) {
        let full = place.is_none_or(|place| place.blocked);
        let cost = if full { workers * EVICTIONS } else { workers };
        self.budget = self.budget.saturating_sub(cost);
    }

    /// The replicas that a model has.
    fn supply(&self, need: &Need, entry: &Entry) -> Supply {
        let store = &self.policy.store;
        let mut supply = Supply {
            ready: 0,
            loading: self.scene.loads(&need.key),
            next: Duration::MAX,
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
            let elapsed = self.now.saturating_sub(replica.decided);
            supply.next = supply.next.min(remaining(whole, elapsed));
        }
        supply
    }

    /// The best place for one more replica.
    pub fn search(&self, need: &Need, entry: &Entry) -> Option<Place<'a>> {
        let price = |replica: &Replica| self.price(replica, need);
        let search = Search {
            scene: &self.scene,
            catalog: &self.policy.catalog,
            store: &self.policy.store,
            price: &price,
            now: self.now,
        };
        search.best(need, entry)
    }

    /// Acts on a place: evicts, waits for memory, or loads.
    pub fn take(&mut self, need: &Need, entry: &Entry, place: &Place<'a>, reason: Reason) {
        for replica in &place.evict {
            let detail = format!("{} waits for its memory", need.key.model);
            self.unload(replica, Reason::Preempted, detail.into());
        }
        let bytes = entry.model.bytes;
        if place.blocked {
            self.scene.claim(place.worker, bytes);
            self.note(need, "not loaded yet: it waits until memory is freed");
            return;
        }
        let remote = place.from == Stage::Remote;
        if remote && !self.policy.store.open() {
            self.scene.claim(place.worker, bytes);
            self.note(need, "not loaded yet: it waits for the weight store");
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
        let detail = self.why(need, place);
        let action = Action::Load {
            model: need.key.model.clone(),
            version: need.key.version.clone(),
            target,
            bytes,
        };
        self.decide(&need.key.model, action, reason, detail.into());
    }

    /// Notes for operators why a waiting model is not loaded.
    fn note(&mut self, need: &Need, why: &str) {
        let notes = &mut self.policy.notes;
        notes.add(&need.key.model, self.now, why.into());
    }

    /// The figures behind a load.
    fn why(&self, need: &Need, place: &Place) -> String {
        let ready = seconds(place.ready);
        if need.waiting == 0 {
            return format!("a call is expected; ready from {} in {ready}", place.from);
        }
        let left = seconds(need.deadline.saturating_sub(self.now));
        format!(
            "{} requests wait, the nearest deadline is in {left}; ready from {} in {ready}",
            need.waiting, place.from,
        )
    }
}

/// How long a load still takes; one that is overdue may take as long again.
fn remaining(whole: Duration, elapsed: Duration) -> Duration {
    whole.checked_sub(elapsed).unwrap_or(elapsed)
}
