//! The weight store in virtual time.

use std::time::Duration;

use cornelhitch_standin::store::Store;
use futures_util::future::join_all;
use tokio::time::Instant;

/// A gibibyte.
const GIB: u64 = 1 << 30;

/// How far the steps of a load may be off, for each second.
const STEP: Duration = Duration::from_millis(20);

/// The time that so many loads of a gibibyte at once take.
async fn loads(store: &Store, count: usize) -> Duration {
    let begun = Instant::now();
    join_all((0..count).map(|_| store.load(GIB))).await;
    begun.elapsed()
}

#[tokio::test(start_paused = true)]
async fn starts_are_limited_and_speed_is_shared() {
    // Starts a second, loads at once, how many come, how much slower, seconds until all are there.
    let rows = [
        (2.0, 4, 1, 1.0, 1.0),
        (2.0, 4, 3, 1.0, 2.0),
        (1_000.0, 4, 4, 1.0, 1.0),
        (1_000.0, 4, 8, 1.0, 2.0),
        (1_000.0, 1, 5, 1.0, 5.0),
        (1_000.0, 4, 4, 3.0, 3.0),
    ];
    for (starts, at_once, count, slowness, seconds) in rows {
        let builder = Store::builder().starts(starts).concurrency(at_once);
        let store = builder.gib(Duration::from_secs(1)).build();
        store.slow(slowness);
        let took = loads(&store, count).await;
        let off = took.abs_diff(Duration::from_secs_f64(seconds));
        assert!(
            off <= STEP.mul_f64(seconds),
            "{count} at {starts}: {took:?}, not {seconds} s"
        );
        assert_eq!(store.counters().in_flight, 0);
    }
}

#[tokio::test(start_paused = true)]
async fn adapters_take_longer_in_a_crowd() {
    for (count, millis) in [(1, 4), (30, 4), (60, 8), (300, 40)] {
        let store = Store::builder().adapter(Duration::from_millis(4)).build();
        let begun = Instant::now();
        join_all((0..count).map(|_| store.load_adapter())).await;
        assert_eq!(begun.elapsed().as_millis(), millis, "{count}");
        assert_eq!(store.counters().adapters_peak, count);
    }
}
