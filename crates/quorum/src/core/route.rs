//! Messages: who they are from and to, and what takes them in.

use super::Core;
use crate::action::Action;
use crate::config::Fault;
use crate::id::{MemberId, Peer, Term};
use crate::message::{Envelope, Message};
use crate::store::Identity;

/// No term or index gets this far: at a million a second that takes 146,000 years.
pub(super) const LIMIT: u64 = 1 << 62;

impl Core {
    pub(super) fn send(&mut self, to: Peer, message: Message) {
        self.send_in_term(to.id, Some(to.incarnation), self.ballot.term, message);
    }

    pub(super) fn send_in_term(
        &mut self,
        to: MemberId,
        incarnation: Option<u64>,
        term: Term,
        message: Message,
    ) {
        let message = self.envelope(to, incarnation, term, message);
        self.actions.push(Action::Send { to, message });
    }

    pub(super) fn envelope(
        &self,
        to: MemberId,
        incarnation: Option<u64>,
        term: Term,
        message: Message,
    ) -> Envelope {
        let Identity {
            cluster,
            group,
            peer,
        } = self.identity;
        let lineage = self.ballot.lineage;
        Envelope {
            cluster,
            group,
            lineage,
            from: peer,
            to,
            incarnation,
            term,
            message,
        }
    }

    /// Whether a message is meant for this group and this life of the disk.
    pub(super) fn is_mine(&self, from: MemberId, envelope: &Envelope) -> bool {
        let lineages = [self.ballot.lineage, envelope.lineage];
        let addressed = envelope
            .incarnation
            .is_none_or(|i| i == self.me().incarnation);
        envelope.cluster == self.identity.cluster
            && envelope.group == self.identity.group
            && envelope.from.id == from
            && envelope.to == self.me().id
            && envelope.term < LIMIT
            && (addressed || self.faulty(Fault::AnyIncarnation))
            && (lineages.contains(&0) || lineages[0] == lineages[1])
    }

    pub(super) fn receive(&mut self, from: MemberId, envelope: Envelope) {
        if !self.is_mine(from, &envelope) {
            self.dropped += 1;
            return;
        }
        let Envelope {
            from,
            term,
            lineage,
            message,
            ..
        } = envelope;
        match message {
            Message::Vote(vote) => self.on_vote(from, term, lineage, vote),
            Message::Voted(voted) => self.on_voted(from, term, voted),
            Message::Append(append) => {
                if self.accept_leader(from, term, lineage, append.stamp) {
                    self.on_append(from, append);
                }
            }
            Message::Chunk(chunk) => {
                if self.accept_leader(from, term, lineage, chunk.stamp) {
                    self.on_chunk(from, chunk);
                }
            }
            Message::Appended(answer) => self.on_appended(from, term, answer),
            Message::Refused(answer) => self.on_refused(from, term, answer),
            Message::Received(answer) => self.on_received(from, term, answer),
            Message::Join => self.on_join(from),
            Message::Outside(outside) => self.on_outside(from, outside),
        }
    }
}
