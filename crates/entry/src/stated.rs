//! Handles what targets state of themselves in answers.

use std::time::Duration;

use cornelhitch_types::id::{Incarnation, TargetId};
use cornelhitch_types::target::{RequestRate, Statement};

use crate::action::Action;
use crate::core::Core;

impl Core {
    /// Applies what an answer of a target states; reports to control what other hosts are to know.
    pub(crate) fn on_stated(
        &mut self,
        target: &TargetId,
        incarnation: Incarnation,
        statement: Statement,
    ) {
        self.apply_limit(target, incarnation, statement.limit);
        if statement.leaving {
            self.close_leaving(target, incarnation);
        }
        if let Some(pause) = statement.pause {
            self.pause_target(target, incarnation, pause);
        }
    }

    /// Sends nothing to a target for a time.
    fn pause_target(&mut self, target: &TargetId, incarnation: Incarnation, pause: Duration) {
        let paused = self
            .target_notices
            .pause(target, incarnation, pause, self.now);
        if paused.is_some() {
            let pause = self
                .target_notices
                .pause_left(target, incarnation, self.now);
            self.actions.push(Action::TargetPaused {
                target: target.clone(),
                incarnation,
                pause: pause.unwrap_or_default(),
            });
            self.prune_notices();
            self.dirty.extend(self.queue.keys());
        }
    }

    /// Whether a target takes requests from this host now, by its limit and its pause.
    pub(crate) fn takes_requests_now(&self, target: &str, incarnation: Incarnation) -> bool {
        let pause = self
            .target_notices
            .pause_left(target, incarnation, self.now);
        pause.is_none() && self.target_limits.allows(target, self.now)
    }

    /// Drops old notices of targets that the view has lost.
    fn prune_notices(&mut self) {
        let known = &self.fleet_view.targets;
        self.target_notices
            .prune(|target| known.contains_key(target), self.now);
    }

    /// Applies the limit that an answer names, and reports it to control when it is due.
    fn apply_limit(
        &mut self,
        target: &TargetId,
        incarnation: Incarnation,
        limit: Option<RequestRate>,
    ) {
        let running = self.own_in_flight(target);
        let report = self
            .target_limits
            .on_answer(target, incarnation, limit, running, self.now);
        if report {
            self.actions.push(Action::ReportLimit {
                target: target.clone(),
                incarnation,
                limit,
            });
        }
    }

    /// Closes a target that leaves on this host, and tells control.
    fn close_leaving(&mut self, target: &TargetId, incarnation: Incarnation) {
        if !self.target_notices.leave(target, incarnation, self.now) {
            return;
        }
        self.prune_notices();
        self.fleet_view.close(target, incarnation);
        self.dirty.extend(self.queue.keys());
        self.report_leaving(target, incarnation);
    }

    /// Tells control that a target leaves, if that is due.
    pub(crate) fn report_leaving(&mut self, target: &TargetId, incarnation: Incarnation) {
        if self
            .target_notices
            .take_report(target, incarnation, self.now)
        {
            self.actions.push(Action::ReportLeaving {
                target: target.clone(),
                incarnation,
            });
        }
    }
}
