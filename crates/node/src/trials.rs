//! Trials of request parts under which targets ended, granted to entry hosts by the leader.

use std::collections::BTreeMap;
use std::time::Duration;

use cornelhitch_control::command::Command;
use cornelhitch_entry::suspects::TRIAL_TIMEOUT;
use cornelhitch_types::id::Time;

/// How long after the end of a trial's target no other trial of its parts is granted: entry hosts
/// that have not heard of this end yet would ask at once.
const PUBLICATION_TIME: Duration = Duration::from_secs(1);

/// The trials of the leader's term that may still run.
///
/// A new leader doesn't know the trials of its predecessor. It grants none at first, so that hosts
/// hear of the outcome of the last one; a trial that takes longer may run beside another one.
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
    /// Until when none is granted.
    paused_until: Time,
}

impl Trials {
    /// Creates the trials of a leader that was elected at a given time.
    ///
    /// ```
    /// use cornelhitch_node::trials::Trials;
    /// use std::time::Duration;
    ///
    /// let mut trials = Trials::elected(Duration::ZERO);
    /// assert!(!trials.grant(&[7], Duration::ZERO));
    /// assert!(trials.grant(&[7], Duration::from_secs(1)));
    /// ```
    #[must_use]
    pub fn elected(now: Time) -> Self {
        Self {
            until: BTreeMap::new(),
            paused_until: now + PUBLICATION_TIME,
        }
    }

    /// Grants a trial of some parts, unless one of them is being tried.
    pub fn grant(&mut self, parts: &[u64], now: Time) -> bool {
        self.until.retain(|_, until| *until > now);
        let is_tried = |part| self.until.contains_key(part);
        if now < self.paused_until || parts.iter().any(is_tried) {
            return false;
        }
        let until = now + TRIAL_TIMEOUT;
        self.until.extend(parts.iter().map(|part| (*part, until)));
        true
    }

    /// Ends the trials whose outcome a committed command tells: the crashes of their parts were
    /// cleared, or their target ended, which entry hosts are given time to hear of.
    ///
    /// ```
    /// use cornelhitch_control::command::Command;
    /// use cornelhitch_control::sections::Acquittal;
    /// use cornelhitch_node::trials::Trials;
    /// use std::time::Duration;
    ///
    /// let mut trials = Trials::default();
    /// assert!(trials.grant(&[7], Duration::ZERO));
    /// let sections = vec![7];
    /// let acquittal = Command::AcquitSections(Acquittal { sections, known: 1 });
    /// trials.on_committed(&acquittal, Duration::from_secs(1));
    /// assert!(trials.grant(&[7], Duration::from_secs(1)));
    /// ```
    pub fn on_committed(&mut self, command: &Command, now: Time) {
        match command {
            Command::StrikeSections(strike) => self.end(&strike.tried, now + PUBLICATION_TIME),
            Command::AcquitSections(acquittal) => self.end(&acquittal.sections, now),
            Command::Batch(commands) => {
                for command in commands {
                    self.on_committed(command, now);
                }
            }
            _ => {}
        }
    }

    /// Lets the trials of some parts run until a given time at most.
    fn end(&mut self, parts: &[u64], latest: Time) {
        for part in parts {
            if let Some(until) = self.until.get_mut(part) {
                *until = latest.min(*until);
            }
        }
    }
}
