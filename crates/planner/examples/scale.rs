//! Measures the CPU time of one plan for fleets of growing size, and its slope per worker.
//!
//! `cargo run --release -p cornelhitch-planner --example scale`

use std::sync::Arc;
use std::time::Duration;

use cornelhitch_planner::Planner;
use cornelhitch_planner::decision::{Action, Decision};
use cornelhitch_planner::fleet_state::{Demand, FleetState, Replica, WeightCopy, Worker};
use cornelhitch_planner::policy::Policy;
use cornelhitch_settings::fleet::{FleetSettings, Model};
use cornelhitch_types::target::Stage;
use cornelhitch_types::view::State;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const GIB: u64 = 1 << 30;
const MODELS: usize = 59;
const ADAPTERS: usize = 1_700;
const REGIONS: [&str; 3] = ["perth-a", "bunbury-a", "kalgoorlie-a"];
const ZONES: usize = 11;
/// Numbers of workers, and of accelerators in all of them.
const SIZES: [(usize, u32); 4] = [
    (990, 3_880),
    (1_980, 7_760),
    (3_950, 15_500),
    (7_900, 31_000),
];
/// Plans computed for each size.
const PLANS: u32 = 200;
/// Time between two plans.
const PERIOD: Duration = Duration::from_millis(500);

/// Returns the CPU time of this thread in nanoseconds, which does not depend on other load.
fn thread_cpu_ns() -> u64 {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").expect("Linux");
    let first = text.split_whitespace().next().expect("three fields");
    first.parse().expect("nanoseconds")
}

/// Returns the settings of a large fleet.
fn fleet() -> FleetSettings {
    let mut fleet = FleetSettings::default();
    fleet.loading.starts_per_second = 40.0;
    fleet.loading.concurrency = 80;
    fleet.placing.replicas = 400;
    for index in 0..MODELS {
        let name = format!("model-{index}");
        let each = ADAPTERS.div_ceil(MODELS);
        let adapters = (0..each)
            .map(|a| format!("adapter-{index}-{a}").into())
            .collect();
        fleet.models.push(Model {
            name: name.into(),
            bytes: (4 + index as u64 % 9 * 3) * GIB,
            accelerators: 1,
            group: None,
            version: None,
            class: None,
            adapters,
        });
    }
    fleet
}

/// Creates a fleet with a replica on every worker and random copies on disk.
fn fleet_state(workers: usize, accelerators: u32, random: &mut SmallRng) -> FleetState {
    let fleet = fleet();
    let each = accelerators / u32::try_from(workers).expect("a small count");
    let mut fleet_state = FleetState::default();
    for index in 0..workers {
        let copies = (0..6).map(|_| WeightCopy {
            model: fleet.models[random.random_range(0..MODELS)].name.clone(),
            stage: Stage::Disk,
        });
        let mut worker = Worker {
            target: format!("worker-{index:05}").into(),
            region: REGIONS[index % REGIONS.len()].into(),
            zone: format!("zone-{}", index % ZONES).into(),
            memory: u64::from(each) * 24 * GIB,
            free: u64::from(each) * 24 * GIB,
            accelerators: each,
            accepts_loads: true,
            copies: copies.collect(),
            cooldowns: Vec::new(),
        };
        let model = &fleet.models[index % (MODELS - 9)];
        worker.free -= model.bytes;
        fleet_state.replicas.push(Replica {
            replica: index as u64,
            model: model.name.clone(),
            version: None,
            target: worker.target.clone(),
            bytes: model.bytes,
            state: State::Ready,
            decided_at: Duration::ZERO,
            ready_at: Some(Duration::ZERO),
            from: Stage::Disk,
            running: random.random_range(0..4),
            last_used: Duration::ZERO,
            adapters: model.adapters[..3].to_vec(),
        });
        fleet_state.workers.push(worker);
    }
    fleet_state.settings = Arc::new(fleet);
    fleet_state
}

/// Generates demand for every model from every region; requests wait for about a third of the models.
fn demand(fleet_state: &mut FleetState, now: Duration, random: &mut SmallRng) {
    let most = u32::try_from(fleet_state.workers.len() / 20).expect("a small count");
    fleet_state.demand.clear();
    for model in &fleet_state.settings.models {
        let waits = random.random_bool(0.3);
        for region in REGIONS {
            let named = random.random_range(0..model.adapters.len());
            fleet_state.demand.push(Demand {
                model: model.name.clone(),
                version: None,
                region: region.into(),
                waiting: if waits {
                    random.random_range(1..most)
                } else {
                    0
                },
                running: random.random_range(0..most),
                deadline: now + Duration::from_secs(random.random_range(1..60)),
                weight: 1,
                arrivals: random.random_range(0..200),
                adapters: vec![model.adapters[named].clone()],
            });
        }
    }
}

/// Applies decisions, after finishing the loads and unloads of the previous plan.
fn apply(fleet_state: &mut FleetState, decisions: &[Decision], now: Duration) {
    let gone = |replica: &Replica| replica.state == State::Retiring;
    for replica in fleet_state
        .replicas
        .iter_mut()
        .filter(|r| r.state == State::Loading)
    {
        replica.state = State::Ready;
        replica.ready_at = Some(now);
    }
    for replica in fleet_state.replicas.iter().filter(|replica| gone(replica)) {
        let place = fleet_state
            .workers
            .binary_search_by_key(&&replica.target, |w| &w.target);
        fleet_state.workers[place.expect("a worker")].free += replica.bytes;
    }
    fleet_state.replicas.retain(|replica| !gone(replica));
    for decision in decisions {
        match &decision.action {
            Action::Unload { replica } => {
                let mut replicas = fleet_state.replicas.iter_mut();
                if let Some(replica) = replicas.find(|known| known.replica == *replica) {
                    replica.state = State::Retiring;
                }
            }
            Action::Load {
                model,
                target,
                bytes,
                ..
            } => load(fleet_state, model, target, *bytes, now),
            Action::Adapter { .. } | Action::Warm { .. } => {}
        }
    }
}

/// Starts a load.
fn load(fleet_state: &mut FleetState, model: &str, target: &str, bytes: u64, now: Duration) {
    let place = fleet_state
        .workers
        .binary_search_by_key(&target, |worker| &worker.target);
    fleet_state.workers[place.expect("a worker")].free -= bytes;
    let next = fleet_state
        .replicas
        .iter()
        .map(|replica| replica.replica + 1)
        .max();
    fleet_state.replicas.push(Replica {
        replica: next.unwrap_or(0),
        model: model.into(),
        version: None,
        target: target.into(),
        bytes,
        state: State::Loading,
        decided_at: now,
        ready_at: None,
        from: Stage::Disk,
        running: 1,
        last_used: now,
        adapters: Vec::new(),
    });
}

fn main() {
    println!("| workers | accelerators | mean ms per plan | decisions per plan |");
    println!("| --- | --- | --- | --- |");
    let mut points: Vec<(f64, f64)> = Vec::new();
    for (workers, accelerators) in SIZES {
        let mut random = SmallRng::seed_from_u64(9);
        let mut fleet_state = fleet_state(workers, accelerators, &mut random);
        let mut policy = Policy::default();
        let mut spent = 0;
        let mut decisions = 0;
        for plan in 0..PLANS {
            let now = Duration::from_hours(1) + PERIOD * plan;
            demand(&mut fleet_state, now, &mut random);
            for replica in fleet_state.replicas.iter_mut().step_by(2) {
                replica.last_used = now;
            }
            let start = thread_cpu_ns();
            let decided = policy.plan(&fleet_state, now);
            spent += thread_cpu_ns() - start;
            decisions += decided.len();
            apply(&mut fleet_state, &decided, now);
        }
        let plans = f64::from(PLANS);
        let mean_ms = Duration::from_nanos(spent).as_secs_f64() * 1_000.0 / plans;
        let decisions_per_plan = f64::from(u32::try_from(decisions).unwrap_or(u32::MAX)) / plans;
        println!("| {workers} | {accelerators} | {mean_ms:.2} | {decisions_per_plan:.1} |");
        let workers = f64::from(u32::try_from(workers).expect("a small count"));
        points.push((workers / 1_000.0, mean_ms));
    }
    println!("\nslope: {:.3} ms per thousand workers", slope(&points));
}

/// Returns the slope of the least-squares line.
fn slope(points: &[(f64, f64)]) -> f64 {
    let count = f64::from(u32::try_from(points.len()).expect("a small count"));
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let both: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let square: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    both / square
}
