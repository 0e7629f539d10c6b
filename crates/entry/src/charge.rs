//! Requests of teams with quotas: charged before they are queued, and again for each further send.

use std::time::Duration;

use cornelhitch_types::id::{Name, Time};
use cornelhitch_types::quota::{Answer, AskRefusal, Cause};
use cornelhitch_types::refusal::Reason;
use cornelhitch_types::team::{Quota, QuotaUnit};

use crate::action::Action;
use crate::core::Core;
use crate::event::{Attempt, CallId};
use crate::finish::Rejection;
use crate::quota::Demanded;
use crate::request::{Call, Progress, Stage};

/// The part of a request's latency objective, if it has one, for which it waits for its allowance at most.
const OBJECTIVE_DIVISOR: u32 = 2;

/// The part of the time to its deadline for which a request waits for its allowance at most, and up
/// to which a caller honours `Retry-After`.
const DEADLINE_DIVISOR: u32 = 3;

/// A request waits at least this long if its deadline allows: a round trip between regions is 60 ms.
const MIN_WAIT: Duration = Duration::from_millis(150);

/// `Retry-After` if no leader answers; a new one is elected within a few seconds.
const UNANSWERED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns a request's team and its quota, if it has one.
fn quota_of(call: &Call) -> Option<(Name, Quota)> {
    let team = call.request.team.as_ref()?;
    Some((team.name.clone(), team.quota?))
}

/// Returns for how long a request waits for its allowance.
fn longest_wait(call: &Call, now: Time) -> Duration {
    let left = call.deadline.saturating_sub(now) / DEADLINE_DIVISOR;
    let terms = call.request.terms.as_ref();
    let objective = terms.and_then(|terms| terms.objective);
    let wait = objective.map_or(left, |objective| objective / OBJECTIVE_DIVISOR);
    wait.max(MIN_WAIT).min(left)
}

impl Core {
    /// Charges a request before it is queued. Returns `false` if it has to wait for its allowance;
    /// it is queued once it is charged.
    pub(crate) fn charge(&mut self, id: CallId) -> bool {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else {
            return false;
        };
        let Some((team, quota)) = quota_of(call) else {
            return true;
        };
        if call.charge.as_ref().is_some_and(|charge| !charge.is_used()) {
            return true;
        }
        let demanded = Demanded {
            id,
            cost: quota.cost(call.request.usage),
            key: call.request.fingerprint,
            plain: call.request.usage.is_none(),
            tokens: matches!(quota.unit, QuotaUnit::Tokens { .. }),
        };
        call.charge = self.allowances.charge(&team, demanded, now);
        if call.charge.is_some() {
            return true;
        }
        call.stage = Stage::AwaitingAllowance;
        let patience = call.deadline.saturating_sub(now) / DEADLINE_DIVISOR;
        let until = now + longest_wait(call, now);
        self.allowances.wait(&team, demanded, patience, until);
        false
    }

    /// Whether each send of a request is charged.
    pub(crate) fn is_charged(&self, id: CallId) -> bool {
        self.calls.get(&id).and_then(quota_of).is_some()
    }

    /// Records that a request is about to be sent on its charge. Returns `false` if the lease of the
    /// charge has expired, so that it must not be sent.
    pub(crate) fn spend_charge(&mut self, id: CallId) -> bool {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else {
            return false;
        };
        let Some(charge) = &mut call.charge else {
            return quota_of(call).is_none();
        };
        if charge.is_used() {
            return true;
        }
        let allowed = self.allowances.send(charge, now);
        if !allowed {
            call.charge = None;
        }
        allowed
    }

    /// Gives back the charge of an attempt that its target declined to run.
    pub(crate) fn restore_charge(&mut self, id: CallId) {
        let call = self.calls.get_mut(&id);
        if let Some(charge) = call.and_then(|call| call.charge.as_mut()) {
            self.allowances.undo_send(charge);
        }
    }

    /// Gives back the charge of a request that ends without being sent on it.
    pub(crate) fn release_charge(&mut self, id: CallId) {
        let call = self.calls.get_mut(&id);
        if let Some(charge) = call.and_then(|call| call.charge.take()) {
            self.allowances.release(&charge);
        }
    }

    /// Ends the wait of a request for its allowance.
    pub(crate) fn stop_awaiting_allowance(&mut self, id: CallId) {
        if let Some((team, _)) = self.calls.get(&id).and_then(quota_of) {
            self.allowances.stop_waiting(&team, id);
        }
    }

    /// Handles an answer of the leader: queues the requests that are charged now, and refuses those
    /// that get no allowance.
    pub(crate) fn on_quota(&mut self, answer: &Answer) {
        let decided = self.allowances.apply(answer, self.now);
        for (id, charge) in decided.granted {
            let Some(call) = self.calls.get_mut(&id) else {
                self.allowances.release(&charge);
                continue;
            };
            call.charge = Some(charge);
            self.enqueue(id);
        }
        for (id, refusal) in decided.refused {
            self.refuse_charge(id, &refusal);
        }
    }

    /// Ends what has expired, and reports to the leader if that is due. Runs after each event.
    pub(crate) fn advance_allowances(&mut self) {
        self.allowances.set_host_count(self.fleet_view.hosts.len());
        self.allowances.expire(self.now);
        for id in self.allowances.take_overdue(self.now) {
            let rejection = Rejection {
                retry: Some(UNANSWERED_RETRY_AFTER),
                ..Rejection::not_run(Reason::Isolated, "no leader grants the team's allowance")
            };
            self.refuse_uncharged(id, rejection);
        }
        if let Some(report) = self.allowances.report(self.now) {
            self.actions.push(Action::ReportQuota(report));
        }
    }

    /// Refuses a request that gets no allowance.
    fn refuse_charge(&mut self, id: CallId, refusal: &AskRefusal) {
        let call = self.calls.get(&id);
        let Some((team, quota, call)) = call.and_then(|call| {
            let (team, quota) = quota_of(call)?;
            Some((team, quota, call))
        }) else {
            return;
        };
        let cost = quota.cost(call.request.usage);
        let used = format!("team {team} has used its quota, of which this request counts {cost}");
        let rejection = match refusal.cause {
            Cause::Used => Rejection::not_run(Reason::Quota, &used),
            Cause::NotReady => Rejection::not_run(
                Reason::Isolated,
                "a new leader waits until earlier allowances have expired",
            ),
        };
        let rejection = Rejection {
            retry: refusal.wait.map(whole_milliseconds),
            ..rejection
        };
        self.refuse_uncharged(id, rejection);
    }

    /// Refuses a request that waits for its allowance. One that may have run fails instead, since a
    /// refusal for the quota would state that it has not.
    fn refuse_uncharged(&mut self, id: CallId, rejection: Rejection) {
        let progress = self.calls.get(&id).map(|call| call.progress);
        if progress == Some(Progress::Unsent) {
            self.refuse(id, rejection);
        } else {
            self.fail_call(id, "the team's quota does not cover another attempt");
        }
    }

    /// Handles the failure of an attempt whose target declined to run it.
    pub(crate) fn undo_declined(&mut self, id: CallId, attempt: Attempt) {
        let call = self.calls.get_mut(&id);
        if let Some(call) = call.filter(|call| call.run(attempt).is_some()) {
            call.undo_run();
            self.restore_charge(id);
        }
    }
}

/// Rounds a time up to whole milliseconds, which is what callers are told.
fn whole_milliseconds(wait: Duration) -> Duration {
    let millis = wait.as_micros().div_ceil(1_000);
    Duration::from_millis(u64::try_from(millis).unwrap_or(u64::MAX))
}
