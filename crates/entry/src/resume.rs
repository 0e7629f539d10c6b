//! Streams that go on after their first events: only at the version of the software that began them.

use std::time::Duration;

use cornelhitch_types::id::{Name, TargetId};
use cornelhitch_types::refusal::Reason;

use crate::action::Action;
use crate::core::Core;
use crate::event::{CallId, Resumes};
use crate::finish::Rejection;
use crate::queue::QueueKey;
use crate::request::{Call, Progress, RunningAttempt, Stage};
use crate::software::{OriginAnswer, SoftwareVersion, StreamBegun, TakenUp};

/// `Retry-After` of a stream that cannot go on now.
const RESUME_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Core {
    /// Takes the next step of an admitted request: asks for its origin if it takes up a stream, for
    /// its claim if it has a key, or queues it.
    pub(crate) fn advance_admitted(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if call.request.resumes().is_some() && call.origin.is_none() {
            self.ask_origin(id);
        } else if call.claim == crate::request::Claim::Asked {
            self.request_claim(id);
        } else {
            self.enqueue(id);
        }
    }

    /// Asks the leader which version began the stream that a request takes up.
    fn ask_origin(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.stage = Stage::AskingOrigin;
        let attempt = call.request.resumes().and_then(Resumes::attempt);
        let service = call.key.service();
        self.actions.push(Action::AskOrigin {
            id,
            service,
            attempt,
        });
    }

    /// Handles the leader's answer; `None` if there was none.
    pub(crate) fn on_origin_answered(&mut self, id: CallId, answer: Option<&OriginAnswer>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if call.stage != Stage::AskingOrigin {
            return;
        }
        let service = call.key.service();
        let taken_up = TakenUp {
            service: &service,
            attempt: call.request.resumes().and_then(Resumes::attempt),
            limit: call.request.terms.as_ref().map(|terms| terms.limit),
            position: self.view_position(),
        };
        let origin = answer.and_then(|it| self.software.origin(&taken_up, it, self.now));
        let Some(origin) = origin else {
            let detail = "the version that began this stream is not known; begin it anew";
            let rejection = Rejection::not_run(Reason::Unavailable, detail);
            self.refuse(id, rejection.after(RESUME_RETRY_AFTER));
            return;
        };
        if let Some(call) = self.calls.get_mut(&id) {
            call.origin = Some(origin);
        }
        if !self.refuse_stranded(id) {
            self.advance_admitted(id);
        }
    }

    /// Keeps which version began the stream of an attempt, if it may go on elsewhere.
    pub(crate) fn record_origin(&mut self, id: CallId, run: &RunningAttempt) {
        let version = self.software.version(&run.place.target, run.incarnation);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if !call.request.streaming || !call.repeatable {
            return;
        }
        let version = call.origin.get_or_insert(version).clone();
        let Some(identity) = call.request.identity.as_deref().copied() else {
            return;
        };
        let named = identity.resumes.and_then(Resumes::attempt);
        let attempts = [Some(identity.attempt), named];
        let service = call.key.service();
        let limit = call.request.terms.as_ref().map(|terms| terms.limit);
        let mut told = Vec::new();
        for attempt in attempts.into_iter().flatten() {
            let version = version.clone();
            let stream = StreamBegun { attempt, version };
            let stream = self
                .software
                .record_stream(service.clone(), stream, limit, self.now);
            told.extend(stream);
        }
        if !told.is_empty() {
            self.actions.push(Action::ReportStreams { streams: told });
        }
    }

    /// Records the versions in the view, and tells the leader of streams that it may not know: those
    /// that began before it led, or before their service ran several versions.
    pub(crate) fn watch_software(&mut self, new_leader: bool) {
        let mixed = self.software.mixed_services(self.now);
        self.software.watch(&self.fleet_view, self.now);
        let more_mixed = self.software.mixed_services(self.now) > mixed;
        if new_leader || more_mixed {
            let streams = self.software.mixed_streams(self.now);
            if !streams.is_empty() {
                self.actions.push(Action::ReportStreams { streams });
            }
        }
    }

    /// Whether a stream may go on, or a request begin, at a target.
    pub(crate) fn has_origin(&self, call: &Call, target: &TargetId, incarnation: u64) -> bool {
        let Some(origin) = &call.origin else {
            return true;
        };
        self.software.version(target, incarnation) == *origin
    }

    /// Ends a stream for which no target runs the version that began it; returns whether it did.
    pub(crate) fn refuse_stranded(&mut self, id: CallId) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        let Some(origin) = call.origin.clone() else {
            return false;
        };
        if call.answered || call.current_attempt().is_some() || self.runs_version(call, &origin) {
            return false;
        }
        let detail = "no target runs the version that began this stream";
        if call.progress == Progress::Unsent {
            let rejection = Rejection::not_run(Reason::Unavailable, detail);
            self.refuse(id, rejection.after(RESUME_RETRY_AFTER));
        } else {
            self.fail_call(id, detail);
        }
        true
    }

    /// Ends all waiting streams for which no target runs the version that began them.
    pub(crate) fn refuse_all_stranded(&mut self) {
        let waiting = self.calls.values();
        let waiting = waiting.filter(|call| call.origin.is_some() && call.is_waiting());
        let mut ids: Vec<CallId> = waiting.map(|call| call.request.id).collect();
        ids.sort_unstable();
        for id in ids {
            self.refuse_stranded(id);
        }
    }

    /// Whether a target that serves a request runs a version. A closed one counts: it may be open again
    /// with its next heartbeat.
    fn runs_version(&self, call: &Call, version: &SoftwareVersion) -> bool {
        let view = &self.fleet_view;
        let runs = |target: &Name| {
            let known = view.targets.get(target);
            known.is_some_and(|known| {
                let incarnation = known.view.incarnation;
                self.software.version(target, incarnation) == *version
            })
        };
        match &call.key {
            QueueKey::Model(model, _) => {
                let mut replicas = view.replicas_of_model(model);
                replicas.any(|replica| runs(&replica.view.target))
            }
            QueueKey::Service(service) => {
                let mut targets = view.targets_of_service(service);
                targets.any(|target| runs(&target.view.target))
            }
        }
    }
}
