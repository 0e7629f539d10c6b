//! Which connections of a listener are closed when there are too many, or when incomplete requests hold
//! too much memory.
//!
//! Handles callers beyond the limits: crowds of connections from few or many addresses, heads that never
//! end, and requests that wait for a caller who hardly sends or reads. It holds no socket and no clock. A
//! connection with a request in progress is only chosen while it waits for such a caller, and after all
//! idle ones. The share of one address follows what is still free, by the dynamic threshold of Choudhury
//! and Hahne (1998), so that some room remains for other addresses.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

/// The number of a connection.
pub type ConnectionId = u64;

/// Connections that one address may have for each that is free, if no number is set.
const SHARE: usize = 3;

/// Rate at which a caller sends a body or reads an answer, in bytes a second, below which its connection may
/// have to make room for others.
pub const MIN_BYTES_PER_SECOND: f64 = 16_384.0;

/// Time for which a request has to wait for its caller before the rate counts.
const MIN_WAIT: Duration = Duration::from_secs(2);

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
    /// Requests in progress that wait for their caller: for the rest of a body, or until it reads an answer.
    waiting: usize,
    /// Whether the socket takes no more bytes of an answer.
    blocked: bool,
    /// The wait for the caller's next bytes or reads; `None` if there is none.
    wait: Option<Wait>,
    /// Bytes received since the last complete head.
    held: usize,
}

impl Connection {
    /// Begins to wait for the caller, or goes on to.
    fn wait(&mut self, now: Duration) {
        self.wait.get_or_insert(Wait {
            since: now,
            bytes: 0,
        });
    }

    /// Ends the wait for the caller if there is nothing left to wait for.
    fn update_wait(&mut self) {
        if self.waiting == 0 && !self.blocked {
            self.wait = None;
        }
    }

    /// Returns the rate of the caller if all requests wait for it, and it is too slow.
    fn slow_rate(&self, now: Duration) -> Option<f64> {
        let waits = self.blocked || self.waiting >= self.in_progress;
        let wait = self.wait.filter(|_| waits && self.in_progress > 0)?;
        let elapsed = now.saturating_sub(wait.since);
        let rate = wait.rate(elapsed);
        (elapsed >= MIN_WAIT && rate < MIN_BYTES_PER_SECOND).then_some(rate)
    }
}

/// A time in which requests wait for their caller.
#[derive(Debug, Clone, Copy)]
struct Wait {
    since: Duration,
    /// Bytes that the caller has sent or read since.
    bytes: usize,
}

impl Wait {
    /// Returns the bytes in a second.
    #[allow(clippy::cast_precision_loss)]
    fn rate(self, elapsed: Duration) -> f64 {
        self.bytes as f64 / elapsed.as_secs_f64()
    }
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
            let Some(victim) = self.longest_idle(of).or_else(|| self.slowest(of, now)) else {
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
            waiting: 0,
            blocked: false,
            wait: None,
            held: 0,
        };
        self.open.insert(id, connection);
        *self.addresses.entry(address).or_default() += 1;
        opened
    }

    /// Removes a connection to free its memory, and returns it: one of the address that has most, if that has
    /// one without a request in progress. `None` if each has a request that doesn't wait for a slow caller.
    pub fn evict(&mut self, now: Duration) -> Option<ConnectionId> {
        let most = self.addresses.iter().max_by_key(|(_, count)| **count);
        let most = most.map(|(address, _)| *address);
        let victim = self
            .longest_idle(most)
            .or_else(|| self.longest_idle(None))
            .or_else(|| self.slowest(None, now))?;
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

    /// Records that a request ended, which waits for its caller no more.
    pub fn end(&mut self, id: ConnectionId, now: Duration) {
        if let Some(connection) = self.open.get_mut(&id) {
            connection.in_progress -= 1;
            connection.idle_since = now;
        }
    }

    /// Records that a request in progress begins to wait for its caller.
    pub fn begin_wait(&mut self, id: ConnectionId, now: Duration) {
        if let Some(connection) = self.open.get_mut(&id) {
            connection.waiting += 1;
            connection.wait(now);
        }
    }

    /// Records that a request in progress waits for its caller no more.
    pub fn end_wait(&mut self, id: ConnectionId) {
        if let Some(connection) = self.open.get_mut(&id) {
            connection.waiting -= 1;
            connection.update_wait();
        }
    }

    /// Records that the socket takes no more bytes until the caller reads some.
    pub fn block(&mut self, id: ConnectionId, now: Duration) {
        if let Some(connection) = self.open.get_mut(&id) {
            connection.blocked = true;
            connection.wait(now);
        }
    }

    /// Records that the socket has taken all bytes that there were.
    pub fn unblock(&mut self, id: ConnectionId) {
        if let Some(connection) = self.open.get_mut(&id) {
            connection.blocked = false;
            connection.update_wait();
        }
    }

    /// Counts bytes of a body that were received, or of an answer that were sent.
    pub fn progress(&mut self, id: ConnectionId, bytes: usize) {
        let connection = self.open.get_mut(&id);
        if let Some(wait) = connection.and_then(|it| it.wait.as_mut()) {
            wait.bytes += bytes;
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

    /// Returns the connection whose requests wait for the slowest caller.
    fn slowest(&self, of: Option<IpAddr>, now: Duration) -> Option<ConnectionId> {
        let open = self.open.iter();
        let of_address = open.filter(|(_, it)| of.is_none_or(|of| it.address == of));
        let slow = of_address.filter_map(|(id, it)| Some((*id, it.slow_rate(now)?)));
        let first = slow.min_by(|(_, one), (_, other)| one.total_cmp(other));
        first.map(|(id, _)| id)
    }

    /// Returns the connection that holds most, the oldest of these.
    fn largest(&self) -> Option<ConnectionId> {
        let holding = self.open.iter().filter(|(_, it)| it.held > 0);
        let first = holding.min_by_key(|(_, it)| (Reverse(it.held), it.idle_since));
        first.map(|(id, _)| *id)
    }
}
