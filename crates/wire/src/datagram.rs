//! Authenticated UDP datagrams between two processes that know each other's incarnation.
//!
//! A datagram carries the incarnation of its receiver, which the sender learned over a
//! [`crate::link`]. A datagram recorded before the receiver restarted is therefore rejected; one
//! recorded since is rejected by a [`ReplayWindow`].

use std::collections::HashMap;

use bytes::{BufMut, Bytes, BytesMut};
use cornelhitch_types::id::{HostId, Incarnation};
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::hello::{Identity, ProcessId, VERSION};
use crate::key::MAC_BYTES;
use crate::window::ReplayWindow;

/// Maximum datagram size in bytes; fits into one Ethernet frame.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// The header that precedes the payload.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The sender's [`VERSION`].
    pub version: u8,
    /// The sender's cluster.
    pub cluster: u64,
    /// ID of the key used for the message authentication code.
    pub key: u32,
    /// The sending process.
    pub from: ProcessId,
    /// The receiving process.
    pub to: ProcessId,
    /// Sequence number of the datagram within the sender's incarnation and for this receiver, from
    /// 1.
    pub counter: u64,
}

/// Why a datagram is rejected.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum Error {
    /// The datagram is too long to send.
    #[snafu(display(
        "a datagram of {length} bytes exceeds the limit of {MAX_DATAGRAM_BYTES} bytes"
    ))]
    TooLong {
        /// Length of the datagram in bytes.
        length: usize,
    },
    /// The header cannot be encoded or decoded.
    #[snafu(display("invalid datagram header: {source}"))]
    Header {
        /// The cause.
        source: postcard::Error,
    },
    /// The datagram is truncated or has another version.
    #[snafu(display("a datagram that is truncated or not of version {VERSION}"))]
    Malformed,
    /// The sender belongs to another cluster.
    #[snafu(display("a datagram from another cluster"))]
    WrongCluster,
    /// The key is not in this process's keyring.
    #[snafu(display("host {} uses a key that is not in the key file", from.host))]
    UnknownKey {
        /// The claimed sender, not authenticated.
        from: ProcessId,
    },
    /// The message authentication code is wrong.
    #[snafu(display("a datagram claimed to be from host {} has a wrong authentication code", from.host))]
    InvalidMac {
        /// The claimed sender, not authenticated.
        from: ProcessId,
    },
    /// The datagram is addressed to another host or to another incarnation of this one.
    #[snafu(display("a datagram from host {} for another host or incarnation", from.host))]
    WrongReceiver {
        /// The sending process.
        from: ProcessId,
    },
    /// The datagram was received before or is too old, or its sender has restarted since.
    #[snafu(display("a datagram from host {} is replayed or too old", from.host))]
    Replayed {
        /// The sending process.
        from: ProcessId,
    },
}

/// Creates authenticated datagrams.
#[derive(Debug, Default)]
pub struct Authenticator {
    counters: HashMap<HostId, u64>,
}

impl Authenticator {
    /// Creates a datagram with `payload` for a peer.
    ///
    /// # Errors
    /// [`Error::TooLong`] if the datagram would exceed [`MAX_DATAGRAM_BYTES`].
    pub fn authenticate(
        &mut self,
        identity: &Identity,
        to: ProcessId,
        payload: &[u8],
    ) -> Result<Bytes, Error> {
        let counter = self.counters.entry(to.host).or_insert(0);
        *counter += 1;
        let key = identity.keys.sending_key();
        let header = Header {
            version: VERSION,
            cluster: identity.cluster,
            key: key.id,
            from: ProcessId {
                host: identity.host,
                incarnation: identity.incarnation,
            },
            to,
            counter: *counter,
        };
        let mut out = BytesMut::from(&postcard::to_stdvec(&header).context(HeaderSnafu)?[..]);
        out.put_slice(payload);
        let mac = key.mac(&[&out]);
        out.put_slice(&mac);
        let length = out.len();
        ensure!(length <= MAX_DATAGRAM_BYTES, TooLongSnafu { length });
        Ok(out.freeze())
    }
}

/// Verifies received datagrams.
#[derive(Debug, Default)]
pub struct Verifier {
    senders: HashMap<HostId, Sender>,
}

/// Replay protection state of one sender.
#[derive(Debug, Default)]
struct Sender {
    incarnation: Incarnation,
    window: ReplayWindow,
}

impl Verifier {
    /// Verifies a datagram and returns its sender and payload.
    ///
    /// # Errors
    /// Fails unless the datagram is authentic, not a replay, and addressed to this incarnation of
    /// this host.
    pub fn verify(
        &mut self,
        identity: &Identity,
        datagram: &[u8],
    ) -> Result<(ProcessId, Bytes), Error> {
        let end = datagram
            .len()
            .checked_sub(MAC_BYTES)
            .context(MalformedSnafu)?;
        let (authenticated, mac) = datagram.split_at(end);
        let (header, payload): (Header, _) =
            postcard::take_from_bytes(authenticated).context(HeaderSnafu)?;
        let from = header.from;
        ensure!(header.version == VERSION, MalformedSnafu);
        ensure!(header.cluster == identity.cluster, WrongClusterSnafu);
        let key = identity
            .keys
            .find(header.key)
            .context(UnknownKeySnafu { from })?;
        ensure!(key.verify(&[authenticated], mac), InvalidMacSnafu { from });
        let me = ProcessId {
            host: identity.host,
            incarnation: identity.incarnation,
        };
        ensure!(header.to == me, WrongReceiverSnafu { from });
        ensure!(self.accept_counter(&header), ReplayedSnafu { from });
        Ok((from, Bytes::copy_from_slice(payload)))
    }

    /// Records a datagram's counter. Returns whether it is new and not from an earlier incarnation
    /// of the sender.
    fn accept_counter(&mut self, header: &Header) -> bool {
        let sender = self.senders.entry(header.from.host).or_default();
        if header.from.incarnation < sender.incarnation {
            return false;
        }
        if header.from.incarnation > sender.incarnation {
            sender.incarnation = header.from.incarnation;
            sender.window = ReplayWindow::default();
        }
        sender.window.accept(header.counter)
    }
}
