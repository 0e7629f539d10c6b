//! Replication progress of a member, as tracked by the leader.

use std::collections::VecDeque;

use super::transfer::OutgoingSnapshot;
use crate::id::{Incarnation, Index, Time};

/// How the leader replicates to a member.
#[derive(Debug)]
pub(super) enum Mode {
    /// One message at a time, until the index at which the logs match is known.
    Probe {
        /// Whether a probe is in flight.
        sent: bool,
    },
    /// Pipelined messages.
    Replicate {
        /// Last entry index of each message in flight.
        inflight: VecDeque<Index>,
    },
    /// Sending a snapshot in chunks.
    Transfer(OutgoingSnapshot),
}

/// Replication progress of a member, as tracked by the leader.
#[derive(Debug)]
pub(super) struct Progress {
    pub(super) incarnation: Incarnation,
    pub(super) mode: Mode,
    /// Index of the next entry to send (`nextIndex`).
    pub(super) next: Index,
    /// Last index known to be synced on the member (`matchIndex`).
    pub(super) durable: Index,
    /// The latest stamp that the member echoed.
    pub(super) stamp: Option<Time>,
    /// When this leader last handled a response of the member.
    pub(super) heard: Option<Time>,
    /// The last commit index sent to the member.
    pub(super) last_commit_sent: Index,
    /// When the member last made progress.
    pub(super) advanced_at: Time,
    /// Since when this leader replicates to the member.
    since: Time,
    /// For how long the member had not responded to earlier leaders.
    reported_silence: Time,
}

impl Progress {
    pub(super) fn new(
        incarnation: Incarnation,
        next: Index,
        now: Time,
        reported_silence: Time,
    ) -> Self {
        Self {
            incarnation,
            mode: Mode::Probe { sent: false },
            next,
            durable: 0,
            stamp: None,
            heard: None,
            last_commit_sent: 0,
            advanced_at: now,
            since: now,
            reported_silence,
        }
    }

    /// Returns for how long the member has not responded to this leader.
    pub(super) fn own_silence(&self, now: Time) -> Time {
        now.saturating_sub(self.stamp.unwrap_or(self.since))
    }

    /// Returns for how long the member had not responded to earlier leaders, if it has not responded
    /// since.
    pub(super) fn earlier_silence(&self) -> Time {
        match self.stamp {
            Some(_) => Time::ZERO,
            None => self.reported_silence,
        }
    }

    /// Records the indexes that the member reported and switches to pipelined replication.
    pub(super) fn advance(&mut self, durable: Index, accepted_index: Index, now: Time) {
        if durable > self.durable {
            self.durable = durable;
            self.advanced_at = now;
        }
        self.next = self.next.max(accepted_index + 1);
        if let Mode::Replicate { inflight } = &mut self.mode {
            inflight.retain(|last| *last > accepted_index);
        } else {
            self.next = accepted_index + 1;
            self.mode = Mode::Replicate {
                inflight: VecDeque::new(),
            };
        }
    }

    /// Returns to probing, starting after `hint`.
    pub(super) fn probe(&mut self, hint: Index) {
        self.next = self.next.min(hint + 1).max(self.durable + 1);
        self.mode = Mode::Probe { sent: false };
    }
}
