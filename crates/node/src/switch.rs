//! Routes messages to other hosts; the sender does not need to know their addresses.
//!
//! Voters are in the settings, so links to them are dialled when the first
//! message is sent. Other hosts dial here, and are answered on their link; where
//! there is none, they are dialled at the address that they or a leader told.
//! An idle link carries empty frames, so that one which has died without a word
//! is noticed and dialled again. Delivery is best effort and in order within a
//! link; a sender that needs more has to repeat the message.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use cornelhitch_settings::process;
use cornelhitch_types::id::HostId;
use cornelhitch_wire::hello::{Identity, Peer};
use cornelhitch_wire::link::{self, Link};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::message::{Incoming, Message, Said};
use crate::metrics::{Count, Metrics};

/// Messages that wait for a link; more are dropped.
const QUEUE: usize = 8_192;

/// Time after which an end of a link that has nothing to say says so.
const KEEP_ALIVE: Duration = Duration::from_millis(700);

/// The payload of such a frame, which no message has.
const KEEP_ALIVE_FRAME: Bytes = Bytes::new();

/// Silence after which a link counts as dead: three times [`KEEP_ALIVE`], so that one late frame does
/// no harm, and less than hosts may be out of touch. TCP alone would wait for minutes.
const SILENCE: Duration = Duration::from_millis(2_100);

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

/// The queue of a link that is dialled from here.
#[derive(Debug, Clone)]
struct Dialled {
    queue: mpsc::Sender<Bytes>,
    address: SocketAddr,
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
    /// Where the hosts of the settings are reached; nothing that is told changes it.
    settings: HashMap<HostId, SocketAddr>,
    /// The port of all peers, where a host's number is its address.
    numbered: Option<u16>,
    /// This host's own address to connect from, where that matters.
    local: Option<IpAddr>,
    /// Where other hosts are reached.
    learned: Mutex<HashMap<HostId, SocketAddr>>,
    /// Lanes of dialled links, by host.
    dialled: Mutex<HashMap<HostId, Dialled>>,
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
    /// Hosts that are dialled, at addresses that stay.
    pub voters: Vec<process::Peer>,
    /// The port of all peers, where a host's number is its address.
    pub numbered: Option<u16>,
    /// This host's own address to connect from, where that matters.
    pub local: Option<IpAddr>,
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
        let others = setup.voters.iter().filter(|voter| voter.host != me.host);
        let settings = others.map(|voter| (voter.host, voter.address));
        let shared = Arc::new(Shared {
            me,
            inbox: setup.inbox,
            identity: setup.identity,
            metrics: setup.metrics,
            stop: setup.stop,
            settings: settings.collect(),
            numbered: setup.numbered,
            local: setup.local,
            learned: Mutex::default(),
            dialled: Mutex::default(),
            accepted: Mutex::default(),
            cut: setup.cut,
        });
        tokio::spawn(accepting(shared.clone(), setup.listener));
        Self { shared }
    }

    /// Where a host is reached, if that is known.
    #[must_use]
    pub fn address(&self, host: HostId) -> Option<SocketAddr> {
        if host == self.shared.me.host {
            return Some(self.shared.identity.borrow().address);
        }
        self.shared.address(host)
    }

    /// Takes over where a host is reached, as another tells, and returns where it is from here.
    ///
    /// The settings and the word of the host itself on a link that stands count for more.
    #[must_use]
    pub fn learn(&self, told: &process::Peer) -> SocketAddr {
        let host = told.host;
        let linked = locked(&self.shared.accepted).contains_key(&host);
        let usable = !told.address.ip().is_unspecified();
        if !linked && usable && host != self.shared.me.host {
            self.shared.learn(host, told.address);
        }
        self.address(host).unwrap_or(told.address)
    }

    /// Opens the link to a host ahead of the first message, which would else wait for it.
    pub fn open(&self, to: HostId) {
        if to != self.shared.me.host
            && let Some(queue) = self.shared.queue(to)
        {
            let _ = queue.try_send(KEEP_ALIVE_FRAME);
        }
    }

    /// Sends a message to a host, if there is or can be a link to it.
    pub fn send(&self, to: HostId, message: Message) {
        if to == self.shared.me.host {
            return self.shared.loop_back(message);
        }
        self.shared.send(to, &mut Encoded::new(&message));
    }

    /// Sends a message to several hosts; it is encoded once.
    pub fn send_all(&self, hosts: impl IntoIterator<Item = HostId>, message: &Message) {
        let mut encoded = Encoded::new(message);
        for to in hosts {
            if to == self.shared.me.host {
                self.shared.loop_back(message.clone());
            } else {
                self.shared.send(to, &mut encoded);
            }
        }
    }
}

/// A message that is encoded when it is first needed.
struct Encoded<'a> {
    message: &'a Message,
    bytes: Option<Bytes>,
}

impl<'a> Encoded<'a> {
    /// A message that nobody has needed yet.
    fn new(message: &'a Message) -> Self {
        Self {
            message,
            bytes: None,
        }
    }

    /// Its bytes, unless it cannot be encoded.
    fn bytes(&mut self) -> Option<Bytes> {
        if self.bytes.is_none() {
            match postcard::to_stdvec(self.message) {
                Ok(bytes) => self.bytes = Some(bytes.into()),
                Err(error) => tracing::error!(%error, "a message cannot be encoded"),
            }
        }
        self.bytes.clone()
    }
}

impl Shared {
    /// Hands a message of this process to itself.
    fn loop_back(&self, message: Message) {
        let said = Said::Message(message);
        let from = self.me;
        self.inbox.deliver(Incoming { from, said });
    }

    /// Sends a message to another host, if there is or can be a link to it.
    fn send(self: &Arc<Self>, to: HostId, message: &mut Encoded) {
        if self.cut.borrow().contains(&to) {
            return;
        }
        let Some(queue) = self.queue(to) else {
            self.metrics.one(Count::DroppedNoLink);
            return;
        };
        let Some(bytes) = message.bytes() else {
            return;
        };
        self.metrics.sent(bytes.len());
        if queue.try_send(bytes).is_err() {
            self.metrics.one(Count::DroppedQueueFull);
        }
    }

    /// The queue of the link to a host, which is dialled where there is none.
    fn queue(self: &Arc<Self>, to: HostId) -> Option<mpsc::Sender<Bytes>> {
        if !self.settings.contains_key(&to)
            && let Some(lane) = locked(&self.accepted).get(&to)
        {
            return Some(lane.queue.clone());
        }
        let address = self.address(to)?;
        let mut dialled = locked(&self.dialled);
        if let Some(lane) = dialled.get(&to).filter(|lane| lane.address == address) {
            return Some(lane.queue.clone());
        }
        // The task of a lane to an earlier address ends with its queue.
        let (queue, waiting) = mpsc::channel(QUEUE);
        let host = to;
        let peer = process::Peer { host, address };
        tokio::spawn(dialling(self.clone(), peer, waiting));
        let lane = Dialled { queue, address };
        dialled.insert(to, lane.clone());
        Some(lane.queue)
    }

    /// Where another host is reached, if that is known.
    fn address(&self, host: HostId) -> Option<SocketAddr> {
        let settings = self.settings.get(&host).copied();
        let known = settings.or_else(|| locked(&self.learned).get(&host).copied());
        known.or_else(|| numbered(host, self.numbered?))
    }

    /// Takes over where a host is reached.
    fn learn(&self, host: HostId, address: SocketAddr) {
        if !self.settings.contains_key(&host) {
            locked(&self.learned).insert(host, address);
        }
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

/// The address that a host's number stands for.
fn numbered(host: HostId, port: u16) -> Option<SocketAddr> {
    let ip = Ipv4Addr::from_bits(u32::try_from(host).ok()?);
    Some(SocketAddr::new(ip.into(), port))
}

/// What a lock guards; no holder of it leaves it half changed.
fn locked<T>(lock: &Mutex<T>) -> MutexGuard<'_, T> {
    lock.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Keeps a link to one address while there is something to send.
async fn dialling(shared: Arc<Shared>, to: process::Peer, mut waiting: mpsc::Receiver<Bytes>) {
    let address = to.address;
    loop {
        let first = tokio::select! {
            () = shared.stop.cancelled() => return,
            first = waiting.recv() => first,
        };
        let Some(first) = first else { return };
        match link::dial_from(shared.local, address, &shared.identity()).await {
            Ok(link) if link.peer.host != to.host => {
                let found = link.peer.host;
                tracing::warn!(host = to.host, %address, found, "another host is there");
            }
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
    shared.learn(peer.host, link.address);
    let life = {
        let mut accepted = locked(&shared.accepted);
        let life = accepted.get(&peer.host).map_or(0, |lane| lane.life + 1);
        accepted.insert(peer.host, Lane { queue, life });
        life
    };
    run(shared, link, None, &mut waiting).await;
    let mut accepted = locked(&shared.accepted);
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
        ..
    } = link;
    let sending = async {
        let mut next = first;
        loop {
            let bytes = match next.take() {
                Some(bytes) => bytes,
                None => match timeout(KEEP_ALIVE, waiting.recv()).await {
                    Ok(Some(bytes)) => bytes,
                    Ok(None) => return Ok(()),
                    Err(_) => KEEP_ALIVE_FRAME,
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
        while let Ok(next) = timeout(SILENCE, receiver.next()).await {
            let Some(bytes) = next? else { return Ok(()) };
            if bytes != KEEP_ALIVE_FRAME && !shared.cut.borrow().contains(&peer.host) {
                shared.deliver(peer, &bytes);
            }
        }
        tracing::info!(host = peer.host, "a link is silent and is closed");
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
