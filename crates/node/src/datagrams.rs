//! The UDP socket for lease renewals and lease grants.
//!
//! Leases use UDP to avoid head-of-line blocking behind a large view on a link.

use std::net::SocketAddr;

use cornelhitch_types::id::{HostId, Incarnation};
use cornelhitch_wire::datagram::{Authenticator, MAX_DATAGRAM_BYTES, Verifier};
use cornelhitch_wire::hello::{Identity, ProcessId};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::links::Inbox;
use crate::message::{Datagram, Incoming, PeerEvent};
use crate::metrics::{Count, Metrics};

/// A datagram to send.
#[derive(Debug)]
struct Outgoing {
    to: ProcessId,
    address: SocketAddr,
    datagram: Datagram,
}

/// A handle to the task that owns the socket.
#[derive(Debug, Clone)]
pub struct DatagramSocket {
    me: ProcessId,
    inbox: Inbox,
    queue: mpsc::UnboundedSender<Outgoing>,
}

/// Everything that [`DatagramSocket::start`] needs.
#[derive(Debug)]
pub struct Setup {
    /// This process's identity; it changes with the key file.
    pub identity: watch::Receiver<Identity>,
    /// The socket, bound to the peers' address.
    pub socket: UdpSocket,
    /// Where incoming datagrams go.
    pub inbox: Inbox,
    /// The metrics of this process.
    pub metrics: Metrics,
    /// Cancelled when the process stops.
    pub stop: CancellationToken,
    /// Hosts with which no traffic is exchanged, to simulate network partitions in tests.
    pub blocked_peers: watch::Receiver<Vec<HostId>>,
}

impl DatagramSocket {
    /// Starts the task that owns the socket.
    #[must_use]
    pub fn start(setup: Setup) -> Self {
        let me = {
            let identity = setup.identity.borrow();
            ProcessId {
                host: identity.host,
                incarnation: identity.incarnation,
            }
        };
        let (queue, queued) = mpsc::unbounded_channel();
        let inbox = setup.inbox.clone();
        tokio::spawn(run(setup, queued));
        Self { me, inbox, queue }
    }

    /// Sends a datagram, which may be lost; one to this host is delivered directly.
    pub fn send(&self, to: ProcessId, address: SocketAddr, datagram: Datagram) {
        if to.host == self.me.host {
            let event = PeerEvent::Datagram(datagram, address);
            self.inbox.deliver(Incoming {
                from: self.me,
                event,
            });
            return;
        }
        let _ = self.queue.send(Outgoing {
            to,
            address,
            datagram,
        });
    }

    /// Returns the incarnation of this process.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.me.incarnation
    }
}

/// Sends and receives datagrams until the process stops.
async fn run(setup: Setup, mut queued: mpsc::UnboundedReceiver<Outgoing>) {
    let mut authenticator = Authenticator::default();
    let mut verifier = Verifier::default();
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        tokio::select! {
            () = setup.stop.cancelled() => return,
            outgoing = queued.recv() => match outgoing {
                Some(outgoing) => send(&setup, &mut authenticator, &outgoing).await,
                None => return,
            },
            received = setup.socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => receive(&setup, &mut verifier, &buffer[..length], from),
                Err(error) => tracing::debug!(%error, "cannot receive from the datagram socket"),
            },
        }
    }
}

/// Seals and sends a datagram.
async fn send(setup: &Setup, authenticator: &mut Authenticator, outgoing: &Outgoing) {
    if setup.blocked_peers.borrow().contains(&outgoing.to.host) {
        return;
    }
    let identity = setup.identity.borrow().clone();
    let payload = postcard::to_stdvec(&outgoing.datagram).unwrap_or_default();
    match authenticator.authenticate(&identity, outgoing.to, &payload) {
        Ok(bytes) => {
            setup.metrics.sent(bytes.len());
            if let Err(error) = setup.socket.send_to(&bytes, outgoing.address).await {
                tracing::debug!(
                    address = %outgoing.address, %error,
                    "cannot send a datagram; datagram dropped"
                );
            }
        }
        Err(error) => tracing::error!(%error, "cannot seal a datagram; datagram dropped"),
    }
}

/// Verifies, decodes and delivers a datagram.
fn receive(setup: &Setup, verifier: &mut Verifier, bytes: &[u8], address: SocketAddr) {
    let identity = setup.identity.borrow().clone();
    let refused = |error: &dyn std::fmt::Display| {
        setup.metrics.increment(Count::DatagramsRefused);
        tracing::debug!(%address, %error, "datagram dropped: cannot verify or decode it");
    };
    let (from, payload) = match verifier.verify(&identity, bytes) {
        Ok(pair) => pair,
        Err(error) => return refused(&error),
    };
    if setup.blocked_peers.borrow().contains(&from.host) {
        return;
    }
    match postcard::from_bytes(&payload) {
        Ok(datagram) => {
            setup.metrics.received(bytes.len());
            let event = PeerEvent::Datagram(datagram, address);
            setup.inbox.deliver(Incoming { from, event });
        }
        Err(error) => refused(&error),
    }
}
