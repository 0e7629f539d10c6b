//! What is on its way to the disk, and the messages that wait for it.

use std::collections::VecDeque;

use super::Core;
use crate::action::Action;
use crate::config::{Config, Fault};
use crate::id::{Index, Time, Token};
use crate::message::{Envelope, Message};
use crate::status::Role;
use crate::store::{Ballot, Batch, Record};

/// Records that are not known to be synced.
#[derive(Debug)]
struct Pending {
    token: Token,
    /// The last entry of the log once the batch is synced, if the log still has it.
    last: Index,
    records: Vec<Record>,
    since: Time,
}

/// What is on its way to the disk.
#[derive(Debug)]
pub(super) struct Disk {
    /// The log is synced up to here.
    pub(super) durable: Index,
    staged: Vec<Record>,
    pending: VecDeque<Pending>,
    next: Token,
    attempt: u64,
    retry_at: Option<Time>,
    failing: bool,
    stalled: bool,
}

impl Disk {
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

    /// Whether writes fail or take too long.
    pub(super) fn sick(&self) -> bool {
        self.failing || self.stalled
    }

    /// Whether something is not known to be synced.
    pub(super) fn busy(&self) -> bool {
        !self.pending.is_empty()
    }

    pub(super) fn stage(&mut self, record: Record) {
        self.staged.push(record);
    }

    /// The log no longer has the entries after `last`.
    pub(super) fn cut(&mut self, last: Index) {
        self.durable = self.durable.min(last);
        for pending in &mut self.pending {
            pending.last = pending.last.min(last);
        }
    }

    /// The batch that what is staged by now belongs to; `None` if all is synced.
    fn token(&self) -> Option<Token> {
        if !self.staged.is_empty() {
            return Some(self.next);
        }
        self.pending.back().map(|pending| pending.token)
    }

    /// When the disk has to be looked at again.
    pub(super) fn deadline(&self, config: &Config) -> Option<Time> {
        if self.retry_at.is_some() || self.stalled {
            return self.retry_at;
        }
        self.pending
            .front()
            .map(|pending| pending.since + config.stall)
    }

    /// Payload bytes that are not synced.
    fn bytes(&self) -> usize {
        let size = |record: &Record| match record {
            Record::Entry(entry) => entry.size(),
            Record::Ballot(_) | Record::Snapshot(_) => 0,
        };
        let pending = self.pending.iter().flat_map(|pending| &pending.records);
        pending.chain(&self.staged).map(size).sum()
    }

    /// All that is not synced, as one batch of a new attempt.
    fn merge(&mut self, now: Time) -> Option<Batch> {
        let last = self.pending.back()?.last;
        let records: Vec<_> = self
            .pending
            .drain(..)
            .flat_map(|pending| pending.records)
            .collect();
        let token = self.next;
        self.next += 1;
        self.pending.push_back(Pending {
            token,
            last,
            records: records.clone(),
            since: now,
        });
        Some(Batch {
            token,
            attempt: self.attempt,
            records,
        })
    }
}

impl Core {
    /// Sets the ballot and stages it.
    pub(super) fn set_ballot(&mut self, ballot: Ballot) {
        self.ballot = ballot;
        self.disk.stage(Record::Ballot(ballot));
    }

    /// Sends a message to another member, or to this one itself, once all that is staged by now
    /// is synced.
    pub(super) fn send_after_sync(&mut self, envelope: Envelope) {
        let token = self.disk.token().unwrap_or(0);
        if token == 0 || self.faulty(Fault::AckBeforeSync) {
            self.release(envelope);
        } else {
            self.waiting.push_back((token, envelope));
        }
    }

    fn release(&mut self, envelope: Envelope) {
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

    /// Hands what is staged to the owner, or keeps it for the next attempt while writes fail.
    pub(super) fn stage_batch(&mut self) {
        if self.disk.staged.is_empty() {
            return;
        }
        let records = std::mem::take(&mut self.disk.staged);
        let token = self.disk.next;
        self.disk.next += 1;
        if self.disk.retry_at.is_none() {
            let (attempt, records) = (self.disk.attempt, records.clone());
            self.actions.push(Action::Persist(Batch {
                token,
                attempt,
                records,
            }));
        }
        let last = self.log.last();
        self.disk.pending.push_back(Pending {
            token,
            last,
            records,
            since: self.now,
        });
        if self.faulty(Fault::AckBeforeSync) {
            self.disk.durable = last;
        }
    }

    pub(super) fn on_persisted(&mut self, token: Token) {
        let before = self.disk.durable;
        while self
            .disk
            .pending
            .front()
            .is_some_and(|pending| pending.token <= token)
        {
            let Some(done) = self.disk.pending.pop_front() else {
                break;
            };
            self.disk.durable = self.disk.durable.max(done.last);
            self.disk.failing = false;
        }
        self.disk.stalled &= !self.disk.pending.is_empty();
        while self
            .waiting
            .front()
            .is_some_and(|(after, _)| *after <= token)
        {
            let Some((_, envelope)) = self.waiting.pop_front() else {
                break;
            };
            self.release(envelope);
        }
        if self.role == Role::Follower && self.disk.durable > before {
            self.acknowledge();
        }
    }

    pub(super) fn on_persist_failed(&mut self, token: Token) {
        if self
            .disk
            .pending
            .front()
            .is_none_or(|pending| token < pending.token)
        {
            return;
        }
        self.disk.failing = true;
        self.disk.attempt += 1;
        self.disk.retry_at = Some(self.now + self.config.retry);
        self.yield_role();
    }

    /// Tries failed batches again, and notices a disk that takes too long.
    pub(super) fn check_disk(&mut self) {
        if self.disk.retry_at.is_some_and(|at| self.now >= at) {
            self.disk.retry_at = None;
            let batch = self.disk.merge(self.now);
            self.actions.extend(batch.map(Action::Persist));
        }
        let oldest = self.disk.pending.front().map(|pending| pending.since);
        if oldest.is_some_and(|since| self.now >= since + self.config.stall) {
            self.disk.stalled = true;
            self.yield_role();
        }
    }

    fn yield_role(&mut self) {
        if self.role != Role::Follower {
            self.become_follower(self.ballot.term);
        }
    }

    /// Whether memory has no room for more entries until the disk is well again.
    pub(super) fn is_backed_up(&self) -> bool {
        self.disk.sick() && self.disk.bytes() > self.config.unsynced_bytes
    }

    /// Tells the leader what is synced.
    pub(super) fn acknowledge(&mut self) {
        let Some(leader) = self.leader else { return };
        let answer = crate::message::Appended {
            durable: self.held.min(self.disk.durable),
            held: self.held,
            stamp: self.heard_stamp,
        };
        self.send(leader, Message::Appended(answer));
    }
}
