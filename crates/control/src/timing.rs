//! The timeouts and intervals of the leader.

use std::time::Duration;

/// The timeouts and intervals of the leader; every control host should use the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// The minimum interval between two plans, regardless of changes in demand.
    pub min_plan_interval: Duration,
    /// The maximum interval between two plans.
    pub max_plan_interval: Duration,
    /// How long the first plan and the first view of a term wait for the targets' heartbeats.
    pub initial_heartbeat_wait: Duration,
    /// How long a target must be silent before it is suspected.
    pub suspect_after: Duration,
    /// How long a target must be silent before it is suspected if entry hosts report it lost while
    /// their reports are ignored.
    pub suspect_reported_after: Duration,
    /// How long a target may take to send its heartbeats to another control host after the one that
    /// took them has fallen silent.
    pub heartbeat_move: Duration,
    /// How long reports of a lost target are ignored after one that proved wrong.
    pub report_distrust: Duration,
    /// How long a target must be silent before it no longer counts against models' limits.
    pub silent_after: Duration,
    /// How long a target without reservations must be silent before it is dismissed.
    pub dismiss_after: Duration,
    /// The minimum interval between two publications of loads and caches.
    pub publish_interval: Duration,
    /// How long a proposal may take before it is proposed again.
    pub proposal_timeout: Duration,
    /// How long an order may take before its outcome counts as unknown.
    pub order_timeout: Duration,
    /// The minimum interval between two sends of an order to a target that checks fencing numbers.
    pub resend_interval: Duration,
    /// How long a model is not loaded on a worker that refused it or could not be reached.
    pub load_backoff: Duration,
    /// How long a model is not loaded on a worker while an order with an unknown outcome, or an
    /// unload of a copy that belongs to no decided replica, may still arrive; this adds to the
    /// heartbeats that the rules count.
    pub quiet_period: Duration,
    /// The time after the retirement of a replica by which every entry host has received it.
    pub retire_settle: Duration,
    /// The maximum time from the retirement of a replica to its unload.
    pub drain_timeout: Duration,
    /// The age at which a demand report no longer counts.
    pub report_max_age: Duration,
    /// How long an adapter load counts as in flight when it is not reported as ready.
    pub adapter_timeout: Duration,
    /// How long an entry host may act on the settings after it sent its renewal.
    ///
    /// An accepted change is in force within 12 s: at most 3 s for an election, this length with
    /// its drift, and 1 s each for the commit and the fetch.
    pub lease_length: Duration,
    /// The divisor of a length that gives the maximum drift between the clocks of two hosts.
    pub drift_divisor: u32,
    /// How long an entry host must be silent before it has ended and the outcomes of its claims
    /// become unknown.
    pub host_timeout: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        let ms = Duration::from_millis;
        let s = Duration::from_secs;
        Self {
            min_plan_interval: ms(100),
            max_plan_interval: s(1),
            initial_heartbeat_wait: ms(1_100),
            suspect_after: s(2),
            suspect_reported_after: ms(1_200),
            heartbeat_move: ms(2_500),
            report_distrust: s(30),
            silent_after: s(6),
            dismiss_after: s(3_600),
            publish_interval: ms(250),
            proposal_timeout: s(2),
            order_timeout: s(10),
            resend_interval: ms(500),
            load_backoff: s(3),
            quiet_period: s(10),
            retire_settle: s(3),
            drain_timeout: s(300),
            report_max_age: s(5),
            adapter_timeout: s(30),
            lease_length: s(4),
            drift_divisor: 10,
            host_timeout: s(30),
        }
    }
}

impl Timing {
    /// Returns how long the leader counts a lease that it granted, with the maximum drift.
    #[must_use]
    pub fn guarded_lease(&self) -> Duration {
        self.lease_length + self.lease_length / self.drift_divisor.max(1)
    }
}
