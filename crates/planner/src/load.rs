//! Loads for waiting requests.

use cornelhitch_types::target::Stage;
use cornelhitch_types::view::State;

use crate::catalog::Entry;
use crate::decision::{Action, Reason};
use crate::need::Need;
use crate::pending::What;
use crate::picture::Replica;
use crate::place::{Place, Search};
use crate::policy::seconds;
use crate::round::Round;
use crate::scale::{Supply, missing};

impl<'a> Round<'a> {
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
}
