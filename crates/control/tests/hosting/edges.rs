//! Engines whose numbers are at their edges, as operators may state them or as they stand in the log.

use std::time::Duration;

use cornelhitch_control::prelude::*;
use cornelhitch_types::route::{MAX_TIME, WorkerCapacity};
use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::RngSeed;

use crate::common::Bench;
use crate::schedule::schedule_with;
use crate::worker::{SimulatedWorker, engine, table_of};
use crate::{demand, loads, step};

/// Most requests of a leader in one round, which has time for one plan: an order and an inspection for each of two
/// workers.
const MAX_REQUESTS: u64 = 4;

/// Times from none to the largest that the log can hold.
fn time() -> impl Strategy<Value = Duration> {
    let times = [
        Duration::ZERO,
        Duration::from_nanos(1),
        Duration::from_millis(400),
        MAX_TIME,
        Duration::MAX,
    ];
    select(times.to_vec())
}

/// Sizes from none to the largest.
fn size() -> impl Strategy<Value = u64> {
    select(vec![0, 1, 100, 210, 1 << 40, u64::MAX - 1, u64::MAX])
}

prop_compose! {
    /// Engines with all numbers at their edges.
    fn edge_engine()(
        times in [time(), time(), time(), time()],
        sizes in [size(), size(), size()],
        counts in [select(vec![0, 1, 3, u32::MAX]), select(vec![0, 1, 64, u32::MAX])],
    ) -> WorkerCapacity {
        let mut engine = engine();
        let [start_interval, from_store, from_disk, from_memory] = times;
        let [memory, bytes, adapter_bytes] = sizes;
        let [adapters, slots] = counts;
        for model in &mut engine.models {
            model.from_store = from_store;
            model.from_disk = from_disk;
            model.from_memory = from_memory;
            model.bytes = bytes;
            model.adapter_bytes = adapter_bytes;
        }
        WorkerCapacity { slots, memory, adapters, start_interval, ..engine }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 128, rng_seed: RngSeed::Fixed(62), ..ProptestConfig::default() })]

    /// Guards against a number in a table that ends each leader, or makes it send without end: a load time of 10^19 s
    /// was added to the time of day.
    #[test]
    fn a_leader_bears_engines_at_their_edges(engine in edge_engine(), seed in any::<u64>()) {
        let most = schedule_with(seed, table_of(engine));
        prop_assert!(most <= MAX_REQUESTS, "{} requests in one round", most);
    }
}

/// Guards against a limit of no loads at all that allows one load each time that a leader is elected.
#[test]
fn no_model_is_loaded_from_the_store_if_no_load_may_start() {
    let is_loaded = |start_interval| {
        let mut bench = Bench::new();
        let engine = WorkerCapacity {
            start_interval,
            ..engine()
        };
        bench.commit(&Command::PublishTable(table_of(engine)));
        let mut worker = SimulatedWorker::new("w1", 1_000, &[]);
        bench.handle(Input::Presence(Box::new(worker.presence(false))));
        let rounds = 1..50;
        rounds.into_iter().any(|round| {
            bench.handle(demand(round, &[("g", 2, &[])]));
            step(&mut bench, Duration::from_millis(100));
            !loads(&mut bench).is_empty()
        })
    };
    assert!(is_loaded(Duration::ZERO));
    assert!(!is_loaded(MAX_TIME));
}
