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
    /// Returns the refill of a quota's token bucket, in units per 1,000 s: the rate with its overshoot.
    ///
    /// A team that asks for more than its quota without pause is granted the overshoot too, which the
    /// bound of a window allows. The slack goes to the capacity, which covers what hosts hold.
    #[must_use]
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    pub fn refill(&self, quota: &Quota) -> u64 {
        let more = self.overshoot * quota.rate as f64;
        quota.rate.saturating_add(more as u64)
    }

    /// Returns the capacity of a token bucket that, refilled at [`Terms::refill`], never lets use in a
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
    /// let terms = Terms { window: Duration::from_secs(10), overshoot: 0.5, slack: 40.0 };
    /// let quota = Quota { unit: QuotaUnit::Requests, rate: 10_000, burst: 20 };
    /// assert_eq!(terms.refill(&quota), 15_000);
    /// // 1% of what refills in a window is left to the drift of the leader's clock: 1.5, rounded up.
    /// assert_eq!(terms.capacity(&quota), 20 + 10 + 40 - 2);
    /// ```
    #[must_use]
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    pub fn capacity(&self, quota: &Quota) -> u64 {
        let in_window = self.refill(quota) as f64 / 1_000.0 * self.window.as_secs_f64();
        let drift = in_window * f64::from(DRIFT_PPM) / 1e6;
        // A float that is too large becomes the largest integer, and a negative one 0.
        let more = (self.overshoot * quota.burst as f64 + self.slack - drift) as u64;
        quota.burst.saturating_add(more)
    }
}
