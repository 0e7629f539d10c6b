//! The planner's input, updated incrementally.

use std::collections::{BTreeMap, BTreeSet};

use cornelhitch_planner::fleet_state::{FleetState, LoadCooldown, Replica, WeightCopy, Worker};
use cornelhitch_types::id::{ModelId, ReplicaId, TargetId, Time};
use cornelhitch_types::target::{Kind, Stage};
use cornelhitch_types::view::State;

use crate::context::Context;
use crate::demand::DemandTracker;
use crate::replica_orders::OrdersByReplica;
use crate::workers::{Worker as KnownWorker, Workers};

/// The planner's input, and which parts of it are out of date.
#[derive(Debug, Default)]
pub(crate) struct PlannerInput {
    fleet_state: FleetState,
    stale_workers: BTreeSet<TargetId>,
    stale_replicas: BTreeSet<ReplicaId>,
}

impl PlannerInput {
    /// Marks a worker as changed.
    pub(crate) fn mark_worker(&mut self, target: &TargetId) {
        self.stale_workers.insert(target.clone());
    }

    /// Marks a replica as changed, and with it the free memory of its worker.
    pub(crate) fn mark_replica(&mut self, replica: ReplicaId, target: &TargetId) {
        self.stale_replicas.insert(replica);
        self.mark_worker(target);
    }

    /// Updates the parts that are out of date and returns the input.
    pub(crate) fn refresh(
        &mut self,
        workers: &Workers,
        replica_orders: &mut OrdersByReplica,
        demand: &mut DemandTracker,
        adapters: u32,
        ctx: &Context,
    ) -> &FleetState {
        self.fleet_state.settings = ctx.state.current_settings().fleet().clone();
        for target in std::mem::take(&mut self.stale_workers) {
            self.refresh_worker(&target, workers, ctx);
        }
        for replica in std::mem::take(&mut self.stale_replicas) {
            self.refresh_replica(replica, replica_orders, ctx);
        }
        self.count_running(workers, replica_orders, demand, ctx);
        self.fleet_state.demand = demand.rows();
        self.fleet_state.adapters_in_flight = adapters;
        &self.fleet_state
    }

    /// Inserts, replaces or removes a worker.
    fn refresh_worker(&mut self, target: &TargetId, workers: &Workers, ctx: &Context) {
        let position = self
            .fleet_state
            .workers
            .binary_search_by(|it| it.target.cmp(target));
        match (position, planner_worker(target, workers, ctx)) {
            (Ok(at), Some(worker)) => self.fleet_state.workers[at] = worker,
            (Err(at), Some(worker)) => self.fleet_state.workers.insert(at, worker),
            (Ok(at), None) => {
                self.fleet_state.workers.remove(at);
            }
            (Err(_), None) => {}
        }
    }

    /// Inserts, replaces or removes a replica.
    fn refresh_replica(&mut self, id: ReplicaId, replica_orders: &OrdersByReplica, ctx: &Context) {
        let position = self
            .fleet_state
            .replicas
            .binary_search_by(|it| it.replica.cmp(&id));
        match (position, planner_replica(id, replica_orders, ctx)) {
            (Ok(at), Some(replica)) => self.fleet_state.replicas[at] = replica,
            (Err(at), Some(replica)) => self.fleet_state.replicas.insert(at, replica),
            (Ok(at), None) => {
                self.fleet_state.replicas.remove(at);
            }
            (Err(_), None) => {}
        }
    }

    /// Distributes the requests in progress over each model's replicas.
    fn count_running(
        &mut self,
        workers: &Workers,
        replica_orders: &mut OrdersByReplica,
        demand: &DemandTracker,
        ctx: &Context,
    ) {
        let mut peers: BTreeMap<ModelId, u32> = BTreeMap::new();
        for replica in self.fleet_state.replicas.iter().filter(|it| is_used(it)) {
            *peers.entry(replica.model.clone()).or_default() += 1;
        }
        for replica in &mut self.fleet_state.replicas {
            // Requests reported by hosts out of contact have ended if the worker is idle.
            let worker = workers.get(&replica.target);
            let running = if worker.is_some_and(KnownWorker::is_idle) {
                demand.running_in_contact(&replica.model)
            } else {
                demand.running(&replica.model)
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
            replica.last_used = ctx.now;
            if let Some(orders) = replica_orders.get_mut(&replica.replica) {
                orders.last_used = ctx.now;
            }
        }
    }
}

/// Returns whether requests may be in progress on a replica.
fn is_used(replica: &Replica) -> bool {
    replica.state != State::Loading
}

/// Returns a worker as the planner sees it; `None` for a plain service.
fn planner_worker(target: &TargetId, workers: &Workers, ctx: &Context) -> Option<Worker> {
    let known = ctx.state.fleet().get(target)?;
    let announcement = &known.announcement;
    let worker = workers.get(target)?;
    if announcement.kind != Kind::Worker {
        return None;
    }
    let taken = ctx.state.replicas().reserved(target);
    let taken = taken.saturating_add(worker.orphan_bytes());
    let inventory = worker
        .last_heartbeat
        .iter()
        .flat_map(|last_heartbeat| &last_heartbeat.inventory);
    let copies = inventory.filter(|it| matches!(it.stage, Stage::Disk | Stage::Memory));
    let copies = copies.map(|it| WeightCopy {
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
        accepts_loads: worker.is_loadable() && !known.silent,
        copies: copies.collect(),
        cooldowns: quiet_models(target, worker, ctx),
    })
}

/// The interval between two heartbeats.
const HEARTBEAT_INTERVAL: Time = Time::from_secs(1);

/// Returns how many heartbeats remain until the given one.
fn heartbeats_until(until: u64, sequence: u64) -> u32 {
    u32::try_from(until.saturating_sub(sequence)).unwrap_or(u32::MAX)
}

/// Returns the models that must not be loaded on a worker for a while.
fn quiet_models(target: &TargetId, worker: &KnownWorker, ctx: &Context) -> Vec<LoadCooldown> {
    let committed = ctx.state.replicas().quiet();
    let committed = committed.filter(|it| it.target == *target);
    let committed = committed.map(|it| LoadCooldown {
        model: it.model.clone(),
        until: ctx.now + HEARTBEAT_INTERVAL * heartbeats_until(it.until, worker.sequence()),
    });
    let backoff = worker.backoff.iter().map(|it| LoadCooldown {
        model: it.model.clone(),
        until: it.until,
    });
    let orphans = worker.orphans.iter().map(|it| LoadCooldown {
        model: it.model.model.clone(),
        until: ctx.now + ctx.timing.load_backoff,
    });
    let quiet = committed.chain(backoff).chain(orphans);
    quiet.filter(|it| ctx.now < it.until).collect()
}

/// Returns a replica as the planner sees it.
fn planner_replica(
    id: ReplicaId,
    replica_orders: &OrdersByReplica,
    ctx: &Context,
) -> Option<Replica> {
    let replica = ctx.state.replicas().get(id)?;
    // A replica on a silent worker serves no requests; its memory nevertheless stays reserved.
    ctx.state
        .fleet()
        .get(&replica.target)
        .filter(|it| !it.silent)?;
    let orders = replica_orders.get(&id);
    Some(Replica {
        replica: id,
        model: replica.model.clone(),
        version: replica.version.clone(),
        target: replica.target.clone(),
        bytes: replica.bytes,
        state: replica.state,
        decided_at: replica.decided,
        ready_at: replica.ready,
        from: orders.map_or(Stage::Remote, |orders| orders.from),
        running: 0,
        last_used: orders.map_or(replica.decided, |orders| orders.last_used),
        adapters: orders.map(|it| it.adapters.clone()).unwrap_or_default(),
    })
}
