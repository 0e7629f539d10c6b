//! Notices when the task of a core does not return from a step, and says so in the log.
//!
//! Such a task answers nothing any more, and neither do the tasks that wait for it. The watch runs on other threads
//! than the task, or it would be held up as well.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use crate::metrics::{Count, Metrics};

/// Interval at which the watch looks. It counts its own intervals and not the time, so that a process that was
/// stopped for a while is not reported.
const INTERVAL: Duration = Duration::from_secs(1);

/// Intervals within one step after which it is reported; afterwards at twice as many each time.
const REPORTED_AFTER: u32 = 3;

/// The step that a task is in.
#[derive(Debug, Default)]
struct Current {
    /// Number of steps begun so far.
    number: u64,
    /// What the step handles; `None` between two steps.
    event: Option<&'static str>,
}

/// Tells the watch of the steps of one task; clones share them.
#[derive(Debug, Clone, Default)]
pub(crate) struct Steps(Arc<Mutex<Current>>);

impl Steps {
    /// Runs a step, which handles an event of this name.
    pub(crate) fn run<T>(&self, event: &'static str, step: impl FnOnce() -> T) -> T {
        self.begin(event);
        let outcome = step();
        self.end();
        outcome
    }

    /// Records that a step begins.
    fn begin(&self, event: &'static str) {
        let mut current = self.lock();
        current.number += 1;
        current.event = Some(event);
    }

    /// Records that the step has ended.
    fn end(&self) {
        self.lock().event = None;
    }

    /// Locks the state; a panic of another holder leaves it usable.
    fn lock(&self) -> MutexGuard<'_, Current> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What the watch knows of the step that it saw last.
#[derive(Debug, Default, PartialEq, Eq)]
struct Seen {
    /// The number of the step.
    number: u64,
    /// Intervals for which it has been in progress.
    intervals: u32,
    /// Intervals after which it is reported next.
    report_after: u32,
}

/// What the watch reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Finding {
    /// A step has been in progress for some intervals.
    Stalled {
        /// What the step handles.
        event: &'static str,
        /// The intervals.
        intervals: u32,
    },
    /// A step that was reported has ended.
    Returned {
        /// The intervals that it took.
        intervals: u32,
    },
}

impl Seen {
    /// Looks at the current step after another interval.
    fn look(&mut self, current: &Current) -> Option<Finding> {
        if let Some(event) = current.event.filter(|_| current.number == self.number) {
            self.intervals += 1;
            if self.intervals < self.report_after {
                return None;
            }
            self.report_after = self.intervals.saturating_mul(2);
            let intervals = self.intervals;
            return Some(Finding::Stalled { event, intervals });
        }
        let intervals = self.intervals;
        *self = Self {
            number: current.number,
            intervals: 0,
            report_after: REPORTED_AFTER,
        };
        (intervals >= REPORTED_AFTER).then_some(Finding::Returned { intervals })
    }
}

/// Watches the steps of the task named `core` until `stop` is cancelled.
pub(crate) async fn watch(
    core: &'static str,
    steps: Steps,
    metrics: Metrics,
    stop: CancellationToken,
) {
    let mut seen = Seen::default();
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(INTERVAL) => {}
        }
        let finding = seen.look(&steps.lock());
        match finding {
            Some(Finding::Stalled { event, intervals }) => {
                if intervals == REPORTED_AFTER {
                    metrics.increment(Count::CoresStalled);
                }
                tracing::error!(
                    core,
                    event,
                    seconds = intervals,
                    "a core does not return from a step: this process answers nothing that needs it"
                );
            }
            Some(Finding::Returned { intervals }) => {
                tracing::warn!(
                    core,
                    seconds = intervals,
                    "a core has returned from its step"
                );
            }
            None => {}
        }
    }
}

#[cfg(test)]
mod tests;
