//! Measures the overhead of a host for a model that is loaded, compared with a minimal hyper relay
//! to the same stand-in engine.
//!
//! `cargo run --release -p cornelhitch-trial --example warm [PART]...` with the parts `instant`,
//! `paced`, `load`, `streams-bare` and `streams-host`. A single part runs in this process; several,
//! or all if none is named, run in a process each. Both relays have two threads, whose CPU time is
//! found by thread name.

#![allow(clippy::cast_precision_loss)]

use std::net::SocketAddr;
use std::process::{Command, ExitCode};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use cornelhitch_standin::engine::Engine;
use cornelhitch_standin::store::Store;
use cornelhitch_target::message::{MODEL, REPLICA, REQUEST_ID};
use cornelhitch_trial::caller::{Caller, ModelRequest, Outcome};
use cornelhitch_trial::cluster::{self, Cluster};
use cornelhitch_trial::process_stats;
use cornelhitch_types::model::Reference;
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use strum::{Display, EnumIter, EnumString, IntoEnumIterator};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio_util::sync::CancellationToken;

/// Number of threads of the bare relay, the same as for a host.
const RELAY_THREADS: usize = 2;

/// Name of the bare relay's threads.
const RELAY_THREAD_NAME: &str = "relay";

/// Name of the model in [`FLEET`].
const MODEL_NAME: &str = "summary";

/// Settings of the fleet: one model that stays loaded, and limits that no measurement reaches.
const FLEET: &str = "
loading: { remote-ms-per-gib: 10 }
keeping: { minimum-s: 3600, maximum-s: 7200 }
placing: { replicas: 1, concurrency: 4096 }
refusing: { queue: 10000, caller: 10000 }
models: [{ name: summary, bytes: 1073741824 }]
";

/// Time limit for the model to be loaded and the host to answer.
const READY_TIMEOUT: Duration = Duration::from_secs(12);

/// Number of rounds of the comparison, which alternates between the relays.
const ROUNDS: usize = 10;

/// Number of concurrent callers in the comparison.
const CALLERS: usize = 4;

/// Number of requests that each caller sends in a round.
const REQUESTS_PER_CALLER: usize = 40;

/// Length of an answer in tokens in the comparison.
const COMPARE_TOKENS: u64 = 16;

/// Request rate of one node at the later size of the fleet.
const LOAD_REQUESTS_PER_SECOND: u32 = 83;

/// Length of an answer in tokens at that size; with the request rate, 21,200 tokens/s.
const LOAD_TOKENS: u64 = 255;

/// Duration of that load.
const LOAD_SECONDS: u32 = 5;

/// Upper bound of the histograms. Longer times are counted as this one.
const MAX_RECORDED_MICROS: u64 = 60_000_000;

/// Numbers of open streams at which the memory is read.
const OPEN_STREAMS: [usize; 3] = [100, 300, 700];

/// Part of the measurement, as named on the command line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, EnumIter)]
#[strum(serialize_all = "kebab-case")]
enum Part {
    /// Latency with an engine that generates tokens without delay.
    Instant,
    /// Latency with an engine that takes 5 ms to the first token and 2 ms per token.
    Paced,
    /// CPU time at the load of one node at the later size.
    Load,
    /// Memory per open stream through the bare relay.
    StreamsBare,
    /// Memory per open stream through the host.
    StreamsHost,
}

/// One of the compared relays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
enum Relay {
    /// The minimal hyper relay.
    Bare,
    /// The host under test.
    Host,
}

/// Addresses of both relays to one engine, and the client that calls them.
struct Setup {
    bare: SocketAddr,
    host: SocketAddr,
    caller: Caller,
}

/// Latencies of answered requests in microseconds, and the outcomes of the others.
struct Results {
    first_token: Histogram<u64>,
    total: Histogram<u64>,
    failures: Vec<Outcome>,
}

fn main() -> ExitCode {
    let parts: Vec<String> = std::env::args().skip(1).collect();
    let measured = match parts.as_slice() {
        [part] => part.parse().map_err(Into::into).and_then(measure),
        parts => measure_all(parts),
    };
    match measured {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the measurement failed: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Measures the named parts, or all if none is named, each in its own process.
fn measure_all(parts: &[String]) -> Result<(), Box<dyn std::error::Error>> {
    let executable = std::env::current_exe()?;
    for part in Part::iter().map(|part| part.to_string()) {
        if parts.is_empty() || parts.contains(&part) {
            Command::new(&executable).arg(&part).status()?;
        }
    }
    Ok(())
}

/// Measures one part in this process.
fn measure(part: Part) -> Result<(), Box<dyn std::error::Error>> {
    let cluster = Cluster::start(&cluster::ClusterSpec {
        regions: vec!["north".to_owned()],
        hosts: 1,
        voters: 1,
        fleet: FLEET.to_owned(),
    })?;
    let relays = relay_runtime(RELAY_THREAD_NAME)?;
    let runtime = Runtime::new()?;
    let stop = CancellationToken::new();
    let measured = runtime.block_on(async {
        let host = cluster.caller_addresses()[0];
        let engine = start_engine(part, host, &stop).await?;
        let bare = start_bare_relay(&relays, engine.address()).await?;
        let caller = Caller::new("warm");
        let setup = Setup { bare, host, caller };
        setup.wait_until_ready().await?;
        match part {
            Part::Instant | Part::Paced => setup.compare(part).await,
            Part::Load => setup.measure_load().await,
            Part::StreamsBare => setup.measure_streams(Relay::Bare).await,
            Part::StreamsHost => setup.measure_streams(Relay::Host).await,
        }
        Ok(())
    });
    stop.cancel();
    relays.shutdown_background();
    runtime.shutdown_background();
    measured
}

/// Creates a runtime with threads of the given name.
fn relay_runtime(name: &str) -> std::io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(RELAY_THREADS)
        .thread_name(name)
        .enable_all()
        .build()
}

/// Starts the engine with the delays of a part.
async fn start_engine(
    part: Part,
    host: SocketAddr,
    stop: &CancellationToken,
) -> Result<Engine, Box<dyn std::error::Error>> {
    let [prefill, token] = match part {
        Part::Instant => [0, 0],
        Part::Paced => [5, 2],
        Part::Load => [5, 10],
        Part::StreamsBare | Part::StreamsHost => [5, 500],
    };
    let engine = Engine::builder()
        .region("north")
        .zone("north-1")
        .max_batch(4_096_u32)
        .max_queued(4_096_usize)
        .tokens_per_second(1e12)
        .prefill(Duration::from_millis(prefill))
        .token_time(Duration::from_millis(token))
        .store(
            Store::builder()
                .time_per_gib(Duration::from_millis(10))
                .build(),
        )
        .entries(vec![host]);
    Ok(engine.start(stop.child_token()).await?)
}

impl Setup {
    /// Waits until the host has loaded the model and both relays answer.
    async fn wait_until_ready(&self) -> Result<(), Box<dyn std::error::Error>> {
        let started = Instant::now();
        while started.elapsed() < READY_TIMEOUT {
            let host = self
                .caller
                .request_model(self.host, &model_request(0, 1, true))
                .await;
            if host.is_answered() {
                let bare = self
                    .caller
                    .request_model(self.bare, &model_request(0, 1, true))
                    .await;
                if bare.is_answered() {
                    return Ok(());
                }
                return Err(format!("expected an answer from the bare relay, got {bare:?}").into());
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Err("the host did not answer a request for the model before the timeout".into())
    }

    fn address(&self, relay: Relay) -> SocketAddr {
        match relay {
            Relay::Bare => self.bare,
            Relay::Host => self.host,
        }
    }

    /// Compares the latency of both relays, alternating between them, streamed and not.
    async fn compare(&self, part: Part) {
        for stream in [true, false] {
            let mut bare = Results::new();
            let mut host = Results::new();
            for round in 0..ROUNDS {
                for (relay, results) in [(Relay::Bare, &mut bare), (Relay::Host, &mut host)] {
                    results.record(self.run_round(relay, round, stream).await);
                }
            }
            let kind = if stream { "streamed" } else { "whole" };
            bare.print(&format!("{part} {kind} bare"));
            host.print(&format!("{part} {kind} host"));
            let ratio = |of: fn(&Results) -> &Histogram<u64>| {
                let [host, bare] = [&host, &bare].map(|results| of(results).value_at_quantile(0.5));
                host as f64 / bare.max(1) as f64
            };
            println!(
                "{part} {kind}: the host's p50 is {:.2} times the bare one's (first), {:.2} (whole)",
                ratio(|results| &results.first_token),
                ratio(|results| &results.total),
            );
        }
    }

    /// Runs the concurrent callers of one round, each with one request in flight.
    async fn run_round(&self, relay: Relay, round: usize, stream: bool) -> Vec<Outcome> {
        let callers = (0..CALLERS).map(|caller| async move {
            let mut outcomes = Vec::new();
            for request in 0..REQUESTS_PER_CALLER {
                let number = (round * CALLERS + caller) * REQUESTS_PER_CALLER + request;
                let request = model_request(number, COMPARE_TOKENS, stream);
                outcomes.push(
                    self.caller
                        .request_model(self.address(relay), &request)
                        .await,
                );
            }
            outcomes
        });
        join_all(callers).await.into_iter().flatten().collect()
    }

    /// Measures the CPU time of both relays at the load of one node at the later size.
    async fn measure_load(&self) {
        for relay in [Relay::Bare, Relay::Host, Relay::Bare, Relay::Host] {
            let name = match relay {
                Relay::Bare => RELAY_THREAD_NAME.to_owned(),
                Relay::Host => cluster::thread_name(1),
            };
            let before = process_stats::cpu_time(&name);
            let started = Instant::now();
            let requests = (0..LOAD_REQUESTS_PER_SECOND * LOAD_SECONDS).map(|number| async move {
                tokio::time::sleep(Duration::from_secs(1) * number / LOAD_REQUESTS_PER_SECOND)
                    .await;
                let request = model_request(number as usize, LOAD_TOKENS, true);
                self.caller
                    .request_model(self.address(relay), &request)
                    .await
            });
            let outcomes = join_all(requests).await;
            let seconds = started.elapsed().as_secs_f64();
            let cpu_seconds = process_stats::cpu_time(&name)
                .saturating_sub(before)
                .as_secs_f64();
            let mut results = Results::new();
            results.record(outcomes);
            let answered = results.total.len() as f64;
            let tokens = answered * LOAD_TOKENS as f64;
            results.print(&format!("load {relay}"));
            println!(
                "load {relay}: {:.0} tokens/s over {seconds:.1} s, {:.2} us of a core a token, {:.0} us a \
                 request of {LOAD_TOKENS}, {:.2} of a core at 21,200 tokens/s; load average {}",
                tokens / seconds,
                cpu_seconds / tokens * 1e6,
                cpu_seconds / answered * 1e6,
                cpu_seconds / tokens * 21_200.0,
                process_stats::load_average(),
            );
        }
    }

    /// Measures the memory of the process at increasing numbers of open streams.
    async fn measure_streams(&self, relay: Relay) {
        let address = self.address(relay);
        let mut last = (0, process_stats::resident_bytes());
        let mut open = Vec::new();
        for count in OPEN_STREAMS {
            while open.len() < count {
                let request = model_request(open.len(), 24, true);
                let caller = self.caller.clone();
                open.push(tokio::spawn(async move {
                    caller.request_model(address, &request).await
                }));
            }
            tokio::time::sleep(Duration::from_millis(2_500)).await;
            let now = process_stats::resident_bytes();
            let ended = open.iter().filter(|open| open.is_finished()).count();
            println!(
                "streams through {relay}: {count} open ({ended} ended), {:.1} MB, {:.1} kB a further one",
                now as f64 / 1e6,
                (now as f64 - last.1 as f64) / (count - last.0) as f64 / 1e3,
            );
            last = (count, now);
        }
    }
}

impl Results {
    /// Creates empty results.
    fn new() -> Self {
        let empty = || {
            Histogram::new_with_bounds(1, MAX_RECORDED_MICROS, 3)
                .expect("histogram bounds should be valid")
        };
        Self {
            first_token: empty(),
            total: empty(),
            failures: Vec::new(),
        }
    }

    /// Adds the outcomes of several requests.
    fn record(&mut self, outcomes: Vec<Outcome>) {
        let micros = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        for outcome in outcomes {
            if let Outcome::Answered { first_token, total } = outcome {
                self.first_token.saturating_record(micros(first_token));
                self.total.saturating_record(micros(total));
            } else {
                self.failures.push(outcome);
            }
        }
    }

    /// Prints the counts, the latencies in microseconds and one of the failures.
    fn print(&self, name: &str) {
        let [first_token, total] = [&self.first_token, &self.total].map(|times| {
            let at = |part| times.value_at_quantile(part);
            format!("p50 {} p99 {}", at(0.5), at(0.99))
        });
        println!(
            "{name}: {} answered, {} not; us: first {first_token}, whole {total}; load average {}",
            self.total.len(),
            self.failures.len(),
            process_stats::load_average(),
        );
        if let Some(failure) = self.failures.first() {
            println!("{name}: first request that was not answered: {failure:?}");
        }
    }
}

/// Returns a request with a prompt that is distinct for each number.
fn model_request(number: usize, tokens: u64, stream: bool) -> ModelRequest {
    ModelRequest {
        model: Reference::base(MODEL_NAME),
        prompt: format!("the {number}th item"),
        tokens,
        stream,
        class: None,
        deadline: None,
    }
}

/// HTTP client of the bare relay.
type EngineClient = Client<HttpConnector, Full<Bytes>>;

/// Starts the bare relay, which forwards each request and streams the response body back. Returns
/// its address.
async fn start_bare_relay(runtime: &Runtime, engine: SocketAddr) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    let listener = listener.into_std()?;
    runtime.spawn(async move {
        let Ok(listener) = TcpListener::from_std(listener) else {
            return;
        };
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client: EngineClient = Client::builder(TokioExecutor::new()).build(connector);
        while let Ok((socket, _)) = listener.accept().await {
            drop(socket.set_nodelay(true));
            let client = client.clone();
            let service = service_fn(move |request| forward(client.clone(), engine, request));
            tokio::spawn(async move {
                let builder = auto::Builder::new(TokioExecutor::new());
                let socket = TokioIo::new(socket);
                drop(builder.serve_connection(socket, service).await);
            });
        }
    });
    Ok(address)
}

/// Forwards one request with the headers that the engine requires.
async fn forward(
    client: EngineClient,
    engine: SocketAddr,
    request: Request<Incoming>,
) -> Result<Response<Incoming>, Box<dyn std::error::Error + Send + Sync>> {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    let path = request.uri().path().to_owned();
    let body = request.into_body().collect().await?.to_bytes();
    let stream = body.windows(13).any(|part| part == b"\"stream\":true");
    let accept = if stream {
        "text/event-stream"
    } else {
        "application/json"
    };
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let request = Request::post(format!("http://{engine}{path}"))
        .header("content-type", "application/json")
        .header("accept", accept)
        .header(MODEL, MODEL_NAME)
        .header(REPLICA, "1")
        .header(REQUEST_ID, format!("bare-{number}"))
        .body(Full::new(body))?;
    Ok(client.request(request).await?)
}
