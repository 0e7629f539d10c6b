//! Limits that targets name: the requests per second that a target takes from all entry hosts
//! together.
//!
//! Every host keeps to its [`HostShare`] of what the limit allows in a window, from the answer on
//! that tells it the limit, or from the view if another host was told first. Every send counts: of
//! first attempts, retries and resumed streams. Where the shares are smaller than one request, some
//! hosts send and the others refuse.

use std::collections::BTreeMap;
use std::time::Duration;

use cornelhitch_types::id::{HostId, Incarnation, TargetId, Time};
use cornelhitch_types::target::{MAX_LIMIT_WINDOW, RequestRate};
use serde::Serialize;

use crate::host_share::{self, HostShare};
use crate::sliding_counter::SlidingCounter;

/// The window over which a limit counts.
const WINDOW: Duration = Duration::from_secs(4);

/// The window for limits above [`SMOOTH_RATE`], whose requests are not to arrive in one burst.
const SMOOTH_WINDOW: Duration = Duration::from_secs(1);

/// The limit from which the shorter window is used: several requests in it for each of a few hosts.
const SMOOTH_RATE: RequestRate = RequestRate(50_000);

/// The lowest rate that is kept to, one request in [`MAX_LIMIT_WINDOW`]: only an answer can tell
/// that a limit has changed.
const MIN_RATE: RequestRate = RequestRate(100);

/// How long a limit holds after the last answer that named it, if later answers name none.
const HOLD_TIME: Duration = Duration::from_secs(4);

/// Interval at which control is told again what a target names.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// When a request may be sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// At once.
    Now,
    /// After this time, if sends are spread evenly over the window.
    After(Duration),
    /// Not by this host, which has no share; all hosts together send one request in this time.
    Elsewhere(Duration),
}

impl Turn {
    /// Returns the turn if nothing may be sent before a time from now.
    pub(crate) fn not_before(self, wait: Duration) -> Self {
        match self {
            Self::Now => Self::After(wait),
            Self::After(turn) => Self::After(turn.max(wait)),
            Self::Elsewhere(turn) => Self::Elsewhere(turn.max(wait)),
        }
    }
}

/// What this host may send to a target that names a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quota {
    /// The window over which the limit counts.
    window: Duration,
    /// Requests that all hosts together may send in a window.
    total: u32,
    /// Those of them that this host may send.
    share: u32,
    /// Those of its share that it has not sent yet.
    left: u32,
}

impl Quota {
    /// Returns when a request may be sent, with `ahead` others before it.
    #[must_use]
    pub fn turn(&self, ahead: u32) -> Turn {
        if self.share == 0 {
            return Turn::Elsewhere(self.window / self.total);
        }
        if ahead < self.left {
            return Turn::Now;
        }
        let turns = ahead - self.left + 1;
        Turn::After(self.window.saturating_mul(turns) / self.share)
    }
}

/// The limit of one target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct Limit {
    incarnation: Incarnation,
    rate: RequestRate,
    /// When an answer to this host last named it; `None` if only the view tells it.
    named_at: Option<Time>,
    /// Whether the view tells it.
    published: bool,
    /// When control was last told what the target names.
    reported_at: Option<Time>,
    /// What this host has sent.
    sends: SlidingCounter,
}

impl Limit {
    /// Whether an answer to this host has named the limit within [`HOLD_TIME`].
    fn is_held(&self, now: Time) -> bool {
        self.named_at.is_some_and(|at| now < at + HOLD_TIME)
    }
}

/// The limits of all targets that name one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct TargetLimits {
    share: HostShare,
    limits: BTreeMap<TargetId, Limit>,
}

impl Default for TargetLimits {
    /// Returns the limits of a host that has just started.
    fn default() -> Self {
        Self {
            share: HostShare::new(MAX_LIMIT_WINDOW),
            limits: BTreeMap::new(),
        }
    }
}

impl TargetLimits {
    /// Sets the entry hosts that the leader lists, in the order of their numbers.
    pub fn set_hosts(&mut self, hosts: &[HostId], own: HostId, now: Time) {
        self.share.set_hosts(hosts, own, now);
    }

    /// Records that this host's lease was renewed.
    pub fn renew_lease(&mut self, until: Time, now: Time) {
        self.share.renew_lease(until, now);
    }

    /// Whether any target is known to have a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Whether an answer has just named a limit of a target. Other targets go before it, and it
    /// keeps its turns for requests that have no other; without answers, a limit's end is not known.
    #[must_use]
    pub fn is_fresh(&self, target: &str, now: Time) -> bool {
        let known = self.limits.get(target);
        known.is_some_and(|limit| limit.is_held(now))
    }

    /// Whether a target is known to have a limit.
    #[must_use]
    pub fn is_limited(&self, target: &str) -> bool {
        self.limits.contains_key(target)
    }

    /// Returns what this host may send to a target; `None` if the target has no limit.
    ///
    /// ```
    /// use cornelhitch_entry::target_limits::{TargetLimits, Turn};
    /// use cornelhitch_types::target::RequestRate;
    /// use std::time::Duration;
    ///
    /// let (mut limits, now) = (TargetLimits::default(), Duration::from_secs(20));
    /// limits.set_hosts(&[1], 1, Duration::ZERO);
    /// limits.renew_lease(Duration::from_secs(60), Duration::ZERO);
    /// limits.on_answer(&"worker-1".into(), 1, Some(RequestRate(500)), 0, now);
    /// assert_eq!(limits.quota("worker-1", now).map(|quota| quota.turn(0)), Some(Turn::Now));
    /// limits.record_send("worker-1", now);
    /// limits.record_send("worker-1", now);
    /// let wait = Turn::After(Duration::from_secs(2));
    /// assert_eq!(limits.quota("worker-1", now).map(|quota| quota.turn(0)), Some(wait));
    /// assert_eq!(limits.quota("worker-2", now), None);
    /// ```
    #[must_use]
    pub fn quota(&self, target: &str, now: Time) -> Option<Quota> {
        let limit = self.limits.get(target)?;
        let window = window(limit.rate);
        let total = limit.rate.in_window(window).max(1);
        let share = self.share.of(total, host_share::key(target), now);
        Some(Quota {
            window,
            total,
            share,
            left: share.saturating_sub(limit.sends.at_most(now)),
        })
    }

    /// Whether this host may send a request to a target now.
    #[must_use]
    pub fn allows(&self, target: &str, now: Time) -> bool {
        let quota = self.quota(target, now);
        quota.is_none_or(|quota| quota.turn(0) == Turn::Now)
    }

    /// Counts a send to a target.
    pub fn record_send(&mut self, target: &str, now: Time) {
        if let Some(limit) = self.limits.get_mut(target) {
            limit.sends.record(now);
        }
    }

    /// Applies what an answer names: a limit, or none though the request was sent under a limit.
    /// `running` is the number of this host's requests in flight there. Returns whether control is
    /// to be told.
    pub fn on_answer(
        &mut self,
        target: &TargetId,
        incarnation: Incarnation,
        named: Option<RequestRate>,
        running: u32,
        now: Time,
    ) -> bool {
        if let Some(rate) = named {
            self.set(target, incarnation, rate, running, now);
        }
        let Some(limit) = self.limits.get_mut(target) else {
            return false;
        };
        if limit.incarnation != incarnation {
            return false;
        }
        if named.is_some() {
            limit.named_at = Some(now);
        }
        let held = limit.is_held(now);
        if !held && !limit.published {
            self.limits.remove(target);
            return false;
        }
        let due = limit
            .reported_at
            .is_none_or(|at| at + REPORT_INTERVAL <= now);
        if due && (named.is_some() || !held) {
            limit.reported_at = Some(now);
            return true;
        }
        false
    }

    /// Applies what the view tells of a target; `running` is the number of this host's requests in
    /// flight there.
    pub fn on_published(
        &mut self,
        target: &TargetId,
        incarnation: Incarnation,
        published: Option<RequestRate>,
        running: u32,
        now: Time,
    ) {
        let known = self.limits.get(target);
        if known.is_some_and(|limit| limit.incarnation > incarnation) {
            return;
        }
        let held =
            known.is_some_and(|limit| limit.is_held(now) && limit.incarnation == incarnation);
        // An answer to this host is newer than what another host was told before.
        if let Some(rate) = published.filter(|_| !held) {
            self.set(target, incarnation, rate, running, now);
        }
        let Some(limit) = self.limits.get_mut(target) else {
            return;
        };
        limit.published = published.is_some();
        if published.is_none() && !held {
            self.limits.remove(target);
        }
    }

    /// Marks all limits as unpublished, before a complete view is applied. Those that no answer has
    /// named to this host end with it.
    pub fn clear_published(&mut self) {
        self.limits.retain(|_, limit| limit.named_at.is_some());
        for limit in self.limits.values_mut() {
            limit.published = false;
        }
    }

    /// Drops the limit of a target that was removed.
    pub fn forget(&mut self, target: &str) {
        self.limits.remove(target);
    }

    /// Drops the limit that an earlier incarnation of a target named.
    pub fn forget_before(&mut self, target: &str, incarnation: Incarnation) {
        let known = self.limits.get(target);
        if known.is_some_and(|limit| limit.incarnation < incarnation) {
            self.limits.remove(target);
        }
    }

    /// Sets the limit of a target; older incarnations are ignored.
    fn set(
        &mut self,
        target: &TargetId,
        incarnation: Incarnation,
        rate: RequestRate,
        running: u32,
        now: Time,
    ) {
        let rate = rate.max(MIN_RATE);
        let old = self.limits.get_mut(target);
        if let Some(old) = old.filter(|old| old.incarnation >= incarnation) {
            if old.incarnation == incarnation && old.rate != rate {
                old.sends = restarted(&old.sends, window(rate), now);
                old.rate = rate;
            }
            return;
        }
        let mut sends = SlidingCounter::new(window(rate));
        (0..running).for_each(|_| sends.record(now));
        let limit = Limit {
            incarnation,
            rate,
            named_at: None,
            published: false,
            reported_at: None,
            sends,
        };
        self.limits.insert(target.clone(), limit);
    }
}

/// Returns the window over which a limit counts.
fn window(rate: RequestRate) -> Duration {
    if rate >= SMOOTH_RATE {
        return SMOOTH_WINDOW;
    }
    let per_1000_s = u32::try_from(rate.0).unwrap_or(u32::MAX).max(1);
    let one_request = Duration::from_secs(1_000) / per_1000_s;
    one_request.clamp(WINDOW, MAX_LIMIT_WINDOW)
}

/// Returns a counter over another window that counts the sends of the old one as made now.
fn restarted(old: &SlidingCounter, window: Duration, now: Time) -> SlidingCounter {
    let mut sends = SlidingCounter::new(window);
    (0..old.at_most(now)).for_each(|_| sends.record(now));
    sends
}
