//! Requests that come by routes: what is read of them, and how they are answered.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use cornelhitch_entry::entries::{Entries, Whence};
use cornelhitch_entry::event::{Request as Call, Terms, What};
use cornelhitch_entry::fingerprint;
use cornelhitch_target::client::RequestId;
use cornelhitch_types::id::{Name, Version};
use cornelhitch_types::model::Reference;
use cornelhitch_types::refusal::{Reason, Refusal};
use cornelhitch_types::route::{self, Index, Repeat, Route, Table};
use http::header::HOST;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, Request, Response, Uri};
use hyper::body::Incoming;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, timeout_at};

use crate::body::{self, Body};
use crate::callers::{Departure, answered, collect};
use crate::entry::Input;
use crate::exchange::{Intake, PARTS, Payload, Routed};
use crate::header;
use crate::lines::Lines;
use crate::metrics::{Count, Metrics};
use crate::problem::not_run;
use crate::server::{HEAD, Service};

/// How long after the start of a host requests wait for its first table of routes, which takes about
/// a second when the voters have started too. After that they are refused at once.
pub const WARM_UP: Duration = Duration::from_millis(1_500);

/// When a caller may come back to a host that does not know any routes yet.
const UNREADY: Duration = Duration::from_millis(500);

/// A part of a prompt that other prompts may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Section {
    /// Its number.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// What a caller's headers say of its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// Its id.
    pub id: RequestId,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The model, by its name within the service.
    pub model: Option<Name>,
    /// The adapter on top of the model.
    pub adapter: Option<Name>,
    /// The prompt's parts in their order.
    pub prompt: Vec<Section>,
    /// The last event that the caller has of a stream.
    pub resume: Option<u64>,
}

/// A page that needs no target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Page {
    /// Whether this host takes requests.
    Ready,
    /// Which hosts to connect to, for a caller at a place.
    Entries(Whence),
}

/// How requests that come by routes are read and answered; one for each protocol of callers.
pub trait Ingress: Send + Sync + 'static {
    /// What the headers of a request say.
    ///
    /// # Errors
    /// The refusal names the header that is wrong.
    fn read(&self, headers: &HeaderMap) -> Result<Ask, Refusal>;

    /// The page that is asked for, if it is one.
    fn page(&self, method: &Method, uri: &Uri) -> Option<Page>;

    /// The answer to a request that is not answered in full.
    fn refusal(&self, refusal: &Refusal) -> Response<Bytes>;

    /// The answer whether this host takes requests.
    fn ready(&self, ready: bool) -> Response<Bytes>;

    /// The answer which hosts to connect to.
    fn entries(&self, entries: &Entries) -> Response<Bytes>;
}

/// The routes in force, with their index.
#[derive(Debug, Default)]
pub struct Routes {
    /// The table.
    pub table: Arc<Table>,
    /// Its index.
    index: Index,
}

impl Routes {
    /// The routes of a table.
    #[must_use]
    pub fn of(table: Arc<Table>) -> Self {
        let index = Index::of(&table);
        Self { table, index }
    }

    /// The route of a request.
    fn find(&self, parts: &Parts) -> Option<&Route> {
        let host = parts.headers.get(HOST)?.to_str().ok()?;
        let host = host.split(':').next().unwrap_or(host);
        let at = self.index.find(host, parts.uri.path())?;
        self.table.routes.get(at)
    }
}

/// Serves requests that come by routes.
pub struct Door {
    /// Where the entry task is.
    pub inputs: mpsc::UnboundedSender<Input>,
    /// The routes in force here; none before the first table.
    pub routes: watch::Receiver<Option<Arc<Routes>>>,
    /// How requests are read and answered.
    pub ingress: Arc<dyn Ingress>,
    /// Counters.
    pub metrics: Metrics,
    /// The number of the next request.
    pub next: AtomicU64,
    /// Until when requests wait for the first table.
    pub warm: Instant,
    /// Bounds the lines about requests that are refused before the core sees them.
    pub lines: Mutex<Lines>,
}

impl Service for Door {
    async fn serve(&self, request: Request<Incoming>, from: SocketAddr) -> Response<Body> {
        let (parts, body) = request.into_parts();
        self.metrics.one(Count::Requests);
        let since = Instant::now();
        let served = self.request(parts, body, from).await;
        served.unwrap_or_else(|refusal| {
            self.metrics.refused(&refusal, since.elapsed());
            self.ingress.refusal(&refusal).map(body::whole)
        })
    }

    fn patience(&self) -> Duration {
        let routes = self.routes.borrow();
        let idle = routes.as_ref().map(|routes| routes.table.limits.idle);
        idle.map_or(HEAD, |idle| idle.max(HEAD))
    }

    fn unread(&self, from: SocketAddr, error: &hyper::Error) {
        self.metrics.one(Count::ConnectionsUnread);
        if self.lock_lines().admits() {
            tracing::info!(%from, %error, "what came over a connection is no request");
        }
    }
}

/// What a request was for, for the log.
#[derive(Debug)]
struct Asked {
    /// The host that the caller names.
    host: Option<HeaderValue>,
    /// The path.
    uri: Uri,
}

impl From<&Parts> for Asked {
    fn from(parts: &Parts) -> Self {
        Self {
            host: parts.headers.get(HOST).cloned(),
            uri: parts.uri.clone(),
        }
    }
}

impl Door {
    /// Serves one request.
    async fn request(
        &self,
        parts: Parts,
        body: Incoming,
        from: SocketAddr,
    ) -> Result<Response<Body>, Refusal> {
        let since = Instant::now();
        let routes = self.routes().await?;
        let waited = since.elapsed();
        let asked = Asked::from(&parts);
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let read = self.read(id, &routes, parts, body, from).await;
        let (mut call, payload) =
            read.inspect_err(|refusal| self.turned_away(&asked, refusal, routes.table.version))?;
        let (reply, answer) = mpsc::channel(PARTS);
        call.spend(waited);
        let streams = payload.streams;
        let intake = Intake {
            request: call,
            payload: Payload::Routed(Box::new(payload)),
            reply,
        };
        let departure = Departure {
            id,
            inputs: self.inputs.clone(),
        };
        let _ = self.inputs.send(Input::Intake(Box::new(intake)));
        answered(answer, departure, |status| streams && status.is_success()).await
    }

    /// Reads a request whose route is in force here.
    async fn read(
        &self,
        id: u64,
        routes: &Routes,
        parts: Parts,
        body: Incoming,
        from: SocketAddr,
    ) -> Result<(Call, Routed), Refusal> {
        let route = routes
            .find(&parts)
            .ok_or_else(|| not_run(Reason::Unknown, "no route has this host and path"))?;
        let ask = self.ingress.read(&parts.headers)?;
        let body = collect(body, routes.table.limits.body).await?;
        read(id, route, &routes.table, ask, parts, body, from)
    }

    /// Writes a line about a request that is refused before the core sees it.
    fn turned_away(&self, asked: &Asked, refusal: &Refusal, table: Version) {
        if self.lock_lines().admits() {
            let (host, path) = (&asked.host, asked.uri.path());
            tracing::info!(
                ?host, path, reason = %refusal.reason, detail = &*refusal.detail, table,
                "request turned away"
            );
        }
    }

    /// The count of lines.
    fn lock_lines(&self) -> MutexGuard<'_, Lines> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The routes in force here; a host that has just started waits for its first table.
    async fn routes(&self) -> Result<Arc<Routes>, Refusal> {
        let mut routes = self.routes.clone();
        let first = timeout_at(self.warm, routes.wait_for(Option::is_some)).await;
        let known = first.ok().and_then(Result::ok);
        let known = known.and_then(|routes| routes.clone());
        known.ok_or_else(|| Refusal {
            retry_after: Some(UNREADY),
            ..not_run(Reason::Unavailable, "this host knows no routes yet")
        })
    }
}

/// Reads a request into what the core and the target need.
fn read(
    id: u64,
    route: &Route,
    table: &Table,
    ask: Ask,
    parts: Parts,
    body: Bytes,
    from: SocketAddr,
) -> Result<(Call, Routed), Refusal> {
    let unsplit = || not_run(Reason::Unavailable, "the route leads nowhere");
    let service = route.pick(rand::random()).ok_or_else(unsplit)?;
    let what = what(service, table, &ask, &parts.method);
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let asked = [path.as_bytes(), &[0], &body].concat();
    let mut call = Call::new(id, from.ip().to_string(), what);
    call.fingerprint = fingerprint::of(&call.what, &asked);
    call.deadline = Some(
        ask.deadline
            .map_or(route.timeout, |it| it.min(route.timeout)),
    );
    call.repeatable = route.repeat != Repeat::Never;
    let (prefixes, sizes) = prefixes(&ask.prompt);
    call.prefixes = prefixes;
    call.streaming = route.streams;
    call.bytes = body.len() as u64;
    call.terms = Some(Box::new(Terms {
        attempts: route.attempts.max(1),
        limit: route.timeout,
        objective: route.objective,
        rank: route.rank,
        sizes,
    }));
    let mut headers = parts.headers;
    for hop in header::HOP_BY_HOP {
        headers.remove(*hop);
    }
    let routed = Routed {
        id: ask.id,
        what: format!("{}: {}", route.name, call.what),
        method: parts.method,
        path: path.to_owned(),
        headers,
        body,
        streams: route.streams,
        rank: route.rank,
        attempts: if call.repeatable { route.attempts } else { 1 },
        resume: ask.resume,
    };
    Ok((call, routed))
}

/// What a request asks for: a model, where the service runs models and one is named.
fn what(service: &Name, table: &Table, ask: &Ask, method: &Method) -> What {
    let engine = table.service(service).and_then(|it| it.engine.as_ref());
    match (&ask.model, engine) {
        (Some(model), Some(_)) => What::Model(Reference {
            model: route::model_id(service, model),
            version: None,
            adapter: ask.adapter.clone(),
        }),
        _ => What::Service {
            name: service.clone(),
            method: method.as_str().into(),
        },
    }
}

/// Digests of the prompt up to the end of each part, and its length there in tokens.
fn prefixes(prompt: &[Section]) -> (Vec<u64>, Vec<u32>) {
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

/// Serves the pages that need no target.
pub struct Pages {
    /// Where the entry task is.
    pub inputs: mpsc::UnboundedSender<Input>,
    /// How they are asked for and answered.
    pub ingress: Arc<dyn Ingress>,
}

impl Service for Pages {
    async fn serve(&self, request: Request<Incoming>, _: SocketAddr) -> Response<Body> {
        let page = self.ingress.page(request.method(), request.uri());
        let response = match page {
            Some(Page::Ready) => {
                let (answer, answered) = oneshot::channel();
                let _ = self.inputs.send(Input::Ready(answer));
                self.ingress.ready(answered.await.unwrap_or(false))
            }
            Some(Page::Entries(whence)) => {
                let (answer, answered) = oneshot::channel();
                let _ = self.inputs.send(Input::Nearest(whence, answer));
                match answered.await {
                    Ok(entries) if !entries.addresses.is_empty() => self.ingress.entries(&entries),
                    _ => {
                        let detail = "this host knows no entry hosts";
                        self.ingress.refusal(&not_run(Reason::Unavailable, detail))
                    }
                }
            }
            None => {
                let detail = format!("nothing is at {}", request.uri().path());
                self.ingress.refusal(&not_run(Reason::Unknown, detail))
            }
        };
        response.map(body::whole)
    }
}
