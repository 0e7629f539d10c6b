//! Detects targets that mostly answer with errors of their own.
//!
//! Such a target may report itself as healthy, accept every request and fail it at once. It is
//! avoided while another target can take the request, and tried again some time after its last
//! errors.

use std::collections::BTreeMap;
use std::time::Duration;

use cornelhitch_types::id::{TargetId, Time};
use serde::Serialize;

/// Time after which a response counts half.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Minimum number of errors for a target to count as failing; a single one may be caused by the
/// request.
const MIN_ERRORS: f64 = 1.5;

/// Ratio of errors to responses above which a target counts as failing.
const MIN_ERROR_RATIO: f64 = 0.3;

/// Exponentially decaying counts of one target's responses.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct Record {
    answers: f64,
    errors: f64,
    at: Time,
}

impl Record {
    /// Returns the counts decayed to `now`.
    fn decayed(self, now: Time) -> Self {
        let half_lives = now.saturating_sub(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let kept = 0.5_f64.powf(half_lives);
        Self {
            answers: self.answers * kept,
            errors: self.errors * kept,
            at: now,
        }
    }
}

/// Recent error ratios of all targets.
#[derive(Debug, Default, Serialize)]
pub struct Health {
    records: BTreeMap<TargetId, Record>,
}

impl Health {
    /// Records a response; `error` means an error caused by the target itself.
    pub fn record_answer(&mut self, target: &TargetId, error: bool, now: Time) {
        let record = self.records.entry(target.clone()).or_default();
        *record = record.decayed(now);
        record.answers += 1.0;
        if error {
            record.errors += 1.0;
        }
    }

    /// Drops the record of a target that was removed or has restarted.
    pub fn forget(&mut self, target: &str) {
        self.records.remove(target);
    }

    /// Whether a target has answered a request since it is known.
    #[must_use]
    pub fn has_answered(&self, target: &str) -> bool {
        self.records.contains_key(target)
    }

    /// Whether a target's recent responses are mostly errors.
    ///
    /// ```
    /// use cornelhitch_entry::health::Health;
    /// use std::time::Duration;
    ///
    /// let (mut health, target) = (Health::default(), "worker-1".into());
    /// health.record_answer(&target, true, Duration::ZERO);
    /// health.record_answer(&target, true, Duration::ZERO);
    /// assert!(health.is_failing("worker-1", Duration::ZERO));
    /// assert!(!health.is_failing("worker-1", Duration::from_secs(30)));
    /// ```
    #[must_use]
    pub fn is_failing(&self, target: &str, now: Time) -> bool {
        let Some(record) = self.records.get(target) else {
            return false;
        };
        let record = record.decayed(now);
        record.errors >= MIN_ERRORS && record.errors > record.answers * MIN_ERROR_RATIO
    }
}
