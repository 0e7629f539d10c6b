//! What a leader knows of another member.

use std::collections::VecDeque;

use super::transfer::Transfer;
use crate::id::{Incarnation, Index, Time};

/// How a leader sends to a member.
#[derive(Debug)]
pub(super) enum Mode {
    /// One message at a time, until it is known where the logs agree.
    Probe {
        /// Whether that message is under way.
        sent: bool,
    },
    /// Several messages at a time.
    Replicate {
        /// The last entry of each message under way.
        inflight: VecDeque<Index>,
    },
    /// A snapshot in chunks.
    Transfer(Transfer),
}

/// What a leader knows of another member.
#[derive(Debug)]
pub(super) struct Progress {
    pub(super) incarnation: Incarnation,
    pub(super) mode: Mode,
    /// The next entry to send.
    pub(super) next: Index,
    /// The member has synced up to here.
    pub(super) durable: Index,
    /// The latest stamp that the member answered.
    pub(super) stamp: Option<Time>,
    /// The commit index that it was told last.
    pub(super) told: Index,
    /// When it last synced or received something new.
    pub(super) advanced_at: Time,
}

impl Progress {
    pub(super) fn new(incarnation: Incarnation, next: Index, now: Time) -> Self {
        Self {
            incarnation,
            mode: Mode::Probe { sent: false },
            next,
            durable: 0,
            stamp: None,
            told: 0,
            advanced_at: now,
        }
    }

    /// Takes in what the member holds and has synced.
    pub(super) fn advance(&mut self, durable: Index, held: Index, now: Time) {
        if durable > self.durable {
            self.durable = durable;
            self.advanced_at = now;
        }
        self.next = self.next.max(held + 1);
        if let Mode::Replicate { inflight } = &mut self.mode {
            inflight.retain(|last| *last > held);
        } else {
            self.next = held + 1;
            self.mode = Mode::Replicate {
                inflight: VecDeque::new(),
            };
        }
    }

    /// Looks again for where the logs agree, from after `hint` on.
    pub(super) fn probe(&mut self, hint: Index) {
        self.next = self.next.min(hint + 1).max(self.durable + 1);
        self.mode = Mode::Probe { sent: false };
    }
}
