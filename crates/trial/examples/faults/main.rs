//! Injects faults into a complete system and checks its guarantees from the outside.
//!
//! `cargo run --release --example faults -- [SEEDS] [FIRST SEED] [SECONDS]`
//! starts nine hosts, twelve model workers and three workers of a plain service
//! on loopback for each seed, puts them under load, injects faults by a schedule
//! derived from the seed, and checks what callers, targets and operators observe.
//! The exit status is 1 if a guarantee was violated or a run failed.

mod checks;
mod load;
mod schedule;

use std::process::ExitCode;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use cornelhitch_standin::engine::Engine;
use cornelhitch_standin::service::Service;
use cornelhitch_standin::store::Store;
use cornelhitch_trial::caller::Caller;
use cornelhitch_trial::cluster::{self, Cluster};
use cornelhitch_trial::workers;
use tokio_util::sync::CancellationToken;

/// Number of hosts and of the voters among them.
const HOSTS: usize = 9;
const VOTERS: usize = 3;

/// Number of model workers and the accelerator memory of each.
const MODEL_WORKERS: usize = 12;
const WORKER_MEMORY_BYTES: u64 = 16 << 30;

/// Number of workers of the plain service.
const SERVICE_WORKERS: usize = 3;

/// Timeout until all hosts are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after the load for recovery, in which the settings versions are still watched.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// Returns the settings of the fleet. Operators change the limit `queue`.
#[must_use]
pub fn fleet_settings(queue: u32) -> String {
    let models: Vec<String> = (1..=8_u64)
        .map(|n| {
            let bytes = (n % 4 + 2) << 30;
            format!("  - {{ name: model-{n}, bytes: {bytes}, class: lane }}")
        })
        .collect();
    let models = models.join("\n");
    format!(
        "loading: {{ starts-per-second: 4.0, concurrency: 4, remote-ms-per-gib: 100 }}
placing: {{ replicas: 3 }}
refusing: {{ queue: {queue}, deadline-ms: 10000 }}
regions: [{{ name: perth-a }}, {{ name: bunbury-a }}, {{ name: kalgoorlie-a }}]
classes: [{{ name: lane, weight: 10, deadline-ms: 8000 }}, {{ name: bid, weight: 12, deadline-ms: 5000 }}]
models:
{models}
services: [{{ name: auction, class: bid }}]
"
    )
}

/// State that the tasks of one run share.
pub struct Trial {
    /// Cluster under test.
    pub cluster: Mutex<Cluster>,
    /// Model workers.
    pub engines: Vec<Engine>,
    /// Workers of the plain service.
    pub services: Vec<Service>,
    /// Weight store of all model workers.
    pub store: Store,
    /// Record of the run.
    pub log: Mutex<checks::TrialLog>,
    /// Start of the run.
    pub started: Instant,
}

impl Trial {
    /// Cluster under test.
    pub fn cluster(&self) -> std::sync::MutexGuard<'_, Cluster> {
        self.cluster.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Record of the run.
    pub fn log(&self) -> std::sync::MutexGuard<'_, checks::TrialLog> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn main() -> ExitCode {
    tracing_subscriber::fmt()
        .with_env_filter(tracing_subscriber::EnvFilter::from_default_env())
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .init();
    let mut numbers = std::env::args().skip(1).map(|text| text.parse::<u64>());
    let mut number = |default| numbers.next().and_then(Result::ok).unwrap_or(default);
    let (seeds, first, seconds) = (number(1), number(1), number(20));
    let mut broken = 0;
    for seed in first..first + seeds {
        match run(seed, Duration::from_secs(seconds)) {
            Ok(found) if found.is_empty() => println!("seed {seed}: every promise was kept"),
            Ok(found) => {
                broken += 1;
                for violation in found {
                    println!("seed {seed}: BROKEN: {violation}");
                }
            }
            Err(error) => {
                broken += 1;
                println!("seed {seed}: the run failed: {error}");
            }
        }
    }
    println!("{broken} of {seeds} seeds broke a promise");
    if broken == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Runs one seed and returns the violations.
fn run(seed: u64, length: Duration) -> Result<Vec<String>, Box<dyn std::error::Error>> {
    let regions = ["perth-a", "bunbury-a", "kalgoorlie-a"]
        .map(str::to_owned)
        .to_vec();
    let cluster = Cluster::start(&cluster::ClusterSpec {
        regions: regions.clone(),
        hosts: HOSTS,
        voters: VOTERS,
        fleet: fleet_settings(1_000),
    })?;
    let runtime = tokio::runtime::Runtime::new()?;
    let stop = CancellationToken::new();
    let hosts = cluster.caller_addresses();
    let store = Store::builder()
        .starts_per_second(4.0)
        .time_per_gib(Duration::from_millis(100))
        .build();
    let spec = workers::WorkerSpec {
        regions,
        workers: MODEL_WORKERS,
        memory: WORKER_MEMORY_BYTES,
        token: Duration::from_millis(5),
        store: store.clone(),
    };
    let violations = runtime.block_on(async {
        let engines = workers::start(&spec, &hosts, &stop).await?;
        let services = start_services(&spec.regions, &hosts, &stop).await?;
        let trial = Arc::new(Trial {
            cluster: Mutex::new(cluster),
            engines,
            services,
            store,
            log: Mutex::default(),
            started: Instant::now(),
        });
        wait_until_ready(&hosts).await?;
        let stop_at = Instant::now() + length;
        let faults = std::thread::spawn({
            let trial = trial.clone();
            move || schedule::run(&trial, seed, stop_at)
        });
        let watching = tokio::spawn(checks::watch_settings(trial.clone(), stop_at + SETTLE_TIME));
        let operating = tokio::spawn(load::run_operators(trial.clone(), stop_at));
        load::run(&trial, seed, stop_at).await;
        operating.await?;
        let joined = tokio::task::spawn_blocking(move || faults.join()).await?;
        joined.map_err(|_| "the fault schedule panicked")?;
        watching.await?;
        Ok::<_, Box<dyn std::error::Error>>(checks::violations(&trial, WORKER_MEMORY_BYTES).await)
    });
    stop.cancel();
    runtime.shutdown_background();
    violations
}

/// Starts the workers of the plain service, distributed over the regions.
async fn start_services(
    regions: &[String],
    entries: &[std::net::SocketAddr],
    stop: &CancellationToken,
) -> std::io::Result<Vec<Service>> {
    let mut services = Vec::new();
    for (index, region) in regions.iter().cycle().take(SERVICE_WORKERS).enumerate() {
        let service = Service::builder()
            .name(format!("auction-{}", index + 1))
            .service("auction")
            .region(region.as_str())
            .zone(format!("{region}-1"))
            .delay(Duration::from_millis(30))
            .entries(entries.to_vec())
            .start(stop.child_token())
            .await?;
        services.push(service);
    }
    Ok(services)
}

/// Waits until every host relays a request to the plain service.
async fn wait_until_ready(hosts: &[std::net::SocketAddr]) -> Result<(), String> {
    let caller = Caller::new("probe");
    let started = Instant::now();
    for host in hosts {
        loop {
            let outcome = caller
                .call_service(*host, http::Method::GET, "auction/stock", None, "")
                .await;
            if outcome.is_answered() {
                break;
            }
            if started.elapsed() > READY_TIMEOUT {
                return Err(format!(
                    "{host} was not ready within {READY_TIMEOUT:?}: {outcome:?}"
                ));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}
