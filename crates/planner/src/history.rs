//! What is learned of the calls of one model.

use std::time::Duration;

use cornelhitch_types::id::{RegionId, Time};

use crate::gap::Gaps;
use crate::need::Need;
use crate::number::{count, time};

/// How much one observation moves a learned average.
const LEARNING: f64 = 0.2;

/// The calls of one model.
#[derive(Debug, Clone)]
pub struct History {
    /// Idle gaps between calls.
    pub gaps: Gaps,
    /// When it was last called, waited for or at work.
    pub used: Option<Time>,
    /// Requests that arrive while one call keeps the model busy.
    pub burst: f64,
    /// Seconds that one request takes, by Little's law.
    pub service: Option<f64>,
    /// The region of its last call.
    pub region: Option<RegionId>,
    /// How long its loads take, where one has been seen.
    pub load: Option<Duration>,
    /// Whether it was loaded ahead since its last call.
    pub ahead: bool,
    /// Requests since the model last woke up.
    current: u64,
    /// When the demand was last seen.
    seen: Time,
    /// Requests in the system when the demand was last seen.
    inside: u64,
}

impl Default for History {
    fn default() -> Self {
        Self {
            gaps: Gaps::default(),
            used: None,
            burst: 0.0,
            service: None,
            region: None,
            load: None,
            ahead: false,
            current: 0,
            seen: Time::ZERO,
            inside: 0,
        }
    }
}

impl History {
    /// Takes over the demand of the model.
    pub fn observe(&mut self, need: &Need, now: Time) {
        let inside = u64::from(need.waiting) + u64::from(need.running);
        self.served(need, inside, now);
        self.seen = now;
        self.inside = inside;
        if need.arrivals == 0 && inside == 0 {
            return;
        }
        if let Some(used) = self.used {
            let gap = now.saturating_sub(used);
            if self.gaps.add(gap) {
                self.learn_burst();
            }
        }
        self.current = self.current.saturating_add(need.arrivals);
        self.used = Some(now);
        self.ahead = false;
        if need.waiting > 0 {
            self.region = Some(need.region.clone());
        }
    }

    /// Learns how long loads take.
    pub fn loaded(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        let known = self.load.map_or(took, |load| load.as_secs_f64());
        self.load = Some(time(known + LEARNING * (took - known)));
    }

    /// Learns how many requests came with the last call.
    fn learn_burst(&mut self) {
        let last = count(self.current);
        self.burst = if self.burst > 0.0 {
            self.burst + LEARNING * (last - self.burst)
        } else {
            last
        };
        self.current = 0;
    }

    /// Learns the time of one request from those that ended since the last look.
    fn served(&mut self, need: &Need, inside: u64, now: Time) {
        let ended = (self.inside + need.arrivals).saturating_sub(inside);
        if ended == 0 || need.running == 0 {
            return;
        }
        let elapsed = now.saturating_sub(self.seen).as_secs_f64();
        let seconds = elapsed * f64::from(need.running) / count(ended);
        let known = self.service.unwrap_or(seconds);
        self.service = Some(known + LEARNING * (seconds - known));
    }

    /// How long the model has been idle.
    #[must_use]
    pub fn idle(&self, now: Time) -> Duration {
        self.used.map_or(now, |used| now.saturating_sub(used))
    }

    /// Requests that a cold start is expected to hold up, at least 1.
    #[must_use]
    pub fn hurt(&self) -> f64 {
        self.burst.max(1.0)
    }
}
