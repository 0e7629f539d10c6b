//! The timeouts and intervals of the leader.

use std::time::Duration;

/// The timeouts and intervals of the leader; every control host should use the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// The minimum interval between two plans, however much demand changes.
    pub plan: Duration,
    /// The maximum interval between two plans.
    pub replan: Duration,
    /// How long the first plan of a term waits for the workers' heartbeats.
    pub gather: Duration,
    /// How long a target must be silent before it is suspected.
    pub suspicion: Duration,
    /// How long a target must be silent before it is suspected if entry hosts report it lost while
    /// their reports are ignored.
    pub doubt: Duration,
    /// How long reports of a lost target are ignored after one that proved wrong.
    pub distrust: Duration,
    /// How long a target must be silent before it no longer counts against models' limits.
    pub silence: Duration,
    /// How long a target without reservations must be silent before it is dismissed.
    pub dismissal: Duration,
    /// The minimum interval between two publications of loads and caches.
    pub publication: Duration,
    /// How long a proposal may take before it is proposed again.
    pub proposal: Duration,
    /// How long an order may take before its outcome counts as unknown.
    pub order: Duration,
    /// The minimum interval between two sends of an order to a target that checks fencing numbers.
    pub resend: Duration,
    /// How long a model is not loaded on a worker that refused it or could not be reached.
    pub backoff: Duration,
    /// How long a model is not loaded on a worker while an order with an unknown outcome, or an
    /// unload of a copy that belongs to no decided replica, may still arrive; this adds to the
    /// heartbeats that the rules count.
    pub quiet: Duration,
    /// The time after the retirement of a replica by which every entry host has heard of it.
    pub settle: Duration,
    /// The maximum time from the retirement of a replica to its unload.
    pub drain: Duration,
    /// The age at which a demand report no longer counts.
    pub report: Duration,
    /// How long an adapter load counts as in flight when it is not reported as ready.
    pub adapter: Duration,
    /// How long an entry host may act on the settings after it sent its renewal.
    ///
    /// An accepted change is in force within 12 s: at most 3 s for an election, this length with
    /// its drift, and 1 s each for the commit and the fetch.
    pub lease: Duration,
    /// The divisor of a length that gives the maximum drift between the clocks of two hosts.
    pub drift: u32,
    /// How long an entry host must be silent before it has ended and the outcomes of its claims
    /// become unknown.
    pub host: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        let ms = Duration::from_millis;
        let s = Duration::from_secs;
        Self {
            plan: ms(100),
            replan: s(1),
            gather: ms(1_100),
            suspicion: s(2),
            doubt: ms(1_200),
            distrust: s(30),
            silence: s(6),
            dismissal: s(3_600),
            publication: ms(250),
            proposal: s(2),
            order: s(10),
            resend: ms(500),
            backoff: s(3),
            quiet: s(10),
            settle: s(3),
            drain: s(300),
            report: s(5),
            adapter: s(30),
            lease: s(4),
            drift: 10,
            host: s(30),
        }
    }
}

impl Timing {
    /// Returns how long the leader counts a lease that it granted, with the maximum drift.
    #[must_use]
    pub fn guarded_lease(&self) -> Duration {
        self.lease + self.lease / self.drift.max(1)
    }
}
