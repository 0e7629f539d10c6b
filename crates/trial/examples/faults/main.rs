//! The whole system under faults, judged from the outside alone.
//!
//! `cargo run --release --example faults -- [SEEDS] [FIRST SEED] [SECONDS]`
//! starts nine hosts, twelve model workers and three workers of plain services
//! on loopback for each seed, loads them, breaks them by a schedule that
//! follows from the seed, and checks the promises from the callers', the
//! targets' and the operators' side. It ends with status 1 if one was broken.

mod load;
mod schedule;
mod verdict;

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

/// Entry hosts, and how many of them vote.
const HOSTS: usize = 9;
const VOTERS: usize = 3;

/// Model workers and their memory in bytes.
const WORKERS: usize = 12;
const MEMORY: u64 = 16 << 30;

/// Workers of plain services.
const SERVICES: usize = 3;

/// Time that the cluster may take to be ready.
const READY: Duration = Duration::from_secs(10);

/// Time after the load in which everything recovers.
const SETTLE: Duration = Duration::from_secs(6);

/// The fleet's settings, with a number that operators change.
pub fn fleet(queue: u32) -> String {
    let models: String = (1..=8_u64)
        .map(|n| {
            format!(
                "  - {{ name: model-{n}, bytes: {}, class: lane }}\n",
                (n % 4 + 2) << 30
            )
        })
        .collect();
    format!(
        "loading: {{ starts-per-second: 4.0, concurrency: 4, remote-ms-per-gib: 100 }}
placing: {{ replicas: 3 }}
refusing: {{ queue: {queue}, deadline-ms: 10000 }}
regions: [{{ name: perth-a }}, {{ name: bunbury-a }}, {{ name: kalgoorlie-a }}]
classes: [{{ name: lane, weight: 10, deadline-ms: 8000 }}, {{ name: bid, weight: 12, deadline-ms: 5000 }}]
models:
{models}services: [{{ name: auction, class: bid }}]
"
    )
}

/// What the tasks of one trial share.
pub struct Trial {
    /// The hosts.
    pub cluster: Mutex<Cluster>,
    /// Model workers.
    pub engines: Vec<Engine>,
    /// Workers of plain services.
    pub services: Vec<Service>,
    /// The weight store.
    pub store: Store,
    /// What happened.
    pub log: Mutex<verdict::Log>,
    /// When the trial began.
    pub started: Instant,
}

impl Trial {
    /// The hosts.
    pub fn cluster(&self) -> std::sync::MutexGuard<'_, Cluster> {
        self.cluster.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What happened.
    pub fn log(&self) -> std::sync::MutexGuard<'_, verdict::Log> {
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
    let mut number = |fallback| numbers.next().and_then(Result::ok).unwrap_or(fallback);
    let (seeds, first, seconds) = (number(1), number(1), number(20));
    let mut broken = 0;
    for seed in first..first + seeds {
        match run(seed, Duration::from_secs(seconds)) {
            Ok(faults) if faults.is_empty() => println!("seed {seed}: every promise was kept"),
            Ok(faults) => {
                broken += 1;
                for fault in faults {
                    println!("seed {seed}: BROKEN: {fault}");
                }
            }
            Err(error) => {
                broken += 1;
                println!("seed {seed}: the trial did not run: {error}");
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

/// Runs one seed and returns what broke a promise.
fn run(seed: u64, length: Duration) -> Result<Vec<String>, Box<dyn std::error::Error>> {
    let regions = ["perth-a", "bunbury-a", "kalgoorlie-a"]
        .map(str::to_owned)
        .to_vec();
    let cluster = Cluster::start(&cluster::Plan {
        regions: regions.clone(),
        hosts: HOSTS,
        voters: VOTERS,
        fleet: fleet(1_000),
    })?;
    let runtime = tokio::runtime::Runtime::new()?;
    let stop = CancellationToken::new();
    let hosts = cluster.callers();
    let store = Store::builder().gib(Duration::from_millis(100)).build();
    let plan = workers::Plan {
        regions,
        workers: WORKERS,
        memory: MEMORY,
        token: Duration::from_millis(5),
        store: store.clone(),
    };
    let faults = runtime.block_on(async {
        let engines = workers::start(&plan, &hosts, &stop).await?;
        let services = services(&plan.regions, &hosts, &stop).await?;
        let trial = Arc::new(Trial {
            cluster: Mutex::new(cluster),
            engines,
            services,
            store,
            log: Mutex::default(),
            started: Instant::now(),
        });
        ready(&hosts).await?;
        let end = Instant::now() + length;
        let faults = std::thread::spawn({
            let trial = trial.clone();
            move || schedule::run(&trial, seed, end)
        });
        let watching = tokio::spawn(verdict::watch(trial.clone(), end + SETTLE));
        let operating = tokio::spawn(load::operators(trial.clone(), end));
        load::run(&trial, seed, end).await;
        operating.await?;
        let joined = tokio::task::spawn_blocking(move || faults.join()).await?;
        joined.map_err(|_| "the schedule panicked")?;
        watching.await?;
        Ok::<_, Box<dyn std::error::Error>>(verdict::judge(&trial, MEMORY).await)
    });
    stop.cancel();
    runtime.shutdown_background();
    faults
}

/// Starts the workers of the plain service.
async fn services(
    regions: &[String],
    entries: &[std::net::SocketAddr],
    stop: &CancellationToken,
) -> std::io::Result<Vec<Service>> {
    let mut services = Vec::new();
    for (index, region) in regions.iter().cycle().take(SERVICES).enumerate() {
        let service = Service::builder()
            .name(format!("auction-{}", index + 1))
            .runs("auction")
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

/// Waits until a bid is answered through every host.
async fn ready(hosts: &[std::net::SocketAddr]) -> Result<(), String> {
    let caller = Caller::new("probe");
    let started = Instant::now();
    for host in hosts {
        loop {
            let end = caller
                .call(*host, http::Method::GET, "auction/stock", None, "")
                .await;
            if end.is_answered() {
                break;
            }
            if started.elapsed() > READY {
                return Err(format!("{host} was not ready within {READY:?}: {end:?}"));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}
