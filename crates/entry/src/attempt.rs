//! The life cycle of one attempt, from its first byte to its end.

use std::time::Duration;

use cornelhitch_types::id::Time;
use cornelhitch_types::refusal::{Reason, Run};

use crate::action::Action;
use crate::admit::refusal_time;
use crate::cancelled::Suspect;
use crate::claim::Outcome;
use crate::config::Guard;
use crate::core::Core;
use crate::durations::Kind;
use crate::event::{Attempt, CallId, Failure, RequestedResource};
use crate::expected_time::Work;
use crate::fault::Fault;
use crate::finish::Rejection;
use crate::queue::{QueueKey, RESUME_WEIGHT};
use crate::request::{Call, Progress, RunningAttempt, Stage};
use crate::retry_policy::{self, NextStep};
use crate::route::Candidate;

/// Longest gap between parts of a streamed response before it counts as stalled.
///
/// Owners report `Progress` well within this time, also when tokens or the caller are slow. It is
/// more than a hundred times the 37 ms between tokens that users expect.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a non-streamed response may continue past its deadline if it began before it.
pub const MAX_OVERRUN: Duration = Duration::from_secs(5);

/// Maximum number of attempts for one request.
const MAX_ATTEMPTS: Attempt = 8;

/// Backoff after the first attempt that a target refused; doubles with each attempt.
const RETRY_BACKOFF: Duration = Duration::from_millis(20);

impl Core {
    /// Handles `Sent`: the owner has connected and asks to write the first byte.
    pub(crate) fn on_sent(&mut self, id: CallId, attempt: Attempt) {
        let call = self.calls.get(&id);
        let is_current = call.is_some_and(|call| call.run(attempt).is_some());
        if is_current && self.refuse_if_revoked(id) {
            return;
        }
        let Some(run) = self.calls.get(&id).and_then(|call| call.run(attempt)) else {
            return;
        };
        if !self.still_accepts(run) || !self.spend_charge(id) {
            self.cancel_attempt(id);
            self.requeue(id, Duration::ZERO);
            return;
        }
        let now = self.now;
        let known = self.suspects.knowledge(now);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.progress = call.progress.max(Progress::Sent);
        call.sends += 1;
        call.runs += 1;
        let service = call.key.service();
        let counters = self.counters.of(&service);
        if call.sends == 1 {
            counters.requests += 1;
            self.budget.record_first_send(&service, now);
        } else {
            counters.repeats += 1;
            self.budget.spend_reserved(&service, now);
        }
        let (begun, deadline) = (call.progress == Progress::Begun, call.deadline);
        if let Some(run) = call.run_mut(attempt) {
            run.progress = run.progress.max(Progress::Sent);
            run.since = now;
            run.known = known;
        }
        if !begun {
            let timeout = self.first_byte_timeout(id);
            let slow_at = timeout.map_or(deadline, |timeout| now.saturating_add(timeout));
            self.set_timer(id, slow_at.min(deadline));
        }
        self.actions.push(Action::Proceed { id, attempt });
    }

    /// Whether the place still accepts new work, now that the connection is established.
    fn still_accepts(&self, run: &RunningAttempt) -> bool {
        if self.has_fault(Fault::SendsToClosed) || run.progress > Progress::Unsent {
            return true;
        }
        let paused = self
            .target_notices
            .pause_left(&run.place.target, run.incarnation, self.now);
        let open = self.fleet_view.is_open(&run.place.target, run.incarnation);
        open && paused.is_none()
            && run
                .place
                .replica
                .is_none_or(|replica| self.fleet_view.is_ready(replica))
    }

    /// Handles `ResponseStarted`: allows the owner to forward the response.
    pub(crate) fn on_response_started(&mut self, id: CallId, attempt: Attempt) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let answered = call.answered;
        let Some(run) = call.run_mut(attempt) else {
            return;
        };
        if run.progress != Progress::Sent {
            return;
        }
        run.progress = Progress::Begun;
        run.begun = Some(now);
        let run = run.clone();
        let elapsed = now.saturating_sub(run.since);
        let first = call.progress < Progress::Begun;
        call.progress = Progress::Begun;
        let key = call.key.clone();
        self.observe_first_byte(id, elapsed);
        if answered {
            return;
        }
        if first {
            self.latencies.record_first_byte(&key, elapsed);
        }
        self.record_origin(id, &run);
        self.reset_response_timer(id);
        self.actions.push(Action::Deliver { id, attempt });
    }

    /// Handles `Progress`: a part of a streamed response was forwarded.
    pub(crate) fn on_progress(&mut self, id: CallId, attempt: Attempt, offset: u64) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let current = call
            .run(attempt)
            .is_some_and(|run| run.progress == Progress::Begun);
        if !current || call.answered || offset <= call.offset {
            return;
        }
        call.offset = offset;
        self.reset_response_timer(id);
    }

    /// Restarts the timer that limits a response that has begun.
    pub(crate) fn reset_response_timer(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let fires_at = if let Some(terms) = &call.request.terms {
            call.arrived + terms.limit
        } else if call.request.streaming {
            self.now + STALL_TIMEOUT
        } else {
            call.deadline + MAX_OVERRUN
        };
        self.set_timer(id, fires_at);
    }

    /// Handles `ResponseEnded`: the terminator of the response arrived.
    pub(crate) fn on_response_ended(&mut self, id: CallId, attempt: Attempt) {
        let attempt = self.effective_attempt(id, attempt);
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let Some(run) = call.run(attempt) else {
            return;
        };
        if run.progress != Progress::Begun {
            return;
        }
        let (key, elapsed) = (call.key.clone(), self.now.saturating_sub(run.since));
        let (answered, caller) = (call.answered, call.request.caller.clone());
        let fingerprint = call.request.fingerprint;
        let kind = Kind::from(&call.request);
        self.durations.record(kind, call.age(self.now), self.now);
        let (known, strikes, error) = (run.known, run.strikes, run.error);
        let (content, sections) = (call.request.content(), call.request.sections.clone());
        if call.offset == 0 || call.attempts == 1 {
            self.latencies.record_response(&key, elapsed);
        }
        self.release_attempt(id);
        if !error {
            self.clear_strikes(fingerprint, strikes);
            self.acquit_parts(content, &sections, known);
        }
        if !answered {
            self.actions.push(Action::Finish { id, attempt });
            self.queue.remove_caller_request(&caller);
            if let Some(call) = self.calls.get_mut(&id) {
                call.answered = true;
            }
        }
        self.record_outcome(id, Outcome::Answered);
    }

    /// Returns the attempt that an event applies to: its own, unless a fault is injected.
    fn effective_attempt(&self, id: CallId, attempt: Attempt) -> Attempt {
        if !self.has_fault(Fault::TakesOldAttempt) {
            return attempt;
        }
        let run = self.calls.get(&id).and_then(Call::current_attempt);
        run.map_or(attempt, |run| run.attempt)
    }

    /// Handles `Failed`: decides by the failure and the state of the request whether to retry,
    /// resume or refuse.
    pub(crate) fn on_failed(&mut self, id: CallId, attempt: Attempt, failure: Failure) {
        if let Some(suspect) = self.cancelled.take((id, attempt)) {
            if retry_policy::effect(failure).strike {
                self.strike(suspect);
            }
            return;
        }
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(run) = call.run(attempt).cloned() else {
            return;
        };
        if !call.failed.contains(&run.place.target) {
            call.failed.push(run.place.target.clone());
        }
        // Targets behind routes guarantee that a request that they decline was not run.
        let routed = call.request.terms.is_some();
        let declined = matches!(failure, Failure::Refused | Failure::WrongTarget);
        if routed && declined && run.progress == Progress::Sent {
            self.undo_declined(id, attempt);
        }
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let answered = call.answered;
        let suspect = call.suspect(&run, self.now);
        if !declined && failure != Failure::Connect {
            self.observe_failure(&run.place.target);
        }
        self.record_failure(&run, suspect, failure);
        self.record_interruption(id, &run, failure);
        if failure == Failure::Stalled {
            self.remember_cancelled(id, &run);
        }
        if failure == Failure::WrongTarget {
            self.remove_missing_place(&run);
        }
        self.release_attempt(id);
        if answered {
            self.settle_claim(id);
            return;
        }
        self.follow_up(id, &run, failure);
    }

    /// Retries, resumes or refuses a request after an attempt that failed.
    fn follow_up(&mut self, id: CallId, run: &RunningAttempt, failure: Failure) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let (repeatable, progress) = (call.repeatable, call.progress);
        let service = matches!(call.request.what, RequestedResource::Service { .. });
        let (exhausted, fingerprint) = (call.attempts_exhausted(), call.request.fingerprint);
        let (sent, begun) = (progress > Progress::Unsent, progress == Progress::Begun);
        let next = retry_policy::next(repeatable || self.has_fault(Fault::SendsTwice), sent, begun);
        // A response that broke off and is not resumed has failed with its target, whatever its sections.
        let resumes = next == NextStep::Resume && !exhausted && !service;
        let rejection = self
            .strikes_rejection(fingerprint)
            .or_else(|| self.suspect_rejection(id).filter(|_| resumes || !begun));
        if let Some(rejection) = rejection {
            self.refuse(id, rejection);
            return;
        }
        match next {
            NextStep::Retry | NextStep::Resume if exhausted => {
                self.fail_call(id, "every target failed");
            }
            NextStep::Elsewhere | NextStep::Retry => {
                self.requeue(id, backoff(failure, run.attempt));
            }
            NextStep::Resume if service => self.fail_call(id, "the answer broke off"),
            NextStep::Resume => self.resume(id, run, failure),
            NextStep::Unknown => self.fail_call(id, "the target failed after it was sent"),
        }
    }

    /// Removes the replica of a place from the fleet view, until control publishes it again, or
    /// ejects the target of a service: the target does not match what the view says.
    fn remove_missing_place(&mut self, run: &RunningAttempt) {
        match run.place.replica {
            Some(replica) => self.fleet_view.remove_replica(replica),
            None => {
                self.ejections.eject(&run.place.target, self.now);
            }
        }
    }

    /// Records a failure against the target and, if the request may have caused it, against the
    /// request.
    fn record_failure(&mut self, run: &RunningAttempt, suspect: Suspect, failure: Failure) {
        let effect = retry_policy::effect(failure);
        let target = run.place.target.clone();
        let incarnation = run.incarnation;
        let current = self.fleet_view.is_open(&target, incarnation);
        let eject = effect.eject && self.config.uses(Guard::Ejection) && current;
        if eject && self.ejections.eject(&target, self.now) {
            let target = target.clone();
            self.actions.push(Action::Suspect {
                target,
                incarnation,
            });
        }
        if effect.strike && run.progress > Progress::Unsent {
            self.strike(suspect);
        }
    }

    /// Handles `ErrorStatus`: the response of this attempt shows no prompt to be harmless.
    pub(crate) fn on_error_status(&mut self, id: CallId, attempt: Attempt) {
        let call = self.calls.get_mut(&id);
        if let Some(run) = call.and_then(|call| call.run_mut(attempt)) {
            run.error = true;
        }
    }

    /// Puts a request back into the queue for another attempt after a backoff.
    fn requeue(&mut self, id: CallId, delay: Duration) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if call.attempts >= MAX_ATTEMPTS {
            self.fail_call(id, "every attempt failed");
            return;
        }
        call.stage = Stage::Waiting;
        if call.progress == Progress::Begun {
            call.rank.weight = RESUME_WEIGHT;
        }
        if !delay.is_zero() {
            call.retry_at = now + delay;
            self.backoffs.insert((call.retry_at, id));
        }
        if call.progress < Progress::Begun {
            // The timer still holds the time by which the failed attempt was to begin its response.
            let refused_at = refusal_time(call.arrived, call.deadline);
            self.set_timer(id, refused_at);
        }
        self.enqueue(id);
    }

    /// Ends a request whose target failed.
    pub(crate) fn fail_call(&mut self, id: CallId, detail: &str) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let unsent = call.progress == Progress::Unsent;
        let (reason, run) = if unsent {
            (Reason::Unavailable, Run::NotRun)
        } else {
            (Reason::TargetFailed, Run::Unknown)
        };
        let rejection = Rejection {
            run,
            ..Rejection::not_run(reason, detail)
        };
        let retryable = unsent || call.repeatable;
        let rejection = if retryable {
            rejection.after(Duration::ZERO)
        } else {
            rejection
        };
        self.refuse(id, rejection);
    }

    /// Resumes a partial response, on the same replica if it is still available.
    fn resume(&mut self, id: CallId, run: &RunningAttempt, failure: Failure) {
        let reachable = failure != Failure::Connect && failure != Failure::Refused;
        let same_place = self.resume_candidate(id, run);
        let service = self.calls.get(&id).map(|call| call.key.service());
        let within_budget = service.is_some_and(|service| self.budget_allows(&service));
        let within_limit = self.takes_requests_now(&run.place.target, run.incarnation);
        match same_place {
            Some(candidate)
                if reachable && within_budget && within_limit && !self.is_charged(id) =>
            {
                if let Some(call) = self.calls.get_mut(&id) {
                    call.stage = Stage::Waiting;
                }
                self.send(id, &candidate);
            }
            _ if self.refuse_stranded(id) => {}
            _ => self.requeue(id, backoff(failure, run.attempt)),
        }
    }

    /// Returns the place of a failed attempt as a candidate, if it still accepts requests and the
    /// request has attempts left.
    fn resume_candidate(&self, id: CallId, run: &RunningAttempt) -> Option<Candidate> {
        let call = self.calls.get(&id)?;
        if call.attempts >= MAX_ATTEMPTS || !matches!(call.key, QueueKey::Model(..)) {
            return None;
        }
        let open = self.fleet_view.is_open(&run.place.target, run.incarnation);
        let ready = run
            .place
            .replica
            .is_some_and(|replica| self.fleet_view.is_ready(replica));
        let target = &self.fleet_view.targets.get(&run.place.target)?.view;
        (open && ready).then(|| Candidate {
            place: run.place.clone(),
            incarnation: run.incarnation,
            address: target.address,
            region: target.region.clone(),
            zone: target.zone.clone(),
            own: 0,
            others: 0,
            age: Time::ZERO,
            capacity: 1,
            cached: 0.0,
            distance_ms: 0.0,
            price: 0.0,
            work: Work::default(),
            saving_ms: 0.0,
        })
    }
}

/// Returns the backoff before another attempt; zero if the failure ejects the target, which is then
/// not retried anyway.
fn backoff(failure: Failure, attempt: Attempt) -> Duration {
    if retry_policy::effect(failure).eject {
        return Duration::ZERO;
    }
    RETRY_BACKOFF * 2_u32.saturating_pow(attempt.saturating_sub(1).min(6))
}
