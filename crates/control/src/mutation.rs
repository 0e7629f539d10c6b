//! Faults that tests inject to show that their checks can fail.
//!
//! Without the feature `mutation` nothing is injected: `is` always returns false.

use strum::{Display, EnumIter};

/// A fault to inject.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Mutation {
    /// The leader orders a load when it proposes it.
    EarlyOrder,
    /// A decision ignores the worker's memory.
    NoMemoryCheck,
    /// A decision ignores the model's limit.
    NoLimitCheck,
    /// The leader ignores copies that belong to no decided replica.
    #[strum(serialize = "no-strangers")]
    NoOrphans,
    /// Any inventory without the replica releases it.
    EarlyRelease,
    /// No inventory ever releases a replica.
    NoRelease,
    /// An unanswered load order is sent again to every target.
    BlindResend,
    /// A model is loaded again at once after an order with an unknown outcome.
    NoQuiet,
    /// Replica ids restart after a restart.
    ReusedIds,
    /// A restart loses the tombstones.
    LostTombstones,
    /// A claim of an ended host can be granted again.
    FreedClaims,
    /// Settings based on an older version are accepted.
    NoBaseCheck,
    /// Settings count as in force while leases on older ones are still valid.
    EarlyInForce,
    /// A new leader does not wait for the leases of the previous one.
    NoInheritedLeases,
}

#[cfg(feature = "mutation")]
mod active {
    use std::cell::Cell;

    use super::Mutation;

    thread_local! {
        static ACTIVE: Cell<Option<Mutation>> = const { Cell::new(None) };
    }

    /// Injects a fault in this thread, or removes it.
    pub fn set(mutation: Option<Mutation>) {
        ACTIVE.set(mutation);
    }

    /// Returns the injected fault, if any.
    #[must_use]
    pub fn current() -> Option<Mutation> {
        ACTIVE.get()
    }

    /// Returns whether a fault is injected.
    pub(crate) fn is(mutation: Mutation) -> bool {
        ACTIVE.get() == Some(mutation)
    }
}

#[cfg(feature = "mutation")]
pub(crate) use active::is;
#[cfg(feature = "mutation")]
pub use active::{current, set};

/// Returns whether a fault is injected.
#[cfg(not(feature = "mutation"))]
pub(crate) const fn is(_: Mutation) -> bool {
    false
}
