//! An HTTP/1.1 and HTTP/2 cleartext listener over hyper.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::body::Body;

/// Time that a caller may take to send the head of a request.
pub const HEAD: Duration = Duration::from_secs(10);

/// Header lines of one request; a head of 16 KiB holds so many of 16 bytes each.
const HEADERS: usize = 1_024;

/// Pause after a connection could not be accepted, when descriptors have run out.
const PAUSE: Duration = Duration::from_millis(50);

/// What a listener serves.
pub trait Service: Send + Sync + 'static {
    /// Answers one request.
    fn serve(
        &self,
        request: Request<Incoming>,
        from: SocketAddr,
    ) -> impl Future<Output = Response<Body>> + Send;

    /// Time for the head of a request from the end of the one before it, so also the time for which a
    /// connection may stay idle.
    fn patience(&self) -> Duration {
        HEAD
    }

    /// What came over a connection is no request; the connection was ended, with an answer of the HTTP
    /// library where it has one.
    fn unread(&self, from: SocketAddr, error: &hyper::Error) {
        tracing::debug!(%from, %error, "what came over a connection is no request");
    }
}

/// Accepts connections until `close`, then lets those that are open finish their requests.
pub async fn run<S: Service>(listener: TcpListener, service: Arc<S>, close: CancellationToken) {
    let connections = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            () = close.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, from)) => {
                let task = connection(stream, from, service.clone(), close.clone());
                connections.spawn(task);
            }
            Err(error) => {
                tracing::warn!(%error, "a connection cannot be accepted");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
    drop(listener);
    connections.close();
    connections.wait().await;
}

/// Serves one connection.
async fn connection<S: Service>(
    stream: TcpStream,
    from: SocketAddr,
    service: Arc<S>,
    close: CancellationToken,
) {
    let _ = stream.set_nodelay(true);
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .max_headers(HEADERS)
        .header_read_timeout(service.patience());
    builder.http2().timer(TokioTimer::new());
    let requests = service.clone();
    let answer = service_fn(move |request| {
        let service = requests.clone();
        async move { Ok::<_, Infallible>(service.serve(request, from).await) }
    });
    let serving = builder.serve_connection(TokioIo::new(stream), answer);
    tokio::pin!(serving);
    let served = tokio::select! {
        served = &mut serving => served,
        () = close.cancelled() => {
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    let Err(error) = served else {
        return;
    };
    match error.downcast_ref::<hyper::Error>() {
        Some(error) if error.is_parse() => service.unread(from, error),
        _ => tracing::debug!(%from, %error, "a connection ended"),
    }
}
