//! Tests of links between processes: a link that falls silent without a reset is replaced.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use cornelhitch_node::links::{Inbox, Links, Setup};
use cornelhitch_node::message::{Downward, Incoming, Message, PeerEvent};
use cornelhitch_node::metrics::Metrics;
use cornelhitch_settings::process::Peer;
use cornelhitch_wire::hello::{Identity, cluster_id};
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// The time in which a silent link has to be replaced, before the hosts count as disconnected.
const BOUND: Duration = Duration::from_secs(4);

/// Interval between two messages of the test.
const PAUSE: Duration = Duration::from_millis(50);

/// Starts the links of a host and returns them with the queue of incoming events.
fn start_links(
    host: u64,
    listener: TcpListener,
    voters: Vec<Peer>,
) -> (Links, mpsc::UnboundedReceiver<Incoming>) {
    let identity = Identity {
        cluster: cluster_id("test"),
        host,
        incarnation: 1,
        address: listener.local_addr().expect("an address"),
        keys: "a secret that all peers share".parse().expect("keys"),
    };
    let (session, inbox) = mpsc::unbounded_channel();
    let (_, identity) = watch::channel(identity);
    let (_, blocked_peers) = watch::channel(Vec::new());
    let links = Links::start(Setup {
        identity,
        listener,
        voters,
        common_port: None,
        local: None,
        inbox: Inbox {
            control: None,
            session,
        },
        metrics: Metrics::default(),
        stop: CancellationToken::new(),
        blocked_peers,
    });
    (links, inbox)
}

/// Relays connections to an address and counts them. On `mute` the first falls silent without being
/// closed.
async fn relay(to: SocketAddr, mute: CancellationToken) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let opened = Arc::new(AtomicUsize::new(0));
    let count = opened.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let number = count.fetch_add(1, Ordering::Relaxed);
            let mute = mute.clone();
            tokio::spawn(async move {
                let mut onward = TcpStream::connect(to).await.expect("a listener");
                let muted = async {
                    mute.cancelled().await;
                    if number > 0 {
                        std::future::pending::<()>().await;
                    }
                };
                tokio::select! {
                    _ = copy_bidirectional(&mut stream, &mut onward) => {}
                    () = muted => std::future::pending().await,
                }
            });
        }
    });
    (address, opened)
}

/// Returns a message that carries a number.
fn message(call: u64) -> Message {
    let json = bytes::Bytes::new();
    Message::Downward(Downward::Answer { call, json })
}

/// Returns the number of the next message that arrives.
async fn next(inbox: &mut mpsc::UnboundedReceiver<Incoming>) -> u64 {
    loop {
        let incoming = inbox.recv().await.expect("an open inbox");
        if let PeerEvent::Message(Message::Downward(Downward::Answer { call, .. })) = incoming.event
        {
            return call;
        }
    }
}

/// Guards against two voters that can no longer reach each other because the link that one of them
/// dialed has fallen silent without a reset, which nothing but a timeout detects.
#[tokio::test]
async fn a_link_that_falls_silent_is_replaced() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let mute = CancellationToken::new();
    let behind = listener.local_addr().expect("an address");
    let (address, opened) = relay(behind, mute.clone()).await;
    let (_accepts, mut inbox) = start_links(2, listener, Vec::new());
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let (dials, _answers) = start_links(1, listener, vec![Peer { host: 2, address }]);
    dials.send(2, message(0));
    assert_eq!(next(&mut inbox).await, 0);

    mute.cancel();
    let since = Instant::now();
    for number in 1.. {
        dials.send(2, message(number));
        if tokio::time::timeout(PAUSE, next(&mut inbox)).await.is_ok() {
            break;
        }
        assert!(since.elapsed() < BOUND, "the link stays silent");
    }
    assert_eq!(opened.load(Ordering::Relaxed), 2);
}

/// A link without messages is kept open by keep-alive frames.
#[tokio::test]
async fn an_idle_link_is_kept() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let behind = listener.local_addr().expect("an address");
    let (address, opened) = relay(behind, CancellationToken::new()).await;
    let (_accepts, mut inbox) = start_links(2, listener, Vec::new());
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let (dials, _answers) = start_links(1, listener, vec![Peer { host: 2, address }]);
    dials.send(2, message(0));
    assert_eq!(next(&mut inbox).await, 0);
    tokio::time::sleep(BOUND).await;
    dials.send(2, message(1));
    assert_eq!(next(&mut inbox).await, 1);
    assert_eq!(opened.load(Ordering::Relaxed), 1);
}
