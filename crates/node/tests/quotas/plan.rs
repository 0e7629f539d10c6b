//! What a simulation plays: hosts, a team's quota and demand, and faults.

use std::time::Duration;

use cornelhitch_control::quota::Terms;
use cornelhitch_types::team::{Quota, QuotaUnit};

/// The window over which quotas are measured.
pub const WINDOW: Duration = Duration::from_secs(8);

/// Which faults happen, and how often.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Share of messages that are lost.
    pub loss: f64,
    /// Share of messages that arrive twice.
    pub repeats: f64,
    /// Share of messages that are under way for up to 4 s.
    pub late: f64,
    /// Leader changes a minute.
    pub elections: f64,
    /// Restarts of hosts a minute.
    pub restarts: f64,
    /// Times a minute at which a host is cut off for up to 5 s.
    pub partitions: f64,
    /// Share of sends that the target declines, after up to 600 ms.
    pub declined: f64,
    /// Maximum drift of clocks, in parts per million.
    pub drift_ppm: u32,
}

/// How the demand is spread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Spread {
    /// Evenly over all hosts.
    Even,
    /// Nine in ten requests arrive at one host in ten.
    OneInTen,
}

/// What a simulation plays.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// Number of entry hosts.
    pub hosts: usize,
    /// Units per second that the team may use; the burst is one second of it.
    pub rate: u64,
    /// The slack of the quota.
    pub slack: u32,
    /// Demand as a multiple of the rate.
    pub demand: f64,
    /// The largest cost of a request.
    pub largest: u64,
    /// How the demand is spread.
    pub spread: Spread,
    /// If set, requests arrive only in every other period of this length, so that full buckets meet
    /// a sudden demand.
    pub bursts: Option<Duration>,
    /// Whether refused callers come back when told.
    pub returning: bool,
    /// How long charged requests wait for a target, at most.
    pub queueing: Duration,
    /// If set, targets take requests only at multiples of this time, so that what hosts hold is spent
    /// at one moment.
    pub gate: Option<Duration>,
    /// The faults.
    pub faults: Faults,
    /// Whether to measure what could be spent at each moment.
    pub measures_holdings: bool,
    /// When the quota becomes a third, if it does.
    pub lowered_at: Option<Duration>,
    /// How long the simulation lasts.
    pub length: Duration,
}

impl Plan {
    /// Sixty hosts and a small team with long prompts, without faults.
    pub const SMALL_TEAM: Self = Self {
        hosts: 60,
        rate: 29_000,
        slack: 110_000,
        demand: 1.0 / 1.8,
        largest: 18_000,
        spread: Spread::Even,
        bursts: None,
        returning: true,
        queueing: Duration::from_millis(100),
        gate: None,
        faults: Faults {
            loss: 0.0,
            repeats: 0.0,
            late: 0.0,
            elections: 0.0,
            restarts: 0.0,
            partitions: 0.0,
            declined: 0.0,
            drift_ppm: 0,
        },
        measures_holdings: false,
        lowered_at: None,
        length: Duration::from_mins(1),
    };

    /// Sixty hosts and a large team with short prompts, without faults.
    pub const LARGE_TEAM: Self = Self {
        rate: 1_030_000,
        largest: 18_000,
        ..Self::SMALL_TEAM
    };

    /// Returns the quota.
    pub fn quota(&self) -> Quota {
        Quota {
            unit: QuotaUnit::Tokens { plain: 200 },
            rate: self.rate * 1_000,
            burst: self.rate,
        }
    }

    /// Returns the quota after it was lowered.
    pub fn lowered(&self) -> Quota {
        Quota {
            rate: self.rate * 1_000 / 3,
            burst: self.rate / 3,
            ..self.quota()
        }
    }

    /// Returns how far the team may go beyond its quota.
    pub fn terms(&self) -> Terms {
        Terms {
            window: WINDOW,
            overshoot: 0.1,
            slack: self.slack.into(),
        }
    }

    /// Returns what may run in any window under a quota.
    pub fn bound(&self, quota: Quota) -> u64 {
        let in_window = quota.rate / 1_000 * WINDOW.as_secs();
        let quota = in_window + quota.burst;
        quota + quota / 10 + u64::from(self.slack)
    }
}
