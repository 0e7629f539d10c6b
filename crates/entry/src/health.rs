//! Targets whose answers are mostly errors of their own.
//!
//! Such a target may say that it is well and take every request, at once and in vain. It is left
//! out while another one can take a request, and is tried again when its errors are some time ago.

use std::collections::BTreeMap;
use std::time::Duration;

use cornelhitch_types::id::{TargetId, Time};
use serde::Serialize;

/// Time after which an answer counts half.
const HALF: Duration = Duration::from_secs(10);

/// Errors from which on a target may count as failing: a single one may be the request's own.
const LEAST: f64 = 1.5;

/// The part of the answers that are errors from which on a target counts as failing.
const PART: f64 = 0.3;

/// Answers of one target, the older the less they count.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct Record {
    answers: f64,
    errors: f64,
    at: Time,
}

impl Record {
    /// The same as it counts later.
    fn at(self, now: Time) -> Self {
        let halves = now.saturating_sub(self.at).as_secs_f64() / HALF.as_secs_f64();
        let kept = 0.5_f64.powf(halves);
        Self {
            answers: self.answers * kept,
            errors: self.errors * kept,
            at: now,
        }
    }
}

/// How the targets have answered of late.
#[derive(Debug, Default, Serialize)]
pub struct Health {
    /// By target.
    records: BTreeMap<TargetId, Record>,
}

impl Health {
    /// A target answered, with an error of its own or not.
    pub fn answered(&mut self, target: &TargetId, error: bool, now: Time) {
        let record = self.records.entry(target.clone()).or_default();
        *record = record.at(now);
        record.answers += 1.0;
        if error {
            record.errors += 1.0;
        }
    }

    /// Forgets a target, when it is gone or has a new life.
    pub fn forget(&mut self, target: &str) {
        self.records.remove(target);
    }

    /// Whether the answers of a target are mostly errors.
    ///
    /// ```
    /// use cornelhitch_entry::health::Health;
    /// use std::time::Duration;
    ///
    /// let (mut health, target) = (Health::default(), "worker-1".into());
    /// health.answered(&target, true, Duration::ZERO);
    /// health.answered(&target, true, Duration::ZERO);
    /// assert!(health.is_failing("worker-1", Duration::ZERO));
    /// assert!(!health.is_failing("worker-1", Duration::from_secs(30)));
    /// ```
    #[must_use]
    pub fn is_failing(&self, target: &str, now: Time) -> bool {
        let Some(record) = self.records.get(target) else {
            return false;
        };
        let record = record.at(now);
        record.errors >= LEAST && record.errors > record.answers * PART
    }
}
