//! Faults that tests inject to show that the test suite detects them.

use strum::EnumIter;

/// An injectable fault; each one breaks one invariant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter)]
#[cfg_attr(not(test), allow(dead_code))]
pub(crate) enum Fault {
    /// A request that has ended is answered again when its timer fires.
    EndsTwice,
    /// The timer of a waiting request fires too late.
    LateTimer,
    /// A request that was sent is reported as "not run".
    FalseNotRun,
    /// A request that must not be repeated is sent again.
    SendsTwice,
    /// A claim is released although its request was sent.
    ReleasesSent,
    /// Strikes are not counted.
    ForgetsStrikes,
    /// Several suspects run on one target at the same time.
    SharesSuspects,
    /// Requests are sent to closed targets and retiring replicas.
    SendsToClosed,
    /// The queue limit is not enforced.
    Unbounded,
    /// Events of an earlier attempt are accepted.
    TakesOldAttempt,
}
