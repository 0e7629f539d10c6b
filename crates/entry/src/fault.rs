//! Faults that tests plant, to show that the suite catches them.

use strum::EnumIter;

/// A fault, one for each invariant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter)]
#[cfg_attr(not(test), allow(dead_code))]
pub(crate) enum Fault {
    /// An ended request is answered again when its timer comes.
    EndsTwice,
    /// The timer of a waiting request is set too late.
    LateTimer,
    /// A request that was sent is called "not run".
    FalseNotRun,
    /// A request that may not be repeated is sent again.
    SendsTwice,
    /// A claim is given back though its request was sent.
    ReleasesSent,
    /// Strikes are not counted.
    ForgetsStrikes,
    /// Suspects share a target.
    SharesSuspects,
    /// A closed target or a retiring replica is sent to.
    SendsToClosed,
    /// The bound of the queue is not kept.
    Unbounded,
    /// Events of an old attempt are taken.
    TakesOldAttempt,
}
