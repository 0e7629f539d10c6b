//! Measures the time and memory of the state and the leader at several sizes, and their growth.
//!
//! `cargo run --release -p cornelhitch-control --example scale [LARGEST]`, where `LARGEST` is the
//! largest number of workers, by default 7,900.

#![allow(clippy::cast_precision_loss)]

use std::time::{Duration, Instant};

use cornelhitch_control::claims::{Claim, Finish, Holder, Key, Outcome};
use cornelhitch_control::prelude::*;
use cornelhitch_control::replicas::Decide;
use cornelhitch_planner::Planner;
use cornelhitch_planner::decision::Decision;
use cornelhitch_planner::fleet_state::FleetState;
use cornelhitch_types::demand::{Demand, DemandReport};
use cornelhitch_types::entry;
use cornelhitch_types::id::Time;
use cornelhitch_types::model::Reference;
use cornelhitch_types::target::{Announcement, Heartbeat, Holding, Kind, Load, Stage};
use cornelhitch_types::view::View;

/// The number of models at the later size.
const MODELS: usize = 59;

/// The number of adapters at the later size.
const ADAPTERS: usize = 1_700;

/// The number of claims kept while the snapshot is measured.
const CLAIMS: usize = 10_000;

const GIB: u64 = 1 << 30;

/// A planner that makes no decisions, so that only the leader is measured.
struct Idle;

impl Planner for Idle {
    fn plan(&mut self, _: &FleetState, _: Time) -> Vec<Decision> {
        Vec::new()
    }

    fn explain(&self, _: &str, _: Time) -> Vec<String> {
        Vec::new()
    }
}

/// The costs measured at one size.
struct Cost {
    hosts: usize,
    workers: usize,
    /// Mean time to handle a heartbeat that changes only the load.
    heartbeat: Duration,
    /// Mean time to handle a tick, some of which publish and plan.
    tick: Duration,
    /// Mean time to handle a demand report.
    report: Duration,
    /// Mean time to handle a lease renewal.
    renewal: Duration,
    /// Bytes published to each entry host per second.
    published: usize,
    /// Size of the full view, in bytes.
    whole: usize,
    /// Size of a snapshot, in bytes.
    snapshot: usize,
    /// Time to encode a snapshot and its digest.
    digest: Duration,
    /// Time to restore a snapshot.
    restore: Duration,
    /// Memory of the process, in bytes.
    memory: usize,
}

/// A control host under measurement.
struct Bench {
    state: State,
    leader: Leader,
    now: Time,
    index: u64,
    views: Vec<View>,
}

impl Bench {
    fn commit(&mut self, command: Command) -> Reply {
        self.index += 1;
        let entry = Entry {
            index: self.index,
            term: 1,
            time: self.now,
        };
        let reply = self.state.apply(&entry, command.clone());
        let applied = reply.clone();
        self.handle(Input::Applied {
            command,
            reply: applied,
        });
        reply
    }

    fn handle(&mut self, input: Input) {
        for output in self.leader.handle(input, &self.state, self.now) {
            match output {
                Output::Propose(command) => {
                    self.commit(command);
                }
                Output::Publish { view, .. } => {
                    self.views.push(view);
                }
                _ => {}
            }
        }
    }
}

fn main() {
    let largest = std::env::args().nth(1).and_then(|it| it.parse().ok());
    let largest: usize = largest.unwrap_or(7_900);
    let mut costs = Vec::new();
    // Earlier benches are kept, so that a later one cannot reuse their memory.
    let mut kept = Vec::new();
    println!(
        "{:>6} {:>8} {:>12} {:>10} {:>10} {:>10} {:>14} {:>10} {:>10} {:>10} {:>10} {:>10}",
        "hosts",
        "workers",
        "heartbeat",
        "tick",
        "report",
        "renewal",
        "published/s",
        "whole",
        "snapshot",
        "digest",
        "restore",
        "memory"
    );
    for (numerator, denominator) in [(1, 400), (1, 16), (1, 4), (1, 2), (1, 1)] {
        let workers = (largest * numerator / denominator).max(15);
        let hosts = (workers * 410 / 7_900).max(9);
        let cost = measure(hosts, workers, &mut kept);
        print(&cost);
        costs.push(cost);
    }
    slopes(&costs);
}

/// Extracts a figure from the costs.
type Figure = fn(&Cost) -> f64;

/// Measures one size.
fn measure(hosts: usize, workers: usize, kept: &mut Vec<Bench>) -> Cost {
    let before = resident();
    let mut bench = Bench {
        state: State::default(),
        leader: Leader::new(Box::new(Idle)),
        now: Time::from_hours(500_000),
        index: 0,
        views: Vec::new(),
    };
    fill(&mut bench, hosts, workers);
    let memory = resident().saturating_sub(before);
    bench.views.clear();
    let seconds = 5;
    let mut spent = [Duration::ZERO; 4];
    for second in 1..=seconds {
        run(&mut bench, hosts, workers, second, &mut spent);
    }
    let each = |spent: Duration, count: usize| spent / u32::try_from(count).unwrap_or(1);
    let rounds = usize::try_from(seconds).unwrap_or(1);
    let view = bench.leader.view(&bench.state, bench.now);
    let started = Instant::now();
    let snapshot = bench.state.snapshot();
    let digest = bench.state.digest();
    let digested = started.elapsed();
    let started = Instant::now();
    let restored = State::restore(&snapshot).expect("a readable snapshot");
    let restore = started.elapsed();
    assert_eq!(restored.digest(), digest);
    let cost = Cost {
        hosts,
        workers,
        heartbeat: each(spent[0], workers * rounds),
        tick: each(spent[1], 10 * rounds),
        report: each(spent[2], hosts * rounds),
        renewal: each(spent[3], hosts * rounds),
        published: bench.views.iter().map(length).sum::<usize>() / rounds,
        whole: length(&view),
        snapshot: snapshot.len(),
        digest: digested,
        restore,
        memory,
    };
    kept.push(bench);
    cost
}

/// Creates settings, targets, one replica for each worker, entry hosts and claims.
fn fill(bench: &mut Bench, hosts: usize, workers: usize) {
    bench.handle(Input::Elected { term: 1 });
    let text = settings();
    bench.commit(Command::Apply(Apply {
        operator: "ann".into(),
        request: "1".into(),
        base: 0,
        text: text.into(),
    }));
    for worker in 0..workers {
        bench.handle(Input::Announcement(announcement(worker)));
        bench.commit(Command::Decide(Decide {
            model: model(worker).into(),
            version: None,
            target: name(worker).into(),
            incarnation: 1,
            bytes: 20 * GIB,
            after: 0,
            adopted: true,
        }));
    }
    for worker in 0..workers {
        bench.handle(Input::Heartbeat(heartbeat(worker, 1)));
    }
    for host in 0..hosts {
        bench.handle(Input::Renewal(host_of(host)));
        bench.handle(Input::Report(report(host, 1)));
    }
    for claim in 0..CLAIMS {
        bench.commit(Command::Claim(Claim {
            key: key(claim),
            digest: [1; 32],
            holder: holder(),
            call: claim as u64,
            issued: None,
        }));
        bench.commit(Command::Finish(Finish {
            key: key(claim),
            holder: holder(),
            call: claim as u64,
            outcome: Outcome::Answered {
                status: 200,
                content: "application/json".into(),
                body: vec![b'x'; 200].into(),
            },
        }));
    }
    bench.now += Duration::from_secs(2);
    bench.handle(Input::Tick);
}

/// Runs one second: a heartbeat of each worker, a report and a renewal of each host, ten ticks.
fn run(bench: &mut Bench, hosts: usize, workers: usize, second: u64, spent: &mut [Duration; 4]) {
    let heartbeats: Vec<Heartbeat> = (0..workers).map(|it| heartbeat(it, second + 1)).collect();
    let reports: Vec<DemandReport> = (0..hosts).map(|it| report(it, second + 1)).collect();
    let renewals: Vec<entry::Host> = (0..hosts).map(host_of).collect();
    let started = Instant::now();
    for heartbeat in heartbeats {
        bench.handle(Input::Heartbeat(heartbeat));
    }
    spent[0] += started.elapsed();
    let started = Instant::now();
    for report in reports {
        bench.handle(Input::Report(report));
    }
    spent[2] += started.elapsed();
    let started = Instant::now();
    for renewal in renewals {
        bench.handle(Input::Renewal(renewal));
    }
    spent[3] += started.elapsed();
    let started = Instant::now();
    for _ in 0..10 {
        bench.now += Duration::from_millis(100);
        bench.handle(Input::Tick);
    }
    spent[1] += started.elapsed();
}

/// Returns the encoded size of a view, in bytes.
fn length(view: &View) -> usize {
    postcard::to_stdvec(view).map_or(0, |bytes| bytes.len())
}

fn print(cost: &Cost) {
    println!(
        "{:>6} {:>8} {:>12.1?} {:>10.1?} {:>10.1?} {:>10.1?} {:>14} {:>10} {:>10} {:>10.1?} {:>10.1?} {:>10}",
        cost.hosts,
        cost.workers,
        cost.heartbeat,
        cost.tick,
        cost.report,
        cost.renewal,
        cost.published,
        cost.whole,
        cost.snapshot,
        cost.digest,
        cost.restore,
        cost.memory
    );
}

/// Prints least-squares fits over the number of workers.
fn slopes(costs: &[Cost]) {
    let ns = |time: Duration| time.as_secs_f64() * 1e9;
    let rows: [(&str, Figure); 7] = [
        ("published bytes a second and entry host", |it| {
            it.published as f64
        }),
        ("whole view, bytes", |it| it.whole as f64),
        ("snapshot, bytes", |it| it.snapshot as f64),
        ("memory, bytes", |it| it.memory as f64),
        ("tick, ns", |it| it.tick.as_secs_f64() * 1e9),
        ("snapshot and digest, ns", |it| {
            it.digest.as_secs_f64() * 1e9
        }),
        ("restore, ns", |it| it.restore.as_secs_f64() * 1e9),
    ];
    for (what, value) in rows {
        let points: Vec<(f64, f64)> = costs
            .iter()
            .map(|cost| (cost.workers as f64, value(cost)))
            .collect();
        let (slope, start) = line(&points);
        println!("{what}: {slope:.1} a worker, from {start:.0}");
    }
    if let Some(cost) = costs.last() {
        let heartbeats = ns(cost.heartbeat) * cost.workers as f64;
        let reports = ns(cost.report + cost.renewal) * cost.hosts as f64;
        let share = (heartbeats + reports + ns(cost.tick) * 10.0) / 1e9;
        println!(
            "leader at the largest size: {:.1}% of a core",
            share * 100.0
        );
    }
}

/// Returns the slope and intercept of the least-squares line through the points.
fn line(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let x = points.iter().map(|it| it.0).sum::<f64>() / count;
    let y = points.iter().map(|it| it.1).sum::<f64>() / count;
    let over: f64 = points.iter().map(|it| (it.0 - x) * (it.1 - y)).sum();
    let under: f64 = points.iter().map(|it| (it.0 - x).powi(2)).sum();
    let slope = over / under;
    (slope, y - slope * x)
}

/// Builds settings with every model and adapter.
fn settings() -> String {
    let each = ADAPTERS / MODELS;
    let mut text = String::from("placing: { replicas: 100000 }\nmodels:\n");
    for at in 0..MODELS {
        let adapters: Vec<String> = (0..each).map(|it| format!("adapter-{at}-{it}")).collect();
        let adapters = adapters.join(", ");
        let name = model(at);
        let bytes = 20 * GIB;
        let row = format!("  - {{ name: {name}, bytes: {bytes}, adapters: [{adapters}] }}\n");
        text.push_str(&row);
    }
    text
}

fn model(at: usize) -> String {
    format!("model-{}", at % MODELS)
}

fn name(at: usize) -> String {
    format!("worker-{at:05}")
}

fn key(at: usize) -> Key {
    Key {
        caller: "dealer".into(),
        key: format!("bid-{at:08}").into(),
    }
}

fn holder() -> Holder {
    Holder {
        host: 0,
        incarnation: 1,
    }
}

fn announcement(at: usize) -> Announcement {
    Announcement {
        target: name(at).into(),
        incarnation: 1,
        kind: Kind::Worker,
        address: ([127, 0, 0, 1], 9_000).into(),
        region: format!("region-{}", at % 3).into(),
        zone: format!("zone-{}", at % 11).into(),
        memory: 80 * GIB,
        accelerators: 4,
        fencing: at.is_multiple_of(2),
        services: Vec::new(),
        slots: None,
        incarnation_is_start_time: false,
    }
}

fn heartbeat(at: usize, sequence: u64) -> Heartbeat {
    let copy = Holding {
        model: Reference::base(model(at)),
        replica: None,
        stage: Stage::Ready,
        bytes: 20 * GIB,
        adapters: Vec::new(),
    };
    Heartbeat {
        target: name(at).into(),
        incarnation: 1,
        sequence,
        fence: 1,
        inventory: vec![copy],
        load: Load {
            running: u32::try_from(sequence).unwrap_or(0) % 16,
            queued: 0,
            age_ms: 500,
        },
        cache: Vec::new(),
        leaving: false,
    }
}

fn host_of(at: usize) -> entry::Host {
    entry::Host {
        host: at as u64,
        incarnation: 1,
        address: ([127, 0, 0, 1], 8_000).into(),
        region: format!("region-{}", at % 3).into(),
        zone: format!("zone-{}", at % 11).into(),
        load: 80,
        draining: false,
        settings: 1,
    }
}

fn report(host: usize, sequence: u64) -> DemandReport {
    let row = |at: usize| Demand {
        model: model(at).into(),
        version: None,
        waiting: 0,
        running: 4,
        time_to_deadline: Duration::from_secs(10),
        weight: 1,
        arrivals: sequence * 4,
        adapters: Vec::new(),
    };
    DemandReport {
        host: host as u64,
        incarnation: 1,
        sequence,
        region: format!("region-{}", host % 3).into(),
        rows: (0..MODELS / 3).map(|at| row(at + host)).collect(),
    }
}

/// Returns the memory of this process, in bytes; 0 where the system does not report it.
fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|it| it.parse().ok());
    pages.unwrap_or(0) * 4_096
}
