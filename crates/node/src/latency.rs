//! Latency histograms in the Prometheus text format.

use std::fmt::Write;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;

/// The largest latency that is recorded exactly, in milliseconds; longer ones count as this.
const MAX_LATENCY_MS: u64 = 600_000;

/// Significant decimal digits of recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Upper bounds of the exported buckets, in milliseconds.
const BOUNDS_MS: [u64; 12] = [
    5, 10, 25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400, 12_800,
];

/// A histogram of latencies in milliseconds.
#[derive(Debug)]
pub struct Latency(Mutex<Histogram<u64>>);

impl Default for Latency {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS);
        Self(Mutex::new(histogram.expect("bounds in order")))
    }
}

impl Latency {
    /// Records one latency; less than 1 ms counts as 1 ms.
    pub fn record(&self, latency: Duration) {
        let ms = u64::try_from(latency.as_millis()).unwrap_or(MAX_LATENCY_MS);
        let mut histogram = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        histogram.saturating_record(ms.max(1));
    }

    /// Writes the histogram under a name: cumulative buckets in seconds, the sum and the count.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use cornelhitch_node::latency::Latency;
    ///
    /// let latency = Latency::default();
    /// latency.record(Duration::from_millis(30));
    /// let mut text = String::new();
    /// latency.write("answer", &mut text);
    /// assert!(text.contains("answer_seconds_bucket{le=\"0.025\"} 0\n"));
    /// assert!(text.contains("answer_seconds_bucket{le=\"0.05\"} 1\n"));
    /// assert!(text.contains("answer_seconds_count 1\n"));
    /// ```
    pub fn write(&self, name: &str, text: &mut String) {
        let histogram = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let count = histogram.len();
        // Writing to a string cannot fail.
        for bound in BOUNDS_MS {
            let below = histogram.count_between(0, bound);
            let bound = Duration::from_millis(bound).as_secs_f64();
            let _ = writeln!(text, "{name}_seconds_bucket{{le=\"{bound}\"}} {below}");
        }
        let _ = writeln!(text, "{name}_seconds_bucket{{le=\"+Inf\"}} {count}");
        #[allow(clippy::cast_precision_loss)]
        let sum = histogram.mean() * count as f64 / 1_000.0;
        let _ = writeln!(text, "{name}_seconds_sum {sum:.3}");
        let _ = writeln!(text, "{name}_seconds_count {count}");
    }
}
