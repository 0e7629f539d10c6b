//! Authenticated TCP connections between two processes that hold the same key.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpSocket, TcpStream};
use tokio_util::codec::{FramedRead, FramedWrite};

use crate::frame::{self, Codec};
use crate::hello::{Hello, Identity, ProcessId, VERSION};

/// Time limit for connecting, and again for the handshake.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// Direction from the side that connected.
const DIALER_TO_ACCEPTOR: u8 = 1;

/// Direction from the side that accepted.
const ACCEPTOR_TO_DIALER: u8 = 2;

/// Payload of the first frame in each direction; its authentication code proves possession of the
/// key.
const PROOF: &[u8] = b"cornelhitch";

/// Why a link could not be established.
#[derive(Debug, Snafu)]
pub enum Error {
    /// Connecting failed.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Connect {
        /// The peer's address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// Connecting or the handshake took longer than [`HANDSHAKE_TIMEOUT`].
    #[snafu(display("connecting or the handshake took longer than {HANDSHAKE_TIMEOUT:?}"))]
    Timeout,
    /// The connection failed or was closed during the handshake.
    #[snafu(display("the connection failed during the handshake: {source}"))]
    Io {
        /// The cause.
        source: std::io::Error,
    },
    /// Sending the proof failed.
    #[snafu(display("{source}"), context(false))]
    Frame {
        /// The cause.
        source: frame::Error,
    },
    /// The hello cannot be encoded or decoded.
    #[snafu(display("invalid hello: {source}"))]
    InvalidHello {
        /// The cause.
        source: postcard::Error,
    },
    /// The peer has another protocol version.
    #[snafu(display("expected protocol version {VERSION}, but the peer has version {found}"))]
    VersionMismatch {
        /// The peer's version.
        found: u8,
    },
    /// The peer belongs to another cluster.
    #[snafu(display("host {} belongs to another cluster", peer.host))]
    WrongCluster {
        /// The claimed peer, not authenticated.
        peer: ProcessId,
    },
    /// The peer uses a key that is not in this process's keyring.
    #[snafu(display("host {} uses a key that is not in the key file", peer.host))]
    UnknownKey {
        /// The claimed peer, not authenticated.
        peer: ProcessId,
    },
    /// The peer did not prove that it holds the key.
    #[snafu(display("host {} did not prove that it holds the key", peer.host))]
    ProofFailed {
        /// The claimed peer, not authenticated.
        peer: ProcessId,
    },
}

/// An authenticated connection to a peer.
#[derive(Debug)]
pub struct Link {
    /// The peer.
    pub peer: ProcessId,
    /// The address at which the peer is reached, authenticated as part of the handshake.
    pub address: SocketAddr,
    /// The sending half.
    pub sender: Sender,
    /// The receiving half.
    pub receiver: Receiver,
}

/// The sending half of a link.
#[derive(Debug)]
pub struct Sender(FramedWrite<OwnedWriteHalf, Codec>);

/// The receiving half of a link.
#[derive(Debug)]
pub struct Receiver(FramedRead<OwnedReadHalf, Codec>);

impl Sender {
    /// Sends a payload and flushes.
    ///
    /// # Errors
    /// Fails if the connection failed or the payload exceeds [`frame::MAX_PAYLOAD_BYTES`].
    pub async fn send(&mut self, payload: Bytes) -> Result<(), frame::Error> {
        self.0.send(payload).await
    }

    /// Buffers a payload; it is sent on the next flush or when the buffer is full.
    ///
    /// # Errors
    /// Fails if the connection failed or the payload exceeds [`frame::MAX_PAYLOAD_BYTES`].
    pub async fn feed(&mut self, payload: Bytes) -> Result<(), frame::Error> {
        self.0.feed(payload).await
    }

    /// Sends all buffered payloads.
    ///
    /// # Errors
    /// Fails if the connection failed.
    pub async fn flush(&mut self) -> Result<(), frame::Error> {
        SinkExt::<Bytes>::flush(&mut self.0).await
    }
}

impl Receiver {
    /// Returns the next payload, or `None` once the peer has closed the link.
    ///
    /// # Errors
    /// Fails if the connection failed or a frame is rejected.
    pub async fn next(&mut self) -> Result<Option<Bytes>, frame::Error> {
        self.0.next().await.transpose()
    }
}

/// Connects to a peer and performs the handshake.
///
/// # Errors
/// Fails if the peer cannot be reached or does not prove that it holds a key of this cluster.
pub async fn dial(address: SocketAddr, identity: &Identity) -> Result<Link, Error> {
    dial_from(None, address, identity).await
}

/// Connects to a peer like [`dial`], from the given local address if any.
///
/// # Errors
/// Fails if the peer cannot be reached or does not prove that it holds a key of this cluster.
pub async fn dial_from(
    local: Option<IpAddr>,
    address: SocketAddr,
    identity: &Identity,
) -> Result<Link, Error> {
    let connected = tokio::time::timeout(HANDSHAKE_TIMEOUT, connect(local, address)).await;
    let mut stream = connected
        .ok()
        .context(TimeoutSnafu)?
        .context(ConnectSnafu { address })?;
    let handshake = async {
        let own_hello = Hello::new(identity, identity.keys.sending_key().id);
        let sent = send_hello(&mut stream, &own_hello).await?;
        let (peer_hello, received) = receive_hello(&mut stream, identity).await?;
        let transcript = [&sent[..], &received[..]].concat();
        authenticate(
            stream,
            identity,
            &peer_hello,
            &transcript,
            DIALER_TO_ACCEPTOR,
        )
        .await
    };
    let result = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await;
    result.ok().context(TimeoutSnafu)?
}

/// Opens a TCP connection, from the given local address if any.
async fn connect(local: Option<IpAddr>, address: SocketAddr) -> std::io::Result<TcpStream> {
    let Some(local) = local else {
        return TcpStream::connect(address).await;
    };
    let socket = match local {
        IpAddr::V4(_) => TcpSocket::new_v4()?,
        IpAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(local, 0))?;
    socket.connect(address).await
}

/// Performs the handshake on a connection opened by a peer.
///
/// # Errors
/// Fails if the peer does not prove that it holds a key of this cluster.
pub async fn accept(mut stream: TcpStream, identity: &Identity) -> Result<Link, Error> {
    let handshake = async {
        let (peer_hello, received) = receive_hello(&mut stream, identity).await?;
        let own_hello = Hello::new(identity, peer_hello.key);
        let sent = send_hello(&mut stream, &own_hello).await?;
        let transcript = [&received[..], &sent[..]].concat();
        authenticate(
            stream,
            identity,
            &peer_hello,
            &transcript,
            ACCEPTOR_TO_DIALER,
        )
        .await
    };
    let result = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await;
    result.ok().context(TimeoutSnafu)?
}

/// Sends a hello and returns its encoded bytes.
async fn send_hello(stream: &mut TcpStream, hello: &Hello) -> Result<Vec<u8>, Error> {
    stream.set_nodelay(true).context(IoSnafu)?;
    let bytes = postcard::to_stdvec(hello).context(InvalidHelloSnafu)?;
    let length = u8::try_from(bytes.len()).unwrap_or(u8::MAX);
    let packet = [&[length], &bytes[..]].concat();
    stream.write_all(&packet).await.context(IoSnafu)?;
    Ok(bytes)
}

/// Receives and checks the peer's hello and returns it with its encoded bytes.
///
/// Reads nothing beyond the hello, since the following bytes belong to authenticated frames.
async fn receive_hello(
    stream: &mut TcpStream,
    identity: &Identity,
) -> Result<(Hello, Vec<u8>), Error> {
    let length = stream.read_u8().await.context(IoSnafu)?;
    let mut bytes = vec![0; usize::from(length)];
    stream.read_exact(&mut bytes).await.context(IoSnafu)?;
    let hello: Hello = postcard::from_bytes(&bytes).context(InvalidHelloSnafu)?;
    let (found, peer) = (hello.version, hello.peer);
    ensure!(found == VERSION, VersionMismatchSnafu { found });
    ensure!(
        hello.cluster == identity.cluster,
        WrongClusterSnafu { peer }
    );
    Ok((hello, bytes))
}

/// Exchanges proofs under session keys derived from both hellos and returns the link if the peer
/// holds the key.
async fn authenticate(
    stream: TcpStream,
    identity: &Identity,
    peer_hello: &Hello,
    transcript: &[u8],
    outgoing_direction: u8,
) -> Result<Link, Error> {
    let peer = peer_hello.peer;
    let key = identity
        .keys
        .find(peer_hello.key)
        .context(UnknownKeySnafu { peer })?;
    let incoming_direction = DIALER_TO_ACCEPTOR + ACCEPTOR_TO_DIALER - outgoing_direction;
    let address = peer_hello.reachable_address(stream.peer_addr().context(IoSnafu)?);
    let (read, write) = stream.into_split();
    let incoming = Codec::from(key.session_key(transcript, incoming_direction));
    let outgoing = Codec::from(key.session_key(transcript, outgoing_direction));
    let mut sender = Sender(FramedWrite::new(write, outgoing));
    let mut receiver = Receiver(FramedRead::new(read, incoming));
    sender.send(Bytes::from_static(PROOF)).await?;
    let proof = receiver.next().await.ok().flatten();
    ensure!(proof.as_deref() == Some(PROOF), ProofFailedSnafu { peer });
    Ok(Link {
        peer,
        address,
        sender,
        receiver,
    })
}
