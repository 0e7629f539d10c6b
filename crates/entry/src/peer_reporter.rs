//! Decides when this host tells the other entry hosts of its region what it has in flight.
//!
//! Much new work at a target is told at once, since it changes what is the best target for others;
//! other changes go with the next report. A byte budget bounds the traffic: while it is spent,
//! changes are collected, and reports go to the hosts in turn.

use std::collections::BTreeSet;
use std::time::Duration;

use cornelhitch_types::id::{TargetId, Time};

use crate::peer_load::PeerRow;

/// Bytes that a host may send to the others in a second.
const BYTES_PER_S: f64 = 8_000.0;

/// Most bytes that may be saved up.
const MAX_CREDIT: f64 = 8_000.0;

/// Bytes of a datagram besides its rows: headers of all layers, authentication, report.
const OVERHEAD_BYTES: usize = 110;

/// Bytes of a row besides the target's name.
const ROW_BYTES: usize = 14;

/// Most bytes of rows in one report, so that it fits into one datagram.
const MAX_ROW_BYTES: usize = 1_200;

/// Time for which changes are collected after one that is told at once.
const COLLECT_TIME: Duration = Duration::from_millis(20);

/// Time after which changes for which the budget had no room are tried again.
const RETRY_TIME: Duration = Duration::from_millis(100);

/// Interval between complete reports.
const COMPLETE_INTERVAL: Duration = Duration::from_secs(3);

/// New work that is told at once, in milliseconds of processing.
const URGENT_MS: f64 = 40.0;

/// What to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Due {
    /// Whether to include all targets with work, or only those whose work has changed.
    pub complete: bool,
    /// The targets whose work has changed.
    pub changed: BTreeSet<TargetId>,
}

/// Collects changes until they are due.
#[derive(Debug, Default)]
pub struct PeerReporter {
    changed: BTreeSet<TargetId>,
    /// When the collected changes are due.
    due: Option<Time>,
    /// When the last complete report was made.
    completed: Time,
    /// Bytes that may be sent now, and the time of that figure.
    credit: f64,
    credited: Time,
    /// Number of reports made.
    sequence: u64,
    /// Position among the other hosts of the first that the next report goes to.
    first: usize,
}

impl PeerReporter {
    /// Notes a change of this host's work at a target; `new_ms` is the processing time of new work.
    pub fn note_change(&mut self, target: &TargetId, new_ms: f64, now: Time) {
        if !self.changed.contains(target) {
            self.changed.insert(target.clone());
        }
        if new_ms >= URGENT_MS {
            let at = now + COLLECT_TIME;
            self.due = Some(self.due.map_or(at, |due| due.min(at)));
        }
    }

    /// Returns when a report is due, if there is anything to tell.
    ///
    /// ```
    /// use cornelhitch_entry::peer_reporter::PeerReporter;
    /// use std::time::Duration;
    ///
    /// let mut reporter = PeerReporter::default();
    /// assert_eq!(reporter.next(), None);
    /// let now = Duration::from_secs(1);
    /// reporter.note_change(&"worker-1".into(), 200.0, now);
    /// assert_eq!(reporter.next(), Some(now + Duration::from_millis(20)));
    /// assert!(reporter.take_due(now).is_none());
    /// assert!(reporter.take_due(now * 2).is_some_and(|due| due.changed.len() == 1));
    /// assert_eq!(reporter.next(), None);
    /// ```
    #[must_use]
    pub fn next(&self) -> Option<Time> {
        let complete = self.completed + COMPLETE_INTERVAL;
        let any = (!self.changed.is_empty()).then_some(complete);
        self.due.or(any)
    }

    /// Takes what is due to be sent.
    pub fn take_due(&mut self, now: Time) -> Option<Due> {
        if self.next().is_none_or(|at| at > now) {
            return None;
        }
        let complete = now.saturating_sub(self.completed) >= COMPLETE_INTERVAL;
        if complete {
            self.completed = now;
        }
        self.due = None;
        Some(Due {
            complete,
            changed: std::mem::take(&mut self.changed),
        })
    }

    /// Puts changes back that could not be sent, to be tried again a little later.
    pub fn put_back(&mut self, changed: BTreeSet<TargetId>, now: Time) {
        self.changed.extend(changed);
        self.due = Some(now + RETRY_TIME);
    }

    /// Returns the number of the next report.
    pub fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Returns which of `count` other hosts a report with `row_bytes` goes to, by their positions:
    /// as many as the budget allows, in turn.
    pub fn receivers(&mut self, count: usize, row_bytes: usize, now: Time) -> Vec<usize> {
        let elapsed = now.saturating_sub(self.credited).as_secs_f64();
        self.credit = (self.credit + elapsed * BYTES_PER_S).min(MAX_CREDIT);
        self.credited = now;
        let bytes = u32::try_from(OVERHEAD_BYTES + row_bytes).unwrap_or(u32::MAX);
        let bytes = f64::from(bytes);
        let mut receivers = Vec::new();
        while receivers.len() < count && self.credit >= bytes {
            self.credit -= bytes;
            receivers.push((self.first + receivers.len()) % count);
        }
        self.first = (self.first + receivers.len()) % count.max(1);
        receivers
    }
}

/// Cuts rows to what fits into one datagram, those with the most work first. Returns their bytes,
/// and whether all fitted.
pub fn fit(rows: &mut Vec<PeerRow>) -> (usize, bool) {
    rows.sort_by_key(|row| std::cmp::Reverse(row.tokens));
    let mut bytes = 0;
    let fitting = rows.iter().take_while(|row| {
        bytes += ROW_BYTES + row.target.len();
        bytes <= MAX_ROW_BYTES
    });
    let count = fitting.count();
    let all = count == rows.len();
    rows.truncate(count);
    (bytes.min(MAX_ROW_BYTES), all)
}
