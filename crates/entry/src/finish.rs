//! The end of a request: the single reply to its caller, and the cleanup after it.

use std::time::Duration;

use bytes::Bytes;
use cornelhitch_types::id::{Name, Time};
use cornelhitch_types::refusal::{Reason, Refusal, Run};

use crate::action::Action;
use crate::claim::Outcome;
use crate::core::Core;
use crate::durations::Kind;
use crate::event::{CallId, Failure};
use crate::fault::Fault;
use crate::quarantine::TargetInstance;
use crate::queue::QueueKey;
use crate::request::{Call, Claim, Progress, RunningAttempt, Stage};

/// How long an attempt that must not be repeated may continue after its caller has been answered,
/// so that its outcome can still be recorded.
pub(crate) const LINGER_TIMEOUT: Time = Time::from_mins(1);

/// How long to wait for control to commit an outcome.
pub(crate) const RECORD_TIMEOUT: Time = Time::from_mins(1);

/// How a request ends that is not answered in full.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Rejection {
    pub reason: Reason,
    /// Whether the request ran.
    pub run: Run,
    /// When the caller may retry.
    pub retry: Option<Duration>,
    /// A message for people.
    pub detail: Name,
}

impl Rejection {
    /// Creates the rejection of a request of which no byte was sent.
    pub(crate) fn not_run(reason: Reason, detail: &str) -> Self {
        Self {
            reason,
            run: Run::NotRun,
            retry: None,
            detail: detail.into(),
        }
    }

    /// Adds a `Retry-After`, clamped to between 1 s and 1 min.
    pub(crate) fn after(mut self, wait: Duration) -> Self {
        let wait = wait.clamp(Duration::from_secs(1), Duration::from_mins(1));
        self.retry = Some(wait);
        self
    }

    fn refusal(self) -> Refusal {
        Refusal {
            reason: self.reason,
            run: self.run,
            retry_after: self.retry,
            detail: self.detail,
        }
    }
}

impl Core {
    /// Refuses a request that was not admitted.
    pub(crate) fn refuse_unadmitted(&mut self, id: CallId, rejection: Rejection) {
        let refusal = rejection.refusal();
        self.actions.push(Action::Refuse { id, refusal });
    }

    /// Ends a request with a refusal, or with a stream error if its response has begun.
    pub(crate) fn refuse(&mut self, id: CallId, rejection: Rejection) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if call.answered {
            return;
        }
        let begun = call.progress == Progress::Begun;
        let mut refusal = rejection.refusal();
        if self.has_fault(Fault::FalseNotRun) {
            refusal.run = Run::NotRun;
        }
        self.actions.push(if begun {
            Action::StreamError { id, refusal }
        } else {
            Action::Refuse { id, refusal }
        });
        self.finish_for_caller(id);
    }

    /// Ends a request with the response recorded for its key.
    pub(crate) fn replay(&mut self, id: CallId, recorded: Bytes) {
        self.actions.push(Action::Replay { id, recorded });
        self.finish_for_caller(id);
    }

    /// Ends a request whose caller disconnected.
    pub(crate) fn on_caller_disconnected(&mut self, id: CallId) {
        let known = self.calls.get(&id);
        if known.is_some_and(|call| !call.answered) {
            self.finish_for_caller(id);
        }
    }

    /// Marks a request as answered and cancels its attempt, unless the attempt must run on so that
    /// its outcome can be recorded.
    fn finish_for_caller(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.answered = true;
        let caller = call.request.caller.clone();
        let sent = call
            .current_attempt()
            .is_some_and(|run| run.progress > Progress::Unsent);
        if sent {
            let kind = Kind::from(&call.request);
            self.durations
                .record_at_least(kind, call.age(self.now), self.now);
        }
        let lingers = !call.repeatable && sent && call.request.terms.is_none();
        self.queue.remove_caller_request(&caller);
        if lingers {
            self.set_timer(id, self.now + LINGER_TIMEOUT);
        } else {
            self.cancel_attempt(id);
            self.release_charge(id);
            self.settle_claim(id);
        }
    }

    /// Cancels the attempt in progress, if there is one.
    pub(crate) fn cancel_attempt(&mut self, id: CallId) {
        let Some(run) = self.calls.get(&id).and_then(Call::current_attempt).cloned() else {
            return;
        };
        self.remember_cancelled(id, &run);
        self.actions.push(Action::Cancel {
            id,
            attempt: run.attempt,
            target: run.place.target.clone(),
        });
        self.release_attempt(id);
    }

    /// Keeps whose attempt was cancelled: its target may have ended already, which is reported later.
    pub(crate) fn remember_cancelled(&mut self, id: CallId, run: &RunningAttempt) {
        if run.progress > Progress::Unsent
            && let Some(call) = self.calls.get(&id)
        {
            let suspect = call.suspect(run, self.now);
            self.cancelled.insert((id, run.attempt), suspect, self.now);
        }
    }

    /// Releases what an attempt holds: its slot, retry reservation, fingerprint count and suspect
    /// reservation.
    pub(crate) fn release_attempt(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(run) = call.current_attempt().cloned() else {
            return;
        };
        call.stage = Stage::Recording;
        let (key, fingerprint) = (call.key.clone(), call.request.fingerprint);
        if run.progress == Progress::Unsent && call.sends > 0 {
            self.budget.release(&key.service());
        }
        if let Some(in_flight) = self.in_flight.get_mut(&run.place) {
            *in_flight = in_flight.saturating_sub(1);
            if *in_flight == 0 {
                self.in_flight.remove(&run.place);
            }
        }
        self.observe_end(id);
        self.release_fingerprint(fingerprint, &run.place.target);
        if run.reserved {
            let instance: TargetInstance = (run.place.target, run.incarnation);
            self.quarantine.end_suspect(&instance);
        }
        self.mark_freed(&key);
    }

    /// Counts the end of an attempt of a fingerprint on a target.
    fn release_fingerprint(&mut self, fingerprint: u64, target: &Name) {
        let Some(targets) = self.in_flight_fingerprints.get_mut(&fingerprint) else {
            return;
        };
        if let Some(count) = targets.get_mut(target) {
            *count -= 1;
            if *count == 0 {
                targets.remove(target);
            }
        }
        if targets.is_empty() {
            self.in_flight_fingerprints.remove(&fingerprint);
        }
    }

    /// Marks the lanes that compete for the released place, in any version of the model.
    fn mark_freed(&mut self, key: &QueueKey) {
        let same = |other: &QueueKey| match (key, other) {
            (QueueKey::Model(one, _), QueueKey::Model(other, _)) => one == other,
            (QueueKey::Service(_), QueueKey::Service(_)) => true,
            _ => false,
        };
        let keys = self.queue.keys();
        self.dirty.extend(keys.into_iter().filter(same));
    }

    /// Settles the claim of a request that has ended and removes the request once that is done.
    pub(crate) fn settle_claim(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let outcome = match (call.claim, call.progress) {
            (Claim::None, _) => None,
            (Claim::Asked, _) | (Claim::Granted, Progress::Unsent) => Some(Outcome::NotRun),
            (Claim::Granted, _) => Some(Outcome::Unknown),
        };
        match outcome {
            None => self.remove_call(id),
            Some(outcome) => self.record_outcome(id, outcome),
        }
    }

    /// Asks control to commit an outcome; the request is kept until `Recorded` arrives.
    pub(crate) fn record_outcome(&mut self, id: CallId, outcome: Outcome) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let Some(key) = call.request.key.clone() else {
            self.remove_call(id);
            return;
        };
        let has_fault = self.has_fault(Fault::ReleasesSent);
        let outcome = if has_fault { Outcome::NotRun } else { outcome };
        let caller = call.request.caller.clone();
        if call.claim == Claim::Asked {
            let (caller, key) = (caller.clone(), key.clone());
            self.orphaned_claims.watch(id, caller, key, self.now);
        }
        self.actions.push(Action::Record {
            id,
            caller,
            key,
            outcome,
        });
        self.dequeue(id);
        if let Some(call) = self.calls.get_mut(&id) {
            call.stage = Stage::Recording;
        }
        self.set_timer(id, self.now + RECORD_TIMEOUT);
    }

    /// Handles the confirmation that an outcome is committed.
    pub(crate) fn on_recorded(&mut self, id: CallId) {
        let known = self.calls.get(&id);
        if known.is_some_and(|call| call.answered && call.stage == Stage::Recording) {
            self.remove_call(id);
        }
    }

    /// Takes a request out of the queue, or out of the count of those waiting for a claim.
    fn dequeue(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        match call.stage {
            Stage::Claiming => self.claiming = self.claiming.saturating_sub(1),
            Stage::Waiting => self.queue.remove(&call.key, call.rank, id),
            Stage::AwaitingAllowance => self.stop_awaiting_allowance(id),
            Stage::AskingTrial | Stage::AskingOrigin | Stage::Running(_) | Stage::Recording => {}
        }
    }

    /// Removes a request with its timers.
    pub(crate) fn remove_call(&mut self, id: CallId) {
        self.dequeue(id);
        self.release_charge(id);
        if let Some(call) = self.calls.remove(&id) {
            self.timers.remove(&(call.timer, id));
            self.backoffs.remove(&(call.retry_at, id));
        }
    }

    /// Sets the request's timer; each request has exactly one.
    pub(crate) fn set_timer(&mut self, id: CallId, at: Time) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        self.timers.remove(&(call.timer, id));
        call.timer = at;
        self.timers.insert((at, id));
    }

    /// Handles a request's timer: the end of its deadline, of a response timeout or of its
    /// lingering.
    pub(crate) fn on_timer(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if call.answered {
            self.abandon_lingering(id);
            return;
        }
        if self.retry_stalled(id) || self.retry_slow_target(id) {
            return;
        }
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let (run, detail) = match call.progress {
            Progress::Unsent => (Run::NotRun, "the deadline came while it waited"),
            Progress::Sent => (Run::Unknown, "the deadline came before the answer"),
            Progress::Begun => (Run::Unknown, "the answer stopped coming"),
        };
        let rejection = Rejection {
            run,
            ..Rejection::not_run(Reason::Expired, detail)
        };
        let retry = run == Run::NotRun || call.repeatable;
        let rejection = if retry {
            rejection.after(Duration::ZERO)
        } else {
            rejection
        };
        self.refuse(id, rejection);
        if self.has_fault(Fault::EndsTwice) {
            let rejection = Rejection::not_run(Reason::Expired, "planted");
            self.refuse_unadmitted(id, rejection);
        }
    }

    /// Cancels a streamed response that stalled and resumes it elsewhere; done at most once per
    /// request.
    fn retry_stalled(&mut self, id: CallId) -> bool {
        let Some(call) = self.calls.get_mut(&id) else {
            return false;
        };
        let begun = call.progress == Progress::Begun && call.request.streaming;
        let Some((attempt, target)) = call
            .current_attempt()
            .map(|run| (run.attempt, run.place.target.clone()))
        else {
            return false;
        };
        if !begun || !call.repeatable || call.stalled {
            return false;
        }
        call.stalled = true;
        self.actions.push(Action::Cancel {
            id,
            attempt,
            target,
        });
        self.reset_response_timer(id);
        self.on_failed(id, attempt, Failure::Stalled);
        true
    }

    /// Gives up on an attempt, or the commit of an outcome, that continued after its caller was
    /// answered.
    fn abandon_lingering(&mut self, id: CallId) {
        let known = self.calls.get(&id);
        if known.is_some_and(|call| call.current_attempt().is_some()) {
            self.cancel_attempt(id);
            self.settle_claim(id);
        } else {
            self.remove_call(id);
        }
    }
}
