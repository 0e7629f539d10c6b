//! The steps of a graceful shutdown, as the entry task carries them out and logs them.

use std::time::Duration;

use cornelhitch_entry::event::Event;
use cornelhitch_types::refusal::{Reason, Refusal};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::{Entry, Input};
use crate::exchange::Part;
use crate::problem::not_run;

/// Refuses the requests that reach the entry task after it has ended: their bodies were still being
/// read. They were not passed to a target.
pub(super) async fn refuse_late(mut inputs: mpsc::UnboundedReceiver<Input>) {
    while let Some(input) = inputs.recv().await {
        if let Input::NewRequest(request) = input {
            let refusal = Refusal {
                retry_after: Some(Duration::ZERO),
                ..not_run(Reason::Draining, "this host is shutting down")
            };
            let _ = request.reply.try_send(Part::Refusal(refusal));
        }
    }
}

impl Entry {
    /// Starts the graceful shutdown; a second call has no effect.
    pub(super) fn start_drain(&mut self) {
        if self.leaving_since.is_none() {
            self.leaving_since = Some(Instant::now());
            self.setup.leaving.cancel();
            self.urgent = true;
            let in_progress = self.exchanges.len();
            tracing::info!(
                in_progress,
                "shutdown started; callers are directed to other hosts"
            );
        }
        self.handle_event(Event::Drain);
    }

    /// Closes the callers' listener.
    pub(super) fn close_listener(&self) {
        tracing::info!(
            leaving_ms = self.leaving_ms(),
            in_progress = self.exchanges.len(),
            "shutdown: callers' listener closed"
        );
        self.setup.close.cancel();
    }

    /// Ends the entry task.
    pub(super) fn end_drain(&self) {
        tracing::info!(
            leaving_ms = self.leaving_ms(),
            in_progress = self.exchanges.len(),
            "shutdown: no requests are left"
        );
        self.setup.drained.cancel();
    }

    /// Returns the milliseconds since the graceful shutdown began, if it has.
    pub(super) fn leaving_ms(&self) -> Option<u128> {
        self.leaving_since.map(|since| since.elapsed().as_millis())
    }
}
