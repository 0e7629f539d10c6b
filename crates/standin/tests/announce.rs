//! Announcements, heartbeats, restarts and leave messages of the fakes, read by the real decoder.

mod common;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::{engine, load, order, send, wait_until};
use cornelhitch_standin::service::Service;
use cornelhitch_target::inbound::{Json, Message, Protocol, Receipt};
use cornelhitch_types::target::Stage;
use http_body_util::{BodyExt, Full};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// A fake entry host that records the messages it receives.
#[derive(Debug, Clone, Default)]
struct Entry {
    /// All messages so far.
    received: Arc<Mutex<Vec<Message>>>,
    /// The next receipt, if it is not [`Receipt::Accepted`].
    next_receipt: Arc<Mutex<Option<Receipt>>>,
}

impl Entry {
    /// Starts to listen; returns the address.
    async fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port should be free");
        let address = listener
            .local_addr()
            .expect("listener should have an address");
        let entry = self.clone();
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let entry = entry.clone();
                let service = service_fn(move |request| entry.clone().receive(request));
                let server = hyper::server::conn::http1::Builder::new();
                tokio::spawn(server.serve_connection(TokioIo::new(socket), service));
            }
        });
        address
    }

    /// Records one message and acknowledges it.
    async fn receive(
        self,
        request: http::Request<hyper::body::Incoming>,
    ) -> hyper::Result<http::Response<Full<bytes::Bytes>>> {
        let (head, body) = request.into_parts();
        let body = body.collect().await?.to_bytes();
        let message = Json.decode(&head.method, head.uri.path(), &body);
        let message = message.expect("message should be decoded");
        self.received
            .lock()
            .expect("mutex should not be poisoned")
            .push(message);
        let receipt = self
            .next_receipt
            .lock()
            .expect("mutex should not be poisoned")
            .take();
        let receipt = receipt.unwrap_or(Receipt::Accepted);
        Ok(Json.response("", Ok(receipt)).map(Full::new))
    }

    /// Counts the messages that match a predicate.
    fn count(&self, kind: impl Fn(&Message) -> bool) -> usize {
        let received = self.received.lock().expect("mutex should not be poisoned");
        received.iter().filter(|message| kind(message)).count()
    }
}

/// Matches the announcement of an incarnation.
fn is_announcement(incarnation: u64) -> impl Fn(&Message) -> bool {
    move |message| matches!(message, Message::Announcement(a) if a.incarnation == incarnation)
}

/// Matches a heartbeat of an incarnation that lists a ready copy.
fn lists_ready_copy(incarnation: u64) -> impl Fn(&Message) -> bool {
    move |message| {
        let Message::Heartbeat(heartbeat) = message else {
            return false;
        };
        let mut copies = heartbeat.inventory.iter();
        heartbeat.incarnation == incarnation && copies.any(|copy| copy.stage == Stage::Ready)
    }
}

/// Returns whether a message says that the target leaves.
fn says_leaving(message: &Message) -> bool {
    match message {
        Message::Heartbeat(heartbeat) => heartbeat.leaving,
        Message::Leaving(_) | Message::Ended(_) => true,
        Message::Announcement(_) => false,
        Message::Presence(presence) => presence.heartbeat.leaving,
    }
}

#[tokio::test]
async fn an_engine_reports_its_start_copies_crash_and_leave() {
    let entry = Entry::default();
    let entries = vec![entry.start().await];
    let interval = Duration::from_millis(5);
    let engine = engine(|builder| builder.entries(entries).heartbeat_interval(interval)).await;
    wait_until(|| entry.count(is_announcement(1)) >= 1).await;
    send(engine.address(), &order(&engine, 1, 1, load(1 << 20))).await;
    wait_until(|| entry.count(lists_ready_copy(1)) > 0).await;
    let heartbeats = || entry.count(|message| matches!(message, Message::Heartbeat(_)));
    wait_until(|| heartbeats() >= 3).await;
    let announcements = entry.count(is_announcement(1));
    assert!(
        announcements < heartbeats(),
        "a registered engine is not announced with every heartbeat"
    );

    *entry
        .next_receipt
        .lock()
        .expect("mutex should not be poisoned") = Some(Receipt::NotRegistered);
    wait_until(|| entry.count(is_announcement(1)) >= 2).await;

    engine.crash();
    wait_until(|| entry.count(is_announcement(2)) >= 1).await;
    engine.leave(interval * 4).await;
    assert!(
        entry.count(says_leaving) >= 2,
        "a leave message and a heartbeat that says so"
    );
    assert_eq!(
        entry.count(lists_ready_copy(2)),
        0,
        "the new incarnation starts with empty accelerators"
    );
}

#[tokio::test]
async fn a_service_announces_itself_and_reports_that_it_leaves() {
    let entry = Entry::default();
    let entries = vec![entry.start().await];
    let service = Service::builder().service("bids").entries(entries);
    let service = service
        .start(CancellationToken::new())
        .await
        .expect("a port should be free");
    wait_until(|| entry.count(is_announcement(1)) >= 1).await;
    service.leave();
    wait_until(|| entry.count(says_leaving) >= 1).await;
    service.stop();
}
