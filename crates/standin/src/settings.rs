//! The settings of an engine, and their builder.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cornelhitch_types::id::{Incarnation, ModelId, Name, RegionId, TargetId, ZoneId};
use cornelhitch_types::target::Stage;
use tokio_util::sync::CancellationToken;

use crate::engine::{Engine, Error};
use crate::store::Store;

/// How an engine is made; [`Builder`] has the same names.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Its name.
    pub name: TargetId,
    /// Its region.
    pub region: RegionId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The number of its first life.
    pub incarnation: Incarnation,
    /// Accelerator memory in bytes.
    pub memory: u64,
    /// Accelerators.
    pub accelerators: u32,
    /// Whether it refuses orders with an old fencing number or for another life.
    pub fencing: bool,
    /// Whether it keeps the replica ids of its orders, and so loads each once.
    pub keeps_replicas: bool,
    /// How near models are at the start; those that are not listed are remote.
    pub stages: BTreeMap<ModelId, Stage>,
    /// Time of a gibibyte from disk.
    pub disk_gib: Duration,
    /// Time of a gibibyte from host memory.
    pub memory_gib: Duration,
    /// The weight store.
    pub store: Store,
    /// Requests in the batch at most.
    pub batch: u32,
    /// Requests that wait for the batch at most.
    pub queue: usize,
    /// Time of a token while the batch is small.
    pub token: Duration,
    /// Tokens of all requests together, a second.
    pub rate: f64,
    /// Time to read a prompt whose prefix is not held.
    pub prefill: Duration,
    /// Tokens of an answer where the request sets none.
    pub tokens: u64,
    /// Prompt prefixes held at most.
    pub prefixes: usize,
    /// Of a hundred cache events, how many are lost.
    pub lost_events: u8,
    /// How old the load is that it reports.
    pub lag: Duration,
    /// How often it sends heartbeats.
    pub heartbeat: Duration,
    /// Entry hosts that it tells.
    pub entries: Vec<SocketAddr>,
    /// Text in a body that crashes it.
    pub poison: Option<Name>,
    /// How long it is away after a crash.
    pub restart: Duration,
    /// The seed of its random choices.
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
            keeps_replicas: true,
            stages: BTreeMap::new(),
            disk_gib: Duration::from_millis(40),
            memory_gib: Duration::from_millis(8),
            store: Store::builder().gib(Duration::from_millis(100)).build(),
            batch: 16,
            queue: 64,
            token: Duration::from_millis(2),
            rate: 5_000.0,
            prefill: Duration::from_millis(5),
            tokens: 16,
            prefixes: 128,
            lost_events: 10,
            lag: Duration::from_millis(500),
            heartbeat: Duration::from_secs(1),
            entries: Vec::new(),
            poison: None,
            restart: Duration::from_millis(500),
            seed: 1,
        }
    }
}

/// Builds an [`Engine`].
#[derive(Debug, Clone, Default)]
#[must_use]
pub struct Builder {
    /// The settings so far.
    settings: Settings,
}

/// A function of the builder for each setting that is named.
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
    name: TargetId, "Its name.";
    region: RegionId, "Its region.";
    zone: ZoneId, "Its availability zone.";
    incarnation: Incarnation, "The number of its first life.";
    memory: u64, "Accelerator memory in bytes.";
    accelerators: u32, "Accelerators.";
    fencing: bool, "Whether it refuses orders with an old fencing number or for another life.";
    keeps_replicas: bool, "Whether it keeps the replica ids of its orders, and so loads each once.";
    disk_gib: Duration, "Time of a gibibyte from disk.";
    memory_gib: Duration, "Time of a gibibyte from host memory.";
    store: Store, "The weight store.";
    batch: u32, "Requests in the batch at most.";
    queue: usize, "Requests that wait for the batch at most.";
    token: Duration, "Time of a token while the batch is small.";
    rate: f64, "Tokens of all requests together, a second.";
    prefill: Duration, "Time to read a prompt whose prefix is not held.";
    tokens: u64, "Tokens of an answer where the request sets none.";
    prefixes: usize, "Prompt prefixes held at most.";
    lost_events: u8, "Of a hundred cache events, how many are lost.";
    lag: Duration, "How old the load is that it reports.";
    heartbeat: Duration, "How often it sends heartbeats.";
    entries: Vec<SocketAddr>, "Entry hosts that it tells.";
    poison: Option<Name>, "Text in a body that crashes it.";
    restart: Duration, "How long it is away after a crash.";
    seed: u64, "The seed of its random choices.";
}

impl Builder {
    /// How near a model is at the start.
    pub fn stage(mut self, model: impl Into<ModelId>, stage: Stage) -> Self {
        self.settings.stages.insert(model.into(), stage);
        self
    }

    /// Starts the engine on a loopback port of its own; it ends with the token.
    ///
    /// # Errors
    /// No port can be had.
    pub async fn start(self, token: CancellationToken) -> Result<Engine, Error> {
        Engine::start(self.settings, token).await
    }
}
