//! The limits of each listener, from the settings and the process's limit on file descriptors.

use std::time::Duration;

use cornelhitch_settings::process::Serving;
use rustix::process::{Resource, getrlimit};

use crate::connection_limits::ConnectionLimits;

/// Maximum number of header lines of a request: fits a head of 16 KiB at 16 bytes each.
pub const MAX_HEADERS: usize = 1_024;

/// The limit on descriptors that is assumed where the system states none.
const UNSTATED_DESCRIPTORS: u64 = 4_096;

/// Part of the descriptors for handshakes with peers, in hundredths.
const HANDSHAKES_PERCENT: u64 = 4;

/// Fewest connections of a listener.
const MIN_CONNECTIONS: usize = 8;

/// Bytes of a kilobyte.
const KILOBYTE: u64 = 1_000;

/// Bytes of a megabyte.
const MEGABYTE: f64 = 1e6;

/// Part of the memory that the incomplete heads of one listener may hold.
const HEADS_PART: f64 = 1.0 / 16.0;

/// Which callers a listener is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Audience {
    /// Callers of models and services.
    Callers,
    /// Targets and those who publish route tables.
    Registry,
    /// Callers and balancers that ask for entry hosts or readiness.
    Pages,
    /// Operators.
    Operators,
    /// Readers of metrics.
    Metrics,
}

impl Audience {
    /// Returns the part of the process's descriptors for this listener, in hundredths. Together they
    /// leave a twentieth for peers, targets and files on a host with all roles, and nearly a half on
    /// an entry host, where each request of a caller needs a connection to a target as well.
    fn descriptors_percent(self) -> u64 {
        match self {
            Self::Callers | Self::Registry => 40,
            Self::Pages => 4,
            Self::Operators | Self::Metrics => 3,
        }
    }
}

/// Requests in progress on one listener for each megabyte of memory. One on an HTTP/2 connection takes some 8 kB,
/// so that they take an eighth of the memory.
const REQUESTS_PER_MB: f64 = 16.0;

/// The limits of one listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenerLimits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Longest time from the first byte of a head to its end.
    pub head_timeout: Duration,
    /// Requests in progress.
    pub requests: usize,
    /// Bytes that are no request and no body which are read from one address in a second.
    pub unused_rate: usize,
    /// The limits on its connections.
    pub connections: ConnectionLimits,
}

impl ListenerLimits {
    /// Returns the limits of a listener.
    ///
    /// ```
    /// use cornelhitch_node::listener_limits::{Audience, ListenerLimits};
    /// use cornelhitch_settings::process::Serving;
    ///
    /// let serving = Serving { connections: 900, ..Serving::default() };
    /// let limits = ListenerLimits::new(&serving, Audience::Callers);
    /// assert_eq!(limits.connections.connections, 900);
    /// assert_eq!(limits.head_bytes, 64 << 10);
    /// ```
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn new(serving: &Serving, audience: Audience) -> Self {
        let set = |value: u64| (value > 0).then(|| to_usize(value));
        let is_callers = audience == Audience::Callers;
        let stated = set(serving.connections).filter(|_| is_callers);
        let share = part_of_descriptors(audience.descriptors_percent());
        let heads_mb = if serving.heads_mb > 0.0 {
            serving.heads_mb
        } else {
            HEADS_PART * serving.memory_mb
        };
        let head_bytes = to_usize(serving.head_bytes);
        Self {
            head_bytes,
            head_timeout: Duration::from_millis(serving.head_ms),
            requests: (REQUESTS_PER_MB * serving.memory_mb) as usize,
            unused_rate: to_usize(serving.unused_kb_s.saturating_mul(KILOBYTE)),
            connections: ConnectionLimits {
                connections: stated.unwrap_or(share),
                per_address: set(serving.address_connections).filter(|_| is_callers),
                head_memory: ((heads_mb * MEGABYTE) as usize).max(head_bytes),
                head_bytes,
            },
        }
    }
}

/// Returns how many handshakes with peers may be in progress.
#[must_use]
pub fn handshakes() -> usize {
    part_of_descriptors(HANDSHAKES_PERCENT)
}

/// Returns this part of the process's descriptors, in hundredths, for connections.
fn part_of_descriptors(percent: u64) -> usize {
    let part = descriptors().saturating_mul(percent) / 100;
    to_usize(part).max(MIN_CONNECTIONS)
}

/// Returns the process's limit on file descriptors.
fn descriptors() -> u64 {
    let limit = getrlimit(Resource::Nofile).current;
    limit.unwrap_or(UNSTATED_DESCRIPTORS)
}

/// Converts a number, or returns the largest one.
fn to_usize(value: u64) -> usize {
    usize::try_from(value).unwrap_or(usize::MAX)
}
