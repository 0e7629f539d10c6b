//! Counters of one process, exported over OpenTelemetry and shown in the dump.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use opentelemetry::metrics::{Counter, Histogram, Meter};
use serde::Serialize;
use strum::{EnumIter, IntoEnumIterator, IntoStaticStr};

/// What is counted; a new row here is a new counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case", prefix = "cornelhitch.")]
pub enum Count {
    /// Requests of callers.
    Requests,
    /// Requests that were refused.
    Refusals,
    /// Answers that began.
    AnswersBegun,
    /// Answers that ended whole.
    AnswersEnded,
    /// Tokens passed to callers.
    Tokens,
    /// Attempts at targets.
    Attempts,
    /// Attempts that failed.
    AttemptsFailed,
    /// Messages sent to peers.
    FramesSent,
    /// Bytes sent to peers.
    BytesSent,
    /// Messages received from peers.
    FramesReceived,
    /// Bytes received from peers.
    BytesReceived,
    /// Messages for which there was no link.
    DroppedNoLink,
    /// Messages for which the link's queue was full.
    DroppedQueueFull,
    /// Frames that hold no message.
    DroppedMalformed,
    /// Links that were refused: another cluster, no key, garbage.
    LinksRefused,
    /// Datagrams that were refused: another cluster, no key, replayed, garbage.
    DatagramsRefused,
    /// Orders sent to workers.
    Orders,
    /// Orders whose outcome is not known.
    OrdersUnknown,
    /// Orders that were not sent, since the leader's lease had run out.
    OrdersWithheld,
    /// Entries of the replicated log that were applied.
    Applied,
}

/// The counters of one process; clones share them.
#[derive(Debug, Clone)]
pub struct Metrics {
    instruments: Arc<Instruments>,
}

/// The instruments themselves.
#[derive(Debug)]
struct Instruments {
    counters: Vec<Counter<u64>>,
    sums: Vec<AtomicU64>,
    start: Histogram<f64>,
}

/// Sums by name, for the dump.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Sums(pub BTreeMap<&'static str, u64>);

impl From<&Meter> for Metrics {
    fn from(meter: &Meter) -> Self {
        let counter = |count: Count| meter.u64_counter(<&str>::from(count)).build();
        let start = meter.f64_histogram("cornelhitch.request-start");
        let instruments = Instruments {
            counters: Count::iter().map(counter).collect(),
            sums: Count::iter().map(|_| AtomicU64::new(0)).collect(),
            start: start.with_unit("s").build(),
        };
        Self {
            instruments: Arc::new(instruments),
        }
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::from(&opentelemetry::global::meter("cornelhitch"))
    }
}

impl Metrics {
    /// Counts one.
    ///
    /// ```
    /// use cornelhitch_node::metrics::{Count, Metrics};
    ///
    /// let metrics = Metrics::default();
    /// metrics.one(Count::Requests);
    /// assert_eq!(metrics.sum(Count::Requests), 1);
    /// ```
    pub fn one(&self, count: Count) {
        self.many(count, 1);
    }

    /// Counts several.
    pub fn many(&self, count: Count, amount: u64) {
        self.instruments.counters[count as usize].add(amount, &[]);
        self.instruments.sums[count as usize].fetch_add(amount, Ordering::Relaxed);
    }

    /// A message left for a peer.
    pub fn sent(&self, bytes: usize) {
        self.one(Count::FramesSent);
        self.many(Count::BytesSent, bytes as u64);
    }

    /// A message came from a peer.
    pub fn received(&self, bytes: usize) {
        self.one(Count::FramesReceived);
        self.many(Count::BytesReceived, bytes as u64);
    }

    /// An answer began some time after its request.
    pub fn started(&self, after: Duration) {
        self.instruments.start.record(after.as_secs_f64(), &[]);
        self.one(Count::AnswersBegun);
    }

    /// One sum so far.
    #[must_use]
    pub fn sum(&self, count: Count) -> u64 {
        self.instruments.sums[count as usize].load(Ordering::Relaxed)
    }

    /// All sums so far.
    #[must_use]
    pub fn sums(&self) -> Sums {
        Sums(
            Count::iter()
                .map(|count| (count.into(), self.sum(count)))
                .collect(),
        )
    }
}
