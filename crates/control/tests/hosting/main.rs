//! Workers that count their orders are never overloaded, whatever is lost or delayed.

#[path = "../common/mod.rs"]
mod common;
mod edges;
mod schedule;
mod worker;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use common::Bench;
use cornelhitch_control::prelude::*;
use cornelhitch_types::demand::{Demand, DemandReport};
use cornelhitch_types::order::{Action, Order, Outcome};
use cornelhitch_types::route::model_id;
use cornelhitch_types::view::{Change, State as ReplicaState};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use schedule::schedule;
use worker::{FROM_STORE, MODELS, SimulatedWorker, table};

fn demand(sequence: u64, rows: &[(&str, u32, &[&str])]) -> Input {
    let row = |(model, waiting, adapters): &(&str, u32, &[&str])| Demand {
        model: model_id("s", model),
        version: None,
        waiting: *waiting,
        running: 0,
        time_to_deadline: Duration::from_secs(10),
        weight: 1,
        arrivals: u64::from(*waiting) * sequence,
        adapters: adapters.iter().map(|it| (*it).into()).collect(),
    };
    Input::Report(DemandReport {
        host: 1,
        incarnation: 1,
        sequence,
        region: "r".into(),
        rows: rows.iter().map(row).collect(),
    })
}

fn id(model: &str) -> String {
    model_id("s", model).to_string()
}

/// A leader with a table and one worker that holds `a` and `b` and has all models on its disk.
fn bench() -> (Bench, SimulatedWorker) {
    let mut bench = Bench::new();
    bench.commit(&Command::PublishTable(table()));
    let disk: Vec<String> = MODELS.iter().map(|model| id(model)).collect();
    let disk: Vec<&str> = disk.iter().map(String::as_str).collect();
    let mut worker = SimulatedWorker::new("w1", 1_000, &disk);
    worker.held.insert(id("a"), BTreeSet::new());
    worker.held.insert(id("b"), BTreeSet::new());
    bench.handle(Input::Presence(Box::new(worker.presence(false))));
    (bench, worker)
}

fn step(bench: &mut Bench, by: Duration) {
    bench.now += by;
    bench.handle(Input::Tick);
}

#[test]
fn waiting_model_replaces_an_idle_one() {
    let (mut bench, mut worker) = bench();
    bench.handle(demand(1, &[("c", 1, &[]), ("a", 1, &[])]));
    step(&mut bench, Duration::from_millis(100));
    let orders = bench.orders();
    let [unload] = &orders[..] else {
        panic!("{orders:?}")
    };
    assert!(matches!(&unload.action, Action::Unload { model } if *model.model == *id("b")));
    assert_eq!(unload.after, Some(0));
    let outcome = worker.handle_order(unload, bench.now);
    bench.handle(Input::OrderDone {
        order: unload.clone(),
        outcome,
    });
    // No further order until the worker shows that the first is done.
    step(&mut bench, Duration::from_secs(1));
    assert!(bench.orders().is_empty());
    worker.advance(bench.now);
    bench.handle(Input::Presence(Box::new(worker.presence(false))));
    step(&mut bench, Duration::from_millis(100));
    let orders = bench.orders();
    let [load] = &orders[..] else {
        panic!("{orders:?}")
    };
    assert!(matches!(&load.action, Action::Load { model, .. } if *model.model == *id("c")));
    assert_eq!(load.after, Some(1));
}

/// An order sent while an earlier one was in progress exceeded the platform's LIMIT (run `quiet-1`,
/// seed 34090963420).
#[test]
fn no_second_order_is_sent_while_one_is_in_progress() {
    let (mut bench, _) = bench();
    bench.handle(demand(1, &[("a", 1, &["a1", "a2", "a3", "a4"])]));
    step(&mut bench, Duration::from_millis(100));
    assert_eq!(bench.orders().len(), 1);
    for _ in 0..30 {
        step(&mut bench, Duration::from_millis(100));
        assert!(bench.orders().is_empty(), "the first has no outcome yet");
    }
}

/// Orders and inspections are requests of this host too.
#[test]
fn worker_that_names_a_time_gets_no_order_until_it_ends() {
    let (mut bench, mut worker) = bench();
    // Asks for an adapter for a while; returns the orders and whether the worker was inspected.
    let run = |bench: &mut Bench, worker: &mut SimulatedWorker, tenths: u32| {
        let (mut orders, mut inspected) = (Vec::new(), false);
        for _ in 0..tenths {
            step(bench, Duration::from_millis(100));
            orders.extend(bench.orders());
            inspected |= bench
                .outputs
                .iter()
                .any(|it| matches!(it, Output::Inspect { .. }));
            bench.outputs.clear();
            bench.handle(Input::Presence(Box::new(worker.presence(false))));
        }
        (orders, inspected)
    };
    let pause = |bench: &mut Bench| {
        bench.handle(Input::TargetPaused {
            target: "w1".into(),
            incarnation: 1_000,
            pause: Duration::from_secs(3),
        });
    };
    pause(&mut bench);
    bench.handle(demand(1, &[("a", 1, &["a1"])]));
    let (orders, _) = run(&mut bench, &mut worker, 29);
    assert!(orders.is_empty(), "{orders:?}");
    bench.handle(demand(2, &[("a", 1, &["a1"])]));
    let (orders, _) = run(&mut bench, &mut worker, 5);
    let order = orders.first().expect("an order").clone();
    pause(&mut bench);
    bench.handle(Input::OrderDone {
        order,
        outcome: Outcome::Unknown,
    });
    let (_, inspected) = run(&mut bench, &mut worker, 29);
    assert!(!inspected, "inspected in the time named");
    let (_, inspected) = run(&mut bench, &mut worker, 5);
    assert!(inspected, "not inspected after it");
}

#[test]
fn worker_is_inspected_after_a_lost_answer() {
    let (mut bench, mut worker) = bench();
    bench.handle(demand(1, &[("a", 1, &["a1"])]));
    step(&mut bench, Duration::from_millis(100));
    let order = bench.orders().remove(0);
    worker.handle_order(&order, bench.now);
    bench.handle(Input::OrderDone {
        order,
        outcome: Outcome::Unknown,
    });
    step(&mut bench, Duration::from_millis(300));
    let inspected = |it: &Output| matches!(it, Output::Inspect { .. });
    assert!(bench.outputs.iter().any(inspected));
    assert!(bench.orders().is_empty());
    bench.handle(Input::Inspected {
        target: "w1".into(),
        incarnation: 1_000,
        inspection: Some(worker.inspection()),
    });
    bench.handle(demand(2, &[("a", 1, &["a2"])]));
    step(&mut bench, Duration::from_millis(100));
    assert_eq!(bench.orders()[0].after, Some(1));
}

/// The late outcome of an abandoned order was attributed to the next one, which had been sent
/// for the same number of accepted orders (schedule 1362947815341335608).
#[test]
fn late_outcome_does_not_settle_another_order_with_the_same_count() {
    let (mut bench, mut worker) = bench();
    bench.handle(demand(1, &[("a", 1, &["a1"])]));
    step(&mut bench, Duration::from_millis(100));
    let first = bench.orders().remove(0);
    bench.handle(Input::OrderDone {
        order: first.clone(),
        outcome: Outcome::Unknown,
    });
    // The worker has not received the order yet.
    bench.handle(Input::Inspected {
        target: "w1".into(),
        incarnation: 1_000,
        inspection: Some(worker.inspection()),
    });
    bench.handle(demand(2, &[("b", 1, &["a2"])]));
    step(&mut bench, Duration::from_millis(100));
    let second = bench.orders().remove(0);
    assert_eq!(first.after, second.after);
    let outcome = worker.handle_order(&first, bench.now);
    bench.handle(Input::OrderDone {
        order: first,
        outcome,
    });
    bench.handle(demand(3, &[("b", 1, &["a3"])]));
    step(&mut bench, Duration::from_millis(100));
    assert!(
        bench.orders().is_empty(),
        "the second order is still in progress"
    );
}

#[test]
fn adapter_is_published_when_its_order_is_accepted() {
    let (mut bench, mut worker) = bench();
    bench.changes();
    let shown = |bench: &mut Bench| {
        let changes = bench.changes();
        changes.iter().any(|change| {
            matches!(change, Change::Replica(replica) if replica.adapters.contains(&"a1".into()))
        })
    };
    bench.handle(demand(1, &[("a", 1, &["a1"])]));
    step(&mut bench, Duration::from_millis(100));
    let order = bench.orders().remove(0);
    assert!(!shown(&mut bench));
    let outcome = worker.handle_order(&order, bench.now);
    bench.handle(Input::OrderDone { order, outcome });
    assert!(shown(&mut bench));
}

#[test]
fn new_leader_publishes_held_models_at_once() {
    let (mut bench, _) = bench();
    bench.changes();
    bench.restart();
    step(&mut bench, Duration::from_millis(50));
    let changes = bench.changes();
    let ready = changes.iter().filter(
        |change| matches!(change, Change::Replica(replica) if replica.state == ReplicaState::Ready),
    );
    assert_eq!(ready.count(), 2);
    bench.handle(demand(1, &[("c", 1, &[])]));
    step(&mut bench, Duration::from_millis(100));
    assert!(
        bench.orders().is_empty(),
        "the content of its disk is not known yet"
    );
}

#[test]
fn leaving_worker_stays_closed_under_later_leaders() {
    let (mut bench, mut worker) = bench();
    bench.commit(&Command::Leave {
        target: "w1".into(),
        incarnation: 1_000,
    });
    let open = |bench: &mut Bench| {
        let changes = bench.changes();
        let mut targets = changes.iter().rev().filter_map(|change| match change {
            Change::Target(target) => Some(target.open),
            _ => None,
        });
        targets.next()
    };
    assert_eq!(open(&mut bench), Some(false));
    bench.restart();
    bench.handle(Input::Presence(Box::new(worker.presence(false))));
    bench.advance(1);
    assert_eq!(open(&mut bench), Some(false));
}

#[test]
fn newer_incarnation_takes_over_the_address_for_good() {
    let (mut bench, mut worker) = bench();
    let mut next = SimulatedWorker::new("w1", 2_000, &[]);
    next.name = "x1".into();
    bench.handle(Input::Presence(Box::new(next.presence(false))));
    assert!(bench.state.fleet().get("w1").is_none());
    bench.handle(Input::Presence(Box::new(worker.presence(false))));
    assert!(bench.state.fleet().get("w1").is_none());
    assert!(bench.state.fleet().get("x1").is_some());
}

/// A delayed heartbeat may reach the leader after the worker's notice that it is leaving.
#[test]
fn incarnation_that_left_unregistered_is_never_registered() {
    let (mut bench, _) = bench();
    for (name, left, again) in [("x1", 1_500, 1_501), ("w1", 2_000, 2_001)] {
        bench.commit(&Command::Leave {
            target: name.into(),
            incarnation: left,
        });
        let incarnation = |bench: &Bench| {
            let known = bench.state.fleet().get(name);
            known.map(|known| known.announcement.incarnation)
        };
        let mut late = SimulatedWorker::new("w9", left, &[]);
        late.name = name.into();
        bench.handle(Input::Presence(Box::new(late.presence(false))));
        assert_ne!(incarnation(&bench), Some(left), "{name}");
        let mut next = SimulatedWorker::new("w9", again, &[]);
        next.name = name.into();
        bench.handle(Input::Presence(Box::new(next.presence(false))));
        assert_eq!(incarnation(&bench), Some(again), "{name}");
    }
}

/// A notice from a newer incarnation shows that the registered one has ended.
#[test]
fn worker_is_closed_when_a_newer_incarnation_leaves() {
    let (mut bench, _) = bench();
    bench.commit(&Command::Leave {
        target: "w1".into(),
        incarnation: 2_000,
    });
    let known = bench
        .state
        .fleet()
        .get("w1")
        .expect("the older incarnation must stay registered");
    assert!(known.leaving);
}

/// A second worker with one model on its disk and none in memory.
fn second(disk: &str) -> SimulatedWorker {
    SimulatedWorker::new("w2", 1_000, &[&id(disk)])
}

/// Returns the models whose load was ordered.
fn loads(bench: &mut Bench) -> Vec<String> {
    let orders = bench.orders().into_iter();
    let loads = orders.filter_map(|order| match order.action {
        Action::Load { model, .. } => Some(model.model.to_string()),
        _ => None,
    });
    loads.collect()
}

/// Reports the worker's state to the leader as the result of an inspection.
fn answer_inspection(bench: &mut Bench, worker: &SimulatedWorker) {
    bench.handle(Input::Inspected {
        target: worker.name.clone(),
        incarnation: worker.incarnation,
        inspection: Some(worker.inspection()),
    });
}

/// Each new leader loaded from the weight store models that were already on the disks of workers
/// from which it had received no heartbeat yet (run `trouble-1`).
#[test]
fn new_leader_loads_nothing_from_the_store_before_hearing_the_workers() {
    let (mut bench, mut worker) = bench();
    let mut other = second("a");
    bench.handle(Input::Presence(Box::new(other.presence(false))));
    bench.restart();
    // Only the worker without the model on its disk has sent a heartbeat, and it accepts orders.
    bench.handle(Input::Presence(Box::new(other.presence(false))));
    answer_inspection(&mut bench, &other);
    bench.handle(demand(1, &[("g", 2, &[])]));
    step(&mut bench, Duration::from_millis(100));
    // It may load models from its disk, but none from the weight store.
    let ordered = loads(&mut bench);
    let on_disk = |model: &String| *model == id("a");
    assert!(ordered.iter().all(on_disk), "{ordered:?}");
    bench.handle(Input::Presence(Box::new(worker.presence(false))));
    // The order has not arrived, so this worker accepts orders again.
    answer_inspection(&mut bench, &other);
    bench.handle(demand(2, &[("g", 2, &[])]));
    step(&mut bench, Duration::from_millis(100));
    let ordered = loads(&mut bench);
    assert!(
        !ordered.contains(&id("g")),
        "w1 has it on disk, and its accepted orders are being inspected"
    );
    answer_inspection(&mut bench, &worker);
    step(&mut bench, Duration::from_millis(100));
    let orders = bench.orders();
    let makes_room = |it: &Order| &*it.target == "w1" && matches!(it.action, Action::Unload { .. });
    assert!(
        orders.iter().any(makes_room),
        "w1 must unload a model first: {orders:?}"
    );
}

/// A worker that does not answer inspections must not delay loads elsewhere.
#[test]
fn unanswered_inspections_do_not_block_loads_elsewhere() {
    let (mut bench, mut worker) = bench();
    let mut other = second("a");
    bench.handle(Input::Presence(Box::new(other.presence(false))));
    bench.restart();
    bench.handle(Input::Presence(Box::new(other.presence(false))));
    answer_inspection(&mut bench, &other);
    bench.handle(Input::Presence(Box::new(worker.presence(false))));
    let mut ordered = Vec::new();
    for round in 1..100 {
        // Orders to the other worker do not arrive, so it always accepts another one.
        answer_inspection(&mut bench, &other);
        bench.handle(demand(round, &[("g", 2, &[])]));
        step(&mut bench, Duration::from_millis(100));
        let inspected =
            |it: &Output| matches!(it, Output::Inspect { target, .. } if &**target == "w1");
        if bench.outputs.iter().any(inspected) {
            bench.handle(Input::Inspected {
                target: "w1".into(),
                incarnation: 1_000,
                inspection: None,
            });
        }
        ordered.extend(loads(&mut bench));
    }
    assert!(ordered.contains(&id("g")), "{ordered:?}");
}

/// Returns the published load times of models that no target has on local storage.
fn cold_start_estimates(bench: &mut Bench) -> BTreeMap<String, u32> {
    let changes = bench.changes().into_iter();
    let cold_start_estimates = changes.filter_map(|change| match change {
        Change::ColdStartEstimate(model, ms) => Some((model.to_string(), ms)),
        _ => None,
    });
    cold_start_estimates.collect()
}

/// Requests for models that only the weight store held waited until their deadline (run `scale-2`).
#[test]
fn store_only_models_are_published_with_their_load_time() {
    let mut bench = Bench::new();
    bench.commit(&Command::PublishTable(table()));
    let mut worker = SimulatedWorker::new("w1", 1_000, &[&id("a")]);
    worker.held.insert(id("b"), BTreeSet::new());
    worker.held.insert(id("c"), BTreeSet::new());
    bench.handle(Input::Presence(Box::new(worker.presence(false))));
    step(&mut bench, Duration::from_millis(300));
    let shown = cold_start_estimates(&mut bench);
    let ms = u32::try_from(FROM_STORE.as_millis()).expect("a short time");
    let store_only: Vec<String> = ["d", "e", "f", "g"].map(id).into();
    assert_eq!(shown.keys().cloned().collect::<Vec<_>>(), store_only);
    assert!(shown.values().all(|it| *it == ms));
    // Once a disk has the model, a load takes much less time.
    worker.disk.insert(id("d"));
    bench.handle(Input::Presence(Box::new(worker.presence(false))));
    step(&mut bench, Duration::from_millis(300));
    assert_eq!(cold_start_estimates(&mut bench).get(&id("d")), Some(&0));
}

/// Entry hosts refuse requests that cannot wait for such a load.
#[test]
fn load_from_the_store_is_published_with_its_remaining_time() {
    let mut bench = Bench::new();
    bench.commit(&Command::PublishTable(table()));
    let mut worker = SimulatedWorker::new("w1", 1_000, &[]);
    bench.handle(Input::Presence(Box::new(worker.presence(false))));
    step(&mut bench, Duration::from_millis(300));
    let changes = bench.changes();
    let loading = changes.iter().find_map(|change| match change {
        Change::Replica(replica) if replica.state == ReplicaState::Loading => Some(replica),
        _ => None,
    });
    let loading = loading.expect("the load in progress must be published");
    assert_eq!(loads(&mut bench), [loading.model.to_string()]);
    let left = Duration::from_millis(loading.ready_in_ms.into());
    assert!(left <= FROM_STORE && left > FROM_STORE / 2, "{left:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 300, rng_seed: RngSeed::Fixed(20_261_204), ..ProptestConfig::default() })]

    #[test]
    fn no_worker_is_ordered_beyond_its_capacity(seed in any::<u64>()) {
        let orders_sent = schedule(seed);
        prop_assert!(orders_sent.is_ok(), "seed {}: {}", seed, orders_sent.unwrap_err());
    }
}

/// Seeds that failed before.
#[test]
fn schedules_that_failed_before_pass() {
    // An outcome was attributed to another order.
    const SEEDS: [u64; 1] = [1_362_947_815_341_335_608];
    for seed in SEEDS {
        assert_eq!(schedule(seed).err(), None, "seed {seed}");
    }
}

/// Runs schedules by seed: `SCHEDULE=17 SCHEDULES=1000 cargo test ... schedules_by_seed`.
#[test]
fn schedules_by_seed() {
    let number = |name: &str| {
        let text = std::env::var(name).unwrap_or_else(|_| "1".to_owned());
        text.parse::<u64>().expect("a number")
    };
    let first = number("SCHEDULE");
    let seeds = first..first.saturating_add(number("SCHEDULES"));
    for seed in seeds {
        assert_eq!(schedule(seed).err(), None, "seed {seed}");
    }
}

#[test]
fn random_schedules_send_orders() {
    let orders_sent: u64 = (0..20)
        .map(|seed| schedule(seed).expect("no worker may crash"))
        .sum();
    assert!(orders_sent > 200, "{orders_sent} orders");
}

/// A new leader queried all workers at once, beside all else that an election brings.
#[test]
fn new_leader_inspects_a_few_workers_at_a_time() {
    const WORKERS: usize = 117;
    let mut bench = Bench::new();
    bench.commit(&Command::PublishTable(table()));
    let mut workers: Vec<SimulatedWorker> = (0..WORKERS)
        .map(|at| SimulatedWorker::new(&format!("w{at:03}"), 1_000, &[]))
        .collect();
    let beat = |bench: &mut Bench, workers: &mut [SimulatedWorker]| {
        for worker in workers {
            bench.handle(Input::Presence(Box::new(worker.presence(false))));
        }
    };
    beat(&mut bench, &mut workers);
    bench.elect();
    let mut inspected = BTreeSet::new();
    for round in 0..60 {
        if round % 20 == 0 {
            beat(&mut bench, &mut workers);
        }
        step(&mut bench, Duration::from_millis(50));
        let outputs = std::mem::take(&mut bench.outputs).into_iter();
        let targets: Vec<_> = outputs
            .filter_map(|output| match output {
                Output::Inspect { target, .. } => Some(target),
                _ => None,
            })
            .collect();
        assert!(targets.len() <= 8, "{} at once", targets.len());
        for target in targets {
            let worker = workers.iter().find(|worker| *worker.name == *target);
            let inspection = worker.map(SimulatedWorker::inspection);
            inspected.insert(target.clone());
            bench.handle(Input::Inspected {
                target,
                incarnation: 1_000,
                inspection,
            });
        }
    }
    assert_eq!(inspected.len(), WORKERS, "within 3 s");
}
