//! A pool of open connections to targets.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::{TrySendError, http1, http2};
use hyper::{Request, Response, Uri};
use hyper_util::rt::{TokioExecutor, TokioIo};
use snafu::ResultExt;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::client::{self, IdleListener};
use crate::error::{ConnectSnafu, Error};
use crate::metered::{Meter, MeteredStream};

/// Upper bound on the head of a response, and on the bytes of a body that are read at once.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// A request with its complete body, ready to be sent.
pub type OutgoingRequest = Request<Full<Bytes>>;

/// The HTTP version of connections; there is no negotiation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Version {
    /// HTTP/1.1 with persistent connections.
    Http1,
    /// HTTP/2 without TLS, by prior knowledge.
    Http2,
}

/// The sending half of a connection.
#[derive(Debug)]
pub enum Sender {
    /// HTTP/1.1: one request at a time.
    Http1 {
        /// The handle for requests.
        sender: http1::SendRequest<Full<Bytes>>,
        /// Counts what is read.
        meter: Meter,
        /// Closes the connection when it is dropped.
        #[expect(dead_code, reason = "acts when it is dropped")]
        driver: Driver,
    },
    /// HTTP/2: many concurrent requests.
    Http2(http2::SendRequest<Full<Bytes>>),
}

/// The task that reads and writes an HTTP/1.1 connection. It ends with its owner: by itself it would
/// go on reading a response that nobody waits for, as long as that yields no bytes of a body.
#[derive(Debug)]
pub struct Driver(AbortHandle);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Sender {
    /// Sends a request; the error returns the request if no byte of it was sent.
    pub async fn send(
        &mut self,
        mut request: OutgoingRequest,
    ) -> Result<Response<Incoming>, TrySendError<OutgoingRequest>> {
        match self {
            Self::Http1 { sender, meter, .. } => {
                meter.reset();
                *request.uri_mut() = origin_form(request.uri());
                sender.try_send_request(request).await
            }
            Self::Http2(sender) => sender.try_send_request(request).await,
        }
    }

    /// Records that a part of a response's body was delivered.
    pub fn record_delivery(&self) {
        if let Self::Http1 { meter, .. } = self {
            meter.reset();
        }
    }

    /// Whether the connection is known to be closed.
    fn is_closed(&self) -> bool {
        match self {
            Self::Http1 { sender, .. } => sender.is_closed(),
            Self::Http2(sender) => sender.is_closed(),
        }
    }

    /// Waits until the connection can accept a request; returns false if it is closed.
    async fn ready(&mut self) -> bool {
        match self {
            Self::Http1 { sender, .. } => sender.ready().await.is_ok(),
            Self::Http2(sender) => sender.ready().await.is_ok(),
        }
    }
}

/// Returns path and query alone, the form for requests to an origin server (RFC 9112, section 3.2.1).
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map(Uri::from).unwrap_or_default()
}

/// How long an idle connection is reused.
#[derive(Debug, Clone, Copy)]
pub struct Lifetime {
    /// Time after which it is no longer reused.
    expires_at: Instant,
    /// Whether its target has stated how long it keeps it.
    stated: bool,
}

/// Which pooled connections a request may be sent on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// Any.
    Yes,
    /// Only one whose target has stated how long it keeps it: the target doesn't close it for being
    /// idle while the request is on its way.
    IfStated,
    /// None: a connection is opened.
    No,
}

/// An idle connection.
struct IdleConnection {
    sender: Sender,
    lifetime: Lifetime,
}

impl IdleConnection {
    /// Whether a request may still be sent on it.
    fn is_usable(&self, now: Instant) -> bool {
        now < self.lifetime.expires_at && !self.sender.is_closed()
    }
}

/// The idle connections to all targets.
struct IdleConnections {
    /// Is told of each change.
    listener: Option<IdleListener>,
    /// By target address, the most recently used last.
    targets: HashMap<SocketAddr, Vec<IdleConnection>>,
    /// When expired connections were last removed.
    last_swept: Instant,
}

impl IdleConnections {
    /// Removes expired connections of all targets, at most once in each `period`.
    fn remove_expired(&mut self, period: Duration) {
        if self.last_swept.elapsed() < period {
            return;
        }
        let now = Instant::now();
        self.last_swept = now;
        let addresses: Vec<SocketAddr> = self.targets.keys().copied().collect();
        for address in addresses {
            self.remove_unusable(address);
        }
        self.targets.retain(|_, idle| !idle.is_empty());
    }

    /// Removes the connections to an address that are closed or expired.
    fn remove_unusable(&mut self, address: SocketAddr) {
        let Some(idle) = self.targets.get_mut(&address) else {
            return;
        };
        let (now, before) = (Instant::now(), idle.len());
        idle.retain(|connection| connection.is_usable(now));
        if idle.len() < before {
            self.notify(address);
        }
    }

    /// Tells the listener of the idle connections to an address. It is called under the lock, so that
    /// it is told of changes in their order.
    fn notify(&self, address: SocketAddr) {
        let Some(listener) = &self.listener else {
            return;
        };
        let idle = self.targets.get(&address).map_or(&[][..], Vec::as_slice);
        let lifetimes = idle.iter().map(|connection| connection.lifetime);
        let stated = lifetimes.clone().filter(|lifetime| lifetime.stated);
        listener(client::IdleConnections {
            address,
            count: u32::try_from(idle.len()).unwrap_or(u32::MAX),
            stated: u32::try_from(stated.count()).unwrap_or(u32::MAX),
            until: lifetimes.map(|lifetime| lifetime.expires_at).max(),
        });
    }
}

/// A pool of connections to all targets.
#[derive(Clone)]
pub struct Pool {
    idle: Arc<Mutex<IdleConnections>>,
    version: Version,
    /// Timeout for opening a connection.
    connect_timeout: Duration,
    /// Lifetime of an idle connection if its target states none.
    idle_timeout: Duration,
    /// Upper bound on the idle connections to one target.
    max_idle_per_target: usize,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(
        version: Version,
        connect_timeout: Duration,
        idle_timeout: Duration,
        max_idle_per_target: usize,
    ) -> Self {
        Self {
            idle: Arc::new(Mutex::new(IdleConnections {
                listener: None,
                targets: HashMap::new(),
                last_swept: Instant::now(),
            })),
            version,
            connect_timeout,
            idle_timeout,
            max_idle_per_target,
        }
    }

    /// Sets the listener for changes of the idle connections.
    pub fn set_listener(&self, listener: IdleListener) {
        self.idle_connections().listener = Some(listener);
    }

    /// Returns a pooled connection that is still open, and how long it is reused; `None` if there is
    /// none that the request may be sent on.
    pub async fn take(&self, address: SocketAddr, reuse: Reuse) -> Option<(Sender, Lifetime)> {
        while let Some((mut sender, lifetime)) = self.pop(address, reuse) {
            let ready = timeout(self.connect_timeout, sender.ready()).await;
            if ready != Ok(true) {
                continue;
            }
            if let Sender::Http2(shared) = &sender {
                self.put(address, Sender::Http2(shared.clone()), None);
            }
            return Some((sender, lifetime));
        }
        None
    }

    /// Opens a connection.
    pub async fn connect(&self, address: SocketAddr) -> Result<Sender, Error> {
        let opened = timeout(self.connect_timeout, self.open(address)).await;
        let opened = opened.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        opened.context(ConnectSnafu { address })
    }

    /// Adds an idle connection for `keep_alive`, as stated by its target, or else for the pool's idle
    /// timeout. An HTTP/2 connection is shared, so the pool holds at most one to each target.
    pub fn put(&self, address: SocketAddr, sender: Sender, keep_alive: Option<Duration>) {
        let idle_time = keep_alive.unwrap_or(self.idle_timeout);
        let lifetime = Lifetime {
            expires_at: Instant::now() + idle_time,
            stated: keep_alive.is_some(),
        };
        self.put_back(address, sender, lifetime);
    }

    /// Adds an idle connection that was taken and not used.
    pub fn put_back(&self, address: SocketAddr, sender: Sender, lifetime: Lifetime) {
        let limit = match sender {
            Sender::Http1 { .. } => self.max_idle_per_target,
            Sender::Http2(_) => 1,
        };
        let mut connections = self.idle_connections();
        connections.remove_expired(self.idle_timeout);
        let idle = connections.targets.entry(address).or_default();
        let connection = IdleConnection { sender, lifetime };
        if idle.len() < limit && connection.is_usable(Instant::now()) {
            idle.push(connection);
            connections.notify(address);
        }
    }

    /// Removes and returns the most recently used connection that a request may be sent on.
    fn pop(&self, address: SocketAddr, reuse: Reuse) -> Option<(Sender, Lifetime)> {
        let mut connections = self.idle_connections();
        connections.remove_unusable(address);
        let idle = connections.targets.get_mut(&address)?;
        let index = idle.iter().rposition(|connection| match reuse {
            Reuse::Yes => true,
            Reuse::IfStated => connection.lifetime.stated,
            Reuse::No => false,
        })?;
        let taken = idle.remove(index);
        connections.notify(address);
        Some((taken.sender, taken.lifetime))
    }

    /// Locks the idle connections.
    fn idle_connections(&self) -> MutexGuard<'_, IdleConnections> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Spawns the task that drives a connection, and drops the connection from the pool at its end.
    fn drive(
        &self,
        address: SocketAddr,
        driver: impl Future<Output = hyper::Result<()>> + Send + 'static,
    ) -> AbortHandle {
        let idle = Arc::downgrade(&self.idle);
        let driving = tokio::spawn(async move {
            // An error of the connection is reported to the request that it carries.
            let _ = driver.await;
            remove_closed(&idle, address);
        });
        driving.abort_handle()
    }

    /// Opens a connection and spawns the task that drives it.
    async fn open(&self, address: SocketAddr) -> io::Result<Sender> {
        let socket = TcpStream::connect(address).await?;
        socket.set_nodelay(true)?;
        match self.version {
            Version::Http1 => {
                let meter = Meter::default();
                let io = TokioIo::new(MeteredStream::new(socket, meter.clone()));
                let mut builder = http1::Builder::new();
                let handshake = builder.max_buf_size(MAX_BUFFER_BYTES).handshake(io).await;
                let (sender, driver) = handshake.map_err(io::Error::other)?;
                let driver = Driver(self.drive(address, driver));
                Ok(Sender::Http1 {
                    sender,
                    meter,
                    driver,
                })
            }
            Version::Http2 => {
                let io = TokioIo::new(socket);
                let handshake = http2::handshake(TokioExecutor::new(), io).await;
                let (sender, driver) = handshake.map_err(io::Error::other)?;
                self.drive(address, driver);
                self.put(address, Sender::Http2(sender.clone()), None);
                Ok(Sender::Http2(sender))
            }
        }
    }
}

/// Removes the connections to an address that have closed, so that no request is sent to a target
/// for the sake of one.
fn remove_closed(idle: &Weak<Mutex<IdleConnections>>, address: SocketAddr) {
    if let Some(idle) = idle.upgrade() {
        let mut connections = idle.lock().unwrap_or_else(PoisonError::into_inner);
        connections.remove_unusable(address);
    }
}
