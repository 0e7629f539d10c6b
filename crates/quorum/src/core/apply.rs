//! Committed entries on their way to the owner, and answers to what it asked.

use super::Core;
use crate::action::{Action, Entry, Reason};
use crate::id::{Index, RequestId, Term};
use crate::log::Payload;

impl Core {
    pub(super) fn apply_committed(&mut self) {
        while self.applied < self.commit {
            let Some(entry) = self.log.entry(self.applied + 1).cloned() else {
                return;
            };
            self.applied = entry.index;
            self.apply(entry);
        }
    }

    pub(super) fn apply(&mut self, entry: crate::log::Entry) {
        let crate::log::Entry {
            index,
            term,
            payload,
        } = entry;
        let id = self.settle(index, term);
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

    /// The proposal that became the committed entry; one that another entry replaced is over.
    pub(super) fn settle(&mut self, index: Index, term: Term) -> Option<RequestId> {
        let (proposed, id) = self.proposals.remove(&index)?;
        if proposed == term {
            return Some(id);
        }
        self.reject(id, Reason::Superseded);
        None
    }

    pub(super) fn reject(&mut self, id: RequestId, reason: Reason) {
        let leader = self.leader.map(|peer| peer.id);
        self.actions.push(Action::Rejected { id, reason, leader });
    }
}
