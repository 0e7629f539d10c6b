//! Counts this host's work in flight at each target: prompt tokens that are not processed yet, and
//! requests.

use std::collections::HashMap;

use cornelhitch_types::id::{TargetId, Time};

use crate::event::CallId;

/// A request in flight, with what was expected when it was sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Sent {
    /// The target that it was sent to.
    pub target: TargetId,
    /// Prompt tokens that the target has to process, without those in its cache.
    pub tokens: f64,
    /// Least and most prompt tokens that the target has to process, depending on its cache.
    pub bounds: (f64, f64),
    /// Prompt tokens of other requests that the target has to process first.
    pub ahead: f64,
    /// The target's estimated pace.
    pub pace: f64,
    /// Round-trip time to the target in milliseconds.
    pub distance_ms: f64,
}

/// This host's work in flight at one target.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OwnWork {
    /// Prompt tokens of requests whose response has not begun.
    pub tokens: f64,
    /// Number of requests whose response has not begun.
    pub pending: u32,
    /// Number of requests in flight, with those whose response has begun.
    pub requests: u32,
    /// Since when the target has processed the prompt of the pending request that it began first.
    head_since: Time,
}

impl OwnWork {
    /// Returns the prompt tokens that the target has still to process, if it processes one in
    /// `ms_per_token`: the first pending prompt is in progress.
    #[must_use]
    pub fn tokens_left(&self, ms_per_token: f64, now: Time) -> f64 {
        if self.pending == 0 {
            return 0.0;
        }
        let elapsed_ms = now.saturating_sub(self.head_since).as_secs_f64() * 1_000.0;
        let processed = elapsed_ms / ms_per_token.max(f64::MIN_POSITIVE);
        self.tokens - processed.min(self.tokens / f64::from(self.pending))
    }
}

/// This host's work in flight at all targets.
#[derive(Debug, Default)]
pub struct WorkAhead {
    /// Requests in flight, with whether their response has begun.
    sent: HashMap<CallId, (Sent, bool)>,
    targets: HashMap<TargetId, OwnWork>,
}

impl WorkAhead {
    /// Records a request that is sent. One that is known already ends first.
    ///
    /// ```
    /// use cornelhitch_entry::work_ahead::{Sent, WorkAhead};
    /// use std::time::Duration;
    ///
    /// let mut work = WorkAhead::default();
    /// let sent = Sent {
    ///     target: "worker-1".into(), tokens: 900.0, bounds: (900.0, 900.0), ahead: 0.0, pace: 1.0,
    ///     distance_ms: 0.0,
    /// };
    /// work.send(7, sent, Duration::ZERO);
    /// assert_eq!(work.at("worker-1").requests, 1);
    /// assert!(work.begin(7, Duration::ZERO).is_some());
    /// assert!(work.at("worker-1").tokens < 1.0);
    /// work.end(7, Duration::ZERO);
    /// assert_eq!(work.at("worker-1").requests, 0);
    /// ```
    pub fn send(&mut self, id: CallId, sent: Sent, now: Time) {
        self.end(id, now);
        let work = self.targets.entry(sent.target.clone()).or_default();
        if work.pending == 0 {
            work.head_since = now;
        }
        work.tokens += sent.tokens;
        work.pending += 1;
        work.requests += 1;
        self.sent.insert(id, (sent, false));
    }

    /// Records that a response has begun; returns what was expected, unless it had begun before or
    /// the request is not known.
    pub fn begin(&mut self, id: CallId, now: Time) -> Option<&Sent> {
        let (sent, begun) = self.sent.get_mut(&id)?;
        if std::mem::replace(begun, true) {
            return None;
        }
        if let Some(work) = self.targets.get_mut(&sent.target) {
            work.remove_pending(sent.tokens, now);
        }
        Some(sent)
    }

    /// Records that a request is no longer in flight.
    pub fn end(&mut self, id: CallId, now: Time) {
        let Some((sent, begun)) = self.sent.remove(&id) else {
            return;
        };
        let Some(work) = self.targets.get_mut(&sent.target) else {
            return;
        };
        if !begun {
            work.remove_pending(sent.tokens, now);
        }
        work.requests = work.requests.saturating_sub(1);
        if work.requests == 0 {
            self.targets.remove(&sent.target);
        }
    }

    /// Returns the prompt tokens that the target of a request in flight has to process for it.
    #[must_use]
    pub fn tokens_of(&self, id: CallId) -> Option<f64> {
        self.sent.get(&id).map(|(sent, _)| sent.tokens)
    }

    /// Returns the work in flight at a target.
    #[must_use]
    pub fn at(&self, target: &str) -> OwnWork {
        self.targets.get(target).copied().unwrap_or_default()
    }

    /// Iterates over the targets with work in flight.
    pub fn targets(&self) -> impl Iterator<Item = (&TargetId, &OwnWork)> {
        self.targets.iter()
    }
}

impl OwnWork {
    /// Removes a request whose response has begun, or that has ended before.
    fn remove_pending(&mut self, tokens: f64, now: Time) {
        self.pending = self.pending.saturating_sub(1);
        self.tokens = if self.pending == 0 {
            0.0
        } else {
            (self.tokens - tokens).max(0.0)
        };
        self.head_since = now;
    }
}
