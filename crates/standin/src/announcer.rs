//! Announces a target to entry hosts and sends them its heartbeats.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cornelhitch_target::inbound::{ANNOUNCE, HEARTBEAT, LEAVE, Leaving};
use cornelhitch_types::target::{Announcement, Heartbeat};
use futures_util::future::join_all;
use http::{Request, StatusCode};
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// How long an entry host may take to respond.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(1);

/// What a target reports to entry hosts.
pub trait ReportSource: Send + Sync + 'static {
    /// Returns the announcement of the target.
    fn announcement(&self) -> Announcement;
    /// Returns the next heartbeat; each call advances its sequence number.
    fn heartbeat(&self) -> Heartbeat;
    /// Returns the entry hosts to report to.
    fn entries(&self) -> Vec<SocketAddr>;
}

/// Reports one target to its entry hosts.
pub struct Announcer {
    /// The target that is reported.
    source: Box<dyn ReportSource>,
    /// Time between two heartbeats.
    interval: Duration,
    /// Triggers a heartbeat before the interval is over.
    heartbeat_now: Arc<Notify>,
    /// Connection pool to the entry hosts.
    client: Client<HttpConnector, Full<Bytes>>,
    /// Entry hosts that accepted the announcement and every heartbeat since.
    registered: BTreeSet<SocketAddr>,
}

impl Announcer {
    /// Creates an announcer that is registered with no entry host yet.
    pub fn new(
        source: Box<dyn ReportSource>,
        interval: Duration,
        heartbeat_now: Arc<Notify>,
    ) -> Self {
        Self {
            source,
            interval,
            heartbeat_now,
            client: Client::builder(TokioExecutor::new()).build_http(),
            registered: BTreeSet::new(),
        }
    }

    /// Reports until the future is dropped.
    pub async fn run(mut self) {
        loop {
            self.report().await;
            tokio::select! {
                () = sleep(self.interval) => (),
                () = self.heartbeat_now.notified() => (),
            }
        }
    }

    /// Announces the target to unregistered entry hosts, then sends one heartbeat to each
    /// registered one. A host that does not accept the heartbeat gets a new announcement next time.
    async fn report(&mut self) {
        let entries = self.source.entries();
        let unregistered = entries
            .iter()
            .filter(|entry| !self.registered.contains(entry));
        let announcement = json(&self.source.announcement());
        let announcements =
            unregistered.map(|entry| self.post(*entry, ANNOUNCE, announcement.clone()));
        let announcements = join_all(announcements).await;
        let accepted = announcements
            .into_iter()
            .filter(|delivery| delivery.accepted);
        self.registered
            .extend(accepted.map(|delivery| delivery.entry));

        let heartbeat = json(&self.source.heartbeat());
        let registered = self
            .registered
            .iter()
            .filter(|entry| entries.contains(entry));
        let heartbeats = registered.map(|entry| self.post(*entry, HEARTBEAT, heartbeat.clone()));
        for delivery in join_all(heartbeats).await {
            if !delivery.accepted {
                self.registered.remove(&delivery.entry);
            }
        }
    }

    /// Posts a message to one entry host.
    async fn post(&self, entry: SocketAddr, path: &str, body: Bytes) -> Delivery {
        let accepted = post(&self.client, entry, path, body).await;
        Delivery { entry, accepted }
    }
}

/// The result of posting a message to an entry host.
struct Delivery {
    entry: SocketAddr,
    /// Whether the host accepted the message within the timeout.
    accepted: bool,
}

/// Notifies each entry host once that the target leaves; failures are ignored.
pub async fn leave(entries: &[SocketAddr], leaving: &Leaving) {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let body = json(leaving);
    let posts = entries
        .iter()
        .map(|entry| post(&client, *entry, LEAVE, body.clone()));
    join_all(posts).await;
}

/// Posts a message; returns whether the response was 204 within the timeout.
async fn post(
    client: &Client<HttpConnector, Full<Bytes>>,
    entry: SocketAddr,
    path: &str,
    body: Bytes,
) -> bool {
    let request = Request::post(format!("http://{entry}{path}"))
        .header("content-type", "application/json")
        .body(Full::new(body));
    let Ok(request) = request else { return false };
    let response = timeout(ENTRY_TIMEOUT, client.request(request)).await;
    matches!(response, Ok(Ok(response)) if response.status() == StatusCode::NO_CONTENT)
}

/// Serializes a message; the types in use have no value that JSON cannot represent.
fn json(message: &impl Serialize) -> Bytes {
    serde_json::to_vec(message).unwrap_or_default().into()
}
