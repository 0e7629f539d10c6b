//! Counters and latencies of one process, exported over OpenTelemetry, shown in the dump and served
//! as text.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cornelhitch_entry::tally::{Tallies, Tally};
use cornelhitch_types::refusal::{Reason, Refusal};
use opentelemetry::metrics::{Counter, Histogram, Meter};
use serde::Serialize;
use strum::{EnumIter, IntoEnumIterator, IntoStaticStr};

use crate::latency::Latency;

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
    /// Callers' connections that ended because what came over them is no request.
    ConnectionsUnread,
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

/// What is timed; a new row here is a new histogram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case", prefix = "cornelhitch.")]
pub enum Timing {
    /// From a request's arrival to the first byte of its answer.
    RequestStart,
    /// From a request's arrival to the end of its answer.
    RequestWhole,
    /// From a request's arrival to its refusal.
    RequestRefused,
    /// From an order to its outcome.
    Order,
}

/// What is counted of each service.
struct ServiceCount {
    name: &'static str,
    read: fn(&Tally) -> u64,
}

/// The counters of each service, a row each.
const SERVICE_COUNTS: [ServiceCount; 3] = [
    ServiceCount {
        name: "cornelhitch_service_requests_total",
        read: |tally| tally.requests,
    },
    ServiceCount {
        name: "cornelhitch_repeats_total",
        read: |tally| tally.repeats,
    },
    ServiceCount {
        name: "cornelhitch_repeats_held_back_total",
        read: |tally| tally.held_back,
    },
];

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
    /// Refusals by reason.
    reasons: Vec<AtomicU64>,
    /// Requests and repeats by service, as the entry task last showed them.
    services: Mutex<Tallies>,
    histograms: Vec<Histogram<f64>>,
    latencies: Vec<Latency>,
}

/// Sums by name, for the dump.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Sums(pub BTreeMap<&'static str, u64>);

impl From<&Meter> for Metrics {
    fn from(meter: &Meter) -> Self {
        let counter = |count: Count| meter.u64_counter(<&str>::from(count)).build();
        let histogram = |timing: Timing| {
            let histogram = meter.f64_histogram(<&str>::from(timing));
            histogram.with_unit("s").build()
        };
        let instruments = Instruments {
            counters: Count::iter().map(counter).collect(),
            sums: Count::iter().map(|_| AtomicU64::new(0)).collect(),
            reasons: Reason::iter().map(|_| AtomicU64::new(0)).collect(),
            services: Mutex::default(),
            histograms: Timing::iter().map(histogram).collect(),
            latencies: Timing::iter().map(|_| Latency::default()).collect(),
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

    /// Records how long something took.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use cornelhitch_node::metrics::{Metrics, Timing};
    ///
    /// let metrics = Metrics::default();
    /// metrics.took(Timing::Order, Duration::from_millis(3));
    /// assert!(metrics.text().contains("cornelhitch_order_seconds_count 1\n"));
    /// ```
    pub fn took(&self, timing: Timing, latency: Duration) {
        let instruments = &self.instruments;
        instruments.histograms[timing as usize].record(latency.as_secs_f64(), &[]);
        instruments.latencies[timing as usize].record(latency);
    }

    /// An answer began some time after its request.
    pub fn started(&self, after: Duration) {
        self.took(Timing::RequestStart, after);
        self.one(Count::AnswersBegun);
    }

    /// An answer ended whole some time after its request.
    pub fn ended(&self, after: Duration) {
        self.took(Timing::RequestWhole, after);
        self.one(Count::AnswersEnded);
    }

    /// A request was refused some time after it came.
    pub fn refused(&self, refusal: &Refusal, after: Duration) {
        self.took(Timing::RequestRefused, after);
        let reasons = &self.instruments.reasons;
        reasons[refusal.reason as usize].fetch_add(1, Ordering::Relaxed);
        self.one(Count::Refusals);
    }

    /// Shows the requests and repeats of each service.
    ///
    /// ```
    /// use cornelhitch_entry::tally::Tallies;
    /// use cornelhitch_node::metrics::Metrics;
    ///
    /// let (metrics, mut tallies) = (Metrics::default(), Tallies::default());
    /// tallies.of(&"auction".into()).repeats = 3;
    /// metrics.show_services(&tallies);
    /// assert!(metrics.text().contains("cornelhitch_repeats_total{service=\"auction\"} 3\n"));
    /// ```
    pub fn show_services(&self, tallies: &Tallies) {
        let services = &self.instruments.services;
        let mut shown = services.lock().unwrap_or_else(PoisonError::into_inner);
        if *shown != *tallies {
            shown.clone_from(tallies);
        }
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

    /// All of it in the text form that Prometheus reads.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        for (name, sum) in &self.sums().0 {
            let _ = writeln!(text, "{}_total {sum}", plain(name));
        }
        for reason in Reason::iter() {
            let count = self.instruments.reasons[reason as usize].load(Ordering::Relaxed);
            let name = "cornelhitch_refusals_by_reason_total";
            let _ = writeln!(text, "{name}{{reason=\"{reason}\"}} {count}");
        }
        let services = &self.instruments.services;
        let services = services.lock().unwrap_or_else(PoisonError::into_inner);
        for ServiceCount { name, read } in SERVICE_COUNTS {
            for (service, tally) in services.iter() {
                let count = read(tally);
                let _ = writeln!(text, "{name}{{service=\"{service}\"}} {count}");
            }
        }
        drop(services);
        for timing in Timing::iter() {
            let name = plain(timing.into());
            self.instruments.latencies[timing as usize].write(&name, &mut text);
        }
        text
    }
}

/// A name as Prometheus allows it.
fn plain(name: &str) -> String {
    name.replace(['.', '-'], "_")
}
