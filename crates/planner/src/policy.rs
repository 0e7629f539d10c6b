//! The planner: it loads what is asked for, keeps what is worth it, and unloads the rest.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cornelhitch_types::id::{ModelId, Time};

use crate::Planner;
use crate::catalog::Catalog;
use crate::decision::Decision;
use crate::history::History;
use crate::keep::{Keep, Weighed};
use crate::need::{Key, Need, needs};
use crate::notes::Notes;
use crate::pending::Pending;
use crate::picture::Picture;
use crate::round::Round;
use crate::scene::Scene;
use crate::store::Store;

/// Workers that are weighed in one call at most; what is left over waits for the next.
pub(crate) const BUDGET: usize = 40_000;

/// The planner.
///
/// ```
/// use std::time::Duration;
/// use cornelhitch_planner::Planner;
/// use cornelhitch_planner::picture::Picture;
/// use cornelhitch_planner::policy::Policy;
///
/// let mut policy = Policy::default();
/// let decisions = policy.plan(&Picture::default(), Duration::from_secs(1));
/// assert!(decisions.is_empty());
/// ```
pub struct Policy {
    pub(crate) keep: Box<dyn Keep>,
    pub(crate) catalog: Catalog,
    pub(crate) histories: BTreeMap<ModelId, History>,
    pub(crate) store: Store,
    pub(crate) pending: Pending,
    pub(crate) notes: Notes,
    /// Models that fitted nowhere when they were last looked at.
    pub(crate) unplaced: BTreeSet<Key>,
}

impl Default for Policy {
    fn default() -> Self {
        Self::new(Box::new(Weighed))
    }
}

impl Policy {
    /// A planner with a keeping policy of its own.
    #[must_use]
    pub fn new(keep: Box<dyn Keep>) -> Self {
        Self {
            keep,
            catalog: Catalog::default(),
            histories: BTreeMap::new(),
            store: Store::default(),
            pending: Pending::default(),
            notes: Notes::default(),
            unplaced: BTreeSet::new(),
        }
    }

    /// Takes over what the picture shows.
    fn observe(&mut self, scene: &mut Scene, needs: &[Need], now: Time) {
        self.pending.settle(scene, now);
        scene.count(&self.pending);
        self.store.observe(scene.picture, &self.pending, now);
        let catalog = &self.catalog;
        self.histories
            .retain(|model, _| catalog.get(model).is_some());
        self.unplaced
            .retain(|key| needs.binary_search_by_key(&key, |need| &need.key).is_ok());
        for need in needs {
            if self.catalog.get(&need.key.model).is_none() {
                continue;
            }
            let history = self.histories.entry(need.key.model.clone());
            history.or_default().observe(need, now);
        }
        for finish in self.store.finished() {
            if let Some(history) = self.histories.get_mut(&finish.model) {
                history.loaded(finish.took);
            }
        }
    }
}

impl Planner for Policy {
    fn plan(&mut self, picture: &Picture, now: Time) -> Vec<Decision> {
        self.catalog.refresh(&picture.settings);
        let needs = needs(&picture.demand, &self.catalog);
        let mut scene = Scene::new(picture);
        self.observe(&mut scene, &needs, now);
        let mut round = Round {
            policy: self,
            scene,
            needs: &needs,
            now,
            decisions: Vec::new(),
            budget: BUDGET,
        };
        round.settings();
        round.loads();
        round.adapters();
        round.idle();
        round.ahead();
        round.decisions
    }

    fn explain(&self, model: &str, now: Time) -> Vec<String> {
        let mut lines = Vec::new();
        let Some(entry) = self.catalog.get(model) else {
            lines.push(format!("{model} is not in the settings"));
            return lines;
        };
        if !entry.managed {
            lines.push(format!("{model} belongs to a group that is not managed"));
        }
        if let Some(history) = self.histories.get(model) {
            lines.push(format!(
                "{model} was last called {} s ago; {:.1} gaps seen, {:.1} requests a call",
                history.idle(now).as_secs(),
                history.gaps.weight,
                history.hurt(),
            ));
        }
        for note in self.notes.of(model) {
            let ago = now.saturating_sub(note.at);
            lines.push(format!("{} s ago: {}", ago.as_secs(), note.text));
        }
        lines
    }
}

/// A time in seconds, as operators read it.
pub(crate) fn seconds(time: Duration) -> String {
    format!("{:.1} s", time.as_secs_f64())
}
