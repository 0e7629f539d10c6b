//! The settings of quotas, and the capacity of a bucket under them.

use std::time::Duration;

use cornelhitch_settings::process::Serving;
use cornelhitch_types::quota::DRIFT_PPM;
use cornelhitch_types::team::Quota;

/// How far teams may go beyond rate and burst.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// The window over which a quota is measured.
    pub window: Duration,
    /// The share by which use may exceed the quota.
    pub overshoot: f64,
    /// Units by which use may exceed it besides.
    pub slack: f64,
}

impl From<&Serving> for Terms {
    fn from(serving: &Serving) -> Self {
        Self {
            window: Duration::from_secs_f64(serving.quota_window_ms / 1_000.0),
            overshoot: serving.quota_overshoot,
            slack: serving.quota_slack,
        }
    }
}

impl Terms {
    /// Returns the capacity of a token bucket that, refilled at the quota's rate, never lets use in a
    /// window exceed `(rate * window + burst) * (1 + overshoot) + slack`.
    ///
    /// A bucket lets through its capacity and what refills in the window. A leader's clock that runs
    /// fast refills it faster, so the capacity is smaller by that. It is never smaller than the
    /// burst: without overshoot or slack, there is no room for drift.
    ///
    /// ```
    /// use std::time::Duration;
    /// use cornelhitch_control::quota::Terms;
    /// use cornelhitch_types::team::{Quota, QuotaUnit};
    ///
    /// let terms = Terms { window: Duration::from_secs(8), overshoot: 0.5, slack: 30.0 };
    /// let quota = Quota { unit: QuotaUnit::Requests, rate: 10_000, burst: 20 };
    /// // 1% of what refills in a window is left to the drift of the leader's clock: 0.8, rounded up.
    /// assert_eq!(terms.capacity(&quota), 20 + 10 + 40 + 30 - 1);
    /// ```
    #[must_use]
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    pub fn capacity(&self, quota: &Quota) -> u64 {
        let in_window = quota.rate as f64 / 1_000.0 * self.window.as_secs_f64();
        let overshoot = self.overshoot * (in_window + quota.burst as f64);
        let drift = in_window * f64::from(DRIFT_PPM) / 1e6;
        // A float that is too large becomes the largest integer, and a negative one 0.
        let more = (overshoot + self.slack - drift) as u64;
        quota.burst.saturating_add(more)
    }
}
