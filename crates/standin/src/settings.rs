//! Settings of a fake engine, and their builder.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cornelhitch_types::id::{Incarnation, ModelId, Name, RegionId, TargetId, ZoneId};
use cornelhitch_types::target::Stage;
use tokio_util::sync::CancellationToken;

use crate::engine::{Engine, Error};
use crate::store::Store;

/// Settings of an engine; [`Builder`] has a method of the same name for each.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Target id of the engine.
    pub name: TargetId,
    /// Region that the engine announces.
    pub region: RegionId,
    /// Availability zone that the engine announces.
    pub zone: ZoneId,
    /// Incarnation of the first process; each restart adds one.
    pub incarnation: Incarnation,
    /// Accelerator memory in bytes.
    pub memory: u64,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Whether orders with an old fencing token or for another incarnation are refused.
    pub fencing: bool,
    /// Whether the replica ids of orders are tracked, so that each replica is loaded once.
    pub tracks_replicas: bool,
    /// Nearest stage of each model at the start; unlisted models are remote.
    pub stages: BTreeMap<ModelId, Stage>,
    /// Load time per gibibyte from disk to host memory.
    pub disk_time_per_gib: Duration,
    /// Load time per gibibyte from host memory to accelerator memory.
    pub memory_time_per_gib: Duration,
    /// Weight store that remote models are loaded from.
    pub store: Store,
    /// Maximum number of requests in the batch.
    pub max_batch: u32,
    /// Maximum number of requests that wait for the batch.
    pub max_queued: usize,
    /// Time between two tokens of a request while the batch is small.
    pub token_time: Duration,
    /// Throughput limit over all requests, in tokens per second.
    pub tokens_per_second: f64,
    /// Time to process a prompt whose prefix is not cached.
    pub prefill: Duration,
    /// Number of tokens to generate if the request sets none.
    pub default_tokens: u64,
    /// Maximum number of cached prompt prefixes.
    pub max_prefixes: usize,
    /// Percentage of cache events that are lost.
    pub lost_events_percent: u8,
    /// Age of the load that heartbeats report.
    pub load_delay: Duration,
    /// Time between two heartbeats.
    pub heartbeat_interval: Duration,
    /// Entry hosts that the engine reports to.
    pub entries: Vec<SocketAddr>,
    /// Text in a request body that crashes the engine.
    pub poison: Option<Name>,
    /// Time between a crash and the start of the next process.
    pub restart_delay: Duration,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: "worker".into(),
            region: "perth-a".into(),
            zone: "perth-a-1".into(),
            incarnation: 1,
            memory: 80 << 30,
            accelerators: 1,
            fencing: true,
            tracks_replicas: true,
            stages: BTreeMap::new(),
            disk_time_per_gib: Duration::from_millis(40),
            memory_time_per_gib: Duration::from_millis(8),
            store: Store::builder()
                .time_per_gib(Duration::from_millis(100))
                .build(),
            max_batch: 16,
            max_queued: 64,
            token_time: Duration::from_millis(2),
            tokens_per_second: 5_000.0,
            prefill: Duration::from_millis(5),
            default_tokens: 16,
            max_prefixes: 128,
            lost_events_percent: 10,
            load_delay: Duration::from_millis(500),
            heartbeat_interval: Duration::from_secs(1),
            entries: Vec::new(),
            poison: None,
            restart_delay: Duration::from_millis(500),
            seed: 1,
        }
    }
}

/// Builds an [`Engine`].
#[derive(Debug, Clone, Default)]
#[must_use]
pub struct Builder {
    /// Settings made so far.
    settings: Settings,
}

/// Defines a builder method for each setting in the list.
macro_rules! setters {
    ($($name:ident: $kind:ty, $doc:literal;)*) => {
        impl Builder {
            $(
                #[doc = $doc]
                pub fn $name(mut self, value: impl Into<$kind>) -> Self {
                    self.settings.$name = value.into();
                    self
                }
            )*
        }
    };
}

setters! {
    name: TargetId, "Sets the target id of the engine.";
    region: RegionId, "Sets the region that the engine announces.";
    zone: ZoneId, "Sets the availability zone that the engine announces.";
    incarnation: Incarnation, "Sets the incarnation of the first process; each restart adds one.";
    memory: u64, "Sets the accelerator memory in bytes.";
    accelerators: u32, "Sets the number of accelerators.";
    fencing: bool, "Sets whether orders with an old fencing token or for another incarnation are refused.";
    tracks_replicas: bool, "Sets whether the replica ids of orders are tracked, so that each replica is loaded once.";
    disk_time_per_gib: Duration, "Sets the load time per gibibyte from disk to host memory.";
    memory_time_per_gib: Duration, "Sets the load time per gibibyte from host memory to accelerator memory.";
    store: Store, "Sets the weight store that remote models are loaded from.";
    max_batch: u32, "Sets the maximum number of requests in the batch.";
    max_queued: usize, "Sets the maximum number of requests that wait for the batch.";
    token_time: Duration, "Sets the time between two tokens of a request while the batch is small.";
    tokens_per_second: f64, "Sets the throughput limit over all requests, in tokens per second.";
    prefill: Duration, "Sets the time to process a prompt whose prefix is not cached.";
    default_tokens: u64, "Sets the number of tokens to generate if the request sets none.";
    max_prefixes: usize, "Sets the maximum number of cached prompt prefixes.";
    lost_events_percent: u8, "Sets the percentage of cache events that are lost.";
    load_delay: Duration, "Sets the age of the load that heartbeats report.";
    heartbeat_interval: Duration, "Sets the time between two heartbeats.";
    entries: Vec<SocketAddr>, "Sets the entry hosts that the engine reports to.";
    poison: Option<Name>, "Sets the text in a request body that crashes the engine.";
    restart_delay: Duration, "Sets the time between a crash and the start of the next process.";
    seed: u64, "Sets the seed of all random choices.";
}

impl Builder {
    /// Sets the nearest stage of a model at the start.
    pub fn stage(mut self, model: impl Into<ModelId>, stage: Stage) -> Self {
        self.settings.stages.insert(model.into(), stage);
        self
    }

    /// Starts the engine on its own loopback port; cancelling the token stops it.
    ///
    /// # Errors
    /// No loopback port can be bound.
    pub async fn start(self, token: CancellationToken) -> Result<Engine, Error> {
        Engine::start(self.settings, token).await
    }
}
