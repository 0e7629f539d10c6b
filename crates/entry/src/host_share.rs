//! This host's share of an allowance that all entry hosts use together.
//!
//! An allowance is a whole number of sends in a window. The shares of all hosts must not add up to
//! more than the allowance in any window, even while hosts start, stop or lose contact with the
//! leader. Therefore a host
//!
//! - has no share until it has been listed for a full window: what its previous incarnation, or a
//!   host whose share it takes over, has spent then falls into an earlier window;
//! - has the smallest of the shares that the lists of the last window give it: a host that has left
//!   may have spent its share in it;
//! - has no share without a lease: hosts that are no longer listed are not counted by the others.
//!
//! What an allowance leaves after an equal division goes to the hosts that come first in an order
//! by the hash of the allowance's key and the host, so that all hosts divide alike and allowances
//! smaller than the number of hosts are spread over different hosts.

use std::collections::VecDeque;
use std::time::Duration;

use cornelhitch_types::id::{HostId, Time};
use serde::{Serialize, Serializer};

/// The listed hosts, starting at a given time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct HostList {
    since: Time,
    /// Dumped as their number.
    #[serde(serialize_with = "serialize_count")]
    hosts: Vec<HostId>,
}

/// What determines a host's share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct HostShare {
    /// The longest window over which an allowance counts.
    window: Duration,
    /// This host, once it has been listed.
    #[serde(skip)]
    own: Option<HostId>,
    /// Since when this host has been listed without a long interruption.
    joined: Option<Time>,
    /// When its lease expires.
    leased: Time,
    /// Lists of hosts, at least those that the last window needs.
    #[serde(rename = "counts")]
    lists: VecDeque<HostList>,
}

impl HostShare {
    /// Creates the share of a host that has just started.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            own: None,
            joined: None,
            leased: Time::ZERO,
            lists: VecDeque::new(),
        }
    }

    /// Sets the entry hosts that the leader lists, in the order of their numbers, and which of them
    /// this host is.
    pub fn set_hosts(&mut self, hosts: &[HostId], own: HostId, now: Time) {
        if hosts.contains(&own) {
            self.own = Some(own);
            self.joined = self.joined.or(Some(now));
        }
        if self.lists.back().is_none_or(|last| last.hosts != hosts) {
            let hosts = hosts.to_vec();
            self.lists.push_back(HostList { since: now, hosts });
        }
        let start = now.saturating_sub(self.window);
        while self.lists.get(1).is_some_and(|next| next.since <= start) {
            self.lists.pop_front();
        }
    }

    /// Records that this host's lease was renewed.
    ///
    /// During an interruption, the other hosts may have divided by a smaller number. A lease is no
    /// longer than half a window, so they stopped counting this host at the earliest half a window
    /// after the lease expired.
    pub fn renew_lease(&mut self, until: Time, now: Time) {
        let long = self.leased + self.window / 2 < now;
        if self.joined.is_some() && long {
            self.joined = Some(now);
        }
        self.leased = self.leased.max(until);
    }

    /// Returns this host's share of an allowance of `total` sends in a window.
    ///
    /// ```
    /// use cornelhitch_entry::host_share::HostShare;
    /// use std::time::Duration;
    ///
    /// let second = Duration::from_secs;
    /// let mut share = HostShare::new(second(10));
    /// share.renew_lease(second(60), second(1));
    /// share.set_hosts(&[5, 6, 7, 8], 5, second(1));
    /// assert_eq!(share.of(8, 1, second(10)), 0);
    /// assert_eq!(share.of(8, 1, second(11)), 2);
    /// ```
    #[must_use]
    pub fn of(&self, total: u32, key: u64, now: Time) -> u32 {
        let settled = self.joined.is_some_and(|at| at + self.window <= now);
        let Some(own) = self.own.filter(|_| settled && self.leased > now) else {
            return 0;
        };
        let start = now.saturating_sub(self.window);
        let later = self.lists.iter().skip(1).map(|next| next.since);
        let ends = later.chain(std::iter::once(Time::MAX));
        let lists = self.lists.iter().zip(ends);
        let lists = lists.filter(|(_, end)| *end > start);
        let shares = lists.map(|(list, _)| divide(total, key, &list.hosts, own));
        shares.min().unwrap_or(0)
    }
}

/// Returns the key of an allowance that is known by a name; the same in all processes (FNV-1a).
#[must_use]
pub fn key(name: &str) -> u64 {
    let bytes = name.bytes();
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Returns a host's share of a division among hosts; 0 if it is none of them.
fn divide(total: u32, key: u64, hosts: &[HostId], own: HostId) -> u32 {
    let count = u32::try_from(hosts.len()).unwrap_or(u32::MAX);
    if !hosts.contains(&own) {
        return 0;
    }
    let rank = |host: &HostId| (mix(key ^ mix(*host)), *host);
    let before = hosts.iter().filter(|host| rank(host) < rank(&own));
    let before = u32::try_from(before.count()).unwrap_or(u32::MAX);
    total / count + u32::from(before < total % count)
}

/// Returns a hash that is the same in all processes (the finaliser of `SplitMix64`).
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Writes a list of hosts as their number.
fn serialize_count<S: Serializer>(hosts: &[HostId], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(hosts.len() as u64)
}
