//! Trials of request parts under which targets ended, granted to entry hosts by the leader.

use std::collections::BTreeMap;
use std::time::Duration;

use cornelhitch_control::command::Command;
use cornelhitch_control::sections::Strike;
use cornelhitch_entry::suspects::TRIAL_TIMEOUT;
use cornelhitch_types::id::Time;

/// How long after the end of a trial's target no other trial of its parts is granted: entry hosts
/// that have not heard of this end yet would ask at once.
const PUBLICATION_TIME: Duration = Duration::from_secs(1);

/// Number of trials of a part that are lost without an outcome until no more are granted. With three, a
/// part that ends targets late reaches as many more as one that ends them at once.
const MAX_LOST: u32 = 3;

/// How long lost trials of a part are remembered without an answer that clears it.
const LOST_RETENTION: Duration = Duration::from_mins(10);

/// A trial that may still run.
#[derive(Debug, Clone, Copy)]
struct Trial {
    /// Until when it may run.
    until: Time,
    /// Whether a target ended under its part without being its outcome.
    is_lost: bool,
}

/// Trials of a part that were lost without an outcome.
#[derive(Debug, Default, Clone, Copy)]
struct Lost {
    count: u32,
    /// When the last one was lost.
    at: Time,
}

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
    /// The trial of each part.
    running: BTreeMap<u64, Trial>,
    /// Trials of parts whose targets ended late, which says little of the part.
    lost: BTreeMap<u64, Lost>,
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
            paused_until: now + PUBLICATION_TIME,
            ..Self::default()
        }
    }

    /// Grants a trial of some parts, unless one of them is being tried or has lost too many trials.
    pub fn grant(&mut self, parts: &[u64], now: Time) -> bool {
        self.running.retain(|_, trial| trial.until > now);
        self.lost.retain(|_, lost| now < lost.at + LOST_RETENTION);
        let is_barred = |part: &u64| {
            let lost = self.lost.get(part);
            self.running.contains_key(part) || lost.is_some_and(|it| it.count >= MAX_LOST)
        };
        if now < self.paused_until || parts.iter().any(is_barred) {
            return false;
        }
        let trial = Trial {
            until: now + TRIAL_TIMEOUT,
            is_lost: false,
        };
        self.running.extend(parts.iter().map(|part| (*part, trial)));
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
            Command::StrikeSections(strike) => {
                self.end(&strike.tried, now + PUBLICATION_TIME);
                self.record_lost(strike, now);
            }
            Command::AcquitSections(acquittal) => {
                self.end(&acquittal.sections, now);
                for section in &acquittal.sections {
                    self.lost.remove(section);
                }
            }
            Command::Batch(commands) => {
                for command in commands {
                    self.on_committed(command, now);
                }
            }
            _ => {}
        }
    }

    /// Counts the running trials of the sections of a target that ended, unless it ended under them: a host
    /// reports so a trial that had delivered for some time. A run from before the refusal counts as well.
    fn record_lost(&mut self, strike: &Strike, now: Time) {
        let untried = strike.sections.iter();
        for section in untried.filter(|it| !strike.tried.contains(it)) {
            let trial = self.running.get_mut(section);
            if let Some(trial) = trial.filter(|trial| trial.until > now && !trial.is_lost) {
                trial.is_lost = true;
                let lost = self.lost.entry(*section).or_default();
                lost.count += 1;
                lost.at = now;
            }
        }
    }

    /// Lets the trials of some parts run until a given time at most.
    fn end(&mut self, parts: &[u64], latest: Time) {
        for part in parts {
            if let Some(trial) = self.running.get_mut(part) {
                trial.until = latest.min(trial.until);
            }
        }
    }
}
