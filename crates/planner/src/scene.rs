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

/// The replicas of one model.
#[derive(Debug, Default)]
struct Group<'a> {
    replicas: Vec<&'a Replica>,
    /// How many of them stay.
    stay: u32,
}

/// The picture, indexed.
#[derive(Debug)]
pub struct Scene<'a> {
    /// The picture.
    pub picture: &'a Picture,
    rooms: Vec<Room>,
    workers: HashMap<&'a str, Index>,
    groups: HashMap<&'a str, Group<'a>>,
    placed: Vec<Vec<&'a Replica>>,
    leaving: HashSet<ReplicaId>,
    loads: Vec<(Key, Index)>,
}

impl<'a> Scene<'a> {
    /// Indexes a picture.
    #[must_use]
    pub fn new(picture: &'a Picture) -> Self {
        let workers = picture.workers.iter().enumerate();
        let mut scene = Self {
            picture,
            rooms: picture.workers.iter().map(room).collect(),
            workers: workers.map(|(index, w)| (&*w.target, index)).collect(),
            groups: HashMap::new(),
            placed: vec![Vec::new(); picture.workers.len()],
            leaving: HashSet::new(),
            loads: Vec::new(),
        };
        for replica in &picture.replicas {
            scene.index(replica);
        }
        scene
    }

    /// Indexes one replica.
    fn index(&mut self, replica: &'a Replica) {
        let group = self.groups.entry(&*replica.model).or_default();
        group.replicas.push(replica);
        let retiring = replica.state == State::Retiring;
        group.stay += u32::from(!retiring);
        let Some(worker) = self.worker(&replica.target) else {
            return;
        };
        self.placed[worker].push(replica);
        if retiring {
            self.rooms[worker].coming += replica.bytes;
        }
    }

    /// Counts pending decisions in.
    pub fn count(&mut self, pending: &Pending) {
        for what in pending.iter() {
            match what {
                What::Load {
                    key, target, bytes, ..
                } => {
                    if let Some(worker) = self.worker(target) {
                        self.load(key, worker, *bytes);
                    }
                }
                What::Unload(id, target) => {
                    if let Some(replica) = self.find(*id, target) {
                        self.unload(replica);
                    }
                }
                What::Adapter { .. } | What::Warm(..) => {}
            }
        }
    }

    /// The replica of that id on a worker.
    #[must_use]
    pub fn find(&self, id: ReplicaId, target: &str) -> Option<&'a Replica> {
        let mut replicas = self.on(self.worker(target)?);
        replicas.find(|replica| replica.replica == id)
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
        let groups = self.groups.get(model).into_iter();
        groups.flat_map(|group| group.replicas.iter().copied())
    }

    /// Replicas on a worker.
    pub fn on(&self, index: Index) -> impl Iterator<Item = &'a Replica> + use<'a, '_> {
        self.placed[index].iter().copied()
    }

    /// Whether a replica is on its way out.
    #[must_use]
    pub fn leaving(&self, replica: &Replica) -> bool {
        replica.state == State::Retiring || self.leaving.contains(&replica.replica)
    }

    /// How many replicas of a model stay, in any version.
    #[must_use]
    pub fn stays(&self, model: &str) -> u32 {
        self.groups.get(model).map_or(0, |group| group.stay)
    }

    /// Whether another ready replica of the same model and version stays.
    #[must_use]
    pub fn others(&self, replica: &Replica) -> bool {
        let mut others = self.of(&replica.model);
        others.any(|other| {
            other.replica != replica.replica
                && other.version == replica.version
                && other.state == State::Ready
                && !self.leaving(other)
        })
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

    /// Which workers have or get a replica of a model, by their index.
    #[must_use]
    pub fn holders(&self, model: &str) -> Vec<bool> {
        let mut holders = vec![false; self.rooms.len()];
        let replicas = self
            .of(model)
            .filter_map(|replica| self.worker(&replica.target));
        let loads = self.loads.iter().filter(|(key, _)| *key.model == *model);
        for worker in replicas.chain(loads.map(|(_, worker)| *worker)) {
            holders[worker] = true;
        }
        holders
    }

    /// Counts a load in.
    pub fn load(&mut self, key: &Key, worker: Index, bytes: u64) {
        let room = &mut self.rooms[worker];
        room.free = room.free.saturating_sub(bytes);
        self.loads.push((key.clone(), worker));
    }

    /// Counts an unload in; its memory is not free until the worker shows it.
    pub fn unload(&mut self, replica: &'a Replica) {
        if self.leaving(replica) {
            return;
        }
        self.leaving.insert(replica.replica);
        if let Some(group) = self.groups.get_mut(&*replica.model) {
            group.stay = group.stay.saturating_sub(1);
        }
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
