//! A place that a request may be sent to, and what this host may send there now.

use cornelhitch_types::id::Name;

use crate::quarantine::TargetInstance;
use crate::route::Candidate;
use crate::target_limits::Turn;

/// A place that a request may be sent to, with this host's limit there.
pub(crate) struct Choice {
    pub candidate: Candidate,
    /// Number of requests that this host may have in flight there.
    pub limit: u32,
    /// When its target's limit, if any, lets this host send there.
    pub turn: Turn,
    /// Adapters that are loaded there.
    pub adapters: Vec<Name>,
}

impl Choice {
    /// Whether this host may send one more request there.
    pub(crate) fn has_capacity(&self) -> bool {
        self.candidate.own < self.limit && self.turn == Turn::Now
    }

    /// Returns the target with its incarnation.
    pub(crate) fn instance(&self) -> TargetInstance {
        (
            self.candidate.place.target.clone(),
            self.candidate.incarnation,
        )
    }
}
