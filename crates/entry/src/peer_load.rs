//! Work in flight at targets, as the entry hosts of a region tell each other.
//!
//! A host that sends much work to a target tells the others at once; smaller changes go with the
//! next report, and its whole state is sent periodically. Reports may be lost: each row states
//! what is in flight, not what has changed, and expires.

use std::collections::HashMap;
use std::time::Duration;

use cornelhitch_types::id::{HostId, Incarnation, TargetId, Time};
use cornelhitch_types::target::Pace;
use serde::{Deserialize, Serialize};

/// Time after which a row that was not repeated is dropped: two complete reports may be lost.
pub const ROW_LIFETIME: Duration = Duration::from_secs(7);

/// Work of one host in flight at one target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRow {
    /// The target.
    pub target: TargetId,
    /// Prompt tokens that the target has still to process.
    pub tokens: u32,
    /// Number of requests in flight.
    pub requests: u32,
    /// The pace that the target stated last, with the age of the statement in milliseconds.
    pub pace: Option<(Pace, u32)>,
}

/// What one entry host has in flight; sent in one datagram.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerReport {
    /// Number of this report within the sender's incarnation.
    pub sequence: u64,
    /// Whether targets that are not listed have no work of the sender.
    pub complete: bool,
    /// The targets with work in flight, or whose work has changed.
    pub rows: Vec<PeerRow>,
}

/// A report with its sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReceivedReport {
    /// The entry host.
    pub host: HostId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// What it has in flight.
    pub report: PeerReport,
}

/// Work of other hosts at one target.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PeerWork {
    /// Prompt tokens that the target has still to process.
    pub tokens: f64,
    /// Number of requests in flight.
    pub requests: f64,
}

/// A row with its sender and its time.
#[derive(Debug, Clone, Copy)]
struct Known {
    host: HostId,
    tokens: f64,
    requests: f64,
    at: Time,
}

/// What is known of one sender.
#[derive(Debug, Clone, Copy)]
struct Sender {
    incarnation: Incarnation,
    /// The number of its newest report.
    sequence: u64,
}

/// What other hosts have in flight.
#[derive(Debug, Default)]
pub struct PeerLoads {
    senders: HashMap<HostId, Sender>,
    targets: HashMap<TargetId, Vec<Known>>,
}

impl PeerLoads {
    /// Applies a report. Returns `false` if it is older than one already applied.
    ///
    /// ```
    /// use cornelhitch_entry::peer_load::{PeerLoads, PeerReport, PeerRow};
    /// use std::time::Duration;
    ///
    /// let mut loads = PeerLoads::default();
    /// let row = PeerRow { target: "worker-1".into(), tokens: 3_000, requests: 2, pace: None };
    /// let report = PeerReport { sequence: 1, complete: true, rows: vec![row] };
    /// assert!(loads.apply(2, 1, &report, Duration::ZERO));
    /// let soon = Duration::from_millis(50);
    /// let tokens = loads.at("worker-1", 0.02, Duration::from_secs(2), soon).tokens;
    /// assert!((tokens - 500.0).abs() < 1e-6);
    /// ```
    pub fn apply(
        &mut self,
        host: HostId,
        incarnation: Incarnation,
        report: &PeerReport,
        now: Time,
    ) -> bool {
        if let Some(known) = self.senders.get(&host) {
            let older = (incarnation, report.sequence) <= (known.incarnation, known.sequence);
            if older {
                return false;
            }
            if incarnation > known.incarnation {
                self.drop_rows(host);
            }
        }
        let sequence = report.sequence;
        let sender = Sender {
            incarnation,
            sequence,
        };
        self.senders.insert(host, sender);
        if report.complete {
            self.drop_rows(host);
        }
        for row in &report.rows {
            self.apply_row(host, row, now);
        }
        true
    }

    /// Replaces what a host has in flight at one target.
    fn apply_row(&mut self, host: HostId, row: &PeerRow, now: Time) {
        let rows = self.targets.entry(row.target.clone()).or_default();
        rows.retain(|known| known.host != host && now.saturating_sub(known.at) < ROW_LIFETIME);
        if row.requests > 0 {
            rows.push(Known {
                host,
                tokens: f64::from(row.tokens),
                requests: f64::from(row.requests),
                at: now,
            });
        }
        if rows.is_empty() {
            self.targets.remove(&row.target);
        }
    }

    /// Drops all rows of a host.
    fn drop_rows(&mut self, host: HostId) {
        self.targets.retain(|_, rows| {
            rows.retain(|known| known.host != host);
            !rows.is_empty()
        });
    }

    /// Drops what is known of a host that has left.
    pub fn forget_host(&mut self, host: HostId) {
        self.senders.remove(&host);
        self.drop_rows(host);
    }

    /// Drops what is known of a target that was removed or has restarted.
    pub fn forget_target(&mut self, target: &str) {
        self.targets.remove(target);
    }

    /// Returns the work of other hosts at a target that processes a prompt token in
    /// `ms_per_token`. Prompt tokens are taken as processed in proportion over all hosts;
    /// requests count half after `half_life`.
    #[must_use]
    pub fn at(&self, target: &str, ms_per_token: f64, half_life: Duration, now: Time) -> PeerWork {
        let Some(rows) = self.targets.get(target) else {
            return PeerWork::default();
        };
        let age = |row: &Known| now.saturating_sub(row.at);
        let live = || rows.iter().filter(|row| age(row) < ROW_LIFETIME);
        let all: f64 = live().map(|row| row.tokens).sum();
        let whole_ms = (all * ms_per_token).max(f64::MIN_POSITIVE);
        let mut work = PeerWork::default();
        for row in live() {
            let age_s = age(row).as_secs_f64();
            let left = (1.0 - age_s * 1_000.0 / whole_ms).max(0.0);
            work.tokens += row.tokens * left;
            let half_lives = age_s / half_life.as_secs_f64().max(0.001);
            work.requests += row.requests * 0.5_f64.powf(half_lives);
        }
        work
    }
}
