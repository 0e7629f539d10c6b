//! The follower's side of log replication.

use super::Core;
use crate::id::{Incarnation, Index, Peer, Term, Time};
use crate::log::Entry;
use crate::message::{AppendEntries, AppendRejected, AppendResponse, Message};
use crate::status::Role;
use crate::store::HardState;

impl Core {
    /// Accepts the sender as the leader of its term and withholds votes for one election timeout; a
    /// sender with a stale term gets the current term in response. Returns whether to process the
    /// message.
    pub(super) fn accept_leader(
        &mut self,
        from: Peer,
        term: Term,
        lineage: Incarnation,
        stamp: Time,
    ) -> bool {
        if term < self.hard_state.term {
            let response = AppendResponse {
                durable: 0,
                accepted_index: 0,
                stamp: Time::ZERO,
            };
            self.send(from, Message::AppendResponse(response));
            return false;
        }
        if term == self.hard_state.term && self.role == Role::Leader {
            self.dropped += 1;
            return false;
        }
        if term > self.hard_state.term || self.role != Role::Follower {
            self.become_follower(term);
        }
        if self.hard_state.lineage == 0 {
            self.set_hard_state(HardState {
                lineage,
                ..self.hard_state
            });
        }
        self.leader = Some(from);
        self.leader_stamp = self.leader_stamp.max(stamp);
        self.votes_withheld_until = self.now + self.config.election_timeout;
        self.postpone_election();
        true
    }

    pub(super) fn on_append_entries(&mut self, from: Peer, append: AppendEntries) {
        if self.unsynced_limit_reached() {
            return self.acknowledge();
        }
        let AppendEntries {
            prev_index,
            prev_term,
            commit,
            mut entries,
            ..
        } = append;
        if !are_contiguous(prev_index, &entries) {
            self.dropped += 1;
            return;
        }
        let offset = self.log.offset();
        let known = prev_index < offset || self.log.term(prev_index) == Some(prev_term);
        if !known {
            return self.reject_append(from, prev_index);
        }
        let end = entries.last().map_or(prev_index, |entry| entry.index);
        entries.retain(|entry| entry.index > offset);
        let new = self.append_new(entries);
        self.accepted_index = self.accepted_index.max(end.min(self.log.last()));
        self.commit = self.commit.max(commit.min(self.accepted_index));
        if !new {
            self.acknowledge();
        }
    }

    /// Rejects an append. The hint skips the whole term of the mismatching entry.
    fn reject_append(&mut self, from: Peer, prev_index: Index) {
        let last = self.log.last();
        let before = if prev_index > last {
            last
        } else {
            self.log.before_term_of(prev_index)
        };
        let hint = before.max(self.commit);
        let response = AppendRejected {
            prev_index,
            hint,
            stamp: self.leader_stamp,
        };
        self.send(from, Message::AppendRejected(response));
    }

    /// Appends the entries that are not yet in the log, replacing conflicting ones. Returns whether
    /// there were any.
    fn append_new(&mut self, entries: Vec<Entry>) -> bool {
        let mut new = false;
        for entry in entries {
            if self.log.term(entry.index) == Some(entry.term) {
                continue;
            }
            let fits = entry.index > self.commit && entry.index <= self.log.last() + 1;
            if !fits {
                self.dropped += 1;
                return new;
            }
            if entry.index <= self.log.last() {
                self.truncate(entry.index);
            }
            self.push(entry);
            new = true;
        }
        new
    }

    /// Removes the entries at and after `index`.
    fn truncate(&mut self, index: Index) {
        self.log.truncate(index);
        self.memberships.truncate(index);
        self.writes.truncate(index - 1);
    }
}

/// Whether the entries continue from `prev_index` without a gap.
fn are_contiguous(prev_index: Index, entries: &[Entry]) -> bool {
    let expected = (0..).map(|at| prev_index.checked_add(1 + at));
    entries
        .iter()
        .zip(expected)
        .all(|(entry, index)| Some(entry.index) == index)
}
