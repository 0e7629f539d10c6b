//! The links to other hosts, over which messages are sent by host id.
//!
//! Voters are in the settings, and links to them are dialed when the first message is sent. Other
//! hosts dial this one and are answered on their own link; without such a link they are dialed at
//! the address that they or a leader reported. An idle link carries empty keep-alive frames, so
//! that a link that died without a reset is detected and dialed again. Delivery is best effort and
//! in order within a link; a sender that needs a guarantee has to resend the message.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use cornelhitch_settings::process;
use cornelhitch_types::id::HostId;
use cornelhitch_wire::hello::{Identity, ProcessId};
use cornelhitch_wire::link::{self, Link};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::listener_limits::handshakes;
use crate::log_limit::LogLimiter;
use crate::message::{Downward, Incoming, Message, PeerEvent};
use crate::metrics::{Count, Metrics};
use crate::shared_memory::{Reservation, SharedMemory};

/// Maximum number of messages queued for a link; further ones are dropped.
const QUEUE_CAPACITY: usize = 8_192;

/// Idle time after which a keep-alive frame is sent.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(700);

/// The payload of a keep-alive frame: empty, unlike that of any message.
const KEEP_ALIVE_FRAME: Bytes = Bytes::new();

/// Time without a frame after which a link counts as dead: three times [`KEEP_ALIVE_INTERVAL`], so
/// that one late frame does no harm, and less than the time for which hosts may lose contact. TCP
/// alone would take minutes.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_100);

/// Handshakes that one address may have in progress for each that is free.
const HANDSHAKES_SHARE: usize = 1;

/// Pause after a link could not be opened or accepted, or has ended.
const BACKOFF: Duration = Duration::from_millis(250);

/// The queues for incoming messages and datagrams.
#[derive(Debug, Clone)]
pub struct Inbox {
    /// The control task's queue, on a host with that role.
    pub control: Option<mpsc::UnboundedSender<Incoming>>,
    /// The session task's queue.
    pub session: mpsc::UnboundedSender<Incoming>,
}

impl Inbox {
    /// Delivers a message to the task that it is meant for.
    pub fn deliver(&self, incoming: Incoming) {
        let upward = match &incoming.event {
            PeerEvent::Message(
                Message::Quorum(_)
                | Message::Upward(_)
                | Message::Downward(Downward::HeartbeatsTaken { .. }),
            ) => true,
            PeerEvent::Datagram(datagram, _) => {
                matches!(datagram, crate::message::Datagram::Renew { .. })
            }
            PeerEvent::Message(Message::Downward(_)) | PeerEvent::Linked => false,
        };
        let sent = match (&self.control, upward) {
            (Some(control), true) => control.send(incoming),
            (None, true) => Ok(()),
            (_, false) => self.session.send(incoming),
        };
        if sent.is_err() {
            tracing::debug!("message from a peer dropped: the receiving task has ended");
        }
    }
}

/// The queue of an accepted link, and its number among those accepted from the host.
#[derive(Debug, Clone)]
struct AcceptedLink {
    queue: mpsc::Sender<Bytes>,
    generation: u64,
}

/// The queue of a link that this host dials, and the address it leads to.
#[derive(Debug, Clone)]
struct DialedLink {
    queue: mpsc::Sender<Bytes>,
    address: SocketAddr,
}

/// The links of one process; clones share them.
#[derive(Debug, Clone)]
pub struct Links {
    shared: Arc<Shared>,
}

/// The state that all clones of [`Links`] and the link tasks share.
#[derive(Debug)]
struct Shared {
    me: ProcessId,
    inbox: Inbox,
    identity: watch::Receiver<Identity>,
    metrics: Metrics,
    stop: CancellationToken,
    /// Addresses of the hosts in the settings; reported addresses don't change them.
    configured: HashMap<HostId, SocketAddr>,
    /// The port of all peers, if host ids encode IPv4 addresses.
    common_port: Option<u16>,
    /// The local address to connect from, if it has to be a particular one.
    local: Option<IpAddr>,
    /// Reported addresses of other hosts.
    learned: Mutex<HashMap<HostId, SocketAddr>>,
    /// Queues of dialed links, by host.
    dialed: Mutex<HashMap<HostId, DialedLink>>,
    /// Queues of accepted links, by host; the newest link replaces an earlier one.
    accepted: Mutex<HashMap<HostId, AcceptedLink>>,
    /// Hosts with which no traffic is exchanged, to simulate network partitions in tests.
    blocked_peers: watch::Receiver<Vec<HostId>>,
    /// Handshakes in progress, of which each address has its share.
    handshakes: SharedMemory<IpAddr>,
    /// Limits the log lines about links that are refused.
    log_limit: Mutex<LogLimiter>,
    /// Runs the links, whichever thread asks for one.
    runtime: Handle,
}

/// Everything that [`Links::start`] needs.
#[derive(Debug)]
pub struct Setup {
    /// This process's identity; it changes with the key file.
    pub identity: watch::Receiver<Identity>,
    /// The listener for peers.
    pub listener: TcpListener,
    /// The voters of the settings, with their fixed addresses.
    pub voters: Vec<process::Peer>,
    /// The port of all peers, if host ids encode IPv4 addresses.
    pub common_port: Option<u16>,
    /// The local address to connect from, if it has to be a particular one.
    pub local: Option<IpAddr>,
    /// Where incoming messages go.
    pub inbox: Inbox,
    /// The metrics of this process.
    pub metrics: Metrics,
    /// Cancelled when the process stops.
    pub stop: CancellationToken,
    /// Hosts with which no traffic is exchanged, to simulate network partitions in tests.
    pub blocked_peers: watch::Receiver<Vec<HostId>>,
}

impl Links {
    /// Starts accepting links; outgoing ones are dialed on demand.
    #[must_use]
    pub fn start(setup: Setup) -> Self {
        let me = {
            let identity = setup.identity.borrow();
            ProcessId {
                host: identity.host,
                incarnation: identity.incarnation,
            }
        };
        let others = setup.voters.iter().filter(|voter| voter.host != me.host);
        let configured = others.map(|voter| (voter.host, voter.address));
        let shared = Arc::new(Shared {
            me,
            inbox: setup.inbox,
            identity: setup.identity,
            metrics: setup.metrics,
            stop: setup.stop,
            configured: configured.collect(),
            common_port: setup.common_port,
            local: setup.local,
            learned: Mutex::default(),
            dialed: Mutex::default(),
            accepted: Mutex::default(),
            blocked_peers: setup.blocked_peers,
            handshakes: SharedMemory::new(handshakes(), HANDSHAKES_SHARE),
            log_limit: Mutex::default(),
            runtime: Handle::current(),
        });
        tokio::spawn(accept_links(shared.clone(), setup.listener));
        Self { shared }
    }

    /// Returns a host's address, or `None` if it is unknown.
    #[must_use]
    pub fn address(&self, host: HostId) -> Option<SocketAddr> {
        if host == self.shared.me.host {
            return Some(self.shared.identity.borrow().address);
        }
        self.shared.address(host)
    }

    /// Stores the address of a host that another host reported, and returns the one to use.
    ///
    /// The settings, and the address that the host itself gave on an open link, take precedence.
    #[must_use]
    pub fn learn_address(&self, reported: &process::Peer) -> SocketAddr {
        let host = reported.host;
        let linked = lock(&self.shared.accepted).contains_key(&host);
        let usable = !reported.address.ip().is_unspecified();
        if !linked && usable && host != self.shared.me.host {
            self.shared.learn_address(host, reported.address);
        }
        self.address(host).unwrap_or(reported.address)
    }

    /// Opens the link to a host in advance, so that the first message need not wait for it.
    pub fn open(&self, to: HostId) {
        if to != self.shared.me.host
            && let Some(queue) = self.shared.queue(to)
        {
            let _ = queue.try_send(KEEP_ALIVE_FRAME);
        }
    }

    /// Sends a message to a host; it is dropped if the host's address is unknown.
    pub fn send(&self, to: HostId, message: Message) {
        if to == self.shared.me.host {
            return self.shared.send_to_self(message);
        }
        self.shared.send(to, &mut LazyMessage::new(&message));
    }

    /// Sends a message to several hosts, encoding it at most once.
    pub fn send_all(&self, hosts: impl IntoIterator<Item = HostId>, message: &Message) {
        let mut encoded = LazyMessage::new(message);
        for to in hosts {
            if to == self.shared.me.host {
                self.shared.send_to_self(message.clone());
            } else {
                self.shared.send(to, &mut encoded);
            }
        }
    }
}

/// A message that is encoded on first use.
struct LazyMessage<'a> {
    message: &'a Message,
    bytes: Option<Bytes>,
}

impl<'a> LazyMessage<'a> {
    /// Wraps a message without encoding it yet.
    fn new(message: &'a Message) -> Self {
        Self {
            message,
            bytes: None,
        }
    }

    /// Returns the encoded message, or `None` if it cannot be encoded.
    fn bytes(&mut self) -> Option<Bytes> {
        if self.bytes.is_none() {
            match postcard::to_stdvec(self.message) {
                Ok(bytes) => self.bytes = Some(bytes.into()),
                Err(error) => tracing::error!(%error, "cannot encode a peer message; dropped"),
            }
        }
        self.bytes.clone()
    }
}

impl Shared {
    /// Delivers a message from this process to itself.
    fn send_to_self(&self, message: Message) {
        let event = PeerEvent::Message(message);
        let from = self.me;
        self.inbox.deliver(Incoming { from, event });
    }

    /// Queues a message for another host, if its address is known.
    fn send(self: &Arc<Self>, to: HostId, message: &mut LazyMessage) {
        if self.blocked_peers.borrow().contains(&to) {
            return;
        }
        let Some(queue) = self.queue(to) else {
            self.metrics.increment(Count::DroppedNoLink);
            return;
        };
        let Some(bytes) = message.bytes() else {
            return;
        };
        self.metrics.sent(bytes.len());
        if queue.try_send(bytes).is_err() {
            self.metrics.increment(Count::DroppedQueueFull);
        }
    }

    /// Returns the queue of the link to a host; starts dialing if there is none.
    fn queue(self: &Arc<Self>, to: HostId) -> Option<mpsc::Sender<Bytes>> {
        if !self.configured.contains_key(&to)
            && let Some(link) = lock(&self.accepted).get(&to)
        {
            return Some(link.queue.clone());
        }
        let address = self.address(to)?;
        let mut dialed = lock(&self.dialed);
        if let Some(link) = dialed.get(&to).filter(|link| link.address == address) {
            return Some(link.queue.clone());
        }
        // The task that dials an earlier address ends when its queue is dropped.
        let (queue, queued) = mpsc::channel(QUEUE_CAPACITY);
        let host = to;
        let peer = process::Peer { host, address };
        let dialing = dial_link(self.clone(), peer, queued);
        self.runtime.spawn(dialing);
        let link = DialedLink { queue, address };
        dialed.insert(to, link.clone());
        Some(link.queue)
    }

    /// Returns another host's address: from the settings, reported, or derived from its id.
    fn address(&self, host: HostId) -> Option<SocketAddr> {
        let configured = self.configured.get(&host).copied();
        let known = configured.or_else(|| lock(&self.learned).get(&host).copied());
        known.or_else(|| address_from_id(host, self.common_port?))
    }

    /// Stores a reported address, unless the settings have one.
    fn learn_address(&self, host: HostId, address: SocketAddr) {
        if !self.configured.contains_key(&host) {
            lock(&self.learned).insert(host, address);
        }
    }

    /// Decodes a message from a peer and delivers it.
    fn deliver(&self, from: ProcessId, bytes: &Bytes) {
        self.metrics.received(bytes.len());
        match postcard::from_bytes::<Message>(bytes) {
            Ok(message) => self.inbox.deliver(Incoming {
                from,
                event: PeerEvent::Message(message),
            }),
            Err(error) => {
                self.metrics.increment(Count::DroppedMalformed);
                tracing::warn!(
                    host = from.host, %error,
                    "cannot decode a message from a peer; message dropped"
                );
            }
        }
    }

    /// Counts and logs a connection to the listener of peers that did not become a link.
    fn refuse_link(&self, address: SocketAddr, error: &dyn std::fmt::Display) {
        self.metrics.increment(Count::LinksRefused);
        if lock(&self.log_limit).allow() {
            tracing::warn!(%address, %error, "refused a link from a peer");
        }
    }

    /// Returns the current identity of this process.
    fn identity(&self) -> Identity {
        self.identity.borrow().clone()
    }
}

/// Decodes the IPv4 address that a host id encodes; `None` if the id exceeds 32 bits.
fn address_from_id(host: HostId, port: u16) -> Option<SocketAddr> {
    let ip = Ipv4Addr::from_bits(u32::try_from(host).ok()?);
    Some(SocketAddr::new(ip.into(), port))
}

/// Locks a mutex, ignoring poisoning: no critical section leaves the value inconsistent.
fn lock<T>(lock: &Mutex<T>) -> MutexGuard<'_, T> {
    lock.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Dials a host whenever there is something to send, and runs the link until it ends.
async fn dial_link(shared: Arc<Shared>, to: process::Peer, mut queued: mpsc::Receiver<Bytes>) {
    let address = to.address;
    loop {
        let first = tokio::select! {
            () = shared.stop.cancelled() => return,
            first = queued.recv() => first,
        };
        let Some(first) = first else { return };
        match link::dial_from(shared.local, address, &shared.identity()).await {
            Ok(link) if link.peer.host != to.host => {
                let found = link.peer.host;
                tracing::warn!(
                    host = to.host, %address, found,
                    "dialed a peer, but another host answered at its address; link closed"
                );
            }
            Ok(link) => {
                shared.inbox.deliver(Incoming {
                    from: link.peer,
                    event: PeerEvent::Linked,
                });
                run_link(&shared, link, Some(first), &mut queued).await;
            }
            Err(error) => tracing::debug!(%address, %error, "cannot open a link; queue dropped"),
        }
        // Messages queued for the broken link are stale; senders repeat those that matter.
        while queued.try_recv().is_ok() {}
        tokio::time::sleep(BACKOFF).await;
    }
}

/// Accepts links from other hosts until the process stops.
async fn accept_links(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            () = shared.stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, address)) => {
                let mut handshake = shared.handshakes.reservation(&address.ip());
                if handshake.resize(1) {
                    tokio::spawn(accept_link(shared.clone(), stream, address, handshake));
                } else {
                    shared.refuse_link(address, &"too many handshakes are in progress");
                }
            }
            Err(error) => {
                tracing::warn!(
                    %error,
                    "cannot accept a connection from a peer; retrying after a pause"
                );
                tokio::time::sleep(BACKOFF).await;
            }
        }
    }
}

/// Performs the handshake on a connection of a peer and runs the link.
async fn accept_link(
    shared: Arc<Shared>,
    stream: TcpStream,
    address: SocketAddr,
    handshake: Reservation<IpAddr>,
) {
    let accepted = link::accept(stream, &shared.identity()).await;
    drop(handshake);
    match accepted {
        Ok(link) => serve_accepted(&shared, link).await,
        Err(error) => shared.refuse_link(address, &error),
    }
}

/// Runs an accepted link, whose queue is available to senders until it ends.
async fn serve_accepted(shared: &Arc<Shared>, link: Link) {
    let peer = link.peer;
    let (queue, mut queued) = mpsc::channel(QUEUE_CAPACITY);
    shared.learn_address(peer.host, link.address);
    let generation = {
        let mut accepted = lock(&shared.accepted);
        let generation = accepted
            .get(&peer.host)
            .map_or(0, |link| link.generation + 1);
        accepted.insert(peer.host, AcceptedLink { queue, generation });
        generation
    };
    run_link(shared, link, None, &mut queued).await;
    let mut accepted = lock(&shared.accepted);
    if accepted
        .get(&peer.host)
        .is_some_and(|link| link.generation == generation)
    {
        accepted.remove(&peer.host);
    }
}

/// Sends and receives on a link until it fails, times out or the process stops.
async fn run_link(
    shared: &Arc<Shared>,
    link: Link,
    first: Option<Bytes>,
    queued: &mut mpsc::Receiver<Bytes>,
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
                None => match timeout(KEEP_ALIVE_INTERVAL, queued.recv()).await {
                    Ok(Some(bytes)) => bytes,
                    Ok(None) => return Ok(()),
                    Err(_) => KEEP_ALIVE_FRAME,
                },
            };
            sender.feed(bytes).await?;
            // One flush for all queued messages saves system calls under load.
            while let Ok(bytes) = queued.try_recv() {
                sender.feed(bytes).await?;
            }
            sender.flush().await?;
        }
    };
    let receiving = async {
        while let Ok(next) = timeout(SILENCE_TIMEOUT, receiver.next()).await {
            let Some(bytes) = next? else { return Ok(()) };
            if bytes != KEEP_ALIVE_FRAME && !shared.blocked_peers.borrow().contains(&peer.host) {
                shared.deliver(peer, &bytes);
            }
        }
        tracing::info!(
            host = peer.host,
            "closing a link on which nothing has arrived within the silence timeout"
        );
        Ok(())
    };
    let ended: Result<(), cornelhitch_wire::frame::Error> = tokio::select! {
        () = shared.stop.cancelled() => Ok(()),
        ended = sending => ended,
        ended = receiving => ended,
    };
    if let Err(error) = ended {
        tracing::debug!(host = peer.host, %error, "link failed");
    }
}
