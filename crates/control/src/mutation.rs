//! Faults that tests put in on purpose, to show that their checks can fail.
//!
//! Without the feature `mutation` there are none: [`is`] is constant.

use strum::{Display, EnumIter};

/// One fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Mutation {
    /// The leader orders a load when it proposes it.
    EarlyOrder,
    /// A decision does not look at the worker's memory.
    NoMemoryCheck,
    /// A decision does not look at the model's limit.
    NoLimitCheck,
    /// The leader does not count copies that no replica explains.
    NoStrangers,
    /// Any inventory without the replica releases it.
    EarlyRelease,
    /// No inventory ever releases a replica.
    NoRelease,
    /// An unanswered load is sent again to every target.
    BlindResend,
    /// A model is loaded again at once after an order with unknown outcome.
    NoQuiet,
    /// Replica ids start again after a restart.
    ReusedIds,
    /// A restart forgets tombstones.
    LostTombstones,
    /// A claim of an ended host is free again.
    FreedClaims,
    /// Settings made from an older version are accepted.
    NoBaseCheck,
    /// Settings count as in force although leases on older ones still run.
    EarlyInForce,
    /// A new leader does not wait for the leases of the one before.
    NoInheritedLeases,
}

#[cfg(feature = "mutation")]
mod active {
    use std::cell::Cell;

    use super::Mutation;

    thread_local! {
        static ACTIVE: Cell<Option<Mutation>> = const { Cell::new(None) };
    }

    /// Puts a fault in for this thread, or takes it out.
    pub fn set(mutation: Option<Mutation>) {
        ACTIVE.set(mutation);
    }

    /// The fault that is in, if any.
    #[must_use]
    pub fn current() -> Option<Mutation> {
        ACTIVE.get()
    }

    /// Whether a fault is in.
    pub(crate) fn is(mutation: Mutation) -> bool {
        ACTIVE.get() == Some(mutation)
    }
}

#[cfg(feature = "mutation")]
pub(crate) use active::is;
#[cfg(feature = "mutation")]
pub use active::{current, set};

/// Whether a fault is in.
#[cfg(not(feature = "mutation"))]
pub(crate) const fn is(_: Mutation) -> bool {
    false
}
