//! What a host that shuts down still accepts, and how it ends the rest in time.

use std::time::Duration;

use cornelhitch_settings::process::Serving;
use cornelhitch_types::id::Time;
use cornelhitch_types::refusal::{Reason, Run};

use crate::action::Action;
use crate::attempt::MAX_OVERRUN;
use crate::core::Core;
use crate::drain::{Drain, Phases};
use crate::durations::Kind;
use crate::event::CallId;
use crate::finish::Rejection;
use crate::request::{Call, Progress, Stage};

/// `Retry-After` while all hosts shut down: about the time that one needs to start again.
const ALL_LEAVING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Factor on the age of a running request, of which no more is known than that it has not ended.
const RUNNING_FACTOR: u32 = 2;

/// The detail of all refusals by a host that shuts down.
const DETAIL: &str = "this host is shutting down";

impl From<&Serving> for Phases {
    fn from(serving: &Serving) -> Self {
        Self {
            cached: Duration::from_millis(serving.max_age_ms),
            leave: Duration::from_millis(serving.leave_ms),
            grace: Duration::from_secs_f64(serving.grace_ms / 1_000.0),
        }
    }
}

impl Core {
    /// Returns the refusal of a request that has not run. Its caller may retry at once on the hosts
    /// that it names, or later if no other host accepts requests.
    pub(crate) fn leaving_rejection(&self) -> Rejection {
        let rejection = Rejection::not_run(Reason::Draining, DETAIL);
        let retry = if self.has_open_host() {
            Duration::ZERO
        } else {
            ALL_LEAVING_RETRY_AFTER
        };
        self.with_other_hosts(Rejection {
            retry: Some(retry),
            ..rejection
        })
    }

    /// Whether another host accepts requests.
    fn has_open_host(&self) -> bool {
        let own = self.config.host;
        let mut hosts = self.fleet_view.hosts.values();
        hosts.any(|host| host.host != own && !host.draining)
    }

    /// Whether this host shuts down and a request might still run when it has to end.
    ///
    /// A request certainly ends in time if its own time is over before. Callers that cannot know
    /// yet that this host leaves are refused others only where one in ten of their kind takes longer:
    /// the host that they ask next may be leaving too. Later, streams and requests that may not be
    /// repeated have to end for certain, since their callers could not make up for an answer that is
    /// cut off; other requests are accepted if those of their kind have always ended much sooner, and
    /// those in progress are not old. Streams without any limit are accepted in the same way.
    pub(crate) fn may_outlast_shutdown(&self, call: &Call) -> bool {
        let Some(left) = self.shutdown.time_left(self.now) else {
            return false;
        };
        let end = ends_by(call);
        if end.is_some_and(|end| end <= self.now + left) {
            return false;
        }
        let kind = Kind::from(&call.request);
        if self.shutdown.may_be_cached(self.now) {
            let common = self.durations.common(&kind);
            return common.is_some_and(|common| common > left);
        }
        let must_be_whole = call.request.streaming || !call.repeatable;
        if must_be_whole && end.is_some() {
            return true;
        }
        match self.durations.upper_bound(&kind) {
            Some(usual) => usual.max(self.longest_running(&kind) * RUNNING_FACTOR) > left,
            None => end.is_some(),
        }
    }

    /// Returns for how long the oldest request of a kind has been in progress.
    fn longest_running(&self, kind: &Kind) -> Duration {
        let running = self.calls.values().filter(|call| {
            matches!(call.stage, Stage::Running(_)) && Kind::from(&call.request) == *kind
        });
        let ages = running.map(|call| call.age(self.now));
        ages.max().unwrap_or_default()
    }

    /// Advances the shutdown: closes the listener, ends what is left at the end of the grace
    /// period, and reports `Drained` once no requests are left.
    pub(crate) fn advance_shutdown(&mut self) {
        if let Drain::Leaving { until } = self.shutdown.state
            && until <= self.now
        {
            self.shutdown.state = Drain::Closed;
            self.actions.push(Action::CloseListener);
            self.refuse_waiting();
        }
        let over = self.shutdown.is_over(self.now);
        if over {
            self.end_all();
        }
        if self.shutdown.state == Drain::Closed && (over || self.calls.is_empty()) {
            self.shutdown.state = Drain::Done;
            self.actions.push(Action::Drained);
        }
    }

    /// Refuses routed requests that wait here and were never sent, so that their callers can retry
    /// on another host at once.
    fn refuse_waiting(&mut self) {
        let waiting = self.waiting_calls(|_, call| {
            call.request.terms.is_some() && call.progress == Progress::Unsent
        });
        for id in waiting {
            self.refuse(id, self.leaving_rejection());
        }
    }

    /// Refuses waiting requests that would no longer end before this host does. Those that may have
    /// run keep the time that is left: their callers may not be able to repeat them elsewhere.
    pub(crate) fn refuse_outlasting(&mut self) {
        if !self.shutdown.is_leaving() {
            return;
        }
        let outlasting = self.waiting_calls(|core, call| {
            call.progress == Progress::Unsent && core.may_outlast_shutdown(call)
        });
        for id in outlasting {
            self.end_call(id);
        }
    }

    /// Ends every request that is left.
    fn end_all(&mut self) {
        let mut ids: Vec<CallId> = self.calls.keys().copied().collect();
        ids.sort_unstable();
        for id in ids {
            self.end_call(id);
        }
    }

    /// Ends one request because of the shutdown.
    fn end_call(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let rejection = match call.progress {
            Progress::Unsent => self.leaving_rejection(),
            Progress::Sent | Progress::Begun => Rejection {
                run: Run::Unknown,
                ..Rejection::not_run(Reason::Draining, DETAIL)
            },
        };
        self.refuse(id, rejection);
    }

    /// Returns the waiting requests that satisfy a condition, in the order of their arrival.
    fn waiting_calls(&self, condition: impl Fn(&Self, &Call) -> bool) -> Vec<CallId> {
        let waiting = self.calls.values();
        let waiting = waiting.filter(|call| call.is_waiting() && condition(self, call));
        let mut ids: Vec<CallId> = waiting.map(|call| call.request.id).collect();
        ids.sort_unstable();
        ids
    }
}

/// Returns when a request ends at the latest, or `None` if its response may go on for as long as
/// the target sends.
fn ends_by(call: &Call) -> Option<Time> {
    match call.request.terms {
        Some(_) => Some(call.deadline),
        None if call.request.streaming => None,
        None => Some(call.deadline + MAX_OVERRUN),
    }
}
