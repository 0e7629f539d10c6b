//! Keep-alive policies to compare with: never unload, fixed idle timeouts, and evict when full.
//!
//! All of them share the planner's placement and loading, so that a difference between them comes
//! from keep-alive alone.

use std::time::Duration;

use crate::keep_alive::{KeepAlive, KeepAliveInputs, KeepAlivePolicy};

/// Never unloads or evicts a replica.
#[derive(Debug, Clone, Copy, Default)]
pub struct NeverUnload;

/// Unloads a replica after a fixed idle time.
#[derive(Debug, Clone, Copy)]
pub struct IdleTimeout {
    /// The idle time after which a replica is unloaded.
    pub after: Duration,
}

/// Unloads a replica only when its memory is needed, the least recently used first.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeastRecentlyUsed;

/// Keeps a replica indefinitely.
const KEEP_INDEFINITELY: KeepAlive = KeepAlive {
    keep: Duration::MAX,
    call_probability: 1.0,
    cost: 0.0,
};

impl KeepAlivePolicy for NeverUnload {
    fn decide(&self, _inputs: &KeepAliveInputs) -> KeepAlive {
        KEEP_INDEFINITELY
    }

    fn eviction_cost(&self, _inputs: &KeepAliveInputs) -> Option<Duration> {
        None
    }

    fn surplus_timeout(&self) -> Option<Duration> {
        None
    }
}

impl KeepAlivePolicy for IdleTimeout {
    fn decide(&self, inputs: &KeepAliveInputs) -> KeepAlive {
        KeepAlive::fixed(self.after.saturating_sub(inputs.idle))
    }

    fn eviction_cost(&self, inputs: &KeepAliveInputs) -> Option<Duration> {
        Some(least_recently_used_cost(inputs))
    }

    fn surplus_timeout(&self) -> Option<Duration> {
        Some(self.after)
    }
}

impl KeepAlivePolicy for LeastRecentlyUsed {
    fn decide(&self, _inputs: &KeepAliveInputs) -> KeepAlive {
        KEEP_INDEFINITELY
    }

    fn eviction_cost(&self, inputs: &KeepAliveInputs) -> Option<Duration> {
        Some(least_recently_used_cost(inputs))
    }

    fn surplus_timeout(&self) -> Option<Duration> {
        None
    }
}

/// Returns a small cost that falls with the idle time, so that the least recently used replica is
/// evicted first.
fn least_recently_used_cost(inputs: &KeepAliveInputs) -> Duration {
    Duration::from_secs(1).div_f64(1.0 + inputs.idle.as_secs_f64())
}
