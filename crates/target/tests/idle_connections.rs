//! Which requests are sent on idle connections, and what happens when a target closes one.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cornelhitch_target::client::{
    Client, Connection, ConnectionObserver, Gate, IdleConnections, ServiceRequest,
};
use cornelhitch_target::http::{Http, Reuse};
use cornelhitch_types::refusal::Run;
use http::{HeaderMap, Method};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::time::timeout;

/// Header of targets that keep connections longer than the client's idle timeout.
const KEEP_ALIVE: &str = "keep-alive: timeout=9\r\n";
/// Idle timeout of the client, for targets that state no keep-alive time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Upper bound on the time until an expected change is seen.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);

/// What a target does after its first response on a connection.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Then {
    /// It serves further requests.
    Serve,
    /// It closes the connection while that is idle, when it is told to.
    Close,
    /// It reads one more request and closes the connection without a response.
    ReadAndClose,
}

/// What a target counts, and its signal to close a connection.
#[derive(Debug, Clone, Default)]
struct Counts {
    connections: Arc<AtomicUsize>,
    requests: Arc<AtomicUsize>,
    close: Arc<Notify>,
}

/// Starts a target.
async fn start_target(header: &'static str, then: Then) -> (SocketAddr, Counts) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let counts = Counts::default();
    let counted = counts.clone();
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            let first = counted.connections.fetch_add(1, Ordering::SeqCst) == 0;
            let then = if first { then } else { Then::Serve };
            tokio::spawn(serve(socket, header, then, counted.clone()));
        }
    });
    (address, counts)
}

/// Serves one connection.
async fn serve(mut socket: TcpStream, header: &'static str, then: Then, counts: Counts) {
    let mut request = [0; 4096];
    let mut served = 0;
    while socket.read(&mut request).await.is_ok_and(|read| read > 0) {
        counts.requests.fetch_add(1, Ordering::SeqCst);
        if served > 0 && then == Then::ReadAndClose {
            return;
        }
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n{header}\r\nok");
        if socket.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
        if then == Then::Close {
            return counts.close.notified().await;
        }
        served += 1;
    }
}

/// A gate that permits every request and records its connections.
struct Recorder(Arc<Mutex<Vec<Connection>>>);

#[async_trait]
impl Gate for Recorder {
    async fn pass(self: Box<Self>) -> bool {
        true
    }

    fn observer(&self) -> Option<ConnectionObserver> {
        let seen = self.0.clone();
        Some(Box::new(move |connection| {
            seen.lock().expect("a lock").push(connection);
        }))
    }
}

/// A client that records where its connections come from, and its idle connections.
struct Caller {
    http: Http,
    seen: Arc<Mutex<Vec<Connection>>>,
    idle: watch::Receiver<Option<IdleConnections>>,
}

impl Caller {
    fn new() -> Self {
        let http = Http::builder()
            .idle_timeout(IDLE_TIMEOUT)
            .request_id_header("x-no-id".parse().expect("a name"))
            .build();
        let (changed, idle) = watch::channel(None);
        http.set_idle_listener(Arc::new(move |idle| {
            changed.send_replace(Some(idle));
        }));
        Self {
            http,
            seen: Arc::default(),
            idle,
        }
    }

    /// Sends a request; returns whether it may have run, if it failed.
    async fn call(&self, address: SocketAddr, reuse: Reuse) -> Result<(), Run> {
        let call = ServiceRequest {
            request: "r-1".into(),
            method: Method::POST,
            path: "/item".into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            reuse,
            deadline: None,
        };
        let gate = Box::new(Recorder(self.seen.clone()));
        let answer = self.http.call(address, call, gate).await;
        answer.map(drop).map_err(|error| error.run())
    }

    /// Waits until this many connections are idle.
    async fn wait_for_idle(&mut self, count: u32) -> Option<IdleConnections> {
        let is_reached = |idle: &Option<IdleConnections>| idle.map_or(0, |it| it.count) == count;
        let reached = timeout(CHANGE_TIMEOUT, self.idle.wait_for(is_reached)).await;
        *reached.expect("a change in time").expect("a listener")
    }

    fn seen(&self) -> Vec<Connection> {
        self.seen.lock().expect("a lock").clone()
    }
}

/// Guards against a new connection for each request that must not run twice, and against an idle one
/// for it that its target may be about to close.
#[tokio::test]
async fn a_request_is_sent_only_on_connections_that_it_may_reuse() {
    use Connection::{New, Reused};
    let rows = [
        (
            "stated, if stated",
            KEEP_ALIVE,
            Reuse::IfStated,
            [New, Reused],
        ),
        ("stated, any", KEEP_ALIVE, Reuse::Yes, [New, Reused]),
        ("stated, none", KEEP_ALIVE, Reuse::No, [New, New]),
        ("not stated, if stated", "", Reuse::IfStated, [New, New]),
        ("not stated, any", "", Reuse::Yes, [New, Reused]),
    ];
    for (name, header, reuse, expected) in rows {
        let (address, counts) = start_target(header, Then::Serve).await;
        let mut caller = Caller::new();
        caller.call(address, reuse).await.expect(name);
        caller.wait_for_idle(1).await;
        caller.call(address, reuse).await.expect(name);
        assert_eq!(caller.seen(), expected, "{name}");
        let opened = expected.iter().filter(|it| **it == New).count();
        assert_eq!(counts.connections.load(Ordering::SeqCst), opened, "{name}");
    }
}

/// Guards against a listener that is not told of what requests may be sent on.
#[tokio::test]
async fn the_listener_is_told_of_idle_connections() {
    for (header, stated) in [("", 0), (KEEP_ALIVE, 1)] {
        let (address, _) = start_target(header, Then::Serve).await;
        let mut caller = Caller::new();
        caller.call(address, Reuse::Yes).await.expect("a response");
        let idle = caller.wait_for_idle(1).await.expect("idle connections");
        assert_eq!((idle.address, idle.stated), (address, stated));
        assert!(idle.until.is_some());
    }
}

/// Guards against requests that are sent to a target for the sake of a connection that it has closed,
/// and against one that is lost with it.
#[tokio::test]
async fn a_connection_that_its_target_closes_while_idle_is_not_used() {
    for reuse in [Reuse::Yes, Reuse::IfStated] {
        let (address, counts) = start_target(KEEP_ALIVE, Then::Close).await;
        let mut caller = Caller::new();
        caller.call(address, reuse).await.expect("a response");
        caller.wait_for_idle(1).await;
        counts.close.notify_one();
        caller.wait_for_idle(0).await;
        caller.call(address, reuse).await.expect("a response");
        assert_eq!(caller.seen(), [Connection::New; 2]);
        assert_eq!(counts.requests.load(Ordering::SeqCst), 2);
    }
}

/// Guards against a request that runs twice, since the connection was closed after its first byte.
#[tokio::test]
async fn a_request_that_reached_its_target_is_not_sent_again() {
    for reuse in [Reuse::Yes, Reuse::IfStated] {
        let (address, counts) = start_target(KEEP_ALIVE, Then::ReadAndClose).await;
        let mut caller = Caller::new();
        caller.call(address, reuse).await.expect("a response");
        caller.wait_for_idle(1).await;
        let failed = caller.call(address, reuse).await;
        assert_eq!(failed, Err(Run::Unknown), "{reuse:?}");
        assert_eq!(counts.requests.load(Ordering::SeqCst), 2);
        assert_eq!(counts.connections.load(Ordering::SeqCst), 1);
    }
}
