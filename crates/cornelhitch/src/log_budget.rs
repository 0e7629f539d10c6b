//! How much may be logged: a token bucket over the bytes of all lines.
//!
//! Callers can make a process log as often as they send requests. The bucket bounds the volume of all lines
//! together, whatever causes them. Warnings and errors have a part of it to themselves, so that lines about
//! requests don't displace them.

use std::time::Duration;

/// Bytes by which the budget refills in a second.
const BYTES_PER_SECOND: f64 = 500_000.0;

/// Bytes that may be written at once.
const BURST_BYTES: f64 = 2_000_000.0;

/// Part of the burst that only warnings and errors may use.
const RESERVED_BYTES: f64 = 500_000.0;

/// Longest line, in bytes.
pub const MAX_LINE_BYTES: usize = 16 << 10;

/// The bytes that may be logged.
///
/// ```
/// use std::time::Duration;
///
/// use cornelhitch::log_budget::LogBudget;
///
/// let mut budget = LogBudget::default();
/// let lines = (0..10_000).filter(|_| budget.take(1_000, false, Duration::ZERO)).count();
/// assert_eq!(lines, 1_500);
/// assert!(budget.take(1_000, true, Duration::ZERO));
/// assert!(budget.take(1_000, false, Duration::from_secs(1)));
/// ```
#[derive(Debug)]
pub struct LogBudget {
    /// Bytes that are left.
    left: f64,
    /// When they were last refilled.
    refilled_at: Duration,
}

impl Default for LogBudget {
    fn default() -> Self {
        Self {
            left: BURST_BYTES,
            refilled_at: Duration::ZERO,
        }
    }
}

impl LogBudget {
    /// Takes the bytes of a line; returns whether it may be written. `urgent` lines are warnings and errors.
    pub fn take(&mut self, bytes: usize, urgent: bool, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.left = (self.left + elapsed * BYTES_PER_SECOND).min(BURST_BYTES);
        self.refilled_at = self.refilled_at.max(now);
        let reserved = if urgent { 0.0 } else { RESERVED_BYTES };
        let Ok(length) = u32::try_from(bytes) else {
            return false;
        };
        let fits = bytes <= MAX_LINE_BYTES && f64::from(length) <= self.left - reserved;
        if fits {
            self.left -= f64::from(length);
        }
        fits
    }
}
