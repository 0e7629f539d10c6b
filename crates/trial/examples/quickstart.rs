//! Three hosts and four stand-in workers on loopback, and a burst of first requests.
//!
//! `cargo run --release --example quickstart` prints a row a model, and ends
//! with status 1 if a promise was broken.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use cornelhitch_standin::engine::Engine;
use cornelhitch_standin::store::Store;
use cornelhitch_trial::caller::{Ask, Caller, End};
use cornelhitch_trial::cluster::{self, Cluster};
use cornelhitch_trial::workers;
use cornelhitch_types::model::Reference;
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use tokio_util::sync::CancellationToken;

/// First requests for each model.
const REQUESTS: usize = 40;

/// Tokens of an answer.
const TOKENS: u64 = 12;

/// The longest time to a first token that is told apart, in milliseconds.
const LONGEST_MS: u64 = 60_000;

/// Time that the cluster may take to be ready.
const READY: Duration = Duration::from_secs(8);

/// Time after the burst in which the workers' counts settle.
const SETTLE: Duration = Duration::from_millis(1_500);

/// The fleet's settings: three models on workers that hold one or two each.
const FLEET: &str = "
loading: { starts-per-second: 4.0, concurrency: 4, remote-ms-per-gib: 100 }
placing: { replicas: 2 }
regions: [{ name: north }, { name: middle }, { name: south }]
classes: [{ name: counter, weight: 10, deadline-ms: 8000 }]
models:
  - { name: summary, bytes: 4294967296, class: counter }
  - { name: preview, bytes: 2147483648, class: counter }
  - { name: review, bytes: 6442450944, class: counter }
";

/// The models of [`FLEET`].
const MODELS: [&str; 3] = ["summary", "preview", "review"];

/// What came of one model's requests.
struct Row {
    model: &'static str,
    ends: Vec<End>,
    decided: u64,
    loaded: u32,
}

fn main() -> ExitCode {
    tracing_subscriber::fmt()
        .with_env_filter(tracing_subscriber::EnvFilter::from_default_env())
        .with_writer(std::io::stderr)
        .init();
    match run() {
        Ok(broken) if broken.is_empty() => {
            println!("every promise was kept");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            for line in broken {
                println!("BROKEN: {line}");
            }
            ExitCode::FAILURE
        }
        Err(error) => {
            println!("the trial did not run: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the burst and returns what broke a promise.
fn run() -> Result<Vec<String>, Box<dyn std::error::Error>> {
    let regions = ["north", "middle", "south"].map(str::to_owned).to_vec();
    let cluster = Cluster::start(&cluster::Plan {
        regions: regions.clone(),
        hosts: 3,
        voters: 3,
        fleet: FLEET.to_owned(),
    })?;
    let runtime = tokio::runtime::Runtime::new()?;
    let stop = CancellationToken::new();
    let plan = workers::Plan {
        regions,
        workers: 4,
        memory: 8 << 30,
        token: Duration::from_millis(2),
        store: Store::builder()
            .starts(4.0)
            .gib(Duration::from_millis(100))
            .build(),
    };
    let hosts = cluster.callers();
    let broken = runtime.block_on(async {
        let engines = workers::start(&plan, &hosts, &stop).await?;
        ready(hosts[0]).await?;
        let rows = burst(&hosts).await;
        tokio::time::sleep(SETTLE).await;
        let rows = count(rows, &cluster, &engines).await;
        let mut broken: Vec<String> = rows.iter().flat_map(Row::broken).collect();
        for engine in &engines {
            let counters = engine.counters();
            if counters.overcommits > 0 || counters.memory_peak > plan.memory {
                broken.push(format!("a worker's memory was overcommitted: {counters:?}"));
            }
        }
        Ok::<_, Box<dyn std::error::Error>>(broken)
    });
    stop.cancel();
    runtime.shutdown_background();
    broken
}

/// Waits until a host takes requests.
async fn ready(host: SocketAddr) -> Result<(), String> {
    let caller = Caller::new("probe");
    let started = Instant::now();
    while started.elapsed() < READY {
        if caller.entries(host).await.len() == 3 && models(&caller, host).await {
            println!("three hosts ready after {:?}", started.elapsed());
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Err(format!("the hosts were not ready within {READY:?}"))
}

/// Whether a host knows the settings: an unknown model is told from an isolated host.
async fn models(caller: &Caller, host: SocketAddr) -> bool {
    let ask = Ask {
        model: Reference::base("nothing"),
        ..ask("nothing", 0)
    };
    let end = caller.ask(host, &ask).await;
    end.is_status(http::StatusCode::NOT_FOUND)
}

/// A request for a model.
fn ask(model: &str, number: usize) -> Ask {
    Ask {
        model: Reference::base(model),
        prompt: format!("the {number}th item"),
        tokens: TOKENS,
        stream: number.is_multiple_of(2),
        class: None,
        deadline: None,
    }
}

/// Sends the first requests for all models at once, to all hosts.
async fn burst(hosts: &[SocketAddr]) -> Vec<Row> {
    let asks = MODELS.map(|model| async move {
        let requests = (0..REQUESTS).map(|number| async move {
            let caller = Caller::new(format!("caller-{number}"));
            let host = hosts[number % hosts.len()];
            caller.ask(host, &ask(model, number)).await
        });
        Row {
            model,
            ends: join_all(requests).await,
            decided: 0,
            loaded: 0,
        }
    });
    join_all(asks).await
}

/// Adds what was decided and what was loaded.
async fn count(mut rows: Vec<Row>, cluster: &Cluster, engines: &[Engine]) -> Vec<Row> {
    let decided = cornelhitch_trial::operator::decided(cluster).await;
    println!("model     requests answered refused decided loaded     p50     p99");
    for row in &mut rows {
        row.decided = decided.get(row.model).copied().unwrap_or_default();
        row.loaded = engines
            .iter()
            .map(|engine| engine.counters().loads_of(row.model))
            .sum();
        row.print();
        row.explain();
    }
    rows
}

impl Row {
    /// Prints the row.
    fn print(&self) {
        let mut times = Histogram::<u64>::new_with_bounds(1, LONGEST_MS, 3).expect("bounds");
        for end in &self.ends {
            if let End::Answered { first, .. } = end {
                times.saturating_record(u64::try_from(first.as_millis()).unwrap_or(u64::MAX));
            }
        }
        let refused = self
            .ends
            .iter()
            .filter(|end| matches!(end, End::Refused { .. }));
        println!(
            "{:9} {:8} {:8} {:7} {:7} {:6} {:4} ms {:4} ms",
            self.model,
            self.ends.len(),
            times.len(),
            refused.count(),
            self.decided,
            self.loaded,
            times.value_at_quantile(0.5),
            times.value_at_quantile(0.99),
        );
    }

    /// Prints why requests were refused, a line a reason.
    fn explain(&self) {
        let mut reasons = BTreeMap::<&str, usize>::new();
        for end in &self.ends {
            if let End::Refused { detail, .. } = end {
                *reasons.entry(detail).or_default() += 1;
            }
        }
        for (reason, count) in reasons {
            println!("  {}: {count} refused: {reason}", self.model);
        }
    }

    /// What broke a promise.
    fn broken(&self) -> Vec<String> {
        let mut broken = Vec::new();
        for end in &self.ends {
            if !end.is_answered() && !end.is_not_run() {
                broken.push(format!("{}: {end:?}", self.model));
            }
        }
        if u64::from(self.loaded) > self.decided {
            broken.push(format!(
                "{}: {} replicas loaded, {} decided",
                self.model, self.loaded, self.decided
            ));
        }
        if !self.ends.iter().any(End::is_answered) {
            broken.push(format!("{}: no request was answered", self.model));
        }
        broken
    }
}
