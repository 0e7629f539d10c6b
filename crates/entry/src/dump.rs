//! A snapshot of a core's state, for operators.

use std::time::Duration;

use cornelhitch_types::id::{CallerId, HostId, TargetId, Time, Version};
use serde::Serialize;

use crate::budget::Budget;
use crate::core::Core;
use crate::counters::Counters;
use crate::drain::Drain;
use crate::event::{Attempt, CallId};
use crate::quarantine::TargetInstance;
use crate::queue::QueueKey;
use crate::quota::Allowances;
use crate::request::{Call, Claim, Progress};
use crate::route::Place;
use crate::target_limits::TargetLimits;
use crate::target_notices::TargetNotices;

/// A snapshot of a core's state.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Dump {
    /// The host's number.
    pub host: HostId,
    /// When the snapshot was taken, on the core's clock.
    pub now: Time,
    /// The version of the settings in force on this host.
    pub settings: Version,
    /// Whether the lease on the settings is valid, so that new requests are accepted.
    pub leased: bool,
    /// The state of the host's shutdown.
    pub drain: Drain,
    /// The sequence number up to which changes of the fleet view have been applied.
    pub view: u64,
    /// The newest version of the route table that control has named.
    pub newest_table: Version,
    /// Milliseconds since the route table of this host was last known to be the newest.
    pub table_confirmed_ms_ago: Option<u128>,
    /// Waiting requests, one row per lane.
    pub lanes: Vec<Lane>,
    /// In-flight requests, one row per place.
    pub places: Vec<InFlight>,
    /// Targets that cannot be reached from this host.
    pub ejected: Vec<TargetId>,
    /// Fingerprints with strikes.
    pub strikes: Vec<Strike>,
    /// Prompt sections with crashes.
    pub sections: Vec<SectionStrikes>,
    /// Request and retry counters by service.
    pub services: Counters,
    /// The state of the retry budget.
    pub budget: Budget,
    /// The limits that targets name.
    pub limits: TargetLimits,
    /// What this host holds of teams' quotas.
    pub quotas: Allowances,
    /// What targets state of themselves besides.
    pub notices: TargetNotices,
    /// All requests.
    pub calls: Vec<Row>,
}

/// The waiting requests of one lane.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Lane {
    /// The model or service that they wait for.
    pub key: QueueKey,
    /// Number of waiting requests.
    pub waiting: usize,
    /// Mean time of a complete response, if any was measured.
    #[serde(rename = "whole")]
    pub response_time: Option<Duration>,
}

/// The in-flight requests at one place.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct InFlight {
    /// The place that runs them.
    pub place: Place,
    /// Number of in-flight requests.
    pub running: u32,
}

/// A fingerprint with strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Strike {
    /// The fingerprint of the request.
    pub fingerprint: u64,
    /// Number of strikes, one for each target that died.
    pub strikes: u32,
}

/// A prompt section with crashes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SectionStrikes {
    /// The section's id, in hexadecimal.
    pub section: String,
    /// Whether requests are refused for it.
    pub refused: bool,
    /// The targets that ended.
    pub lost: Vec<TargetInstance>,
}

/// One request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// The request's number.
    pub id: CallId,
    /// The caller that sent it.
    pub caller: CallerId,
    /// The model or service that it is for.
    pub what: String,
    /// What the request is waiting for.
    pub stage: String,
    /// The request's progress.
    #[serde(rename = "reach")]
    pub progress: Progress,
    /// The state of the request's claim.
    pub claim: Claim,
    /// Number of attempts made.
    pub attempts: Attempt,
    /// Time left until its deadline.
    pub left: Duration,
}

impl From<&Core> for Dump {
    fn from(core: &Core) -> Self {
        let lanes = core.queue.keys().into_iter().map(|key| Lane {
            waiting: core.queue.waiting(&key),
            response_time: core.latencies.get(&key).response_time(),
            key,
        });
        let places = core.in_flight.iter().map(|(place, running)| InFlight {
            place: place.clone(),
            running: *running,
        });
        let mut calls: Vec<Row> = core
            .calls
            .values()
            .map(|call| row(call, core.now))
            .collect();
        calls.sort_by_key(|row| row.id);
        Self {
            host: core.config.host,
            now: core.now,
            settings: core.catalogue.version,
            leased: core.lease.holds(core.catalogue.version, core.now),
            drain: core.shutdown.state,
            view: core.fleet_view.sequence,
            newest_table: core.newest_table.version(),
            table_confirmed_ms_ago: core
                .newest_table
                .confirmed()
                .map(|at| core.now.saturating_sub(at).as_millis()),
            lanes: lanes.collect(),
            places: places.collect(),
            ejected: core.ejections.targets(),
            strikes: core.quarantine.list(),
            sections: core.suspects.list(),
            services: core.counters.clone(),
            budget: core.budget.clone(),
            limits: core.target_limits.clone(),
            quotas: core.allowances.clone(),
            notices: core.target_notices.clone(),
            calls,
        }
    }
}

/// Returns the row of one request.
fn row(call: &Call, now: Time) -> Row {
    let stage = match call.current_attempt() {
        Some(run) => format!("running on {}", run.place.target),
        None => format!("{:?}", call.stage).to_lowercase(),
    };
    Row {
        id: call.request.id,
        caller: call.request.caller.clone(),
        what: call.request.what.to_string(),
        stage,
        progress: call.progress,
        claim: call.claim,
        attempts: call.attempts,
        left: call.deadline.saturating_sub(now),
    }
}
