//! A host's graceful shutdown: its states, and the times that have to fit into its grace period.

use std::time::Duration;

use cornelhitch_types::id::Time;
use serde::Serialize;

/// Time until all hosts know that a host shuts down, and give out its address no more: its next
/// report and lease renewal, 0.5 s each.
pub const ANNOUNCEMENT_TIME: Duration = Duration::from_secs(1);

/// Time between the end of the last request and the end of the grace period, in which the last
/// answers are written and the process ends by itself.
const EXIT_RESERVE: Duration = Duration::from_millis(300);

/// The process ends when this part of the reserve is left.
const EXIT_SHARE: u32 = 3;

/// The reserve is at most the grace period divided by this.
const EXIT_RESERVE_DIVISOR: u32 = 16;

/// The state of a host's graceful shutdown.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub enum Drain {
    /// The host accepts callers.
    #[default]
    Open,
    /// The host is no longer announced to callers, but still accepts those that have a cached
    /// address.
    Leaving {
        /// When the last cached address has expired.
        until: Time,
    },
    /// The listener is closed; requests already accepted continue.
    Closed,
    /// All requests have ended.
    Done,
}

/// How long the phases of a shutdown may last, from its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Phases {
    /// For how long callers may keep an address that they were given.
    pub cached: Duration,
    /// How long callers with a cached address are accepted.
    pub leave: Duration,
    /// After how long the process is killed.
    pub grace: Duration,
}

impl Phases {
    /// Returns the time from the start of the shutdown by which all requests have to end.
    ///
    /// ```
    /// use cornelhitch_entry::drain::Phases;
    /// use std::time::Duration;
    ///
    /// let second = Duration::from_secs(1);
    /// let phases = Phases { cached: 2 * second, leave: 4 * second, grace: 8 * second };
    /// assert_eq!(phases.ends_after(), Duration::from_millis(7_700));
    /// assert_eq!(phases.exits_after(), Duration::from_millis(7_900));
    /// ```
    #[must_use]
    pub fn ends_after(&self) -> Duration {
        self.grace.saturating_sub(self.reserve())
    }

    /// Returns the time from the start of the shutdown at which the process ends, even if
    /// connections are still open.
    #[must_use]
    pub fn exits_after(&self) -> Duration {
        self.grace.saturating_sub(self.reserve() / EXIT_SHARE)
    }

    /// Returns the time from the end of the last request to the end of the grace period.
    fn reserve(&self) -> Duration {
        EXIT_RESERVE.min(self.grace / EXIT_RESERVE_DIVISOR)
    }
}

/// A host's graceful shutdown.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Shutdown {
    /// Its state.
    pub state: Drain,
    /// Until when callers may hold this host's address; `None` before it starts.
    cached_until: Option<Time>,
    /// When all requests have to have ended; `None` before it starts.
    ends: Option<Time>,
}

impl Shutdown {
    /// Starts the shutdown. Has no effect if it has already started.
    ///
    /// ```
    /// use cornelhitch_entry::drain::{Phases, Shutdown};
    /// use std::time::Duration;
    ///
    /// let mut shutdown = Shutdown::default();
    /// let second = Duration::from_secs(1);
    /// let phases = Phases { cached: 2 * second, leave: 4 * second, grace: 8 * second };
    /// shutdown.start(phases, 60 * second);
    /// assert!(shutdown.accepts_requests());
    /// assert_eq!(shutdown.time_left(62 * second), Some(Duration::from_millis(5_700)));
    /// ```
    pub fn start(&mut self, phases: Phases, now: Time) {
        if self.state == Drain::Open {
            let ends_after = phases.ends_after();
            let until = now + phases.leave.min(ends_after);
            self.state = Drain::Leaving { until };
            self.cached_until = Some(now + ANNOUNCEMENT_TIME + phases.cached);
            self.ends = Some(now + ends_after);
        }
    }

    /// Whether new requests are accepted.
    #[must_use]
    pub fn accepts_requests(&self) -> bool {
        matches!(self.state, Drain::Open | Drain::Leaving { .. })
    }

    /// Whether callers should be directed to other hosts.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.state != Drain::Open
    }

    /// Returns how long requests may still run, or `None` if no shutdown limits them.
    #[must_use]
    pub fn time_left(&self, now: Time) -> Option<Duration> {
        self.ends.map(|ends| ends.saturating_sub(now))
    }

    /// Whether callers may still hold addresses that they were given before the shutdown. They
    /// would look for another host among others that they do not know to be leaving either.
    #[must_use]
    pub fn may_be_cached(&self, now: Time) -> bool {
        self.cached_until.is_some_and(|until| now < until)
    }

    /// Whether the requests that are left have to be ended now.
    #[must_use]
    pub fn is_over(&self, now: Time) -> bool {
        self.state != Drain::Done && self.ends.is_some_and(|ends| ends <= now)
    }

    /// Returns when the next step is due, or `None` if none depends on time.
    #[must_use]
    pub fn next_step(&self) -> Option<Time> {
        match self.state {
            Drain::Leaving { until } => Some(until),
            Drain::Closed => self.ends,
            Drain::Open | Drain::Done => None,
        }
    }
}
