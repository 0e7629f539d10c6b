//! Conversions between integers, bytes, durations and floating point.

use std::time::Duration;

/// Shift that converts bytes to mebibytes.
const MEBIBYTE_SHIFT: u32 = 20;
/// Mebibytes in a gibibyte.
const MEBIBYTES_PER_GIBIBYTE: f64 = 1024.0;

/// Converts bytes to gibibytes, rounded down to a whole mebibyte.
#[must_use]
pub fn gibibytes(bytes: u64) -> f64 {
    to_f64(bytes >> MEBIBYTE_SHIFT) / MEBIBYTES_PER_GIBIBYTE
}

/// Converts an integer to floating point; values above [`u32::MAX`] saturate.
#[must_use]
pub fn to_f64(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Converts seconds to a duration; negative, NaN and overlong values are clamped.
#[must_use]
pub fn duration_from_secs(seconds: f64) -> Duration {
    if seconds <= 0.0 || seconds.is_nan() {
        return Duration::ZERO;
    }
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

/// Rounds up to an integer of at least 1.
#[must_use]
pub fn ceil_to_u32(number: f64) -> u32 {
    let clamped = number.ceil().clamp(1.0, f64::from(u32::MAX));
    // The clamp above keeps the cast exact.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let integer = clamped as u32;
    integer
}
