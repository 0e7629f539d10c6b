//! What a replay measures.

use std::sync::Arc;
use std::time::Duration;

use cornelhitch_planner::picture::Replica;
use cornelhitch_settings::fleet::Fleet;
use cornelhitch_types::id::Time;
use cornelhitch_types::target::Stage;
use cornelhitch_types::view::State;
use hdrhistogram::Histogram;

/// What a replay measures, from [`Stats::from`] on.
#[derive(Debug, Clone)]
pub struct Stats {
    /// Nothing before it is counted.
    pub from: Time,
    /// Cold-start time of every request, in milliseconds; 0 where a replica was ready.
    pub waits: Histogram<u64>,
    /// The same of requests that found no ready replica.
    pub cold: Histogram<u64>,
    /// Idle accelerator seconds.
    pub idle: f64,
    /// Accelerator seconds of loading.
    pub loading: f64,
    /// Accelerator seconds of work.
    pub working: f64,
    /// Requests refused.
    pub refusals: u64,
    /// Loads from the weight store.
    pub starts: u64,
    /// Loads from any stage.
    pub loads: u64,
}

impl Default for Stats {
    fn default() -> Self {
        Self {
            from: Duration::ZERO,
            waits: histogram(),
            cold: histogram(),
            idle: 0.0,
            loading: 0.0,
            working: 0.0,
            refusals: 0,
            starts: 0,
            loads: 0,
        }
    }
}

impl Stats {
    /// A request starts on a replica.
    pub fn start(&mut self, arrived: Time, cold: bool, now: Time) {
        if arrived < self.from {
            return;
        }
        let wait = if cold {
            now.saturating_sub(arrived)
        } else {
            Duration::ZERO
        };
        let ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        self.waits.saturating_record(ms);
        if cold {
            self.cold.saturating_record(ms);
        }
    }

    /// A request is refused; its wait counts as its cold start, had there been one.
    pub fn refuse(&mut self, arrived: Time, cold: bool, now: Time) {
        if arrived < self.from {
            return;
        }
        self.refusals += 1;
        self.start(arrived, cold, now);
    }

    /// A load begins.
    pub fn load(&mut self, from: Stage, now: Time) {
        if now < self.from {
            return;
        }
        self.loads += 1;
        self.starts += u64::from(from == Stage::Remote);
    }

    /// Accelerators are held for some time.
    pub fn idle(&mut self, replicas: &[Replica], fleet: &Arc<Fleet>, time: Duration, now: Time) {
        if now < self.from {
            return;
        }
        for replica in replicas {
            let accelerators = fleet
                .model(&replica.model)
                .map_or(1, |model| model.accelerators);
            let held = time.as_secs_f64() * f64::from(accelerators);
            match replica.state {
                State::Loading => self.loading += held,
                State::Ready | State::Retiring if replica.running == 0 => self.idle += held,
                State::Ready | State::Retiring => self.working += held,
            }
        }
    }

    /// The share of held accelerator time that loads take.
    pub fn load_share(&self) -> f64 {
        let all = self.idle + self.loading + self.working;
        if all > 0.0 { self.loading / all } else { 0.0 }
    }
}

/// A histogram of milliseconds up to an hour.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000, 3).expect("bounds in order")
}
