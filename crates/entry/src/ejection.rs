//! Targets that this host cannot reach, left out until a probe connects.

use std::collections::BTreeMap;
use std::time::Duration;

use cornelhitch_types::id::{TargetId, Time};
use serde::Serialize;

/// The pause before the first probe.
const FIRST: Duration = Duration::from_millis(500);

/// The longest pause between probes.
const LONGEST: Duration = Duration::from_secs(8);

/// A target that is left out.
#[derive(Debug, Clone, Serialize)]
struct Out {
    /// The pause before the next probe.
    pause: Duration,
    /// When the next probe is due.
    due: Time,
}

/// Targets that are left out.
#[derive(Debug, Default, Serialize)]
pub struct Ejections {
    /// By name.
    out: BTreeMap<TargetId, Out>,
}

impl Ejections {
    /// Leaves a target out; returns whether it was in before.
    pub fn eject(&mut self, target: &TargetId, now: Time) -> bool {
        if self.out.contains_key(target) {
            return false;
        }
        let out = Out {
            pause: FIRST,
            due: now + FIRST,
        };
        self.out.insert(target.clone(), out);
        true
    }

    /// Whether a target is left out.
    ///
    /// ```
    /// use cornelhitch_entry::ejection::Ejections;
    /// use std::time::Duration;
    ///
    /// let mut ejections = Ejections::default();
    /// ejections.eject(&"worker-1".into(), Duration::ZERO);
    /// assert!(ejections.has("worker-1"));
    /// ejections.readmit("worker-1");
    /// assert!(!ejections.has("worker-1"));
    /// ```
    #[must_use]
    pub fn has(&self, target: &str) -> bool {
        self.out.contains_key(target)
    }

    /// Takes a target in again.
    pub fn readmit(&mut self, target: &str) {
        self.out.remove(target);
    }

    /// The targets that are left out.
    #[must_use]
    pub fn names(&self) -> Vec<TargetId> {
        self.out.keys().cloned().collect()
    }

    /// The targets whose probe is due; each next pause is twice as long.
    pub fn due(&mut self, now: Time) -> Vec<TargetId> {
        let mut due = Vec::new();
        for (target, out) in &mut self.out {
            if out.due <= now {
                out.pause = (out.pause * 2).min(LONGEST);
                out.due = now + out.pause;
                due.push(target.clone());
            }
        }
        due
    }

    /// When the next probe is due.
    #[must_use]
    pub fn next(&self) -> Option<Time> {
        self.out.values().map(|out| out.due).min()
    }
}
