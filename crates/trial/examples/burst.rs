//! Measures a cold start under load: 200 simultaneous requests for one unloaded model through nine
//! hosts.
//!
//! `cargo run --release -p cornelhitch-trial --example burst [RUNS]`; each run starts a new cluster.
//! The exit status is 1 if a run fails, if a request is neither answered nor refused as not run,
//! if no request is answered, or if the number of loaded replicas differs from the number decided.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use cornelhitch_standin::engine::Engine;
use cornelhitch_standin::store::Store;
use cornelhitch_trial::caller::{Caller, ModelRequest, Outcome};
use cornelhitch_trial::cluster::{self, Cluster};
use cornelhitch_trial::{operator, process_stats, workers};
use cornelhitch_types::model::Reference;
use cornelhitch_types::target::Stage;
use futures_util::future::join_all;
use tokio_util::sync::CancellationToken;

/// Number of runs if the argument is missing.
const DEFAULT_RUNS: usize = 5;

/// Number of hosts, of which the first three are voters.
const HOSTS: usize = 9;

/// Number of requests in the burst.
const REQUESTS: usize = 200;

/// Length of an answer in tokens.
const MAX_TOKENS: u64 = 4;

/// Time before the burst in which the hosts elect a leader and the workers announce themselves.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Interval at which the inventories of the workers are read.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Load time of the model from the stand-in store: 4 GiB at 100 ms per GiB.
const BARE_LOAD_TIME: Duration = Duration::from_millis(400);

/// Settings of the fleet.
const FLEET: &str = "
loading: { starts-per-second: 4.0, concurrency: 4, remote-ms-per-gib: 100 }
placing: { replicas: 2, concurrency: 16 }
regions: [{ name: north }, { name: middle }, { name: south }]
models:
  - { name: summary, bytes: 4294967296 }
";

/// Name of the model in [`FLEET`].
const MODEL: &str = "summary";

/// Times from the start of the burst until any worker first had the model in a stage; `None` if it
/// was not observed.
#[derive(Debug, Default)]
struct LoadTimes {
    first_loading: Option<Duration>,
    first_ready: Option<Duration>,
}

/// Results of one run.
struct RunResult {
    outcomes: Vec<Outcome>,
    load_times: LoadTimes,
    replicas_decided: u64,
    replicas_loaded: u32,
}

fn main() -> ExitCode {
    let argument = std::env::args().nth(1);
    let runs = argument
        .and_then(|runs| runs.parse().ok())
        .unwrap_or(DEFAULT_RUNS);
    println!(
        "bare load {} ms; times in ms after the burst began",
        BARE_LOAD_TIME.as_millis()
    );
    println!(
        "| run | answered | refused | lost or wrong | decided | loaded | load begins | load ends | \
         first token: first | p50 | last | added | load average |"
    );
    println!("|{}", " --- |".repeat(13));
    let mut passed = true;
    for number in 1..=runs {
        match run() {
            Ok(outcome) => passed &= outcome.print(number),
            Err(error) => {
                println!("run {number} failed: {error}");
                passed = false;
            }
        }
    }
    if passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Sends the burst to a new cluster.
fn run() -> Result<RunResult, Box<dyn std::error::Error>> {
    let regions = ["north", "middle", "south"].map(str::to_owned).to_vec();
    let cluster = Cluster::start(&cluster::ClusterSpec {
        regions: regions.clone(),
        hosts: HOSTS,
        voters: 3,
        fleet: FLEET.to_owned(),
    })?;
    let runtime = tokio::runtime::Runtime::new()?;
    let stop = CancellationToken::new();
    let spec = workers::WorkerSpec {
        regions,
        workers: 6,
        memory: 8 << 30,
        token: Duration::from_millis(2),
        store: Store::builder()
            .time_per_gib(Duration::from_millis(100))
            .build(),
    };
    let outcome = runtime.block_on(async {
        let hosts = cluster.caller_addresses();
        let engines = workers::start(&spec, &hosts, &stop).await?;
        tokio::time::sleep(SETTLE_TIME).await;
        let started = Instant::now();
        let requests = (0..REQUESTS).map(|number| async move {
            let caller = Caller::new(format!("caller-{number}"));
            let host = host_index(number);
            (caller, host, model_request(number))
        });
        let requests = join_all(requests).await;
        let burst = requests
            .iter()
            .map(|(caller, host, request)| caller.request_model(hosts[*host], request));
        let (outcomes, load_times) = tokio::join!(join_all(burst), watch_load(&engines, started));
        tokio::time::sleep(Duration::from_secs(1)).await;
        let decided = operator::replicas_decided(&cluster).await;
        Ok::<_, Box<dyn std::error::Error>>(RunResult {
            outcomes,
            load_times,
            replicas_decided: decided.get(MODEL).copied().unwrap_or_default(),
            replicas_loaded: engines
                .iter()
                .map(|engine| engine.counters().loads_of(MODEL))
                .sum(),
        })
    });
    stop.cancel();
    runtime.shutdown_background();
    outcome
}

/// Returns the index of the host that receives a request.
fn host_index(number: usize) -> usize {
    number % HOSTS
}

/// Returns the request with the given number.
fn model_request(number: usize) -> ModelRequest {
    ModelRequest {
        model: Reference::base(MODEL),
        prompt: format!("the {number}th item"),
        tokens: MAX_TOKENS,
        stream: true,
        class: None,
        deadline: None,
    }
}

/// Reads the inventories until a worker has the model ready, for at most about ten seconds.
async fn watch_load(engines: &[Engine], started: Instant) -> LoadTimes {
    let mut load_times = LoadTimes::default();
    while load_times.first_ready.is_none() && started.elapsed() < Duration::from_secs(10) {
        for engine in engines {
            for copy in engine.inventory() {
                if copy.stage >= Stage::Loading {
                    load_times
                        .first_loading
                        .get_or_insert_with(|| started.elapsed());
                }
                if copy.stage == Stage::Ready {
                    load_times
                        .first_ready
                        .get_or_insert_with(|| started.elapsed());
                }
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    load_times
}

impl RunResult {
    /// Prints a row of the table. Returns whether the run passed.
    fn print(&self, number: usize) -> bool {
        let mut firsts: Vec<Duration> = self.outcomes.iter().filter_map(first_token_time).collect();
        firsts.sort_unstable();
        let refused = self
            .outcomes
            .iter()
            .filter(|outcome| outcome.is_not_run())
            .count();
        let failed = self.outcomes.len() - firsts.len() - refused;
        let first = firsts.first().copied().unwrap_or_default();
        println!(
            "| {number} | {} | {refused} | {failed} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
            firsts.len(),
            self.replicas_decided,
            self.replicas_loaded,
            format_millis(self.load_times.first_loading),
            format_millis(self.load_times.first_ready),
            first.as_millis(),
            format_millis(firsts.get(firsts.len() / 2).copied()),
            format_millis(firsts.last().copied()),
            first.saturating_sub(BARE_LOAD_TIME).as_millis(),
            process_stats::load_average(),
        );
        self.print_failures();
        failed == 0
            && u64::from(self.replicas_loaded) == self.replicas_decided
            && !firsts.is_empty()
    }

    /// Prints the distinct outcomes of requests that were not answered, with their counts.
    fn print_failures(&self) {
        let mut kinds = BTreeMap::<String, usize>::new();
        for outcome in self
            .outcomes
            .iter()
            .filter(|outcome| !outcome.is_answered())
        {
            let kind = match outcome {
                Outcome::Refused { detail, .. } => format!("refused: {detail}"),
                other => format!("{other:?}"),
            };
            *kinds.entry(kind).or_default() += 1;
        }
        for (kind, count) in kinds {
            println!("{count}: {kind}");
        }
    }
}

/// Returns the time to first token, or `None` if the request was not answered.
fn first_token_time(outcome: &Outcome) -> Option<Duration> {
    match outcome {
        Outcome::Answered { first_token, .. } => Some(*first_token),
        _ => None,
    }
}

/// Formats a time in milliseconds.
fn format_millis(time: Option<Duration>) -> String {
    time.map_or_else(
        || "not seen".to_owned(),
        |time| time.as_millis().to_string(),
    )
}
