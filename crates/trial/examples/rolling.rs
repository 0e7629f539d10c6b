//! Restarts all nine hosts of a cluster one after another under load, and checks that no request is
//! interrupted.
//!
//! `cargo run --release --example rolling` starts callers that choose their host from
//! `/v1/entries`, and drains and restarts each host. The exit status is 1 if a request was
//! interrupted.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use cornelhitch_standin::store::Store;
use cornelhitch_trial::caller::{Caller, ModelRequest, Outcome};
use cornelhitch_trial::cluster::{Cluster, ClusterSpec};
use cornelhitch_trial::workers;
use cornelhitch_types::model::Reference;
use tokio_util::sync::CancellationToken;

/// Number of hosts and of the voters among them.
const HOSTS: usize = 9;
const VOTERS: usize = 3;

/// Number of concurrent callers, each with one request in flight.
const CALLERS: usize = 40;

/// Time for which a caller caches the response of `/v1/entries`; shorter than the `max-age` of 7 to
/// 10 s that hosts send.
const ENTRIES_TTL: Duration = Duration::from_secs(5);

/// Time limit for draining a host.
const DRAIN_TIMEOUT: Duration = Duration::from_mins(1);

/// Settings of the fleet.
const FLEET: &str = "
loading: { starts-per-second: 4.0, remote-ms-per-gib: 100 }
regions: [{ name: a }, { name: b }, { name: c }]
models: [{ name: report, bytes: 1073741824 }, { name: preview, bytes: 1073741824 }]
";

fn main() -> ExitCode {
    match run() {
        Ok(0) => ExitCode::SUCCESS,
        Ok(interrupted) => {
            println!("BROKEN: {interrupted} requests were cut off");
            ExitCode::FAILURE
        }
        Err(error) => {
            println!("the run failed: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Restarts all hosts and returns the number of interrupted requests.
fn run() -> Result<usize, Box<dyn std::error::Error>> {
    let regions = ["a", "b", "c"].map(str::to_owned).to_vec();
    let mut cluster = Cluster::start(&ClusterSpec {
        regions: regions.clone(),
        hosts: HOSTS,
        voters: VOTERS,
        fleet: FLEET.to_owned(),
    })?;
    let runtime = tokio::runtime::Runtime::new()?;
    let stop = CancellationToken::new();
    let hosts = cluster.caller_addresses();
    let spec = workers::WorkerSpec {
        regions,
        workers: 4,
        memory: 4 << 30,
        token: Duration::from_millis(5),
        store: Store::builder()
            .starts_per_second(4.0)
            .time_per_gib(Duration::from_millis(100))
            .build(),
    };
    let _engines = runtime.block_on(workers::start(&spec, &hosts, &stop))?;
    std::thread::sleep(Duration::from_secs(5));
    let stop_callers = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| runtime.spawn(run_caller(number, hosts.clone(), stop_callers.clone())))
        .collect();
    for index in 0..HOSTS {
        let started = Instant::now();
        let host = cluster.take_running(index);
        let ended = host.is_none_or(|host| host.drain(DRAIN_TIMEOUT));
        println!(
            "host {}: ended {ended} after {:?}",
            index + 1,
            started.elapsed()
        );
        cluster.restart(index)?;
        std::thread::sleep(Duration::from_secs(3));
    }
    stop_callers.store(true, Ordering::Relaxed);
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for caller in callers {
        for outcome in runtime.block_on(caller)? {
            *counts.entry(outcome_label(&outcome)).or_default() += 1;
        }
    }
    println!("{counts:?}");
    stop.cancel();
    runtime.shutdown_background();
    let interrupted = ["broken off", "cut off", "wrong"];
    Ok(interrupted
        .iter()
        .filter_map(|label| counts.get(label))
        .sum())
}

/// Sends requests one after another to the first host of `/v1/entries` until `stop_callers` is set.
async fn run_caller(
    number: usize,
    hosts: Vec<SocketAddr>,
    stop_callers: Arc<AtomicBool>,
) -> Vec<Outcome> {
    let caller = Caller::new(format!("caller-{number}"));
    let mut outcomes = Vec::new();
    let mut entries: Vec<SocketAddr> = Vec::new();
    let mut fetched_at = Instant::now();
    let mut sequence = 0;
    while !stop_callers.load(Ordering::Relaxed) {
        sequence += 1;
        if entries.is_empty() || fetched_at.elapsed() > ENTRIES_TTL {
            // Any host can answer; the next one is tried if a host is down.
            for host in hosts.iter().cycle().skip(number + sequence).take(HOSTS) {
                entries = caller.fetch_entries(*host).await;
                if !entries.is_empty() {
                    break;
                }
            }
            fetched_at = Instant::now();
        }
        let Some(host) = entries.first().copied() else {
            continue;
        };
        let outcome = caller
            .request_model(host, &model_request(number, sequence))
            .await;
        if !outcome.is_answered() {
            entries.clear();
        }
        outcomes.push(outcome);
    }
    outcomes
}

/// Returns a request, streamed if `sequence` is even.
fn model_request(number: usize, sequence: usize) -> ModelRequest {
    ModelRequest {
        model: Reference::base(if number.is_multiple_of(2) {
            "report"
        } else {
            "preview"
        }),
        prompt: format!("{number}/{sequence}"),
        tokens: 40,
        stream: sequence.is_multiple_of(2),
        class: None,
        deadline: None,
    }
}

/// Returns the label under which an outcome is counted. A failed connection attempt does
/// not count as an interruption, since the request reached no host.
fn outcome_label(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Answered { .. } => "answered",
        Outcome::Refused { .. } if outcome.is_not_run() => "refused, not run",
        Outcome::Refused { .. } => "refused",
        Outcome::Interrupted { .. } => "broken off",
        Outcome::Lost { detail } if detail.contains("Connect") => "no connection",
        Outcome::Lost { .. } => "cut off",
        Outcome::Wrong { .. } => "wrong",
    }
}
