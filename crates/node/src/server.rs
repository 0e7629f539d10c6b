//! A cleartext HTTP/1.1 and HTTP/2 listener over hyper.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cornelhitch_types::refusal::{Reason, Refusal};
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response, Version};
use hyper::body::{Body as _, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::answer_body::AnswerBody;
use crate::body::Body;
use crate::connection::{BodyProgress, Connection, ConnectionTable, CrowdedOut};
use crate::guarded_stream::GuardedStream;
use crate::listener_limits::{ListenerLimits, MAX_HEADERS};
use crate::problem::{Problem, not_run};

/// Timeout for the head of a request.
pub const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Memory of one HTTP/2 stream for a body that its request has not read, and for an answer that its
/// caller has not; in bytes.
const STREAM_BUFFER_BYTES: u32 = 64 << 10;

/// Memory of one HTTP/2 connection for bodies that its requests have not read, in bytes.
const CONNECTION_BUFFER_BYTES: u32 = 256 << 10;

/// Requests in progress on one HTTP/2 connection; callers are told the limit (RFC 9113, section 5.1.2).
const MAX_STREAMS: u32 = 100;

/// Size that HTTP/2 adds to each header field when the list is measured (RFC 9113, section 6.5.2).
const FIELD_OVERHEAD_BYTES: usize = 32;

/// When a request that was crowded out may be served.
const CROWDED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Interval between two looks for answers that their callers have stopped reading.
const UNREAD_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Asks a caller to close the connection.
const CLOSE: HeaderValue = HeaderValue::from_static("close");

/// Pause after a connection could not be accepted, as when file descriptors have run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// A service behind a listener.
pub trait Service: Send + Sync + 'static {
    /// Answers one request.
    fn serve(
        &self,
        request: Request<Incoming>,
        from: SocketAddr,
    ) -> impl Future<Output = Response<Body>> + Send;

    /// Returns the time from the end of one request to the end of the next one's head, so also the
    /// time for which a connection may stay idle.
    fn idle_timeout(&self) -> Duration {
        HEAD_TIMEOUT
    }

    /// Whether this process shuts down, so that a response also ends its connection.
    fn is_leaving(&self) -> bool {
        false
    }

    /// Called when a connection was closed because a request cannot be parsed. The HTTP library has
    /// sent a response if it has one for the error.
    fn parse_failed(&self, from: SocketAddr, error: &hyper::Error) {
        tracing::debug!(%from, %error, "closed a connection: cannot parse a request");
    }
}

/// Accepts connections until `close` is cancelled, then lets open ones finish their requests.
pub async fn run<S: Service>(
    listener: TcpListener,
    service: Arc<S>,
    table: Arc<ConnectionTable>,
    close: CancellationToken,
) {
    let connections = TaskTracker::new();
    let mut checks = interval(UNREAD_CHECK_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let accepted = tokio::select! {
            () = close.cancelled() => break,
            _ = checks.tick() => {
                table.close_unread(service.idle_timeout());
                continue;
            }
            accepted = accept(&listener, &table) => accepted,
        };
        match accepted {
            Ok((stream, Some(connection))) => {
                connections.spawn(serve(stream, connection, service.clone(), close.clone()));
            }
            Ok((_, None)) => {}
            Err(error) => {
                tracing::warn!(%error, "cannot accept a connection; retrying after a pause");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
    drop(listener);
    connections.close();
    connections.wait().await;
}

/// Accepts a connection once there may be one more socket; returns it with its place in the table, if it has one.
async fn accept(
    listener: &TcpListener,
    table: &Arc<ConnectionTable>,
) -> std::io::Result<(TcpStream, Option<Arc<Connection>>)> {
    let permit = table.socket_permit().await;
    let (stream, from) = listener.accept().await?;
    Ok((stream, table.open(from, permit)))
}

/// Answers one request; a process that shuts down also asks the caller to close the connection.
async fn respond<S: Service>(
    service: &S,
    request: Request<Incoming>,
    from: SocketAddr,
) -> Response<Body> {
    let persists = request.version() == Version::HTTP_11;
    let mut response = service.serve(request, from).await;
    if persists && service.is_leaving() {
        response.headers_mut().insert(CONNECTION, CLOSE);
    }
    response
}

/// Returns the response to a request that is not served because too many are in progress.
fn crowded_out(rejected: CrowdedOut, version: Version) -> Response<Body> {
    let detail = "too many requests are in progress";
    let refusal = Refusal {
        retry_after: Some(CROWDED_RETRY_AFTER),
        ..not_run(Reason::Overloaded, detail)
    };
    let mut response = Problem::from(&refusal).response();
    if rejected.closes && version == Version::HTTP_11 {
        response.headers_mut().insert(CONNECTION, CLOSE);
    }
    response
}

/// Returns the limits for the HTTP library.
fn builder(limits: &ListenerLimits, idle_timeout: Duration) -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .max_headers(MAX_HEADERS)
        .max_buf_size(limits.head_bytes)
        .header_read_timeout(idle_timeout + limits.head_timeout);
    let list_bytes = limits.head_bytes + MAX_HEADERS * FIELD_OVERHEAD_BYTES;
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(u32::try_from(list_bytes).unwrap_or(u32::MAX))
        .initial_stream_window_size(STREAM_BUFFER_BYTES)
        .initial_connection_window_size(CONNECTION_BUFFER_BYTES)
        .max_send_buf_size(STREAM_BUFFER_BYTES as usize);
    builder
}

/// Serves one connection.
async fn serve<S: Service>(
    stream: TcpStream,
    connection: Arc<Connection>,
    service: Arc<S>,
    close: CancellationToken,
) {
    let _ = stream.set_nodelay(true);
    let from = connection.from;
    let idle_timeout = service.idle_timeout();
    let builder = builder(&connection.table().limits, idle_timeout);
    let requests = service.clone();
    let owner = connection.clone();
    let answer = service_fn(move |mut request: Request<Incoming>| {
        let service = requests.clone();
        let connection = owner.clone();
        let has_body = !request.body().is_end_stream();
        let pipelined = owner.is_pipelined();
        let begun = owner.begin(has_body).map(Arc::new);
        if let Ok(begun) = &begun {
            let progress = BodyProgress(begun.clone());
            request.extensions_mut().insert(progress);
        }
        async move {
            let version = request.version();
            if pipelined {
                // The library answers many of them without a pause, which keep a thread busy.
                yield_now().await;
            }
            let response = match &begun {
                Ok(_) => respond(&*service, request, from).await,
                Err(rejected) => crowded_out(*rejected, version),
            };
            Ok::<_, Infallible>(
                response.map(|body| AnswerBody::new(body, connection, begun.ok(), version)),
            )
        }
    });
    let closer = connection.closer.clone();
    let guarded = GuardedStream::new(stream, connection, idle_timeout);
    let serving = builder.serve_connection(TokioIo::new(guarded), answer);
    tokio::pin!(serving);
    let served = tokio::select! {
        served = &mut serving => served,
        () = closer.cancelled() => return,
        () = close.cancelled() => {
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    let Err(error) = served else {
        return;
    };
    match error.downcast_ref::<hyper::Error>() {
        Some(error) if error.is_parse() => service.parse_failed(from, error),
        _ => tracing::debug!(%from, %error, "connection ended with an error"),
    }
}
