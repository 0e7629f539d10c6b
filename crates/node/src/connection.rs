//! The connections of a listener and their requests in progress, shared by the connections' tasks.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::Extensions;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::body::{Body, Truncated};
use crate::connection_limits::{ConnectionId, Connections, Opened};
use crate::listener_limits::ListenerLimits;
use crate::log_limit::LogLimiter;
use crate::metrics::{Count, Metrics};
use crate::read_pacing::ReadPacing;
use crate::shared_memory::{Reservation, SharedMemory};

/// Requests in progress that one address may have for each that is free.
const REQUESTS_SHARE: usize = 3;

/// Bytes that a request which was crowded out takes from its address's allowance: parsing and rejecting it
/// takes about as much processor time as as many bytes of other frames.
const CROWDED_OUT_BYTES: usize = 4 << 10;

/// Interval between two log lines about paused reads of a listener. Each connection of a crowd pauses often.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The connections of one listener.
#[derive(Debug)]
pub(crate) struct ConnectionTable {
    pub(crate) limits: ListenerLimits,
    pub(crate) metrics: Metrics,
    epoch: Instant,
    next: AtomicU64,
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
    /// When the last request ended or answer bytes were written, in milliseconds since the epoch.
    active_ms: AtomicU64,
}

/// Records which bytes of a connection became a part of a body; an extension of each request. The request
/// is in progress until the last clone is dropped, so also while the rest of a refused body is read.
#[derive(Debug, Clone)]
pub(crate) struct BodyProgress(pub(crate) Arc<Request>);

impl BodyProgress {
    /// Records that a part was read.
    pub(crate) fn record(extensions: &Extensions) {
        if let Some(Self(request)) = extensions.get() {
            let connection = &request.connection;
            connection.body_parts.fetch_add(1, Ordering::Relaxed);
            connection.refund();
        }
    }
}

/// A request in progress.
#[derive(Debug)]
pub(crate) struct Request {
    connection: Arc<Connection>,
    #[expect(dead_code, reason = "frees the request's place when it is dropped")]
    place: Reservation<IpAddr>,
}

impl ConnectionTable {
    /// Creates the table of a listener.
    pub(crate) fn new(limits: ListenerLimits, metrics: Metrics) -> Arc<Self> {
        Arc::new(Self {
            limits,
            metrics,
            epoch: Instant::now(),
            next: AtomicU64::new(0),
            requests: SharedMemory::new(limits.requests, REQUESTS_SHARE),
            state: Mutex::new(State {
                connections: Connections::new(limits.connections),
                pacing: ReadPacing::new(limits.unused_rate),
                closers: HashMap::new(),
                log_limit: LogLimiter::default(),
                pause_logged: None,
            }),
        })
    }

    /// Adds a connection; `None` if it has to be closed.
    pub(crate) fn open(self: &Arc<Self>, from: SocketAddr) -> Option<Arc<Connection>> {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let closer = CancellationToken::new();
        let mut state = self.lock();
        match state.connections.open(id, from.ip(), self.epoch.elapsed()) {
            Opened::Accepted => {}
            Opened::Replaced(victim) => self.evict(&mut state, victim),
            Opened::Refused => {
                self.metrics.increment(Count::ConnectionsRefused);
                if state.log_limit.allow() {
                    let open = state.connections.len();
                    tracing::info!(%from, open, "connection refused: too many with a request in progress");
                }
                return None;
            }
        }
        state.closers.insert(id, closer.clone());
        drop(state);
        Some(Arc::new(Connection {
            id,
            table: self.clone(),
            from,
            closer,
            requests: AtomicUsize::new(0),
            in_progress: AtomicUsize::new(0),
            body_parts: AtomicUsize::new(0),
            charged: AtomicUsize::new(0),
            active_ms: AtomicU64::new(self.now_ms()),
        }))
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
                "connection without a request in progress closed to make room"
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

    /// Records that the head of a request is complete; `None` if too many are in progress.
    pub(crate) fn begin(self: &Arc<Self>) -> Option<Request> {
        self.refund();
        let mut place = self.table.requests.reservation(&self.from.ip());
        if !place.resize(1) {
            // The next head starts anew.
            self.requests.fetch_add(1, Ordering::Relaxed);
            let now = self.table.epoch.elapsed();
            let mut state = self.table.lock();
            state.connections.begin(self.id);
            state.connections.end(self.id, now);
            state.pacing.charge(self.from.ip(), CROWDED_OUT_BYTES, now);
            drop(state);
            self.table.metrics.increment(Count::RequestsCrowdedOut);
            return None;
        }
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.table.lock().connections.begin(self.id);
        Some(Request {
            connection: self.clone(),
            place,
        })
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

    /// Returns how long nothing may be read; `None` if the address has some of its allowance left.
    pub(crate) fn pause(&self) -> Option<Duration> {
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

impl Drop for Request {
    fn drop(&mut self) {
        let connection = &self.connection;
        connection.record_write();
        connection.in_progress.fetch_sub(1, Ordering::Relaxed);
        let table = &connection.table;
        let now = table.epoch.elapsed();
        table.lock().connections.end(connection.id, now);
    }
}

/// The body of an answer, whose request is in progress until it is dropped.
pub(crate) struct AnswerBody {
    pub(crate) body: Body,
    #[expect(dead_code, reason = "acts when it is dropped")]
    pub(crate) request: Option<Arc<Request>>,
}

impl HttpBody for AnswerBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
