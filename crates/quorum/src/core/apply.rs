//! Delivery of committed entries to the owner and completion of its requests.

use super::Core;
use crate::action::{Action, Entry, RejectReason};
use crate::id::{Index, RequestId, Term};
use crate::log::Payload;

impl Core {
    pub(super) fn apply_committed(&mut self) {
        while self.applied < self.commit {
            let Some(entry) = self.log.entry(self.applied + 1).cloned() else {
                return;
            };
            self.applied = entry.index;
            self.snapshot_request.applied_bytes += entry.size() as u64;
            self.apply(entry);
        }
    }

    pub(super) fn apply(&mut self, entry: crate::log::Entry) {
        let crate::log::Entry {
            index,
            term,
            payload,
        } = entry;
        let id = self.resolve_proposal(index, term);
        if let Payload::Data(payload) = payload {
            self.owner_index = index;
            self.actions.push(Action::Apply(Entry {
                index,
                term,
                payload,
                id,
            }));
        }
    }

    /// Returns the request ID of the proposal that became the committed entry. If another entry was
    /// committed at the proposal's index, rejects the proposal as superseded.
    pub(super) fn resolve_proposal(&mut self, index: Index, term: Term) -> Option<RequestId> {
        let (proposed, id) = self.proposals.remove(&index)?;
        if proposed == term {
            return Some(id);
        }
        self.reject(id, RejectReason::Superseded);
        None
    }

    pub(super) fn reject(&mut self, id: RequestId, reason: RejectReason) {
        let leader = self.leader.map(|peer| peer.id);
        self.actions.push(Action::Rejected { id, reason, leader });
    }
}
