//! A pool of open connections to targets.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
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

/// An idle connection.
struct IdleConnection {
    sender: Sender,
    /// Time after which it is no longer reused.
    expires_at: Instant,
}

/// The idle connections to all targets.
struct IdleConnections {
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
        self.targets.retain(|_, idle| {
            idle.retain(|connection| now < connection.expires_at);
            !idle.is_empty()
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
                targets: HashMap::new(),
                last_swept: Instant::now(),
            })),
            version,
            connect_timeout,
            idle_timeout,
            max_idle_per_target,
        }
    }

    /// Returns a pooled connection that is still open, or `None`.
    pub async fn take(&self, address: SocketAddr) -> Option<Sender> {
        while let Some(mut sender) = self.pop(address) {
            let ready = timeout(self.connect_timeout, sender.ready()).await;
            if ready != Ok(true) {
                continue;
            }
            if let Sender::Http2(shared) = &sender {
                self.put(address, Sender::Http2(shared.clone()), None);
            }
            return Some(sender);
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
        let limit = match sender {
            Sender::Http1 { .. } => self.max_idle_per_target,
            Sender::Http2(_) => 1,
        };
        let mut connections = self.idle_connections();
        connections.remove_expired(self.idle_timeout);
        let idle = connections.targets.entry(address).or_default();
        if idle.len() < limit {
            let expires_at = Instant::now() + keep_alive.unwrap_or(self.idle_timeout);
            idle.push(IdleConnection { sender, expires_at });
        }
    }

    /// Removes and returns the most recently used connection, unless it has expired.
    fn pop(&self, address: SocketAddr) -> Option<Sender> {
        let mut connections = self.idle_connections();
        let last = connections.targets.get_mut(&address)?.pop()?;
        (Instant::now() < last.expires_at).then_some(last.sender)
    }

    /// Locks the idle connections.
    fn idle_connections(&self) -> MutexGuard<'_, IdleConnections> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
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
                let driver = Driver(tokio::spawn(driver).abort_handle());
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
                tokio::spawn(driver);
                self.put(address, Sender::Http2(sender.clone()), None);
                Ok(Sender::Http2(sender))
            }
        }
    }
}
