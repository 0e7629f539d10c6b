//! Statistics learned from the requests for one model.

use std::time::Duration;

use cornelhitch_types::id::{RegionId, Time};

use crate::convert::{duration_from_secs, to_f64};
use crate::demand::ModelDemand;
use crate::gap::GapHistogram;

/// Smoothing factor of the learned averages.
const SMOOTHING: f64 = 0.2;

/// Statistics of the requests for one model.
#[derive(Debug, Clone)]
pub struct RequestHistory {
    /// Idle gaps between bursts of requests.
    pub gaps: GapHistogram,
    /// When a request last arrived, waited or was in progress.
    pub used: Option<Time>,
    /// Average number of requests in one burst; 0 before the first burst has ended.
    pub burst: f64,
    /// Average duration of a request in seconds, by Little's law; `None` before one has ended.
    pub service_s: Option<f64>,
    /// The region that most of the last waiting requests came from.
    pub region: Option<RegionId>,
    /// Average load time; `None` before a load has been seen.
    pub load_time: Option<Duration>,
    /// Whether the model was preloaded since its last request.
    pub preloaded: bool,
    /// Requests in the current burst.
    current_burst: u64,
    /// When the demand was last observed.
    observed_at: Time,
    /// Requests waiting or in progress when the demand was last observed.
    in_system: u64,
}

impl Default for RequestHistory {
    fn default() -> Self {
        Self {
            gaps: GapHistogram::default(),
            used: None,
            burst: 0.0,
            service_s: None,
            region: None,
            load_time: None,
            preloaded: false,
            current_burst: 0,
            observed_at: Time::ZERO,
            in_system: 0,
        }
    }
}

impl RequestHistory {
    /// Updates the statistics from the current demand for the model.
    pub fn observe(&mut self, demand: &ModelDemand, now: Time) {
        let in_system = u64::from(demand.waiting) + u64::from(demand.running);
        self.learn_service_time(demand, in_system, now);
        self.observed_at = now;
        self.in_system = in_system;
        if demand.arrivals == 0 && in_system == 0 {
            return;
        }
        if let Some(used) = self.used {
            let gap = now.saturating_sub(used);
            if self.gaps.add(gap) {
                self.learn_burst();
            }
        }
        self.current_burst = self.current_burst.saturating_add(demand.arrivals);
        self.used = Some(now);
        self.preloaded = false;
        if demand.waiting > 0 {
            self.region = Some(demand.region.clone());
        }
    }

    /// Updates the average load time with one finished load.
    pub fn record_load(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        let average = self.load_time.map_or(took, |load| load.as_secs_f64());
        self.load_time = Some(duration_from_secs(average + SMOOTHING * (took - average)));
    }

    /// Updates the average burst size with the burst that ended, and starts a new one.
    fn learn_burst(&mut self) {
        let ended_burst = to_f64(self.current_burst);
        self.burst = if self.burst > 0.0 {
            self.burst + SMOOTHING * (ended_burst - self.burst)
        } else {
            ended_burst
        };
        self.current_burst = 0;
    }

    /// Updates the average request duration from the requests that ended since the last call.
    fn learn_service_time(&mut self, demand: &ModelDemand, in_system: u64, now: Time) {
        let ended = (self.in_system + demand.arrivals).saturating_sub(in_system);
        if ended == 0 || demand.running == 0 {
            return;
        }
        let elapsed = now.saturating_sub(self.observed_at).as_secs_f64();
        let seconds = elapsed * f64::from(demand.running) / to_f64(ended);
        let average = self.service_s.unwrap_or(seconds);
        self.service_s = Some(average + SMOOTHING * (seconds - average));
    }

    /// Returns the time since the last request, or since time zero if there was none.
    #[must_use]
    pub fn idle(&self, now: Time) -> Duration {
        self.used.map_or(now, |used| now.saturating_sub(used))
    }

    /// Returns the number of requests that a cold start is expected to delay, at least 1.
    #[must_use]
    pub fn delayed_requests(&self) -> f64 {
        self.burst.max(1.0)
    }
}
