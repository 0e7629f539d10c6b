//! How long connections of an address pause before more is read from them.
//!
//! Handles callers whose bytes become neither a request nor a part of a body: lengths of chunks without end,
//! HTTP/2 settings and pings, streams that are refused. Parsing them takes processor time that other callers
//! need, and a connection that is closed for them is replaced at once. Each address has an allowance of such
//! bytes that refills at a constant rate (a token bucket). An address that has used it up is read from no
//! faster than that. It holds no socket and no clock.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

/// Time in which an allowance refills completely, in seconds.
const REFILL_S: f64 = 2.0;

/// Bounds on one pause. An address may become entitled to more before, as when a request is complete.
const MIN_PAUSE: Duration = Duration::from_millis(10);
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Fewest addresses at which those with a full allowance are forgotten.
const MIN_ADDRESSES: usize = 64;

/// The allowances of all addresses.
///
/// ```
/// use std::net::{IpAddr, Ipv4Addr};
/// use std::time::Duration;
///
/// use cornelhitch_node::read_pacing::ReadPacing;
///
/// let mut pacing = ReadPacing::new(1_000);
/// let address = IpAddr::V4(Ipv4Addr::LOCALHOST);
/// pacing.charge(address, 2_500, Duration::ZERO);
/// assert_eq!(pacing.pause(address, Duration::ZERO), Some(Duration::from_millis(500)));
/// assert_eq!(pacing.pause(address, Duration::from_secs(1)), None);
/// ```
#[derive(Debug)]
pub struct ReadPacing {
    /// Bytes by which an allowance refills in a second.
    rate: f64,
    addresses: BTreeMap<IpAddr, Used>,
    /// Number of addresses at which those with a full allowance are forgotten.
    forget_at: usize,
}

/// What an address has used of its allowance.
#[derive(Debug, Clone, Copy)]
struct Used {
    bytes: f64,
    at: Duration,
}

impl Used {
    /// Returns the bytes that are still used after the refill up to now.
    fn at(self, now: Duration, rate: f64) -> f64 {
        let refilled = now.saturating_sub(self.at).as_secs_f64() * rate;
        (self.bytes - refilled).max(0.0)
    }
}

impl ReadPacing {
    /// Creates allowances that refill by this many bytes a second.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn new(rate: usize) -> Self {
        Self {
            rate: rate.max(1) as f64,
            addresses: BTreeMap::new(),
            forget_at: MIN_ADDRESSES,
        }
    }

    /// Takes bytes from the allowance of an address.
    #[allow(clippy::cast_precision_loss)]
    pub fn charge(&mut self, address: IpAddr, bytes: usize, now: Duration) {
        let bytes = self.used(address, now) + bytes as f64;
        self.addresses.insert(address, Used { bytes, at: now });
        if self.addresses.len() >= self.forget_at {
            let rate = self.rate;
            self.addresses.retain(|_, used| used.at(now, rate) > 0.0);
            self.forget_at = (2 * self.addresses.len()).max(MIN_ADDRESSES);
        }
    }

    /// Gives bytes back that became a request or a part of a body.
    #[allow(clippy::cast_precision_loss)]
    pub fn refund(&mut self, address: IpAddr, bytes: usize, now: Duration) {
        let bytes = (self.used(address, now) - bytes as f64).max(0.0);
        if bytes > 0.0 {
            self.addresses.insert(address, Used { bytes, at: now });
        } else {
            self.addresses.remove(&address);
        }
    }

    /// Returns how long the connections of an address pause; `None` if they may be read from.
    #[must_use]
    pub fn pause(&self, address: IpAddr, now: Duration) -> Option<Duration> {
        let excess = self.used(address, now) - REFILL_S * self.rate;
        let pause = Duration::from_secs_f64((excess / self.rate).max(0.0));
        (excess > 0.0).then(|| pause.clamp(MIN_PAUSE, MAX_PAUSE))
    }

    /// Returns how many addresses are known.
    #[must_use]
    pub fn addresses(&self) -> usize {
        self.addresses.len()
    }

    /// Returns what an address has used.
    fn used(&self, address: IpAddr, now: Duration) -> f64 {
        let used = self.addresses.get(&address);
        used.map_or(0.0, |used| used.at(now, self.rate))
    }
}
