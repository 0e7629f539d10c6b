//! The reasons for refusing a request, as reported to callers.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString};

use crate::id::Name;

/// Whether a refused request was executed.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString, EnumIter,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Run {
    /// No byte of the request reached a target.
    NotRun,
    /// The request may have been executed.
    Unknown,
    /// The request was executed and failed.
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
    /// The body exceeds the size limit.
    TooLarge,
    /// The requested model or service does not exist.
    Unknown,
    /// The queue is full, and the requests in it rank ahead of this one.
    Overloaded,
    /// The caller has too many requests in flight or queued.
    Limited,
    /// The expected start of execution is past the deadline.
    Late,
    /// The deadline passed while the request was queued.
    Expired,
    /// The host lost contact with control and may not accept requests.
    Isolated,
    /// The host is shutting down.
    Draining,
    /// No target can run the request.
    Unavailable,
    /// The idempotency key was used before with a different body.
    Mismatch,
    /// A request with the same idempotency key is in progress.
    InProgress,
    /// The target failed after the request was sent to it.
    TargetFailed,
    /// Targets failed while running this request, so it is quarantined.
    Quarantined,
    /// The outcome of the idempotency key was recorded, but is no longer kept.
    Forgotten,
    /// The route needs an API key, and the request has none that is known.
    Unauthenticated,
    /// The caller's team has used its quota.
    Quota,
}

/// A refusal as the caller receives it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The reason for the refusal.
    pub reason: Reason,
    /// Whether the request was executed.
    pub run: Run,
    /// Time after which a retry may succeed; `None` if a retry cannot help.
    pub retry_after: Option<Duration>,
    /// Human-readable explanation.
    pub detail: Name,
}
