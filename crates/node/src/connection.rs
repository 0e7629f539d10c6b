//! The connections of a listener, shared by their tasks.

mod request;

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::connection_limits::{ConnectionId, Connections, Opened};
use crate::listener_limits::ListenerLimits;
use crate::log_limit::LogLimiter;
use crate::metrics::{Count, Metrics};
use crate::process_memory::{ProcessMemory, Purpose};
use crate::read_pacing::ReadPacing;
use crate::shared_memory::SharedMemory;

pub(crate) use self::request::{BodyProgress, Request};

/// Requests in progress that one address may have for each that is free.
const REQUESTS_SHARE: usize = 3;

/// Bytes that a request which was crowded out takes from its address's allowance: parsing and rejecting it
/// takes about as much processor time as as many bytes of other frames.
const CROWDED_OUT_BYTES: usize = 4 << 10;

/// Sockets that may be closing beside those of a full listener.
const CLOSING_SOCKETS: usize = 4;

/// Bytes that are read from a connection without a pause before its first request, and after each one, whatever
/// others of its address send: the heads of ordinary requests are smaller.
const UNPACED_BYTES: usize = 8 << 10;

/// Interval between two log lines about paused reads of a listener. Each connection of a crowd pauses often.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The connections of one listener.
#[derive(Debug)]
pub struct ConnectionTable {
    pub(crate) limits: ListenerLimits,
    pub(crate) metrics: Metrics,
    memory: ProcessMemory,
    epoch: Instant,
    next: AtomicU64,
    /// A permit for each socket, also while it is closing.
    sockets: Arc<Semaphore>,
    /// Requests in progress, of which each address has its share.
    requests: SharedMemory<IpAddr>,
    state: Mutex<State>,
}

/// What the connections' tasks share under a lock.
#[derive(Debug)]
struct State {
    connections: Connections,
    pacing: ReadPacing,
    /// Cancelled to close a connection.
    closers: HashMap<ConnectionId, CancellationToken>,
    /// Requests over HTTP/2 that are being answered.
    answered: Vec<Weak<Request>>,
    log_limit: LogLimiter,
    /// When a pause of reads was last logged.
    pause_logged: Option<Duration>,
}

/// A connection; removed from its table when the last clone of its handle is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    id: ConnectionId,
    table: Arc<ConnectionTable>,
    /// The caller's address.
    pub(crate) from: SocketAddr,
    #[expect(dead_code, reason = "counts the socket until it is dropped")]
    permit: Option<OwnedSemaphorePermit>,
    /// Cancelled when the connection has to make room for others.
    pub(crate) closer: CancellationToken,
    /// Requests whose head was received.
    requests: AtomicUsize,
    /// Those of them whose answer has not ended.
    in_progress: AtomicUsize,
    /// Parts of bodies that requests have read.
    body_parts: AtomicUsize,
    /// Bytes taken from the address's allowance since the last request or part of a body.
    charged: AtomicUsize,
    /// Bytes since the last request that was served or part of a body; a request that was crowded out counts as
    /// [`CROWDED_OUT_BYTES`].
    unused: AtomicUsize,
    /// When the last request ended or answer bytes were written, in milliseconds since the epoch.
    active_ms: AtomicU64,
    /// Whether the last answer is over HTTP/1.0, and whether such an answer is not at its end.
    is_http10: AtomicBool,
    is_unfinished: AtomicBool,
}

/// A request that is not served because too many are in progress.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CrowdedOut {
    /// Whether the connection is closed after the response: its address has used up its allowance, and many more
    /// requests on the connection would each take the time to reject it.
    pub(crate) closes: bool,
}

impl ConnectionTable {
    /// Creates the table of a listener.
    #[must_use]
    pub fn new(limits: ListenerLimits, memory: ProcessMemory, metrics: Metrics) -> Arc<Self> {
        Arc::new(Self {
            limits,
            metrics,
            memory,
            epoch: Instant::now(),
            next: AtomicU64::new(0),
            sockets: Arc::new(Semaphore::new(
                limits.connections.connections + CLOSING_SOCKETS,
            )),
            requests: SharedMemory::new(limits.requests, REQUESTS_SHARE)
                .within(memory.room(Purpose::Request)),
            state: Mutex::new(State {
                connections: Connections::new(limits.connections),
                pacing: ReadPacing::new(limits.unused_rate),
                closers: HashMap::new(),
                answered: Vec::new(),
                log_limit: LogLimiter::default(),
                pause_logged: None,
            }),
        })
    }

    /// Returns the permit for one more socket, which its connection holds until all of its tasks have ended.
    /// One that made room for another still has its socket and what its requests hold until they have run.
    pub(crate) async fn socket_permit(&self) -> Option<OwnedSemaphorePermit> {
        self.sockets.clone().acquire_owned().await.ok()
    }

    /// Adds a connection; `None` if it has to be closed.
    pub(crate) fn open(
        self: &Arc<Self>,
        from: SocketAddr,
        permit: Option<OwnedSemaphorePermit>,
    ) -> Option<Arc<Connection>> {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let closer = CancellationToken::new();
        let mut state = self.lock();
        if !self.free_memory(&mut state) {
            self.refuse(&mut state, from);
            return None;
        }
        match state.connections.open(id, from.ip(), self.epoch.elapsed()) {
            Opened::Accepted => {}
            Opened::Replaced(victim) => self.evict(&mut state, victim),
            Opened::Refused => {
                self.refuse(&mut state, from);
                return None;
            }
        }
        state.closers.insert(id, closer.clone());
        drop(state);
        Some(Arc::new(Connection {
            id,
            table: self.clone(),
            from,
            permit,
            closer,
            requests: AtomicUsize::new(0),
            in_progress: AtomicUsize::new(0),
            body_parts: AtomicUsize::new(0),
            charged: AtomicUsize::new(0),
            unused: AtomicUsize::new(0),
            active_ms: AtomicU64::new(self.now_ms()),
            is_http10: AtomicBool::new(false),
            is_unfinished: AtomicBool::new(false),
        }))
    }

    /// Closes an idle connection if the process is short of memory; returns false if there is none, and no
    /// memory at all.
    fn free_memory(&self, state: &mut State) -> bool {
        if self.memory.has_room(Purpose::Connection, 0) {
            return true;
        }
        let victim = state.connections.evict(self.epoch.elapsed());
        if let Some(victim) = victim {
            self.evict(state, victim);
        }
        victim.is_some() || self.memory.has_room(Purpose::Progress, 0)
    }

    /// Counts and logs a connection that is closed at once.
    fn refuse(&self, state: &mut State, from: SocketAddr) {
        self.metrics.increment(Count::ConnectionsRefused);
        if state.log_limit.allow() {
            let open = state.connections.len();
            tracing::info!(%from, open, "connection refused: too many with a request in progress");
        }
    }

    /// Closes a connection that was removed to make room.
    fn evict(&self, state: &mut State, id: ConnectionId) {
        if let Some(closer) = state.closers.remove(&id) {
            closer.cancel();
        }
        self.metrics.increment(Count::ConnectionsEvicted);
        if state.log_limit.allow() {
            let (open, held) = (state.connections.len(), state.connections.held());
            tracing::info!(
                open,
                held,
                "connection without a request in progress, or of a slow caller, closed to make room"
            );
        }
    }

    /// Counts a connection that was closed for what its caller did or failed to do, and logs it.
    pub(crate) fn closed(&self, count: Count, from: SocketAddr) {
        self.metrics.increment(count);
        if self.lock().log_limit.allow() {
            let count = <&str>::from(count);
            tracing::info!(%from, count, "connection closed: its caller is beyond a limit");
        }
    }

    /// Closes the connections of answers over HTTP/2 whose callers have read nothing for `timeout`.
    pub(crate) fn close_unread(&self, timeout: Duration) {
        let mut answered = std::mem::take(&mut self.lock().answered);
        // Dropped without the lock, which the end of a request takes.
        let requests: Vec<Arc<Request>> = answered.iter().filter_map(Weak::upgrade).collect();
        for request in requests.iter().filter(|it| it.is_stalled(timeout)) {
            let connection = request.connection();
            self.closed(Count::AnswersUnread, connection.from);
            connection.closer.cancel();
        }
        answered.retain(|request| request.strong_count() > 0);
        self.lock().answered.extend(answered);
    }

    /// Returns the time since the listener's start in milliseconds.
    fn now_ms(&self) -> u64 {
        u64::try_from(self.epoch.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Locks the state.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Connection {
    /// Returns the table that the connection is in.
    pub(crate) fn table(&self) -> &ConnectionTable {
        &self.table
    }

    /// Returns whether nothing was received since the last request began: the next one was pipelined, received
    /// together with it.
    pub(crate) fn is_pipelined(&self) -> bool {
        self.charged.load(Ordering::Relaxed) == 0
    }

    /// Records that the head of a request is complete, which may have a body; fails if too many are in progress.
    pub(crate) fn begin(self: &Arc<Self>, has_body: bool) -> Result<Request, CrowdedOut> {
        self.refund();
        let mut place = self.table.requests.reservation(&self.from.ip());
        if !place.resize(1) {
            return Err(self.reject());
        }
        self.unused.store(0, Ordering::Relaxed);
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.table.lock().connections.begin(self.id);
        Ok(Request::new(self.clone(), has_body, place))
    }

    /// Records that a request is rejected because too many are in progress.
    fn reject(&self) -> CrowdedOut {
        self.table.metrics.increment(Count::RequestsCrowdedOut);
        self.unused.fetch_add(CROWDED_OUT_BYTES, Ordering::Relaxed);
        // The next head starts anew.
        self.requests.fetch_add(1, Ordering::Relaxed);
        let address = self.from.ip();
        let now = self.table.epoch.elapsed();
        let mut state = self.table.lock();
        state.connections.reject(self.id);
        state.pacing.charge(address, CROWDED_OUT_BYTES, now);
        let closes = state.pacing.pause(address, now).is_some();
        CrowdedOut { closes }
    }

    /// Counts bytes that were received while no request is in progress.
    pub(crate) fn receive(&self, bytes: usize) {
        let mut state = self.table.lock();
        for victim in state.connections.receive(self.id, bytes) {
            self.table.evict(&mut state, victim);
        }
    }

    /// Takes bytes from the allowance of the caller's address.
    pub(crate) fn charge(&self, bytes: usize) {
        self.charged.fetch_add(bytes, Ordering::Relaxed);
        self.unused.fetch_add(bytes, Ordering::Relaxed);
        let now = self.table.epoch.elapsed();
        let mut state = self.table.lock();
        state.pacing.charge(self.from.ip(), bytes, now);
    }

    /// Gives bytes back that became a request or a part of a body. It is called as soon as they have, so that
    /// many uploads from one address don't use up its allowance with bytes that are about to be delivered.
    fn refund(&self) {
        let bytes = self.charged.swap(0, Ordering::Relaxed);
        if bytes == 0 {
            return;
        }
        let now = self.table.epoch.elapsed();
        let mut state = self.table.lock();
        state.pacing.refund(self.from.ip(), bytes, now);
    }

    /// Returns how long nothing may be read; `None` if the address has some of its allowance left, or this
    /// connection has sent no more than an ordinary request.
    pub(crate) fn pause(&self) -> Option<Duration> {
        if self.is_ordinary() {
            return None;
        }
        let now = self.table.epoch.elapsed();
        let mut state = self.table.lock();
        let pause = state.pacing.pause(self.from.ip(), now)?;
        let logs = state.pause_logged.is_none_or(|at| now >= at + LOG_INTERVAL);
        if logs {
            state.pause_logged = Some(now);
        }
        drop(state);
        self.table.metrics.increment(Count::ReadsPaused);
        if logs {
            let from = self.from;
            tracing::info!(%from, ?pause, "reads paused: too many bytes that are no request and no body");
        }
        Some(pause)
    }

    /// Returns whether this connection has sent no more than an ordinary request since its last one.
    fn is_ordinary(&self) -> bool {
        self.unused.load(Ordering::Relaxed) < UNPACED_BYTES
    }

    /// Returns whether the process has no memory for bytes that this connection receives.
    pub(crate) fn is_out_of_memory(&self) -> bool {
        let purpose = if self.is_busy() || self.is_ordinary() {
            Purpose::Progress
        } else {
            Purpose::Connection
        };
        !self.table.memory.has_room(purpose, 0)
    }

    /// Counts bytes that the caller has sent of a body, or read of an answer.
    pub(crate) fn progress(&self, bytes: usize) {
        self.table.lock().connections.progress(self.id, bytes);
    }

    /// Records whether the socket takes no more bytes.
    pub(crate) fn set_blocked(&self, blocked: bool) {
        let now = self.table.epoch.elapsed();
        let connections = &mut self.table.lock().connections;
        if blocked {
            connections.block(self.id, now);
        } else {
            connections.unblock(self.id);
        }
    }

    /// Records that an answer begins, over HTTP/1.0 or a later version.
    pub(crate) fn begin_answer(&self, is_http10: bool) {
        self.is_http10.store(is_http10, Ordering::Relaxed);
        self.is_unfinished.store(is_http10, Ordering::Relaxed);
    }

    /// Records that the HTTP library has taken all of an answer.
    pub(crate) fn end_answer(&self) {
        self.is_unfinished.store(false, Ordering::Relaxed);
    }

    /// Returns whether an answer is cut off that would look complete if the connection were closed: its end may be
    /// that of the connection (RFC 9112, section 6.3). `unwritten` says that the socket has not taken all of it.
    pub(crate) fn cuts_answer(&self, unwritten: bool) -> bool {
        let is_http10 = self.is_http10.load(Ordering::Relaxed);
        is_http10 && (unwritten || self.is_unfinished.load(Ordering::Relaxed))
    }

    /// Records that bytes of an answer were written.
    pub(crate) fn record_write(&self) {
        self.active_ms.store(self.table.now_ms(), Ordering::Relaxed);
    }

    /// Returns how many requests' heads were received.
    pub(crate) fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    /// Returns how many parts of bodies requests have read.
    pub(crate) fn body_parts(&self) -> usize {
        self.body_parts.load(Ordering::Relaxed)
    }

    /// Returns whether a request is in progress.
    pub(crate) fn is_busy(&self) -> bool {
        self.in_progress.load(Ordering::Relaxed) > 0
    }

    /// Returns when the last request ended or answer bytes were written.
    pub(crate) fn idle_since(&self) -> Instant {
        self.table.epoch + Duration::from_millis(self.active_ms.load(Ordering::Relaxed))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut state = self.table.lock();
        state.connections.close(self.id);
        state.closers.remove(&self.id);
    }
}
