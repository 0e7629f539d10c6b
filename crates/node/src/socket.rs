//! Binds the sockets of one process.

use std::net::SocketAddr;

use cornelhitch_settings::process::ProcessSettings;
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, TcpSocket, UdpSocket};

/// Connections that wait to be accepted on each listener; the system may allow fewer. With the 128 of the
/// runtime's default, a crowd that reconnects keeps the queue full, and the system drops the first packet of
/// others, who try again only after 1, 3, 7 and 15 s.
const ACCEPT_QUEUE: u32 = 4_096;

/// Maximum attempts to find a port free for both TCP and UDP, if the settings name none.
const MAX_BIND_TRIES: usize = 32;

/// Why a socket cannot be bound.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An address is in use or not an address of this host.
    #[snafu(display("{what} on {address}: {source}"))]
    Bind {
        /// What was attempted.
        what: &'static str,
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
}

impl Error {
    /// Returns whether the address is in use by another socket.
    #[must_use]
    pub fn is_taken(&self) -> bool {
        let Self::Bind { source, .. } = self;
        source.kind() == std::io::ErrorKind::AddrInUse
    }
}

/// The bound sockets of one process, not yet served.
#[derive(Debug)]
pub struct Sockets {
    /// For callers and targets.
    pub callers: TcpListener,
    /// For operators.
    pub operators: TcpListener,
    /// For links from peers.
    pub peer_links: TcpListener,
    /// For datagrams from peers, on the same port as `peer_links`.
    pub datagrams: UdpSocket,
    /// For targets and operators, on a control host.
    pub registry: Option<TcpListener>,
    /// For requests that this host answers without a target.
    pub pages: Vec<TcpListener>,
    /// For readers of metrics.
    pub metrics: Option<TcpListener>,
}

/// The addresses that were bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// For callers and targets.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For peers, over TCP and UDP.
    pub peers: SocketAddr,
}

impl Sockets {
    /// Binds the addresses of the settings; with port 0 the system chooses a port.
    ///
    /// # Errors
    /// Returns an error if an address is in use or not an address of this host.
    pub async fn bind(process: &ProcessSettings) -> Result<Self, Error> {
        let callers = listen("cannot listen for callers", process.callers)?;
        let operators = listen("cannot listen for operators", process.operators)?;
        let listen_at = process.peers_listen.unwrap_or(process.peers);
        let (peer_links, datagrams) = bind_peers(listen_at).await?;
        let mut pages = Vec::new();
        for address in [process.directory, process.ready].into_iter().flatten() {
            pages.push(listen(
                "cannot listen for readiness checks and directory queries",
                address,
            )?);
        }
        Ok(Self {
            callers,
            operators,
            peer_links,
            datagrams,
            registry: listen_optional("cannot listen for targets", process.registry)?,
            pages,
            metrics: listen_optional("cannot listen for readers of metrics", process.metrics)?,
        })
    }

    /// Returns the addresses that were bound.
    ///
    /// # Errors
    /// Returns an error if the system cannot report an address.
    pub fn addresses(&self) -> std::io::Result<Addresses> {
        Addresses::of(&self.callers, &self.operators, &self.peer_links)
    }
}

impl Addresses {
    /// Returns the local addresses of listeners.
    ///
    /// # Errors
    /// Returns an error if the system cannot report an address.
    pub fn of(
        callers: &TcpListener,
        operators: &TcpListener,
        links: &TcpListener,
    ) -> std::io::Result<Self> {
        Ok(Self {
            callers: callers.local_addr()?,
            operators: operators.local_addr()?,
            peers: links.local_addr()?,
        })
    }
}

/// Listens on an address, if there is one.
fn listen_optional(
    what: &'static str,
    address: Option<SocketAddr>,
) -> Result<Option<TcpListener>, Error> {
    match address {
        Some(address) => listen(what, address).map(Some),
        None => Ok(None),
    }
}

/// Binds a listener with a queue of [`ACCEPT_QUEUE`] connections.
fn bind_with_queue(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    // As `TcpListener::bind` does: a restarted host can bind while old connections wait for their end.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_QUEUE)
}

/// Listens on an address.
fn listen(what: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    bind_with_queue(address).context(BindSnafu { what, address })
}

/// Binds TCP and UDP on the same port.
async fn bind_peers(address: SocketAddr) -> Result<(TcpListener, UdpSocket), Error> {
    let mut tries = if address.port() == 0 {
        MAX_BIND_TRIES
    } else {
        1
    };
    loop {
        let links = listen("cannot listen for peers", address)?;
        let what = "cannot receive datagrams from peers";
        let bound = links.local_addr().context(BindSnafu { what, address })?;
        let datagrams = UdpSocket::bind(bound).await;
        tries -= 1;
        match datagrams {
            Ok(datagrams) => return Ok((links, datagrams)),
            Err(source) if tries == 0 => return Err(source).context(BindSnafu { what, address }),
            Err(_) => {}
        }
    }
}
