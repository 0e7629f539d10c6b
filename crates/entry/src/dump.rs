//! The state of a core, for operators.

use std::time::Duration;

use cornelhitch_types::id::{CallerId, HostId, TargetId, Time, Version};
use serde::Serialize;

use crate::budget::Budget;
use crate::core::Core;
use crate::drain::Drain;
use crate::event::{Attempt, CallId};
use crate::queue::Key;
use crate::request::{Call, Claim, Reach};
use crate::route::Place;
use crate::tally::Tallies;

/// The state of a core.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Dump {
    /// The host.
    pub host: HostId,
    /// When this was, on the clock of the core.
    pub now: Time,
    /// The settings in force here.
    pub settings: Version,
    /// Whether new requests are taken.
    pub leased: bool,
    /// Whether it is ending.
    pub drain: Drain,
    /// The sequence number up to which the view is known.
    pub view: u64,
    /// What waits, one row a kind of request.
    pub lanes: Vec<Lane>,
    /// What is in progress, one row a place.
    pub places: Vec<Flight>,
    /// Targets that cannot be reached from here.
    pub ejected: Vec<TargetId>,
    /// Fingerprints with strikes.
    pub strikes: Vec<Strike>,
    /// Requests and repeats by service.
    pub services: Tallies,
    /// What retries may be made.
    pub budget: Budget,
    /// Every request.
    pub calls: Vec<Row>,
}

/// What waits for the same places.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Lane {
    /// What it waits for.
    pub key: Key,
    /// How many.
    pub waiting: usize,
    /// The mean time of an answer.
    pub whole: Option<Duration>,
}

/// What is in progress at one place.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Flight {
    /// Where.
    pub place: Place,
    /// How many.
    pub running: u32,
}

/// A fingerprint that took targets down.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Strike {
    /// The fingerprint.
    pub fingerprint: u64,
    /// How many targets.
    pub strikes: u32,
}

/// One request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// Its number.
    pub id: CallId,
    /// Who asked.
    pub caller: CallerId,
    /// What for.
    pub what: String,
    /// What it waits for.
    pub stage: String,
    /// How far it has come.
    pub reach: Reach,
    /// Its claim.
    pub claim: Claim,
    /// Attempts made.
    pub attempts: Attempt,
    /// Time left until its deadline.
    pub left: Duration,
}

impl From<&Core> for Dump {
    fn from(core: &Core) -> Self {
        let lanes = core.queue.keys().into_iter().map(|key| Lane {
            waiting: core.queue.waiting(&key),
            whole: core.paces.get(&key).whole(),
            key,
        });
        let places = core.flights.iter().map(|(place, running)| Flight {
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
            drain: core.drain,
            view: core.picture.sequence,
            lanes: lanes.collect(),
            places: places.collect(),
            ejected: core.ejections.names(),
            strikes: core.quarantine.list(),
            services: core.tallies.clone(),
            budget: core.budget.clone(),
            calls,
        }
    }
}

/// The row of one request.
fn row(call: &Call, now: Time) -> Row {
    let stage = match call.running() {
        Some(run) => format!("running on {}", run.place.target),
        None => format!("{:?}", call.stage).to_lowercase(),
    };
    Row {
        id: call.request.id,
        caller: call.request.caller.clone(),
        what: call.request.what.to_string(),
        stage,
        reach: call.reach,
        claim: call.claim,
        attempts: call.attempts,
        left: call.deadline.saturating_sub(now),
    }
}
