//! A budget of retries, so that they cannot double the load of a sick fleet.
//!
//! A host that counts for itself alone has one token bucket. Hosts that share a budget count each
//! service in a window that slides: of the requests that a host itself sent for the first time a
//! part, and its [`Part`] of the slack. Nothing is saved up beyond the window, so the sum over all
//! hosts stays within the budget of all, whatever starts, ends or moves.

use std::collections::BTreeMap;
use std::time::Duration;

use cornelhitch_settings::process::Serving;
use cornelhitch_types::id::{Name, Time};
use serde::Serialize;

use crate::part::Part;
use crate::recent::Recent;

/// Retries that each first send earns.
const EARNED: f64 = 0.2;

/// Retries that a second earns, so that a quiet host has some.
const EARNED_PER_SECOND: f64 = 1.0;

/// Retries that can be saved up: one full batch of a large engine, twice.
const LIMIT: f64 = 64.0;

/// The part of what first sends allow that is used. In one window a host may make retries for what it
/// sent in the window before, and another host for what it sends later in it, after callers have moved
/// from one to the other: so together they count the requests of two windows.
const USED: f64 = 0.5;

/// The retries that a host may make.
///
/// A retry is reserved when its target is chosen, and made when its first byte may leave.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub enum Budget {
    /// The host counts for itself alone.
    Alone(Bucket),
    /// The hosts share a budget for each service.
    Shared(Shared),
}

impl Budget {
    /// The budget that the settings ask for.
    ///
    /// ```
    /// use cornelhitch_entry::budget::Budget;
    /// use cornelhitch_settings::process::Serving;
    /// use std::time::Duration;
    ///
    /// let serving = Serving { retry_ratio: 0.2, retry_window_ms: 10e3, ..Serving::default() };
    /// let (mut budget, service) = (Budget::new(&serving, Duration::ZERO), "auction".into());
    /// (0..10).for_each(|_| budget.first(&service, Duration::ZERO));
    /// assert!(budget.has(&service, Duration::ZERO));
    /// budget.reserve(&service, Duration::ZERO);
    /// assert!(!budget.has(&service, Duration::ZERO));
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

    /// A request of a service was sent for the first time.
    pub fn first(&mut self, service: &Name, now: Time) {
        match self {
            Self::Alone(bucket) => bucket.earn(),
            Self::Shared(shared) => shared.account(service).firsts.add(now),
        }
    }

    /// Whether a retry may be reserved.
    pub fn has(&mut self, service: &Name, now: Time) -> bool {
        match self {
            Self::Alone(bucket) => bucket.has(now),
            Self::Shared(shared) => shared.has(service, now),
        }
    }

    /// How long a request waits for its retry with so many others before it, while its service goes on
    /// as it did in the last window.
    ///
    /// This is for the load under which targets turn most requests away: the budget is spent, and
    /// what waits for it would wait past its deadline.
    pub fn wait(&mut self, service: &Name, ahead: usize, now: Time) -> Duration {
        let rate = match self {
            Self::Alone(_) => EARNED_PER_SECOND,
            Self::Shared(shared) => shared.rate(service, now),
        };
        let turn = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX)) + 1.0;
        Duration::try_from_secs_f64(turn / rate).unwrap_or(Duration::MAX)
    }

    /// Takes a retry, which is made or released later.
    pub fn reserve(&mut self, service: &Name, now: Time) {
        match self {
            Self::Alone(bucket) => bucket.take(now),
            Self::Shared(shared) => shared.account(service).reserved += 1,
        }
    }

    /// A reserved retry is made now.
    pub fn make(&mut self, service: &Name, now: Time) {
        if let Self::Shared(shared) = self {
            let account = shared.account(service);
            account.reserved = account.reserved.saturating_sub(1);
            account.repeats.add(now);
        }
    }

    /// A reserved retry is not made.
    pub fn release(&mut self, service: &Name) {
        match self {
            Self::Alone(bucket) => bucket.give_back(),
            Self::Shared(shared) => {
                let account = shared.account(service);
                account.reserved = account.reserved.saturating_sub(1);
            }
        }
    }

    /// The leader lists so many entry hosts, this one among them or not.
    pub fn list(&mut self, hosts: u32, listed: bool, now: Time) {
        if let Self::Shared(shared) = self {
            shared.part.list(hosts, listed, now);
        }
    }

    /// This host's lease was renewed.
    pub fn renew(&mut self, until: Time, now: Time) {
        if let Self::Shared(shared) = self {
            shared.part.renew(until, now);
        }
    }
}

/// A token bucket of retries.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Bucket {
    /// Retries that may be made now.
    tokens: f64,
    /// When the tokens were counted.
    at: Time,
}

impl Bucket {
    /// A full bucket.
    fn new(now: Time) -> Self {
        Self {
            tokens: LIMIT,
            at: now,
        }
    }

    /// Earns for a first send.
    fn earn(&mut self) {
        self.tokens = (self.tokens + EARNED).min(LIMIT);
    }

    /// Whether it holds a retry.
    fn has(&mut self, now: Time) -> bool {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.tokens = (self.tokens + passed * EARNED_PER_SECOND).min(LIMIT);
        self.at = now.max(self.at);
        self.tokens >= 1.0
    }

    /// Takes a retry, if it holds one.
    fn take(&mut self, now: Time) {
        if self.has(now) {
            self.tokens -= 1.0;
        }
    }

    /// Puts a retry back.
    fn give_back(&mut self) {
        self.tokens = (self.tokens + 1.0).min(LIMIT);
    }
}

/// A budget that all entry hosts share.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Shared {
    /// Retries that each first send of a service allows.
    ratio: f64,
    /// Retries that all hosts together may make besides, for each service.
    slack: f64,
    /// The window over which both count.
    window: Duration,
    /// This host's part of the slack.
    part: Part,
    /// What this host sent, by service.
    accounts: BTreeMap<Name, Account>,
}

/// What a host sent of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct Account {
    /// Requests that were sent for the first time.
    firsts: Recent,
    /// Retries that were made.
    repeats: Recent,
    /// Retries that are reserved.
    reserved: u32,
}

impl Shared {
    /// The share of a host that has just started.
    fn new(serving: &Serving, window: Duration) -> Self {
        Self {
            ratio: serving.retry_ratio,
            slack: f64::from(serving.retry_slack),
            window,
            part: Part::new(window),
            accounts: BTreeMap::new(),
        }
    }

    /// Whether one more retry at a service is within this host's share.
    fn has(&mut self, service: &Name, now: Time) -> bool {
        let allowed = self.allowed(service, now);
        let account = self.account(service);
        let made = account
            .repeats
            .at_most(now)
            .saturating_add(account.reserved);
        f64::from(made) + 1.0 <= allowed
    }

    /// Retries at a service that a second allows.
    fn rate(&mut self, service: &Name, now: Time) -> f64 {
        self.allowed(service, now) / self.window.as_secs_f64()
    }

    /// Retries at a service that a window allows.
    fn allowed(&mut self, service: &Name, now: Time) -> f64 {
        let slack = self.slack * self.part.size(now);
        let ratio = self.ratio * USED;
        f64::from(self.account(service).firsts.at_least(now)) * ratio + slack
    }

    /// What was sent of a service.
    fn account(&mut self, service: &Name) -> &mut Account {
        let window = self.window;
        self.accounts
            .entry(service.clone())
            .or_insert_with(|| Account {
                firsts: Recent::new(window),
                repeats: Recent::new(window),
                reserved: 0,
            })
    }
}
