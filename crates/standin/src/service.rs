//! A fake plain service that counts how often each request ran.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cornelhitch_target::message::REQUEST_ID;
use cornelhitch_types::id::{Incarnation, Name, RegionId, TargetId, ZoneId};
use cornelhitch_types::refusal::Run;
use cornelhitch_types::target::{Announcement, Heartbeat, Kind, Load};
use http::header::HeaderName;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::announcer::{Announcer, ReportSource};
use crate::body::{self, Body};
use crate::generation::header_str;
use crate::text;

/// Identifies a request that must not run twice; its runs are counted under this key.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// A failure that a test injects into a service, once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The connection is aborted before the request runs.
    AbortBeforeRun,
    /// The connection is aborted after the request has run.
    AbortAfterRun,
    /// The request is refused and the response states that it did not run.
    Refuse,
    /// The request runs, but the response has status 500.
    Fail,
    /// The request runs, but the response carries the id of another request.
    WrongRequestId,
}

/// Settings of a service; [`Builder`] has a method for each.
#[derive(Debug, Clone)]
struct Settings {
    /// Target id.
    name: TargetId,
    /// Names of the services that the target runs.
    services: Vec<Name>,
    /// Region that the target announces.
    region: RegionId,
    /// Availability zone that the target announces.
    zone: ZoneId,
    /// Distinguishes this process from earlier ones of the same target.
    incarnation: Incarnation,
    /// Run time of a request.
    delay: Duration,
    /// Time between two heartbeats.
    heartbeat_interval: Duration,
    /// Entry hosts to report to.
    entries: Vec<SocketAddr>,
}

/// Builds a [`Service`].
#[derive(Debug, Clone)]
#[must_use]
pub struct Builder {
    /// Settings made so far.
    settings: Settings,
}

impl Builder {
    /// Sets the target id.
    pub fn name(mut self, name: impl Into<TargetId>) -> Self {
        self.settings.name = name.into();
        self
    }

    /// Adds a service that the target runs.
    pub fn service(mut self, service: impl Into<Name>) -> Self {
        self.settings.services.push(service.into());
        self
    }

    /// Sets the region that the target announces.
    pub fn region(mut self, region: impl Into<RegionId>) -> Self {
        self.settings.region = region.into();
        self
    }

    /// Sets the availability zone that the target announces.
    pub fn zone(mut self, zone: impl Into<ZoneId>) -> Self {
        self.settings.zone = zone.into();
        self
    }

    /// Sets the incarnation that the target announces; 1 by default.
    pub fn incarnation(mut self, incarnation: Incarnation) -> Self {
        self.settings.incarnation = incarnation;
        self
    }

    /// Sets the run time of a request; zero by default.
    pub fn delay(mut self, delay: Duration) -> Self {
        self.settings.delay = delay;
        self
    }

    /// Sets the time between two heartbeats; one second by default.
    pub fn heartbeat_interval(mut self, heartbeat_interval: Duration) -> Self {
        self.settings.heartbeat_interval = heartbeat_interval;
        self
    }

    /// Sets the entry hosts to report to.
    pub fn entries(mut self, entries: impl Into<Vec<SocketAddr>>) -> Self {
        self.settings.entries = entries.into();
        self
    }

    /// Starts the service on its own loopback port; cancelling the token stops it.
    ///
    /// # Errors
    /// No loopback port can be bound.
    pub async fn start(self, token: CancellationToken) -> io::Result<Service> {
        let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let listener = TcpListener::bind(loopback).await?;
        let address = listener.local_addr()?;
        let state = Mutex::new(State {
            entries: self.settings.entries.clone(),
            ..State::default()
        });
        let service = Service {
            inner: Arc::new(Inner {
                settings: self.settings,
                address,
                heartbeat_now: Arc::default(),
                state,
            }),
            token,
        };
        service.clone().serve(listener);
        Ok(service)
    }
}

/// The mutable state of a service.
#[derive(Debug, Default)]
struct State {
    /// Entry hosts to report to.
    entries: Vec<SocketAddr>,
    /// Number of runs for each idempotency key, or for each request id without a key.
    runs: BTreeMap<Name, u32>,
    /// Failures that are still to be injected, oldest first.
    failures: VecDeque<Failure>,
    /// Requests in flight.
    running: u32,
    /// Sequence number of the last heartbeat.
    sequence: u64,
    /// Whether heartbeats say that the target leaves.
    leaving: bool,
}

/// Data shared by the tasks of a service.
#[derive(Debug)]
struct Inner {
    /// As given to the builder.
    settings: Settings,
    /// The address it listens on.
    address: SocketAddr,
    /// Triggers a heartbeat before the interval is over.
    heartbeat_now: Arc<Notify>,
    /// Counts, failures and entry hosts.
    state: Mutex<State>,
}

impl Inner {
    /// Locks the state; a panic of another holder leaves it usable.
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A fake plain service on its own loopback port; clones share state.
///
/// ```
/// use cornelhitch_standin::service::Service;
/// use tokio_util::sync::CancellationToken;
///
/// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
/// let bids = Service::builder().name("auction-1").service("bids");
/// let bids = bids.start(CancellationToken::new()).await?;
/// assert!(bids.run_counts().is_empty());
/// bids.stop();
/// # Ok::<(), std::io::Error>(())
/// # }).unwrap();
/// ```
#[derive(Debug, Clone)]
pub struct Service {
    /// Shared by all clones and tasks.
    inner: Arc<Inner>,
    /// Stops the service.
    token: CancellationToken,
}

impl Service {
    /// Returns a builder with default settings.
    pub fn builder() -> Builder {
        Builder {
            settings: Settings {
                name: "service".into(),
                services: Vec::new(),
                region: "perth-a".into(),
                zone: "perth-a-1".into(),
                incarnation: 1,
                delay: Duration::ZERO,
                heartbeat_interval: Duration::from_secs(1),
                entries: Vec::new(),
            },
        }
    }

    /// Returns the address that the service listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// Returns the number of runs for each idempotency key, or for each request id without a key.
    #[must_use]
    pub fn run_counts(&self) -> BTreeMap<Name, u32> {
        self.inner.state().runs.clone()
    }

    /// Queues a failure, which is injected into the next request.
    pub fn inject_failure(&self, failure: Failure) {
        self.inner.state().failures.push_back(failure);
    }

    /// Replaces the entry hosts that the service reports to, and sends a heartbeat at once.
    pub fn set_entries(&self, entries: Vec<SocketAddr>) {
        self.inner.state().entries = entries;
        self.inner.heartbeat_now.notify_one();
    }

    /// Announces in heartbeats that the service leaves, the first of them at once.
    pub fn leave(&self) {
        self.inner.state().leaving = true;
        self.inner.heartbeat_now.notify_one();
    }

    /// Stops the service and aborts its connections.
    pub fn stop(&self) {
        self.token.cancel();
    }

    /// Spawns the tasks that report the service and accept its connections.
    fn serve(self, listener: TcpListener) {
        let heartbeat_now = Arc::clone(&self.inner.heartbeat_now);
        let interval = self.inner.settings.heartbeat_interval;
        self.spawn(Announcer::new(Box::new(self.clone()), interval, heartbeat_now).run());
        self.clone().spawn(async move {
            loop {
                if let Ok((socket, _)) = listener.accept().await {
                    self.spawn(serve_connection(self.clone(), socket));
                }
            }
        });
    }

    /// Spawns a task that ends with the service.
    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let token = self.token.clone();
        tokio::spawn(async move {
            token.run_until_cancelled(task).await;
        });
    }

    /// Handles one request; an error aborts the connection.
    async fn handle(self, request: Request<Incoming>) -> io::Result<Response<Body>> {
        let (head, incoming) = request.into_parts();
        let Some(bytes) = body::read(incoming).await else {
            return Err(io::ErrorKind::InvalidData.into());
        };
        let failure = self.inner.state().failures.pop_front();
        if failure == Some(Failure::AbortBeforeRun) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if failure == Some(Failure::Refuse) {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let mut refusal = body::problem(status, Run::NotRun, "refused");
            body::echo_request_id(&mut refusal, &head.headers);
            return Ok(refusal);
        }
        let key =
            header_str(&head.headers, &IDEMPOTENCY_KEY).or(header_str(&head.headers, &REQUEST_ID));
        let run = self.run(key.unwrap_or_default().into()).await;
        if failure == Some(Failure::AbortAfterRun) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let mut response = self.respond(&head.uri, &bytes, run);
        match failure {
            Some(Failure::Fail) => *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR,
            Some(Failure::WrongRequestId) => {
                let wrong_id = http::HeaderValue::from_static("another-request");
                response.headers_mut().insert(REQUEST_ID, wrong_id);
            }
            _ => (),
        }
        body::echo_request_id(&mut response, &head.headers);
        Ok(response)
    }

    /// Runs a request; returns how often its key has run, this time included.
    async fn run(&self, key: Name) -> u32 {
        let run = {
            let mut state = self.inner.state();
            state.running += 1;
            let run = state.runs.entry(key).or_default();
            *run += 1;
            *run
        };
        sleep(self.inner.settings.delay).await;
        self.inner.state().running -= 1;
        run
    }

    /// Returns a response that echoes the request and contains the number of the run of its key.
    fn respond(&self, uri: &http::Uri, bytes: &[u8], run: u32) -> Response<Body> {
        let answer = serde_json::json!({
            "target": &*self.inner.settings.name,
            "path": uri.to_string(),
            "body": text::digest(bytes),
            "run": run,
        });
        body::response(StatusCode::OK, "application/json", answer.to_string())
    }
}

impl ReportSource for Service {
    fn announcement(&self) -> Announcement {
        let settings = &self.inner.settings;
        Announcement {
            target: settings.name.clone(),
            incarnation: settings.incarnation,
            kind: Kind::Service,
            address: self.inner.address,
            region: settings.region.clone(),
            zone: settings.zone.clone(),
            memory: 0,
            accelerators: 0,
            fencing: false,
            services: settings.services.clone(),
            slots: None,
            incarnation_is_start_time: false,
        }
    }

    fn heartbeat(&self) -> Heartbeat {
        let mut state = self.inner.state();
        state.sequence += 1;
        Heartbeat {
            target: self.inner.settings.name.clone(),
            incarnation: self.inner.settings.incarnation,
            sequence: state.sequence,
            fence: 0,
            inventory: Vec::new(),
            load: Load {
                running: state.running,
                ..Load::default()
            },
            cache: Vec::new(),
            leaving: state.leaving,
        }
    }

    fn entries(&self) -> Vec<SocketAddr> {
        self.inner.state().entries.clone()
    }
}

/// Serves one connection until either side closes it.
async fn serve_connection(service: Service, socket: TcpStream) {
    // Best effort: with Nagle's algorithm on, responses are only delayed.
    drop(socket.set_nodelay(true));
    let handler = service_fn(move |request| service.clone().handle(request));
    let builder = auto::Builder::new(TokioExecutor::new());
    let served = builder
        .serve_connection(TokioIo::new(socket), handler)
        .await;
    if let Err(error) = served {
        tracing::debug!(%error, "connection to the fake service ended with an error");
    }
}
