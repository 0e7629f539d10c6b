//! Trials of request parts under which targets ended, granted to entry hosts by the leader.

use std::collections::BTreeMap;

use cornelhitch_entry::suspects::TRIAL_TIMEOUT;
use cornelhitch_types::id::Time;

/// The trials of the leader's term that may still run.
///
/// A new leader starts without any, so one more may run beside a trial that was granted before.
///
/// ```
/// use cornelhitch_node::trials::Trials;
/// use std::time::Duration;
///
/// let mut trials = Trials::default();
/// assert!(trials.grant(&[7, 8], Duration::ZERO));
/// assert!(!trials.grant(&[8], Duration::from_secs(1)));
/// assert!(trials.grant(&[8], Duration::from_secs(6)));
/// ```
#[derive(Debug, Default)]
pub struct Trials {
    /// Until when each part is tried.
    until: BTreeMap<u64, Time>,
}

impl Trials {
    /// Grants a trial of some parts, unless one of them is being tried.
    pub fn grant(&mut self, parts: &[u64], now: Time) -> bool {
        self.until.retain(|_, until| *until > now);
        if parts.iter().any(|part| self.until.contains_key(part)) {
            return false;
        }
        let until = now + TRIAL_TIMEOUT;
        self.until.extend(parts.iter().map(|part| (*part, until)));
        true
    }
}
