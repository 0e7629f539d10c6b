//! Questions which version began a stream, answered once a quorum confirms that this host leads.
//!
//! A host that led until it stood still or was cut off knows what it heard before; it must not tell
//! what other versions a later leader has heard since.

use cornelhitch_quorum::event::Event;
use cornelhitch_types::id::{HostId, Name};

use super::{Control, Waiter};

/// A host's question.
#[derive(Debug)]
pub(crate) struct Question {
    pub(crate) host: HostId,
    pub(crate) call: u64,
    pub(crate) service: Name,
    /// The digest of the attempt that brought the stream's first event, if the caller names one.
    pub(crate) attempt: Option<u64>,
}

/// Questions of hosts; one confirmation answers all that came before it began.
#[derive(Debug, Default)]
pub(crate) struct Questions {
    /// Those that the confirmation in progress answers.
    asked: Vec<Question>,
    /// Those that came since.
    next: Vec<Question>,
}

impl Control {
    /// Takes a question of a host.
    pub(crate) fn ask_origin(&mut self, question: Question) {
        self.origins.next.push(question);
        self.confirm_origins();
    }

    /// Asks the quorum for a confirmation, unless one is in progress.
    fn confirm_origins(&mut self) {
        if !self.origins.asked.is_empty() || self.origins.next.is_empty() {
            return;
        }
        self.origins.asked = std::mem::take(&mut self.origins.next);
        let id = self.register_waiter(Waiter::Origins);
        self.quorum_event(Event::Barrier { id });
    }

    /// Answers the questions for which the confirmation was asked.
    pub(super) fn origins_confirmed(&mut self) {
        let now = self.now();
        let view = self.setup.leader.sequence();
        for question in std::mem::take(&mut self.origins.asked) {
            let mut answer = self
                .software
                .origin(&question.service, question.attempt, now);
            answer.term = self.term;
            answer.view = view;
            let json = serde_json::to_vec(&answer).unwrap_or_default();
            self.send_answer(question.host, question.call, json.into());
        }
        self.confirm_origins();
    }

    /// Tells the hosts that asked that this host does not lead.
    pub(super) fn refuse_origins(&mut self, leader: Option<HostId>) {
        let questions = std::mem::take(&mut self.origins);
        for question in questions.asked.into_iter().chain(questions.next) {
            self.send_not_leader(question.host, Some(question.call), leader);
        }
    }
}
