//! How long an idle connection is kept for reuse.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use cornelhitch_target::http::{Http, OutgoingRequest, Reuse};
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Idle timeout of the client, for targets that state no keep-alive time.
const IDLE_TIMEOUT: Duration = Duration::from_millis(400);
/// A pause between two requests that is shorter than the idle timeout.
const SHORT_PAUSE: Duration = Duration::from_millis(50);
/// A pause between two requests that is longer than the idle timeout.
const LONG_PAUSE: Duration = Duration::from_millis(700);

/// Starts a target that serves any number of requests on each connection; the counter counts the
/// connections that it accepted.
async fn target(header: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let accepted = Arc::new(AtomicUsize::new(0));
    let count = accepted.clone();
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            count.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(async move {
                let mut request = [0; 4096];
                while socket.read(&mut request).await.is_ok_and(|read| read > 0) {
                    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n{header}\r\nok");
                    if socket.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, accepted)
}

#[tokio::test]
async fn an_idle_connection_is_reused_for_as_long_as_its_target_states() {
    let rows = [
        ("no header, short pause", "", SHORT_PAUSE, 1),
        ("no header, long pause", "", LONG_PAUSE, 2),
        (
            "long keep-alive",
            "keep-alive: timeout=5\r\n",
            LONG_PAUSE,
            1,
        ),
        (
            "keep-alive of 1 s, which the margin uses up",
            "keep-alive: timeout=1\r\n",
            SHORT_PAUSE,
            2,
        ),
        (
            "other parameters",
            "keep-alive: max=9, timeout=5\r\n",
            LONG_PAUSE,
            1,
        ),
        (
            "invalid header",
            "keep-alive: timeout=soon\r\n",
            LONG_PAUSE,
            2,
        ),
    ];
    for (name, header, pause, connections) in rows {
        let (address, accepted) = target(header).await;
        let http = Http::builder().idle_timeout(IDLE_TIMEOUT).build();
        for _ in 0..2 {
            let mut request = OutgoingRequest::new(Full::new(Bytes::new()));
            *request.uri_mut() = http::Uri::from_static("/item");
            let gate = Box::new(|| true);
            let reply = http.request(address, request, Reuse::Yes, gate).await;
            assert_eq!(reply.expect("a response").body, "ok", "{name}");
            tokio::time::sleep(pause).await;
        }
        assert_eq!(accepted.load(Ordering::Relaxed), connections, "{name}");
    }
}
