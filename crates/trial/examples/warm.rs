//! The warm path: one host relaying to a stand-in engine, beside a bare hyper relay.
//!
//! `cargo run --release -p cornelhitch-trial --example warm [PART]...` with the parts `instant`,
//! `paced`, `load`, `streams-bare` and `streams-host`; without any, each in a process of its own.
//! Both relays have two threads, whose processor time is told by their names.

#![allow(clippy::cast_precision_loss)]

use std::net::SocketAddr;
use std::process::{Command, ExitCode};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use cornelhitch_standin::engine::Engine;
use cornelhitch_standin::store::Store;
use cornelhitch_target::message::{MODEL, REPLICA, REQUEST_ID};
use cornelhitch_trial::caller::{Ask, Caller, End};
use cornelhitch_trial::cluster::{self, Cluster};
use cornelhitch_trial::meter;
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

/// Threads of the bare relay, as many as a host has.
const THREADS: usize = 2;

/// The name of the bare relay's threads.
const RELAY: &str = "relay";

/// The model.
const SUMMARY: &str = "summary";

/// The fleet's settings: one model that stays loaded, and no limit in the way.
const FLEET: &str = "
loading: { remote-ms-per-gib: 10 }
keeping: { minimum-s: 3600, maximum-s: 7200 }
placing: { replicas: 1, concurrency: 4096 }
refusing: { queue: 10000, caller: 10000 }
models: [{ name: summary, bytes: 1073741824 }]
";

/// Time that the host may take to be ready and loaded.
const READY: Duration = Duration::from_secs(12);

/// Rounds of the comparison, each with both relays in turn.
const ROUNDS: usize = 10;

/// Callers at once.
const CALLERS: usize = 4;

/// Requests of a caller in a round.
const REQUESTS: usize = 40;

/// Tokens of an answer of the comparison.
const TOKENS: u64 = 16;

/// Requests a second of one node at the later size.
const RATE: u32 = 83;

/// Tokens of an answer at the later size: 21,200 tokens a second.
const LONG: u64 = 255;

/// How long that load goes on.
const SPAN: u32 = 5;

/// The longest time that is told apart, in microseconds.
const LONGEST: u64 = 60_000_000;

/// Open streams at which memory is read.
const STREAMS: [usize; 3] = [100, 300, 700];

/// What is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, EnumIter)]
#[strum(serialize_all = "kebab-case")]
enum Part {
    /// Times with an engine that takes no time.
    Instant,
    /// Times with an engine of 5 ms to the first token and 2 ms a token.
    Paced,
    /// Processor time at a node's share of the later size.
    Load,
    /// Memory of open streams through the bare relay.
    StreamsBare,
    /// Memory of open streams through the host.
    StreamsHost,
}

/// Which relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
enum Way {
    /// The bare one.
    Bare,
    /// The host.
    Host,
}

/// Both relays in front of one engine.
struct Scene {
    bare: SocketAddr,
    host: SocketAddr,
    caller: Caller,
}

/// What came of several requests.
struct Tally {
    first: Histogram<u64>,
    whole: Histogram<u64>,
    faults: Vec<End>,
}

fn main() -> ExitCode {
    let parts: Vec<String> = std::env::args().skip(1).collect();
    let measured = match parts.as_slice() {
        [part] => part.parse().map_err(Into::into).and_then(measure),
        parts => all(parts),
    };
    match measured {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the trial did not run: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Measures parts, each in a process of its own.
fn all(parts: &[String]) -> Result<(), Box<dyn std::error::Error>> {
    let me = std::env::current_exe()?;
    for part in Part::iter().map(|part| part.to_string()) {
        if parts.is_empty() || parts.contains(&part) {
            Command::new(&me).arg(&part).status()?;
        }
    }
    Ok(())
}

/// Measures one part.
fn measure(part: Part) -> Result<(), Box<dyn std::error::Error>> {
    let cluster = Cluster::start(&cluster::Plan {
        regions: vec!["north".to_owned()],
        hosts: 1,
        voters: 1,
        fleet: FLEET.to_owned(),
    })?;
    let relays = threads(RELAY)?;
    let runtime = Runtime::new()?;
    let stop = CancellationToken::new();
    let measured = runtime.block_on(async {
        let host = cluster.callers()[0];
        let engine = engine(part, host, &stop).await?;
        let bare = serve(&relays, engine.address()).await?;
        let caller = Caller::new("warm");
        let scene = Scene { bare, host, caller };
        scene.warm().await?;
        match part {
            Part::Instant | Part::Paced => scene.compare(part).await,
            Part::Load => scene.load().await,
            Part::StreamsBare => scene.streams(Way::Bare).await,
            Part::StreamsHost => scene.streams(Way::Host).await,
        }
        Ok(())
    });
    stop.cancel();
    relays.shutdown_background();
    runtime.shutdown_background();
    measured
}

/// A runtime whose threads bear a name.
fn threads(name: &str) -> std::io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(THREADS)
        .thread_name(name)
        .enable_all()
        .build()
}

/// The engine of a part.
async fn engine(
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
        .batch(4_096_u32)
        .queue(4_096_usize)
        .rate(1e12)
        .prefill(Duration::from_millis(prefill))
        .token(Duration::from_millis(token))
        .store(Store::builder().gib(Duration::from_millis(10)).build())
        .entries(vec![host]);
    Ok(engine.start(stop.child_token()).await?)
}

impl Scene {
    /// Waits until the model is loaded and both relays answer.
    async fn warm(&self) -> Result<(), Box<dyn std::error::Error>> {
        let started = Instant::now();
        while started.elapsed() < READY {
            let host = self.caller.ask(self.host, &ask(0, 1, true)).await;
            if host.is_answered() {
                let bare = self.caller.ask(self.bare, &ask(0, 1, true)).await;
                if bare.is_answered() {
                    return Ok(());
                }
                return Err(format!("the bare relay: {bare:?}").into());
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Err("the host did not load the model".into())
    }

    /// Where a relay listens.
    fn address(&self, way: Way) -> SocketAddr {
        match way {
            Way::Bare => self.bare,
            Way::Host => self.host,
        }
    }

    /// Times of both relays in turn, streamed and not.
    async fn compare(&self, part: Part) {
        for stream in [true, false] {
            let mut bare = Tally::new();
            let mut host = Tally::new();
            for round in 0..ROUNDS {
                for (way, tally) in [(Way::Bare, &mut bare), (Way::Host, &mut host)] {
                    tally.take(self.round(way, round, stream).await);
                }
            }
            let kind = if stream { "streamed" } else { "whole" };
            bare.print(&format!("{part} {kind} bare"));
            host.print(&format!("{part} {kind} host"));
            let ratio = |of: fn(&Tally) -> &Histogram<u64>| {
                let [host, bare] = [&host, &bare].map(|tally| of(tally).value_at_quantile(0.5));
                host as f64 / bare.max(1) as f64
            };
            println!(
                "{part} {kind}: the host's p50 is {:.2} times the bare one's (first), {:.2} (whole)",
                ratio(|tally| &tally.first),
                ratio(|tally| &tally.whole),
            );
        }
    }

    /// Some callers, each with one request after the other.
    async fn round(&self, way: Way, round: usize, stream: bool) -> Vec<End> {
        let callers = (0..CALLERS).map(|caller| async move {
            let mut ends = Vec::new();
            for request in 0..REQUESTS {
                let number = (round * CALLERS + caller) * REQUESTS + request;
                let ask = ask(number, TOKENS, stream);
                ends.push(self.caller.ask(self.address(way), &ask).await);
            }
            ends
        });
        join_all(callers).await.into_iter().flatten().collect()
    }

    /// Processor time of both relays at a node's share of the later size.
    async fn load(&self) {
        for way in [Way::Bare, Way::Host, Way::Bare, Way::Host] {
            let name = match way {
                Way::Bare => RELAY.to_owned(),
                Way::Host => cluster::threads(1),
            };
            let before = meter::processor(&name);
            let started = Instant::now();
            let asks = (0..RATE * SPAN).map(|number| async move {
                tokio::time::sleep(Duration::from_secs(1) * number / RATE).await;
                let ask = ask(number as usize, LONG, true);
                self.caller.ask(self.address(way), &ask).await
            });
            let ends = join_all(asks).await;
            let took = started.elapsed().as_secs_f64();
            let spent = meter::processor(&name).saturating_sub(before).as_secs_f64();
            let mut tally = Tally::new();
            tally.take(ends);
            let answers = tally.whole.len() as f64;
            let tokens = answers * LONG as f64;
            tally.print(&format!("load {way}"));
            println!(
                "load {way}: {:.0} tokens/s over {took:.1} s, {:.2} us of a core a token, {:.0} us a \
                 request of {LONG}, {:.2} of a core at 21,200 tokens/s; load average {}",
                tokens / took,
                spent / tokens * 1e6,
                spent / answers * 1e6,
                spent / tokens * 21_200.0,
                meter::load(),
            );
        }
    }

    /// Memory of the process at several counts of open streams.
    async fn streams(&self, way: Way) {
        let address = self.address(way);
        let mut last = (0, meter::resident());
        let mut open = Vec::new();
        for count in STREAMS {
            while open.len() < count {
                let ask = ask(open.len(), 24, true);
                let caller = self.caller.clone();
                open.push(tokio::spawn(async move { caller.ask(address, &ask).await }));
            }
            tokio::time::sleep(Duration::from_millis(2_500)).await;
            let now = meter::resident();
            let ended = open.iter().filter(|open| open.is_finished()).count();
            println!(
                "streams through {way}: {count} open ({ended} ended), {:.1} MB, {:.1} kB a further one",
                now as f64 / 1e6,
                (now as f64 - last.1 as f64) / (count - last.0) as f64 / 1e3,
            );
            last = (count, now);
        }
    }
}

impl Tally {
    /// Nothing yet.
    fn new() -> Self {
        let empty = || Histogram::new_with_bounds(1, LONGEST, 3).expect("the bounds are allowed");
        Self {
            first: empty(),
            whole: empty(),
            faults: Vec::new(),
        }
    }

    /// Adds ends.
    fn take(&mut self, ends: Vec<End>) {
        let micros = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        for end in ends {
            if let End::Answered { first, whole } = end {
                self.first.saturating_record(micros(first));
                self.whole.saturating_record(micros(whole));
            } else {
                self.faults.push(end);
            }
        }
    }

    /// Prints times in microseconds.
    fn print(&self, name: &str) {
        let [first, whole] = [&self.first, &self.whole].map(|times| {
            let at = |part| times.value_at_quantile(part);
            format!("p50 {} p99 {}", at(0.5), at(0.99))
        });
        println!(
            "{name}: {} answered, {} not; us: first {first}, whole {whole}; load average {}",
            self.whole.len(),
            self.faults.len(),
            meter::load(),
        );
        if let Some(fault) = self.faults.first() {
            println!("{name}: one that was not answered: {fault:?}");
        }
    }
}

/// One request.
fn ask(number: usize, tokens: u64, stream: bool) -> Ask {
    Ask {
        model: Reference::base(SUMMARY),
        prompt: format!("the {number}th item"),
        tokens,
        stream,
        class: None,
        deadline: None,
    }
}

/// Connections of the bare relay to the engine.
type Connections = Client<HttpConnector, Full<Bytes>>;

/// Starts the bare relay: it accepts, forwards the request and streams the body back.
async fn serve(runtime: &Runtime, engine: SocketAddr) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    let listener = listener.into_std()?;
    runtime.spawn(async move {
        let Ok(listener) = TcpListener::from_std(listener) else {
            return;
        };
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client: Connections = Client::builder(TokioExecutor::new()).build(connector);
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

/// Forwards one request with the headers that the engine asks for.
async fn forward(
    client: Connections,
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
        .header(MODEL, SUMMARY)
        .header(REPLICA, "1")
        .header(REQUEST_ID, format!("bare-{number}"))
        .body(Full::new(body))?;
    Ok(client.request(request).await?)
}
