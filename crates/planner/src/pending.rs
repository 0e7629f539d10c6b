//! Decisions that the picture does not show yet.
//!
//! The caller may lose a decision, so none of these counts as done. Until the
//! picture shows one, or [`PATIENCE`] has passed, it is not made again.

use std::time::Duration;

use cornelhitch_types::id::{Name, ReplicaId, TargetId, Time};
use cornelhitch_types::target::Stage;
use cornelhitch_types::view::State;

use crate::need::Key;
use crate::picture::Replica;
use crate::place::stage;
use crate::scene::Scene;

/// How long a decision may take to show in the picture.
pub const PATIENCE: Duration = Duration::from_secs(2);

/// What was decided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum What {
    /// A new replica.
    Load {
        /// The model and version.
        key: Key,
        /// The worker.
        target: TargetId,
        /// Memory to reserve, in bytes.
        bytes: u64,
        /// Where the weights come from.
        from: Stage,
    },
    /// The end of a replica.
    Unload(ReplicaId, TargetId),
    /// An adapter on a replica.
    Adapter {
        /// The replica.
        replica: ReplicaId,
        /// The worker.
        target: TargetId,
        /// The adapter.
        adapter: Name,
    },
    /// A copy in host memory or on disk.
    Warm(Key, TargetId),
}

/// One decision and when it was made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// What was decided.
    pub what: What,
    /// When.
    pub at: Time,
}

/// Decisions that the picture does not show yet.
#[derive(Debug, Default)]
pub struct Pending {
    entries: Vec<Entry>,
}

impl Pending {
    /// Notes a decision.
    pub fn push(&mut self, what: What, at: Time) {
        self.entries.push(Entry { what, at });
    }

    /// Forgets what the picture shows, and what it should have shown by now.
    pub fn settle(&mut self, scene: &Scene, now: Time) {
        self.entries.retain(|entry| {
            let young = now.saturating_sub(entry.at) < PATIENCE;
            young && !shown(&entry.what, scene)
        });
    }

    /// What is pending, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &What> {
        self.entries.iter().map(|entry| &entry.what)
    }

    /// Adapter loads that are pending.
    #[must_use]
    pub fn adapters(&self) -> usize {
        let adapters = self
            .iter()
            .filter(|what| matches!(what, What::Adapter { .. }));
        adapters.count()
    }
}

/// Whether the picture shows a decision as taken.
fn shown(what: &What, scene: &Scene) -> bool {
    match what {
        What::Load { key, target, .. } => {
            let on = scene.worker(target).map(|worker| scene.on(worker));
            on.is_some_and(|mut replicas| replicas.any(|replica| same(replica, key)))
        }
        What::Unload(id, target) => {
            let replica = scene.find(*id, target);
            replica.is_none_or(|replica| replica.state == State::Retiring)
        }
        What::Adapter {
            replica,
            target,
            adapter,
        } => {
            let replica = scene.find(*replica, target);
            replica.is_none_or(|replica| replica.adapters.contains(adapter))
        }
        What::Warm(key, target) => {
            let worker = scene.worker(target).map(|worker| scene.at(worker));
            worker.is_some_and(|worker| stage(worker, &key.model) >= Stage::Memory)
        }
    }
}

/// Whether a replica is of that model and version.
#[must_use]
pub fn same(replica: &Replica, key: &Key) -> bool {
    replica.model == key.model && replica.version == key.version
}
