//! A place that a request may be sent to, and what this host may send there now.

use std::time::Duration;

use cornelhitch_types::id::Name;

use crate::quarantine::TargetInstance;
use crate::route::Candidate;
use crate::target_limits::{Quota, Turn};

/// A place that a request may be sent to, with this host's limit there.
pub(crate) struct Choice {
    pub candidate: Candidate,
    /// Number of requests that this host may have in flight there.
    pub limit: u32,
    /// What this host may send there if its target names a limit.
    pub quota: Option<Quota>,
    /// How long its target still wants no requests from this host.
    pub pause: Option<Duration>,
    /// Adapters that are loaded there.
    pub adapters: Vec<Name>,
}

impl Choice {
    /// Whether this host may send one more request there.
    pub(crate) fn has_capacity(&self) -> bool {
        self.candidate.own < self.limit && self.turn(0) == Turn::Now
    }

    /// Returns when the target's limit and its pause, if any, let this host send a request there, with
    /// `ahead` others before it.
    pub(crate) fn turn(&self, ahead: u32) -> Turn {
        let turn = self.quota.map_or(Turn::Now, |quota| quota.turn(ahead));
        self.pause.map_or(turn, |pause| turn.not_before(pause))
    }

    /// Returns the target with its incarnation.
    pub(crate) fn instance(&self) -> TargetInstance {
        (
            self.candidate.place.target.clone(),
            self.candidate.incarnation,
        )
    }
}
