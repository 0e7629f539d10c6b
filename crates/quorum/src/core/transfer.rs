//! Snapshots: log compaction and resumable chunked transfer.

use bytes::Bytes;

use super::Core;
use super::progress::Mode;
use super::route::MAX_TERM_OR_INDEX;
use crate::action::{Action, RejectReason};
use crate::config::Fault;
use crate::id::{Index, MemberId, Peer, Term, Time};
use crate::log::Snapshot;
use crate::member::MembershipHistory;
use crate::message::{ChunkReceived, Message, SnapshotChunk, SnapshotId};
use crate::status::Role;
use crate::store::Record;

/// A snapshot being sent to a member.
#[derive(Debug)]
pub(super) struct OutgoingSnapshot {
    id: SnapshotId,
    snapshot: Snapshot,
    offset: u64,
    /// When the chunk at `offset` was sent; `None` if not sent yet.
    sent_at: Option<Time>,
}

impl OutgoingSnapshot {
    /// Index of the last entry covered by the snapshot.
    pub(super) fn index(&self) -> Index {
        self.id.index
    }
}

/// What decides when the owner is asked for the next snapshot.
#[derive(Debug, Default)]
pub(super) struct SnapshotRequest {
    /// The last applied index when a snapshot was requested that has not come yet.
    pub(super) requested_at: Option<Index>,
    /// Size of the entries applied since a snapshot was requested or installed, in bytes.
    pub(super) applied_bytes: u64,
}

/// A snapshot being received from a leader.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    id: SnapshotId,
    data: Vec<u8>,
}

fn snapshot_id(snapshot: &Snapshot) -> SnapshotId {
    SnapshotId {
        index: snapshot.index,
        term: snapshot.term,
        total: snapshot.data.len() as u64,
        checksum: crc32fast::hash(&snapshot.data),
    }
}

impl Core {
    /// Requests a snapshot from the owner when enough entries, or bytes of them, were applied since the
    /// last one.
    pub(super) fn request_snapshot(&mut self) {
        let since = self
            .snapshot_request
            .requested_at
            .unwrap_or_else(|| self.log.snapshot_index());
        let many = self.applied >= since + self.config.snapshot_threshold_entries;
        let large = self.snapshot_request.applied_bytes >= self.config.snapshot_threshold_bytes;
        if many || large {
            self.snapshot_request = SnapshotRequest {
                requested_at: Some(self.applied),
                applied_bytes: 0,
            };
            self.actions.push(Action::NeedSnapshot);
        }
    }

    /// Compacts the log with the owner's snapshot, unless a later one was received from a leader in
    /// the meantime. Entries without a payload for the owner do not change its state, so the
    /// snapshot covers them as well.
    pub(super) fn on_owner_snapshot(&mut self, index: Index, data: Bytes) {
        let mut index = if index == self.owner_index {
            self.applied
        } else {
            index
        };
        if self.has_fault(Fault::ApplyTwice) {
            index = index.saturating_sub(1);
        }
        let usable = index > self.log.snapshot_index() && index <= self.applied;
        let Some(term) = self.log.term(index).filter(|_| usable) else {
            return;
        };
        let membership = self.memberships.at(index);
        let snapshot = Snapshot {
            index,
            term,
            membership,
            data,
        };
        self.snapshot_request.requested_at = None;
        self.writes.stage(Record::Snapshot(snapshot.clone()));
        let (entries, bytes) = (self.config.trailing_entries, self.config.trailing_bytes);
        self.log.compact(snapshot, entries, bytes);
        self.memberships.compact(index);
    }

    /// Starts sending the snapshot to a member whose next entry has been compacted away.
    pub(super) fn start_snapshot_transfer(&mut self, id: MemberId) {
        let Some(snapshot) = self.log.snapshot.clone() else {
            return;
        };
        let transfer = OutgoingSnapshot {
            id: snapshot_id(&snapshot),
            snapshot,
            offset: 0,
            sent_at: None,
        };
        if let Some(progress) = self.progress.get_mut(&id) {
            progress.mode = Mode::Transfer(transfer);
            self.send_chunk(id, true);
        }
    }

    /// Sends the next chunk, resends one that got no response in time, or sends an empty chunk as a
    /// heartbeat.
    pub(super) fn send_chunk(&mut self, id: MemberId, heartbeat_due: bool) {
        let stamp = self.next_stamp();
        let (now, size) = (self.now, self.config.max_message_bytes);
        let resend_after = self.config.election_timeout / 2;
        let Some(progress) = self.progress.get_mut(&id) else {
            return;
        };
        let Mode::Transfer(transfer) = &mut progress.mode else {
            return;
        };
        let in_flight = transfer.sent_at.is_some_and(|at| now < at + resend_after);
        if in_flight && !heartbeat_due {
            return;
        }
        let start = usize::try_from(transfer.offset).unwrap_or(usize::MAX);
        let start = start.min(transfer.snapshot.data.len());
        let end = if in_flight {
            start
        } else {
            (start + size).min(transfer.snapshot.data.len())
        };
        if !in_flight {
            transfer.sent_at = Some(now);
        }
        let chunk = SnapshotChunk {
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
        self.send(to, Message::SnapshotChunk(chunk));
    }

    pub(super) fn on_chunk_received(&mut self, from: Peer, term: Term, response: ChunkReceived) {
        if !self.accept_response(from, term, response.stamp) {
            return;
        }
        let now = self.now;
        let Some(progress) = self.progress.get_mut(&from.id) else {
            return;
        };
        let Mode::Transfer(transfer) = &mut progress.mode else {
            return;
        };
        if transfer.id == response.snapshot && transfer.offset != response.offset {
            transfer.offset = response.offset;
            transfer.sent_at = None;
            progress.advanced_at = now;
        }
    }

    pub(super) fn on_snapshot_chunk(&mut self, from: Peer, chunk: SnapshotChunk) {
        let id = chunk.snapshot;
        if id.index <= self.commit {
            self.accepted_index = self.accepted_index.max(self.commit);
            return self.acknowledge();
        }
        let within_limits =
            id.index < MAX_TERM_OR_INDEX && id.total <= self.config.max_snapshot_bytes;
        if !within_limits || self.unsynced_limit_reached() {
            self.dropped += 1;
            return;
        }
        let mut incoming = match self.incoming_snapshot.take() {
            Some(incoming) if incoming.id == id => incoming,
            _ => IncomingSnapshot {
                id,
                data: Vec::new(),
            },
        };
        let length = incoming.data.len() as u64;
        let is_next = chunk.offset == length && length + chunk.data.len() as u64 <= id.total;
        if is_next {
            incoming.data.extend_from_slice(&chunk.data);
        }
        let complete = incoming.data.len() as u64 == id.total;
        let valid = !complete || crc32fast::hash(&incoming.data) == id.checksum;
        if !valid {
            incoming.data.clear();
        }
        let offset = incoming.data.len() as u64;
        let response = ChunkReceived {
            snapshot: id,
            offset,
            stamp: self.leader_stamp,
        };
        if complete && valid {
            let data = incoming.data.into();
            let SnapshotChunk { membership, .. } = chunk;
            self.install(Snapshot {
                index: id.index,
                term: id.term,
                membership,
                data,
            });
        } else {
            self.incoming_snapshot = Some(incoming);
        }
        self.send(from, Message::ChunkReceived(response));
    }

    fn install(&mut self, snapshot: Snapshot) {
        let index = snapshot.index;
        let agrees = self.log.term(index) == Some(snapshot.term);
        self.writes.stage(Record::Snapshot(snapshot.clone()));
        if agrees {
            self.memberships.compact(index);
        } else {
            self.memberships = MembershipHistory::default();
            self.memberships.push(index, snapshot.membership.clone());
            self.writes.truncate(self.commit);
        }
        self.log.install(snapshot.clone());
        self.join_lineage(self.founding.leader_lineage);
        self.commit = index;
        self.applied = index;
        self.accepted_index = self.accepted_index.max(index);
        self.owner_index = index;
        self.snapshot_request = SnapshotRequest::default();
        self.fail_unresolved_proposals(index);
        self.actions.push(Action::Restore(snapshot));
    }

    /// Rejects proposals up to `index` whose outcome this member cannot determine, because a
    /// snapshot covers them or the member was removed.
    pub(super) fn fail_unresolved_proposals(&mut self, index: Index) {
        let later = self.proposals.split_off(&(index + 1));
        for (_, (_, id)) in std::mem::replace(&mut self.proposals, later) {
            self.reject(id, RejectReason::Unknown);
        }
    }

    /// Whether this member is the leader; cheaper than [`Core::status`].
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }
}
