//! Where to load a model: the worker on which it is expected to be ready first.

use std::time::Duration;

use cornelhitch_types::id::Time;
use cornelhitch_types::target::Stage;
use cornelhitch_types::view::State;

use crate::catalog::{Catalog, Entry};
use crate::need::Need;
use crate::picture::{Replica, Worker};
use crate::scene::{Index, Scene};
use crate::store::Store;

/// How long a worker takes to free the memory of an idle replica.
const UNLOAD: Duration = Duration::from_secs(1);
/// What a worker in another region than most callers counts as, in time to be ready.
const FAR: Duration = Duration::from_secs(1);
/// What a second replica in the same zone counts as, in time to be ready.
const CROWDED: Duration = Duration::from_secs(2);

/// Where to load a model, and what has to leave first.
#[derive(Debug, Clone, PartialEq)]
pub struct Place<'a> {
    /// The worker.
    pub worker: Index,
    /// Where the weights come from.
    pub from: Stage,
    /// When the model is expected to be ready, from now.
    pub ready: Duration,
    /// Replicas that must be unloaded first.
    pub evict: Vec<&'a Replica>,
    /// Whether the load must wait until memory is freed.
    pub blocked: bool,
    /// What the place costs, in time to be ready.
    score: Duration,
}

/// What unloading a replica costs, in time to be ready, or none where it must stay.
pub type Price<'a> = &'a dyn Fn(&Replica) -> Option<Duration>;

/// What is asked of a place.
#[derive(Clone, Copy)]
pub struct Search<'a, 'b> {
    /// The fleet.
    pub scene: &'b Scene<'a>,
    /// The settings.
    pub catalog: &'b Catalog,
    /// The weight store.
    pub store: &'b Store,
    /// What evictions cost.
    pub price: Price<'b>,
    /// The time.
    pub now: Time,
}

/// When a model would be ready from each stage, the wait for the store counted in.
struct Times {
    remote: Duration,
    disk: Duration,
    memory: Duration,
}

impl Times {
    /// The times of a model of that size.
    fn new(store: &Store, bytes: u64) -> Self {
        let remote = store.load(bytes, Stage::Remote);
        Self {
            remote: remote.saturating_add(store.wait(bytes)),
            disk: store.load(bytes, Stage::Disk),
            memory: store.load(bytes, Stage::Memory),
        }
    }

    /// The time from a stage.
    fn of(&self, stage: Stage) -> Duration {
        match stage {
            Stage::Remote => self.remote,
            Stage::Disk => self.disk,
            Stage::Memory | Stage::Loading | Stage::Ready => self.memory,
        }
    }
}

impl<'a> Search<'a, '_> {
    /// The best place for one more replica, or none where it fits nowhere.
    #[must_use]
    pub fn best(&self, need: &Need, entry: &Entry) -> Option<Place<'a>> {
        let zones = self.zones(need);
        let times = Times::new(self.store, entry.model.bytes);
        let holders = self.scene.holders(&entry.model.name);
        let workers = self.scene.picture.workers.iter().enumerate();
        let mut best: Option<Place<'a>> = None;
        for (index, worker) in workers {
            if holders[index] || !self.allowed(worker, entry) {
                continue;
            }
            let Some(mut place) = self.place(index, &times, entry, best.as_ref()) else {
                continue;
            };
            place.score = place.score.saturating_add(detour(need, worker, &zones));
            if best.as_ref().is_none_or(|best| place.score < best.score) {
                best = Some(place);
            }
        }
        best
    }

    /// Whether a worker may get a replica of a model at all.
    fn allowed(&self, worker: &Worker, entry: &Entry) -> bool {
        let model = &entry.model;
        let quiet = || {
            let mut quiet = worker.quiet.iter();
            quiet.any(|quiet| quiet.model == model.name && self.now < quiet.until)
        };
        worker.open
            && worker.memory >= model.bytes
            && worker.accelerators >= model.accelerators
            && !quiet()
    }

    /// Zones that have a replica of the model already.
    fn zones(&self, need: &Need) -> Vec<&'a str> {
        if !self.catalog.fleet().placing.spread {
            return Vec::new();
        }
        let staying = self.scene.staying(&need.key);
        let workers = staying.filter_map(|replica| self.scene.worker(&replica.target));
        let mut zones: Vec<&str> = workers.map(|worker| &*self.scene.at(worker).zone).collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    /// The place on one worker, or none where it cannot beat `best` or nothing may leave.
    fn place(
        &self,
        index: Index,
        times: &Times,
        entry: &Entry,
        best: Option<&Place>,
    ) -> Option<Place<'a>> {
        let bytes = entry.model.bytes;
        let from = stage(self.scene.at(index), &entry.model.name);
        let ready = times.of(from);
        if best.is_some_and(|best| best.score <= ready) {
            return None;
        }
        let mut place = Place {
            worker: index,
            from,
            ready,
            evict: Vec::new(),
            blocked: false,
            score: ready,
        };
        let room = self.scene.room(index);
        if room.free >= bytes {
            return Some(place);
        }
        place.blocked = true;
        place.ready = ready.saturating_add(self.drain(index));
        place.score = place.ready;
        let short = bytes.saturating_sub(room.free.saturating_add(room.coming));
        if short > 0 {
            let (evict, price) = self.evict(index, short)?;
            place.evict = evict;
            place.score = place.score.saturating_add(price);
        }
        Some(place)
    }

    /// How long replicas on their way out may still take.
    fn drain(&self, index: Index) -> Duration {
        let busy = self
            .scene
            .on(index)
            .any(|replica| self.scene.leaving(replica) && replica.running > 0);
        if busy { UNLOAD * 10 } else { UNLOAD }
    }

    /// The cheapest replicas that give back enough memory, and what they cost.
    fn evict(&self, index: Index, short: u64) -> Option<(Vec<&'a Replica>, Duration)> {
        let mut offers: Vec<(Duration, &Replica)> = self
            .scene
            .on(index)
            .filter(|replica| !self.scene.leaving(replica) && replica.state == State::Ready)
            .filter_map(|replica| (self.price)(replica).map(|price| (price, replica)))
            .collect();
        offers.sort_by_key(|(price, replica)| (*price, replica.replica));
        let mut taken = Vec::new();
        let mut freed = 0;
        let mut total = Duration::ZERO;
        for (price, replica) in offers {
            if freed >= short {
                break;
            }
            freed += replica.bytes;
            total = total.saturating_add(price);
            taken.push((price, replica));
        }
        if freed < short {
            return None;
        }
        // A cheap one taken early may no longer be needed once a large one is in.
        taken.retain(|(price, replica)| {
            let spare = freed - replica.bytes >= short;
            if spare {
                freed -= replica.bytes;
                total = total.saturating_sub(*price);
            }
            !spare
        });
        let replicas = taken.into_iter().map(|(_, replica)| replica).collect();
        Some((replicas, total))
    }
}

/// Where the nearest copy of a model on a worker is.
#[must_use]
pub fn stage(worker: &Worker, model: &str) -> Stage {
    let copies = worker.copies.iter().filter(|copy| *copy.model == *model);
    copies.map(|copy| copy.stage).max().unwrap_or(Stage::Remote)
}

/// What region and zone of a worker cost, in time to be ready.
fn detour(need: &Need, worker: &Worker, zones: &[&str]) -> Duration {
    let mut detour = Duration::ZERO;
    if worker.region != need.region {
        detour += FAR;
    }
    if zones.contains(&&*worker.zone) {
        detour += CROWDED;
    }
    detour
}
