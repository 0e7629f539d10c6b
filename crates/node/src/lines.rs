//! A bound on the log's lines, so that a burst does not drown the host.

use std::time::Duration;

use tokio::time::Instant;

/// Lines that may be written in one second.
const RATE: u32 = 400;

/// The time over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Counts the lines of one writer.
///
/// ```
/// use cornelhitch_node::lines::Lines;
///
/// let mut lines = Lines::default();
/// let written = (0..1_000).filter(|_| lines.admits()).count();
/// assert!(written < 1_000);
/// ```
#[derive(Debug)]
pub struct Lines {
    since: Instant,
    written: u32,
    dropped: u64,
}

impl Default for Lines {
    fn default() -> Self {
        Self {
            since: Instant::now(),
            written: 0,
            dropped: 0,
        }
    }
}

impl Lines {
    /// Whether another line may be written now; tells how many were dropped before.
    pub fn admits(&mut self) -> bool {
        if self.since.elapsed() >= WINDOW {
            if self.dropped > 0 {
                tracing::warn!(dropped = self.dropped, "lines about requests were dropped");
            }
            *self = Self::default();
        }
        if self.written < RATE {
            self.written += 1;
            return true;
        }
        self.dropped += 1;
        false
    }
}
