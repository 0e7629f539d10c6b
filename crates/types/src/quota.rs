//! Messages by which entry hosts lease parts of teams' quotas from the leader.
//!
//! All amounts are totals since the account was opened, so that a message that is lost, repeated or
//! overtaken changes nothing: the receiver takes the larger total.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{Incarnation, Name, Term};

/// How long a host may spend what it holds, counted from when it sent the newest report that the
/// leader has answered.
///
/// It spans several reports, so that a lost one does no harm. A new leader has to wait for it, so it
/// is shorter than the time in which a bucket with a burst of one second of the rate fills up.
pub const LEASE_LENGTH: Duration = Duration::from_millis(1_500);

/// Maximum rate by which a clock drifts, in parts per million; as the replicated log assumes.
pub const DRIFT_PPM: u32 = 10_000;

/// Divisor of a length that gives the maximum drift between the clocks of two hosts.
const DRIFT_DIVISOR: u32 = 10;

/// Returns how long the leader counts a lease after the report arrived.
///
/// The time for which the report and its answer are under way needs no margin, since the host counts
/// from the sending of its report.
///
/// ```
/// use cornelhitch_types::quota::{LEASE_LENGTH, guarded_lease};
///
/// assert!(guarded_lease() > LEASE_LENGTH);
/// ```
#[must_use]
pub fn guarded_lease() -> Duration {
    LEASE_LENGTH + LEASE_LENGTH / DRIFT_DIVISOR
}

/// What a host holds, has spent and needs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The host's incarnation.
    pub incarnation: Incarnation,
    /// Number of the report within the incarnation, from 1.
    pub sequence: u64,
    /// The newest leader's term that the host has heard of; the accounts' totals belong to it.
    pub term: Term,
    /// Accounts with changes, and those whose leases are to be extended.
    pub accounts: Vec<AccountReport>,
}

/// The state of a host's account of one team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountReport {
    /// The team.
    pub team: Name,
    /// Number of the account; numbers are not used twice within an incarnation.
    pub account: u64,
    /// Whether the amounts are tokens; otherwise they are requests.
    pub tokens: bool,
    /// Total that the host has received.
    pub received: u64,
    /// Total of the requests that were sent and may have run.
    pub spent: u64,
    /// Total that the host has given back.
    pub returned: u64,
    /// What the host may spend on requests that are yet to come.
    pub free: u64,
    /// What the host wants to have free.
    pub ahead: u64,
    /// Requests that wait for their allowance.
    pub asks: Vec<Ask>,
}

/// A request that waits for its allowance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Number of the request, unique within the incarnation.
    pub id: u64,
    /// What the request costs.
    pub cost: u64,
    /// What tells the request when it comes back after a refusal, at whichever host.
    pub key: u64,
    /// Longest `Retry-After` that its caller honours.
    pub patience: Duration,
}

/// The leader's answer to a [`Report`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The host's incarnation.
    pub incarnation: Incarnation,
    /// Number of the report that this answers.
    pub sequence: u64,
    /// The leader's term.
    pub term: Term,
    /// How long the leases last, counted from the sending of the report.
    pub length: Duration,
    /// The accounts of the report that the leader knows the teams of.
    pub accounts: Vec<AccountAnswer>,
}

/// The leader's answer about one account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountAnswer {
    /// The team.
    pub team: Name,
    /// Number of the account.
    pub account: u64,
    /// Total that the leader has granted.
    pub granted: u64,
    /// Whether the lease is extended. If not, the host may spend what it holds until the lease
    /// expires, and has to open another account.
    pub open: bool,
    /// Requests that get no allowance now; the others are granted.
    pub refusals: Vec<AskRefusal>,
}

/// A request that gets no allowance now.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AskRefusal {
    /// Number of the request.
    pub ask: u64,
    /// Why.
    pub cause: Cause,
    /// When the bucket will have room for it; `None` if never.
    pub wait: Option<Duration>,
}

/// Why a request gets no allowance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// The team has used its quota.
    Used,
    /// The leader is new, and leases of its predecessor may still be spent.
    NotReady,
}
