//! Measures the CPU time of one plan of the hosting policy for fleets of growing size.
//!
//! `cargo run --release -p cornelhitch-planner --example hosting`

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cornelhitch_planner::hosting::{HeldModel, ModelDemand, Policy, ServiceState, Worker};
use cornelhitch_types::id::ModelId;
use cornelhitch_types::route::{Model, WorkerCapacity};
use cornelhitch_types::target::Stage;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Numbers of workers and models.
const SIZES: [(usize, usize); 5] = [(60, 200), (117, 390), (120, 200), (600, 200), (7_900, 59)];
/// Models in a worker's accelerator memory.
const HELD: usize = 3;
/// Models on a worker's disk.
const NEAR: usize = 9;
/// Plans computed for each size.
const PLANS: u32 = 50;

/// Returns the CPU time of this thread in nanoseconds, which does not depend on other load.
fn thread_cpu_ns() -> u64 {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").expect("Linux");
    let first = text.split_whitespace().next().expect("three fields");
    first.parse().expect("nanoseconds")
}

/// Returns the id of a model.
fn name(index: usize) -> ModelId {
    format!("service/model-{index}").into()
}

/// Creates a model of 70 GB.
fn model(index: usize) -> Model {
    Model {
        name: format!("model-{index}").into(),
        bytes: 70_000_000_000,
        from_store: Duration::from_secs(10),
        from_disk: Duration::from_millis(400),
        from_memory: Duration::from_millis(300),
        adapters: Vec::new(),
        adapter_bytes: 0,
    }
}

/// Creates a full worker with random models.
fn worker(index: usize, models: usize, random: &mut SmallRng) -> Worker {
    let near: Vec<usize> = (0..NEAR).map(|_| random.random_range(0..models)).collect();
    let held = near.iter().take(HELD).map(|model| HeldModel {
        model: name(*model),
        adapters: Vec::new(),
        unloading: false,
    });
    Worker {
        target: format!("worker-{index:05}").into(),
        region: "perth".into(),
        held: held.collect(),
        local_copies: Arc::new(
            near.iter()
                .map(|model| (name(*model), Stage::Disk))
                .collect(),
        ),
        loading: None,
        time_until_free: Some(Duration::ZERO),
        open: true,
    }
}

/// Creates the demand for a model; requests are waiting for one model in ten.
fn model_demand(index: usize, random: &mut SmallRng) -> ModelDemand {
    let rate = 20.0 / f64::from(u32::try_from(index + 1).unwrap_or(u32::MAX));
    ModelDemand {
        waiting: u32::from(index % 10 == 9),
        running: random.random_range(0..4),
        load: rate / 2.0,
        rate,
        time_to_deadline: Duration::from_secs(4),
        ..ModelDemand::default()
    }
}

fn main() {
    let engine = WorkerCapacity {
        slots: 64,
        kv_cache_tokens: 250_000,
        memory: 230_000_000_000,
        host_memory: 0,
        disk: 0,
        adapters: 8,
        start_interval: Duration::from_millis(100),
        models: Vec::new(),
    };
    println!("workers  models  us/plan");
    for (workers, count) in SIZES {
        let mut random = SmallRng::seed_from_u64(1);
        let models: BTreeMap<ModelId, Model> = (0..count).map(|it| (name(it), model(it))).collect();
        let service_state = ServiceState {
            engine: &engine,
            models: &models,
            workers: (0..workers)
                .map(|it| worker(it, count, &mut random))
                .collect(),
            demand: (0..count)
                .map(|it| (name(it), model_demand(it, &mut random)))
                .collect(),
            store_loads_in_flight: 0,
            store_open: true,
        };
        let before = thread_cpu_ns();
        for _ in 0..PLANS {
            std::hint::black_box(Policy::default().plan(&service_state));
        }
        let us_per_plan = (thread_cpu_ns() - before) / u64::from(PLANS) / 1_000;
        println!("{workers:7} {count:7} {us_per_plan:10}");
    }
}
