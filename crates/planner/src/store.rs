//! The weight store: how many loads may start, and how long loads take.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use cornelhitch_settings::fleet::Loading;
use cornelhitch_types::id::{ModelId, ReplicaId, TargetId, Time};
use cornelhitch_types::target::Stage;
use cornelhitch_types::view::State;

use crate::number::{count, gibibytes, time, whole};
use crate::pending::{Pending, What};
use crate::picture::{Picture, Replica};

/// The least length of the window in which starts are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// How much one finished load moves what is learned.
const LEARNING: f64 = 0.3;

/// A load that takes this many times as long as declared shows a slow store.
const SLOW: f64 = 1.5;
/// What a slow load leaves of the limit in flight.
const DECREASE: f64 = 0.7;
/// What a load at the declared speed adds to the limit in flight.
const INCREASE: f64 = 0.25;
/// The least share of the declared limit in flight.
const FLOOR: f64 = 0.5;

/// One load from the store and when it was decided.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Start {
    model: ModelId,
    target: TargetId,
    at: Time,
}

/// A load that ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finish {
    /// The model.
    pub model: ModelId,
    /// How long it took from its decision on.
    pub took: Duration,
}

/// What is known of the weight store and of load times.
#[derive(Debug)]
pub struct Store {
    loading: Loading,
    /// Loads from the store that were decided lately, oldest first.
    starts: VecDeque<Start>,
    /// Replicas that were seen loading.
    seen: BTreeSet<ReplicaId>,
    /// Learned seconds a gibibyte.
    learned: BTreeMap<Stage, f64>,
    /// Loads from the store in progress or pending.
    in_flight: u32,
    /// What is left of the limit in flight, as a share.
    share: f64,
    /// Loads that ended since the last call.
    finished: Vec<Finish>,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            loading: Loading::default(),
            starts: VecDeque::new(),
            seen: BTreeSet::new(),
            learned: BTreeMap::new(),
            in_flight: 0,
            share: 1.0,
            finished: Vec::new(),
        }
    }
}

impl Store {
    /// Takes over the settings and what the picture shows of loads.
    pub fn observe(&mut self, picture: &Picture, pending: &Pending, now: Time) {
        if self.loading != picture.settings.loading {
            self.loading = picture.settings.loading.clone();
            self.learned.clear();
            self.share = 1.0;
        }
        self.finished.clear();
        for replica in &picture.replicas {
            self.learn(replica);
        }
        let loading = picture
            .replicas
            .iter()
            .filter(|replica| replica.state == State::Loading);
        self.seen = loading.map(|replica| replica.replica).collect();
        self.count(picture, pending, now);
    }

    /// Notes the load of one replica.
    fn learn(&mut self, replica: &Replica) {
        if replica.state == State::Loading {
            return;
        }
        if !self.seen.contains(&replica.replica) {
            return;
        }
        let Some(ready) = replica.ready else {
            return;
        };
        let took = ready.saturating_sub(replica.decided);
        self.finished.push(Finish {
            model: replica.model.clone(),
            took,
        });
        let pace = took.as_secs_f64() / gibibytes(replica.bytes).max(f64::EPSILON);
        if replica.from == Stage::Remote {
            self.follow(pace);
        }
        let known = self.pace(replica.from);
        let learned = known + LEARNING * (pace - known);
        self.learned.insert(replica.from, learned);
    }

    /// Follows the speed of the store: additive increase, multiplicative decrease
    /// (Chiu and Jain, 1989).
    fn follow(&mut self, pace: f64) {
        if pace > SLOW * declared(&self.loading, Stage::Remote) {
            self.share = (self.share * DECREASE).max(FLOOR);
            return;
        }
        let step = INCREASE / f64::from(self.loading.concurrency.max(1));
        self.share = (self.share + step).min(1.0);
    }

    /// Counts loads from the store.
    fn count(&mut self, picture: &Picture, pending: &Pending, now: Time) {
        let window = self.window();
        self.starts
            .retain(|start| now.saturating_sub(start.at) < window);
        let mut in_flight = 0;
        let loading = picture
            .replicas
            .iter()
            .filter(|replica| replica.state == State::Loading && replica.from == Stage::Remote);
        for replica in loading {
            in_flight += 1;
            if now.saturating_sub(replica.decided) < window && !self.started(replica) {
                self.starts.push_back(Start {
                    model: replica.model.clone(),
                    target: replica.target.clone(),
                    at: replica.decided,
                });
            }
        }
        let remote = pending.iter().filter(|what| match what {
            What::Load { from, .. } => *from == Stage::Remote,
            What::Warm(..) => true,
            What::Unload(..) | What::Adapter { .. } => false,
        });
        self.in_flight = in_flight + u32::try_from(remote.count()).unwrap_or(u32::MAX);
    }

    /// Whether a load is among the starts.
    fn started(&self, replica: &Replica) -> bool {
        self.starts
            .iter()
            .any(|start| start.model == replica.model && start.target == replica.target)
    }

    /// The time in which [`Store::burst`] loads may start.
    fn window(&self) -> Duration {
        let rate = self.loading.starts_per_second;
        if rate >= 1.0 {
            return WINDOW;
        }
        time(1.0 / rate.max(f64::EPSILON))
    }

    /// Loads that may start in one window.
    fn burst(&self) -> usize {
        let rate = self.loading.starts_per_second.floor();
        usize::try_from(whole(rate)).unwrap_or(usize::MAX)
    }

    /// Loads that ended since the last call.
    #[must_use]
    pub fn finished(&self) -> &[Finish] {
        &self.finished
    }

    /// Whether one more load from the store may start now.
    #[must_use]
    pub fn open(&self) -> bool {
        let rate = self.loading.starts_per_second;
        rate > 0.0 && self.starts.len() < self.burst() && self.in_flight < self.limit()
    }

    /// Loads from the store that may be in progress at once: the declared ones,
    /// fewer while the store is slow.
    #[must_use]
    pub fn limit(&self) -> u32 {
        let declared = self.loading.concurrency;
        let share = (f64::from(declared) * self.share).floor();
        whole(share).min(declared)
    }

    /// Notes that a load from the store was decided.
    pub fn start(&mut self, model: &ModelId, target: &TargetId, now: Time) {
        self.in_flight += 1;
        self.starts.push_back(Start {
            model: model.clone(),
            target: target.clone(),
            at: now,
        });
    }

    /// Seconds a gibibyte from a stage.
    #[must_use]
    pub fn pace(&self, stage: Stage) -> f64 {
        let learned = self.learned.get(&stage).copied();
        learned.unwrap_or_else(|| declared(&self.loading, stage))
    }

    /// How long a load from a stage takes once it has started.
    #[must_use]
    pub fn load(&self, bytes: u64, stage: Stage) -> Duration {
        time(self.pace(stage) * gibibytes(bytes))
    }

    /// How long one more load waits for the store.
    #[must_use]
    pub fn wait(&self, bytes: u64) -> Duration {
        if self.open() {
            return Duration::ZERO;
        }
        let limit = self.limit().max(1);
        let ahead = (self.in_flight + 1).saturating_sub(limit);
        let rounds = count(u64::from(ahead)) / count(u64::from(limit));
        self.load(bytes, Stage::Remote).mul_f64(rounds)
    }
}

/// What the settings declare, in seconds a gibibyte.
fn declared(loading: &Loading, stage: Stage) -> f64 {
    let ms = match stage {
        Stage::Remote => loading.remote_ms_per_gib,
        Stage::Disk => loading.disk_ms_per_gib,
        Stage::Memory => loading.memory_ms_per_gib,
        Stage::Loading | Stage::Ready => 0,
    };
    Duration::from_millis(ms).as_secs_f64()
}
