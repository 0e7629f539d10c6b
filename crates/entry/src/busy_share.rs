//! Tracks for which share of the time each target has prompts to process.
//!
//! Targets are observed when a request is routed. Requests come at random times, so the share of
//! observations at which a target is busy is the share of time for which it is.

use std::collections::HashMap;
use std::time::Duration;

use cornelhitch_types::id::{TargetId, Time};

/// Time over which the share is taken.
const MEAN_TIME: Duration = Duration::from_secs(5);

/// Largest share that is returned.
const MAX_SHARE: f64 = 0.9;

/// The share of one target.
#[derive(Debug, Clone, Copy, Default)]
struct Share {
    share: f64,
    at: Time,
}

/// The shares of all targets.
#[derive(Debug, Default)]
pub struct BusyShares {
    targets: HashMap<TargetId, Share>,
}

impl BusyShares {
    /// Records whether a target has prompts to process; returns its share.
    ///
    /// ```
    /// use cornelhitch_entry::busy_share::BusyShares;
    /// use std::time::Duration;
    ///
    /// let mut shares = BusyShares::default();
    /// let observe = |ms| (Duration::from_millis(ms), ms % 40 == 0);
    /// let observed = (0..5_000).map(|n| observe(n * 10));
    /// let last = observed.map(|(now, busy)| shares.observe(&"worker-1".into(), busy, now)).last();
    /// assert!(last.is_some_and(|share| (share - 0.25).abs() < 0.01));
    /// ```
    pub fn observe(&mut self, target: &TargetId, busy: bool, now: Time) -> f64 {
        if !self.targets.contains_key(target) {
            self.targets.insert(target.clone(), Share::default());
        }
        let Some(known) = self.targets.get_mut(target) else {
            return 0.0;
        };
        let elapsed = now.saturating_sub(known.at).as_secs_f64();
        let gain = 1.0 - (-elapsed / MEAN_TIME.as_secs_f64()).exp();
        known.share += gain * (f64::from(u8::from(busy)) - known.share);
        known.at = now;
        known.share.min(MAX_SHARE)
    }

    /// Drops the share of a target that was removed or has restarted.
    pub fn forget(&mut self, target: &str) {
        self.targets.remove(target);
    }
}
