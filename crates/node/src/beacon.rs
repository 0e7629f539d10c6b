//! Datagrams of one process: lease renewals and their answers.
//!
//! They go over UDP so that they do not wait behind a large view on a link.

use std::net::SocketAddr;

use cornelhitch_types::id::{HostId, Incarnation};
use cornelhitch_wire::datagram::{LIMIT, Opener, Sealer};
use cornelhitch_wire::hello::{Identity, Peer};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::message::{Datagram, Incoming, Said};
use crate::metrics::{Count, Metrics};
use crate::switch::Inbox;

/// One datagram to send.
#[derive(Debug)]
struct Outgoing {
    to: Peer,
    address: SocketAddr,
    datagram: Datagram,
}

/// The way to the task that owns the socket.
#[derive(Debug, Clone)]
pub struct Beacon {
    me: Peer,
    inbox: Inbox,
    queue: mpsc::UnboundedSender<Outgoing>,
}

/// What a beacon is started with.
#[derive(Debug)]
pub struct Setup {
    /// Who this process is; it changes when the key file does.
    pub identity: watch::Receiver<Identity>,
    /// The socket, bound to the peers' address.
    pub socket: UdpSocket,
    /// Where incoming datagrams go.
    pub inbox: Inbox,
    /// Counters.
    pub metrics: Metrics,
    /// Ends the task.
    pub stop: CancellationToken,
    /// Hosts with which nothing is exchanged, for tests of partitions.
    pub cut: watch::Receiver<Vec<HostId>>,
}

impl Beacon {
    /// Starts the task that owns the socket.
    #[must_use]
    pub fn start(setup: Setup) -> Self {
        let me = {
            let identity = setup.identity.borrow();
            Peer {
                host: identity.host,
                incarnation: identity.incarnation,
            }
        };
        let (queue, waiting) = mpsc::unbounded_channel();
        let inbox = setup.inbox.clone();
        tokio::spawn(run(setup, waiting));
        Self { me, inbox, queue }
    }

    /// Sends a datagram; it may be lost.
    pub fn send(&self, to: Peer, address: SocketAddr, datagram: Datagram) {
        if to.host == self.me.host {
            let said = Said::Datagram(datagram, address);
            self.inbox.deliver(Incoming {
                from: self.me,
                said,
            });
            return;
        }
        let _ = self.queue.send(Outgoing {
            to,
            address,
            datagram,
        });
    }

    /// This life of the process.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.me.incarnation
    }
}

/// Owns the socket.
async fn run(setup: Setup, mut waiting: mpsc::UnboundedReceiver<Outgoing>) {
    let mut sealer = Sealer::default();
    let mut opener = Opener::default();
    let mut buffer = [0; LIMIT];
    loop {
        tokio::select! {
            () = setup.stop.cancelled() => return,
            outgoing = waiting.recv() => match outgoing {
                Some(outgoing) => send(&setup, &mut sealer, &outgoing).await,
                None => return,
            },
            received = setup.socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => open(&setup, &mut opener, &buffer[..length], from),
                Err(error) => tracing::debug!(%error, "no datagram"),
            },
        }
    }
}

/// Seals and sends one datagram.
async fn send(setup: &Setup, sealer: &mut Sealer, outgoing: &Outgoing) {
    if setup.cut.borrow().contains(&outgoing.to.host) {
        return;
    }
    let identity = setup.identity.borrow().clone();
    let payload = postcard::to_stdvec(&outgoing.datagram).unwrap_or_default();
    match sealer.seal(&identity, outgoing.to, &payload) {
        Ok(bytes) => {
            setup.metrics.sent(bytes.len());
            if let Err(error) = setup.socket.send_to(&bytes, outgoing.address).await {
                tracing::debug!(address = %outgoing.address, %error, "a datagram was not sent");
            }
        }
        Err(error) => tracing::error!(%error, "a datagram cannot be sealed"),
    }
}

/// Opens one datagram and hands it on.
fn open(setup: &Setup, opener: &mut Opener, bytes: &[u8], address: SocketAddr) {
    let identity = setup.identity.borrow().clone();
    let refused = |error: &dyn std::fmt::Display| {
        setup.metrics.one(Count::DatagramsRefused);
        tracing::debug!(%address, %error, "a datagram was refused");
    };
    let (from, payload) = match opener.open(&identity, bytes) {
        Ok(pair) => pair,
        Err(error) => return refused(&error),
    };
    if setup.cut.borrow().contains(&from.host) {
        return;
    }
    match postcard::from_bytes(&payload) {
        Ok(datagram) => {
            setup.metrics.received(bytes.len());
            let said = Said::Datagram(datagram, address);
            setup.inbox.deliver(Incoming { from, said });
        }
        Err(error) => refused(&error),
    }
}
