//! Counters and latencies of one process: exported over OpenTelemetry, included in the dump and
//! served as Prometheus text.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cornelhitch_control::quota::TeamState;
use cornelhitch_entry::counters::{Counters, ServiceCounters};
use cornelhitch_entry::quota::{TeamCounters, TeamCountersByName};
use cornelhitch_types::refusal::{Reason, Refusal};
use opentelemetry::metrics::{Counter, Histogram, Meter};
use serde::Serialize;
use strum::{EnumIter, IntoEnumIterator, IntoStaticStr};

use crate::latency::Latency;

/// The counters; each variant is exported under its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case", prefix = "cornelhitch.")]
pub enum Count {
    /// Requests from callers.
    Requests,
    /// Strikes against requests whose target failed while running them.
    Strikes,
    /// Strikes whose commit was not confirmed.
    StrikesUnconfirmed,
    /// Streams that callers take up after a break.
    StreamsTakenUp,
    /// Those about whose origin the leader did not answer.
    StreamsUntold,
    /// Requests that were refused.
    Refusals,
    /// Answers whose first byte was forwarded.
    AnswersBegun,
    /// Answers that ended completely.
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
    /// Messages dropped because the peer's address is unknown.
    DroppedNoLink,
    /// Messages dropped because the link's queue was full.
    DroppedQueueFull,
    /// Frames dropped because they cannot be decoded.
    DroppedMalformed,
    /// Callers' connections closed because a request cannot be parsed.
    ConnectionsUnread,
    /// Connections closed at once, since their listener or their address had too many.
    ConnectionsRefused,
    /// Connections without a request in progress closed to make room for others.
    ConnectionsEvicted,
    /// Requests answered with 503, not run, since too many were in progress.
    RequestsCrowdedOut,
    /// Connections closed because the head of a request took too long.
    HeadsOverdue,
    /// Connections closed because their caller did not read for too long.
    AnswersUnread,
    /// Connections closed because they carried much that was no request and no body.
    ConnectionsWithoutRequests,
    /// Connections closed because the process had no memory for what they sent.
    ConnectionsOutOfMemory,
    /// Answers that were dropped because their callers leave too many unread.
    AnswersDropped,
    /// Requests that were refused because their bodies took too long.
    BodiesOverdue,
    /// Refused links: wrong cluster, wrong key or garbage.
    LinksRefused,
    /// Refused datagrams: wrong cluster, wrong key, replayed or garbage.
    DatagramsRefused,
    /// Orders to workers.
    Orders,
    /// Orders whose outcome is unknown.
    OrdersUnknown,
    /// Orders that were not sent because the leader's lease had expired.
    OrdersWithheld,
    /// Entries of the replicated log that were applied.
    Applied,
    /// Messages of the replicated log that the control task handled.
    ControlConsensus,
    /// Commands that it handled: all that is none of the others.
    ControlCommands,
    /// Lease renewals that it handled.
    ControlRenewals,
    /// Heartbeats of targets that it handled.
    ControlHeartbeats,
    /// Demand reports that it handled.
    ControlReports,
    /// Reports of teams' quotas that it handled.
    ControlQuotas,
    /// Heartbeats of targets that this host took for the leader.
    HeartbeatsTaken,
    /// Renewals, heartbeats and reports that newer ones replaced before it came to them.
    ControlSuperseded,
    /// Answers of targets that were given up because they had no end within what is buffered.
    AnswersGivenUp,
    /// Requests that were refused because their bodies had no room.
    BodiesRefused,
    /// Times at which an entry host stopped acting on its route table, since it knew of a newer one.
    TablesOutdated,
    /// Steps of a core that did not return within some seconds.
    CoresStalled,
    /// Reports of work in flight sent to other entry hosts.
    PeerReportsSent,
    /// Reports of work in flight received from other entry hosts.
    PeerReportsReceived,
    /// Pauses of connections whose address sent too many bytes that were no request and no body.
    ReadsPaused,
}

/// The latency histograms; each variant is exported under its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case", prefix = "cornelhitch.")]
pub enum Timing {
    /// From a request's arrival to the first byte of its answer.
    RequestStart,
    /// From a request's arrival to the end of its answer.
    RequestWhole,
    /// From a request's arrival to its refusal.
    RequestRefused,
    /// From sending an order to its outcome.
    Order,
    /// From hearing of a newer route table to acting on it.
    TableDelay,
}

/// A counter that is kept for each service.
struct ServiceCount {
    name: &'static str,
    read: fn(&ServiceCounters) -> u64,
}

/// The counters kept for each service.
const SERVICE_COUNTS: [ServiceCount; 6] = [
    ServiceCount {
        name: "cornelhitch_service_requests_total",
        read: |counters| counters.requests,
    },
    ServiceCount {
        name: "cornelhitch_repeats_total",
        read: |counters| counters.repeats,
    },
    ServiceCount {
        name: "cornelhitch_repeats_held_back_total",
        read: |counters| counters.held_back,
    },
    ServiceCount {
        name: "cornelhitch_limited_total",
        read: |counters| counters.limited,
    },
    ServiceCount {
        name: "cornelhitch_target_connections_new_total",
        read: |counters| counters.new_connections,
    },
    ServiceCount {
        name: "cornelhitch_target_connections_reused_total",
        read: |counters| counters.reused_connections,
    },
];

/// A counter that is kept for each team.
struct TeamCount {
    name: &'static str,
    read: fn(&TeamCounters) -> u64,
}

/// The counters that an entry host keeps for each team with a quota.
const TEAM_COUNTS: [TeamCount; 6] = [
    TeamCount {
        name: "cornelhitch_team_sends_total",
        read: |counters| counters.sends,
    },
    TeamCount {
        name: "cornelhitch_team_charged_total",
        read: |counters| counters.charged,
    },
    TeamCount {
        name: "cornelhitch_team_declined_total",
        read: |counters| counters.declined,
    },
    TeamCount {
        name: "cornelhitch_team_expired_total",
        read: |counters| counters.expired,
    },
    TeamCount {
        name: "cornelhitch_team_refused_total",
        read: |counters| counters.refused,
    },
    TeamCount {
        name: "cornelhitch_team_unanswered_total",
        read: |counters| counters.unanswered,
    },
];

/// A figure of a team's bucket.
struct BucketFigure {
    name: &'static str,
    read: fn(&TeamState) -> u64,
}

/// The figures that the leader shows for each team with a quota.
const BUCKET_FIGURES: [BucketFigure; 6] = [
    BucketFigure {
        name: "cornelhitch_quota_available",
        read: |state| state.available,
    },
    BucketFigure {
        name: "cornelhitch_quota_held",
        read: |state| state.held,
    },
    BucketFigure {
        name: "cornelhitch_quota_granted_total",
        read: |state| state.totals.granted,
    },
    BucketFigure {
        name: "cornelhitch_quota_spent_total",
        read: |state| state.totals.spent,
    },
    BucketFigure {
        name: "cornelhitch_quota_expired_total",
        read: |state| state.totals.expired,
    },
    BucketFigure {
        name: "cornelhitch_quota_refused_total",
        read: |state| state.totals.refused,
    },
];

/// The metrics of one process; clones share them.
#[derive(Debug, Clone)]
pub struct Metrics {
    instruments: Arc<Instruments>,
}

/// The instruments shared by all clones of [`Metrics`].
#[derive(Debug)]
struct Instruments {
    counters: Vec<Counter<u64>>,
    totals: Vec<AtomicU64>,
    /// Refusals, indexed by reason.
    reasons: Vec<AtomicU64>,
    /// Requests and repeats of each service, as last published by the entry task.
    services: Mutex<Counters>,
    /// What teams used and were refused, as last published by the entry task.
    teams: Mutex<TeamCountersByName>,
    /// The buckets of teams, as last published by the control task.
    buckets: Mutex<Vec<TeamState>>,
    histograms: Vec<Histogram<f64>>,
    latencies: Vec<Latency>,
}

/// Counter totals by name, for the dump.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Totals(pub BTreeMap<&'static str, u64>);

impl From<&Meter> for Metrics {
    fn from(meter: &Meter) -> Self {
        let counter = |count: Count| meter.u64_counter(<&str>::from(count)).build();
        let histogram = |timing: Timing| {
            let histogram = meter.f64_histogram(<&str>::from(timing));
            histogram.with_unit("s").build()
        };
        let instruments = Instruments {
            counters: Count::iter().map(counter).collect(),
            totals: Count::iter().map(|_| AtomicU64::new(0)).collect(),
            reasons: Reason::iter().map(|_| AtomicU64::new(0)).collect(),
            services: Mutex::default(),
            teams: Mutex::default(),
            buckets: Mutex::default(),
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
    /// Adds one to a counter.
    ///
    /// ```
    /// use cornelhitch_node::metrics::{Count, Metrics};
    ///
    /// let metrics = Metrics::default();
    /// metrics.increment(Count::Requests);
    /// assert_eq!(metrics.sum(Count::Requests), 1);
    /// ```
    pub fn increment(&self, count: Count) {
        self.add(count, 1);
    }

    /// Adds an amount to a counter.
    pub fn add(&self, count: Count, amount: u64) {
        self.instruments.counters[count as usize].add(amount, &[]);
        self.instruments.totals[count as usize].fetch_add(amount, Ordering::Relaxed);
    }

    /// Counts a message of this many bytes sent to a peer.
    pub fn sent(&self, bytes: usize) {
        self.increment(Count::FramesSent);
        self.add(Count::BytesSent, bytes as u64);
    }

    /// Counts a message of this many bytes received from a peer.
    pub fn received(&self, bytes: usize) {
        self.increment(Count::FramesReceived);
        self.add(Count::BytesReceived, bytes as u64);
    }

    /// Records a latency.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use cornelhitch_node::metrics::{Metrics, Timing};
    ///
    /// let metrics = Metrics::default();
    /// metrics.record(Timing::Order, Duration::from_millis(3));
    /// assert!(metrics.text().contains("cornelhitch_order_seconds_count 1\n"));
    /// ```
    pub fn record(&self, timing: Timing, latency: Duration) {
        let instruments = &self.instruments;
        instruments.histograms[timing as usize].record(latency.as_secs_f64(), &[]);
        instruments.latencies[timing as usize].record(latency);
    }

    /// Records that an answer began, this long after its request arrived.
    pub fn started(&self, after: Duration) {
        self.record(Timing::RequestStart, after);
        self.increment(Count::AnswersBegun);
    }

    /// Records that an answer ended completely, this long after its request arrived.
    pub fn ended(&self, after: Duration) {
        self.record(Timing::RequestWhole, after);
        self.increment(Count::AnswersEnded);
    }

    /// Records that a request was refused, this long after it arrived.
    pub fn refused(&self, refusal: &Refusal, after: Duration) {
        self.record(Timing::RequestRefused, after);
        let reasons = &self.instruments.reasons;
        reasons[refusal.reason as usize].fetch_add(1, Ordering::Relaxed);
        self.increment(Count::Refusals);
    }

    /// Publishes the requests and repeats of each service.
    ///
    /// ```
    /// use cornelhitch_entry::counters::Counters;
    /// use cornelhitch_node::metrics::Metrics;
    ///
    /// let (metrics, mut counters) = (Metrics::default(), Counters::default());
    /// counters.of(&"auction".into()).repeats = 3;
    /// metrics.show_services(&counters);
    /// assert!(metrics.text().contains("cornelhitch_repeats_total{service=\"auction\"} 3\n"));
    /// ```
    pub fn show_services(&self, counters: &Counters) {
        let services = &self.instruments.services;
        let mut published = services.lock().unwrap_or_else(PoisonError::into_inner);
        if *published != *counters {
            published.clone_from(counters);
        }
    }

    /// Publishes what teams used and were refused at this host.
    ///
    /// ```
    /// use cornelhitch_entry::quota::TeamCountersByName;
    /// use cornelhitch_node::metrics::Metrics;
    ///
    /// let (metrics, mut counters) = (Metrics::default(), TeamCountersByName::default());
    /// counters.of(&"night-desk".into()).refused = 2;
    /// metrics.show_teams(&counters);
    /// assert!(metrics.text().contains("cornelhitch_team_refused_total{team=\"night-desk\"} 2\n"));
    /// ```
    pub fn show_teams(&self, counters: &TeamCountersByName) {
        let teams = &self.instruments.teams;
        let mut published = teams.lock().unwrap_or_else(PoisonError::into_inner);
        if *published != *counters {
            published.clone_from(counters);
        }
    }

    /// Publishes the state of teams' buckets at the leader.
    pub fn show_buckets(&self, states: Vec<TeamState>) {
        let buckets = &self.instruments.buckets;
        *buckets.lock().unwrap_or_else(PoisonError::into_inner) = states;
    }

    /// Returns a counter's total since the start of the process.
    #[must_use]
    pub fn sum(&self, count: Count) -> u64 {
        self.instruments.totals[count as usize].load(Ordering::Relaxed)
    }

    /// Returns all counters' totals since the start of the process.
    #[must_use]
    pub fn totals(&self) -> Totals {
        Totals(
            Count::iter()
                .map(|count| (count.into(), self.sum(count)))
                .collect(),
        )
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        for (name, sum) in &self.totals().0 {
            let _ = writeln!(text, "{}_total {sum}", prometheus_name(name));
        }
        for reason in Reason::iter() {
            let count = self.instruments.reasons[reason as usize].load(Ordering::Relaxed);
            let name = "cornelhitch_refusals_by_reason_total";
            let _ = writeln!(text, "{name}{{reason=\"{reason}\"}} {count}");
        }
        let services = &self.instruments.services;
        let services = services.lock().unwrap_or_else(PoisonError::into_inner);
        for ServiceCount { name, read } in SERVICE_COUNTS {
            for (service, counters) in services.iter() {
                let count = read(counters);
                let _ = writeln!(text, "{name}{{service=\"{service}\"}} {count}");
            }
        }
        drop(services);
        self.write_teams(&mut text);
        for timing in Timing::iter() {
            let name = prometheus_name(timing.into());
            self.instruments.latencies[timing as usize].write(&name, &mut text);
        }
        text
    }

    /// Writes the metrics of teams with quotas.
    fn write_teams(&self, text: &mut String) {
        let teams = &self.instruments.teams;
        let teams = teams.lock().unwrap_or_else(PoisonError::into_inner);
        for TeamCount { name, read } in TEAM_COUNTS {
            for (team, counters) in teams.iter() {
                let (team, count) = (label_value(team), read(counters));
                let _ = writeln!(text, "{name}{{team=\"{team}\"}} {count}");
            }
        }
        let buckets = &self.instruments.buckets;
        let buckets = buckets.lock().unwrap_or_else(PoisonError::into_inner);
        for BucketFigure { name, read } in BUCKET_FIGURES {
            for state in buckets.iter() {
                let (team, figure) = (label_value(&state.team), read(state));
                let _ = writeln!(text, "{name}{{team=\"{team}\"}} {figure}");
            }
        }
    }
}

/// Escapes the characters that end a label's value in the Prometheus text format.
fn label_value(name: &str) -> String {
    name.replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}

/// Converts a metric name to the characters that Prometheus allows.
fn prometheus_name(name: &str) -> String {
    name.replace(['.', '-'], "_")
}
