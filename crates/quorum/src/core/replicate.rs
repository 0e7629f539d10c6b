//! The leader's side of log replication: proposals, `AppendEntries`, responses and commits.

use bytes::Bytes;

use super::Core;
use super::progress::{Mode, Progress};
use crate::action::RejectReason;
use crate::config::Fault;
use crate::id::{Index, MemberId, Peer, RequestId, Term, Time};
use crate::log::{Entry, Payload};
use crate::message::{AppendEntries, AppendRejected, AppendResponse, Message};
use crate::status::Role;
use crate::store::Record;

/// Minimum difference between two stamps.
const STAMP_STEP: Time = Time::from_nanos(1);

impl Core {
    pub(super) fn propose(&mut self, id: RequestId, payload: Bytes) {
        if self.role != Role::Leader {
            return self.reject(id, RejectReason::NotLeader);
        }
        if self.is_founding() {
            return self.reject(id, RejectReason::Busy);
        }
        if payload.len() > self.config.max_payload_bytes {
            return self.reject(id, RejectReason::TooLarge);
        }
        if self.uncommitted_bytes + payload.len() > self.config.max_uncommitted_bytes {
            return self.reject(id, RejectReason::Busy);
        }
        let index = self.append_entry(Payload::Data(payload));
        if let Some((_, old)) = self.proposals.insert(index, (self.hard_state.term, id)) {
            self.reject(old, RejectReason::Unknown);
        }
    }

    /// Appends a new entry of the current term to the log and returns its index.
    pub(super) fn append_entry(&mut self, payload: Payload) -> Index {
        let entry = Entry {
            index: self.log.last() + 1,
            term: self.hard_state.term,
            payload,
        };
        let index = entry.index;
        self.uncommitted_bytes += entry.size();
        self.push(entry);
        index
    }

    /// Appends an entry to the in-memory log and stages it for writing.
    pub(super) fn push(&mut self, entry: Entry) {
        if let Payload::Membership(membership) = &entry.payload {
            self.memberships.push(entry.index, membership.clone());
        }
        self.writes.stage(Record::Entry(entry.clone()));
        self.log.push(entry);
    }

    /// Adjusts the tracked progress to the current membership, keeping that of existing members.
    pub(super) fn update_tracked_members(&mut self) {
        let me = self.me().id;
        let members = self.tracked_members();
        let next = self.log.last() + 1;
        let now = self.now;
        self.progress.retain(|id, p| {
            members
                .get(id)
                .is_some_and(|member| member.incarnation == p.incarnation)
        });
        for (id, member) in members.iter().filter(|(id, _)| **id != me) {
            let incarnation = member.incarnation;
            let silence = self.reported_silence(Peer {
                id: *id,
                incarnation,
            });
            let new = || Progress::new(incarnation, next, now, silence);
            self.progress.entry(*id).or_insert_with(new);
        }
    }

    /// Returns a stamp later than all earlier ones and not before now.
    pub(super) fn next_stamp(&mut self) -> Time {
        self.stamp = self.now.max(self.stamp + STAMP_STEP);
        self.stamp
    }

    /// Sends entries, snapshot chunks and heartbeats that are due to each member.
    pub(super) fn replicate(&mut self) {
        let heartbeat_due = self.now >= self.heartbeat_at;
        if heartbeat_due {
            self.heartbeat_at = self.now + self.config.heartbeat_interval;
            self.report_silences();
        }
        let ids: Vec<MemberId> = self.progress.keys().copied().collect();
        for id in ids {
            self.send_due(id, heartbeat_due);
        }
    }

    fn send_due(&mut self, id: MemberId, heartbeat_due: bool) {
        let Some(progress) = self.progress.get(&id) else {
            return;
        };
        match &progress.mode {
            Mode::Probe { sent: true } if !heartbeat_due => {}
            Mode::Probe { .. } => self.send_append(id, self.config.max_message_bytes),
            Mode::Replicate { .. } => self.send_entries(id, heartbeat_due),
            Mode::Transfer(_) => self.send_chunk(id, heartbeat_due),
        }
    }

    /// Sends entries while the in-flight window allows. If none were sent, sends an empty message
    /// when a heartbeat is due or the commit index has advanced.
    fn send_entries(&mut self, id: MemberId, heartbeat_due: bool) {
        let mut sent = false;
        while self.can_send_entries(id) {
            self.send_append(id, self.config.max_message_bytes);
            sent = true;
        }
        let last_commit_sent = self.progress.get(&id).map_or(0, |p| p.last_commit_sent);
        if !sent && (heartbeat_due || last_commit_sent < self.commit) {
            self.send_append(id, 0);
        }
    }

    fn can_send_entries(&self, id: MemberId) -> bool {
        let Some(progress) = self.progress.get(&id) else {
            return false;
        };
        let Mode::Replicate { inflight } = &progress.mode else {
            return false;
        };
        progress.next <= self.log.last() && inflight.len() < self.config.max_inflight_messages
    }

    /// Sends entries from the member's next index on, up to `bytes`; none if `bytes` is 0.
    fn send_append(&mut self, id: MemberId, bytes: usize) {
        let Some(next) = self.progress.get(&id).map(|p| p.next) else {
            return;
        };
        let Some(prev_term) = self.log.term(next - 1) else {
            return self.start_snapshot_transfer(id);
        };
        let entries = if bytes == 0 {
            Vec::new()
        } else {
            self.log.slice(next, bytes)
        };
        let stamp = self.next_stamp();
        let commit = self.commit;
        let last = entries.last().map(|entry| entry.index);
        let Some(progress) = self.progress.get_mut(&id) else {
            return;
        };
        progress.last_commit_sent = commit;
        match (&mut progress.mode, last) {
            (Mode::Probe { sent }, _) => *sent = true,
            (Mode::Replicate { inflight }, Some(last)) => {
                inflight.push_back(last);
                progress.next = last + 1;
            }
            _ => {}
        }
        let to = Peer {
            id,
            incarnation: progress.incarnation,
        };
        let append = AppendEntries {
            prev_index: next - 1,
            prev_term,
            commit,
            stamp,
            entries,
        };
        self.send(to, Message::AppendEntries(append));
    }

    /// Steps down if the response carries a later term. Otherwise records the echoed stamp and
    /// returns whether the response belongs to this leader's term and comes from a tracked member.
    pub(super) fn accept_response(&mut self, from: Peer, term: Term, stamp: Time) -> bool {
        if term > self.hard_state.term {
            self.become_follower(term);
        }
        if term < self.hard_state.term || self.role != Role::Leader {
            return false;
        }
        let any_incarnation = self.has_fault(Fault::AnyIncarnation);
        let Some(progress) = self.progress.get_mut(&from.id) else {
            return false;
        };
        if progress.incarnation != from.incarnation && !any_incarnation {
            return false;
        }
        progress.stamp = progress.stamp.max(Some(stamp.min(self.stamp)));
        progress.heard = Some(self.now);
        true
    }

    pub(super) fn on_append_response(&mut self, from: Peer, term: Term, response: AppendResponse) {
        if !self.accept_response(from, term, response.stamp) {
            return;
        }
        let (now, last) = (self.now, self.log.last());
        let Some(progress) = self.progress.get_mut(&from.id) else {
            return;
        };
        if let Mode::Transfer(transfer) = &progress.mode
            && response.accepted_index < transfer.index()
        {
            return;
        }
        progress.advance(
            response.durable.min(last),
            response.accepted_index.min(last),
            now,
        );
    }

    pub(super) fn on_append_rejected(&mut self, from: Peer, term: Term, response: AppendRejected) {
        if !self.accept_response(from, term, response.stamp) {
            return;
        }
        let last = self.log.last();
        let Some(progress) = self.progress.get_mut(&from.id) else {
            return;
        };
        let stale = response.prev_index <= progress.durable;
        if stale || matches!(progress.mode, Mode::Transfer(_)) {
            return;
        }
        progress.probe(response.hint.min(last));
    }

    /// Advances the commit index to the last entry synced by a quorum, if that entry is of the
    /// current term (Ongaro's thesis §3.6.2).
    pub(super) fn advance_commit(&mut self) {
        let own = self.writes.durable;
        let me = self.me().id;
        let durable = |id| match id {
            id if id == me => own,
            id => self.progress.get(&id).map_or(0, |p| p.durable),
        };
        let mut reached = self.membership().quorum_value(durable).unwrap_or(0);
        if self.has_fault(Fault::CommitAlone) {
            reached = own;
        }
        if self.is_founding() {
            reached = reached.min(self.founders_value(durable));
        }
        if reached <= self.commit || self.log.term(reached) != Some(self.hard_state.term) {
            return;
        }
        for index in self.commit + 1..=reached {
            let size = self.log.entry(index).map_or(0, Entry::size);
            self.uncommitted_bytes = self.uncommitted_bytes.saturating_sub(size);
        }
        self.commit = reached;
    }

    /// Returns the latest stamp echoed by a quorum, counting this member with `own`.
    pub(super) fn quorum_stamp(&self, own: Time) -> Option<Time> {
        let me = self.me().id;
        let stamp = |id| match id {
            id if id == me => Some(own),
            id => self.progress.get(&id).and_then(|p| p.stamp),
        };
        self.membership().quorum_value(stamp).flatten()
    }

    /// Returns the last time at which a quorum had responded, counting this member with now.
    fn quorum_heard(&self) -> Option<Time> {
        let me = self.me().id;
        let heard = |id| match id {
            id if id == me => Some(self.now),
            id => self.progress.get(&id).and_then(|p| p.heard),
        };
        self.membership().quorum_value(heard).flatten()
    }

    /// The time at which the leader steps down unless a quorum responds earlier.
    ///
    /// It counts from the handling of the responses and not from the stamps that they echo: a leader
    /// whose owner was busy or stood still has heard from its quorum once it handles what arrived
    /// meanwhile. The lease counts from the stamps.
    pub(super) fn quorum_deadline(&self) -> Time {
        let heard = self.quorum_heard().unwrap_or_default();
        heard.max(self.leader_since) + self.config.election_timeout
    }

    /// Steps down if no quorum has responded within an election timeout.
    pub(super) fn check_quorum(&mut self) {
        if self.now >= self.quorum_deadline() {
            self.become_follower(self.hard_state.term);
        }
    }
}
