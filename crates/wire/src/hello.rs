//! The unauthenticated first message of each side of a link.

use std::net::SocketAddr;

use cornelhitch_types::id::{HostId, Incarnation};
use serde::{Deserialize, Serialize};

use crate::key::Keyring;

/// Protocol version; both sides must have the same.
pub const VERSION: u8 = 3;

/// The identity of this process towards its peers.
#[derive(Debug, Clone)]
pub struct Identity {
    /// The cluster ID, see [`cluster_id`].
    pub cluster: u64,
    /// The host ID.
    pub host: HostId,
    /// The incarnation of the process; changes with each restart.
    pub incarnation: Incarnation,
    /// The address at which peers reach this process over UDP and TCP.
    pub address: SocketAddr,
    /// The accepted keys.
    pub keys: Keyring,
}

/// Derives a cluster ID from the cluster's name.
///
/// ```
/// use cornelhitch_wire::hello::cluster_id;
///
/// assert_ne!(cluster_id("co-op"), cluster_id("office"));
/// ```
#[must_use]
pub fn cluster_id(name: &str) -> u64 {
    let digest = blake3::hash(name.as_bytes());
    let mut number = [0; 8];
    number.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_le_bytes(number)
}

/// A process of the cluster: host and incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ProcessId {
    /// The host ID.
    pub host: HostId,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
}

/// The first message of each side, preceded on the wire by its length in one byte.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The sender's [`VERSION`].
    pub version: u8,
    /// The sender's cluster.
    pub cluster: u64,
    /// The sender.
    pub peer: ProcessId,
    /// The address at which peers reach the sender; the IP address may be unspecified.
    pub address: SocketAddr,
    /// ID of the key that the sender uses.
    pub key: u32,
    /// Random for each link, so that a recorded link cannot be replayed.
    pub nonce: [u8; 16],
}

impl Hello {
    /// Creates the hello for a new link, with a random nonce.
    #[must_use]
    pub fn new(identity: &Identity, key: u32) -> Self {
        Self {
            version: VERSION,
            cluster: identity.cluster,
            peer: ProcessId {
                host: identity.host,
                incarnation: identity.incarnation,
            },
            address: identity.address,
            key,
            nonce: rand::random(),
        }
    }

    /// Returns the address at which to reach the sender, whose connection comes from `remote`.
    ///
    /// A process that listens on all addresses of its machine does not know which of them is
    /// reachable from here; in that case the address that it connects from is used.
    #[must_use]
    pub fn reachable_address(&self, remote: SocketAddr) -> SocketAddr {
        if self.address.ip().is_unspecified() {
            SocketAddr::new(remote.ip(), self.address.port())
        } else {
            self.address
        }
    }
}
