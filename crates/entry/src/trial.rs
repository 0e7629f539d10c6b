//! Requests that run as trials of the parts that they would be refused for.
//!
//! Control grants one trial at a time of a part, over all entry hosts: only so one target at most
//! ends under it.

use cornelhitch_types::refusal::Run;

use crate::action::Action;
use crate::core::Core;
use crate::event::CallId;
use crate::request::{Progress, Stage};
use crate::suspects::TRIAL_SEND_TIME;

impl Core {
    /// Asks control whether a request may run as a trial; it waits for the answer.
    pub(crate) fn ask_trial(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.stage = Stage::AskingTrial;
        call.trial_until = self.now + TRIAL_SEND_TIME;
        let parts = call.tried.clone();
        self.actions.push(Action::AskTrial { id, parts });
    }

    /// Handles control's answer: the request is queued, or refused for the parts that it was to try.
    pub(crate) fn on_trial_answered(&mut self, id: CallId, granted: bool) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if call.stage != Stage::AskingTrial {
            return;
        }
        if !granted {
            call.tried.clear();
            self.suspects.trial_denied(self.now);
        }
        match self.suspect_rejection(id) {
            Some(rejection) => self.refuse(id, rejection),
            None => self.advance_admitted(id),
        }
    }

    /// Refuses trials that could not be sent in their time: control may have granted another one.
    pub(crate) fn refuse_lapsed_trials(&mut self) {
        let now = self.now;
        let lapsed = self.calls.values_mut().filter(|call| {
            let is_trial = !call.tried.is_empty() && call.progress == Progress::Unsent;
            is_trial && call.current_attempt().is_none() && now >= call.trial_until
        });
        let mut ids = Vec::new();
        for call in lapsed {
            call.tried.clear();
            ids.push(call.request.id);
        }
        ids.sort_unstable();
        for id in ids {
            if let Some(rejection) = self.suspect_rejection(id) {
                debug_assert_eq!(rejection.run, Run::NotRun);
                self.refuse(id, rejection);
            }
        }
    }
}
