//! Snapshots: taking them, and sending them in chunks that resume.

use bytes::Bytes;

use super::Core;
use super::progress::Mode;
use super::route::LIMIT;
use crate::action::{Action, Reason};
use crate::config::Fault;
use crate::id::{Index, MemberId, Peer, Term, Time};
use crate::log::Snapshot;
use crate::member::History;
use crate::message::{Chunk, Message, Received, SnapshotId};
use crate::status::Role;
use crate::store::Record;

/// A snapshot on its way to a member.
#[derive(Debug)]
pub(super) struct Transfer {
    id: SnapshotId,
    snapshot: Snapshot,
    offset: u64,
    /// When the chunk at `offset` was sent.
    sent_at: Option<Time>,
}

impl Transfer {
    /// The last entry in the snapshot.
    pub(super) fn index(&self) -> Index {
        self.id.index
    }
}

/// A snapshot on its way from a leader.
#[derive(Debug)]
pub(super) struct Incoming {
    id: SnapshotId,
    data: Vec<u8>,
}

fn identify(snapshot: &Snapshot) -> SnapshotId {
    SnapshotId {
        index: snapshot.index,
        term: snapshot.term,
        total: snapshot.data.len() as u64,
        checksum: crc32fast::hash(&snapshot.data),
    }
}

impl Core {
    /// Asks the owner for a snapshot when the log has grown.
    pub(super) fn ask_snapshot(&mut self) {
        let since = self.asked_at.unwrap_or_else(|| self.log.snapshot_index());
        if self.applied >= since + self.config.compact_entries {
            self.asked_at = Some(self.applied);
            self.actions.push(Action::NeedSnapshot);
        }
    }

    /// Takes the owner's snapshot, unless a later one came from a leader meanwhile. Entries
    /// without a payload for the owner do not change its state, so they are covered as well.
    pub(super) fn on_snapshot(&mut self, index: Index, data: Bytes) {
        let mut index = if index == self.owner_index {
            self.applied
        } else {
            index
        };
        if self.faulty(Fault::ApplyTwice) {
            index = index.saturating_sub(1);
        }
        let wanted = index > self.log.snapshot_index() && index <= self.applied;
        let Some(term) = self.log.term(index).filter(|_| wanted) else {
            return;
        };
        let membership = self.members.at(index);
        let snapshot = Snapshot {
            index,
            term,
            membership,
            data,
        };
        self.asked_at = None;
        self.disk.stage(Record::Snapshot(snapshot.clone()));
        self.log.compact(snapshot, self.config.trailing_entries);
        self.members.compact(index);
    }

    /// Sends the snapshot to a member whose next entry is no longer in the log.
    pub(super) fn start_transfer(&mut self, id: MemberId) {
        let Some(snapshot) = self.log.snapshot.clone() else {
            return;
        };
        let transfer = Transfer {
            id: identify(&snapshot),
            snapshot,
            offset: 0,
            sent_at: None,
        };
        if let Some(progress) = self.progress.get_mut(&id) {
            progress.mode = Mode::Transfer(transfer);
            self.send_chunk(id, true);
        }
    }

    /// Sends the next chunk, or again one that got no answer, or a heartbeat.
    pub(super) fn send_chunk(&mut self, id: MemberId, due: bool) {
        let stamp = self.next_stamp();
        let (now, size) = (self.now, self.config.message_bytes);
        let patience = self.config.election / 2;
        let Some(progress) = self.progress.get_mut(&id) else {
            return;
        };
        let Mode::Transfer(transfer) = &mut progress.mode else {
            return;
        };
        let waiting = transfer.sent_at.is_some_and(|at| now < at + patience);
        if waiting && !due {
            return;
        }
        let start = usize::try_from(transfer.offset).unwrap_or(usize::MAX);
        let start = start.min(transfer.snapshot.data.len());
        let end = if waiting {
            start
        } else {
            (start + size).min(transfer.snapshot.data.len())
        };
        if !waiting {
            transfer.sent_at = Some(now);
        }
        let chunk = Chunk {
            snapshot: transfer.id,
            membership: transfer.snapshot.membership.clone(),
            offset: transfer.offset,
            stamp,
            data: transfer.snapshot.data.slice(start..end),
        };
        let to = Peer {
            id,
            incarnation: progress.incarnation,
        };
        self.send(to, Message::Chunk(chunk));
    }

    pub(super) fn on_received(&mut self, from: Peer, term: Term, answer: Received) {
        if !self.is_answer(from, term, answer.stamp) {
            return;
        }
        let now = self.now;
        let Some(progress) = self.progress.get_mut(&from.id) else {
            return;
        };
        let Mode::Transfer(transfer) = &mut progress.mode else {
            return;
        };
        if transfer.id == answer.snapshot && transfer.offset != answer.offset {
            transfer.offset = answer.offset;
            transfer.sent_at = None;
            progress.advanced_at = now;
        }
    }

    pub(super) fn on_chunk(&mut self, from: Peer, chunk: Chunk) {
        let id = chunk.snapshot;
        if id.index <= self.commit {
            self.held = self.held.max(self.commit);
            return self.acknowledge();
        }
        let possible = id.index < LIMIT && id.total <= self.config.snapshot_bytes;
        if !possible || self.is_backed_up() {
            self.dropped += 1;
            return;
        }
        let mut incoming = match self.incoming.take() {
            Some(incoming) if incoming.id == id => incoming,
            _ => Incoming {
                id,
                data: Vec::new(),
            },
        };
        let length = incoming.data.len() as u64;
        let fits = chunk.offset == length && length + chunk.data.len() as u64 <= id.total;
        if fits {
            incoming.data.extend_from_slice(&chunk.data);
        }
        let whole = incoming.data.len() as u64 == id.total;
        let sound = !whole || crc32fast::hash(&incoming.data) == id.checksum;
        if !sound {
            incoming.data.clear();
        }
        let offset = incoming.data.len() as u64;
        let answer = Received {
            snapshot: id,
            offset,
            stamp: self.heard_stamp,
        };
        if whole && sound {
            let data = incoming.data.into();
            let Chunk { membership, .. } = chunk;
            self.install(Snapshot {
                index: id.index,
                term: id.term,
                membership,
                data,
            });
        } else {
            self.incoming = Some(incoming);
        }
        self.send(from, Message::Received(answer));
    }

    fn install(&mut self, snapshot: Snapshot) {
        let index = snapshot.index;
        let agrees = self.log.term(index) == Some(snapshot.term);
        self.disk.stage(Record::Snapshot(snapshot.clone()));
        if agrees {
            self.members.compact(index);
        } else {
            self.members = History::default();
            self.members.push(index, snapshot.membership.clone());
            self.disk.cut(self.commit);
        }
        self.log.install(snapshot.clone());
        self.commit = index;
        self.applied = index;
        self.held = self.held.max(index);
        self.owner_index = index;
        self.asked_at = None;
        self.forget_proposals(index);
        self.actions.push(Action::Restore(snapshot));
    }

    /// Ends proposals up to `index` whose outcome this member will not learn: a snapshot covers
    /// them, or the member is removed.
    pub(super) fn forget_proposals(&mut self, index: Index) {
        let later = self.proposals.split_off(&(index + 1));
        for (_, (_, id)) in std::mem::replace(&mut self.proposals, later) {
            self.reject(id, Reason::Unknown);
        }
    }

    /// Whether this member leads; for owners that only ask this.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }
}
