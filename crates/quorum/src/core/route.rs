//! Addressing, validation and dispatch of messages.

use super::Core;
use crate::action::Action;
use crate::config::Fault;
use crate::id::{MemberId, Peer, Term};
use crate::message::{Envelope, Message};
use crate::store::Identity;

/// Exclusive upper bound of terms and indexes accepted from peers; at a million per second it is
/// reached after 146,000 years.
pub(super) const MAX_TERM_OR_INDEX: u64 = 1 << 62;

/// Maximum number of members that a host without a group remembers besides its configured peers.
const MAX_CONTACTS: usize = 64;

impl Core {
    pub(super) fn send(&mut self, to: Peer, message: Message) {
        self.send_in_term(to.id, Some(to.incarnation), self.hard_state.term, message);
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
        let lineage = self.hard_state.lineage;
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

    /// Whether a message is addressed to this member's cluster, group, log and incarnation and has
    /// an authentic sender.
    pub(super) fn is_for_this_member(&self, from: MemberId, envelope: &Envelope) -> bool {
        let lineages = [self.hard_state.lineage, envelope.lineage];
        let addressed = envelope
            .incarnation
            .is_none_or(|i| i == self.me().incarnation);
        envelope.cluster == self.identity.cluster
            && envelope.group == self.identity.group
            && envelope.from.id == from
            && envelope.to == self.me().id
            && envelope.term < MAX_TERM_OR_INDEX
            && (addressed || self.has_fault(Fault::AnyIncarnation))
            && (lineages.contains(&0) || lineages[0] == lineages[1])
    }

    /// Notes the sender of a message that was meant for an earlier incarnation of this member: its
    /// group still counts this member in, which lost its storage and may know no other way to it.
    fn learn_contact(&mut self, from: MemberId, envelope: &Envelope) {
        let Identity { cluster, group, .. } = self.identity;
        let outdated = envelope
            .incarnation
            .is_some_and(|i| i != self.me().incarnation);
        let same_group = envelope.cluster == cluster && envelope.group == group;
        let authentic = envelope.from.id == from && envelope.to == self.me().id;
        let outside = self.membership().is_empty();
        if outside && outdated && same_group && authentic && self.contacts.len() < MAX_CONTACTS {
            self.contacts.insert(from);
        }
    }

    pub(super) fn receive(&mut self, from: MemberId, envelope: Envelope) {
        if !self.is_for_this_member(from, &envelope) {
            self.dropped += 1;
            self.learn_contact(from, &envelope);
            return;
        }
        if self.is_outside() && envelope.message.is_response() {
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
            Message::RequestVote(request) => self.on_request_vote(from, term, lineage, request),
            Message::VoteResponse(response) => self.on_vote_response(from, term, lineage, response),
            Message::AppendEntries(append) => {
                if self.accept_leader(from, term, lineage, append.stamp) {
                    self.on_append_entries(from, append);
                }
            }
            Message::SnapshotChunk(chunk) => {
                if self.accept_leader(from, term, lineage, chunk.stamp) {
                    self.on_snapshot_chunk(from, chunk);
                }
            }
            Message::AppendResponse(response) => self.on_append_response(from, term, response),
            Message::AppendRejected(response) => self.on_append_rejected(from, term, response),
            Message::ChunkReceived(response) => self.on_chunk_received(from, term, response),
            Message::Join => self.on_join(from),
            Message::ForwardedJoin(joiner) => self.on_forwarded_join(from, joiner),
            Message::Silences(silences) => self.on_silences(from, term, silences),
            Message::NoGroup(without_group) => self.on_no_group(from, without_group),
        }
    }
}
