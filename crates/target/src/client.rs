//! The outbound interface to targets, independent of the protocol that a target speaks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use bytes::Bytes;
use cornelhitch_types::id::{Name, ReplicaId, TargetId};
use cornelhitch_types::model::Reference;
use cornelhitch_types::order::{Order, Outcome};
use cornelhitch_types::target::{Inspection, LoadReport, Statement};
use futures_util::stream::BoxStream;
use http::{HeaderMap, Method, StatusCode};
use strum::{Display, EnumIter, EnumString};

use crate::error::Error;
use crate::pool::Reuse;

/// The id of a request, which every response to it repeats.
pub type RequestId = Name;

/// The parts of an answer in order; the last item is [`Part::Done`] or an error.
pub type Parts = BoxStream<'static, Result<Part, Error>>;

/// Decides whether a request may be sent: called once for each request, when a connection is open
/// and the next step is to write the first byte.
///
/// A request counts as sent once its gate has permitted it. A closure suffices if the decision is
/// synchronous; a custom implementation can wait for another task.
#[async_trait]
pub trait Gate: Send {
    /// Returns whether the request may be sent.
    async fn pass(self: Box<Self>) -> bool;

    /// Returns what is told of the connection that the request is sent on; `None` if nobody asks.
    fn observer(&self) -> Option<ConnectionObserver> {
        None
    }
}

/// Is told of each connection that is opened for a request or reused by it.
pub type ConnectionObserver = Box<dyn Fn(Connection) + Send + Sync>;

/// Where the connection for a request comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connection {
    /// It was opened for the request.
    New,
    /// It was idle in the pool.
    Reused,
}

/// The idle connections to one target address, after a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IdleConnections {
    /// The target's address.
    pub address: SocketAddr,
    /// Number of idle connections.
    pub count: u32,
    /// Number of those whose target has stated how long it keeps them.
    pub stated: u32,
    /// When the last of them is no longer reused; `None` without any.
    pub until: Option<Instant>,
}

/// Is told of the idle connections to a target address at each change, in order.
pub type IdleListener = Arc<dyn Fn(IdleConnections) + Send + Sync>;

#[async_trait]
impl<F: FnOnce() -> bool + Send> Gate for F {
    async fn pass(self: Box<Self>) -> bool {
        self()
    }
}

/// The endpoint of the `OpenAI` API that a generation request uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, EnumIter)]
pub enum ApiFormat {
    /// Chat completion: the body holds the messages of a conversation.
    #[strum(serialize = "/v1/chat/completions")]
    Chat,
    /// Text completion: the body holds a prompt.
    #[strum(serialize = "/v1/completions")]
    Text,
}

/// A generation request to a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GenerateRequest {
    /// The id of the request.
    pub request: RequestId,
    /// The replica that is to answer.
    pub replica: ReplicaId,
    /// The model, version and adapter.
    pub model: Reference,
    /// The endpoint, which determines the format of the body.
    pub form: ApiFormat,
    /// The caller's JSON, unchanged.
    pub body: Bytes,
    /// Whether the answer is streamed as server-sent events.
    pub stream: bool,
    /// The weight relative to other requests in the target; larger ones go first.
    pub priority: u32,
    /// The number of tokens that the caller already has, if an answer is resumed.
    pub resume_from: Option<u64>,
    /// Time left until the caller's deadline.
    pub deadline: Option<Duration>,
}

/// A request to a service that runs no models.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRequest {
    /// The id of the request.
    pub request: RequestId,
    /// The HTTP method.
    pub method: Method,
    /// Path and query as the service expects them.
    pub path: String,
    /// The caller's headers that are forwarded.
    pub headers: HeaderMap,
    /// The request body.
    pub body: Bytes,
    /// Which pooled connections it may be sent on.
    pub reuse: Reuse,
    /// Time left until the caller's deadline.
    pub deadline: Option<Duration>,
}

/// The head of a model's answer, and a stream of its parts.
pub struct GenerateResponse {
    /// The status, always a success.
    pub status: StatusCode,
    /// The response headers.
    pub headers: HeaderMap,
    /// The parts of the body.
    pub parts: Parts,
}

/// A part of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Part {
    /// A server-sent event, to be forwarded unchanged.
    Event {
        /// Tokens of the answer before the event.
        start: u64,
        /// Tokens of the answer up to and including the event.
        end: u64,
        /// The event, including the empty line that ends it.
        bytes: Bytes,
    },
    /// The terminator of a stream, or the complete body of an answer that is not streamed.
    Done {
        /// The bytes to forward.
        bytes: Bytes,
    },
}

/// The complete response of a service, with any status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceResponse {
    /// The response status.
    pub status: StatusCode,
    /// The response headers.
    pub headers: HeaderMap,
    /// The response body.
    pub body: Bytes,
}

/// A response body as it is received; ends with an error if it is incomplete.
pub type Chunks = BoxStream<'static, Result<Bytes, Error>>;

/// A request that is forwarded unchanged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardedRequest {
    /// The id of the request, as the caller sent it.
    pub request: RequestId,
    /// The target that is to run it; another target at a reused address refuses it.
    pub target: TargetId,
    /// The HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// The caller's headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// The request body.
    pub body: Bytes,
    /// Which pooled connections it may be sent on.
    pub reuse: Reuse,
    /// Time left until the caller's deadline.
    pub deadline: Option<Duration>,
    /// The rank in the target's queue; 0 goes first.
    pub rank: u8,
    /// The id of the last event that the caller has, if a stream is resumed.
    pub resume: Option<u64>,
    /// The name of the team that sends the request; `None` if it has none.
    pub team: Option<Name>,
}

/// The reason why a target did not run a forwarded request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum DeclineReason {
    /// It has no capacity, or accepts no requests now.
    Busy,
    /// It is not the intended target, or does not hold the requested model.
    Absent,
}

/// The response to a forwarded request.
pub struct ForwardedResponse {
    /// The response status.
    pub status: StatusCode,
    /// The response headers.
    pub headers: HeaderMap,
    /// The reason why the target did not run the request, if it states that it did not.
    pub declined: Option<DeclineReason>,
    /// The load that the target reported with the response.
    pub load: Option<LoadReport>,
    /// What the target states of itself.
    pub statement: Statement,
    /// The response body.
    pub body: Chunks,
}

/// The KV cache of a prompt prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvCache {
    /// The id of the transfer.
    pub request: RequestId,
    /// The replica that the cache is fetched from or handed to.
    pub replica: ReplicaId,
    /// The model and version.
    pub model: Reference,
    /// Digest of the prefix's blocks.
    pub prefix: u64,
}

/// Sends requests and orders to targets. A call that the protocol lacks returns
/// [`Error::Unsupported`] and sends nothing.
#[async_trait]
pub trait Client: Send + Sync + 'static {
    /// Sets the listener for changes of the idle connections; replaces an earlier one. A client that
    /// keeps no connections never calls it.
    fn set_idle_listener(&self, _listener: IdleListener) {}

    /// Sends an order to a worker; `timeout` bounds the complete exchange.
    ///
    /// The outcome is [`Outcome::Unsent`] only if no byte of the order was sent.
    async fn order(
        &self,
        address: SocketAddr,
        order: &Order,
        timeout: Duration,
        gate: Box<dyn Gate>,
    ) -> Outcome;

    /// Queries a worker of a service for its number of accepted orders and its copies of models.
    ///
    /// # Errors
    /// The worker did not return a valid response.
    async fn inspect(
        &self,
        _address: SocketAddr,
        _target: &TargetId,
        _service: &str,
    ) -> Result<Inspection, Error> {
        Err(Error::Unsupported { what: "inspect" })
    }

    /// Sends a generation request to a model.
    ///
    /// Dropping the answer's parts, or this future, closes the connection, which stops the request
    /// in the worker; [`Client::cancel`] stops it explicitly.
    ///
    /// # Errors
    /// [`Error::run`] of the error states whether the request may have run.
    async fn generate(
        &self,
        _address: SocketAddr,
        _generate: GenerateRequest,
        _gate: Box<dyn Gate>,
    ) -> Result<GenerateResponse, Error> {
        Err(Error::Unsupported { what: "generate" })
    }

    /// Forwards a request unchanged and streams the response.
    ///
    /// Dropping the response body, or this future, closes the connection, which stops the request
    /// in the target.
    ///
    /// # Errors
    /// [`Error::run`] of the error states whether the request may have run.
    async fn relay(
        &self,
        _address: SocketAddr,
        _relay: ForwardedRequest,
        _gate: Box<dyn Gate>,
    ) -> Result<ForwardedResponse, Error> {
        Err(Error::Unsupported { what: "relay" })
    }

    /// Stops a request in a worker; succeeds if the worker does not know the request.
    ///
    /// # Errors
    /// The worker did not confirm.
    async fn cancel(&self, _address: SocketAddr, _request: &RequestId) -> Result<(), Error> {
        Ok(())
    }

    /// Sends a request to a service and returns the response once it is complete.
    ///
    /// # Errors
    /// [`Error::run`] of the error states whether the request may have run.
    async fn call(
        &self,
        _address: SocketAddr,
        _call: ServiceRequest,
        _gate: Box<dyn Gate>,
    ) -> Result<ServiceResponse, Error> {
        Err(Error::Unsupported { what: "call" })
    }

    /// Fetches a KV cache from a worker.
    ///
    /// # Errors
    /// The worker did not return the cache, for example since it does not hold it.
    async fn export(&self, _address: SocketAddr, _cache: &KvCache) -> Result<Bytes, Error> {
        Err(Error::Unsupported { what: "export" })
    }

    /// Sends a KV cache to a worker.
    ///
    /// # Errors
    /// The worker did not accept the cache, for example for lack of room.
    async fn import(
        &self,
        _address: SocketAddr,
        _cache: &KvCache,
        _kv: Bytes,
    ) -> Result<(), Error> {
        Err(Error::Unsupported { what: "import" })
    }
}
