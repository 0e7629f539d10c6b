//! Decisions that the picture does not show yet.
//!
//! The caller may lose a decision, so none of these counts as done. Until the
//! picture shows one, or [`PATIENCE`] has passed, it is not made again.

use std::time::Duration;

use cornelhitch_types::id::{Name, ReplicaId, TargetId, Time};
use cornelhitch_types::target::Stage;
use cornelhitch_types::view::State;

use crate::need::Key;
use crate::picture::{Picture, Replica};

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
    Unload(ReplicaId),
    /// An adapter on a replica.
    Adapter(ReplicaId, Name),
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
    pub fn settle(&mut self, picture: &Picture, now: Time) {
        self.entries.retain(|entry| {
            let young = now.saturating_sub(entry.at) < PATIENCE;
            young && !shown(&entry.what, picture)
        });
    }

    /// What is pending, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &What> {
        self.entries.iter().map(|entry| &entry.what)
    }

    /// Whether the end of a replica is pending.
    #[must_use]
    pub fn unloads(&self, replica: ReplicaId) -> bool {
        self.iter().any(|what| *what == What::Unload(replica))
    }

    /// Adapter loads that are pending.
    #[must_use]
    pub fn adapters(&self) -> usize {
        let adapters = self.iter().filter(|what| matches!(what, What::Adapter(..)));
        adapters.count()
    }
}

/// Whether the picture shows a decision as taken.
fn shown(what: &What, picture: &Picture) -> bool {
    match what {
        What::Load { key, target, .. } => picture
            .replicas
            .iter()
            .any(|replica| replica.target == *target && same(replica, key)),
        What::Unload(id) => find(picture, *id).is_none_or(|r| r.state == State::Retiring),
        What::Adapter(id, adapter) => {
            find(picture, *id).is_none_or(|r| r.adapters.contains(adapter))
        }
        What::Warm(key, target) => picture.workers.iter().any(|worker| {
            let warm = |copy: &crate::picture::Copy| {
                copy.model == key.model && copy.stage == Stage::Memory
            };
            worker.target == *target && worker.copies.iter().any(warm)
        }),
    }
}

/// The replica of that id.
fn find(picture: &Picture, id: ReplicaId) -> Option<&Replica> {
    picture
        .replicas
        .iter()
        .find(|replica| replica.replica == id)
}

/// Whether a replica is of that model and version.
#[must_use]
pub fn same(replica: &Replica, key: &Key) -> bool {
    replica.model == key.model && replica.version == key.version
}
