//! The weight store: limits on concurrent loads, and estimates of load times.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use cornelhitch_settings::fleet::Loading;
use cornelhitch_types::id::{ModelId, ReplicaId, TargetId, Time};
use cornelhitch_types::target::Stage;
use cornelhitch_types::view::State;

use crate::convert::{ceil_to_u32, duration_from_secs, gibibytes, to_f64};
use crate::fleet_state::{FleetState, Replica};
use crate::pending::{PendingAction, PendingDecisions};

/// Minimum length of the window in which started loads are counted.
const MIN_START_WINDOW: Duration = Duration::from_secs(1);
/// Smoothing factor of the learned load speeds.
const SMOOTHING: f64 = 0.3;

/// The store counts as slow if a load takes more than this many times the declared time.
const SLOW_RATIO: f64 = 1.5;
/// Factor by which a slow load reduces the concurrency limit.
const LIMIT_DECREASE: f64 = 0.7;
/// Loads that one load at normal speed adds to the concurrency limit.
const LIMIT_INCREASE: f64 = 0.25;
/// Lower bound of the concurrency limit, as a share of the declared one.
const MIN_LIMIT_SHARE: f64 = 0.5;

/// A load from the store that was decided recently.
#[derive(Debug, Clone, PartialEq, Eq)]
struct StartedLoad {
    model: ModelId,
    target: TargetId,
    at: Time,
}

/// A finished load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinishedLoad {
    /// The loaded model.
    pub model: ModelId,
    /// Time from the decision until the replica was ready.
    pub took: Duration,
}

/// Load limits and learned load times of the weight store and of local copies.
#[derive(Debug)]
pub struct WeightStore {
    loading: Loading,
    /// Loads from the store within the window, oldest first.
    recent_starts: VecDeque<StartedLoad>,
    /// Replicas that were loading in the last call.
    loading_replicas: BTreeSet<ReplicaId>,
    /// Learned load speed by stage, in seconds per gibibyte.
    learned_speeds: BTreeMap<Stage, f64>,
    /// Loads from the store in progress or pending.
    in_flight: u32,
    /// The current concurrency limit as a share of the declared one.
    limit_share: f64,
    /// Loads that ended since the last call.
    finished: Vec<FinishedLoad>,
}

impl Default for WeightStore {
    fn default() -> Self {
        Self {
            loading: Loading::default(),
            recent_starts: VecDeque::new(),
            loading_replicas: BTreeSet::new(),
            learned_speeds: BTreeMap::new(),
            in_flight: 0,
            limit_share: 1.0,
            finished: Vec::new(),
        }
    }
}

impl WeightStore {
    /// Updates the limits and load times from the settings and replicas in the fleet state.
    pub fn observe(&mut self, fleet_state: &FleetState, pending: &PendingDecisions, now: Time) {
        if self.loading != fleet_state.settings.loading {
            self.loading = fleet_state.settings.loading.clone();
            self.learned_speeds.clear();
            self.limit_share = 1.0;
        }
        self.finished.clear();
        for replica in &fleet_state.replicas {
            self.learn(replica);
        }
        let loading = fleet_state
            .replicas
            .iter()
            .filter(|replica| replica.state == State::Loading);
        self.loading_replicas = loading.map(|replica| replica.replica).collect();
        self.count_starts(fleet_state, pending, now);
    }

    /// Learns from a replica whose load has ended since the last call.
    fn learn(&mut self, replica: &Replica) {
        if replica.state == State::Loading {
            return;
        }
        if !self.loading_replicas.contains(&replica.replica) {
            return;
        }
        let Some(ready) = replica.ready_at else {
            return;
        };
        let took = ready.saturating_sub(replica.decided_at);
        self.finished.push(FinishedLoad {
            model: replica.model.clone(),
            took,
        });
        let seconds_per_gib = took.as_secs_f64() / gibibytes(replica.bytes).max(f64::EPSILON);
        if replica.from == Stage::Remote {
            self.adapt_limit(seconds_per_gib);
        }
        let current = self.seconds_per_gib(replica.from);
        let learned = current + SMOOTHING * (seconds_per_gib - current);
        self.learned_speeds.insert(replica.from, learned);
    }

    /// Adapts the concurrency limit to the speed of a load: additive increase, multiplicative
    /// decrease (Chiu and Jain, 1989).
    fn adapt_limit(&mut self, seconds_per_gib: f64) {
        if seconds_per_gib > SLOW_RATIO * declared_speed(&self.loading, Stage::Remote) {
            self.limit_share = (self.limit_share * LIMIT_DECREASE).max(MIN_LIMIT_SHARE);
            return;
        }
        let step = LIMIT_INCREASE / f64::from(self.loading.concurrency.max(1));
        self.limit_share = (self.limit_share + step).min(1.0);
    }

    /// Counts the loads from the store that are in flight and those started within the window.
    fn count_starts(&mut self, fleet_state: &FleetState, pending: &PendingDecisions, now: Time) {
        let window = self.window();
        self.recent_starts
            .retain(|start| now.saturating_sub(start.at) < window);
        let mut in_flight = 0;
        let loading = fleet_state
            .replicas
            .iter()
            .filter(|replica| replica.state == State::Loading && replica.from == Stage::Remote);
        for replica in loading {
            in_flight += 1;
            if now.saturating_sub(replica.decided_at) < window && !self.is_counted(replica) {
                self.recent_starts.push_back(StartedLoad {
                    model: replica.model.clone(),
                    target: replica.target.clone(),
                    at: replica.decided_at,
                });
            }
        }
        let remote = pending.iter().filter(|action| match action {
            PendingAction::Load { from, .. } => *from == Stage::Remote,
            PendingAction::Warm(..) => true,
            PendingAction::Unload(..) | PendingAction::Adapter { .. } => false,
        });
        self.in_flight = in_flight + u32::try_from(remote.count()).unwrap_or(u32::MAX);
    }

    /// Returns whether the load of a replica is among the counted starts.
    fn is_counted(&self, replica: &Replica) -> bool {
        self.recent_starts
            .iter()
            .any(|start| start.model == replica.model && start.target == replica.target)
    }

    /// Returns the time in which [`WeightStore::starts_per_window`] loads may start.
    fn window(&self) -> Duration {
        let rate = self.loading.starts_per_second;
        if rate >= 1.0 {
            return MIN_START_WINDOW;
        }
        duration_from_secs(1.0 / rate.max(f64::EPSILON))
    }

    /// Returns the number of loads that may start in one window.
    fn starts_per_window(&self) -> usize {
        let rate = self.loading.starts_per_second.floor();
        usize::try_from(ceil_to_u32(rate)).unwrap_or(usize::MAX)
    }

    /// Returns the loads that ended since the last call.
    #[must_use]
    pub fn finished(&self) -> &[FinishedLoad] {
        &self.finished
    }

    /// Returns whether another load from the store may start now.
    #[must_use]
    pub fn can_start(&self) -> bool {
        let rate = self.loading.starts_per_second;
        rate > 0.0
            && self.recent_starts.len() < self.starts_per_window()
            && self.in_flight < self.limit()
    }

    /// Returns how many loads from the store may be in flight: the declared number, fewer while the
    /// store is slow.
    #[must_use]
    pub fn limit(&self) -> u32 {
        let declared = self.loading.concurrency;
        let share = (f64::from(declared) * self.limit_share).floor();
        ceil_to_u32(share).min(declared)
    }

    /// Records that a load from the store was decided.
    pub fn record_start(&mut self, model: &ModelId, target: &TargetId, now: Time) {
        self.in_flight += 1;
        self.recent_starts.push_back(StartedLoad {
            model: model.clone(),
            target: target.clone(),
            at: now,
        });
    }

    /// Returns the load speed from a stage, in seconds per gibibyte.
    #[must_use]
    pub fn seconds_per_gib(&self, stage: Stage) -> f64 {
        let learned = self.learned_speeds.get(&stage).copied();
        learned.unwrap_or_else(|| declared_speed(&self.loading, stage))
    }

    /// Returns the expected duration of a load from a stage, without queueing.
    #[must_use]
    pub fn load_time(&self, bytes: u64, stage: Stage) -> Duration {
        duration_from_secs(self.seconds_per_gib(stage) * gibibytes(bytes))
    }

    /// Returns how long another load from the store would be queued.
    #[must_use]
    pub fn queue_time(&self, bytes: u64) -> Duration {
        if self.can_start() {
            return Duration::ZERO;
        }
        let limit = self.limit().max(1);
        let ahead = (self.in_flight + 1).saturating_sub(limit);
        let rounds = to_f64(u64::from(ahead)) / to_f64(u64::from(limit));
        self.load_time(bytes, Stage::Remote).mul_f64(rounds)
    }
}

/// Returns the declared load speed from a stage, in seconds per gibibyte.
fn declared_speed(loading: &Loading, stage: Stage) -> f64 {
    let ms = match stage {
        Stage::Remote => loading.remote_ms_per_gib,
        Stage::Disk => loading.disk_ms_per_gib,
        Stage::Memory => loading.memory_ms_per_gib,
        Stage::Loading | Stage::Ready => 0,
    };
    Duration::from_millis(ms).as_secs_f64()
}
