//! How long the leader waits for what.

use std::time::Duration;

/// The leader's lengths of time; every control host should have the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Between two plans at least, however much demand is new.
    pub plan: Duration,
    /// Between two plans at most.
    pub replan: Duration,
    /// How long the first plan of a term waits for the workers' heartbeats.
    pub gather: Duration,
    /// A target that is silent for this long is suspected.
    pub suspicion: Duration,
    /// A target that entry hosts report as lost, but wrongly a short while ago, is suspected
    /// when it is silent for this long.
    pub doubt: Duration,
    /// How long entry hosts that reported a target as lost wrongly are doubted.
    pub distrust: Duration,
    /// A target that is silent for this long no longer counts against models' limits.
    pub silence: Duration,
    /// A target without reservations that is silent for this long is let go.
    pub dismissal: Duration,
    /// Between two publications of loads and caches at least.
    pub publication: Duration,
    /// How long a proposal may take before it is proposed again.
    pub proposal: Duration,
    /// How long an order may take before its outcome counts as unknown.
    pub order: Duration,
    /// Between two sends of an order to a target that checks fencing numbers.
    pub resend: Duration,
    /// How long a model is not loaded on a worker that refused it or was not reached.
    pub backoff: Duration,
    /// How long a model is not loaded on a worker while an order with unknown outcome, or an unload
    /// of an unexplained copy, may still arrive; besides the heartbeats that the rules count.
    pub quiet: Duration,
    /// From the retirement of a replica until every entry host has heard of it.
    pub settle: Duration,
    /// From the retirement of a replica to its unload at the latest.
    pub drain: Duration,
    /// A report of demand that is older than this no longer counts.
    pub report: Duration,
    /// How long an adapter load counts as in flight when nothing is heard of it.
    pub adapter: Duration,
    /// How long an entry host may act on the settings after its renewal left.
    ///
    /// An accepted change is in force within 12 s: an election of at most 3 s, this length with
    /// its drift, and a second each for the commit and the fetch.
    pub lease: Duration,
    /// By which part of a length the clocks of two hosts may drift apart.
    pub drift: u32,
    /// An entry host that is silent for this long has ended, and its claims are unknown.
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
    /// How long the leader counts a lease that it gave, with drift.
    #[must_use]
    pub fn guarded_lease(&self) -> Duration {
        self.lease + self.lease / self.drift.max(1)
    }
}
