//! The one end of each request, and what is left to do after it.

use std::time::Duration;

use bytes::Bytes;
use cornelhitch_types::id::{Name, Time};
use cornelhitch_types::refusal::{Reason, Refusal, Run};

use crate::action::Action;
use crate::claim::Outcome;
use crate::core::Core;
use crate::event::{CallId, Failure};
use crate::fault::Fault;
use crate::quarantine::Life;
use crate::queue::Key;
use crate::request::{Call, Claim, Reach, Stage};
use crate::stopped::Suspect;

/// How long a call that may not be repeated goes on after its caller has been answered, so that
/// its outcome can be recorded.
pub(crate) const LINGER: Time = Time::from_mins(1);

/// How long the commit of an outcome is waited for.
pub(crate) const RECORDING: Time = Time::from_mins(1);

/// How a request ends that is not answered in full.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct End {
    /// Why.
    pub reason: Reason,
    /// Whether it ran.
    pub run: Run,
    /// When to come back.
    pub retry: Option<Duration>,
    /// A sentence for people.
    pub detail: Name,
}

impl End {
    /// The end of a request of which no byte was sent.
    pub(crate) fn not_run(reason: Reason, detail: &str) -> Self {
        Self {
            reason,
            run: Run::NotRun,
            retry: None,
            detail: detail.into(),
        }
    }

    /// The same, with a time to come back: at least a second, at most a minute.
    pub(crate) fn after(mut self, wait: Duration) -> Self {
        let wait = wait.clamp(Duration::from_secs(1), Duration::from_mins(1));
        self.retry = Some(wait);
        self
    }

    /// The refusal that the caller gets.
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
    /// Refuses a request that was never taken in.
    pub(crate) fn turn_away(&mut self, id: CallId, end: End) {
        let refusal = end.refusal();
        self.actions.push(Action::Refuse { id, refusal });
    }

    /// Ends a request with a refusal, or with a stream error if its answer had begun.
    pub(crate) fn refuse(&mut self, id: CallId, end: End) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if call.answered {
            return;
        }
        let begun = call.reach == Reach::Begun;
        let mut refusal = end.refusal();
        if self.planted(Fault::FalseNotRun) {
            refusal.run = Run::NotRun;
        }
        self.actions.push(if begun {
            Action::StreamError { id, refusal }
        } else {
            Action::Refuse { id, refusal }
        });
        self.close(id);
    }

    /// Ends a request with the recorded answer.
    pub(crate) fn replay(&mut self, id: CallId, recorded: Bytes) {
        self.actions.push(Action::Replay { id, recorded });
        self.close(id);
    }

    /// Ends a request whose caller left.
    pub(crate) fn caller_left(&mut self, id: CallId) {
        let known = self.calls.get(&id);
        if known.is_some_and(|call| !call.answered) {
            self.close(id);
        }
    }

    /// What follows the end of a request towards its caller.
    fn close(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.answered = true;
        let caller = call.request.caller.clone();
        let sent = call.running().is_some_and(|run| run.reach > Reach::Unsent);
        let lingers = !call.repeatable && sent && call.request.terms.is_none();
        self.queue.leave(&caller);
        if lingers {
            self.set_timer(id, self.now + LINGER);
        } else {
            self.stop(id);
            self.conclude(id);
        }
    }

    /// Cancels the attempt in progress, if there is one.
    pub(crate) fn stop(&mut self, id: CallId) {
        let Some(run) = self.calls.get(&id).and_then(Call::running).cloned() else {
            return;
        };
        if run.reach > Reach::Unsent
            && let Some(call) = self.calls.get(&id)
        {
            let suspect = Suspect {
                fingerprint: call.request.fingerprint,
                strikes: run.strikes,
                life: (run.place.target.clone(), run.incarnation),
            };
            self.stopped.insert((id, run.attempt), suspect, self.now);
        }
        self.actions.push(Action::Cancel {
            id,
            attempt: run.attempt,
            target: run.place.target.clone(),
        });
        self.land(id);
    }

    /// Frees what an attempt took.
    pub(crate) fn land(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(run) = call.running().cloned() else {
            return;
        };
        call.stage = Stage::Recording;
        let (key, fingerprint) = (call.key.clone(), call.request.fingerprint);
        if run.reach == Reach::Unsent && call.arrivals > 0 {
            self.budget.release(&key.service());
        }
        if let Some(flights) = self.flights.get_mut(&run.place) {
            *flights = flights.saturating_sub(1);
            if *flights == 0 {
                self.flights.remove(&run.place);
            }
        }
        self.unprint(fingerprint, &run.place.target);
        if run.reserved {
            let life: Life = (run.place.target, run.incarnation);
            self.quarantine.end(&life);
        }
        self.freed(&key);
    }

    /// Counts the end of a fingerprint's attempt on a target.
    fn unprint(&mut self, fingerprint: u64, target: &Name) {
        let Some(targets) = self.prints.get_mut(&fingerprint) else {
            return;
        };
        if let Some(count) = targets.get_mut(target) {
            *count -= 1;
            if *count == 0 {
                targets.remove(target);
            }
        }
        if targets.is_empty() {
            self.prints.remove(&fingerprint);
        }
    }

    /// Looks again at what waits for the same places, in any version.
    fn freed(&mut self, key: &Key) {
        let same = |other: &Key| match (key, other) {
            (Key::Model(one, _), Key::Model(other, _)) => one == other,
            (Key::Service(_), Key::Service(_)) => true,
            _ => false,
        };
        let keys = self.queue.keys();
        self.dirty.extend(keys.into_iter().filter(same));
    }

    /// Settles the claim of a request that has ended, and drops the request when that is done.
    pub(crate) fn conclude(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let outcome = match (call.claim, call.reach) {
            (Claim::None, _) => None,
            (Claim::Asked, _) | (Claim::Granted, Reach::Unsent) => Some(Outcome::NotRun),
            (Claim::Granted, _) => Some(Outcome::Unknown),
        };
        match outcome {
            None => self.forget(id),
            Some(outcome) => self.record(id, outcome),
        }
    }

    /// Has an outcome committed; the request stays until it is.
    pub(crate) fn record(&mut self, id: CallId, outcome: Outcome) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let Some(key) = call.request.key.clone() else {
            self.forget(id);
            return;
        };
        let planted = self.planted(Fault::ReleasesSent);
        let outcome = if planted { Outcome::NotRun } else { outcome };
        let caller = call.request.caller.clone();
        if call.claim == Claim::Asked {
            let (caller, key) = (caller.clone(), key.clone());
            self.orphans.watch(id, caller, key, self.now);
        }
        self.actions.push(Action::Record {
            id,
            caller,
            key,
            outcome,
        });
        self.unqueue(id);
        if let Some(call) = self.calls.get_mut(&id) {
            call.stage = Stage::Recording;
        }
        self.set_timer(id, self.now + RECORDING);
    }

    /// Takes the word that an outcome is committed.
    pub(crate) fn recorded(&mut self, id: CallId) {
        let known = self.calls.get(&id);
        if known.is_some_and(|call| call.answered && call.stage == Stage::Recording) {
            self.forget(id);
        }
    }

    /// Takes a request out of the queue, or out of those that wait for a claim.
    fn unqueue(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        match call.stage {
            Stage::Claiming => self.claiming = self.claiming.saturating_sub(1),
            Stage::Waiting => self.queue.remove(&call.key, call.rank, id),
            Stage::Running(_) | Stage::Recording => {}
        }
    }

    /// Drops a request.
    pub(crate) fn forget(&mut self, id: CallId) {
        self.unqueue(id);
        if let Some(call) = self.calls.remove(&id) {
            self.timers.remove(&(call.timer, id));
            self.pauses.remove(&(call.pause, id));
        }
    }

    /// Sets a request's one timer.
    pub(crate) fn set_timer(&mut self, id: CallId, at: Time) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        self.timers.remove(&(call.timer, id));
        call.timer = at;
        self.timers.insert((at, id));
    }

    /// Does what a request's timer is for.
    pub(crate) fn expired(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if call.answered {
            self.abandon(id);
            return;
        }
        if self.unstall(id) || self.lose_patience(id) {
            return;
        }
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let (run, detail) = match call.reach {
            Reach::Unsent => (Run::NotRun, "the deadline came while it waited"),
            Reach::Sent => (Run::Unknown, "the deadline came before the answer"),
            Reach::Begun => (Run::Unknown, "the answer stopped coming"),
        };
        let end = End {
            run,
            ..End::not_run(Reason::Expired, detail)
        };
        let retry = run == Run::NotRun || call.repeatable;
        let end = if retry {
            end.after(Duration::ZERO)
        } else {
            end
        };
        self.refuse(id, end);
        if self.planted(Fault::EndsTwice) {
            let end = End::not_run(Reason::Expired, "planted");
            self.turn_away(id, end);
        }
    }

    /// Takes an answer that stopped coming from its target, once, and continues it.
    fn unstall(&mut self, id: CallId) -> bool {
        let Some(call) = self.calls.get_mut(&id) else {
            return false;
        };
        let begun = call.reach == Reach::Begun && call.request.streaming;
        let Some((attempt, target)) = call
            .running()
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
        self.touch(id);
        self.failed(id, attempt, Failure::Stalled);
        true
    }

    /// Gives up what went on after its caller had been answered.
    fn abandon(&mut self, id: CallId) {
        let known = self.calls.get(&id);
        if known.is_some_and(|call| call.running().is_some()) {
            self.stop(id);
            self.conclude(id);
        } else {
            self.forget(id);
        }
    }
}
