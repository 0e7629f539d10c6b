//! Targets that send heartbeats after a strike said that they had ended.
//!
//! An entry host sees only that a connection broke. Where the target runs on, the connection broke
//! for another reason, and the requests that it carried did not end the target.

use std::collections::BTreeMap;
use std::time::Duration;

use cornelhitch_types::id::Time;

use crate::strikes::TargetIncarnation;

/// How long after a strike a heartbeat arrives at the earliest to show that its target runs on; an
/// earlier one may have been sent before the connection broke.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// The number of heartbeats that show it. A target sends one at a time, so at most one that it sent
/// before its end is still on its way.
const MIN_HEARTBEATS: u32 = 2;

/// How long a target is watched; one that is silent for so long has ended.
const WATCH_TIME: Duration = Duration::from_mins(1);

/// The heartbeats of a target since it was named in a strike that nothing has disproved yet.
#[derive(Debug, Clone, Copy)]
struct Watch {
    since: Time,
    heartbeats: u32,
}

/// The targets named in strikes of the last minute.
#[derive(Debug, Default)]
pub(crate) struct Survivors {
    watches: BTreeMap<TargetIncarnation, Watch>,
}

impl Survivors {
    /// Watches the heartbeats of a target that a strike has just named, unless it is watched for an
    /// earlier one.
    pub(crate) fn watch(&mut self, target: TargetIncarnation, now: Time) {
        let (since, heartbeats) = (now, 0);
        let watch = Watch { since, heartbeats };
        self.watches.entry(target).or_insert(watch);
    }

    /// Records a heartbeat; returns until when it shows that the target has certainly run, if that
    /// disproves a strike.
    pub(crate) fn on_heartbeat(&mut self, target: &TargetIncarnation, now: Time) -> Option<Time> {
        let watch = self.watches.get_mut(target)?;
        if now >= watch.since + SETTLING_TIME {
            watch.heartbeats += 1;
        }
        (watch.heartbeats >= MIN_HEARTBEATS).then_some(watch.since)
    }

    /// Stops watching a target whose survival is recorded; later strikes are watched for anew.
    pub(crate) fn forget(&mut self, target: &TargetIncarnation) {
        self.watches.remove(target);
    }

    /// Stops watching targets that have been silent since their strike.
    pub(crate) fn expire(&mut self, now: Time) {
        self.watches
            .retain(|_, watch| now < watch.since + WATCH_TIME);
    }
}
