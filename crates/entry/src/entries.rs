//! The answer to `GET /v1/entries`: which entry hosts a caller should connect to.

use std::cmp::Ordering;
use std::net::SocketAddr;
use std::time::Duration;

use cornelhitch_types::entry::Host;
use cornelhitch_types::id::{RegionId, ZoneId};
use rand::Rng;
use rand::rngs::SmallRng;
use serde::Serialize;

/// Maximum fraction by which the age of an answer is randomly shortened, so that callers do not all
/// return at the same time.
const MAX_AGE_JITTER: f64 = 0.3;

/// Maximum number of addresses in one answer.
const MAX_ADDRESSES: usize = 4;

/// How many more requests a host in the caller's zone may have and still be preferred.
const ZONE_BONUS: u32 = 64;

/// The entry hosts for a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EntryHosts {
    /// Addresses to connect to, the best one first; the others are for failover.
    pub addresses: Vec<SocketAddr>,
    /// How long the caller may cache this answer.
    pub max_age: Duration,
}

/// The location of a caller, as far as the caller or its host reports it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerLocation {
    /// The caller's region, or empty if unknown.
    pub region: RegionId,
    /// The caller's availability zone, or empty if unknown.
    pub zone: ZoneId,
}

/// Chooses the entry hosts for a caller from those that are not draining.
///
/// Hosts in the caller's region are listed first, led by the less busy of two random ones among
/// them, with a bonus for the caller's zone. Choosing the least busy of all would send every caller
/// to the same host while the load figures are stale.
///
/// ```
/// use cornelhitch_entry::entries::{CallerLocation, answer};
/// use rand::{SeedableRng, rngs::SmallRng};
///
/// let max_age = std::time::Duration::from_secs(10);
/// let none = answer(&[], &CallerLocation::default(), max_age, &mut SmallRng::seed_from_u64(1));
/// assert!(none.addresses.is_empty());
/// ```
#[must_use]
pub fn answer(
    hosts: &[&Host],
    location: &CallerLocation,
    max_age: Duration,
    random: &mut SmallRng,
) -> EntryHosts {
    let open = hosts.iter().filter(|host| !host.draining);
    let mut ranked: Vec<(bool, u32, u64, SocketAddr)> = open
        .map(|host| {
            let other_region = host.region != location.region;
            let same_zone = host.zone == location.zone;
            let load = host.load + if same_zone { 0 } else { ZONE_BONUS };
            (other_region, load, random.random(), host.address)
        })
        .collect();
    ranked.sort_by_key(|(other_region, _, draw, _)| (*other_region, *draw));
    put_less_busy_first(&mut ranked);
    let addresses = ranked.into_iter().map(|(_, _, _, address)| address);
    let spread = 1.0 - MAX_AGE_JITTER * random.random::<f64>();
    EntryHosts {
        addresses: addresses.take(MAX_ADDRESSES).collect(),
        max_age: max_age.mul_f64(spread),
    }
}

/// Swaps the first two hosts if both are in the same tier and the second is less busy.
fn put_less_busy_first(ranked: &mut [(bool, u32, u64, SocketAddr)]) {
    let [first, second, ..] = ranked else {
        return;
    };
    let same = first.0 == second.0;
    if same && second.1.cmp(&first.1) == Ordering::Less {
        std::mem::swap(first, second);
    }
}

/// Returns the hosts nearest to a caller: those of its zone, else of its region, else all.
#[must_use]
pub fn nearest(hosts: &[&Host], location: &CallerLocation, max_age: Duration) -> EntryHosts {
    let tiers: [&dyn Fn(&Host) -> bool; 3] = [
        &|host| host.zone == location.zone,
        &|host| host.region == location.region,
        &|_| true,
    ];
    let mut tiers = tiers.iter().map(|is_near| {
        let near = hosts.iter().filter(|host| is_near(host));
        near.map(|host| host.address).collect::<Vec<_>>()
    });
    let addresses = tiers.find(|tier| !tier.is_empty());
    EntryHosts {
        addresses: addresses.unwrap_or_default(),
        max_age,
    }
}
