//! The HTTP implementation of [`Client`], as `docs/INTERFACES.md` specifies it.

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

use crate::client::{
    Chunks, Client, Connection, ConnectionObserver, Gate, GenerateRequest, GenerateResponse,
    IdleListener, KvCache, RequestId, ServiceRequest, ServiceResponse,
};
use crate::error::Error;
use crate::message::{
    REQUEST_ID, REQUESTS, broken_error, cache_request, check_id, generate_request, is_delimited,
    keep_alive_timeout, order_outcome, order_request, plain_request, require_success, set_deadline,
    status_error, unsent_error,
};
use crate::pool::{Pool, Sender};
use crate::response_body::{self, ResponseBody};

pub use crate::pool::{OutgoingRequest, Reuse, Version};

/// Builds an [`Http`].
#[derive(Debug, Clone)]
pub struct Builder {
    version: Version,
    /// Timeout for opening a connection.
    connect_timeout: Duration,
    /// Lifetime of an idle connection if its target states none.
    idle_timeout: Duration,
    /// Upper bound on the idle connections to one target.
    max_idle_per_target: usize,
    /// Longest time without data in a response body.
    read_timeout: Duration,
    /// Upper bound on bodies that are buffered completely, in bytes.
    max_body_bytes: usize,
    /// Whether a body that is buffered completely may end with its connection.
    undelimited_bodies: bool,
    /// The header in which responses repeat the request id.
    id_header: HeaderName,
}

impl Default for Builder {
    fn default() -> Self {
        Self {
            version: Version::Http1,
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(20),
            max_idle_per_target: 64,
            read_timeout: Duration::from_mins(1),
            max_body_bytes: 16 << 20,
            undelimited_bodies: false,
            id_header: REQUEST_ID,
        }
    }
}

impl Builder {
    /// Sets the HTTP version; HTTP/1.1 by default.
    #[must_use]
    pub fn version(mut self, version: Version) -> Self {
        self.version = version;
        self
    }

    /// Sets the timeout for opening a connection.
    #[must_use]
    pub fn connect_timeout(mut self, connect_timeout: Duration) -> Self {
        self.connect_timeout = connect_timeout;
        self
    }

    /// Sets how long a connection may stay idle; should be shorter than targets keep theirs open.
    #[must_use]
    pub fn idle_timeout(mut self, idle_timeout: Duration) -> Self {
        self.idle_timeout = idle_timeout;
        self
    }

    /// Sets the upper bound on the idle connections to one target.
    #[must_use]
    pub fn max_idle_per_target(mut self, max_idle_per_target: usize) -> Self {
        self.max_idle_per_target = max_idle_per_target;
        self
    }

    /// Sets the longest time without data in a response body.
    #[must_use]
    pub fn read_timeout(mut self, read_timeout: Duration) -> Self {
        self.read_timeout = read_timeout;
        self
    }

    /// Sets the upper bound on bodies that are buffered completely, in bytes.
    #[must_use]
    pub fn max_body_bytes(mut self, max_body_bytes: usize) -> Self {
        self.max_body_bytes = max_body_bytes;
        self
    }

    /// Sets whether a body that is buffered completely may have neither a length nor chunks and end
    /// with its connection; `false` by default, since a target that ends in between closes its
    /// connections too.
    #[must_use]
    pub fn undelimited_bodies(mut self, undelimited_bodies: bool) -> Self {
        self.undelimited_bodies = undelimited_bodies;
        self
    }

    /// Sets the header in which responses repeat the request id.
    #[must_use]
    pub fn request_id_header(mut self, request_id_header: HeaderName) -> Self {
        self.id_header = request_id_header;
        self
    }

    /// Builds the client.
    #[must_use]
    pub fn build(self) -> Http {
        Http {
            pool: Pool::new(
                self.version,
                self.connect_timeout,
                self.idle_timeout,
                self.max_idle_per_target,
            ),
            read_timeout: self.read_timeout,
            max_body_bytes: self.max_body_bytes,
            undelimited_bodies: self.undelimited_bodies,
            id_header: self.id_header,
        }
    }
}

/// An HTTP client for targets.
///
/// ```
/// use std::time::Duration;
///
/// use cornelhitch_target::http::Http;
///
/// let http = Http::builder().connect_timeout(Duration::from_millis(300)).build();
/// # let _ = http;
/// ```
#[derive(Clone)]
pub struct Http {
    pool: Pool,
    /// Longest time without data in a response body.
    read_timeout: Duration,
    /// Upper bound on bodies that are buffered completely, in bytes.
    max_body_bytes: usize,
    /// Whether a body that is buffered completely may end with its connection.
    undelimited_bodies: bool,
    /// The header in which responses repeat the request id.
    id_header: HeaderName,
}

impl Default for Http {
    fn default() -> Self {
        Builder::default().build()
    }
}

/// The head of a response, and the connection that its body is read from.
struct ReceivedResponse {
    response: Response<hyper::body::Incoming>,
    sender: Sender,
}

impl Http {
    /// Returns a builder with default settings.
    #[must_use]
    pub fn builder() -> Builder {
        Builder::default()
    }

    /// Sends a request if its gate permits it, and checks the request id of the response.
    async fn send(
        &self,
        address: SocketAddr,
        request: OutgoingRequest,
        reuse: Reuse,
        gate: Box<dyn Gate>,
    ) -> Result<ReceivedResponse, Error> {
        let expected = request.headers().get(&self.id_header).cloned();
        let observer = gate.observer();
        let observer = observer.as_ref();
        let (sender, lifetime) = match self.pool.take(address, reuse).await {
            Some((sender, lifetime)) => (sender, Some(lifetime)),
            None => (self.connect(address, observer).await?, None),
        };
        if !gate.pass().await {
            match lifetime {
                Some(lifetime) => self.pool.put_back(address, sender, lifetime),
                None => self.pool.put(address, sender, None),
            }
            return Err(Error::Cancelled);
        }
        let reused = lifetime.is_some();
        if reused && let Some(observer) = observer {
            observer(Connection::Reused);
        }
        let received = self
            .send_on(address, request, sender, reused, observer)
            .await?;
        check_id(
            &self.id_header,
            expected.as_ref(),
            received.response.headers(),
        )?;
        Ok(received)
    }

    /// Sets the listener for changes of the idle connections; replaces an earlier one.
    pub fn set_idle_listener(&self, listener: IdleListener) {
        self.pool.set_listener(listener);
    }

    /// Opens a connection for a request.
    async fn connect(
        &self,
        address: SocketAddr,
        observer: Option<&ConnectionObserver>,
    ) -> Result<Sender, Error> {
        let sender = self.pool.connect(address).await?;
        if let Some(observer) = observer {
            observer(Connection::New);
        }
        Ok(sender)
    }

    /// Sends a request on a connection.
    ///
    /// If a pooled connection closes before any byte of the request was sent, the request is sent on
    /// a new one. On a new connection nothing is retried, since the gate's decision is valid only
    /// at the time it was made.
    async fn send_on(
        &self,
        address: SocketAddr,
        request: OutgoingRequest,
        mut sender: Sender,
        reused: bool,
        observer: Option<&ConnectionObserver>,
    ) -> Result<ReceivedResponse, Error> {
        let mut error = match sender.send(request).await {
            Ok(response) => return Ok(ReceivedResponse { response, sender }),
            Err(error) => error,
        };
        let unsent = error.take_message();
        match unsent {
            None => Err(broken_error(address, error.into_error())),
            Some(_) if !reused => Err(unsent_error(address, error.into_error())),
            Some(request) => {
                let sender = self.connect(address, observer).await?;
                Box::pin(self.send_on(address, request, sender, false, observer)).await
            }
        }
    }

    /// Splits a response into its head and body.
    fn split(
        &self,
        address: SocketAddr,
        received: ReceivedResponse,
    ) -> (http::response::Parts, ResponseBody) {
        let (head, body) = received.response.into_parts();
        let delimited = body.is_end_stream() || is_delimited(&head);
        let source = ResponseBody {
            address,
            body,
            delimited,
            undelimited_bodies: self.undelimited_bodies,
            keep_alive: keep_alive_timeout(&head.headers),
            sender: received.sender,
            pool: self.pool.clone(),
            read_timeout: self.read_timeout,
        };
        (head, source)
    }

    /// Sends a request and returns the head of the response and a stream of its body.
    ///
    /// # Errors
    /// [`Error::run`] of the error states whether the request may have run.
    pub async fn forward(
        &self,
        address: SocketAddr,
        request: OutgoingRequest,
        reuse: Reuse,
        gate: Box<dyn Gate>,
    ) -> Result<(http::response::Parts, Chunks), Error> {
        let received = self.send(address, request, reuse, gate).await?;
        let (head, source) = self.split(address, received);
        Ok((head, response_body::chunks(source)))
    }

    /// Sends a request and returns the complete response.
    ///
    /// # Errors
    /// [`Error::run`] of the error states whether the request may have run.
    pub async fn request(
        &self,
        address: SocketAddr,
        request: OutgoingRequest,
        reuse: Reuse,
        gate: Box<dyn Gate>,
    ) -> Result<ServiceResponse, Error> {
        let received = self.send(address, request, reuse, gate).await?;
        let (head, source) = self.split(address, received);
        let body = source.read_to_end(self.max_body_bytes).await?;
        Ok(ServiceResponse {
            status: head.status,
            headers: head.headers,
            body,
        })
    }
}

#[async_trait]
impl Client for Http {
    fn set_idle_listener(&self, listener: IdleListener) {
        self.pool.set_listener(listener);
    }

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
        let asked = self.request(address, request, Reuse::No, gate);
        match timeout(limit, asked).await {
            Ok(Ok(reply)) => order_outcome(&reply),
            Ok(Err(error)) if error.run() == Run::NotRun => Outcome::Unsent,
            Ok(Err(_)) | Err(_) => Outcome::Unknown,
        }
    }

    async fn generate(
        &self,
        address: SocketAddr,
        generate: GenerateRequest,
        gate: Box<dyn Gate>,
    ) -> Result<GenerateResponse, Error> {
        let id = generate.request.clone();
        let from = generate.resume_from.unwrap_or(0);
        let stream = generate.stream;
        let request = generate_request(address, generate)?;
        let received = self.send(address, request, Reuse::Yes, gate).await?;
        let (head, source) = self.split(address, received);
        if !head.status.is_success() {
            let body = source.read_to_end(self.max_body_bytes).await?;
            return Err(status_error(head.status, &head.headers, &body));
        }
        let parts = if stream {
            response_body::events(source, id, from)
        } else {
            response_body::single_part(source, self.max_body_bytes)
        };
        Ok(GenerateResponse {
            status: head.status,
            headers: head.headers,
            parts,
        })
    }

    async fn cancel(&self, address: SocketAddr, request: &RequestId) -> Result<(), Error> {
        let path = format!("{REQUESTS}{request}");
        let outgoing = plain_request(address, Method::DELETE, &path, request, Bytes::new())?;
        let reply = self
            .request(address, outgoing, Reuse::Yes, Box::new(|| true))
            .await?;
        if reply.status == StatusCode::NOT_FOUND {
            return Ok(());
        }
        require_success(reply).map(drop)
    }

    async fn call(
        &self,
        address: SocketAddr,
        call: ServiceRequest,
        gate: Box<dyn Gate>,
    ) -> Result<ServiceResponse, Error> {
        let mut request =
            plain_request(address, call.method, &call.path, &call.request, call.body)?;
        let own = request.headers().clone();
        request.headers_mut().extend(call.headers);
        request.headers_mut().extend(own);
        set_deadline(request.headers_mut(), call.deadline);
        self.request(address, request, call.reuse, gate).await
    }

    async fn export(&self, address: SocketAddr, cache: &KvCache) -> Result<Bytes, Error> {
        let request = cache_request(address, Method::GET, cache, Bytes::new())?;
        let reply = self
            .request(address, request, Reuse::Yes, Box::new(|| true))
            .await?;
        require_success(reply).map(|reply| reply.body)
    }

    async fn import(&self, address: SocketAddr, cache: &KvCache, kv: Bytes) -> Result<(), Error> {
        let request = cache_request(address, Method::PUT, cache, kv)?;
        let reply = self
            .request(address, request, Reuse::Yes, Box::new(|| true))
            .await?;
        require_success(reply).map(drop)
    }
}
