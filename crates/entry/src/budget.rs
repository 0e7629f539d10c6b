//! A budget of retries, so that they cannot double the load of a sick fleet.

use cornelhitch_types::id::Time;
use serde::Serialize;

/// Retries that each first send earns.
const EARNED: f64 = 0.2;

/// Retries that a second earns, so that a quiet host has some.
const EARNED_PER_SECOND: f64 = 1.0;

/// Retries that can be saved up: one full batch of a large engine, twice.
const LIMIT: f64 = 64.0;

/// A token bucket of retries.
#[derive(Debug, Clone, Serialize)]
pub struct Budget {
    /// Retries that may be made now.
    tokens: f64,
    /// When the tokens were counted.
    at: Time,
}

impl Budget {
    /// A full budget.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            tokens: LIMIT,
            at: now,
        }
    }

    /// Earns for a first send.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + EARNED).min(LIMIT);
    }

    /// Takes one retry, if there is one.
    ///
    /// ```
    /// use cornelhitch_entry::budget::Budget;
    /// use std::time::Duration;
    ///
    /// let mut budget = Budget::new(Duration::ZERO);
    /// let made = (0..100).filter(|_| budget.spend(Duration::ZERO)).count();
    /// assert_eq!(made, 64);
    /// ```
    pub fn spend(&mut self, now: Time) -> bool {
        self.refill(now);
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }

    /// Whether a retry may be made.
    pub fn has(&mut self, now: Time) -> bool {
        self.refill(now);
        self.tokens >= 1.0
    }

    /// Earns for the time that has passed.
    fn refill(&mut self, now: Time) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.tokens = (self.tokens + passed * EARNED_PER_SECOND).min(LIMIT);
        self.at = now.max(self.at);
    }
}
