//! The states of a host's graceful shutdown.

use cornelhitch_types::id::Time;
use serde::Serialize;

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

impl Drain {
    /// Starts the shutdown. Has no effect if it has already started.
    ///
    /// ```
    /// use cornelhitch_entry::drain::Drain;
    /// use std::time::Duration;
    ///
    /// let mut drain = Drain::default();
    /// drain.start(Duration::ZERO);
    /// assert!(drain.accepts_requests());
    /// ```
    pub fn start(&mut self, until: Time) {
        if *self == Self::Open {
            *self = Self::Leaving { until };
        }
    }

    /// Whether new requests are accepted.
    #[must_use]
    pub fn accepts_requests(&self) -> bool {
        matches!(self, Self::Open | Self::Leaving { .. })
    }

    /// Whether callers should be directed to other hosts.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        *self != Self::Open
    }

    /// Returns when the next state is due, or `None` if that does not depend on time.
    #[must_use]
    pub fn next_step(&self) -> Option<Time> {
        match self {
            Self::Leaving { until } => Some(*until),
            _ => None,
        }
    }
}
