//! A follower's side of the log.

use super::Core;
use crate::id::{Incarnation, Index, Peer, Term, Time};
use crate::log::Entry;
use crate::message::{Append, Appended, Message, Refused};
use crate::status::Role;
use crate::store::Ballot;

impl Core {
    /// Takes the sender as the leader of its term; tells it if that term is over.
    pub(super) fn accept_leader(
        &mut self,
        from: Peer,
        term: Term,
        lineage: Incarnation,
        stamp: Time,
    ) -> bool {
        if term < self.ballot.term {
            let answer = Appended {
                durable: 0,
                held: 0,
                stamp: Time::ZERO,
            };
            self.send(from, Message::Appended(answer));
            return false;
        }
        if term == self.ballot.term && self.role == Role::Leader {
            self.dropped += 1;
            return false;
        }
        if term > self.ballot.term || self.role != Role::Follower {
            self.become_follower(term);
        }
        if self.ballot.lineage == 0 {
            self.set_ballot(Ballot {
                lineage,
                ..self.ballot
            });
        }
        self.leader = Some(from);
        self.heard_stamp = self.heard_stamp.max(stamp);
        self.promised_until = self.now + self.config.election;
        self.postpone_election();
        true
    }

    pub(super) fn on_append(&mut self, from: Peer, append: Append) {
        if self.is_backed_up() {
            return self.acknowledge();
        }
        let Append {
            prev_index,
            prev_term,
            commit,
            mut entries,
            ..
        } = append;
        if !follows(prev_index, &entries) {
            self.dropped += 1;
            return;
        }
        let offset = self.log.offset();
        let known = prev_index < offset || self.log.term(prev_index) == Some(prev_term);
        if !known {
            return self.refuse(from, prev_index);
        }
        let end = entries.last().map_or(prev_index, |entry| entry.index);
        entries.retain(|entry| entry.index > offset);
        let new = self.merge(entries);
        self.held = self.held.max(end.min(self.log.last()));
        self.commit = self.commit.max(commit.min(self.held));
        if !new {
            self.acknowledge();
        }
    }

    /// Where the logs may agree: before the term of the entry that does not fit.
    fn refuse(&mut self, from: Peer, prev_index: Index) {
        let last = self.log.last();
        let before = if prev_index > last {
            last
        } else {
            self.log.before_term_of(prev_index)
        };
        let hint = before.max(self.commit);
        let answer = Refused {
            prev_index,
            hint,
            stamp: self.heard_stamp,
        };
        self.send(from, Message::Refused(answer));
    }

    /// Adds the entries that the log does not have; whether there were any.
    fn merge(&mut self, entries: Vec<Entry>) -> bool {
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

    /// Drops the entries at and after `index`.
    fn truncate(&mut self, index: Index) {
        self.log.truncate(index);
        self.members.truncate(index);
        self.disk.cut(index - 1);
    }
}

/// Whether the entries follow the index and one another without a gap.
fn follows(prev_index: Index, entries: &[Entry]) -> bool {
    let expected = (0..).map(|at| prev_index.checked_add(1 + at));
    entries
        .iter()
        .zip(expected)
        .all(|(entry, index)| Some(entry.index) == index)
}
