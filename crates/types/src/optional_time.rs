//! Serializes an optional time as a plain one, in which zero stands for none.
//!
//! This is the form of route tables in logs, snapshots and views.

use std::time::Duration;

use serde::{Deserializer, Serialize, Serializer};

use crate::bounded_time;

/// Serializes a time; zero if there is none.
#[allow(clippy::ref_option, reason = "serde passes a reference to the field")]
pub(crate) fn serialize<S: Serializer>(
    time: &Option<Duration>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    time.unwrap_or_default().serialize(serializer)
}

/// Deserializes a time, bounded as others are; `None` if it is zero.
pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<Duration>, D::Error> {
    let time = bounded_time::deserialize(deserializer)?;
    Ok(Some(time).filter(|time| !time.is_zero()))
}
