//! The listener for requests that are sent to targets by a route table, independent of the callers'
//! protocol.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use cornelhitch_entry::entries::{CallerLocation, EntryHosts};
use cornelhitch_entry::event::{
    Identity, Request as Call, RequestedResource, Resumes, RouteLimits,
};
use cornelhitch_entry::fingerprint;
use cornelhitch_target::client::RequestId;
use cornelhitch_types::id::{Name, Version};
use cornelhitch_types::model::Reference;
use cornelhitch_types::refusal::{Reason, Refusal};
use cornelhitch_types::route::{self, RetryPolicy, Route, RouteIndex, RouteTable};
use cornelhitch_types::team::{ApiKeyDigest, TokenUsage};
use http::header::{EXPECT, HOST};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri};
use hyper::body::Incoming;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::authentication::authenticate;
use crate::body::{self, Body};
use crate::callers::{CallerGuard, caller_response};
use crate::entry::Input;
use crate::exchange::{NewRequest, PART_QUEUE_CAPACITY, Payload, Routed};
use crate::header;
use crate::log_limit::{LogLimiter, shorten};
use crate::metrics::{Count, Metrics};
use crate::problem::not_run;
use crate::request_memory::{RequestBodies, drain};
use crate::server::{HEAD_TIMEOUT, Service};
use crate::unread_answers::UnreadAnswers;

/// Period after its start in which a host holds requests until it has a route table, which takes
/// about a second if the voters were started too. Requests after that are refused at once.
pub const FIRST_TABLE_WAIT: Duration = Duration::from_millis(1_500);

/// The retry delay given to callers while this host has no route table.
const NO_ROUTES_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Number of a prompt's sections that strikes are counted by; later ones are left out.
const MAX_SECTIONS: usize = 32;

/// A section of a prompt that other prompts may have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptSection {
    /// The id of the section's content.
    pub id: u64,
    /// The length in tokens.
    pub tokens: u32,
}

/// The request metadata that an [`RoutedRequestProtocol`] reads from the headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestMetadata {
    /// The request id.
    pub id: RequestId,
    /// How long the caller waits, from the arrival of the request.
    pub deadline: Option<Duration>,
    /// The model's name within the service, if the request names one.
    pub model: Option<Name>,
    /// The adapter to apply to the model.
    pub adapter: Option<Name>,
    /// The token counts that the request states.
    pub usage: Option<TokenUsage>,
    /// The sections of the prompt, in order.
    pub prompt: Vec<PromptSection>,
    /// The id of the last event that the caller has, if it resumes a stream.
    pub resume: Option<u64>,
    /// The id of the attempt that brought the first event of that stream, if the caller names it.
    pub resumes: Option<RequestId>,
}

/// A request that this host answers itself, without a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LocalRequest {
    /// A readiness check: whether this host accepts requests.
    Ready,
    /// The entry hosts that a caller at the given location should connect to.
    Entries(CallerLocation),
}

/// A callers' protocol: how routed requests are read and answered.
pub trait RoutedRequestProtocol: Send + Sync + 'static {
    /// Reads the metadata of a request from its headers.
    ///
    /// # Errors
    /// Returns a refusal that names the wrong header.
    fn read_metadata(&self, headers: &HeaderMap) -> Result<RequestMetadata, Refusal>;

    /// Removes the API key, and whatever else could carry one, from the headers and returns the
    /// key's digest; `None` if there is no single key. Called only for tables with teams.
    fn take_api_key(&self, headers: &mut HeaderMap) -> Option<ApiKeyDigest>;

    /// Recognizes a request that this host answers itself; `None` if it needs a target.
    fn local_request(&self, method: &Method, uri: &Uri) -> Option<LocalRequest>;

    /// Returns the response for a refusal.
    fn refusal_response(&self, refusal: &Refusal) -> Response<Bytes>;

    /// Returns the response to [`LocalRequest::Ready`].
    fn ready_response(&self, ready: bool) -> Response<Bytes>;

    /// Returns the response to [`LocalRequest::Entries`].
    fn entries_response(&self, entries: &EntryHosts) -> Response<Bytes>;
}

/// The route table in force, indexed by host and path.
#[derive(Debug, Default)]
pub struct Routes {
    /// The table.
    pub table: Arc<RouteTable>,
    /// Positions of routes in the table, by host and path.
    index: RouteIndex,
}

impl Routes {
    /// Indexes a table.
    #[must_use]
    pub fn of(table: Arc<RouteTable>) -> Self {
        let index = RouteIndex::new(&table);
        Self { table, index }
    }

    /// Returns the route for a request's host and path.
    fn find(&self, parts: &Parts) -> Option<&Route> {
        let at = self.index.find(host_name(parts)?, parts.uri.path())?;
        self.table.routes.get(at)
    }
}

/// Returns the host that a request names, without the port; `None` if it names none.
fn host_name(parts: &Parts) -> Option<&str> {
    let host = parts.headers.get(HOST)?.to_str().ok()?;
    host.split(':').next()
}

/// The HTTP service for routed requests.
pub struct RoutedService {
    /// The entry task's input queue.
    pub inputs: mpsc::UnboundedSender<Input>,
    /// The route table in force; `None` before the first one.
    pub routes: watch::Receiver<Option<Arc<Routes>>>,
    /// The callers' protocol.
    pub protocol: Arc<dyn RoutedRequestProtocol>,
    /// Reads the bodies of requests.
    pub bodies: RequestBodies,
    /// The memory for answers that callers have not read.
    pub unread: UnreadAnswers,
    /// The metrics of this process.
    pub metrics: Metrics,
    /// The id for the next request.
    pub next: AtomicU64,
    /// Cancelled when the graceful shutdown starts.
    pub leaving: CancellationToken,
    /// The instant until which requests wait for the first route table.
    pub first_table_until: Instant,
    /// Limits the log lines about requests that are refused before they reach the core.
    pub log_limit: Mutex<LogLimiter>,
}

impl Service for RoutedService {
    async fn serve(&self, request: Request<Incoming>, from: SocketAddr) -> Response<Body> {
        let (parts, body) = request.into_parts();
        self.metrics.increment(Count::Requests);
        let since = Instant::now();
        let served = self.serve_request(parts, body, from).await;
        served.unwrap_or_else(|refusal| {
            self.metrics.refused(&refusal, since.elapsed());
            self.protocol.refusal_response(&refusal).map(body::full)
        })
    }

    fn idle_timeout(&self) -> Duration {
        let routes = self.routes.borrow();
        let idle = routes
            .as_ref()
            .map(|routes| routes.table.limits.idle_timeout);
        idle.map_or(HEAD_TIMEOUT, |idle| idle.max(HEAD_TIMEOUT))
    }

    fn is_leaving(&self) -> bool {
        self.leaving.is_cancelled()
    }

    fn parse_failed(&self, from: SocketAddr, error: &hyper::Error) {
        self.metrics.increment(Count::ConnectionsUnread);
        if self.lock_log_limit().allow() {
            tracing::info!(%from, %error, "closed a caller's connection: cannot parse a request");
        }
    }
}

/// The host and path of a request, for the log.
#[derive(Debug)]
struct RequestSummary {
    /// The `Host` header.
    host: Option<HeaderValue>,
    /// The request target.
    uri: Uri,
}

impl From<&Parts> for RequestSummary {
    fn from(parts: &Parts) -> Self {
        Self {
            host: parts.headers.get(HOST).cloned(),
            uri: parts.uri.clone(),
        }
    }
}

impl RoutedService {
    /// Handles one request up to the start of its answer.
    async fn serve_request(
        &self,
        parts: Parts,
        body: Incoming,
        from: SocketAddr,
    ) -> Result<Response<Body>, Refusal> {
        let since = Instant::now();
        let routes = self.routes().await?;
        let waited = since.elapsed();
        let summary = RequestSummary::from(&parts);
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let read = self.prepare(id, &routes, parts, body, from).await;
        let (mut call, payload) =
            read.inspect_err(|refusal| self.log_refusal(&summary, refusal, routes.table.version))?;
        let (reply, answer) = mpsc::channel(PART_QUEUE_CAPACITY);
        call.deduct_elapsed(waited);
        let streams = payload.streams;
        let intake = NewRequest {
            request: call,
            payload: Payload::Routed(Box::new(payload)),
            reply,
            share: self.unread.share(from.ip()),
        };
        let guard = CallerGuard {
            id,
            inputs: self.inputs.clone(),
        };
        let _ = self.inputs.send(Input::NewRequest(Box::new(intake)));
        let streams = |status: StatusCode| streams && status.is_success();
        caller_response(answer, guard, (&self.unread, from), streams).await
    }

    /// Finds the route of a request, reads its body and prepares it for the core.
    async fn prepare(
        &self,
        id: u64,
        routes: &Routes,
        mut parts: Parts,
        body: Incoming,
        from: SocketAddr,
    ) -> Result<(Call, Routed), Refusal> {
        let route = routes
            .find(&parts)
            .ok_or_else(|| not_run(Reason::Unknown, "no route has this host and path"))?;
        let protocol = self.protocol.as_ref();
        let expects_continue = parts.headers.contains_key(EXPECT);
        let caller = authenticate(protocol, &routes.table, &route.name, &mut parts.headers);
        let caller = match caller {
            // A caller that does not wait for `100 Continue` may lose the answer if its connection
            // is closed while it writes the body.
            Err(refusal) if !expects_continue => {
                drain(body, parts.extensions);
                return Err(refusal);
            }
            caller => caller?,
        };
        let metadata = self.protocol.read_metadata(&parts.headers)?;
        let limit = routes.table.limits.max_body_bytes;
        let body = self
            .bodies
            .read(body, &parts.extensions, limit, from.ip())
            .await?;
        let mut built = build_call(id, route, &routes.table, metadata, parts, body, from)?;
        if let Some(caller) = caller {
            caller.assign_to(&mut built.0, &mut built.1);
        }
        Ok(built)
    }

    /// Logs a request that was refused before it reached the core.
    fn log_refusal(&self, summary: &RequestSummary, refusal: &Refusal, table: Version) {
        if self.lock_log_limit().allow() {
            let host = summary.host.as_ref().and_then(|host| host.to_str().ok());
            tracing::info!(
                host = host.map(shorten), path = shorten(summary.uri.path()),
                reason = %refusal.reason, detail = shorten(&refusal.detail), table,
                "request refused before it was passed to the entry core"
            );
        }
    }

    /// Locks the log limiter.
    fn lock_log_limit(&self) -> MutexGuard<'_, LogLimiter> {
        self.log_limit
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the routes in force; waits for the first table if the host has just started.
    async fn routes(&self) -> Result<Arc<Routes>, Refusal> {
        let mut routes = self.routes.clone();
        let first = timeout_at(self.first_table_until, routes.wait_for(Option::is_some)).await;
        let known = first.ok().and_then(Result::ok);
        let known = known.and_then(|routes| routes.clone());
        known.ok_or_else(|| Refusal {
            retry_after: Some(NO_ROUTES_RETRY_AFTER),
            ..not_run(
                Reason::Unavailable,
                "this host has no route table that is in force",
            )
        })
    }
}

/// Prepares a request for the core and the target.
fn build_call(
    id: u64,
    route: &Route,
    table: &RouteTable,
    metadata: RequestMetadata,
    parts: Parts,
    body: Bytes,
    from: SocketAddr,
) -> Result<(Call, Routed), Refusal> {
    let no_service = || not_run(Reason::Unavailable, "the route leads nowhere");
    let service = route
        .select_service(rand::random())
        .ok_or_else(no_service)?;
    let what = requested(service, table, &metadata, &parts.method);
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut call = Call::new(id, from.ip().to_string(), what);
    let host = host_name(&parts).unwrap_or_default();
    call.fingerprint = fingerprint::of_routed(&call.caller, host, path, &body);
    call.identity = Some(Box::new(Identity {
        content: fingerprint::of_content(host, path, &body),
        attempt: fingerprint::of_attempt(&metadata.id),
        resumes: resumed_stream(route, &metadata),
    }));
    call.deadline = Some(
        metadata
            .deadline
            .map_or(route.timeout, |it| it.min(route.timeout)),
    );
    call.repeatable = route.retry != RetryPolicy::Never;
    let (prefixes, sizes) = prefixes(&metadata.prompt);
    call.prefixes = prefixes;
    call.sections = shared_sections(&metadata.prompt);
    call.usage = metadata.usage;
    call.streaming = route.is_stream;
    call.bytes = body.len() as u64;
    call.terms = Some(Box::new(RouteLimits {
        route: route.name.clone(),
        attempts: route.attempts.max(1),
        limit: route.timeout,
        objective: route.objective,
        rank: route.priority,
        sizes,
    }));
    let mut headers = parts.headers;
    for hop in header::HOP_BY_HOP {
        headers.remove(*hop);
    }
    let routed = Routed {
        id: metadata.id,
        what: format!("{}: {}", route.name, call.what),
        method: parts.method,
        path: path.to_owned(),
        headers,
        body,
        streams: route.is_stream,
        rank: route.priority,
        attempts: if call.repeatable { route.attempts } else { 1 },
        resume: metadata.resume,
        team: None,
    };
    Ok((call, routed))
}

/// Returns which stream a request takes up, if it does and may.
fn resumed_stream(route: &Route, metadata: &RequestMetadata) -> Option<Resumes> {
    let may_resume = route.is_stream && route.retry != RetryPolicy::Never;
    let has_events = metadata.resume.is_some_and(|last| last > 0);
    if !(may_resume && has_events) {
        return None;
    }
    let named = metadata.resumes.as_deref();
    let named = named.map(|id| Resumes::Attempt(fingerprint::of_attempt(id)));
    Some(named.unwrap_or(Resumes::Unnamed))
}

/// Returns the requested resource: a model if the service runs models and one is named, or
/// else the service itself.
fn requested(
    service: &Name,
    table: &RouteTable,
    metadata: &RequestMetadata,
    method: &Method,
) -> RequestedResource {
    let engine = table.service(service).and_then(|it| it.engine.as_ref());
    match (&metadata.model, engine) {
        (Some(model), Some(_)) => RequestedResource::Model(Reference {
            model: route::model_id(service, model),
            version: None,
            adapter: metadata.adapter.clone(),
        }),
        _ => RequestedResource::Service {
            name: service.clone(),
            method: method.as_str().into(),
        },
    }
}

/// Returns, for each section of a prompt, the digest and token count of the prompt up to
/// the section's end.
fn prefixes(prompt: &[PromptSection]) -> (Vec<u64>, Vec<u32>) {
    use std::hash::Hasher;
    let mut hasher = std::hash::DefaultHasher::new();
    let mut length = 0_u32;
    let prefixes = prompt.iter().map(|section| {
        hasher.write_u64(section.id);
        length = length.saturating_add(section.tokens);
        (hasher.finish(), length)
    });
    prefixes.unzip()
}

/// Returns the ids of a prompt's sections that other prompts may have in common, each once: all but
/// the last, and [`MAX_SECTIONS`] at most.
fn shared_sections(prompt: &[PromptSection]) -> Vec<u64> {
    let Some((_, shared)) = prompt.split_last() else {
        return Vec::new();
    };
    let mut ids: Vec<u64> = Vec::new();
    for section in shared.iter().take(MAX_SECTIONS) {
        if !ids.contains(&section.id) {
            ids.push(section.id);
        }
    }
    ids
}

/// The HTTP service for requests that this host answers without a target.
pub struct LocalRequestService {
    /// The entry task's input queue.
    pub inputs: mpsc::UnboundedSender<Input>,
    /// The callers' protocol.
    pub protocol: Arc<dyn RoutedRequestProtocol>,
}

impl Service for LocalRequestService {
    async fn serve(&self, request: Request<Incoming>, _: SocketAddr) -> Response<Body> {
        let local_request = self.protocol.local_request(request.method(), request.uri());
        let response = match local_request {
            Some(LocalRequest::Ready) => {
                let (answer, answered) = oneshot::channel();
                let _ = self.inputs.send(Input::Ready(answer));
                self.protocol
                    .ready_response(answered.await.unwrap_or(false))
            }
            Some(LocalRequest::Entries(location)) => {
                let (answer, answered) = oneshot::channel();
                let _ = self.inputs.send(Input::Nearest(location, answer));
                match answered.await {
                    Ok(entries) if !entries.addresses.is_empty() => {
                        self.protocol.entries_response(&entries)
                    }
                    _ => {
                        let detail = "this host knows no entry hosts";
                        self.protocol
                            .refusal_response(&not_run(Reason::Unavailable, detail))
                    }
                }
            }
            None => {
                let detail = format!("nothing is at {}", request.uri().path());
                self.protocol
                    .refusal_response(&not_run(Reason::Unknown, detail))
            }
        };
        response.map(body::full)
    }
}
