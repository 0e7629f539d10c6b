//! Queue and in-flight counts that entry hosts report to control.

use serde::{Deserialize, Serialize};

use crate::id::{HostId, Incarnation, ModelId, Name, RegionId, Time};

/// Demand of one entry host for one model: a snapshot that replaces the previous one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The base model.
    pub model: ModelId,
    /// The requested version; `None` for the version in force.
    pub version: Option<Name>,
    /// Requests queued until a replica can accept them.
    pub waiting: u32,
    /// Requests in flight on replicas.
    pub running: u32,
    /// Time from the report to the earliest deadline of a queued request.
    #[serde(rename = "slack")]
    pub time_to_deadline: Time,
    /// The largest class weight among the queued requests.
    pub weight: u32,
    /// Requests received since the process started; never decreases within an incarnation.
    pub arrivals: u64,
    /// Adapters that queued requests name.
    pub adapters: Vec<Name>,
}

/// Demand report of one entry host for all models.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Report")]
pub struct DemandReport {
    /// The reporting entry host.
    pub host: HostId,
    /// Incarnation of the reporting process.
    pub incarnation: Incarnation,
    /// Sequence number within the incarnation; a report with a smaller number than the last is
    /// dropped.
    pub sequence: u64,
    /// The region of the entry host.
    pub region: RegionId,
    /// One row for each model that has requests now or had some since the previous report.
    pub rows: Vec<Demand>,
}
