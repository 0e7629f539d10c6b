//! A retry budget, so that retries cannot double the load of an overloaded fleet.
//!
//! A host that counts only for itself has a token bucket. Hosts that share a budget count each
//! service over a sliding window: a host may retry a fraction of the requests that it sent for the
//! first time, plus its [`HostShare`] of a slack. Nothing is saved up beyond the window, so that
//! the sum over all hosts stays within the total budget, even while hosts start, stop or take over
//! callers.

use std::collections::BTreeMap;
use std::time::Duration;

use cornelhitch_settings::process::Serving;
use cornelhitch_types::id::{HostId, Name, Time};
use serde::Serialize;

use crate::host_share::{self, HostShare};
use crate::sliding_counter::SlidingCounter;

/// Retries that each first send earns.
const RETRIES_PER_REQUEST: f64 = 0.2;

/// Retries that each second earns, so that a host with little traffic can retry at all.
const RETRIES_PER_SECOND: f64 = 1.0;

/// Maximum number of saved retries: twice a full batch of a large engine.
const BUCKET_SIZE: f64 = 64.0;

/// Factor on the retries that first sends allow. A host may retry in one window what it first sent
/// in the window before, and another host what it first sends later in the same window, after
/// callers have moved from one to the other. Together they count the requests of two windows.
const MOVED_CALLERS_FACTOR: f64 = 0.5;

/// The retries that a host may make.
///
/// A retry is reserved when its target is chosen, and spent when its first byte may be written.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub enum Budget {
    /// The host counts only for itself.
    Alone(Bucket),
    /// The hosts share a budget per service.
    Shared(Shared),
}

impl Budget {
    /// Creates the budget that the settings ask for: shared if a retry window is set.
    ///
    /// ```
    /// use cornelhitch_entry::budget::Budget;
    /// use cornelhitch_settings::process::Serving;
    /// use std::time::Duration;
    ///
    /// let serving = Serving { retry_ratio: 0.2, retry_window_ms: 10e3, ..Serving::default() };
    /// let (mut budget, service) = (Budget::new(&serving, Duration::ZERO), "auction".into());
    /// (0..10).for_each(|_| budget.record_first_send(&service, Duration::ZERO));
    /// assert!(budget.allows(&service, Duration::ZERO));
    /// budget.reserve(&service, Duration::ZERO);
    /// assert!(!budget.allows(&service, Duration::ZERO));
    /// ```
    #[must_use]
    pub fn new(serving: &Serving, now: Time) -> Self {
        let window = Duration::from_secs_f64(serving.retry_window_ms / 1_000.0);
        if window.is_zero() {
            Self::Alone(Bucket::new(now))
        } else {
            Self::Shared(Shared::new(serving, window))
        }
    }

    /// Records that a request of a service was sent for the first time.
    pub fn record_first_send(&mut self, service: &Name, now: Time) {
        match self {
            Self::Alone(bucket) => bucket.earn(),
            Self::Shared(shared) => shared.account(service).firsts.record(now),
        }
    }

    /// Whether a retry may be reserved.
    pub fn allows(&mut self, service: &Name, now: Time) -> bool {
        match self {
            Self::Alone(bucket) => bucket.allows(now),
            Self::Shared(shared) => shared.allows(service, now),
        }
    }

    /// Returns how long a request waits for its retry with `ahead` others before it, assuming that
    /// its service continues as in the last window.
    ///
    /// This matters when targets decline most requests: the budget is spent, and requests that
    /// waited for it would miss their deadlines.
    pub fn expected_wait(&mut self, service: &Name, ahead: usize, now: Time) -> Duration {
        let rate = match self {
            Self::Alone(_) => RETRIES_PER_SECOND,
            Self::Shared(shared) => shared.rate(service, now),
        };
        let turn = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX)) + 1.0;
        Duration::try_from_secs_f64(turn / rate).unwrap_or(Duration::MAX)
    }

    /// Reserves a retry, which is later spent or released.
    pub fn reserve(&mut self, service: &Name, now: Time) {
        match self {
            Self::Alone(bucket) => bucket.take(now),
            Self::Shared(shared) => shared.account(service).reserved += 1,
        }
    }

    /// Spends a reserved retry.
    pub fn spend_reserved(&mut self, service: &Name, now: Time) {
        if let Self::Shared(shared) = self {
            let account = shared.account(service);
            account.reserved = account.reserved.saturating_sub(1);
            account.repeats.record(now);
        }
    }

    /// Releases a reserved retry that was not sent.
    pub fn release(&mut self, service: &Name) {
        match self {
            Self::Alone(bucket) => bucket.give_back(),
            Self::Shared(shared) => {
                let account = shared.account(service);
                account.reserved = account.reserved.saturating_sub(1);
            }
        }
    }

    /// Sets the entry hosts that the leader lists, in the order of their numbers.
    pub fn set_hosts(&mut self, hosts: &[HostId], own: HostId, now: Time) {
        if let Self::Shared(shared) = self {
            shared.host_share.set_hosts(hosts, own, now);
        }
    }

    /// Records that this host's lease was renewed.
    pub fn renew_lease(&mut self, until: Time, now: Time) {
        if let Self::Shared(shared) = self {
            shared.host_share.renew_lease(until, now);
        }
    }
}

/// A token bucket of retries.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Bucket {
    /// Retries that may be made now.
    tokens: f64,
    /// When the tokens were last updated.
    at: Time,
}

impl Bucket {
    /// Creates a full bucket.
    fn new(now: Time) -> Self {
        Self {
            tokens: BUCKET_SIZE,
            at: now,
        }
    }

    /// Adds the fraction of a retry that each first send earns.
    fn earn(&mut self) {
        self.tokens = (self.tokens + RETRIES_PER_REQUEST).min(BUCKET_SIZE);
    }

    /// Whether the bucket holds a retry.
    fn allows(&mut self, now: Time) -> bool {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.tokens = (self.tokens + passed * RETRIES_PER_SECOND).min(BUCKET_SIZE);
        self.at = now.max(self.at);
        self.tokens >= 1.0
    }

    /// Takes a retry if the bucket holds one.
    fn take(&mut self, now: Time) {
        if self.allows(now) {
            self.tokens -= 1.0;
        }
    }

    /// Returns a retry to the bucket.
    fn give_back(&mut self) {
        self.tokens = (self.tokens + 1.0).min(BUCKET_SIZE);
    }
}

/// A retry budget that all entry hosts share.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Shared {
    /// Retries allowed per first send of a service.
    ratio: f64,
    /// Additional retries that all hosts together may make for each service in a window.
    slack: u32,
    /// The window over which both limits count.
    window: Duration,
    /// This host's share of the slack.
    #[serde(rename = "part")]
    host_share: HostShare,
    /// First sends and retries of this host, by service.
    accounts: BTreeMap<Name, Account>,
}

/// First sends and retries of a host for one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct Account {
    /// Requests sent for the first time.
    firsts: SlidingCounter,
    /// Retries sent.
    repeats: SlidingCounter,
    /// Number of retries reserved.
    reserved: u32,
}

/// Returns the whole retries that an allowance holds.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole_retries(allowance: f64) -> u32 {
    allowance as u32
}

impl Shared {
    /// Creates the budget of a host that has just started.
    fn new(serving: &Serving, window: Duration) -> Self {
        Self {
            ratio: serving.retry_ratio,
            slack: whole_retries(serving.retry_slack),
            window,
            host_share: HostShare::new(window),
            accounts: BTreeMap::new(),
        }
    }

    /// Whether one more retry for a service is within this host's share.
    fn allows(&mut self, service: &Name, now: Time) -> bool {
        let allowed = self.allowed(service, now);
        let account = self.account(service);
        let made = account
            .repeats
            .at_most(now)
            .saturating_add(account.reserved);
        f64::from(made) + 1.0 <= allowed
    }

    /// Returns the number of retries per second allowed for a service.
    fn rate(&mut self, service: &Name, now: Time) -> f64 {
        self.allowed(service, now) / self.window.as_secs_f64()
    }

    /// Returns the number of retries per window allowed for a service.
    fn allowed(&mut self, service: &Name, now: Time) -> f64 {
        let slack = self
            .host_share
            .of(self.slack, host_share::key(service), now);
        let ratio = self.ratio * MOVED_CALLERS_FACTOR;
        f64::from(self.account(service).firsts.at_least(now)) * ratio + f64::from(slack)
    }

    /// Returns the account of a service, which starts empty.
    fn account(&mut self, service: &Name) -> &mut Account {
        let window = self.window;
        self.accounts
            .entry(service.clone())
            .or_insert_with(|| Account {
                firsts: SlidingCounter::new(window),
                repeats: SlidingCounter::new(window),
                reserved: 0,
            })
    }
}
