//! Measures the CPU time of a request through a core and the memory of a waiting one.

use std::fmt::Write;
use std::time::{Duration, Instant};

use cornelhitch_entry::prelude::*;
use cornelhitch_types::model::Reference;
use cornelhitch_types::target::{Kind, Load};
use cornelhitch_types::view::{Change, Replica, State, Target, View};

/// Creates a core with `models` models, each with four replicas on `targets` targets if `ready`.
fn core(models: usize, targets: usize, ready: bool) -> Core {
    let mut text = String::from(
        "refusing: { queue: 1000000, caller: 1000000, deadline-ms: 3600000 }\nplacing: { concurrency: 64 }\nmodels:\n",
    );
    for model in 0..models {
        let _ = writeln!(text, "  - {{ name: m{model}, bytes: 1000 }}");
    }
    let mut changes = vec![Change::Settings(1, text.into())];
    for target in 0..targets {
        changes.push(Change::Target(Target {
            target: format!("w{target}").into(),
            incarnation: 1,
            kind: Kind::Worker,
            address: ([10, 0, 0, 1], 9_000).into(),
            region: "".into(),
            zone: "".into(),
            services: Vec::new(),
            open: true,
            load: Load::default(),
            slots: None,
        }));
    }
    for model in (0..models).filter(|_| ready) {
        for target in 0..4 {
            changes.push(Change::Replica(Replica {
                replica: (model * 4 + target) as u64,
                model: format!("m{model}").into(),
                version: None,
                target: format!("w{}", (model * 4 + target) % targets).into(),
                state: State::Ready,
                ready_in_ms: 0,
                adapters: Vec::new(),
            }));
        }
    }
    let mut core = Core::new(Config::new(1), Duration::ZERO);
    let view = View {
        term: 1,
        from: 0,
        to: 1,
        changes,
    };
    core.handle(Event::View(view), Duration::ZERO);
    let until = Duration::from_hours(10);
    core.handle(Event::Lease { until, version: 1 }, Duration::ZERO);
    core
}

fn request(id: u64, models: usize) -> Request {
    let model = format!("m{}", id % models as u64);
    Request::new(
        id,
        format!("caller-{}", id % 100),
        RequestedResource::Model(Reference::base(model)),
    )
}

/// Returns the resident memory in bytes, as Linux reports it.
fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|field| field.parse::<usize>().ok());
    pages.unwrap_or_default() * 4_096
}

pub fn run() {
    waiting();
    through();
}

fn through() {
    println!("\n## Cost of a request through a core (arrival, send, begin, end)\n");
    println!("| models | targets | requests | ns a request |");
    println!("| --- | --- | --- | --- |");
    for (models, targets) in [(40, 12), (59, 790), (59, 7_900)] {
        let mut core = core(models, targets, true);
        let count = 200_000;
        let requests: Vec<Request> = (0..count).map(|id| request(id, models)).collect();
        let start = Instant::now();
        for (index, request) in requests.into_iter().enumerate() {
            let now = Duration::from_micros(index as u64 * 50);
            let id = request.id;
            let attempt = 1;
            core.handle(Event::Arrived(request), now);
            core.handle(Event::Sent { id, attempt }, now);
            core.handle(Event::ResponseStarted { id, attempt }, now);
            core.handle(Event::ResponseEnded { id, attempt }, now);
        }
        assert_eq!(core.load(), 0);
        let each = start.elapsed().as_nanos() / u128::from(count);
        println!("| {models} | {targets} | {count} | {each} |");
    }
}

fn waiting() {
    println!("\n## Requests that wait\n");
    println!("| waiting | bytes a request | ns an arrival | ms a sweep |");
    println!("| --- | --- | --- | --- |");
    // Kept until the end, so that no run reuses memory freed by an earlier one.
    let mut cores = Vec::new();
    for count in [5_000, 20_000, 80_000] {
        let mut waiting = core(40, 12, false);
        let before = resident();
        for id in 0..count {
            waiting.handle(Event::Arrived(request(id, 40)), Duration::ZERO);
        }
        let bytes = (resident().saturating_sub(before)) as u64 / count;
        let start = Instant::now();
        waiting.handle(Event::Tick, Duration::from_secs(1));
        let sweep = start.elapsed().as_micros();
        assert_eq!(u64::from(waiting.load()), count);
        cores.push(waiting);
        let arrival = arrivals(count);
        println!(
            "| {count} | {bytes} | {arrival} | {}.{:03} |",
            sweep / 1_000,
            sweep % 1_000
        );
    }
}

/// Returns the mean time of an arrival in nanoseconds while up to `count` requests wait.
fn arrivals(count: u64) -> u128 {
    let mut waiting = core(40, 12, false);
    let requests: Vec<Request> = (0..count).map(|id| request(id, 40)).collect();
    let start = Instant::now();
    for request in requests {
        waiting.handle(Event::Arrived(request), Duration::ZERO);
    }
    start.elapsed().as_nanos() / u128::from(count)
}
