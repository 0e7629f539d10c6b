//! Which connections of a listener are closed when there are too many, or when incomplete requests hold
//! too much memory.
//!
//! Handles callers beyond the limits: crowds of connections from few or many addresses, and heads that
//! never end. It holds no socket and no clock. A connection with a request in progress is never chosen.
//! The share of one address follows what is still free, by the dynamic threshold of Choudhury and
//! Hahne (1998), so that some room remains for other addresses.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

/// The number of a connection.
pub type ConnectionId = u64;

/// Connections that one address may have for each that is free, if no number is set.
const SHARE: usize = 3;

/// The limits on the connections of one listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Connections of all addresses.
    pub connections: usize,
    /// Connections of one address; `None` for three times as many as are free.
    pub per_address: Option<usize>,
    /// Bytes that all incomplete heads may hold.
    pub head_memory: usize,
    /// Bytes that one connection is counted with at most.
    pub head_bytes: usize,
}

/// A connection.
#[derive(Debug, Clone, Copy)]
struct Connection {
    address: IpAddr,
    /// When it was opened, or when its last request ended.
    idle_since: Duration,
    /// Requests that were received completely.
    requests: u64,
    /// Requests in progress.
    in_progress: usize,
    /// Bytes received since the last complete head.
    held: usize,
}

/// The connections of one listener.
///
/// ```
/// use std::net::{IpAddr, Ipv4Addr};
/// use std::time::Duration;
///
/// use cornelhitch_node::connection_limits::{ConnectionLimits, Connections, Opened};
///
/// let limits = ConnectionLimits {
///     connections: 2, per_address: Some(2), head_memory: 1_000, head_bytes: 600,
/// };
/// let mut connections = Connections::new(limits);
/// let address = IpAddr::V4(Ipv4Addr::LOCALHOST);
/// assert_eq!(connections.open(1, address, Duration::ZERO), Opened::Accepted);
/// connections.begin(1);
/// assert_eq!(connections.open(2, address, Duration::ZERO), Opened::Accepted);
/// // Number 1 has a request in progress, so number 2 makes room.
/// assert_eq!(connections.open(3, address, Duration::ZERO), Opened::Replaced(2));
/// ```
#[derive(Debug)]
pub struct Connections {
    limits: ConnectionLimits,
    open: BTreeMap<ConnectionId, Connection>,
    addresses: BTreeMap<IpAddr, usize>,
    /// Bytes that all connections hold.
    held: usize,
}

/// What happens to a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Opened {
    /// It is kept.
    Accepted,
    /// It is kept, and this one has to be closed.
    Replaced(ConnectionId),
    /// It has to be closed.
    Refused,
}

impl Connections {
    /// Creates an empty listener.
    #[must_use]
    pub fn new(limits: ConnectionLimits) -> Self {
        Self {
            limits,
            open: BTreeMap::new(),
            addresses: BTreeMap::new(),
            held: 0,
        }
    }

    /// Adds a connection, if there is room or another one can make room.
    pub fn open(&mut self, id: ConnectionId, address: IpAddr, now: Duration) -> Opened {
        let mut opened = Opened::Accepted;
        if !self.address_has_room(address) || self.free() == 0 {
            let of = (!self.address_has_room(address)).then_some(address);
            let Some(victim) = self.longest_idle(of) else {
                return Opened::Refused;
            };
            self.close(victim);
            opened = Opened::Replaced(victim);
        }
        let connection = Connection {
            address,
            idle_since: now,
            requests: 0,
            in_progress: 0,
            held: 0,
        };
        self.open.insert(id, connection);
        *self.addresses.entry(address).or_default() += 1;
        opened
    }

    /// Removes a connection without a request in progress to free its memory, and returns it: one of the address
    /// that has most, if that has such a one. `None` if there is none.
    pub fn evict(&mut self) -> Option<ConnectionId> {
        let most = self.addresses.iter().max_by_key(|(_, count)| **count);
        let most = most.map(|(address, _)| *address);
        let victim = self
            .longest_idle(most)
            .or_else(|| self.longest_idle(None))?;
        self.close(victim);
        Some(victim)
    }

    /// Removes a connection; has no effect if it was removed before.
    pub fn close(&mut self, id: ConnectionId) {
        let Some(connection) = self.open.remove(&id) else {
            return;
        };
        self.held -= connection.held;
        if let Some(count) = self.addresses.get_mut(&connection.address) {
            *count -= 1;
            if *count == 0 {
                self.addresses.remove(&connection.address);
            }
        }
    }

    /// Counts bytes of an incomplete head; returns the connections that have to be closed.
    pub fn receive(&mut self, id: ConnectionId, bytes: usize) -> Vec<ConnectionId> {
        if let Some(connection) = self.open.get_mut(&id) {
            let held = (connection.held + bytes).min(self.limits.head_bytes);
            self.held += held - connection.held;
            connection.held = held;
        }
        let mut victims = Vec::new();
        while self.held > self.limits.head_memory
            && let Some(victim) = self.largest()
        {
            self.close(victim);
            victims.push(victim);
        }
        victims
    }

    /// Records that the head of a request is complete.
    pub fn begin(&mut self, id: ConnectionId) {
        self.complete_head(id);
        if let Some(connection) = self.open.get_mut(&id) {
            connection.requests += 1;
            connection.in_progress += 1;
        }
    }

    /// Records that the head of a request is complete which is rejected at once. The connection makes room for
    /// others as if it had none.
    pub fn reject(&mut self, id: ConnectionId) {
        self.complete_head(id);
    }

    /// Counts the bytes of a connection's head no more.
    fn complete_head(&mut self, id: ConnectionId) {
        if let Some(connection) = self.open.get_mut(&id) {
            self.held -= connection.held;
            connection.held = 0;
        }
    }

    /// Records that a request ended.
    pub fn end(&mut self, id: ConnectionId, now: Duration) {
        if let Some(connection) = self.open.get_mut(&id) {
            connection.in_progress -= 1;
            connection.idle_since = now;
        }
    }

    /// Returns how many connections there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Returns the bytes that incomplete heads hold.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held
    }

    /// Returns how many more connections there may be.
    fn free(&self) -> usize {
        self.limits.connections.saturating_sub(self.len())
    }

    /// Returns whether an address may have one more connection.
    fn address_has_room(&self, address: IpAddr) -> bool {
        let count = self.addresses.get(&address).copied().unwrap_or_default();
        let shared = SHARE * self.free().saturating_sub(1);
        // The first connection of an address is limited by the total alone.
        count < self.limits.per_address.unwrap_or(shared).max(1)
    }

    /// Returns the connection without a request in progress that makes room first: one that never had a
    /// request, then the one that is idle for the longest time.
    fn longest_idle(&self, of: Option<IpAddr>) -> Option<ConnectionId> {
        let idle = self.open.iter().filter(|(_, connection)| {
            connection.in_progress == 0 && of.is_none_or(|of| connection.address == of)
        });
        let first = idle.min_by_key(|(_, it)| (it.requests > 0, it.idle_since));
        first.map(|(id, _)| *id)
    }

    /// Returns the connection that holds most, the oldest of these.
    fn largest(&self) -> Option<ConnectionId> {
        let holding = self.open.iter().filter(|(_, it)| it.held > 0);
        let first = holding.min_by_key(|(_, it)| (Reverse(it.held), it.idle_since));
        first.map(|(id, _)| *id)
    }
}
