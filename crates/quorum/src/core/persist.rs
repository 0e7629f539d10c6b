//! Records being written to disk, and messages that wait for them to be synced.

use std::collections::VecDeque;

use super::Core;
use crate::action::Action;
use crate::config::{Config, Fault};
use crate::id::{BatchToken, Index, Time};
use crate::message::{Envelope, Message};
use crate::status::Role;
use crate::store::{Batch, HardState, Record};

/// A submitted batch that is not known to be synced.
#[derive(Debug)]
struct PendingBatch {
    token: BatchToken,
    /// Last log index covered once the batch is synced; lowered if the log is truncated.
    last: Index,
    records: Vec<Record>,
    submitted_at: Time,
}

/// Records staged or submitted for writing, and the health of the disk.
#[derive(Debug)]
pub(super) struct WriteQueue {
    /// Last index of the log that is synced.
    pub(super) durable: Index,
    staged: Vec<Record>,
    pending: VecDeque<PendingBatch>,
    next: BatchToken,
    attempt: u64,
    retry_at: Option<Time>,
    failing: bool,
    stalled: bool,
}

impl WriteQueue {
    pub(super) fn new(durable: Index) -> Self {
        Self {
            durable,
            staged: Vec::new(),
            pending: VecDeque::new(),
            next: 1,
            attempt: 0,
            retry_at: None,
            failing: false,
            stalled: false,
        }
    }

    /// Whether writes fail or stall.
    pub(super) fn is_unhealthy(&self) -> bool {
        self.failing || self.stalled
    }

    /// Whether a submitted batch is not known to be synced.
    pub(super) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    pub(super) fn stage(&mut self, record: Record) {
        self.staged.push(record);
    }

    /// Accounts for the removal of all log entries after `last`.
    pub(super) fn truncate(&mut self, last: Index) {
        self.durable = self.durable.min(last);
        for pending in &mut self.pending {
            pending.last = pending.last.min(last);
        }
    }

    /// Returns the token of the batch that covers every record staged so far; `None` if all records
    /// are synced.
    fn token(&self) -> Option<BatchToken> {
        if !self.staged.is_empty() {
            return Some(self.next);
        }
        self.pending.back().map(|pending| pending.token)
    }

    /// The time of the next retry or stall check.
    pub(super) fn deadline(&self, config: &Config) -> Option<Time> {
        if self.retry_at.is_some() || self.stalled {
            return self.retry_at;
        }
        self.pending
            .front()
            .map(|pending| pending.submitted_at + config.stall_timeout)
    }

    /// Total size of the unsynced entries in bytes.
    fn unsynced_payload_bytes(&self) -> usize {
        let size = |record: &Record| match record {
            Record::Entry(entry) => entry.size(),
            Record::HardState(_) | Record::Snapshot(_) => 0,
        };
        let pending = self.pending.iter().flat_map(|pending| &pending.records);
        pending.chain(&self.staged).map(size).sum()
    }

    /// Merges all unsynced batches into one batch of a new attempt.
    fn merge_pending(&mut self, now: Time) -> Option<Batch> {
        let last = self.pending.back()?.last;
        let records: Vec<_> = self
            .pending
            .drain(..)
            .flat_map(|pending| pending.records)
            .collect();
        let token = self.next;
        self.next += 1;
        self.pending.push_back(PendingBatch {
            token,
            last,
            records: records.clone(),
            submitted_at: now,
        });
        Some(Batch {
            token,
            attempt: self.attempt,
            records,
        })
    }
}

impl Core {
    /// Sets the hard state and stages it for writing.
    pub(super) fn set_hard_state(&mut self, hard_state: HardState) {
        self.hard_state = hard_state;
        self.writes.stage(Record::HardState(hard_state));
    }

    /// Sends a message, to another member or to this one, once all records staged so far are
    /// synced.
    pub(super) fn send_after_sync(&mut self, envelope: Envelope) {
        let token = self.writes.token().unwrap_or(0);
        if token == 0 || self.has_fault(Fault::AckBeforeSync) {
            self.deliver(envelope);
        } else {
            self.awaiting_sync.push_back((token, envelope));
        }
    }

    fn deliver(&mut self, envelope: Envelope) {
        if envelope.to == self.me().id {
            self.receive(envelope.from.id, envelope);
            return;
        }
        let to = envelope.to;
        self.actions.push(Action::Send {
            to,
            message: envelope,
        });
    }

    /// Submits the staged records to the owner, or holds them for the next attempt while writes
    /// fail.
    pub(super) fn submit_staged(&mut self) {
        if self.writes.staged.is_empty() {
            return;
        }
        let records = std::mem::take(&mut self.writes.staged);
        let token = self.writes.next;
        self.writes.next += 1;
        if self.writes.retry_at.is_none() {
            let (attempt, records) = (self.writes.attempt, records.clone());
            self.actions.push(Action::Persist(Batch {
                token,
                attempt,
                records,
            }));
        }
        let last = self.log.last();
        self.writes.pending.push_back(PendingBatch {
            token,
            last,
            records,
            submitted_at: self.now,
        });
        if self.has_fault(Fault::AckBeforeSync) {
            self.writes.durable = last;
        }
    }

    pub(super) fn on_persisted(&mut self, token: BatchToken) {
        let before = self.writes.durable;
        while self
            .writes
            .pending
            .front()
            .is_some_and(|pending| pending.token <= token)
        {
            let Some(done) = self.writes.pending.pop_front() else {
                break;
            };
            self.writes.durable = self.writes.durable.max(done.last);
            self.writes.failing = false;
        }
        self.writes.stalled &= !self.writes.pending.is_empty();
        while self
            .awaiting_sync
            .front()
            .is_some_and(|(after, _)| *after <= token)
        {
            let Some((_, envelope)) = self.awaiting_sync.pop_front() else {
                break;
            };
            self.deliver(envelope);
        }
        if self.role == Role::Follower && self.writes.durable > before {
            self.acknowledge();
        }
    }

    pub(super) fn on_persist_failed(&mut self, token: BatchToken) {
        if self
            .writes
            .pending
            .front()
            .is_none_or(|pending| token < pending.token)
        {
            return;
        }
        self.writes.failing = true;
        self.writes.attempt += 1;
        self.writes.retry_at = Some(self.now + self.config.write_retry_delay);
        self.step_down();
    }

    /// Retries failed batches and detects stalled writes.
    pub(super) fn check_writes(&mut self) {
        if self.writes.retry_at.is_some_and(|at| self.now >= at) {
            self.writes.retry_at = None;
            let batch = self.writes.merge_pending(self.now);
            self.actions.extend(batch.map(Action::Persist));
        }
        let oldest = self
            .writes
            .pending
            .front()
            .map(|pending| pending.submitted_at);
        if oldest.is_some_and(|since| self.now >= since + self.config.stall_timeout) {
            self.writes.stalled = true;
            self.step_down();
        }
    }

    fn step_down(&mut self) {
        if self.role != Role::Follower {
            self.become_follower(self.hard_state.term);
        }
    }

    /// Whether no more unsynced entries may be held in memory until the disk recovers.
    pub(super) fn unsynced_limit_reached(&self) -> bool {
        self.writes.is_unhealthy()
            && self.writes.unsynced_payload_bytes() > self.config.max_unsynced_bytes
    }

    /// Reports the matching and synced indexes to the leader.
    pub(super) fn acknowledge(&mut self) {
        let Some(leader) = self.leader else { return };
        let response = crate::message::AppendResponse {
            durable: self.accepted_index.min(self.writes.durable),
            accepted_index: self.accepted_index,
            stamp: self.leader_stamp,
        };
        self.send(leader, Message::AppendResponse(response));
    }
}
