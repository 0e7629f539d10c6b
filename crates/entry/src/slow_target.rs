//! Retries requests whose target is slow to begin its response.

use std::time::Duration;

use cornelhitch_types::id::TargetId;

use crate::action::Action;
use crate::core::Core;
use crate::event::{CallId, Failure};
use crate::request::Progress;

/// Share of the route's latency objective that a target may take to begin its response before the
/// request is retried on another one.
const FIRST_BYTE_OBJECTIVE_SHARE: f64 = 0.75;

/// Part of the route's timeout that a target may take to begin its response if the route has no objective.
/// The rest is left for another target.
const TIMEOUT_DIVISOR: u32 = 4;

/// A target is slow if its response has not begun after this many times the mean time to first byte.
const SLOW_RESPONSE_FACTOR: f64 = 2.5;

/// A target is not slow before this time, however short the objective is: a round trip between regions takes
/// 60 ms.
const MIN_FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(100);

impl Core {
    /// Returns how long a target may take to begin its response before the request is retried on
    /// another target, or `None` if it must not run on another one.
    pub(crate) fn first_byte_timeout(&self, id: CallId) -> Option<Duration> {
        let call = self.calls.get(&id)?;
        let terms = call.request.terms.as_ref()?;
        if !call.repeatable || call.attempts_exhausted() {
            return None;
        }
        let usual = self
            .latencies
            .get(&call.key)
            .response_time_for(true)
            .mul_f64(SLOW_RESPONSE_FACTOR);
        let timeout = match terms.objective {
            Some(objective) => objective.mul_f64(FIRST_BYTE_OBJECTIVE_SHARE),
            None => terms.limit / TIMEOUT_DIVISOR,
        };
        Some(timeout.max(usual).max(MIN_FIRST_BYTE_TIMEOUT))
    }

    /// Cancels an attempt that has not begun to respond and retries it, if another target can run
    /// the request; otherwise checks again after the same timeout. Returns `false` if the request
    /// cannot be retried, or its response has begun or is overdue.
    pub(crate) fn retry_slow_target(&mut self, id: CallId) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        let sent = call.progress == Progress::Sent && self.now < call.deadline;
        let Some(run) = call.current_attempt().filter(|_| sent).cloned() else {
            return false;
        };
        let (deadline, service) = (call.deadline, call.key.service());
        let Some(timeout) = self.first_byte_timeout(id) else {
            return false;
        };
        if !(self.budget_allows(&service) && self.has_other_target(id, &run.place.target)) {
            let next_check = self.now.saturating_add(timeout);
            self.set_timer(id, next_check.min(deadline));
            return true;
        }
        self.actions.push(Action::Cancel {
            id,
            attempt: run.attempt,
            target: run.place.target.clone(),
        });
        self.on_failed(id, run.attempt, Failure::Stalled);
        true
    }

    /// Whether a target other than the given one has capacity for a request.
    fn has_other_target(&self, id: CallId, target: &TargetId) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        let options = self.options(&call.key);
        options.iter().any(|option| {
            let other = option.candidate.place.target != *target;
            other && option.has_capacity() && self.fits(call, option)
        })
    }
}
