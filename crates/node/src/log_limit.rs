//! Limits on the number and the length of log lines, so that requests cannot overload the host with logging.

use std::time::Duration;

use tokio::time::Instant;

/// Log lines allowed in one window.
const MAX_LINES: u32 = 400;

/// The window over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Longest part of what a caller names that is logged, in bytes.
const MAX_VALUE_BYTES: usize = 256;

/// Returns the beginning of what a caller names, for the log.
///
/// ```
/// use cornelhitch_node::log_limit::shorten;
///
/// assert_eq!(shorten("lane-summary-1"), "lane-summary-1");
/// assert_eq!(shorten(&"é".repeat(1_000)).len(), 256);
/// ```
#[must_use]
pub fn shorten(value: &str) -> &str {
    &value[..value.floor_char_boundary(MAX_VALUE_BYTES)]
}

/// Limits the rate of log lines of one source.
///
/// ```
/// use cornelhitch_node::log_limit::LogLimiter;
///
/// let mut limiter = LogLimiter::default();
/// let written = (0..1_000).filter(|_| limiter.allow()).count();
/// assert!(written < 1_000);
/// ```
#[derive(Debug)]
pub struct LogLimiter {
    since: Instant,
    written: u32,
    dropped: u64,
}

impl Default for LogLimiter {
    fn default() -> Self {
        Self {
            since: Instant::now(),
            written: 0,
            dropped: 0,
        }
    }
}

impl LogLimiter {
    /// Returns whether another line may be written now. At the start of a window it logs how many
    /// lines were dropped in the one before.
    pub fn allow(&mut self) -> bool {
        if self.since.elapsed() >= WINDOW {
            if self.dropped > 0 {
                tracing::warn!(
                    dropped = self.dropped,
                    "log lines about requests dropped: rate limit reached"
                );
            }
            *self = Self::default();
        }
        if self.written < MAX_LINES {
            self.written += 1;
            return true;
        }
        self.dropped += 1;
        false
    }
}
