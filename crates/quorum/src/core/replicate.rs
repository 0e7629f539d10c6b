//! A leader's side of the log: proposals, appends, answers, commits.

use bytes::Bytes;

use super::Core;
use super::progress::{Mode, Progress};
use crate::action::Reason;
use crate::config::Fault;
use crate::id::{Index, MemberId, Peer, RequestId, Term, Time};
use crate::log::{Entry, Payload};
use crate::message::{Append, Appended, Message, Refused};
use crate::status::Role;
use crate::store::Record;

/// The smallest difference between two stamps.
const TICK: Time = Time::from_nanos(1);

impl Core {
    pub(super) fn propose(&mut self, id: RequestId, payload: Bytes) {
        if self.role != Role::Leader {
            return self.reject(id, Reason::NotLeader);
        }
        if payload.len() > self.config.message_bytes {
            return self.reject(id, Reason::TooLarge);
        }
        if self.uncommitted + payload.len() > self.config.uncommitted_bytes {
            return self.reject(id, Reason::Busy);
        }
        let index = self.write(Payload::Data(payload));
        if let Some((_, old)) = self.proposals.insert(index, (self.ballot.term, id)) {
            self.reject(old, Reason::Unknown);
        }
    }

    /// Puts an entry of this term into the log.
    pub(super) fn write(&mut self, payload: Payload) -> Index {
        let entry = Entry {
            index: self.log.last() + 1,
            term: self.ballot.term,
            payload,
        };
        let index = entry.index;
        self.uncommitted += entry.size();
        self.push(entry);
        index
    }

    /// Puts an entry at the end of the log in memory and stages it.
    pub(super) fn push(&mut self, entry: Entry) {
        if let Payload::Membership(membership) = &entry.payload {
            self.members.push(entry.index, membership.clone());
        }
        self.disk.stage(Record::Entry(entry.clone()));
        self.log.push(entry);
    }

    /// Sets up what a leader keeps for each other member; what is known of them stays.
    pub(super) fn track_members(&mut self) {
        let me = self.me().id;
        let members = self.membership().clone();
        let next = self.log.last() + 1;
        let now = self.now;
        self.progress.retain(|id, p| {
            members
                .get(id)
                .is_some_and(|member| member.incarnation == p.incarnation)
        });
        for (id, member) in members.iter().filter(|(id, _)| **id != me) {
            let new = || Progress::new(member.incarnation, next, now);
            self.progress.entry(*id).or_insert_with(new);
        }
    }

    /// A stamp after all earlier ones, not before now.
    pub(super) fn next_stamp(&mut self) -> Time {
        self.stamp = self.now.max(self.stamp + TICK);
        self.stamp
    }

    /// Sends to each member what is due.
    pub(super) fn replicate(&mut self) {
        let due = self.now >= self.heartbeat_at;
        if due {
            self.heartbeat_at = self.now + self.config.heartbeat;
        }
        let ids: Vec<MemberId> = self.progress.keys().copied().collect();
        for id in ids {
            self.send_due(id, due);
        }
    }

    fn send_due(&mut self, id: MemberId, due: bool) {
        let Some(progress) = self.progress.get(&id) else {
            return;
        };
        match &progress.mode {
            Mode::Probe { sent: true } if !due => {}
            Mode::Probe { .. } => self.send_append(id, self.config.message_bytes),
            Mode::Replicate { .. } => self.send_entries(id, due),
            Mode::Transfer(_) => self.send_chunk(id, due),
        }
    }

    /// Sends entries as long as the member takes more, or the commit index alone.
    fn send_entries(&mut self, id: MemberId, due: bool) {
        let mut sent = false;
        while self.has_room(id) {
            self.send_append(id, self.config.message_bytes);
            sent = true;
        }
        let told = self.progress.get(&id).map_or(0, |p| p.told);
        if !sent && (due || told < self.commit) {
            self.send_append(id, 0);
        }
    }

    fn has_room(&self, id: MemberId) -> bool {
        let Some(progress) = self.progress.get(&id) else {
            return false;
        };
        let Mode::Replicate { inflight } = &progress.mode else {
            return false;
        };
        progress.next <= self.log.last() && inflight.len() < self.config.inflight
    }

    /// Sends entries from the member's next one on; none if `bytes` is 0.
    fn send_append(&mut self, id: MemberId, bytes: usize) {
        let Some(next) = self.progress.get(&id).map(|p| p.next) else {
            return;
        };
        let Some(prev_term) = self.log.term(next - 1) else {
            return self.start_transfer(id);
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
        progress.told = commit;
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
        let append = Append {
            prev_index: next - 1,
            prev_term,
            commit,
            stamp,
            entries,
        };
        self.send(to, Message::Append(append));
    }

    /// Whether an answer is for this leader in its term, from a member that it sent to.
    pub(super) fn is_answer(&mut self, from: Peer, term: Term, stamp: Time) -> bool {
        if term > self.ballot.term {
            self.become_follower(term);
        }
        if term < self.ballot.term || self.role != Role::Leader {
            return false;
        }
        let any = self.faulty(Fault::AnyIncarnation);
        let Some(progress) = self.progress.get_mut(&from.id) else {
            return false;
        };
        if progress.incarnation != from.incarnation && !any {
            return false;
        }
        progress.stamp = progress.stamp.max(Some(stamp.min(self.stamp)));
        true
    }

    pub(super) fn on_appended(&mut self, from: Peer, term: Term, answer: Appended) {
        if !self.is_answer(from, term, answer.stamp) {
            return;
        }
        let (now, last) = (self.now, self.log.last());
        let Some(progress) = self.progress.get_mut(&from.id) else {
            return;
        };
        if let Mode::Transfer(transfer) = &progress.mode
            && answer.held < transfer.index()
        {
            return;
        }
        progress.advance(answer.durable.min(last), answer.held.min(last), now);
    }

    pub(super) fn on_refused(&mut self, from: Peer, term: Term, answer: Refused) {
        if !self.is_answer(from, term, answer.stamp) {
            return;
        }
        let last = self.log.last();
        let Some(progress) = self.progress.get_mut(&from.id) else {
            return;
        };
        let stale = answer.prev_index <= progress.durable;
        if stale || matches!(progress.mode, Mode::Transfer(_)) {
            return;
        }
        progress.probe(answer.hint.min(last));
    }

    /// Commits what a quorum has synced, once an entry of this term is among it (Raft §3.6.2).
    pub(super) fn advance_commit(&mut self) {
        let own = self.disk.durable;
        let me = self.me().id;
        let durable = |id| match id {
            id if id == me => own,
            id => self.progress.get(&id).map_or(0, |p| p.durable),
        };
        let mut reached = self.membership().reached(durable).unwrap_or(0);
        if self.faulty(Fault::CommitAlone) {
            reached = own;
        }
        if reached <= self.commit || self.log.term(reached) != Some(self.ballot.term) {
            return;
        }
        for index in self.commit + 1..=reached {
            let size = self.log.entry(index).map_or(0, Entry::size);
            self.uncommitted = self.uncommitted.saturating_sub(size);
        }
        self.commit = reached;
    }

    /// The latest stamp that a quorum has answered; `own` stands for this member's.
    pub(super) fn quorum_stamp(&self, own: Time) -> Option<Time> {
        let me = self.me().id;
        let stamp = |id| match id {
            id if id == me => Some(own),
            id => self.progress.get(&id).and_then(|p| p.stamp),
        };
        self.membership().reached(stamp).flatten()
    }

    /// When the leader steps down unless a quorum answers before.
    pub(super) fn quorum_deadline(&self) -> Time {
        let heard = self.quorum_stamp(self.now).unwrap_or_default();
        heard.max(self.leader_since) + self.config.election
    }

    /// Steps down if no quorum has answered for an election time-out.
    pub(super) fn check_quorum(&mut self) {
        if self.now >= self.quorum_deadline() {
            self.become_follower(self.ballot.term);
        }
    }
}
