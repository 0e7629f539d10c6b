//! How long a connection waits for its next request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use cornelhitch_target::http::{Http, Outgoing, Reuse};
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// How long connections wait where the target does not say, and the pause between two requests.
const IDLE: Duration = Duration::from_millis(400);
const SHORT: Duration = Duration::from_millis(50);
const LONG: Duration = Duration::from_millis(700);

/// A target that answers any number of requests on each connection, and how many it accepted.
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
async fn a_connection_waits_as_long_as_its_target_says() {
    let rows = [
        ("no word, soon again", "", SHORT, 1),
        ("no word, later", "", LONG, 2),
        ("kept for long", "keep-alive: timeout=5\r\n", LONG, 1),
        (
            "kept for a second, less the margin",
            "keep-alive: timeout=1\r\n",
            SHORT,
            2,
        ),
        (
            "other parameters",
            "keep-alive: max=9, timeout=5\r\n",
            LONG,
            1,
        ),
        ("unreadable", "keep-alive: timeout=soon\r\n", LONG, 2),
    ];
    for (name, header, pause, connections) in rows {
        let (address, accepted) = target(header).await;
        let http = Http::builder().idle(IDLE).build();
        for _ in 0..2 {
            let mut request = Outgoing::new(Full::new(Bytes::new()));
            *request.uri_mut() = http::Uri::from_static("/item");
            let gate = Box::new(|| true);
            let reply = http.ask(address, request, Reuse::Yes, gate).await;
            assert_eq!(reply.expect("an answer").body, "ok", "{name}");
            tokio::time::sleep(pause).await;
        }
        assert_eq!(accepted.load(Ordering::Relaxed), connections, "{name}");
    }
}
