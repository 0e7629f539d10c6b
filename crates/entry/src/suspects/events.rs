//! Counts the targets that ended at one moment as one event.
//!
//! Targets that end together mostly have one cause in common (a rack, a rollout, a network), so their
//! ends are not independent observations of what ran there. If a part has no other crashes, and a run of it
//! had delivered for some time, the first end has the full weight of a strike, all others of the event
//! together that of one more. A crash at another moment, before an answer has cleared the event, makes
//! the common cause unlikely.

use std::time::Duration;

use cornelhitch_types::id::Time;

use super::Knowledge;
use super::record::Crash;

/// Length of an event from its first end. Faults end targets within some hundred milliseconds, and
/// hosts learn of the ends at others by a commit and a push, up to 300 ms later.
const EVENT_LENGTH: Duration = Duration::from_millis(500);

/// How long after its last end an event is taken to have a common cause without an answer that clears
/// it. What runs on targets that are left is answered within it; if none are left, targets that come
/// back must not get all that waits of a part that ended them.
const EVENT_TRUST: Duration = Duration::from_secs(2);

/// The number of strikes that the ends of a single event weigh at most.
const EVENT_WEIGHT: usize = 2;

/// The number of ends from which on an event has a common cause, which what runs elsewhere survives.
const COMMON_CAUSE: usize = 3;

/// Returns the number of strikes that crashes weigh. Crashes whose time is not known are events of
/// their own; `witnessed` says whether a run of the part had delivered for some time.
pub(super) fn weight<'a>(
    crashes: impl IntoIterator<Item = &'a Crash>,
    witnessed: bool,
    now: Time,
) -> usize {
    let (mut dated, mut weight) = (Vec::new(), 0);
    for crash in crashes {
        match crash.time() {
            Some(time) => dated.push(time),
            None => weight += 1,
        }
    }
    dated.sort_unstable();
    let is_recent = dated.last().is_some_and(|last| now < *last + EVENT_TRUST);
    let is_single_event = weight == 0 && events(&dated).count() == 1;
    if witnessed && is_recent && is_single_event {
        dated.len().min(EVENT_WEIGHT)
    } else {
        weight + dated.len()
    }
}

/// Returns what a complete answer disproves of some crashes besides those that were known when its
/// request was sent: events with a common cause that its run outlasted, up to the first other crash.
pub(super) fn outlasted(crashes: &[Crash], known: Knowledge, now: Time) -> Knowledge {
    let unknown = crashes.iter().filter(|crash| !crash.is_known(known));
    let mut unknown: Vec<&Crash> = unknown.collect();
    unknown.sort_by_key(|crash| crash.time());
    if unknown.iter().any(|crash| crash.time().is_none()) {
        return known;
    }
    let times: Vec<Time> = unknown.iter().filter_map(|crash| crash.time()).collect();
    let mut outlasted = known;
    let mut from = 0;
    for ends in events(&times) {
        let event = &unknown[from..from + ends];
        from += ends;
        if ends < COMMON_CAUSE || now < times[from - 1] + EVENT_LENGTH {
            break;
        }
        let newest = event.iter().filter_map(|crash| crash.index).max();
        outlasted.index = outlasted.index.max(newest.unwrap_or(0));
        outlasted.at = outlasted.at.max(times[from - 1]);
    }
    outlasted
}

/// Returns the number of ends of each event; the times are in order.
fn events(times: &[Time]) -> impl Iterator<Item = usize> {
    let mut left = times;
    std::iter::from_fn(move || {
        let first = *left.first()?;
        let ends = left.partition_point(|time| *time < first + EVENT_LENGTH);
        left = &left[ends..];
        Some(ends)
    })
}
