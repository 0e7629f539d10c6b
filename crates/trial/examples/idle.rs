//! Measures the overhead of idle hosts: traffic between peers, CPU time and memory, for several
//! cluster sizes.
//!
//! `cargo run --release -p cornelhitch-trial --example idle [HOSTS TARGETS]` measures one size.
//! Without arguments, it measures 9 0, 9 15, 9 150, 9 300, 30 15 and 60 15, each in its own process.
//! The first three hosts are voters. The targets are tasks that announce themselves to every host
//! and send it a heartbeat every second.

#![allow(clippy::cast_precision_loss)]

use std::net::SocketAddr;
use std::process::{Command, ExitCode};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use cornelhitch_target::inbound::{ANNOUNCE, HEARTBEAT};
use cornelhitch_trial::cluster::{self, Cluster};
use cornelhitch_trial::{operator, process_stats};
use cornelhitch_types::model::Reference;
use cornelhitch_types::target::{Announcement, Heartbeat, Holding, Kind, Load, Stage};
use futures_util::future::join_all;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde_json::Value;

/// Sizes that are measured if there are no arguments: hosts and targets.
const DEFAULT_SIZES: [[&str; 2]; 6] = [
    ["9", "0"],
    ["9", "15"],
    ["9", "150"],
    ["9", "300"],
    ["30", "15"],
    ["60", "15"],
];

/// Number of voters, if there are enough hosts.
const VOTERS: usize = 3;

/// Time before the measurement in which the hosts elect a leader and the targets announce
/// themselves.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// Duration of the measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(8);

/// Pause between two rounds of heartbeats of a target.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Settings of the fleet.
const FLEET: &str = "
regions: [{ name: north }, { name: middle }, { name: south }]
models:
  - { name: summary, bytes: 4294967296 }
";

/// Bytes exchanged with peers and CPU time of one host since its start.
#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    sent: u64,
    received: u64,
    cpu_time: Duration,
}

/// Number of heartbeats that hosts accepted.
static HEARTBEATS_ACCEPTED: AtomicU64 = AtomicU64::new(0);

/// HTTP client of a target.
type HttpClient = Client<HttpConnector, Full<Bytes>>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let measured = match arguments.as_slice() {
        [hosts, targets] => measure(hosts, targets),
        _ => measure_all(),
    };
    match measured {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the measurement failed: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Measures each default size in its own process.
fn measure_all() -> Result<(), Box<dyn std::error::Error>> {
    println!(
        "| hosts | targets | heartbeats/s | role | sent B/s | received B/s | of a core | process MB | load |"
    );
    println!("|{}", " --- |".repeat(9));
    let executable = std::env::current_exe()?;
    for size in DEFAULT_SIZES {
        let status = Command::new(&executable).args(size).status()?;
        if !status.success() {
            println!("| {} | {} | failed |", size[0], size[1]);
        }
    }
    Ok(())
}

/// Measures one size and prints its rows.
fn measure(hosts: &str, targets: &str) -> Result<(), Box<dyn std::error::Error>> {
    let (hosts, targets): (usize, usize) = (hosts.parse()?, targets.parse()?);
    let regions = ["north", "middle", "south"].map(str::to_owned).to_vec();
    let cluster = Cluster::start(&cluster::ClusterSpec {
        regions,
        hosts,
        voters: VOTERS.min(hosts),
        fleet: FLEET.to_owned(),
    })?;
    let runtime = tokio::runtime::Runtime::new()?;
    let addresses = cluster.caller_addresses();
    for number in 0..targets {
        runtime.spawn(run_target(number, addresses.clone()));
    }
    std::thread::sleep(SETTLE_TIME);
    let before = runtime.block_on(read_usage(&cluster));
    let heartbeats = HEARTBEATS_ACCEPTED.load(Ordering::Relaxed);
    let started = Instant::now();
    std::thread::sleep(MEASUREMENT_TIME);
    let after = runtime.block_on(read_usage(&cluster));
    let seconds = started.elapsed().as_secs_f64();
    let heartbeats = HEARTBEATS_ACCEPTED.load(Ordering::Relaxed) - heartbeats;
    print_rows(
        &before,
        &after,
        seconds,
        targets,
        heartbeats as f64 / seconds,
    );
    runtime.shutdown_background();
    if process_stats::resident_bytes() == 0 || after.iter().any(|usage| usage.sent == 0) {
        return Err(
            "a host reported no bytes sent, or the memory of this process could not be read".into(),
        );
    }
    Ok(())
}

/// Prints the mean of the leader, of the other voters and of the remaining hosts. The voter that
/// sends the most bytes is assumed to be the leader.
fn print_rows(before: &[Usage], after: &[Usage], seconds: f64, targets: usize, heartbeats: f64) {
    let hosts = before.len();
    let rates: Vec<[f64; 3]> = before
        .iter()
        .zip(after)
        .map(|(before, after)| after.rates(before, seconds))
        .collect();
    let voters = VOTERS.min(hosts);
    let busiest = (0..voters).max_by(|a, b| rates[*a][0].total_cmp(&rates[*b][0]));
    let leader = busiest.unwrap_or_default();
    let followers: Vec<[f64; 3]> = (0..voters)
        .filter(|index| *index != leader)
        .map(|index| rates[index])
        .collect();
    let rows = [
        ("voter that sends most", vec![rates[leader]]),
        ("other voters", followers),
        ("entry only", rates[voters..].to_vec()),
    ];
    let resident_mb = process_stats::resident_bytes() as f64 / 1e6;
    let load = process_stats::load_average();
    for (role, rates) in rows {
        let mean =
            |index: usize| rates.iter().map(|rate| rate[index]).sum::<f64>() / rates.len() as f64;
        println!(
            "| {hosts} | {targets} | {heartbeats:.0} | {role} | {:.0} | {:.0} | {:.2}% | {resident_mb:.0} | {load} |",
            mean(0),
            mean(1),
            mean(2) * 100.0,
        );
    }
}

impl Usage {
    /// Returns the bytes sent, the bytes received and the CPU seconds, each per second since `before`.
    fn rates(&self, before: &Self, seconds: f64) -> [f64; 3] {
        let cpu_time = self.cpu_time.saturating_sub(before.cpu_time);
        [
            self.sent.saturating_sub(before.sent) as f64 / seconds,
            self.received.saturating_sub(before.received) as f64 / seconds,
            cpu_time.as_secs_f64() / seconds,
        ]
    }
}

/// Reads the usage of each host.
async fn read_usage(cluster: &Cluster) -> Vec<Usage> {
    let hosts = cluster.hosts.iter().map(|host| async {
        let dump = fetch_dump(host.addresses.operators).await;
        let counter = |name: &str| dump["metrics"][name].as_u64().unwrap_or_default();
        Usage {
            sent: counter("cornelhitch.bytes-sent"),
            received: counter("cornelhitch.bytes-received"),
            cpu_time: process_stats::cpu_time(&cluster::thread_name(host.process.host)),
        }
    });
    join_all(hosts).await
}

async fn fetch_dump(host: SocketAddr) -> Value {
    operator::call(host, "GET", "/dump", &Value::Null).await
}

/// Announces a target to all hosts and then sends heartbeats forever.
async fn run_target(number: usize, hosts: Vec<SocketAddr>) {
    let client: HttpClient = Client::builder(TokioExecutor::new()).build_http();
    let announcement = announcement(number);
    for host in &hosts {
        post(&client, *host, ANNOUNCE, &announcement).await;
    }
    for sequence in 1.. {
        let heartbeat = heartbeat(&announcement, sequence);
        let posts = hosts
            .iter()
            .map(|host| post(&client, *host, HEARTBEAT, &heartbeat));
        join_all(posts).await;
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// Posts a message and discards the response, after counting accepted heartbeats.
async fn post(client: &HttpClient, host: SocketAddr, path: &str, message: &impl Serialize) {
    let body = serde_json::to_vec(message).unwrap_or_default();
    let request = Request::post(format!("http://{host}{path}"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)));
    let Ok(request) = request else {
        return;
    };
    if let Ok(response) = client.request(request).await {
        if path == HEARTBEAT && response.status().is_success() {
            HEARTBEATS_ACCEPTED.fetch_add(1, Ordering::Relaxed);
        }
        drop(response.into_body().collect().await);
    }
}

/// Returns the announcement of a target.
fn announcement(number: usize) -> Announcement {
    let region = ["north", "middle", "south"][number % 3];
    Announcement {
        target: format!("target-{number}").as_str().into(),
        incarnation: 1,
        kind: Kind::Worker,
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        region: region.into(),
        zone: format!("{region}-1").as_str().into(),
        memory: 80 << 30,
        accelerators: 4,
        fencing: true,
        services: Vec::new(),
        slots: None,
        incarnation_is_start_time: false,
    }
}

/// Returns a heartbeat. Its load differs from that of the heartbeat before.
fn heartbeat(announcement: &Announcement, sequence: u64) -> Heartbeat {
    Heartbeat {
        target: announcement.target.clone(),
        incarnation: announcement.incarnation,
        sequence,
        fence: 0,
        inventory: vec![Holding {
            model: Reference::base("summary"),
            replica: None,
            stage: Stage::Disk,
            bytes: 0,
            adapters: Vec::new(),
        }],
        load: Load {
            running: u32::try_from(sequence % 16).unwrap_or_default(),
            queued: 0,
            age_ms: 500,
        },
        cache: Vec::new(),
        leaving: false,
    }
}
