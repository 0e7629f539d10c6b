//! How many replicas the demand for a model needs.

use std::time::Duration;

use cornelhitch_types::id::Time;

use crate::need::Need;
use crate::number::{count, whole};

/// The time of one request where none has been seen, in seconds.
const SERVICE: f64 = 2.0;

/// The replicas of a model and what is known of its requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Supply {
    /// Replicas that are ready.
    pub ready: u32,
    /// Replicas that are loading or decided.
    pub loading: u32,
    /// Until the next of the loading ones is ready.
    pub next: Duration,
    /// Until one more replica would be ready.
    pub more: Duration,
    /// Requests that one replica answers at once.
    pub concurrency: u32,
    /// Seconds of one request, where known.
    pub service: Option<f64>,
}

/// Replicas that are wanted on top of those there are.
///
/// One where there is none. More only if the deadlines need it: if what waits
/// cannot be served in time by the replicas there are, and one more would be
/// ready before they are done.
#[must_use]
pub fn missing(need: &Need, supply: &Supply, now: Time) -> u32 {
    if need.waiting == 0 {
        return 0;
    }
    let have = supply.ready + supply.loading;
    if have == 0 {
        return 1;
    }
    let left = need.deadline.saturating_sub(now);
    let done = finish(need, supply);
    if done <= left || supply.more >= done {
        return 0;
    }
    let service = supply.service.unwrap_or(SERVICE).max(f64::EPSILON);
    let slots = count(u64::from(supply.concurrency.max(1)));
    let rounds = (left.saturating_sub(supply.more).as_secs_f64() / service).max(1.0);
    let work = f64::from(need.waiting) + f64::from(need.running);
    let wanted = whole(work / (slots * rounds));
    wanted.saturating_sub(have).max(1)
}

/// When the replicas there are will have served what waits, from now.
#[must_use]
pub fn finish(need: &Need, supply: &Supply) -> Duration {
    let service = supply.service.unwrap_or(SERVICE);
    let have = (supply.ready + supply.loading).max(1);
    let slots = f64::from(have) * f64::from(supply.concurrency.max(1));
    let rounds = (f64::from(need.waiting) + f64::from(need.running)) / slots;
    let start = if supply.ready > 0 {
        Duration::ZERO
    } else {
        supply.next
    };
    start.saturating_add(crate::number::time(rounds.ceil() * service))
}
