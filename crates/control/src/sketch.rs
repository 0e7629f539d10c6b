//! The planner's input, updated incrementally.

use std::collections::{BTreeMap, BTreeSet};

use cornelhitch_planner::picture::{Copy, Picture, Quiet, Replica, Worker};
use cornelhitch_types::id::{ModelId, ReplicaId, TargetId, Time};
use cornelhitch_types::target::{Kind, Stage};
use cornelhitch_types::view::State;

use crate::levels::Levels;
use crate::tracks::Tracks;
use crate::turn::Turn;
use crate::workers::{Worker as Heard, Workers};

/// The planner's input, and which parts of it are out of date.
#[derive(Debug, Default)]
pub(crate) struct Sketch {
    picture: Picture,
    workers: BTreeSet<TargetId>,
    replicas: BTreeSet<ReplicaId>,
}

impl Sketch {
    /// Marks a worker as changed.
    pub(crate) fn worker(&mut self, target: &TargetId) {
        self.workers.insert(target.clone());
    }

    /// Marks a replica as changed, and with it the free memory of its worker.
    pub(crate) fn replica(&mut self, replica: ReplicaId, target: &TargetId) {
        self.replicas.insert(replica);
        self.worker(target);
    }

    /// Updates the parts that are out of date and returns the input.
    pub(crate) fn refresh(
        &mut self,
        workers: &Workers,
        tracks: &mut Tracks,
        levels: &mut Levels,
        adapters: u32,
        turn: &Turn,
    ) -> &Picture {
        self.picture.settings = turn.state.catalogue().fleet().clone();
        for target in std::mem::take(&mut self.workers) {
            self.put_worker(&target, workers, turn);
        }
        for replica in std::mem::take(&mut self.replicas) {
            self.put_replica(replica, tracks, turn);
        }
        self.count_running(workers, tracks, levels, turn);
        self.picture.demand = levels.rows();
        self.picture.adapters_in_flight = adapters;
        &self.picture
    }

    /// Inserts, replaces or removes a worker.
    fn put_worker(&mut self, target: &TargetId, workers: &Workers, turn: &Turn) {
        let place = self
            .picture
            .workers
            .binary_search_by(|it| it.target.cmp(target));
        match (place, draw_worker(target, workers, turn)) {
            (Ok(at), Some(worker)) => self.picture.workers[at] = worker,
            (Err(at), Some(worker)) => self.picture.workers.insert(at, worker),
            (Ok(at), None) => {
                self.picture.workers.remove(at);
            }
            (Err(_), None) => {}
        }
    }

    /// Inserts, replaces or removes a replica.
    fn put_replica(&mut self, id: ReplicaId, tracks: &Tracks, turn: &Turn) {
        let place = self
            .picture
            .replicas
            .binary_search_by(|it| it.replica.cmp(&id));
        match (place, draw_replica(id, tracks, turn)) {
            (Ok(at), Some(replica)) => self.picture.replicas[at] = replica,
            (Err(at), Some(replica)) => self.picture.replicas.insert(at, replica),
            (Ok(at), None) => {
                self.picture.replicas.remove(at);
            }
            (Err(_), None) => {}
        }
    }

    /// Distributes the requests in progress over each model's replicas.
    fn count_running(
        &mut self,
        workers: &Workers,
        tracks: &mut Tracks,
        levels: &Levels,
        turn: &Turn,
    ) {
        let mut peers: BTreeMap<ModelId, u32> = BTreeMap::new();
        for replica in self.picture.replicas.iter().filter(|it| is_used(it)) {
            *peers.entry(replica.model.clone()).or_default() += 1;
        }
        for replica in &mut self.picture.replicas {
            // Requests reported by hosts out of contact have ended if the worker is idle.
            let worker = workers.get(&replica.target);
            let running = if worker.is_some_and(Heard::is_idle) {
                levels.fresh(&replica.model)
            } else {
                levels.running(&replica.model)
            };
            if running == 0 {
                replica.running = 0;
                continue;
            }
            if !is_used(replica) {
                continue;
            }
            let peers = peers.get(&replica.model).copied().unwrap_or(1);
            replica.running = running.div_ceil(peers);
            replica.used = turn.now;
            if let Some(track) = tracks.get_mut(&replica.replica) {
                track.used = turn.now;
            }
        }
    }
}

/// Returns whether requests may be in progress on a replica.
fn is_used(replica: &Replica) -> bool {
    replica.state != State::Loading
}

/// Returns a worker as the planner sees it; `None` for a plain service.
fn draw_worker(target: &TargetId, workers: &Workers, turn: &Turn) -> Option<Worker> {
    let known = turn.state.fleet().get(target)?;
    let announcement = &known.announcement;
    let worker = workers.get(target)?;
    if announcement.kind != Kind::Worker {
        return None;
    }
    let taken = turn.state.replicas().reserved(target);
    let taken = taken.saturating_add(worker.unexplained());
    let inventory = worker.beat.iter().flat_map(|beat| &beat.inventory);
    let copies = inventory.filter(|it| matches!(it.stage, Stage::Disk | Stage::Memory));
    let copies = copies.map(|it| Copy {
        model: it.model.model.clone(),
        stage: it.stage,
    });
    Some(Worker {
        target: target.clone(),
        region: announcement.region.clone(),
        zone: announcement.zone.clone(),
        memory: announcement.memory,
        free: announcement.memory.saturating_sub(taken),
        accelerators: announcement.accelerators,
        open: worker.is_loadable() && !known.silent,
        copies: copies.collect(),
        quiet: quiet(target, worker, turn),
    })
}

/// The interval between two heartbeats.
const BEAT: Time = Time::from_secs(1);

/// Returns how many heartbeats remain until the given one.
fn left(until: u64, sequence: u64) -> u32 {
    u32::try_from(until.saturating_sub(sequence)).unwrap_or(u32::MAX)
}

/// Returns the models that must not be loaded on a worker for a while.
fn quiet(target: &TargetId, worker: &Heard, turn: &Turn) -> Vec<Quiet> {
    let committed = turn.state.replicas().quiet();
    let committed = committed.filter(|it| it.target == *target);
    let committed = committed.map(|it| Quiet {
        model: it.model.clone(),
        until: turn.now + BEAT * left(it.until, worker.sequence()),
    });
    let backoff = worker.backoff.iter().map(|it| Quiet {
        model: it.model.clone(),
        until: it.until,
    });
    let strangers = worker.strangers.iter().map(|it| Quiet {
        model: it.model.model.clone(),
        until: turn.now + turn.timing.backoff,
    });
    let quiet = committed.chain(backoff).chain(strangers);
    quiet.filter(|it| turn.now < it.until).collect()
}

/// Returns a replica as the planner sees it.
fn draw_replica(id: ReplicaId, tracks: &Tracks, turn: &Turn) -> Option<Replica> {
    let replica = turn.state.replicas().get(id)?;
    // A replica on a silent worker serves no requests; its memory stays reserved all the same.
    turn.state
        .fleet()
        .get(&replica.target)
        .filter(|it| !it.silent)?;
    let track = tracks.get(&id);
    Some(Replica {
        replica: id,
        model: replica.model.clone(),
        version: replica.version.clone(),
        target: replica.target.clone(),
        bytes: replica.bytes,
        state: replica.state,
        decided: replica.decided,
        ready: replica.ready,
        from: track.map_or(Stage::Remote, |track| track.from),
        running: 0,
        used: track.map_or(replica.decided, |track| track.used),
        adapters: track.map(|it| it.adapters.clone()).unwrap_or_default(),
    })
}
