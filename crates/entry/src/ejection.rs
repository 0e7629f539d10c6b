//! Ejects targets that this host cannot reach, until a probe connects.

use std::collections::BTreeMap;
use std::time::Duration;

use cornelhitch_types::id::{TargetId, Time};
use serde::Serialize;

/// Delay before the first probe.
const INITIAL_PROBE_DELAY: Duration = Duration::from_millis(500);

/// Maximum delay between probes.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(8);

/// An ejected target.
#[derive(Debug, Clone, Serialize)]
struct EjectedTarget {
    /// The delay before the next probe.
    pause: Duration,
    /// When the next probe is due.
    due: Time,
}

/// The targets that are currently ejected.
#[derive(Debug, Default, Serialize)]
pub struct Ejections {
    #[serde(rename = "out")]
    ejected: BTreeMap<TargetId, EjectedTarget>,
}

impl Ejections {
    /// Ejects a target. Returns `false` if it was already ejected.
    pub fn eject(&mut self, target: &TargetId, now: Time) -> bool {
        if self.ejected.contains_key(target) {
            return false;
        }
        let ejected_target = EjectedTarget {
            pause: INITIAL_PROBE_DELAY,
            due: now + INITIAL_PROBE_DELAY,
        };
        self.ejected.insert(target.clone(), ejected_target);
        true
    }

    /// Whether a target is ejected.
    ///
    /// ```
    /// use cornelhitch_entry::ejection::Ejections;
    /// use std::time::Duration;
    ///
    /// let mut ejections = Ejections::default();
    /// ejections.eject(&"worker-1".into(), Duration::ZERO);
    /// assert!(ejections.is_ejected("worker-1"));
    /// ejections.readmit("worker-1");
    /// assert!(!ejections.is_ejected("worker-1"));
    /// ```
    #[must_use]
    pub fn is_ejected(&self, target: &str) -> bool {
        self.ejected.contains_key(target)
    }

    /// Readmits a target.
    pub fn readmit(&mut self, target: &str) {
        self.ejected.remove(target);
    }

    /// Returns the names of the ejected targets.
    #[must_use]
    pub fn targets(&self) -> Vec<TargetId> {
        self.ejected.keys().cloned().collect()
    }

    /// Returns the targets whose probe is due, and schedules the next probe of each with twice the
    /// delay.
    pub fn take_due(&mut self, now: Time) -> Vec<TargetId> {
        let mut due = Vec::new();
        for (target, ejected_target) in &mut self.ejected {
            if ejected_target.due <= now {
                ejected_target.pause = (ejected_target.pause * 2).min(MAX_PROBE_DELAY);
                ejected_target.due = now + ejected_target.pause;
                due.push(target.clone());
            }
        }
        due
    }

    /// Returns when the next probe is due.
    #[must_use]
    pub fn next_probe(&self) -> Option<Time> {
        self.ejected
            .values()
            .map(|ejected_target| ejected_target.due)
            .min()
    }
}
