//! The links of one process: who sends to a host needs no address.
//!
//! Voters are in the settings, so links to them are dialled when the first
//! message is sent. Other hosts dial here, and are answered on their link.
//! Delivery is best effort and in order within a link: who needs more repeats.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use cornelhitch_settings::process;
use cornelhitch_types::id::HostId;
use cornelhitch_wire::hello::{Identity, Peer};
use cornelhitch_wire::link::{self, Link};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::message::{Incoming, Message, Said};
use crate::metrics::{Count, Metrics};

/// Messages that wait for a link; more are dropped.
const QUEUE: usize = 8_192;

/// Pause after a link failed.
const BACKOFF: Duration = Duration::from_millis(250);

/// Where incoming messages go.
#[derive(Debug, Clone)]
pub struct Inbox {
    /// The control task, on a host with that role.
    pub control: Option<mpsc::UnboundedSender<Incoming>>,
    /// The session task.
    pub session: mpsc::UnboundedSender<Incoming>,
}

impl Inbox {
    /// Hands a message to the task it is for.
    pub fn deliver(&self, incoming: Incoming) {
        let upward = match &incoming.said {
            Said::Message(Message::Quorum(_) | Message::Upward(_)) => true,
            Said::Datagram(datagram, _) => {
                matches!(datagram, crate::message::Datagram::Renew { .. })
            }
            Said::Message(Message::Downward(_)) | Said::Linked => false,
        };
        let sent = match (&self.control, upward) {
            (Some(control), true) => control.send(incoming),
            (None, true) => Ok(()),
            (_, false) => self.session.send(incoming),
        };
        if sent.is_err() {
            tracing::debug!("a message came after its task had ended");
        }
    }
}

/// The queue of one link.
#[derive(Debug, Clone)]
struct Lane {
    queue: mpsc::Sender<Bytes>,
    life: u64,
}

/// The links of one process.
#[derive(Debug, Clone)]
pub struct Switch {
    shared: Arc<Shared>,
}

/// What every clone of a switch shares.
#[derive(Debug)]
struct Shared {
    me: Peer,
    inbox: Inbox,
    identity: watch::Receiver<Identity>,
    metrics: Metrics,
    stop: CancellationToken,
    /// Lanes of dialled links, by host; fixed from the settings.
    dialled: HashMap<HostId, mpsc::Sender<Bytes>>,
    /// Lanes of accepted links, by host; the newest link wins.
    accepted: Mutex<HashMap<HostId, Lane>>,
    /// Peers that are cut off on purpose, for tests of partitions.
    cut: watch::Receiver<Vec<HostId>>,
}

/// What a switch is started with.
#[derive(Debug)]
pub struct Setup {
    /// Who this process is; it changes when the key file does.
    pub identity: watch::Receiver<Identity>,
    /// Where peers connect.
    pub listener: TcpListener,
    /// Hosts that are dialled.
    pub voters: Vec<process::Peer>,
    /// Where incoming messages go.
    pub inbox: Inbox,
    /// Counters.
    pub metrics: Metrics,
    /// Ends the tasks.
    pub stop: CancellationToken,
    /// Hosts to which nothing is sent, for tests of partitions.
    pub cut: watch::Receiver<Vec<HostId>>,
}

impl Switch {
    /// Starts the tasks of the links.
    #[must_use]
    pub fn start(setup: Setup) -> Self {
        let me = {
            let identity = setup.identity.borrow();
            Peer {
                host: identity.host,
                incarnation: identity.incarnation,
            }
        };
        let mut dialled = HashMap::new();
        let mut lanes = Vec::new();
        for voter in setup.voters.iter().filter(|voter| voter.host != me.host) {
            let (queue, waiting) = mpsc::channel(QUEUE);
            dialled.insert(voter.host, queue);
            lanes.push((voter.address, waiting));
        }
        let shared = Arc::new(Shared {
            me,
            inbox: setup.inbox,
            identity: setup.identity,
            metrics: setup.metrics,
            stop: setup.stop,
            dialled,
            accepted: Mutex::default(),
            cut: setup.cut,
        });
        for (address, waiting) in lanes {
            tokio::spawn(dialling(shared.clone(), address, waiting));
        }
        tokio::spawn(accepting(shared.clone(), setup.listener));
        Self { shared }
    }

    /// Sends a message to a host, if there is or can be a link to it.
    pub fn send(&self, to: HostId, message: Message) {
        let shared = &self.shared;
        if to == shared.me.host {
            let said = Said::Message(message);
            shared.inbox.deliver(Incoming {
                from: shared.me,
                said,
            });
            return;
        }
        if shared.cut.borrow().contains(&to) {
            return;
        }
        let Some(queue) = shared.queue(to) else {
            shared.metrics.one(Count::DroppedNoLink);
            return;
        };
        match postcard::to_stdvec(&message) {
            Ok(bytes) => {
                shared.metrics.sent(bytes.len());
                if queue.try_send(Bytes::from(bytes)).is_err() {
                    shared.metrics.one(Count::DroppedQueueFull);
                }
            }
            Err(error) => tracing::error!(%error, "a message cannot be encoded"),
        }
    }
}

impl Shared {
    /// The queue of the link to a host.
    fn queue(&self, to: HostId) -> Option<mpsc::Sender<Bytes>> {
        if let Some(queue) = self.dialled.get(&to) {
            return Some(queue.clone());
        }
        let accepted = self.accepted.lock().unwrap_or_else(PoisonError::into_inner);
        accepted.get(&to).map(|lane| lane.queue.clone())
    }

    /// Hands on what a peer said.
    fn deliver(&self, from: Peer, bytes: &Bytes) {
        self.metrics.received(bytes.len());
        match postcard::from_bytes::<Message>(bytes) {
            Ok(message) => self.inbox.deliver(Incoming {
                from,
                said: Said::Message(message),
            }),
            Err(error) => {
                self.metrics.one(Count::DroppedMalformed);
                tracing::warn!(host = from.host, %error, "a frame holds no message");
            }
        }
    }

    /// Who this process is now.
    fn identity(&self) -> Identity {
        self.identity.borrow().clone()
    }
}

/// Keeps a link to one voter while there is something to send.
async fn dialling(shared: Arc<Shared>, address: SocketAddr, mut waiting: mpsc::Receiver<Bytes>) {
    loop {
        let first = tokio::select! {
            () = shared.stop.cancelled() => return,
            first = waiting.recv() => first,
        };
        let Some(first) = first else { return };
        match link::dial(address, &shared.identity()).await {
            Ok(link) => {
                shared.inbox.deliver(Incoming {
                    from: link.peer,
                    said: Said::Linked,
                });
                run(&shared, link, Some(first), &mut waiting).await;
            }
            Err(error) => tracing::debug!(%address, %error, "no link"),
        }
        // What waited for the broken link is stale; its senders repeat what matters.
        while waiting.try_recv().is_ok() {}
        tokio::time::sleep(BACKOFF).await;
    }
}

/// Takes the links that other hosts open.
async fn accepting(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            () = shared.stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, address)) => {
                let shared = shared.clone();
                tokio::spawn(async move {
                    match link::accept(stream, &shared.identity()).await {
                        Ok(link) => serve(&shared, link).await,
                        Err(error) => {
                            shared.metrics.one(Count::LinksRefused);
                            tracing::warn!(%address, %error, "a link was refused");
                        }
                    }
                });
            }
            Err(error) => {
                tracing::warn!(%error, "a link cannot be accepted");
                tokio::time::sleep(BACKOFF).await;
            }
        }
    }
}

/// Runs a link that a peer opened.
async fn serve(shared: &Arc<Shared>, link: Link) {
    let peer = link.peer;
    let (queue, mut waiting) = mpsc::channel(QUEUE);
    let life = {
        let mut accepted = shared
            .accepted
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let life = accepted.get(&peer.host).map_or(0, |lane| lane.life + 1);
        accepted.insert(peer.host, Lane { queue, life });
        life
    };
    run(shared, link, None, &mut waiting).await;
    let mut accepted = shared
        .accepted
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    if accepted
        .get(&peer.host)
        .is_some_and(|lane| lane.life == life)
    {
        accepted.remove(&peer.host);
    }
}

/// Sends and receives on one link until it fails or the process stops.
async fn run(
    shared: &Arc<Shared>,
    link: Link,
    first: Option<Bytes>,
    waiting: &mut mpsc::Receiver<Bytes>,
) {
    let Link {
        peer,
        mut sender,
        mut receiver,
    } = link;
    let sending = async {
        let mut next = first;
        loop {
            let bytes = match next.take() {
                Some(bytes) => bytes,
                None => match waiting.recv().await {
                    Some(bytes) => bytes,
                    None => return Ok(()),
                },
            };
            sender.feed(bytes).await?;
            // One flush for all that waits saves system calls under load.
            while let Ok(bytes) = waiting.try_recv() {
                sender.feed(bytes).await?;
            }
            sender.flush().await?;
        }
    };
    let receiving = async {
        while let Some(bytes) = receiver.next().await? {
            if !shared.cut.borrow().contains(&peer.host) {
                shared.deliver(peer, &bytes);
            }
        }
        Ok(())
    };
    let ended: Result<(), cornelhitch_wire::frame::Error> = tokio::select! {
        () = shared.stop.cancelled() => Ok(()),
        ended = sending => ended,
        ended = receiving => ended,
    };
    if let Err(error) = ended {
        tracing::debug!(host = peer.host, %error, "a link ended");
    }
}
