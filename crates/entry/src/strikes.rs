//! Strikes against requests and their parts that end targets: counted, cleared, and acted on.

use cornelhitch_types::refusal::Run;

use crate::action::Action;
use crate::cancelled::Suspect;
use crate::core::Core;
use crate::event::CallId;
use crate::fault::Fault;
use crate::finish::Rejection;
use crate::request::{Call, Interruption, Progress};
use crate::suspects::Knowledge;

impl Core {
    /// Counts a strike against a fingerprint that was in flight on a target that died.
    pub(crate) fn strike(&mut self, suspect: Suspect) {
        let Suspect {
            fingerprint,
            suspicion,
            strikes,
            instance,
        } = suspect;
        if !self.has_fault(Fault::ForgetsStrikes) {
            self.quarantine
                .strike(fingerprint, instance.clone(), strikes, self.now);
            self.suspects.strike(&suspicion, &instance, self.now);
            self.record_witnesses();
        }
        let (target, incarnation) = instance;
        self.actions.push(Action::Strike {
            fingerprint,
            suspicion,
            target,
            incarnation,
            strikes: self.quarantine.strikes(fingerprint),
        });
        self.refuse_quarantined(fingerprint);
        self.refuse_suspects();
    }

    /// Clears the strikes of a fingerprint whose request was answered completely, if none was counted
    /// since the request was sent: the answer tells nothing of what ended later.
    pub(crate) fn clear_strikes(&mut self, fingerprint: u64, known: u32) {
        let strikes = self.quarantine.strikes(fingerprint);
        if strikes > 0 && strikes <= known {
            self.quarantine.forget(fingerprint);
            self.actions.push(Action::ClearStrikes { fingerprint });
        }
    }

    /// Clears the crashes of a request's parts that were known when it was sent, since it has been
    /// answered completely.
    pub(crate) fn acquit_parts(
        &mut self,
        content: Option<u64>,
        sections: &[u64],
        known: Knowledge,
    ) {
        let mut cleared = self.suspects.acquit(sections, known, self.now);
        let content = content.filter(|it| self.suspects.acquit_content(*it, known, self.now));
        if let Some(content) = content {
            cleared.entry(known.index).or_default().push(content);
        }
        if !cleared.is_empty() {
            let actions = cleared.into_iter();
            let actions =
                actions.map(|(known, sections)| Action::AcquitSections { sections, known });
            self.actions.extend(actions);
            // What the cleared sections explained may now be held against others.
            self.refuse_suspects();
        }
    }

    /// Returns the refusal for a request that has reached the strike limit.
    pub(crate) fn strikes_rejection(&self, fingerprint: u64) -> Option<Rejection> {
        let is_reached = self.quarantine.strikes(fingerprint) >= self.strike_limit();
        is_reached.then(|| self.quarantine_rejection(fingerprint))
    }

    /// Returns the refusal for a request that has a part under which targets end.
    pub(crate) fn suspect_rejection(&self, id: CallId) -> Option<Rejection> {
        let call = self.calls.get(&id)?;
        let newest = self.suspects.knowledge(self.now).index;
        let is_trial = !call.tried.is_empty() && call.tried_knowing.index == newest;
        if is_trial && call.progress == Progress::Unsent {
            return None;
        }
        let parts = call.request.parts();
        let part = self.suspects.refused_for(parts)?;
        let is_lasting = call.interruption == Interruption::Lasting;
        if is_lasting && self.suspects.are_refused_answered(parts, self.now) {
            return None;
        }
        let run = match call.progress {
            Progress::Unsent => Run::NotRun,
            _ => Run::Failed,
        };
        Some(self.part_rejection(part, &call.request, run))
    }

    /// Refuses the unsent requests that have a part under which targets end.
    pub(crate) fn refuse_suspects(&mut self) {
        if !self.suspects.refuses_any() {
            return;
        }
        for id in self.unsent_requests(|_| true) {
            if let Some(rejection) = self.suspect_rejection(id) {
                self.refuse(id, rejection);
            }
        }
    }

    /// Refuses the unsent requests of a fingerprint that has reached the strike limit.
    pub(crate) fn refuse_quarantined(&mut self, fingerprint: u64) {
        if self.quarantine.strikes(fingerprint) < self.strike_limit() {
            return;
        }
        for id in self.unsent_requests(|call| call.request.fingerprint == fingerprint) {
            let rejection = self.quarantine_rejection(fingerprint);
            self.refuse(id, rejection);
        }
    }

    /// Returns the requests that satisfy a condition and of which no attempt in progress was sent, in the
    /// order of their numbers.
    fn unsent_requests(&self, condition: impl Fn(&Call) -> bool) -> Vec<CallId> {
        let unsent = self.calls.values().filter(|call| {
            let attempt = call.current_attempt();
            let is_unsent = attempt.is_none_or(|run| run.progress == Progress::Unsent);
            is_unsent && !call.answered && condition(call)
        });
        let mut ids: Vec<CallId> = unsent.map(|call| call.request.id).collect();
        ids.sort_unstable();
        ids
    }
}
