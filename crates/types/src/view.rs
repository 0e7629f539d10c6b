//! The routing state that control publishes to entry hosts.
//!
//! A view is soft state. It is sent as a full snapshot once and then as numbered changes; after a
//! gap in the sequence the receiver gets a full snapshot again.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use strum::Display;

use crate::entry;
use crate::guarded_table::GuardedTable;
use crate::id::{Incarnation, ModelId, Name, RegionId, ReplicaId, TargetId, Term, Version, ZoneId};
use crate::route::RouteTable;
use crate::target::{CacheEvent, Kind, Load, RequestRate};

/// State of a replica for routing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// Placement is decided; the worker has not reported the replica ready.
    Loading,
    /// The worker reports the replica ready.
    Ready,
    /// Accepts no new requests; an unload follows.
    Retiring,
}

/// One replica to which entry hosts may send requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// The replica's id.
    pub replica: ReplicaId,
    /// The base model.
    pub model: ModelId,
    /// The version of the model.
    pub version: Option<Name>,
    /// The worker that runs the replica.
    pub target: TargetId,
    /// Whether the replica is loading, ready or retiring.
    pub state: State,
    /// Expected time until the replica is ready, in milliseconds from the time of the message.
    pub ready_in_ms: u32,
    /// Adapters that are ready on the replica.
    pub adapters: Vec<Name>,
}

/// One target (worker or service) with its state for routing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The name under which the target announced itself.
    pub target: TargetId,
    /// Incarnation of the target.
    pub incarnation: Incarnation,
    /// Whether it is a worker or a plain service.
    pub kind: Kind,
    /// The address on which it accepts requests.
    pub address: SocketAddr,
    /// The region of the target.
    pub region: RegionId,
    /// The availability zone of the target.
    pub zone: ZoneId,
    /// The plain services that the target runs.
    pub services: Vec<Name>,
    /// Whether it may get new requests: it is neither draining nor suspected to have failed.
    pub open: bool,
    /// The load that it last reported.
    pub load: Load,
    /// Concurrent requests that the target can run; `None` if it did not announce a number.
    pub slots: Option<u32>,
}

/// A target that ended while it ran requests with a section in their prompts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionCrash {
    /// The target that ended.
    pub target: TargetId,
    /// Its incarnation that ended.
    pub incarnation: Incarnation,
    /// Index of the log entry that recorded it for the section.
    pub index: u64,
    /// Number of requests with the section that were in progress on it.
    pub requests: u32,
    /// The other shared sections of their prompts.
    pub with: Vec<u64>,
    /// Whether it ended under a trial of the section.
    pub trial: bool,
}

/// One change to the view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// A replica was added or changed.
    Replica(Replica),
    /// A replica was removed.
    #[serde(rename = "ReplicaGone")]
    ReplicaRemoved(ReplicaId),
    /// A target was added or changed.
    Target(Target),
    /// A target was removed.
    #[serde(rename = "TargetGone")]
    TargetRemoved(TargetId),
    /// An entry host was added or changed.
    Entry(entry::Host),
    /// An entry host was removed.
    #[serde(rename = "EntryGone")]
    EntryRemoved(crate::id::HostId),
    /// The prefix caches of a target changed.
    Cache(TargetId, Vec<CacheEvent>),
    /// The strike count of a request fingerprint changed; 0 ends its quarantine.
    #[serde(rename = "Strike")]
    StrikeCount(u64, u32),
    /// The settings in force, as validated YAML text.
    Settings(Version, Name),
    /// The route table in force.
    Table(Arc<RouteTable>),
    /// Lower bound of the load time of a model that no target has cached, in milliseconds from the
    /// start of its load; 0 if a target has it cached or is loading it.
    #[serde(rename = "Outlook")]
    ColdStartEstimate(ModelId, u32),
    /// The requests that an incarnation of a target takes from all entry hosts together; `None` if
    /// it no longer names a limit.
    TargetLimit(TargetId, Incarnation, Option<RequestRate>),
    /// The crashes that are held against a prompt section changed; none ends its quarantine.
    SectionCrashes(u64, Vec<SectionCrash>),
    /// The route table in force, if it has teams.
    GuardedTable(GuardedTable),
}

impl Change {
    /// Returns the change that publishes a route table, which for a table without teams is
    /// [`Change::Table`].
    #[must_use]
    pub fn of_table(table: &Arc<RouteTable>) -> Self {
        GuardedTable::of(table).map_or_else(|| Self::Table(table.clone()), Self::GuardedTable)
    }

    /// Returns the published route table; `None` if the change is about something else.
    #[must_use]
    pub fn into_table(self) -> Option<Arc<RouteTable>> {
        match self {
            Self::Table(table) => Some(table),
            Self::GuardedTable(guarded) => Some(guarded.into_table()),
            _ => None,
        }
    }

    /// Returns whether the change publishes a route table.
    #[must_use]
    pub fn is_table(&self) -> bool {
        matches!(self, Self::Table(_) | Self::GuardedTable(_))
    }
}

/// Changes that advance a view from one sequence number to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Raft term of the leader that published the changes.
    pub term: Term,
    /// Sequence number before the changes; 0 means that `changes` is a full snapshot.
    pub from: u64,
    /// Sequence number after the changes.
    pub to: u64,
    /// The changes, in the order in which they apply.
    pub changes: Vec<Change>,
}
