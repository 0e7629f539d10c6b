//! Load times of the fake weight store, in virtual time.

use std::time::Duration;

use cornelhitch_standin::store::Store;
use futures_util::future::join_all;
use tokio::time::Instant;

/// Bytes per gibibyte.
const GIB: u64 = 1 << 30;

/// Permitted error of a load time per second, since loads progress in steps.
const TOLERANCE: Duration = Duration::from_millis(20);

/// Returns the time that `count` concurrent loads of one gibibyte take.
async fn time_loads(store: &Store, count: usize) -> Duration {
    let started = Instant::now();
    join_all((0..count).map(|_| store.load(GIB))).await;
    started.elapsed()
}

#[tokio::test(start_paused = true)]
async fn load_starts_are_rate_limited_and_bandwidth_is_shared() {
    // Starts per second, loads at full speed, number of loads, slowness, expected seconds.
    let rows = [
        (2.0, 4, 1, 1.0, 1.0),
        (2.0, 4, 3, 1.0, 2.0),
        (1_000.0, 4, 4, 1.0, 1.0),
        (1_000.0, 4, 8, 1.0, 2.0),
        (1_000.0, 1, 5, 1.0, 5.0),
        (1_000.0, 4, 4, 3.0, 3.0),
    ];
    for (starts, concurrency, count, slowness, seconds) in rows {
        let builder = Store::builder()
            .starts_per_second(starts)
            .concurrency(concurrency);
        let store = builder.time_per_gib(Duration::from_secs(1)).build();
        store.set_slowness(slowness);
        let elapsed = time_loads(&store, count).await;
        let error = elapsed.abs_diff(Duration::from_secs_f64(seconds));
        assert!(
            error <= TOLERANCE.mul_f64(seconds),
            "{count} loads at {starts} starts/s took {elapsed:?}, expected {seconds} s"
        );
        assert_eq!(store.counters().in_flight, 0);
    }
}

#[tokio::test(start_paused = true)]
async fn adapter_loads_slow_down_above_the_concurrency_limit() {
    for (count, millis) in [(1, 4), (30, 4), (60, 8), (300, 40)] {
        let store = Store::builder()
            .adapter_time(Duration::from_millis(4))
            .build();
        let started = Instant::now();
        join_all((0..count).map(|_| store.load_adapter())).await;
        assert_eq!(started.elapsed().as_millis(), millis, "{count}");
        assert_eq!(store.counters().adapters_peak, count);
    }
}
