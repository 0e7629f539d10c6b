//! Decides what follows a failed attempt, by two tables.

use strum::Display;

use crate::event::Failure;

/// What happens to a request whose attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum NextStep {
    /// Try another replica, without using the retry budget: nothing was sent.
    Elsewhere,
    /// Try another replica, using the retry budget.
    Retry,
    /// Resume the response from what the caller already has.
    Resume,
    /// Do not retry: the outcome is unknown.
    Unknown,
}

/// One rule; a condition that is `None` matches both values.
#[derive(Debug, Clone, Copy)]
pub struct RetryRule {
    /// Whether the request may be repeated.
    pub repeatable: Option<bool>,
    /// Whether its first byte was handed to a connection.
    pub sent: Option<bool>,
    /// Whether the response has begun to reach the caller.
    pub begun: Option<bool>,
    /// What follows if the conditions match.
    pub next: NextStep,
}

/// The rules for a failed attempt; the first one that matches applies.
#[rustfmt::skip]
pub const RETRY_RULES: [RetryRule; 4] = [
    RetryRule { repeatable: None,        sent: Some(false), begun: Some(false), next: NextStep::Elsewhere },
    RetryRule { repeatable: Some(true),  sent: Some(true),  begun: Some(false), next: NextStep::Retry },
    RetryRule { repeatable: Some(true),  sent: None,        begun: Some(true),  next: NextStep::Resume },
    RetryRule { repeatable: Some(false), sent: None,        begun: None,        next: NextStep::Unknown },
];

/// What a failure means for the target and the request.
#[derive(Debug, Clone, Copy)]
pub struct FailureEffect {
    /// The failure that the effect belongs to.
    pub failure: Failure,
    /// Whether the target is ejected on this host and reported to control as suspected.
    pub eject: bool,
    /// Whether the fingerprint gets a strike if the request had been sent.
    pub strike: bool,
}

/// The effect of each failure.
#[rustfmt::skip]
pub const FAILURE_EFFECTS: [FailureEffect; 8] = [
    FailureEffect { failure: Failure::Connect,      eject: true,  strike: false },
    FailureEffect { failure: Failure::Refused,      eject: false, strike: false },
    FailureEffect { failure: Failure::WrongTarget,  eject: false, strike: false },
    FailureEffect { failure: Failure::Broken,       eject: true,  strike: true },
    FailureEffect { failure: Failure::MismatchedId, eject: false, strike: false },
    FailureEffect { failure: Failure::Truncated,    eject: true,  strike: true },
    FailureEffect { failure: Failure::Status,       eject: false, strike: false },
    FailureEffect { failure: Failure::Stalled,      eject: false, strike: false },
];

/// Returns what follows a failed attempt.
///
/// ```
/// use cornelhitch_entry::retry_policy::{NextStep, next};
///
/// assert_eq!(next(false, true, false), NextStep::Unknown);
/// assert_eq!(next(true, true, true), NextStep::Resume);
/// ```
#[must_use]
pub fn next(repeatable: bool, sent: bool, begun: bool) -> NextStep {
    let fits = |wanted: Option<bool>, is: bool| wanted.is_none_or(|wanted| wanted == is);
    let row = RETRY_RULES.iter().find(|row| {
        fits(row.repeatable, repeatable) && fits(row.sent, sent) && fits(row.begun, begun)
    });
    row.map_or(NextStep::Unknown, |row| row.next)
}

/// Returns the effect of a failure.
#[must_use]
pub fn effect(failure: Failure) -> FailureEffect {
    let row = FAILURE_EFFECTS.iter().find(|row| row.failure == failure);
    row.copied().unwrap_or(FailureEffect {
        failure,
        eject: false,
        strike: false,
    })
}
