//! Refuses requests that have not been sent when their API key is known to be revoked.
//!
//! The listener checks a request's key against the route table that is in force when the head
//! arrives. The table may change while the body is read, while the request waits, and while a
//! connection to a target is established. A request that may have run is left alone: refusing it
//! would not undo it, and its caller would get no answer for what was done.

use cornelhitch_types::refusal::Reason;

use crate::core::Core;
use crate::event::{CallId, Request};
use crate::finish::Rejection;
use crate::request::{Call, Progress};

impl Core {
    /// Returns the refusal of an unsent request whose key the table in force does not contain;
    /// `None` if the key is valid or the route needs none.
    ///
    /// The reason is the one for an unknown key, since a retry with the same key cannot succeed.
    pub(crate) fn revocation_rejection(&self, request: &Request) -> Option<Rejection> {
        let key = request.api_key?;
        let access = self.catalogue.table.as_ref()?.access.as_ref()?;
        let route = &request.terms.as_ref()?.route;
        let is_valid = !access.needs_key(route) || access.team_of(key).is_some();
        let detail = "the API key was revoked before the request was sent";
        (!is_valid).then(|| Rejection::not_run(Reason::Unauthenticated, detail))
    }

    /// Refuses a request if its key is revoked and it has not been sent. Returns whether it was.
    pub(crate) fn refuse_if_revoked(&mut self, id: CallId) -> bool {
        let call = self.calls.get(&id).filter(|call| is_unsent(call));
        let Some(rejection) = call.and_then(|call| self.revocation_rejection(&call.request)) else {
            return false;
        };
        self.refuse(id, rejection);
        true
    }

    /// Refuses all requests that have not been sent and whose key is revoked.
    pub(crate) fn refuse_revoked(&mut self) {
        let unsent = self.calls.values().filter(|call| is_unsent(call));
        let mut ids: Vec<CallId> = unsent.map(|call| call.request.id).collect();
        ids.sort_unstable();
        for id in ids {
            self.refuse_if_revoked(id);
        }
    }
}

/// Whether no target may have run a request that waits for its answer.
fn is_unsent(call: &Call) -> bool {
    call.progress == Progress::Unsent && !call.answered
}
