//! Autoscaling: how many replicas the demand for a model needs.

use std::time::Duration;

use cornelhitch_types::id::Time;

use crate::convert::{ceil_to_u32, to_f64};
use crate::demand::ModelDemand;

/// Assumed request duration in seconds where none has been observed.
const DEFAULT_SERVICE_S: f64 = 2.0;

/// The replicas of a model and the figures that their throughput follows from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Supply {
    /// Ready replicas.
    pub ready: u32,
    /// Replicas that are loading or whose load is pending.
    pub loading: u32,
    /// Time until the next loading replica is ready.
    pub next_ready: Duration,
    /// Time until one additional replica would be ready.
    pub additional_ready: Duration,
    /// Requests that one replica serves concurrently.
    pub concurrency: u32,
    /// Average request duration in seconds; `None` if not known.
    pub service_s: Option<f64>,
}

/// Returns how many replicas are wanted in addition to the existing ones.
///
/// One if there is none. Otherwise more only if the existing replicas cannot serve the waiting
/// requests before their deadline, and an additional one would be ready before they have done so.
#[must_use]
pub fn additional_replicas(demand: &ModelDemand, supply: &Supply, now: Time) -> u32 {
    if demand.waiting == 0 {
        return 0;
    }
    let existing = supply.ready + supply.loading;
    if existing == 0 {
        return 1;
    }
    let time_left = demand.deadline.saturating_sub(now);
    let done = time_to_serve(demand, supply);
    if done <= time_left || supply.additional_ready >= done {
        return 0;
    }
    let service = supply
        .service_s
        .unwrap_or(DEFAULT_SERVICE_S)
        .max(f64::EPSILON);
    let slots = to_f64(u64::from(supply.concurrency.max(1)));
    let rounds = (time_left
        .saturating_sub(supply.additional_ready)
        .as_secs_f64()
        / service)
        .max(1.0);
    let work = f64::from(demand.waiting) + f64::from(demand.running);
    let wanted = ceil_to_u32(work / (slots * rounds));
    wanted.saturating_sub(existing).max(1)
}

/// Returns the time from now until the existing replicas have served the waiting requests.
#[must_use]
pub fn time_to_serve(demand: &ModelDemand, supply: &Supply) -> Duration {
    let service = supply.service_s.unwrap_or(DEFAULT_SERVICE_S);
    let existing = (supply.ready + supply.loading).max(1);
    let slots = f64::from(existing) * f64::from(supply.concurrency.max(1));
    let rounds = (f64::from(demand.waiting) + f64::from(demand.running)) / slots;
    let start = if supply.ready > 0 {
        Duration::ZERO
    } else {
        supply.next_ready
    };
    start.saturating_add(crate::convert::duration_from_secs(rounds.ceil() * service))
}
