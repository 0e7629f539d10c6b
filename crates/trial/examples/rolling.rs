//! A rolling restart of all nine hosts under load, which cuts off no request.
//!
//! `cargo run --release --example rolling` lets callers follow `/v1/entries`,
//! shuts one host down after another gracefully and starts it again, and counts
//! what was cut off. It ends with status 1 if anything was.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use cornelhitch_standin::store::Store;
use cornelhitch_trial::caller::{Ask, Caller, End};
use cornelhitch_trial::cluster::{Cluster, Plan};
use cornelhitch_trial::workers;
use cornelhitch_types::model::Reference;
use tokio_util::sync::CancellationToken;

/// Hosts, and how many of them vote.
const HOSTS: usize = 9;
const VOTERS: usize = 3;

/// Callers that ask one request after another.
const CALLERS: usize = 40;

/// Time that a caller keeps an answer of `/v1/entries`; hosts name 7 to 10 s.
const KEPT: Duration = Duration::from_secs(5);

/// Time that a graceful shutdown may take.
const DRAIN: Duration = Duration::from_mins(1);

/// The fleet's settings.
const FLEET: &str = "
loading: { starts-per-second: 4.0, remote-ms-per-gib: 100 }
regions: [{ name: a }, { name: b }, { name: c }]
models: [{ name: report, bytes: 1073741824 }, { name: preview, bytes: 1073741824 }]
";

fn main() -> ExitCode {
    match run() {
        Ok(0) => ExitCode::SUCCESS,
        Ok(cut) => {
            println!("BROKEN: {cut} requests were cut off");
            ExitCode::FAILURE
        }
        Err(error) => {
            println!("the trial did not run: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the restart and returns how many requests were cut off.
fn run() -> Result<usize, Box<dyn std::error::Error>> {
    let regions = ["a", "b", "c"].map(str::to_owned).to_vec();
    let mut cluster = Cluster::start(&Plan {
        regions: regions.clone(),
        hosts: HOSTS,
        voters: VOTERS,
        fleet: FLEET.to_owned(),
    })?;
    let runtime = tokio::runtime::Runtime::new()?;
    let stop = CancellationToken::new();
    let hosts = cluster.callers();
    let plan = workers::Plan {
        regions,
        workers: 4,
        memory: 4 << 30,
        token: Duration::from_millis(5),
        store: Store::builder()
            .starts(4.0)
            .gib(Duration::from_millis(100))
            .build(),
    };
    let _engines = runtime.block_on(workers::start(&plan, &hosts, &stop))?;
    std::thread::sleep(Duration::from_secs(5));
    let over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| runtime.spawn(call(number, hosts.clone(), over.clone())))
        .collect();
    for index in 0..HOSTS {
        let started = Instant::now();
        let host = cluster.take(index);
        let ended = host.is_none_or(|host| host.drain(DRAIN));
        println!(
            "host {}: ended {ended} after {:?}",
            index + 1,
            started.elapsed()
        );
        cluster.restart(index)?;
        std::thread::sleep(Duration::from_secs(3));
    }
    over.store(true, Ordering::Relaxed);
    let mut kinds: BTreeMap<&str, usize> = BTreeMap::new();
    for caller in callers {
        for end in runtime.block_on(caller)? {
            *kinds.entry(kind(&end)).or_default() += 1;
        }
    }
    println!("{kinds:?}");
    stop.cancel();
    runtime.shutdown_background();
    let cut = ["broken off", "cut off", "wrong"];
    Ok(cut.iter().filter_map(|kind| kinds.get(kind)).sum())
}

/// One caller that follows `/v1/entries` until the end.
async fn call(number: usize, hosts: Vec<SocketAddr>, over: Arc<AtomicBool>) -> Vec<End> {
    let caller = Caller::new(format!("caller-{number}"));
    let mut ends = Vec::new();
    let mut kept: Vec<SocketAddr> = Vec::new();
    let mut asked = Instant::now();
    let mut count = 0;
    while !over.load(Ordering::Relaxed) {
        count += 1;
        if kept.is_empty() || asked.elapsed() > KEPT {
            // Any host answers; the one after may be away.
            for host in hosts.iter().cycle().skip(number + count).take(HOSTS) {
                kept = caller.entries(*host).await;
                if !kept.is_empty() {
                    break;
                }
            }
            asked = Instant::now();
        }
        let Some(host) = kept.first().copied() else {
            continue;
        };
        let end = caller.ask(host, &ask(number, count)).await;
        if !end.is_answered() {
            kept.clear();
        }
        ends.push(end);
    }
    ends
}

/// A request.
fn ask(number: usize, count: usize) -> Ask {
    Ask {
        model: Reference::base(if number.is_multiple_of(2) {
            "report"
        } else {
            "preview"
        }),
        prompt: format!("{number}/{count}"),
        tokens: 40,
        stream: count.is_multiple_of(2),
        class: None,
        deadline: None,
    }
}

/// The kind of an end; a connection that was refused reached no host.
fn kind(end: &End) -> &'static str {
    match end {
        End::Answered { .. } => "answered",
        End::Refused { .. } if end.is_not_run() => "refused, not run",
        End::Refused { .. } => "refused",
        End::BrokenOff { .. } => "broken off",
        End::Lost { detail } if detail.contains("Connect") => "no connection",
        End::Lost { .. } => "cut off",
        End::Wrong { .. } => "wrong",
    }
}
