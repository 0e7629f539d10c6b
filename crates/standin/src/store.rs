//! The weight store: one for all engines of a deployment.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

/// How often the progress of a load is counted.
const STEP: Duration = Duration::from_millis(5);

/// Bytes in a gibibyte.
const GIB: f64 = 1_073_741_824.0;

/// Builds a [`Store`].
#[derive(Debug, Clone, Copy)]
pub struct Builder {
    /// Loads that may start, a second.
    starts: f64,
    /// Loads that run at full speed at once.
    concurrency: u32,
    /// Time of a gibibyte at full speed.
    gib: Duration,
    /// Time of an adapter while few are in flight.
    adapter: Duration,
    /// Adapters in flight at full speed.
    adapters: u32,
}

impl Default for Builder {
    fn default() -> Self {
        Self {
            starts: 2.0,
            concurrency: 4,
            gib: Duration::from_secs(1),
            adapter: Duration::from_millis(4),
            adapters: 30,
        }
    }
}

impl Builder {
    /// Loads that may start, a second.
    #[must_use]
    pub fn starts(mut self, starts: f64) -> Self {
        self.starts = starts;
        self
    }

    /// Loads that run at full speed at once.
    #[must_use]
    pub fn concurrency(mut self, concurrency: u32) -> Self {
        self.concurrency = concurrency;
        self
    }

    /// Time of a gibibyte at full speed.
    #[must_use]
    pub fn gib(mut self, gib: Duration) -> Self {
        self.gib = gib;
        self
    }

    /// Time of an adapter while few are in flight.
    #[must_use]
    pub fn adapter(mut self, adapter: Duration) -> Self {
        self.adapter = adapter;
        self
    }

    /// Adapters in flight at full speed.
    #[must_use]
    pub fn adapters(mut self, adapters: u32) -> Self {
        self.adapters = adapters;
        self
    }

    /// The store.
    #[must_use]
    pub fn build(self) -> Store {
        Store {
            settings: self,
            state: Arc::new(Mutex::new(State::default())),
        }
    }
}

/// What the store has done.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Loads that asked to start.
    pub asked: u32,
    /// Loads that started.
    pub started: u32,
    /// Loads that are in flight.
    pub in_flight: u32,
    /// The most loads in flight at once.
    pub peak: u32,
    /// Adapters in flight.
    pub adapters: u32,
    /// The most adapters in flight at once.
    pub adapters_peak: u32,
}

/// The store's state.
#[derive(Debug)]
struct State {
    /// When the next load may start.
    next: Option<Instant>,
    /// How many times slower than usual it is.
    slowness: f64,
    /// Counts.
    counters: Counters,
}

impl Default for State {
    fn default() -> Self {
        Self {
            next: None,
            slowness: 1.0,
            counters: Counters::default(),
        }
    }
}

/// A weight store with a limit on starts, and full speed for a few loads at once.
///
/// ```
/// use std::time::Duration;
///
/// use cornelhitch_standin::store::Store;
///
/// # let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
/// # runtime.block_on(async {
/// let store = Store::builder().gib(Duration::from_millis(10)).build();
/// store.load(1 << 30).await;
/// assert_eq!(store.counters().started, 1);
/// # });
/// ```
#[derive(Debug, Clone)]
pub struct Store {
    /// The limits.
    settings: Builder,
    /// The state that engines share.
    state: Arc<Mutex<State>>,
}

impl Store {
    /// A store with settings.
    #[must_use]
    pub fn builder() -> Builder {
        Builder::default()
    }

    /// Makes it so many times slower than usual; 1 is its usual speed.
    pub fn slow(&self, slowness: f64) {
        self.state().slowness = slowness.max(0.01);
    }

    /// What it has done.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.state().counters
    }

    /// Loads so many bytes: waits for a start, then for the bytes.
    pub async fn load(&self, bytes: u64) {
        sleep_until(self.start()).await;
        let _flight = Flight::begin(self);
        let mut left = self.settings.gib.as_secs_f64() * gibibytes(bytes);
        while left > 0.0 {
            let step = STEP.as_secs_f64().min(left / self.speed());
            sleep(Duration::from_secs_f64(step)).await;
            left -= step * self.speed();
        }
    }

    /// Loads an adapter; longer where more than allowed are in flight.
    pub async fn adapter(&self) {
        let flight = AdapterFlight::begin(self);
        let crowd = f64::from(flight.crowd) / f64::from(self.settings.adapters.max(1));
        let slowness = self.state().slowness;
        sleep(self.settings.adapter.mul_f64(crowd.max(1.0) * slowness)).await;
    }

    /// When the next load may start; a later one may start only after it.
    fn start(&self) -> Instant {
        let pause = Duration::from_secs_f64(1.0 / self.settings.starts.max(0.001));
        let mut state = self.state();
        let now = Instant::now();
        let start = state.next.map_or(now, |next| next.max(now));
        state.next = Some(start + pause);
        state.counters.asked += 1;
        start
    }

    /// The share of full speed that each load has now.
    fn speed(&self) -> f64 {
        let state = self.state();
        let crowd = f64::from(state.counters.in_flight.max(1));
        let share = f64::from(self.settings.concurrency.max(1)) / crowd;
        share.min(1.0) / state.slowness
    }

    /// The state.
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Bytes in gibibytes; a float is exact enough for a time.
#[expect(
    clippy::cast_precision_loss,
    reason = "the times of a stand-in need no more than 53 bits"
)]
pub(crate) fn gibibytes(bytes: u64) -> f64 {
    bytes as f64 / GIB
}

/// A load in flight; it ends when it is dropped, also with the engine that asked.
struct Flight<'a> {
    /// The store.
    store: &'a Store,
}

impl<'a> Flight<'a> {
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

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        self.store.state().counters.in_flight -= 1;
    }
}

/// An adapter in flight.
struct AdapterFlight<'a> {
    /// The store.
    store: &'a Store,
    /// How many are in flight with it.
    crowd: u32,
}

impl<'a> AdapterFlight<'a> {
    /// Begins to load an adapter.
    fn begin(store: &'a Store) -> Self {
        let mut state = store.state();
        let counters = &mut state.counters;
        counters.adapters += 1;
        counters.adapters_peak = counters.adapters_peak.max(counters.adapters);
        let crowd = counters.adapters;
        Self { store, crowd }
    }
}

impl Drop for AdapterFlight<'_> {
    fn drop(&mut self) {
        self.store.state().counters.adapters -= 1;
    }
}
