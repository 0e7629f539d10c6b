//! Decisions that the fleet state does not reflect yet.
//!
//! The caller may lose a decision, so none of these counts as carried out. A
//! decision is not repeated until the fleet state reflects it or
//! [`CONFIRMATION_TIMEOUT`] has passed.

use std::time::Duration;

use cornelhitch_types::id::{Name, ReplicaId, TargetId, Time};
use cornelhitch_types::target::Stage;
use cornelhitch_types::view::State;

use crate::demand::ModelVersion;
use crate::fleet_index::FleetIndex;
use crate::fleet_state::Replica;
use crate::placement::nearest_stage;

/// How long a decision may take to appear in the fleet state before it may be repeated.
pub const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(2);

/// A pending action, with what is needed to recognise it in the fleet state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PendingAction {
    /// The load of a new replica.
    Load {
        /// The model and version.
        key: ModelVersion,
        /// The worker that loads it.
        target: TargetId,
        /// Memory to reserve, in bytes.
        bytes: u64,
        /// Where the weights are loaded from.
        from: Stage,
    },
    /// The unload of a replica on a worker.
    Unload(ReplicaId, TargetId),
    /// The load of an adapter.
    Adapter {
        /// The replica that gets the adapter.
        replica: ReplicaId,
        /// The worker that holds the replica.
        target: TargetId,
        /// The adapter to load.
        adapter: Name,
    },
    /// A copy of the weights to a worker's host memory or disk.
    Warm(ModelVersion, TargetId),
}

/// A pending action and when it was decided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingDecision {
    /// The action.
    pub action: PendingAction,
    /// When it was decided.
    pub at: Time,
}

/// The decisions that the fleet state does not reflect yet.
#[derive(Debug, Default)]
pub struct PendingDecisions {
    entries: Vec<PendingDecision>,
}

impl PendingDecisions {
    /// Adds a decision.
    pub fn push(&mut self, action: PendingAction, at: Time) {
        self.entries.push(PendingDecision { action, at });
    }

    /// Removes decisions that the fleet state reflects and those that have timed out.
    pub fn remove_confirmed(&mut self, fleet: &FleetIndex, now: Time) {
        self.entries.retain(|entry| {
            let recent = now.saturating_sub(entry.at) < CONFIRMATION_TIMEOUT;
            recent && !is_reflected(&entry.action, fleet)
        });
    }

    /// Iterates over the pending actions, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &PendingAction> {
        self.entries.iter().map(|entry| &entry.action)
    }

    /// Returns the number of pending adapter loads.
    #[must_use]
    pub fn adapter_loads(&self) -> usize {
        let adapters = self
            .iter()
            .filter(|action| matches!(action, PendingAction::Adapter { .. }));
        adapters.count()
    }
}

/// Returns whether the fleet state reflects an action.
fn is_reflected(action: &PendingAction, fleet: &FleetIndex) -> bool {
    match action {
        PendingAction::Load { key, target, .. } => {
            let on = fleet
                .worker_index(target)
                .map(|worker| fleet.replicas_on(worker));
            on.is_some_and(|mut replicas| replicas.any(|replica| matches_version(replica, key)))
        }
        PendingAction::Unload(id, target) => {
            let replica = fleet.find_replica(*id, target);
            replica.is_none_or(|replica| replica.state == State::Retiring)
        }
        PendingAction::Adapter {
            replica,
            target,
            adapter,
        } => {
            let replica = fleet.find_replica(*replica, target);
            replica.is_none_or(|replica| replica.adapters.contains(adapter))
        }
        PendingAction::Warm(key, target) => {
            let worker = fleet
                .worker_index(target)
                .map(|worker| fleet.worker(worker));
            worker.is_some_and(|worker| nearest_stage(worker, &key.model) >= Stage::Memory)
        }
    }
}

/// Returns whether a replica serves the given model and version.
#[must_use]
pub fn matches_version(replica: &Replica, key: &ModelVersion) -> bool {
    replica.model == key.model && replica.version == key.version
}
