//! One attempt from its first byte to its end.

use std::time::Duration;

use cornelhitch_types::id::{TargetId, Time};
use cornelhitch_types::refusal::{Reason, Run};

use crate::action::Action;
use crate::claim::Outcome;
use crate::config::Guard;
use crate::core::Core;
use crate::event::{Attempt, CallId, Failure, What};
use crate::fault::Fault;
use crate::finish::End;
use crate::queue::{FIRST, Key};
use crate::request::{Call, Reach, Run as Flight, Stage};
use crate::route::Candidate;
use crate::rule::{self, Next};
use crate::stopped::Suspect;

/// The longest time without a part of a streamed answer that has begun.
///
/// Owners report `Progress` well within it, also where tokens come slowly or the caller takes them
/// slowly; it is more than a hundred times the 37 ms between tokens that users expect.
pub const STALL: Duration = Duration::from_secs(5);

/// How far past its deadline an answer may go on that is not streamed and had begun before.
pub const REST: Duration = Duration::from_secs(5);

/// The part of the objective that a target may take to begin its answer before another is asked.
const PATIENCE: f64 = 0.75;

/// How many times the usual time to the begin of an answer counts as slow.
const SLOW: f64 = 2.5;

/// Attempts of one request at most.
const ATTEMPTS: Attempt = 8;

/// The first pause after a target refused, doubled each time.
const PAUSE: Duration = Duration::from_millis(20);

impl Core {
    /// The owner is about to write the first byte.
    pub(crate) fn sent(&mut self, id: CallId, attempt: Attempt) {
        let Some(run) = self.calls.get(&id).and_then(|call| call.run(attempt)) else {
            return;
        };
        if !self.may_write(run) {
            self.stop(id);
            self.again(id, Duration::ZERO);
            return;
        }
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.reach = call.reach.max(Reach::Sent);
        call.arrivals += 1;
        call.runs += 1;
        let service = call.key.service();
        let tally = self.tallies.of(&service);
        if call.arrivals == 1 {
            tally.requests += 1;
            self.budget.first(&service, now);
        } else {
            tally.repeats += 1;
            self.budget.make(&service, now);
        }
        let (begun, deadline) = (call.reach == Reach::Begun, call.deadline);
        if let Some(run) = call.run_mut(attempt) {
            run.reach = run.reach.max(Reach::Sent);
            run.since = now;
        }
        if !begun {
            let patience = self.patience(id).map(|patience| now + patience);
            self.set_timer(id, patience.map_or(deadline, |at| at.min(deadline)));
        }
        self.actions.push(Action::Proceed { id, attempt });
    }

    /// How long a target may take to begin its answer before another one is asked instead; none
    /// where the request may run only there.
    fn patience(&self, id: CallId) -> Option<Duration> {
        let call = self.calls.get(&id)?;
        let terms = call.request.terms.as_ref()?;
        if !call.repeatable || call.is_spent() {
            return None;
        }
        let usual = self.paces.get(&call.key).need(true).mul_f64(SLOW);
        Some(terms.objective.mul_f64(PATIENCE).max(usual))
    }

    /// Takes a request from a target that does not begin to answer, if another one can run it.
    pub(crate) fn lose_patience(&mut self, id: CallId) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        let sent = call.reach == Reach::Sent && self.now < call.deadline;
        let Some(run) = call.running().filter(|_| sent).cloned() else {
            return false;
        };
        let (deadline, service) = (call.deadline, call.key.service());
        let Some(patience) = self.patience(id) else {
            return false;
        };
        if !(self.affords(&service) && self.has_other_place(id, &run.place.target)) {
            self.set_timer(id, (self.now + patience).min(deadline));
            return true;
        }
        self.actions.push(Action::Cancel {
            id,
            attempt: run.attempt,
            target: run.place.target.clone(),
        });
        self.failed(id, run.attempt, Failure::Stalled);
        true
    }

    /// Whether a target other than one has room for a request.
    fn has_other_place(&self, id: CallId, target: &TargetId) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        let options = self.options(&call.key);
        options.iter().any(|option| {
            let other = option.candidate.place.target != *target;
            other && option.free() && self.fits(call, option)
        })
    }

    /// Whether the place still takes new work, now that the connection stands.
    fn may_write(&self, run: &Flight) -> bool {
        if self.planted(Fault::SendsToClosed) || run.reach > Reach::Unsent {
            return true;
        }
        let open = self.picture.open(&run.place.target, run.incarnation);
        open && run
            .place
            .replica
            .is_none_or(|replica| self.picture.ready(replica))
    }

    /// The answer began.
    pub(crate) fn begun(&mut self, id: CallId, attempt: Attempt) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let answered = call.answered;
        let Some(run) = call.run_mut(attempt) else {
            return;
        };
        if run.reach != Reach::Sent {
            return;
        }
        run.reach = Reach::Begun;
        let took = now.saturating_sub(run.since);
        let first = call.reach < Reach::Begun;
        call.reach = Reach::Begun;
        let key = call.key.clone();
        if answered {
            return;
        }
        if first {
            self.paces.first(&key, took);
        }
        self.touch(id);
        self.actions.push(Action::Deliver { id, attempt });
    }

    /// A part of a streamed answer was passed on.
    pub(crate) fn progress(&mut self, id: CallId, attempt: Attempt, offset: u64) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let current = call
            .run(attempt)
            .is_some_and(|run| run.reach == Reach::Begun);
        if !current || call.answered || offset <= call.offset {
            return;
        }
        call.offset = offset;
        self.touch(id);
    }

    /// Sets the timer of an answer that has begun.
    pub(crate) fn touch(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let at = if let Some(terms) = &call.request.terms {
            call.arrived + terms.limit
        } else if call.request.streaming {
            self.now + STALL
        } else {
            call.deadline + REST
        };
        self.set_timer(id, at);
    }

    /// The terminator came.
    pub(crate) fn ended(&mut self, id: CallId, attempt: Attempt) {
        let attempt = self.taken(id, attempt);
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let Some(run) = call.run(attempt) else {
            return;
        };
        if run.reach != Reach::Begun {
            return;
        }
        let (key, took) = (call.key.clone(), self.now.saturating_sub(run.since));
        let (answered, caller) = (call.answered, call.request.caller.clone());
        if call.offset == 0 || call.attempts == 1 {
            self.paces.whole(&key, took);
        }
        self.land(id);
        if !answered {
            self.actions.push(Action::Finish { id, attempt });
            self.queue.leave(&caller);
            if let Some(call) = self.calls.get_mut(&id) {
                call.answered = true;
            }
        }
        self.record(id, Outcome::Answered);
    }

    /// The number of the attempt that an event is taken for.
    fn taken(&self, id: CallId, attempt: Attempt) -> Attempt {
        if !self.planted(Fault::TakesOldAttempt) {
            return attempt;
        }
        let run = self.calls.get(&id).and_then(Call::running);
        run.map_or(attempt, |run| run.attempt)
    }

    /// The attempt failed.
    pub(crate) fn failed(&mut self, id: CallId, attempt: Attempt, failure: Failure) {
        if let Some(suspect) = self.stopped.take((id, attempt)) {
            if rule::effect(failure).strike {
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
        // Targets behind routes promise that what they decline never ran.
        let promised = call.request.terms.is_some();
        let declined = matches!(failure, Failure::Refused | Failure::Absent);
        if promised && declined && run.reach == Reach::Sent {
            call.refused();
        }
        let (repeatable, reach) = (call.repeatable, call.reach);
        let service = matches!(call.request.what, What::Service { .. });
        let (answered, fingerprint) = (call.answered, call.request.fingerprint);
        self.blame(&run, fingerprint, failure);
        if failure == Failure::Absent {
            self.absent(&run);
        }
        self.land(id);
        if answered {
            self.conclude(id);
            return;
        }
        if self.quarantine.strikes(fingerprint) >= self.strike_limit() {
            let end = self.quarantined(fingerprint);
            self.refuse(id, end);
            return;
        }
        let (sent, begun) = (reach > Reach::Unsent, reach == Reach::Begun);
        let next = rule::next(repeatable || self.planted(Fault::SendsTwice), sent, begun);
        let exhausted = self.calls.get(&id).is_some_and(Call::is_spent);
        match next {
            Next::Retry | Next::Resume if exhausted => self.give_up(id, "every target failed"),
            Next::Elsewhere | Next::Retry => self.again(id, pause(failure, attempt)),
            Next::Resume if service => self.give_up(id, "the answer broke off"),
            Next::Resume => self.resume(id, &run, failure),
            Next::Unknown => self.give_up(id, "the target failed after it was sent"),
        }
    }

    /// Takes a place out that does not hold what the view says, until the view says it anew.
    fn absent(&mut self, run: &Flight) {
        match run.place.replica {
            Some(replica) => self.picture.replica_gone(replica),
            None => {
                self.ejections.eject(&run.place.target, self.now);
            }
        }
    }

    /// Counts a failure against the target and, if it may be the cause, the request.
    fn blame(&mut self, run: &Flight, fingerprint: u64, failure: Failure) {
        let effect = rule::effect(failure);
        let target = run.place.target.clone();
        let incarnation = run.incarnation;
        let current = self.picture.open(&target, incarnation);
        let eject = effect.eject && self.config.uses(Guard::Ejection) && current;
        if eject && self.ejections.eject(&target, self.now) {
            let target = target.clone();
            self.actions.push(Action::Suspect {
                target,
                incarnation,
            });
        }
        if effect.strike && run.reach > Reach::Unsent {
            self.strike(Suspect {
                fingerprint,
                strikes: run.strikes,
                life: (target, incarnation),
            });
        }
    }

    /// Counts a target that died with a request in progress.
    fn strike(&mut self, suspect: Suspect) {
        let Suspect {
            fingerprint,
            strikes,
            life,
        } = suspect;
        if !self.planted(Fault::ForgetsStrikes) {
            self.quarantine
                .strike(fingerprint, life.clone(), strikes, self.now);
        }
        let (target, incarnation) = life;
        self.actions.push(Action::Strike {
            fingerprint,
            target,
            incarnation,
        });
        self.expel(fingerprint);
    }

    /// Refuses what waits with a fingerprint that took down as many targets as it may.
    pub(crate) fn expel(&mut self, fingerprint: u64) {
        if self.quarantine.strikes(fingerprint) < self.strike_limit() {
            return;
        }
        let same = self.calls.values().filter(|call| {
            let unsent = call.running().is_none_or(|run| run.reach == Reach::Unsent);
            call.request.fingerprint == fingerprint && unsent && !call.answered
        });
        let mut same: Vec<CallId> = same.map(|call| call.request.id).collect();
        same.sort_unstable();
        for id in same {
            let end = self.quarantined(fingerprint);
            self.refuse(id, end);
        }
    }

    /// Puts a request back into the queue for another attempt.
    fn again(&mut self, id: CallId, pause: Duration) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if call.attempts >= ATTEMPTS {
            self.give_up(id, "every attempt failed");
            return;
        }
        call.stage = Stage::Waiting;
        if call.reach == Reach::Begun {
            call.rank.weight = FIRST;
        }
        if !pause.is_zero() {
            call.pause = now + pause;
            self.pauses.insert((call.pause, id));
        }
        self.wait(id);
    }

    /// Ends a request whose target failed.
    pub(crate) fn give_up(&mut self, id: CallId, detail: &str) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let unsent = call.reach == Reach::Unsent;
        let (reason, run) = if unsent {
            (Reason::Unavailable, Run::NotRun)
        } else {
            (Reason::TargetFailed, Run::Unknown)
        };
        let end = End {
            run,
            ..End::not_run(reason, detail)
        };
        let helps = unsent || call.repeatable;
        let end = if helps {
            end.after(Duration::ZERO)
        } else {
            end
        };
        self.refuse(id, end);
    }

    /// Continues an answer, at the same engine if it still stands.
    fn resume(&mut self, id: CallId, run: &Flight, failure: Failure) {
        let stands = failure != Failure::Connect && failure != Failure::Refused;
        let same = self.same_place(id, run);
        let service = self.calls.get(&id).map(|call| call.key.service());
        let afford = service.is_some_and(|service| self.affords(&service));
        match same {
            Some(candidate) if stands && afford => {
                if let Some(call) = self.calls.get_mut(&id) {
                    call.stage = Stage::Waiting;
                }
                self.send(id, &candidate);
            }
            _ => self.again(id, pause(failure, run.attempt)),
        }
    }

    /// The place of an attempt, if it may still be sent to and was not tried over and over.
    fn same_place(&self, id: CallId, run: &Flight) -> Option<Candidate> {
        let call = self.calls.get(&id)?;
        if call.attempts >= ATTEMPTS || !matches!(call.key, Key::Model(..)) {
            return None;
        }
        let open = self.picture.open(&run.place.target, run.incarnation);
        let ready = run
            .place
            .replica
            .is_some_and(|replica| self.picture.ready(replica));
        let target = &self.picture.targets.get(&run.place.target)?.view;
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
        })
    }
}

/// The pause before another attempt: none where the target is left out anyway.
fn pause(failure: Failure, attempt: Attempt) -> Duration {
    if rule::effect(failure).eject {
        return Duration::ZERO;
    }
    PAUSE * 2_u32.saturating_pow(attempt.saturating_sub(1).min(6))
}
