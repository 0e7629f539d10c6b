//! Refuses requests of teams that cannot meet their objective, with the time at which to return.
//!
//! Load that it handles: more requests of a team arrive than its share of the capacity serves. If
//! all waited until their deadlines, each would be served after its objective; refused at once, as
//! many as the share allows are served in time.

use std::time::Duration;

use cornelhitch_types::refusal::Reason;

use crate::core::Core;
use crate::finish::Rejection;
use crate::queue::Group;
use crate::request::Call;

/// Shortest time after which a refused request is told to return. An earlier return would find the
/// same queue.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Part of the objective that a request may always wait. Where targets alone take longer than the
/// objective, refusing all requests would leave the targets idle.
const MIN_WAITING_SHARE: u32 = 4;

/// Part of the time that a request may wait at which one that returns is aimed. The rest allows for
/// estimates that are too short: aimed at the whole time, all requests that return are just late.
const AIMED_SHARE: u32 = 2;

/// Part of its remaining time that a caller waits at most before it returns.
const HONOURED_SHARE: u32 = 3;

impl Core {
    /// Gives a request that returns when it was told the place that it first had. Returns whether it
    /// does.
    pub(crate) fn redeem_promise(&mut self, call: &mut Call) -> bool {
        let fingerprint = call.request.fingerprint;
        let deadline = self.promises.redeem(fingerprint, self.now);
        if let Some(deadline) = deadline {
            call.rank.deadline = call.rank.deadline.min(deadline);
        }
        deadline.is_some()
    }

    /// Returns the refusal of a new request of a team that cannot meet its objective, and expects
    /// its caller back if it will return in time. A request that takes up a stream is not new: its
    /// caller has part of the answer.
    pub(crate) fn objective_rejection(&mut self, call: &Call) -> Option<Rejection> {
        let is_new = call.request.team.is_some() && call.request.resumes().is_none();
        if !is_new {
            return None;
        }
        let objective = call.request.terms.as_ref()?.objective?;
        let now = self.now;
        let group = Group::of(&call.key, call.rank);
        let ahead = self.queue.ahead_in_group(&call.key, call.rank);
        // The next request of its team is not refused for callers that are yet to return: they
        // would keep each other out, and each be refused once.
        if ahead == 0 {
            return None;
        }
        let start = now + self.drain_rates.wait(&group, ahead, now);
        let before = self.promises.count(&group, now, start);
        let wait = self.drain_rates.wait(&group, ahead + before, now);
        let latency = self.latencies.get(&call.key);
        let response_time = latency.response_time_for(call.request.streaming);
        let room = objective.saturating_sub(response_time);
        let room = room.max(objective / MIN_WAITING_SHARE);
        if wait <= room {
            return None;
        }
        let all = self.promises.count(&group, now, call.deadline);
        let wait = self.drain_rates.wait(&group, ahead + all, now);
        let retry = wait.saturating_sub(room / AIMED_SHARE);
        let retry = retry.max(MIN_RETRY_AFTER);
        if retry <= call.deadline.saturating_sub(now) / HONOURED_SHARE {
            let fingerprint = call.request.fingerprint;
            let (due, deadline) = (now + retry, call.rank.deadline);
            self.promises.promise(fingerprint, group, due, deadline);
        }
        let detail = format!("it could not start before {} ms", wait.as_millis());
        Some(Rejection {
            retry: Some(retry),
            ..Rejection::not_run(Reason::Late, &detail)
        })
    }
}
