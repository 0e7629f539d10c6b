//! One process of a fake engine: all state that a crash loses, and the handling of orders.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cornelhitch_types::id::{Incarnation, Name, Term};
use cornelhitch_types::model::Reference;
use cornelhitch_types::order::{Action, Order, Reply, Role};
use cornelhitch_types::target::{Announcement, Heartbeat, Kind, Load, Stage};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::batch::Batch;
use crate::counters::{self, Counters};
use crate::fault::{Fault, FaultQueue};
use crate::memory::{CopyId, LoadOutcome, Memory};
use crate::prefix_cache::PrefixCache;
use crate::settings::Settings;
use crate::store::gibibytes;

/// Engine state that survives a crash.
#[derive(Debug)]
pub struct Shared {
    /// The engine's settings.
    pub settings: Settings,
    /// Faults that are still to be injected.
    pub faults: FaultQueue,
    /// Counts over all restarts.
    pub counters: Mutex<Counters>,
    /// Entry hosts to report to.
    pub entries: Mutex<Vec<SocketAddr>>,
}

impl Shared {
    /// Locks the counters.
    pub fn counters(&self) -> MutexGuard<'_, Counters> {
        self.counters.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A load that heartbeats report once it is old enough.
#[derive(Debug, Clone, Copy)]
struct LoadSample {
    /// When the load was measured.
    at: Instant,
    load: Load,
}

/// The mutable state of a process.
#[derive(Debug)]
pub struct State {
    /// Model copies and their stages.
    pub memory: Memory,
    /// Prompt prefixes in the KV cache.
    pub prefixes: PrefixCache,
    /// The highest fencing token seen.
    pub fence: Term,
    /// The role that the last role order set.
    pub role: Role,
    /// When the engine announced that it leaves.
    pub leaving: Option<Instant>,
    /// Running requests, each with the token that cancels it.
    pub requests: BTreeMap<Name, CancellationToken>,
    /// Sequence number of the last heartbeat.
    sequence: u64,
    /// Measured loads that are recent enough to be reported, oldest first.
    samples: VecDeque<LoadSample>,
}

/// One engine process; clones share its state.
#[derive(Debug, Clone)]
pub struct Process {
    /// State that survives a crash.
    pub shared: Arc<Shared>,
    /// Grows by one with each restart.
    pub incarnation: Incarnation,
    /// The address it listens on.
    pub address: SocketAddr,
    /// Ends the process and its tasks.
    pub token: CancellationToken,
    /// Limits running and queued requests.
    pub batch: Batch,
    /// Triggers a heartbeat before the interval is over.
    pub heartbeat_now: Arc<Notify>,
    /// Shared by all clones.
    state: Arc<Mutex<State>>,
}

impl Process {
    /// Creates a process with empty accelerators.
    pub fn new(
        shared: Arc<Shared>,
        incarnation: Incarnation,
        address: SocketAddr,
        token: CancellationToken,
    ) -> Self {
        let settings = &shared.settings;
        let stages = settings.stages.clone();
        let memory = Memory::new(settings.memory, settings.tracks_replicas, stages);
        let seed = settings.seed ^ incarnation;
        let state = State {
            memory,
            prefixes: PrefixCache::new(settings.max_prefixes, settings.lost_events_percent, seed),
            fence: 0,
            role: Role::Mixed,
            leaving: None,
            requests: BTreeMap::new(),
            sequence: 0,
            samples: VecDeque::new(),
        };
        let batch = Batch::new(
            settings.max_batch,
            settings.max_queued,
            settings.token_time,
            settings.tokens_per_second,
        );
        Self {
            shared,
            incarnation,
            address,
            token,
            batch,
            heartbeat_now: Arc::default(),
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Locks the state; a panic of another holder leaves it usable.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends the process and counts a crash unless it has ended already.
    pub fn crash(&self) {
        if !self.token.is_cancelled() {
            self.shared.counters().crashes += 1;
        }
        self.token.cancel();
    }

    /// Executes an order, or refuses it.
    pub fn execute(&self, order: &Order) -> Reply {
        if let Some(reply) = self.check_fence(order) {
            return reply;
        }
        match &order.action {
            Action::Load { model, bytes } => self.load(order, model, *bytes),
            Action::Unload { model } => self.unload(order, model),
            Action::Adapter { model } => self.load_adapter(order, model),
            Action::Warm { model } => self.warm(model),
            Action::DropAdapter { .. } => refused("this engine keeps its adapters"),
            Action::Role { role } => {
                self.state().role = *role;
                Reply::Accepted
            }
        }
    }

    /// Refuses an order with an old fencing token or for another incarnation, if fencing is on.
    fn check_fence(&self, order: &Order) -> Option<Reply> {
        let mut state = self.state();
        if !self.shared.settings.fencing {
            state.fence = state.fence.max(order.fence);
            return None;
        }
        let seen = state.fence;
        if order.fence < seen {
            self.shared.counters().fenced += 1;
            return Some(Reply::Fenced { seen });
        }
        if order.incarnation != self.incarnation {
            return Some(refused("the order is for another life"));
        }
        state.fence = order.fence;
        None
    }

    /// Reserves memory and starts to load a model.
    fn load(&self, order: &Order, model: &Reference, bytes: u64) -> Reply {
        let mut state = self.state();
        let outcome = state.memory.load(model.clone(), order.replica, bytes);
        let mut counters = self.shared.counters();
        match outcome {
            LoadOutcome::AlreadyPresent => Reply::Accepted,
            LoadOutcome::OutOfMemory => {
                counters.loads_over_capacity += 1;
                refused("it does not fit into accelerator memory")
            }
            LoadOutcome::Reserved(copy_id) => {
                counters.memory_peak_bytes =
                    counters.memory_peak_bytes.max(state.memory.used_bytes());
                let load = counters::Load {
                    model: model.model.clone(),
                    replica: order.replica,
                };
                *counters.loads.entry(load).or_default() += 1;
                let (process, model) = (self.clone(), model.clone());
                self.spawn(async move { process.load_weights(copy_id, &model, bytes).await });
                Reply::Accepted
            }
        }
    }

    /// Loads a copy stage by stage, and marks it ready. An injected crash occurs halfway.
    async fn load_weights(&self, copy_id: CopyId, model: &Reference, bytes: u64) {
        let crashes = self.shared.faults.take(&[Fault::CrashDuringLoad]).is_some();
        self.fetch(model, bytes, Stage::Memory).await;
        let time = self
            .shared
            .settings
            .memory_time_per_gib
            .mul_f64(gibibytes(bytes));
        sleep(time / 2).await;
        if crashes {
            self.crash();
            return;
        }
        sleep(time / 2).await;
        if self.state().memory.mark_ready(copy_id) {
            self.shared.counters().loads_completed += 1;
        }
        self.heartbeat_now.notify_one();
    }

    /// Fetches a model to host memory or disk, if it is not there yet.
    async fn fetch(&self, model: &Reference, bytes: u64, stage: Stage) {
        let settings = &self.shared.settings;
        let model = &model.model;
        if self.state().memory.stage(model) < Stage::Disk {
            settings.store.load(bytes).await;
            self.state().memory.raise_stage(model, Stage::Disk);
        } else if stage >= Stage::Memory && self.state().memory.stage(model) < Stage::Memory {
            sleep(settings.disk_time_per_gib.mul_f64(gibibytes(bytes))).await;
        }
        self.state().memory.raise_stage(model, stage);
    }

    /// Unloads a copy; requests that run on it are aborted.
    fn unload(&self, order: &Order, model: &Reference) -> Reply {
        let mut state = self.state();
        let Some(copy) = state.memory.unload(model, order.replica) else {
            return Reply::Accepted;
        };
        state.memory.raise_stage(&copy.model.model, Stage::Memory);
        self.shared.counters().unloads += 1;
        self.heartbeat_now.notify_one();
        Reply::Accepted
    }

    /// Starts to load an adapter.
    fn load_adapter(&self, order: &Order, model: &Reference) -> Reply {
        if model.adapter.is_none() {
            return refused("the order names no adapter");
        }
        let (process, model, replica) = (self.clone(), model.clone(), order.replica);
        self.spawn(async move {
            process.shared.settings.store.load_adapter().await;
            process.state().memory.add_adapter(&model, replica);
            process.heartbeat_now.notify_one();
        });
        Reply::Accepted
    }

    /// Starts to fetch a model to host memory.
    fn warm(&self, model: &Reference) -> Reply {
        let (process, model) = (self.clone(), model.clone());
        self.spawn(async move {
            process.fetch(&model, WARM_UP_BYTES, Stage::Memory).await;
            process.heartbeat_now.notify_one();
        });
        Reply::Accepted
    }

    /// Spawns a task that ends with this process.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let token = self.token.clone();
        tokio::spawn(async move {
            token.run_until_cancelled(task).await;
        });
    }

    /// Returns the announcement of this process.
    pub fn announcement(&self) -> Announcement {
        let settings = &self.shared.settings;
        Announcement {
            target: settings.name.clone(),
            incarnation: self.incarnation,
            kind: Kind::Worker,
            address: self.address,
            region: settings.region.clone(),
            zone: settings.zone.clone(),
            memory: settings.memory,
            accelerators: settings.accelerators,
            fencing: settings.fencing,
            services: Vec::new(),
            slots: None,
            incarnation_is_start_time: false,
        }
    }

    /// Returns the next heartbeat, whose load was sampled at least the configured delay earlier if
    /// there is such a sample.
    pub fn heartbeat(&self) -> Heartbeat {
        let load = Load {
            running: self.batch.running(),
            queued: self.batch.queued(),
            age_ms: 0,
        };
        let mut state = self.state();
        state.sequence += 1;
        let load = state.delayed_load(load, self.shared.settings.load_delay);
        Heartbeat {
            target: self.shared.settings.name.clone(),
            incarnation: self.incarnation,
            sequence: state.sequence,
            fence: state.fence,
            inventory: state.memory.inventory(),
            load,
            cache: state.prefixes.report(),
            leaving: state.leaving.is_some(),
        }
    }
}

/// Assumed model size of a warm-up, in bytes; the order does not contain the size.
const WARM_UP_BYTES: u64 = 1 << 30;

impl State {
    /// Records the current load and returns the newest sample that is at least as old as the
    /// delay, or the oldest one if none is.
    fn delayed_load(&mut self, load: Load, load_delay: Duration) -> Load {
        let at = Instant::now();
        self.samples.push_back(LoadSample { at, load });
        while self.samples.len() > 1 && at - self.samples[1].at >= load_delay {
            self.samples.pop_front();
        }
        let oldest = self.samples.front().copied();
        let oldest = oldest.unwrap_or(LoadSample { at, load });
        let age = (at - oldest.at).as_millis();
        Load {
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            ..oldest.load
        }
    }
}

/// Returns the refusal of an order.
fn refused(reason: &str) -> Reply {
    let reason = reason.into();
    Reply::Refused { reason }
}
