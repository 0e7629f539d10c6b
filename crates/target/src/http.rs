//! The HTTP form of [`Client`], as `docs/INTERFACES.md` describes it.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cornelhitch_types::order::{Order, Outcome};
use cornelhitch_types::refusal::Run;
use http::header::HeaderName;
use http::{Method, StatusCode};
use hyper::Response;
use hyper::body::Body;
use tokio::time::timeout;

use crate::client::{Answer, Cache, Call, Chunks, Client, Gate, Generate, Reply, RequestId};
use crate::error::Error;
use crate::message::{
    REQUEST_ID, REQUESTS, broken, cache_request, check_id, generate_request, is_marked, kept,
    order_request, outcome, plain_request, set_deadline, status, success, unsent,
};
use crate::parts::{self, Source};
use crate::pool::{Pool, Sender};

pub use crate::pool::{Outgoing, Version};

/// Builds an [`Http`].
#[derive(Debug, Clone)]
pub struct Builder {
    /// Which HTTP.
    version: Version,
    /// How long a connection may take to stand.
    connect: Duration,
    /// How long a connection may wait for its next request.
    idle: Duration,
    /// How many wait for one target.
    most: usize,
    /// How long an answer that has begun may bring no byte.
    silence: Duration,
    /// The largest body that is read whole, in bytes.
    limit: usize,
    /// The header in which answers repeat the request's id.
    id: HeaderName,
}

impl Default for Builder {
    fn default() -> Self {
        Self {
            version: Version::One,
            connect: Duration::from_secs(1),
            idle: Duration::from_secs(20),
            most: 64,
            silence: Duration::from_mins(1),
            limit: 16 << 20,
            id: REQUEST_ID,
        }
    }
}

impl Builder {
    /// Which version of HTTP is spoken.
    #[must_use]
    pub fn version(mut self, version: Version) -> Self {
        self.version = version;
        self
    }

    /// How long a connection may take to stand.
    #[must_use]
    pub fn connect(mut self, connect: Duration) -> Self {
        self.connect = connect;
        self
    }

    /// How long a connection may wait for its next request; shorter than targets keep it.
    #[must_use]
    pub fn idle(mut self, idle: Duration) -> Self {
        self.idle = idle;
        self
    }

    /// How many connections to one target wait at most.
    #[must_use]
    pub fn most(mut self, most: usize) -> Self {
        self.most = most;
        self
    }

    /// How long an answer that has begun may bring no byte.
    #[must_use]
    pub fn silence(mut self, silence: Duration) -> Self {
        self.silence = silence;
        self
    }

    /// The largest body that is read whole, in bytes.
    #[must_use]
    pub fn limit(mut self, limit: usize) -> Self {
        self.limit = limit;
        self
    }

    /// The header in which answers repeat the request's id.
    #[must_use]
    pub fn id(mut self, id: HeaderName) -> Self {
        self.id = id;
        self
    }

    /// The client.
    #[must_use]
    pub fn build(self) -> Http {
        Http {
            pool: Pool::new(self.version, self.connect, self.idle, self.most),
            silence: self.silence,
            limit: self.limit,
            id: self.id,
        }
    }
}

/// Asks targets over HTTP.
///
/// ```
/// use std::time::Duration;
///
/// use cornelhitch_target::http::Http;
///
/// let http = Http::builder().connect(Duration::from_millis(300)).build();
/// # let _ = http;
/// ```
#[derive(Clone)]
pub struct Http {
    /// Connections.
    pool: Pool,
    /// How long an answer that has begun may bring no byte.
    silence: Duration,
    /// The largest body that is read whole, in bytes.
    limit: usize,
    /// The header in which answers repeat the request's id.
    id: HeaderName,
}

impl Default for Http {
    fn default() -> Self {
        Builder::default().build()
    }
}

/// Which connection a request may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// One that stood idle, if there is one.
    Yes,
    /// A new one.
    No,
}

/// The head of an answer, and the connection it came over.
struct Arrived {
    /// The answer.
    response: Response<hyper::body::Incoming>,
    /// The connection.
    sender: Sender,
}

impl Http {
    /// A client with settings.
    #[must_use]
    pub fn builder() -> Builder {
        Builder::default()
    }

    /// Sends a request through its gate and checks whose answer comes back.
    async fn send(
        &self,
        address: SocketAddr,
        request: Outgoing,
        reuse: Reuse,
        gate: Box<dyn Gate>,
    ) -> Result<Arrived, Error> {
        let expected = request.headers().get(&self.id).cloned();
        let kept = match reuse {
            Reuse::Yes => self.pool.take(address).await,
            Reuse::No => None,
        };
        let stale = kept.is_some();
        let sender = match kept {
            Some(sender) => sender,
            None => self.pool.connect(address).await?,
        };
        if !gate.pass().await {
            self.pool.put(address, sender, None);
            return Err(Error::Withdrawn);
        }
        let arrived = self.hand_over(address, request, sender, stale).await?;
        check_id(&self.id, expected.as_ref(), arrived.response.headers())?;
        Ok(arrived)
    }

    /// Hands a request to a connection.
    ///
    /// Where one that stood idle closes before anything of the request left,
    /// the request goes to a new one. On a new one nothing is tried twice: the
    /// gate was asked for this moment, and not for a later one.
    async fn hand_over(
        &self,
        address: SocketAddr,
        request: Outgoing,
        mut sender: Sender,
        stale: bool,
    ) -> Result<Arrived, Error> {
        let mut error = match sender.send(request).await {
            Ok(response) => return Ok(Arrived { response, sender }),
            Err(error) => error,
        };
        let left = error.take_message();
        match left {
            None => Err(broken(address, error.into_error())),
            Some(_) if !stale => Err(unsent(address, error.into_error())),
            Some(request) => {
                let sender = self.pool.connect(address).await?;
                Box::pin(self.hand_over(address, request, sender, false)).await
            }
        }
    }

    /// The body of an answer.
    fn source(&self, address: SocketAddr, arrived: Arrived) -> (http::response::Parts, Source) {
        let (head, body) = arrived.response.into_parts();
        let marked = body.is_end_stream() || is_marked(&head);
        let source = Source {
            address,
            body,
            marked,
            kept: kept(&head.headers),
            sender: arrived.sender,
            pool: self.pool.clone(),
            silence: self.silence,
        };
        (head, source)
    }

    /// Sends a request and returns the head of the answer, and its body as it comes.
    ///
    /// # Errors
    /// [`Error::run`] of the error tells whether it may have run.
    pub async fn pass(
        &self,
        address: SocketAddr,
        request: Outgoing,
        reuse: Reuse,
        gate: Box<dyn Gate>,
    ) -> Result<(http::response::Parts, Chunks), Error> {
        let arrived = self.send(address, request, reuse, gate).await?;
        let (head, source) = self.source(address, arrived);
        Ok((head, parts::chunks(source)))
    }

    /// Sends a request and reads the whole answer to it.
    ///
    /// # Errors
    /// [`Error::run`] of the error tells whether it may have run.
    pub async fn ask(
        &self,
        address: SocketAddr,
        request: Outgoing,
        reuse: Reuse,
        gate: Box<dyn Gate>,
    ) -> Result<Reply, Error> {
        let arrived = self.send(address, request, reuse, gate).await?;
        let (head, source) = self.source(address, arrived);
        let body = source.whole(self.limit).await?;
        Ok(Reply {
            status: head.status,
            headers: head.headers,
            body,
        })
    }
}

#[async_trait]
impl Client for Http {
    async fn order(
        &self,
        address: SocketAddr,
        order: &Order,
        limit: Duration,
        gate: Box<dyn Gate>,
    ) -> Outcome {
        let Ok(request) = order_request(address, order) else {
            return Outcome::Unsent;
        };
        let asked = self.ask(address, request, Reuse::No, gate);
        match timeout(limit, asked).await {
            Ok(Ok(reply)) => outcome(&reply),
            Ok(Err(error)) if error.run() == Run::NotRun => Outcome::Unsent,
            Ok(Err(_)) | Err(_) => Outcome::Unknown,
        }
    }

    async fn generate(
        &self,
        address: SocketAddr,
        generate: Generate,
        gate: Box<dyn Gate>,
    ) -> Result<Answer, Error> {
        let id = generate.request.clone();
        let from = generate.resume_from.unwrap_or(0);
        let stream = generate.stream;
        let request = generate_request(address, generate)?;
        let arrived = self.send(address, request, Reuse::Yes, gate).await?;
        let (head, source) = self.source(address, arrived);
        if !head.status.is_success() {
            let body = source.whole(self.limit).await?;
            return Err(status(head.status, &head.headers, &body));
        }
        let parts = if stream {
            parts::events(source, id, from)
        } else {
            parts::plain(source, self.limit)
        };
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            parts,
        })
    }

    async fn cancel(&self, address: SocketAddr, request: &RequestId) -> Result<(), Error> {
        let path = format!("{REQUESTS}{request}");
        let outgoing = plain_request(address, Method::DELETE, &path, request, Bytes::new())?;
        let reply = self
            .ask(address, outgoing, Reuse::Yes, Box::new(|| true))
            .await?;
        if reply.status == StatusCode::NOT_FOUND {
            return Ok(());
        }
        success(reply).map(drop)
    }

    async fn call(
        &self,
        address: SocketAddr,
        call: Call,
        gate: Box<dyn Gate>,
    ) -> Result<Reply, Error> {
        let reuse = if call.repeatable {
            Reuse::Yes
        } else {
            Reuse::No
        };
        let mut request =
            plain_request(address, call.method, &call.path, &call.request, call.body)?;
        let own = request.headers().clone();
        request.headers_mut().extend(call.headers);
        request.headers_mut().extend(own);
        set_deadline(request.headers_mut(), call.deadline);
        self.ask(address, request, reuse, gate).await
    }

    async fn export(&self, address: SocketAddr, cache: &Cache) -> Result<Bytes, Error> {
        let request = cache_request(address, Method::GET, cache, Bytes::new())?;
        let reply = self
            .ask(address, request, Reuse::Yes, Box::new(|| true))
            .await?;
        success(reply).map(|reply| reply.body)
    }

    async fn import(&self, address: SocketAddr, cache: &Cache, kv: Bytes) -> Result<(), Error> {
        let request = cache_request(address, Method::PUT, cache, kv)?;
        let reply = self
            .ask(address, request, Reuse::Yes, Box::new(|| true))
            .await?;
        success(reply).map(drop)
    }
}
