//! Requests that the retry budget or the limits of their targets hold back: they wait for a turn that
//! is near, and are refused otherwise.

use cornelhitch_types::id::{Name, Time};
use cornelhitch_types::refusal::Reason;

use crate::choice::Choice;
use crate::config::Guard;
use crate::core::Core;
use crate::event::CallId;
use crate::finish::Rejection;
use crate::queue::QueueKey;
use crate::request::{Call, Progress};
use crate::target_limits::Turn;

/// Interval at which requests that are held back by the retry budget or a target's limit are tried
/// again.
const HELD_RETRY_INTERVAL: Time = Time::from_millis(250);

/// Longest expected wait for the retry budget or a target's limit for which a request is held back
/// instead of refused: the shortest `Retry-After` that callers are given.
const MAX_HELD_WAIT: Time = Time::from_secs(1);

impl Core {
    /// Whether the retry budget allows sending another retry to a service.
    pub(crate) fn budget_allows(&mut self, service: &Name) -> bool {
        !self.config.uses(Guard::Budget) || self.budget.allows(service, self.now)
    }

    /// Holds a request back because the retry budget is spent. If the expected wait is too long,
    /// marks the request for refusal instead: a retry by the caller does not use the budget.
    ///
    /// A request whose response has begun always waits: losing the partial response would cost the
    /// caller more than the wait.
    pub(crate) fn hold_back(&mut self, id: CallId, service: &Name) {
        self.held_retry_at = Some(self.now + HELD_RETRY_INTERVAL);
        self.counters.of(service).held_back += 1;
        let others = self.calls.values().filter(|call| {
            let before = call.request.id < id && call.is_waiting() && call.sends > 0;
            before && call.key.service() == *service
        });
        let ahead = others.count();
        let wait = self.budget.expected_wait(service, ahead, self.now);
        let begun = self
            .calls
            .get(&id)
            .is_some_and(|call| call.progress == Progress::Begun);
        if wait > MAX_HELD_WAIT && !begun {
            self.over_budget.push((id, wait));
        }
    }

    /// Refuses the requests whose expected wait for the retry budget is too long.
    pub(crate) fn refuse_over_budget(&mut self) {
        for (id, wait) in std::mem::take(&mut self.over_budget) {
            let unsent = self
                .calls
                .get(&id)
                .is_some_and(|call| call.progress == Progress::Unsent);
            if unsent {
                let detail = "targets turned it away, and no more retries may be made now";
                let rejection = Rejection::not_run(Reason::Overloaded, detail);
                self.refuse(id, rejection.after(wait.min(MAX_HELD_WAIT)));
            } else {
                self.fail_call(id, "the target failed, and no more retries may be made now");
            }
        }
    }

    /// Refuses the requests of a lane whose targets all name a limit or a time that leaves them no
    /// turn soon. Nothing waits for a limit to end.
    pub(crate) fn refuse_over_limit(&mut self, key: &QueueKey) {
        let limited = !self.target_limits.is_empty() || self.target_notices.any_paused(self.now);
        if !limited || self.queue.waiting(key) == 0 {
            return;
        }
        let options = self.options(key);
        let waiting: Vec<CallId> = self.queue.lane(key).collect();
        let mut ahead = 0;
        for id in waiting {
            let Some(call) = self.calls.get(&id) else {
                continue;
            };
            let Some(turn) = self.limited_turn(call, &options, ahead) else {
                continue;
            };
            ahead += 1;
            let begun = call.progress == Progress::Begun;
            let deadline = call.deadline;
            match turn {
                Turn::After(wait) | Turn::Elsewhere(wait) if begun => self.hold_for_turn(wait),
                Turn::After(wait) if wait <= MAX_HELD_WAIT && self.now + wait < deadline => {
                    self.hold_for_turn(wait);
                }
                Turn::After(wait) | Turn::Elsewhere(wait) => self.refuse_limited(id, wait),
                Turn::Now => {}
            }
        }
    }

    /// Returns the first turn of a request with `ahead` others before it, if limits alone keep it
    /// from being sent: every place that could take it has no turn.
    fn limited_turn(&self, call: &Call, options: &[Choice], ahead: u32) -> Option<Turn> {
        let fitting = options.iter().filter(|option| self.fits(call, option));
        // A place that has a turn now is full, and is waited for.
        let turns = fitting.map(|option| match option.turn(0) {
            Turn::Now => Turn::Now,
            _ => option.turn(ahead),
        });
        let first = turns.min_by_key(|turn| match turn {
            Turn::Now => (0, Time::ZERO),
            Turn::After(wait) => (1, *wait),
            Turn::Elsewhere(wait) => (2, *wait),
        })?;
        (first != Turn::Now).then_some(first)
    }

    /// Tries the waiting requests again soon, because a turn at a target is near.
    fn hold_for_turn(&mut self, wait: Time) {
        let at = self.now + HELD_RETRY_INTERVAL.min(wait);
        self.held_retry_at = Some(self.held_retry_at.map_or(at, |held| held.min(at)));
    }

    /// Refuses a request that its targets' limits leave no turn soon.
    fn refuse_limited(&mut self, id: CallId, wait: Time) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let unsent = call.progress == Progress::Unsent;
        let service = call.key.service();
        self.counters.of(&service).limited += 1;
        if unsent {
            let detail = "its targets take no more requests now";
            let rejection = Rejection::not_run(Reason::Overloaded, detail);
            self.refuse(id, rejection.after(wait));
        } else {
            self.fail_call(
                id,
                "the target failed, and others take no more requests now",
            );
        }
    }
}
