//! A fake weight store that the engines of one deployment share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

/// Step in which a load progresses; its speed may change between two steps.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(5);

/// Bytes per gibibyte.
const GIB: f64 = 1_073_741_824.0;

/// Builds a [`Store`].
#[derive(Debug, Clone, Copy)]
pub struct Builder {
    /// Limit on load starts, per second.
    starts_per_second: f64,
    /// Number of concurrent loads at full speed; more of them share that bandwidth.
    concurrency: u32,
    /// Load time per gibibyte at full speed.
    time_per_gib: Duration,
    /// Load time of an adapter while at most `adapter_concurrency` are in flight.
    adapter_time: Duration,
    /// Number of adapters in flight at full speed.
    adapter_concurrency: u32,
}

impl Default for Builder {
    fn default() -> Self {
        Self {
            starts_per_second: 2.0,
            concurrency: 4,
            time_per_gib: Duration::from_secs(1),
            adapter_time: Duration::from_millis(4),
            adapter_concurrency: 30,
        }
    }
}

impl Builder {
    /// Sets the limit on load starts, per second; starts above it are delayed.
    #[must_use]
    pub fn starts_per_second(mut self, starts_per_second: f64) -> Self {
        self.starts_per_second = starts_per_second;
        self
    }

    /// Sets the number of concurrent loads at full speed; more of them share that bandwidth.
    #[must_use]
    pub fn concurrency(mut self, concurrency: u32) -> Self {
        self.concurrency = concurrency;
        self
    }

    /// Sets the load time per gibibyte at full speed.
    #[must_use]
    pub fn time_per_gib(mut self, time_per_gib: Duration) -> Self {
        self.time_per_gib = time_per_gib;
        self
    }

    /// Sets the load time of an adapter at full speed.
    #[must_use]
    pub fn adapter_time(mut self, adapter_time: Duration) -> Self {
        self.adapter_time = adapter_time;
        self
    }

    /// Sets the number of adapters in flight at full speed; with more of them each is slower.
    #[must_use]
    pub fn adapter_concurrency(mut self, adapter_concurrency: u32) -> Self {
        self.adapter_concurrency = adapter_concurrency;
        self
    }

    /// Returns a store with these settings.
    #[must_use]
    pub fn build(self) -> Store {
        Store {
            settings: self,
            state: Arc::new(Mutex::new(State::default())),
        }
    }
}

/// Counts of the loads of a store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Loads requested, those that still wait for their start included.
    pub requested: u32,
    /// Loads started.
    pub started: u32,
    /// Loads in flight.
    pub in_flight: u32,
    /// Maximum number of loads in flight at once.
    pub peak: u32,
    /// Adapter loads in flight.
    pub adapters: u32,
    /// Maximum number of adapter loads in flight at once.
    pub adapters_peak: u32,
}

/// The mutable state of a store.
#[derive(Debug)]
struct State {
    /// Earliest start of the next load; `None` before the first one.
    next_start: Option<Instant>,
    /// Factor on all load times; 1 is normal.
    slowness: f64,
    counters: Counters,
}

impl Default for State {
    fn default() -> Self {
        Self {
            next_start: None,
            slowness: 1.0,
            counters: Counters::default(),
        }
    }
}

/// A fake weight store with a limited rate of starts and limited bandwidth; clones share state.
///
/// ```
/// use std::time::Duration;
///
/// use cornelhitch_standin::store::Store;
///
/// # let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
/// # runtime.block_on(async {
/// let store = Store::builder().time_per_gib(Duration::from_millis(10)).build();
/// store.load(1 << 30).await;
/// assert_eq!(store.counters().started, 1);
/// # });
/// ```
#[derive(Debug, Clone)]
pub struct Store {
    /// Limits and load times.
    settings: Builder,
    /// Shared by all clones.
    state: Arc<Mutex<State>>,
}

impl Store {
    /// Returns a builder with default settings.
    #[must_use]
    pub fn builder() -> Builder {
        Builder::default()
    }

    /// Sets the factor on all load times: 1 is normal, larger is slower, the minimum is 0.01.
    pub fn set_slowness(&self, slowness: f64) {
        self.state().slowness = slowness.max(0.01);
    }

    /// Returns the counts since the store was built.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.state().counters
    }

    /// Loads a model of the given size: waits for its start, then for the transfer.
    pub async fn load(&self, bytes: u64) {
        sleep_until(self.reserve_start()).await;
        let _guard = LoadGuard::begin(self);
        let mut remaining = self.settings.time_per_gib.as_secs_f64() * gibibytes(bytes);
        while remaining > 0.0 {
            let step = PROGRESS_INTERVAL
                .as_secs_f64()
                .min(remaining / self.relative_speed());
            sleep(Duration::from_secs_f64(step)).await;
            remaining -= step * self.relative_speed();
        }
    }

    /// Loads an adapter, in proportion slower when more than the full-speed number are in flight.
    pub async fn load_adapter(&self) {
        let guard = AdapterLoadGuard::begin(self);
        let overload =
            f64::from(guard.in_flight) / f64::from(self.settings.adapter_concurrency.max(1));
        let slowness = self.state().slowness;
        sleep(
            self.settings
                .adapter_time
                .mul_f64(overload.max(1.0) * slowness),
        )
        .await;
    }

    /// Reserves the start of a load; the next reservation is at least one interval later.
    fn reserve_start(&self) -> Instant {
        let interval = Duration::from_secs_f64(1.0 / self.settings.starts_per_second.max(0.001));
        let mut state = self.state();
        let now = Instant::now();
        let start = state.next_start.map_or(now, |next| next.max(now));
        state.next_start = Some(start + interval);
        state.counters.requested += 1;
        start
    }

    /// Returns the current speed of each load relative to full speed.
    fn relative_speed(&self) -> f64 {
        let state = self.state();
        let in_flight = f64::from(state.counters.in_flight.max(1));
        let share = f64::from(self.settings.concurrency.max(1)) / in_flight;
        share.min(1.0) / state.slowness
    }

    /// Locks the state; a panic of another holder leaves it usable.
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Converts bytes to gibibytes, for computing load times.
#[expect(
    clippy::cast_precision_loss,
    reason = "simulated load times need no more than 53 bits of precision"
)]
pub(crate) fn gibibytes(bytes: u64) -> f64 {
    bytes as f64 / GIB
}

/// Counts a load as in flight until dropped, also when the engine crashes during the load.
struct LoadGuard<'a> {
    /// The store that counts.
    store: &'a Store,
}
/// Counts a started load.
impl<'a> LoadGuard<'a> {
    /// Begins a load.
    fn begin(store: &'a Store) -> Self {
        let mut state = store.state();
        let counters = &mut state.counters;
        counters.started += 1;
        counters.in_flight += 1;
        counters.peak = counters.peak.max(counters.in_flight);
        Self { store }
    }
}

impl Drop for LoadGuard<'_> {
    fn drop(&mut self) {
        self.store.state().counters.in_flight -= 1;
    }
}

/// Counts an adapter load as in flight until dropped.
struct AdapterLoadGuard<'a> {
    /// The store that counts.
    store: &'a Store,
    /// Adapter loads in flight when this one started, itself included.
    in_flight: u32,
}

impl<'a> AdapterLoadGuard<'a> {
    /// Counts a started adapter load.
    fn begin(store: &'a Store) -> Self {
        let mut state = store.state();
        let counters = &mut state.counters;
        counters.adapters += 1;
        counters.adapters_peak = counters.adapters_peak.max(counters.adapters);
        let in_flight = counters.adapters;
        Self { store, in_flight }
    }
}

impl Drop for AdapterLoadGuard<'_> {
    fn drop(&mut self) {
        self.store.state().counters.adapters -= 1;
    }
}
