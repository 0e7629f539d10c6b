//! Conversions between counts, bytes, times and floating point.

use std::time::Duration;

/// Bytes in a mebibyte, as a shift.
const MEBIBYTE_BITS: u32 = 20;
/// Mebibytes in a gibibyte.
const MEBIBYTES: f64 = 1024.0;

/// Bytes in gibibytes, to the mebibyte.
#[must_use]
pub fn gibibytes(bytes: u64) -> f64 {
    count(bytes >> MEBIBYTE_BITS) / MEBIBYTES
}

/// A count as a number; counts above 32 bits are cut to the largest.
#[must_use]
pub fn count(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Seconds as a time; negative and endless ones are cut to the nearest time.
#[must_use]
pub fn time(seconds: f64) -> Duration {
    if seconds <= 0.0 || seconds.is_nan() {
        return Duration::ZERO;
    }
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

/// A number rounded up to a count of at least 1.
#[must_use]
pub fn whole(number: f64) -> u32 {
    let clamped = number.ceil().clamp(1.0, f64::from(u32::MAX));
    // The clamp keeps the cast exact.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let whole = clamped as u32;
    whole
}
