//! Connections to targets, kept open between requests.

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
use tokio::time::timeout;

use crate::error::{ConnectSnafu, Error};

/// A request that is ready to be written.
pub type Outgoing = Request<Full<Bytes>>;

/// Which version of HTTP is spoken; HTTP/2 without negotiation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Version {
    /// HTTP/1.1 with connections that are kept open.
    One,
    /// HTTP/2 in clear text by prior knowledge.
    Two,
}

/// The sending half of a connection.
#[derive(Debug)]
pub enum Sender {
    /// It carries one request at a time.
    One(http1::SendRequest<Full<Bytes>>),
    /// It carries many.
    Two(http2::SendRequest<Full<Bytes>>),
}

impl Sender {
    /// Hands a request over; the error holds it again where nothing of it left.
    pub async fn send(
        &mut self,
        mut request: Outgoing,
    ) -> Result<Response<Incoming>, TrySendError<Outgoing>> {
        match self {
            Self::One(sender) => {
                *request.uri_mut() = origin_form(request.uri());
                sender.try_send_request(request).await
            }
            Self::Two(sender) => sender.try_send_request(request).await,
        }
    }

    /// Whether it can take a request.
    async fn ready(&mut self) -> bool {
        match self {
            Self::One(sender) => sender.ready().await.is_ok(),
            Self::Two(sender) => sender.ready().await.is_ok(),
        }
    }
}

/// The path and query alone, as HTTP/1.1 writes them to an origin server (RFC 9112, section 3.2.1).
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map(Uri::from).unwrap_or_default()
}

/// A connection that waits for its next request.
struct Idle {
    /// The connection.
    sender: Sender,
    /// Until when it is used.
    until: Instant,
}

/// Connections that wait.
struct Waiting {
    /// Those of each target, the one used last at the end.
    targets: HashMap<SocketAddr, Vec<Idle>>,
    /// When those that waited too long were last dropped.
    swept: Instant,
}

impl Waiting {
    /// Drops what waited too long, for all targets, once in that time.
    fn sweep(&mut self, pause: Duration) {
        if self.swept.elapsed() < pause {
            return;
        }
        let now = Instant::now();
        self.swept = now;
        self.targets.retain(|_, waiting| {
            waiting.retain(|connection| now < connection.until);
            !waiting.is_empty()
        });
    }
}

/// The connections to all targets.
#[derive(Clone)]
pub struct Pool {
    /// Those that wait.
    waiting: Arc<Mutex<Waiting>>,
    /// What is spoken on them.
    version: Version,
    /// How long a connection may take to stand.
    connect: Duration,
    /// How long one may wait for its next request, where its target does not say.
    idle: Duration,
    /// How many wait for one target at most.
    most: usize,
}

impl Pool {
    /// An empty pool.
    pub fn new(version: Version, connect: Duration, idle: Duration, most: usize) -> Self {
        Self {
            waiting: Arc::new(Mutex::new(Waiting {
                targets: HashMap::new(),
                swept: Instant::now(),
            })),
            version,
            connect,
            idle,
            most,
        }
    }

    /// A connection that stood idle and still stands, if there is one.
    pub async fn take(&self, address: SocketAddr) -> Option<Sender> {
        while let Some(mut sender) = self.pop(address) {
            let ready = timeout(self.connect, sender.ready()).await;
            if ready != Ok(true) {
                continue;
            }
            if let Sender::Two(shared) = &sender {
                self.put(address, Sender::Two(shared.clone()), None);
            }
            return Some(sender);
        }
        None
    }

    /// A new connection.
    pub async fn connect(&self, address: SocketAddr) -> Result<Sender, Error> {
        let opened = timeout(self.connect, self.open(address)).await;
        let opened = opened.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        opened.context(ConnectSnafu { address })
    }

    /// Keeps a connection for the next request, for as long as its target said or else for the pool's
    /// time; of one that is shared, once is enough.
    pub fn put(&self, address: SocketAddr, sender: Sender, kept: Option<Duration>) {
        let most = match sender {
            Sender::One(_) => self.most,
            Sender::Two(_) => 1,
        };
        let mut waiting = self.waiting();
        waiting.sweep(self.idle);
        let idle = waiting.targets.entry(address).or_default();
        if idle.len() < most {
            let until = Instant::now() + kept.unwrap_or(self.idle);
            idle.push(Idle { sender, until });
        }
    }

    /// Takes the connection that waited the shortest, unless that was too long.
    fn pop(&self, address: SocketAddr) -> Option<Sender> {
        let mut waiting = self.waiting();
        let last = waiting.targets.get_mut(&address)?.pop()?;
        (Instant::now() < last.until).then_some(last.sender)
    }

    /// The connections that wait.
    fn waiting(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens a connection and starts the task that drives it.
    async fn open(&self, address: SocketAddr) -> io::Result<Sender> {
        let socket = TcpStream::connect(address).await?;
        socket.set_nodelay(true)?;
        let io = TokioIo::new(socket);
        match self.version {
            Version::One => {
                let (sender, driver) = http1::handshake(io).await.map_err(io::Error::other)?;
                tokio::spawn(driver);
                Ok(Sender::One(sender))
            }
            Version::Two => {
                let handshake = http2::handshake(TokioExecutor::new(), io).await;
                let (sender, driver) = handshake.map_err(io::Error::other)?;
                tokio::spawn(driver);
                self.put(address, Sender::Two(sender.clone()), None);
                Ok(Sender::Two(sender))
            }
        }
    }
}
