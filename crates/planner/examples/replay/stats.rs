//! Statistics of a replay.

use std::sync::Arc;
use std::time::Duration;

use cornelhitch_planner::fleet_state::Replica;
use cornelhitch_settings::fleet::FleetSettings;
use cornelhitch_types::id::Time;
use cornelhitch_types::target::Stage;
use cornelhitch_types::view::State;
use hdrhistogram::Histogram;

/// Statistics of a replay from [`Stats::from`] on.
#[derive(Debug, Clone)]
pub struct Stats {
    /// Start of the measurement; earlier requests and loads are not counted.
    pub from: Time,
    /// Cold-start delay of every request in milliseconds; 0 if a replica was ready on arrival.
    pub waits: Histogram<u64>,
    /// Cold-start delay of the requests that found no ready replica, in milliseconds.
    pub cold: Histogram<u64>,
    /// Idle accelerator seconds.
    pub idle: f64,
    /// Accelerator seconds spent loading.
    pub loading: f64,
    /// Accelerator seconds spent serving requests.
    pub working: f64,
    /// Refused requests.
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
    /// Records the start of a request on a replica.
    pub fn record_start(&mut self, arrived: Time, cold: bool, now: Time) {
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

    /// Records a refused request; if it found no ready replica, its wait counts as a cold start.
    pub fn record_refusal(&mut self, arrived: Time, cold: bool, now: Time) {
        if arrived < self.from {
            return;
        }
        self.refusals += 1;
        self.record_start(arrived, cold, now);
    }

    /// Records the start of a load.
    pub fn record_load(&mut self, from: Stage, now: Time) {
        if now < self.from {
            return;
        }
        self.loads += 1;
        self.starts += u64::from(from == Stage::Remote);
    }

    /// Adds the accelerator time of all replicas for the period `time`.
    pub fn record_accelerator_time(
        &mut self,
        replicas: &[Replica],
        fleet: &Arc<FleetSettings>,
        time: Duration,
        now: Time,
    ) {
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

    /// Returns the share of the accelerator time that was spent loading.
    pub fn load_share(&self) -> f64 {
        let total = self.idle + self.loading + self.working;
        if total > 0.0 {
            self.loading / total
        } else {
            0.0
        }
    }
}

/// Creates a histogram of milliseconds up to an hour.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000, 3).expect("histogram bounds are valid")
}
