//! Placement of models on workers that take one order at a time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cornelhitch_planner::hosting::{
    Action, ArrivalRate, HeldModel, ModelDemand, PlannedOrder, Policy, Reason, ServiceState, Worker,
};
use cornelhitch_types::id::ModelId;
use cornelhitch_types::route::{Model, WorkerCapacity};
use cornelhitch_types::target::Stage;

/// Models that fit into the memory of one worker.
const MODELS_PER_WORKER: u64 = 2;

/// An engine whose workers hold two models and two adapters.
fn engine() -> WorkerCapacity {
    WorkerCapacity {
        slots: 64,
        kv_cache_tokens: 250_000,
        memory: MODELS_PER_WORKER * 100 + 2,
        host_memory: 0,
        disk: 0,
        adapters: 2,
        start_interval: Duration::from_millis(500),
        models: Vec::new(),
    }
}

fn models() -> BTreeMap<ModelId, Model> {
    let model = |name: &str| Model {
        name: name.into(),
        bytes: 100,
        from_store: Duration::from_secs(10),
        from_disk: Duration::from_millis(400),
        from_memory: Duration::from_millis(300),
        adapters: vec!["a1".into(), "a2".into(), "a3".into()],
        adapter_bytes: 1,
    };
    let names = ["a", "b", "c", "d", "e", "f"];
    names
        .iter()
        .map(|name| ((*name).into(), model(name)))
        .collect()
}

/// Creates a worker that takes an order now, with the models in its memory and on its disk.
fn worker(name: &str, held: &[&str], disk: &[&str]) -> Worker {
    let near = disk.iter().map(|model| ((*model).into(), Stage::Disk));
    let held = held.iter().map(|model| HeldModel {
        model: (*model).into(),
        adapters: Vec::new(),
        unloading: false,
    });
    Worker {
        target: name.into(),
        region: "r".into(),
        held: held.collect(),
        local_copies: Arc::new(near.collect()),
        loading: None,
        time_until_free: Some(Duration::ZERO),
        open: true,
    }
}

/// Creates the demand for a model: waiting and running requests, and arrivals per second.
fn model_demand(waiting: u32, running: u32, rate: f64) -> ModelDemand {
    ModelDemand {
        waiting,
        running,
        load: f64::from(waiting + running),
        rate,
        time_to_deadline: Duration::from_secs(4),
        ..ModelDemand::default()
    }
}

/// Returns one plan of a new policy, as `worker action model reason` lines.
fn plan(
    workers: Vec<Worker>,
    demand: &[(&str, ModelDemand)],
    store_loads_in_flight: u32,
) -> Vec<String> {
    let (engine, models) = (engine(), models());
    let service_state = ServiceState {
        engine: &engine,
        models: &models,
        workers,
        demand: demand
            .iter()
            .map(|(model, demand)| ((*model).into(), demand.clone()))
            .collect(),
        store_loads_in_flight,
        store_open: true,
    };
    Policy::default()
        .plan(&service_state)
        .iter()
        .map(format_order)
        .collect()
}

fn format_order(order: &PlannedOrder) -> String {
    let action = match &order.action {
        Action::Load { model, from } => format!("load {model} {from:?}"),
        Action::Unload { model } => format!("unload {model}"),
        Action::Adapter { model, adapter } => format!("adapter {model}/{adapter}"),
        Action::DropAdapter { model, adapter } => format!("drop {model}/{adapter}"),
    };
    format!("{} {action} {}", order.target, order.reason)
}

#[test]
fn a_waiting_model_evicts_the_least_requested_one() {
    let workers = vec![worker("w1", &["a", "b"], &["a", "b", "c"])];
    let demand = [
        ("a", model_demand(0, 0, 0.5)),
        ("b", model_demand(0, 0, 0.01)),
        ("c", model_demand(1, 0, 0.1)),
    ];
    assert_eq!(plan(workers, &demand, 0), ["w1 unload b room"]);
}

/// Guards against thrashing: two models in high demand evicted each other in turn on the one worker
/// that had local copies of both, and spent more time loading than serving.
#[test]
fn a_copy_in_use_is_not_evicted_for_a_model_in_lower_demand() {
    let workers = vec![worker("w1", &["a", "b"], &["a", "b", "c"])];
    let busy = model_demand(6, 12, 6.0);
    let demand = [
        ("a", busy.clone()),
        ("b", busy),
        ("c", model_demand(1, 0, 0.1)),
    ];
    assert!(plan(workers, &demand, 0).is_empty());
}

#[test]
fn a_copy_in_use_is_evicted_for_a_model_in_higher_demand() {
    let workers = vec![worker("w1", &["a", "b"], &["a", "b", "c"])];
    let demand = [
        ("a", model_demand(0, 1, 0.1)),
        ("b", model_demand(0, 2, 0.2)),
        ("c", model_demand(20, 0, 5.0)),
    ];
    assert_eq!(plan(workers, &demand, 0), ["w1 unload a room"]);
}

/// A worker that unloads a copy in use takes no other order until the copy's requests have ended.
#[test]
fn an_idle_copy_is_evicted_before_a_redundant_one_in_use() {
    let workers = vec![
        worker("w1", &["a", "b"], &["c"]),
        worker("w2", &["a", "d"], &[]),
        worker("w3", &["a", "e"], &[]),
    ];
    let demand = [
        ("a", model_demand(0, 6, 2.0)),
        ("b", model_demand(0, 0, 0.05)),
        ("c", model_demand(1, 0, 0.1)),
    ];
    assert_eq!(plan(workers, &demand, 0)[0], "w1 unload b room");
}

#[test]
fn a_new_leader_whose_means_start_at_zero_counts_running_requests() {
    let workers = vec![worker("w1", &["a", "b"], &["c"])];
    let fresh = |waiting, running| ModelDemand {
        load: 0.0,
        rate: 0.0,
        ..model_demand(waiting, running, 0.0)
    };
    let demand = [("a", fresh(0, 7)), ("b", fresh(0, 0)), ("c", fresh(1, 0))];
    assert_eq!(plan(workers, &demand, 0), ["w1 unload b room"]);
}

/// Guards against a model that stays overloaded because no other disk has its weights: 186 requests
/// ran on two copies.
#[test]
fn a_heavily_overloaded_model_is_fetched_from_the_store() {
    let workers = || vec![worker("w1", &["a"], &["a"]), worker("w2", &[], &[])];
    let overloaded = [("a", model_demand(0, 6, 2.0))];
    let heavily_overloaded = [("a", model_demand(0, 40, 9.0))];
    assert!(!plan(workers(), &overloaded, 1).contains(&"w2 load a Remote overloaded".to_owned()));
    assert!(
        plan(workers(), &heavily_overloaded, 1).contains(&"w2 load a Remote overloaded".to_owned())
    );
}

#[test]
fn an_overloaded_model_gets_another_copy_from_a_disk() {
    let workers = vec![worker("w1", &["a"], &["a"]), worker("w2", &["b"], &["a"])];
    let demand = [
        ("a", model_demand(0, 6, 2.0)),
        ("b", model_demand(0, 0, 0.1)),
    ];
    assert!(plan(workers, &demand, 0).contains(&"w2 load a Disk overloaded".to_owned()));
}

#[test]
fn no_more_copies_are_loaded_at_once_than_are_serving() {
    let mut loading = worker("w2", &[], &["a"]);
    loading.loading = Some("a".into());
    loading.time_until_free = Some(Duration::from_millis(300));
    let workers = vec![
        worker("w1", &["a", "b"], &["a"]),
        loading,
        worker("w3", &["c", "d"], &["a"]),
    ];
    let demand = [("a", model_demand(0, 30, 9.0))];
    assert!(plan(workers, &demand, 0).is_empty());
}

#[test]
fn at_most_two_loads_from_the_store_run_the_most_requested_model_first() {
    let workers = || {
        vec![
            worker("w1", &[], &[]),
            worker("w2", &[], &[]),
            worker("w3", &[], &[]),
        ]
    };
    let demand = [
        ("a", model_demand(0, 0, 0.1)),
        ("b", model_demand(0, 0, 3.0)),
        ("c", model_demand(1, 0, 0.5)),
    ];
    let loads = |store_loads_in_flight| {
        let orders = plan(workers(), &demand, store_loads_in_flight);
        orders
            .iter()
            .filter(|order| order.contains("Remote"))
            .cloned()
            .collect::<Vec<_>>()
    };
    assert_eq!(loads(0)[0], "w1 load b Remote waiting");
    assert!(loads(2).is_empty(), "two loads are already running");
}

#[test]
fn a_model_without_requests_evicts_no_other() {
    let workers = vec![worker("w1", &["a", "b"], &[])];
    let demand = [
        ("a", model_demand(0, 0, 0.1)),
        ("b", model_demand(0, 0, 0.1)),
        ("c", model_demand(0, 0, 0.0)),
    ];
    assert!(plan(workers, &demand, 0).is_empty());
}

#[test]
fn a_model_waits_for_a_busy_worker_that_has_its_weights_near() {
    let mut near = worker("w1", &["a", "b"], &["c"]);
    near.time_until_free = Some(Duration::from_millis(200));
    let workers = vec![near, worker("w2", &["d", "e"], &[])];
    assert!(plan(workers, &[("c", model_demand(1, 0, 0.1))], 0).is_empty());
}

#[test]
fn a_worker_with_unknown_time_until_free_gets_no_order() {
    let mut unknown = worker("w1", &["a", "b"], &["c"]);
    unknown.time_until_free = None;
    assert!(plan(vec![unknown], &[("c", model_demand(1, 0, 0.1))], 2).is_empty());
}

/// Guards against an adapter whose size wraps around with what the worker holds, so that it counts as fitting: a worker
/// that is ordered to load more than its memory crashes.
#[test]
fn an_adapter_of_the_largest_size_fits_nowhere() {
    let mut models = models();
    for model in models.values_mut() {
        model.adapter_bytes = u64::MAX;
    }
    let demand = ModelDemand {
        adapters: vec!["a1".into()],
        ..model_demand(1, 0, 1.0)
    };
    let service_state = ServiceState {
        engine: &engine(),
        models: &models,
        workers: vec![worker("w1", &["a"], &[])],
        demand: BTreeMap::from([("a".into(), demand)]),
        store_loads_in_flight: 0,
        store_open: false,
    };
    assert_eq!(Policy::default().plan(&service_state), []);
}

#[test]
fn an_adapter_takes_a_free_slot_or_replaces_one_without_waiting_requests() {
    let wanted = ModelDemand {
        adapters: vec!["a3".into()],
        ..model_demand(1, 0, 0.1)
    };
    let with = |adapters: &[&str]| {
        let mut it = worker("w1", &["a", "b"], &[]);
        it.held[0].adapters = adapters.iter().map(|name| (*name).into()).collect();
        vec![it]
    };
    assert_eq!(
        plan(with(&["a1"]), &[("a", wanted.clone())], 0),
        ["w1 adapter a/a3 waiting"]
    );
    assert_eq!(
        plan(with(&["a1", "a2"]), &[("a", wanted)], 0),
        ["w1 drop a/a1 room"]
    );
}

#[test]
fn store_only_models_are_those_that_no_open_worker_has() {
    let (engine, models) = (engine(), models());
    let mut closed = worker("w2", &["d"], &["e"]);
    closed.open = false;
    let mut loads = worker("w1", &["a"], &["b"]);
    loads.loading = Some("c".into());
    let service_state = ServiceState {
        engine: &engine,
        models: &models,
        workers: vec![loads, closed],
        demand: BTreeMap::new(),
        store_loads_in_flight: 0,
        store_open: true,
    };
    let store_only: Vec<&str> = service_state
        .store_only_models()
        .into_iter()
        .map(|model| &**model)
        .collect();
    assert_eq!(store_only, ["d", "e", "f"]);
}

/// A new leader must estimate the rate from the first seconds after its election.
#[test]
fn a_rate_is_averaged_over_the_counted_time() {
    let second = Duration::from_secs;
    let mut rate = ArrivalRate::new(0, second(100));
    for at in 1..=5 {
        rate.update(at * 4, second(100 + at));
    }
    assert!(
        (3.0..5.0).contains(&rate.per_second()),
        "{}",
        rate.per_second()
    );
    let mut one = ArrivalRate::new(0, second(100));
    one.update(1, second(100) + Duration::from_millis(20));
    assert!(
        one.per_second() < 0.5,
        "one arrival must not give a high rate: {}",
        one.per_second()
    );
}

#[test]
fn reasons_are_logged_in_lower_case() {
    let names = [
        Reason::Waiting,
        Reason::Overloaded,
        Reason::Room,
        Reason::Expected,
    ];
    let names = names.map(|reason| reason.to_string());
    assert_eq!(names, ["waiting", "overloaded", "room", "expected"]);
}

/// Guards against scale-out that only considers the worker with a local copy: its eviction loss
/// was too high, and up to 92 requests ran on the only copy of a model for 15 s while the store was
/// idle.
#[test]
fn a_heavily_overloaded_model_is_loaded_elsewhere_if_the_nearest_worker_loses_too_much() {
    let workers = vec![
        worker("w1", &["a", "e"], &["a", "e"]),
        worker("w2", &["b", "c"], &["a", "b", "c"]),
        worker("w3", &["d"], &["d"]),
    ];
    // Requests are waiting for the only copies of b and c, on the worker with a local copy of a.
    let demand = [
        ("a", model_demand(0, 9, 10.0)),
        ("b", model_demand(2, 1, 0.2)),
        ("c", model_demand(2, 1, 0.2)),
        ("d", model_demand(0, 0, 0.1)),
    ];
    let plan = plan(workers, &demand, 0);
    assert_eq!(plan, ["w3 load a Remote overloaded"]);
}
