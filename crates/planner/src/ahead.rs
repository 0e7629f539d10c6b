//! Loads ahead of calls that are expected soon.

use cornelhitch_types::target::Stage;

use crate::catalog::Entry;
use crate::decision::Reason;
use crate::history::History;
use crate::keep::Facts;
use crate::need::{Key, Need};
use crate::round::Round;

impl Round<'_> {
    /// Loads models whose next call is expected soon enough, once a gap.
    pub fn ahead(&mut self) {
        let catalog = self.policy.catalog.iter();
        let expected: Vec<Entry> = catalog
            .filter(|entry| self.expects(entry))
            .cloned()
            .collect();
        for entry in expected {
            self.load_ahead(&entry);
        }
    }

    /// Whether a call of a model that is not loaded is expected soon.
    fn expects(&self, entry: &Entry) -> bool {
        let model = &entry.model.name;
        let Some(history) = self.history(model) else {
            return false;
        };
        let absent = entry.managed && !history.ahead && self.scene.decided(model) == 0;
        let waiting = || self.needs.iter().any(|need| need.key.model == *model);
        absent && !waiting() && self.policy.keep.ahead(&self.absent(entry, history))
    }

    /// What decides on a model that is not loaded.
    fn absent<'b>(&'b self, entry: &Entry, history: &'b History) -> Facts<'b> {
        Facts {
            history,
            cold: self.cold(entry, history, Stage::Remote),
            accelerators: entry.model.accelerators,
            idle: history.idle(self.now),
            keeping: &self.policy.catalog.fleet().keeping,
            rules: entry.rules,
        }
    }

    /// Loads one model where it has room and the store is free.
    fn load_ahead(&mut self, entry: &Entry) {
        let model = &entry.model.name;
        let Some(region) = self.history(model).and_then(|h| h.region.clone()) else {
            return;
        };
        let key = Key {
            model: model.clone(),
            version: entry.model.version.clone(),
        };
        let need = Need::expected(key, region);
        let workers = self.scene.picture.workers.len();
        if self.budget < workers {
            return;
        }
        let place = self.search(&need, entry);
        self.spend(workers, place.as_ref());
        if let Some(history) = self.policy.histories.get_mut(model) {
            history.ahead = true;
        }
        let Some(place) = place else {
            return;
        };
        let free = place.from != Stage::Remote || self.policy.store.open();
        if place.blocked || !free || entry.rules.replicas == 0 {
            return;
        }
        self.take(&need, entry, &place, Reason::Expected);
    }
}
