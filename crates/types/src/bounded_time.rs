//! Deserializes the times of a route table, none of which is longer than [`MAX_TIME`].
//!
//! Tables in logs, snapshots and views of earlier versions may hold longer ones, whose sums with other times would
//! overflow.

use std::time::Duration;

use serde::{Deserialize, Deserializer};

/// The longest time that a table states. Sums of it with other times don't overflow.
pub const MAX_TIME: Duration = Duration::from_hours(24 * 365 * 100);

/// Deserializes a time; a longer one becomes [`MAX_TIME`].
pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Duration, D::Error> {
    Ok(Duration::deserialize(deserializer)?.min(MAX_TIME))
}
