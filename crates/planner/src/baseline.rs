//! Keeping policies to compare with: for ever, time-outs, and evict-when-full.
//!
//! All of them share the real planner's placing and loading, so that a
//! difference between them comes from keeping alone.

use std::time::Duration;

use crate::keep::{Facts, Keep, Verdict};

/// Keeps every replica for ever and pushes none out.
#[derive(Debug, Clone, Copy, Default)]
pub struct Forever;

/// Unloads a replica once it has been idle for a fixed time.
#[derive(Debug, Clone, Copy)]
pub struct Timeout {
    /// The time.
    pub after: Duration,
}

/// Unloads a replica only when its memory is needed: the one used longest ago.
#[derive(Debug, Clone, Copy, Default)]
pub struct Full;

/// The verdict that keeps a replica for as long as can be.
const KEEP: Verdict = Verdict {
    keep: Duration::MAX,
    chance: 1.0,
    cost: 0.0,
};

impl Keep for Forever {
    fn verdict(&self, _facts: &Facts) -> Verdict {
        KEEP
    }

    fn price(&self, _facts: &Facts) -> Option<Duration> {
        None
    }

    fn surplus(&self) -> Option<Duration> {
        None
    }
}

impl Keep for Timeout {
    fn verdict(&self, facts: &Facts) -> Verdict {
        Verdict::fixed(self.after.saturating_sub(facts.idle))
    }

    fn price(&self, facts: &Facts) -> Option<Duration> {
        Some(oldest(facts))
    }

    fn surplus(&self) -> Option<Duration> {
        Some(self.after)
    }
}

impl Keep for Full {
    fn verdict(&self, _facts: &Facts) -> Verdict {
        KEEP
    }

    fn price(&self, facts: &Facts) -> Option<Duration> {
        Some(oldest(facts))
    }

    fn surplus(&self) -> Option<Duration> {
        None
    }
}

/// A small price that falls with the idle time, so that the one used longest ago goes first.
fn oldest(facts: &Facts) -> Duration {
    Duration::from_secs(1).div_f64(1.0 + facts.idle.as_secs_f64())
}
