//! One UDP packet between two processes that know each other's incarnation.
//!
//! A datagram names the life of its receiver, which the sender learned over a
//! [`crate::link`]; so one that was recorded before the receiver restarted is
//! refused, and a [`Window`] refuses one that was recorded since.

use std::collections::HashMap;

use bytes::{BufMut, Bytes, BytesMut};
use cornelhitch_types::id::{HostId, Incarnation};
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::hello::{Identity, Peer, VERSION};
use crate::key::MAC_BYTES;
use crate::window::Window;

/// The largest datagram in bytes; it fits one Ethernet frame.
pub const LIMIT: usize = 1_400;

/// What stands before the payload.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// [`VERSION`] of the sender.
    pub version: u8,
    /// Its cluster.
    pub cluster: u64,
    /// The key that the code was made with.
    pub key: u32,
    /// The sender.
    pub from: Peer,
    /// The receiver.
    pub to: Peer,
    /// Counts the datagrams of the sender's life to this receiver, from 1.
    pub counter: u64,
}

/// Why a datagram is dropped.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum Error {
    /// It is too long to send.
    #[snafu(display("a datagram of {length} bytes is over the limit of {LIMIT}"))]
    Long {
        /// Its length in bytes.
        length: usize,
    },
    /// It is no datagram of ours.
    #[snafu(display("not a datagram: {source}"))]
    Header {
        /// Why.
        source: postcard::Error,
    },
    /// It is cut off, or another version.
    #[snafu(display("a datagram that is cut off or has another version"))]
    Garbage,
    /// It belongs to another cluster.
    #[snafu(display("a datagram of another cluster"))]
    Cluster,
    /// It was made with a key that is not known here.
    #[snafu(display("host {} uses a key that is not in the key file", from.host))]
    Key {
        /// Who it says it is.
        from: Peer,
    },
    /// Its code is wrong.
    #[snafu(display("a datagram that host {} did not seal", from.host))]
    Forged {
        /// Who it says it is.
        from: Peer,
    },
    /// It is for another host, or for an earlier life of this one.
    #[snafu(display("a datagram of host {} for another life or host", from.host))]
    Receiver {
        /// The sender.
        from: Peer,
    },
    /// It was seen before, or its sender has restarted since.
    #[snafu(display("a datagram of host {} that is repeated or too old", from.host))]
    Replayed {
        /// The sender.
        from: Peer,
    },
}

/// Seals what a process sends.
#[derive(Debug, Default)]
pub struct Sealer {
    counters: HashMap<HostId, u64>,
}

impl Sealer {
    /// Seals one payload for a peer.
    ///
    /// # Errors
    /// The payload is too long.
    pub fn seal(&mut self, identity: &Identity, to: Peer, payload: &[u8]) -> Result<Bytes, Error> {
        let counter = self.counters.entry(to.host).or_insert(0);
        *counter += 1;
        let key = identity.keys.first();
        let header = Header {
            version: VERSION,
            cluster: identity.cluster,
            key: key.id,
            from: Peer {
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
        ensure!(length <= LIMIT, LongSnafu { length });
        Ok(out.freeze())
    }
}

/// Opens what a process receives.
#[derive(Debug, Default)]
pub struct Opener {
    senders: HashMap<HostId, Sender>,
}

/// What is remembered of one sender.
#[derive(Debug, Default)]
struct Sender {
    incarnation: Incarnation,
    window: Window,
}

impl Opener {
    /// Checks one datagram and returns its sender and payload.
    ///
    /// # Errors
    /// It is not an authentic, fresh datagram for this life of this host.
    pub fn open(&mut self, identity: &Identity, datagram: &[u8]) -> Result<(Peer, Bytes), Error> {
        let end = datagram
            .len()
            .checked_sub(MAC_BYTES)
            .context(GarbageSnafu)?;
        let (sealed, mac) = datagram.split_at(end);
        let (header, payload): (Header, _) =
            postcard::take_from_bytes(sealed).context(HeaderSnafu)?;
        let from = header.from;
        ensure!(header.version == VERSION, GarbageSnafu);
        ensure!(header.cluster == identity.cluster, ClusterSnafu);
        let key = identity.keys.find(header.key).context(KeySnafu { from })?;
        ensure!(key.verify(&[sealed], mac), ForgedSnafu { from });
        let me = Peer {
            host: identity.host,
            incarnation: identity.incarnation,
        };
        ensure!(header.to == me, ReceiverSnafu { from });
        ensure!(self.fresh(&header), ReplayedSnafu { from });
        Ok((from, Bytes::copy_from_slice(payload)))
    }

    /// Whether a datagram was not seen before.
    fn fresh(&mut self, header: &Header) -> bool {
        let sender = self.senders.entry(header.from.host).or_default();
        if header.from.incarnation < sender.incarnation {
            return false;
        }
        if header.from.incarnation > sender.incarnation {
            sender.incarnation = header.from.incarnation;
            sender.window = Window::default();
        }
        sender.window.accept(header.counter)
    }
}
