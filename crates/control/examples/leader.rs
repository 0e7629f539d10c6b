//! Measures where the processor time of a leader goes, by the kind of message, for growing fleets.
//!
//! `cargo run --release -p cornelhitch-control --example leader`
//!
//! It plays the first ten seconds of a term: all hosts subscribe, all workers send heartbeats, hosts
//! report and renew their leases twice a second, and the leader plans with the real policy.

#![allow(clippy::cast_precision_loss)]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cornelhitch_control::current_table::SubmittedTable;
use cornelhitch_control::prelude::*;
use cornelhitch_planner::policy::Policy;
use cornelhitch_types::demand::{Demand, DemandReport};
use cornelhitch_types::entry;
use cornelhitch_types::id::{ModelId, Time};
use cornelhitch_types::model::Reference;
use cornelhitch_types::route::{self, RouteTable, Service, WorkerCapacity};
use cornelhitch_types::target::{
    AnnouncedHeartbeat, Announcement, Heartbeat, Holding, Inspection, Kind, Load, Stage,
};

/// Numbers of entry hosts and workers.
const SIZES: [(usize, usize); 5] = [(50, 30), (100, 60), (200, 120), (100, 1_000), (300, 3_000)];
/// Models of the service.
const MODELS: usize = 390;
/// Models that a worker holds, and those on its disk.
const HELD: usize = 3;
const ON_DISK: usize = 11;
/// Models with requests in a host's report.
const ROWS: usize = 12;
/// Time that is played, in steps.
const SECONDS: u32 = 10;
const STEPS: u32 = 20;

fn model(at: usize) -> ModelId {
    route::model_id("engines", &format!("model-{}", at % MODELS))
}

/// Returns the table with the models.
fn table() -> SubmittedTable {
    let model = |at: usize| route::Model {
        name: format!("model-{at}").into(),
        bytes: 70_000_000_000,
        from_store: Duration::from_secs(10),
        from_disk: Duration::from_millis(500),
        from_memory: Duration::from_millis(300),
        adapters: Vec::new(),
        adapter_bytes: 0,
    };
    let engine = WorkerCapacity {
        slots: 64,
        kv_cache_tokens: 250_000,
        memory: 230_000_000_000,
        host_memory: 0,
        disk: 0,
        adapters: 8,
        start_interval: Duration::from_millis(100),
        models: (0..MODELS).map(model).collect(),
    };
    let service = Service {
        name: "engines".into(),
        connections: 100,
        engine: Some(engine),
    };
    let table = RouteTable {
        version: 1,
        services: vec![service],
        ..RouteTable::default()
    };
    SubmittedTable {
        table: Arc::new(table),
        text: bytes::Bytes::new(),
    }
}

/// Returns a copy of a model on a worker.
fn copy(at: usize, stage: Stage) -> Holding {
    Holding {
        model: Reference::base(model(at)),
        replica: None,
        stage,
        bytes: 0,
        adapters: Vec::new(),
    }
}

/// Returns a heartbeat of a worker.
fn heartbeat(worker: usize, sequence: u64) -> Input {
    let [high, low] = u16::try_from(worker).unwrap_or_default().to_be_bytes();
    let held = (0..HELD).map(|at| copy(worker * HELD + at, Stage::Ready));
    let on_disk = (0..ON_DISK).map(|at| copy(worker * ON_DISK + at, Stage::Disk));
    Input::Presence(Box::new(AnnouncedHeartbeat {
        announcement: Announcement {
            target: format!("worker-{worker}").into(),
            incarnation: 1,
            kind: Kind::Worker,
            address: ([10, 0, high, low], 80).into(),
            region: "perth".into(),
            zone: "a".into(),
            memory: 0,
            accelerators: 1,
            fencing: true,
            services: vec!["engines".into()],
            slots: Some(64),
            incarnation_is_start_time: true,
        },
        heartbeat: Heartbeat {
            target: format!("worker-{worker}").into(),
            incarnation: 1,
            sequence,
            fence: 0,
            inventory: held.chain(on_disk).collect(),
            load: Load::default(),
            cache: Vec::new(),
            leaving: false,
        },
        software: None,
    }))
}

/// Returns a report of a host.
fn report(host: usize, sequence: u64) -> Input {
    let row = |at: usize| Demand {
        model: model(host * 7 + at * 31),
        version: None,
        waiting: u32::try_from(at % 3 / 2).unwrap_or_default(),
        running: 1,
        time_to_deadline: Duration::from_secs(4),
        weight: 1,
        arrivals: sequence,
        adapters: Vec::new(),
    };
    Input::Report(DemandReport {
        host: host as u64,
        incarnation: 1,
        sequence,
        region: "perth".into(),
        rows: (0..ROWS).map(row).collect(),
    })
}

/// Returns a renewal of a host.
fn renewal(host: usize) -> Input {
    Input::Renewal(entry::Host {
        host: host as u64,
        incarnation: 1,
        address: ([127, 0, 0, 1], 80).into(),
        region: "perth".into(),
        zone: "a".into(),
        load: 0,
        draining: false,
        settings: 0,
    })
}

/// A leader under measurement.
struct Bench {
    state: State,
    leader: Leader,
    now: Time,
    index: u64,
    /// The time spent and the messages handled, by kind.
    spent: BTreeMap<&'static str, (Duration, u32)>,
    /// Bytes of views, times the hosts that get them.
    published: usize,
    hosts: usize,
}

impl Bench {
    /// Handles a message and what follows from it.
    fn handle(&mut self, kind: &'static str, input: Input) {
        let started = Instant::now();
        let outputs = self.leader.handle(input, &self.state, self.now);
        let spent = self.spent.entry(kind).or_default();
        spent.0 += started.elapsed();
        spent.1 += 1;
        for output in outputs {
            self.perform(output);
        }
    }

    /// Carries out what the leader returns.
    fn perform(&mut self, output: Output) {
        match output {
            Output::Propose(command) => self.commit(command),
            Output::Publish { to, view } => {
                let started = Instant::now();
                let bytes = postcard::to_stdvec(&view).map_or(0, |bytes| bytes.len());
                let spent = self.spent.entry("encoding of views").or_default();
                spent.0 += started.elapsed();
                spent.1 += 1;
                self.published += bytes
                    * match to {
                        Audience::All => self.hosts,
                        Audience::Host(_) => 1,
                        Audience::Hosts(hosts) => hosts.len(),
                    };
            }
            Output::Inspect {
                target,
                incarnation,
            } => {
                let inspection = Some(Inspection {
                    busy: true,
                    orders: 0,
                    inventory: Vec::new(),
                });
                let input = Input::Inspected {
                    target,
                    incarnation,
                    inspection,
                };
                self.handle("inspection", input);
            }
            _ => {}
        }
    }

    /// Commits a command.
    fn commit(&mut self, command: Command) {
        self.index += 1;
        let entry = Entry {
            index: self.index,
            term: 1,
            time: self.now,
        };
        let reply = self.state.apply(&entry, command.clone());
        self.handle("commit", Input::Applied { command, reply });
    }
}

/// Plays a fleet of one size and prints a row for each kind of message.
fn measure(hosts: usize, workers: usize) {
    let mut bench = Bench {
        state: State::default(),
        leader: Leader::new(Box::new(Policy::default())),
        now: Time::from_hours(500_000),
        index: 0,
        spent: BTreeMap::new(),
        published: 0,
        hosts,
    };
    bench.handle("election", Input::Elected { term: 1 });
    bench.commit(Command::PublishTable(table()));
    for worker in 0..workers {
        bench.handle("registration", heartbeat(worker, 1));
    }
    bench.handle("election", Input::LeadershipLost);
    bench.spent.clear();
    bench.published = 0;
    bench.handle("election", Input::Elected { term: 2 });
    for host in 0..hosts {
        let (host, term, sequence) = (host as u64, 1, 1);
        bench.handle(
            "subscription",
            Input::Subscribe {
                host,
                term,
                sequence,
            },
        );
    }
    for step in 0..SECONDS * STEPS {
        bench.now += Duration::from_secs(1) / STEPS;
        let sequence = u64::from(step) + 2;
        let at = step as usize;
        for worker in (at % 24..workers).step_by(24) {
            bench.handle("heartbeat", heartbeat(worker, sequence));
        }
        for host in (at % 10..hosts).step_by(10) {
            bench.handle("report", report(host, sequence));
            bench.handle("renewal", renewal(host));
        }
        bench.handle("tick", Input::Tick);
    }
    let total: Duration = bench.spent.values().map(|(spent, _)| *spent).sum();
    for (kind, (spent, count)) in &bench.spent {
        let each = spent.as_secs_f64() * 1e6 / f64::from(*count);
        let share = spent.as_secs_f64() / f64::from(SECONDS) * 100.0;
        println!("{hosts:6} {workers:8} {kind:18} {count:8} {each:10.1} {share:8.2}");
    }
    let share = total.as_secs_f64() / f64::from(SECONDS) * 100.0;
    let kb = bench.published / 1_000 / SECONDS as usize;
    println!("{hosts:6} {workers:8} all, without sockets; {kb} kB/s published {share:13.2}");
}

fn main() {
    println!(" hosts  workers kind                  count    us each  % core");
    for (hosts, workers) in SIZES {
        measure(hosts, workers);
    }
}
