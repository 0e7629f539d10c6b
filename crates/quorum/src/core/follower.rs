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
        let is_outside = self.is_outside();
        if is_outside && lineage == 0 {
            self.dropped += 1;
            return false;
        }
        if is_outside {
            self.enter_group(term, lineage);
        }
        if term > self.hard_state.term || self.role != Role::Follower {
            self.become_follower(term);
        }
        self.leader = Some(from);
        self.founding.leader_lineage = lineage;
        self.leader_stamp = self.leader_stamp.max(stamp);
        self.votes_withheld_until = self.now + self.config.election_timeout;
        self.postpone_election();
        true
    }

    /// Takes over the lineage of a group with committed entries, in one record with its term: a member
    /// with a term and without a lineage takes part in a founding.
    fn enter_group(&mut self, term: Term, lineage: Incarnation) {
        let is_later = term > self.hard_state.term;
        let voted_for = self.hard_state.voted_for.filter(|_| !is_later);
        self.role = Role::Follower;
        self.accepted_index = self.commit;
        self.leader_stamp = Time::ZERO;
        self.set_hard_state(HardState {
            term,
            voted_for,
            lineage,
        });
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
        if prev_index > 0 {
            self.join_lineage(self.founding.leader_lineage);
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
            let is_first = entry.index == 1;
            if self.log.term(entry.index) != Some(entry.term) {
                if !self.fits(entry.index) {
                    self.dropped += 1;
                    return new;
                }
                if entry.index <= self.log.last() {
                    self.truncate(entry.index);
                }
                self.push(entry);
                new = true;
            }
            if is_first {
                self.join_lineage(self.founding.leader_lineage);
            }
        }
        new
    }

    /// Whether the log may get another entry at `index`. The first entry of a group is committed once
    /// the member has a lineage.
    fn fits(&self, index: Index) -> bool {
        let replaces_first = index == 1 && self.log.last() > 0;
        let is_founded = self.hard_state.lineage != 0;
        index > self.commit && index <= self.log.last() + 1 && !(replaces_first && is_founded)
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
