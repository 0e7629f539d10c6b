//! A budget of retries, so that they cannot double the load of a sick fleet.

use std::time::Duration;

use cornelhitch_settings::process::Serving;
use cornelhitch_types::id::Time;
use serde::Serialize;

/// Retries that each first send earns.
const EARNED: f64 = 0.2;

/// Retries that a second earns, so that a quiet host has some.
const EARNED_PER_SECOND: f64 = 1.0;

/// Retries that can be saved up: one full batch of a large engine, twice.
const LIMIT: f64 = 64.0;

/// The part of the shared slack that can be saved up; the rest is earned by the second.
const SAVED: f64 = 0.6;

/// How retries are earned and saved up.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Rule {
    /// Retries that each first send earns.
    pub earned: f64,
    /// Retries that a second earns.
    pub per_second: f64,
    /// Retries that can be saved up.
    pub limit: f64,
}

impl Rule {
    /// The rule of a host that counts its own retries.
    #[must_use]
    pub fn alone() -> Self {
        Self {
            earned: EARNED,
            per_second: EARNED_PER_SECOND,
            limit: LIMIT,
        }
    }

    /// This host's part of what all entry hosts may retry together in a window: what is saved up
    /// and what a window's seconds earn are its part of the slack.
    ///
    /// ```
    /// use cornelhitch_entry::budget::Rule;
    /// use cornelhitch_settings::process::Serving;
    ///
    /// let serving = Serving { retry_slack: 60, retry_window_ms: 10_000, ..Serving::default() };
    /// let rule = Rule::shared(&serving, 10);
    /// assert!(rule.limit + 10.0 * rule.per_second <= 6.0);
    /// ```
    #[must_use]
    pub fn shared(serving: &Serving, hosts: u32) -> Self {
        if serving.retry_window_ms == 0 {
            return Self::alone();
        }
        let part = f64::from(serving.retry_slack) / f64::from(hosts.max(1));
        let window = Duration::from_millis(serving.retry_window_ms);
        Self {
            earned: serving.retry_ratio,
            per_second: part * (1.0 - SAVED) / window.as_secs_f64(),
            limit: part * SAVED,
        }
    }
}

/// A token bucket of retries.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Budget {
    /// How retries are earned.
    rule: Rule,
    /// Retries that may be made now.
    tokens: f64,
    /// When the tokens were counted.
    at: Time,
}

impl Budget {
    /// A full budget.
    #[must_use]
    pub fn new(rule: Rule, now: Time) -> Self {
        Self {
            rule,
            tokens: rule.limit,
            at: now,
        }
    }

    /// Goes on under another rule.
    pub fn adopt(&mut self, rule: Rule) {
        self.rule = rule;
        self.tokens = self.tokens.min(rule.limit);
    }

    /// Earns for a first send.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.rule.earned).min(self.rule.limit);
    }

    /// Takes one retry, if there is one.
    ///
    /// ```
    /// use cornelhitch_entry::budget::{Budget, Rule};
    /// use std::time::Duration;
    ///
    /// let mut budget = Budget::new(Rule::alone(), Duration::ZERO);
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
        self.tokens = (self.tokens + passed * self.rule.per_second).min(self.rule.limit);
        self.at = now.max(self.at);
    }
}
