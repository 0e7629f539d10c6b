//! Messages in which targets announce themselves and report their state.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString};

use crate::id::{Incarnation, ModelId, Name, RegionId, ReplicaId, TargetId, Term, ZoneId};
use crate::model::Reference;

/// Whether a target runs models or a plain service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// A worker: a target that runs models.
    Worker,
    /// A target that runs a plain service.
    Service,
}

/// The message with which a target registers when it starts, and again on request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The name of the target.
    pub target: TargetId,
    /// Incarnation of the target, larger after each restart.
    pub incarnation: Incarnation,
    /// Whether it is a worker or a plain service.
    pub kind: Kind,
    /// The address on which it accepts orders and requests.
    pub address: SocketAddr,
    /// The region of the target.
    pub region: RegionId,
    /// The availability zone of the target.
    pub zone: ZoneId,
    /// Accelerator memory available to models, in bytes.
    pub memory: u64,
    /// Number of accelerators over which the memory is spread.
    pub accelerators: u32,
    /// Whether it refuses orders with an old fencing number.
    pub fencing: bool,
    /// The services that it runs; for a worker, the service whose models it holds, if any.
    #[serde(default)]
    pub services: Vec<Name>,
    /// Concurrent requests that it can run; `None` if it did not announce a number.
    #[serde(default)]
    pub slots: Option<u32>,
    /// Whether `incarnation` is the Unix time of the start, so that incarnations at one address can
    /// be distinguished regardless of the targets' names.
    #[serde(default, rename = "dated")]
    pub incarnation_is_start_time: bool,
}

impl Announcement {
    /// Returns whether this is a worker that accepts numbered orders for the models of a service.
    ///
    /// Such a worker executes one order at a time and counts them, so that an order needs no
    /// reservation in the log.
    #[must_use]
    pub fn takes_numbered_orders(&self) -> bool {
        self.kind == Kind::Worker && !self.services.is_empty()
    }
}

/// Storage tier of a copy of a model, from the slowest (weight store) to accelerator memory.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    EnumIter,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Stage {
    /// Only in the weight store.
    Remote,
    /// On the worker's disk.
    Disk,
    /// In the worker's host memory.
    Memory,
    /// In accelerator memory, still loading.
    Loading,
    /// In accelerator memory, ready for requests.
    Ready,
}

/// One copy of a model on a worker, as the worker reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Holding {
    /// The model and its version.
    pub model: Reference,
    /// The replica that the load order named; `None` if the worker does not keep it.
    #[serde(default)]
    pub replica: Option<ReplicaId>,
    /// The tier in which the copy is stored.
    pub stage: Stage,
    /// Accelerator memory that the copy occupies, in bytes; 0 below [`Stage::Loading`].
    pub bytes: u64,
    /// Adapters that are ready on the copy.
    #[serde(default)]
    pub adapters: Vec<Name>,
}

/// The longest window over which the limit of a target counts. Entry hosts send at least one request
/// in it, and control keeps a limit that nobody has confirmed for so long.
pub const MAX_LIMIT_WINDOW: Duration = Duration::from_secs(10);

/// A rate of requests, in requests per 1,000 seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestRate(pub u64);

impl RequestRate {
    /// Returns a rate given in requests per second; `None` if it is negative or not a number.
    ///
    /// ```
    /// use cornelhitch_types::target::RequestRate;
    ///
    /// assert_eq!(RequestRate::per_second(1.3), Some(RequestRate(1_300)));
    /// assert_eq!(RequestRate::per_second(f64::NAN), None);
    /// ```
    #[must_use]
    pub fn per_second(rate: f64) -> Option<Self> {
        let per_1000_s = Duration::try_from_secs_f64(rate).ok()?.as_millis();
        u64::try_from(per_1000_s).ok().map(Self)
    }

    /// Returns the number of whole requests in a window.
    ///
    /// ```
    /// use cornelhitch_types::target::RequestRate;
    /// use std::time::Duration;
    ///
    /// assert_eq!(RequestRate(1_300).in_window(Duration::from_secs(4)), 5);
    /// ```
    #[must_use]
    pub fn in_window(self, window: Duration) -> u32 {
        let requests = u128::from(self.0) * window.as_millis() / 1_000_000;
        u32::try_from(requests).unwrap_or(u32::MAX)
    }
}

/// What a target states of itself in the head of an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// The requests that it takes from all entry hosts together, if it names a limit.
    pub limit: Option<RequestRate>,
    /// Whether it leaves and takes no more requests.
    pub leaving: bool,
    /// How long it wants no more requests from the host that it answers, if it names a time.
    pub pause: Option<Duration>,
}

/// Load of a target, measured some time before it was sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Requests in flight.
    pub running: u32,
    /// Requests queued inside the target.
    pub queued: u32,
    /// Age of the measurement when it left the target, in milliseconds.
    pub age_ms: u32,
}

impl Load {
    /// Returns the age of the measurement when it left the target.
    ///
    /// ```
    /// use cornelhitch_types::target::Load;
    ///
    /// let load = Load { age_ms: 250, ..Load::default() };
    /// assert_eq!(load.age().as_millis(), 250);
    /// ```
    #[must_use]
    pub fn age(&self) -> Duration {
        Duration::from_millis(u64::from(self.age_ms))
    }
}

/// How long work takes at a target now, in hundredths of the usual time: 100 is as usual, 250 is 2.5
/// times as long.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Pace(pub u32);

impl Pace {
    /// Returns the time that work takes relative to the usual time.
    ///
    /// ```
    /// use cornelhitch_types::target::Pace;
    ///
    /// assert!((Pace(250).ratio() - 2.5).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn ratio(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

/// What a target reports of its load with a response, measured when the response began.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Running and queued requests.
    pub load: Load,
    /// Requests that it runs concurrently, if it states them.
    pub slots: Option<u32>,
    /// How long work takes there now, if it states that.
    pub pace: Option<Pace>,
}

/// A change to a prefix cache; events arrive late, and some are lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CacheEvent {
    /// Sequence number among the target's events; a gap shows that events were lost.
    pub sequence: u64,
    /// The model of the prefix.
    pub model: ModelId,
    /// Digest of the prefix's blocks.
    pub prefix: u64,
    /// Whether the prefix is now cached (`true`) or evicted (`false`).
    pub held: bool,
}

/// The status message that a target sends every second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Heartbeat {
    /// The name of the target.
    pub target: TargetId,
    /// Incarnation of the target.
    pub incarnation: Incarnation,
    /// Sequence number of the heartbeat within the incarnation.
    pub sequence: u64,
    /// The largest fencing number of the orders that it has accepted.
    #[serde(default)]
    pub fence: Term,
    /// All copies of models that it holds.
    pub inventory: Vec<Holding>,
    /// The current load.
    pub load: Load,
    /// Changes to its prefix caches since the previous heartbeat.
    #[serde(default)]
    pub cache: Vec<CacheEvent>,
    /// Whether it is draining and accepts no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// Announcement and heartbeat in one message, for targets that send both every time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Presence")]
pub struct AnnouncedHeartbeat {
    /// What the target is and where it runs.
    pub announcement: Announcement,
    /// The current state of the target.
    pub heartbeat: Heartbeat,
    /// The version of the target's software, which is not that of the weights it holds; `None` if it
    /// states none. Only the leader that receives the message keeps it.
    #[serde(skip)]
    pub software: Option<Name>,
}

/// The version of the software that an incarnation of a target runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetSoftware {
    /// The target.
    pub target: TargetId,
    /// The incarnation.
    pub incarnation: Incarnation,
    /// The version that it states.
    pub version: Name,
}

/// A worker's count of orders and its copies, as reported in response to a query.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inspection {
    /// Number of orders that it has accepted in this incarnation.
    pub orders: u64,
    /// Whether an order is in progress.
    pub busy: bool,
    /// The copies in accelerator memory.
    pub inventory: Vec<Holding>,
}
