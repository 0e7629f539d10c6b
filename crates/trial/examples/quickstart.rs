//! Runs three hosts and four stand-in workers on loopback and sends a burst of requests for three
//! unloaded models.
//!
//! `cargo run --release --example quickstart` prints one row per model and exits with status 1 if a
//! guarantee was violated.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use cornelhitch_standin::engine::Engine;
use cornelhitch_standin::store::Store;
use cornelhitch_trial::caller::{Caller, ModelRequest, Outcome};
use cornelhitch_trial::cluster::{self, Cluster};
use cornelhitch_trial::workers;
use cornelhitch_types::model::Reference;
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use tokio_util::sync::CancellationToken;

/// Number of requests for each model.
const REQUESTS: usize = 40;

/// Length of an answer in tokens.
const MAX_TOKENS: u64 = 12;

/// Upper bound of the histogram. Longer times to first token are counted as this one.
const MAX_RECORDED_MS: u64 = 60_000;

/// Timeout until the first host is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(8);

/// Time after the burst in which the workers finish loads that are in progress.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Settings of the fleet: three models, of which a worker can hold one or two.
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

/// Results for one model.
struct ModelResult {
    model: &'static str,
    outcomes: Vec<Outcome>,
    replicas_decided: u64,
    replicas_loaded: u32,
}

fn main() -> ExitCode {
    tracing_subscriber::fmt()
        .with_env_filter(tracing_subscriber::EnvFilter::from_default_env())
        .with_writer(std::io::stderr)
        .init();
    match run() {
        Ok(violations) if violations.is_empty() => {
            println!("every promise was kept");
            ExitCode::SUCCESS
        }
        Ok(violations) => {
            for line in violations {
                println!("BROKEN: {line}");
            }
            ExitCode::FAILURE
        }
        Err(error) => {
            println!("the run failed: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the burst and returns the violated guarantees.
fn run() -> Result<Vec<String>, Box<dyn std::error::Error>> {
    let regions = ["north", "middle", "south"].map(str::to_owned).to_vec();
    let cluster = Cluster::start(&cluster::ClusterSpec {
        regions: regions.clone(),
        hosts: 3,
        voters: 3,
        fleet: FLEET.to_owned(),
    })?;
    let runtime = tokio::runtime::Runtime::new()?;
    let stop = CancellationToken::new();
    let spec = workers::WorkerSpec {
        regions,
        workers: 4,
        memory: 8 << 30,
        token: Duration::from_millis(2),
        store: Store::builder()
            .starts_per_second(4.0)
            .time_per_gib(Duration::from_millis(100))
            .build(),
    };
    let hosts = cluster.caller_addresses();
    let violations = runtime.block_on(async {
        let engines = workers::start(&spec, &hosts, &stop).await?;
        wait_until_ready(hosts[0]).await?;
        let results = send_burst(&hosts).await;
        tokio::time::sleep(SETTLE_TIME).await;
        let results = add_replica_counts(results, &cluster, &engines).await;
        let mut violations: Vec<String> =
            results.iter().flat_map(ModelResult::violations).collect();
        for engine in &engines {
            let counters = engine.counters();
            if counters.loads_over_capacity > 0 || counters.memory_peak_bytes > spec.memory {
                violations.push(format!("a worker's memory was overcommitted: {counters:?}"));
            }
        }
        Ok::<_, Box<dyn std::error::Error>>(violations)
    });
    stop.cancel();
    runtime.shutdown_background();
    violations
}

/// Waits until a host has the settings and the list of all entry hosts.
async fn wait_until_ready(host: SocketAddr) -> Result<(), String> {
    let caller = Caller::new("probe");
    let started = Instant::now();
    while started.elapsed() < READY_TIMEOUT {
        if caller.fetch_entries(host).await.len() == 3 && knows_settings(&caller, host).await {
            println!("three hosts ready after {:?}", started.elapsed());
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Err(format!("{host} was not ready within {READY_TIMEOUT:?}"))
}

/// Whether a host has the settings. Without them it refuses all requests as isolated; with them it
/// answers a request for an unknown model with 404.
async fn knows_settings(caller: &Caller, host: SocketAddr) -> bool {
    let request = ModelRequest {
        model: Reference::base("nothing"),
        ..model_request("nothing", 0)
    };
    let outcome = caller.request_model(host, &request).await;
    outcome.is_status(http::StatusCode::NOT_FOUND)
}

/// Returns a request for a model, streamed if `number` is even.
fn model_request(model: &str, number: usize) -> ModelRequest {
    ModelRequest {
        model: Reference::base(model),
        prompt: format!("the {number}th item"),
        tokens: MAX_TOKENS,
        stream: number.is_multiple_of(2),
        class: None,
        deadline: None,
    }
}

/// Sends the requests for all models at the same time, distributed over all hosts.
async fn send_burst(hosts: &[SocketAddr]) -> Vec<ModelResult> {
    let models = MODELS.map(|model| async move {
        let requests = (0..REQUESTS).map(|number| async move {
            let caller = Caller::new(format!("caller-{number}"));
            let host = hosts[number % hosts.len()];
            caller
                .request_model(host, &model_request(model, number))
                .await
        });
        ModelResult {
            model,
            outcomes: join_all(requests).await,
            replicas_decided: 0,
            replicas_loaded: 0,
        }
    });
    join_all(models).await
}

/// Adds the replicas decided and loaded to the results, and prints them.
async fn add_replica_counts(
    mut results: Vec<ModelResult>,
    cluster: &Cluster,
    engines: &[Engine],
) -> Vec<ModelResult> {
    let decided = cornelhitch_trial::operator::replicas_decided(cluster).await;
    println!("model     requests answered refused decided loaded     p50     p99");
    for result in &mut results {
        result.replicas_decided = decided.get(result.model).copied().unwrap_or_default();
        result.replicas_loaded = engines
            .iter()
            .map(|engine| engine.counters().loads_of(result.model))
            .sum();
        result.print();
        result.print_refusal_reasons();
    }
    results
}

impl ModelResult {
    /// Prints the row of the model.
    fn print(&self) {
        let mut first_token_times = Histogram::<u64>::new_with_bounds(1, MAX_RECORDED_MS, 3)
            .expect("histogram bounds should be valid");
        for outcome in &self.outcomes {
            if let Outcome::Answered { first_token, .. } = outcome {
                first_token_times
                    .saturating_record(u64::try_from(first_token.as_millis()).unwrap_or(u64::MAX));
            }
        }
        let refused = self
            .outcomes
            .iter()
            .filter(|outcome| matches!(outcome, Outcome::Refused { .. }));
        println!(
            "{:9} {:8} {:8} {:7} {:7} {:6} {:4} ms {:4} ms",
            self.model,
            self.outcomes.len(),
            first_token_times.len(),
            refused.count(),
            self.replicas_decided,
            self.replicas_loaded,
            first_token_times.value_at_quantile(0.5),
            first_token_times.value_at_quantile(0.99),
        );
    }

    /// Prints the distinct reasons of refusals, with their counts.
    fn print_refusal_reasons(&self) {
        let mut reasons = BTreeMap::<&str, usize>::new();
        for outcome in &self.outcomes {
            if let Outcome::Refused { detail, .. } = outcome {
                *reasons.entry(detail).or_default() += 1;
            }
        }
        for (reason, count) in reasons {
            println!("  {}: {count} refused: {reason}", self.model);
        }
    }

    /// Returns the violated guarantees: each request is answered or refused as not run, at least one
    /// is answered, and no more replicas are loaded than were decided.
    fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for outcome in &self.outcomes {
            if !outcome.is_answered() && !outcome.is_not_run() {
                violations.push(format!("{}: {outcome:?}", self.model));
            }
        }
        if u64::from(self.replicas_loaded) > self.replicas_decided {
            violations.push(format!(
                "{}: {} replicas loaded, {} decided",
                self.model, self.replicas_loaded, self.replicas_decided
            ));
        }
        if !self.outcomes.iter().any(Outcome::is_answered) {
            violations.push(format!("{}: no request was answered", self.model));
        }
        violations
    }
}
