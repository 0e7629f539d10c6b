//! The picture, indexed for one call of the planner, with its decisions counted in.

use std::collections::{HashMap, HashSet};

use cornelhitch_types::id::ReplicaId;
use cornelhitch_types::view::State;

use crate::need::Key;
use crate::pending::{Pending, What, same};
use crate::picture::{Picture, Replica, Worker};

/// The place of a worker in the picture.
pub type Index = usize;

/// The memory of one worker as decisions change it, in bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Room {
    /// Memory that a load may take now.
    pub free: u64,
    /// Memory that replicas on their way out will give back.
    pub coming: u64,
}

/// The picture, indexed.
#[derive(Debug)]
pub struct Scene<'a> {
    /// The picture.
    pub picture: &'a Picture,
    rooms: Vec<Room>,
    workers: HashMap<&'a str, Index>,
    models: HashMap<&'a str, Vec<usize>>,
    placed: Vec<Vec<usize>>,
    leaving: HashSet<ReplicaId>,
    loads: Vec<(Key, Index)>,
}

impl<'a> Scene<'a> {
    /// Indexes a picture and counts pending decisions in.
    #[must_use]
    pub fn new(picture: &'a Picture, pending: &Pending) -> Self {
        let workers = picture.workers.iter().enumerate();
        let mut scene = Self {
            picture,
            rooms: picture.workers.iter().map(room).collect(),
            workers: workers.map(|(index, w)| (&*w.target, index)).collect(),
            models: HashMap::new(),
            placed: vec![Vec::new(); picture.workers.len()],
            leaving: HashSet::new(),
            loads: Vec::new(),
        };
        for (place, replica) in picture.replicas.iter().enumerate() {
            scene.index(place, replica);
        }
        for what in pending.iter() {
            scene.count(what);
        }
        scene
    }

    /// Indexes one replica.
    fn index(&mut self, place: usize, replica: &'a Replica) {
        let of_model = self.models.entry(&*replica.model).or_default();
        of_model.push(place);
        let Some(worker) = self.worker(&replica.target) else {
            return;
        };
        self.placed[worker].push(place);
        if replica.state == State::Retiring {
            self.rooms[worker].coming += replica.bytes;
        }
    }

    /// Counts one pending decision in.
    fn count(&mut self, what: &What) {
        match what {
            What::Load {
                key, target, bytes, ..
            } => {
                if let Some(worker) = self.worker(target) {
                    self.load(key, worker, *bytes);
                }
            }
            What::Unload(id) => {
                let mut replicas = self.picture.replicas.iter();
                if let Some(replica) = replicas.find(|replica| replica.replica == *id) {
                    self.unload(replica);
                }
            }
            What::Adapter(..) | What::Warm(..) => {}
        }
    }

    /// The index of a worker.
    #[must_use]
    pub fn worker(&self, target: &str) -> Option<Index> {
        self.workers.get(target).copied()
    }

    /// The worker at an index.
    #[must_use]
    pub fn at(&self, index: Index) -> &'a Worker {
        &self.picture.workers[index]
    }

    /// The memory of a worker.
    #[must_use]
    pub fn room(&self, index: Index) -> Room {
        self.rooms[index]
    }

    /// Replicas of a model, in any version and state.
    pub fn of(&self, model: &str) -> impl Iterator<Item = &'a Replica> + use<'a, '_> {
        let places = self.models.get(model).into_iter().flatten();
        places.map(|place| &self.picture.replicas[*place])
    }

    /// Replicas on a worker.
    pub fn on(&self, index: Index) -> impl Iterator<Item = &'a Replica> + use<'a, '_> {
        let places = self.placed[index].iter();
        places.map(|place| &self.picture.replicas[*place])
    }

    /// Whether a replica is on its way out.
    #[must_use]
    pub fn leaving(&self, replica: &Replica) -> bool {
        replica.state == State::Retiring || self.leaving.contains(&replica.replica)
    }

    /// Replicas of a model and version that stay, loading ones included.
    pub fn staying(&self, key: &Key) -> impl Iterator<Item = &'a Replica> + use<'a, '_> {
        let key = key.clone();
        self.of(&key.model.clone())
            .filter(move |replica| same(replica, &key) && !self.leaving(replica))
    }

    /// Loads of a model and version that the picture does not show yet.
    #[must_use]
    pub fn loads(&self, key: &Key) -> u32 {
        let loads = self.loads.iter().filter(|(known, _)| known == key);
        u32::try_from(loads.count()).unwrap_or(u32::MAX)
    }

    /// Replicas of a model that exist or are decided, in any version and state.
    #[must_use]
    pub fn decided(&self, model: &str) -> u32 {
        let loads = self.loads.iter().filter(|(key, _)| *key.model == *model);
        let decided = loads.count() + self.of(model).count();
        u32::try_from(decided).unwrap_or(u32::MAX)
    }

    /// Whether a worker has or gets a replica of a model.
    #[must_use]
    pub fn holds(&self, index: Index, model: &str) -> bool {
        let loads = self.loads.iter();
        self.on(index).any(|replica| *replica.model == *model)
            || loads
                .into_iter()
                .any(|(key, worker)| *worker == index && *key.model == *model)
    }

    /// Counts a load in.
    pub fn load(&mut self, key: &Key, worker: Index, bytes: u64) {
        let room = &mut self.rooms[worker];
        room.free = room.free.saturating_sub(bytes);
        self.loads.push((key.clone(), worker));
    }

    /// Counts an unload in; its memory is not free until the worker shows it.
    pub fn unload(&mut self, replica: &Replica) {
        if self.leaving(replica) {
            return;
        }
        self.leaving.insert(replica.replica);
        if let Some(worker) = self.worker(&replica.target) {
            self.rooms[worker].coming += replica.bytes;
        }
    }

    /// Sets memory of a worker aside for a load that waits for replicas to leave.
    pub fn claim(&mut self, worker: Index, bytes: u64) {
        let room = &mut self.rooms[worker];
        let now = room.free.min(bytes);
        room.free -= now;
        room.coming = room.coming.saturating_sub(bytes - now);
    }
}

/// The memory that a worker reports as free.
fn room(worker: &Worker) -> Room {
    Room {
        free: worker.free,
        coming: 0,
    }
}
