//! What a caller learns when its request is not answered in full.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString};

use crate::id::Name;

/// Whether a refused request ran.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString, EnumIter,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Run {
    /// No byte of it reached a target.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran, and failed.
    Failed,
}

/// Why a request was refused; each reason has its own HTTP status and problem type.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    EnumIter,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// The request is malformed.
    Malformed,
    /// The body is over the limit.
    TooLarge,
    /// No such model or service.
    Unknown,
    /// The queue is full and others are nearer to being met.
    Overloaded,
    /// The caller has too many requests.
    Limited,
    /// The expected start lies past the deadline.
    Late,
    /// The deadline came while it waited.
    Expired,
    /// This host may not take requests now: it lost touch with control.
    Isolated,
    /// This host is shutting down.
    Draining,
    /// No target can run it.
    Unavailable,
    /// The key was used with another body.
    Mismatch,
    /// The same request is in progress.
    InProgress,
    /// The target failed after it was sent.
    TargetFailed,
    /// Targets failed while running it; it is kept from others.
    Quarantined,
    /// The outcome was recorded once but is no longer kept.
    Forgotten,
}

/// A refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether the request ran.
    pub run: Run,
    /// When to come back, where coming back can help.
    pub retry_after: Option<Duration>,
    /// A sentence for people.
    pub detail: Name,
}
