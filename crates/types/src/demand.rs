//! What entry hosts report of the requests that wait.

use serde::{Deserialize, Serialize};

use crate::id::{HostId, Incarnation, ModelId, Name, RegionId, Time};

/// The requests of one entry host for one model, as a level that overwrites the one before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The model.
    pub model: ModelId,
    /// The version asked for, or the one in force.
    pub version: Option<Name>,
    /// Requests that wait for a replica.
    pub waiting: u32,
    /// Requests in progress on replicas.
    pub running: u32,
    /// How long until the nearest deadline of a waiting request, from the time of the report.
    pub slack: Time,
    /// The largest weight among the classes of the waiting requests.
    pub weight: u32,
    /// Arrivals since the process started; it only grows within an incarnation.
    pub arrivals: u64,
    /// Adapters that waiting requests name.
    pub adapters: Vec<Name>,
}

/// All demand of one entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The entry host.
    pub host: HostId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Counts the reports of this life; a late one with a smaller count is dropped.
    pub sequence: u64,
    /// Its region.
    pub region: RegionId,
    /// One row a model with requests, or that had some since the last report.
    pub rows: Vec<Demand>,
}
