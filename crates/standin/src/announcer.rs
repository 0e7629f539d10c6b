//! Tells entry hosts that a target is there, and how it is.

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

/// How long an entry host may take to answer.
const PATIENCE: Duration = Duration::from_secs(1);

/// What a target tells.
pub trait Source: Send + Sync + 'static {
    /// That it is there.
    fn announcement(&self) -> Announcement;
    /// How it is; each call counts as one heartbeat.
    fn heartbeat(&self) -> Heartbeat;
    /// Whom it tells.
    fn entries(&self) -> Vec<SocketAddr>;
}

/// Tells entry hosts about a target.
pub struct Announcer {
    /// The target.
    source: Box<dyn Source>,
    /// How often.
    every: Duration,
    /// Asks for a heartbeat at once.
    news: Arc<Notify>,
    /// Connections to entry hosts.
    client: Client<HttpConnector, Full<Bytes>>,
    /// Entry hosts that took the announcement.
    known: BTreeSet<SocketAddr>,
}

impl Announcer {
    /// An announcer that has told nobody.
    pub fn new(source: Box<dyn Source>, every: Duration, news: Arc<Notify>) -> Self {
        Self {
            source,
            every,
            news,
            client: Client::builder(TokioExecutor::new()).build_http(),
            known: BTreeSet::new(),
        }
    }

    /// Goes on until it is dropped.
    pub async fn run(mut self) {
        loop {
            self.tell().await;
            tokio::select! {
                () = sleep(self.every) => (),
                () = self.news.notified() => (),
            }
        }
    }

    /// Announces where that is needed, and sends one heartbeat to each.
    async fn tell(&mut self) {
        let entries = self.source.entries();
        let unknown = entries.iter().filter(|entry| !self.known.contains(entry));
        let announcement = json(&self.source.announcement());
        let announced = unknown.map(|entry| self.post(*entry, ANNOUNCE, announcement.clone()));
        let announced = join_all(announced).await;
        let taken = announced.into_iter().filter(|told| told.taken);
        self.known.extend(taken.map(|told| told.entry));

        let heartbeat = json(&self.source.heartbeat());
        let known = self.known.iter().filter(|entry| entries.contains(entry));
        let beats = known.map(|entry| self.post(*entry, HEARTBEAT, heartbeat.clone()));
        for told in join_all(beats).await {
            if !told.taken {
                self.known.remove(&told.entry);
            }
        }
    }

    /// Posts a message to one entry host.
    async fn post(&self, entry: SocketAddr, path: &str, body: Bytes) -> Told {
        let taken = post(&self.client, entry, path, body).await;
        Told { entry, taken }
    }
}

/// What one entry host said.
struct Told {
    /// The entry host.
    entry: SocketAddr,
    /// Whether it took the message.
    taken: bool,
}

/// Says farewell to entry hosts.
pub async fn leave(entries: &[SocketAddr], leaving: &Leaving) {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let body = json(leaving);
    let posts = entries
        .iter()
        .map(|entry| post(&client, *entry, LEAVE, body.clone()));
    join_all(posts).await;
}

/// Posts a message; says whether it was taken.
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
    let answer = timeout(PATIENCE, client.request(request)).await;
    matches!(answer, Ok(Ok(answer)) if answer.status() == StatusCode::NO_CONTENT)
}

/// A message as JSON; the messages have no form that JSON cannot take.
fn json(message: &impl Serialize) -> Bytes {
    serde_json::to_vec(message).unwrap_or_default().into()
}
