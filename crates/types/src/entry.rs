//! Entry hosts as listed in the view.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{HostId, Incarnation, RegionId, Version, ZoneId};

/// One entry host in the view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The entry host's id.
    pub host: HostId,
    /// Incarnation of the entry process.
    pub incarnation: Incarnation,
    /// The address on which it accepts callers.
    pub address: SocketAddr,
    /// The region of the entry host.
    pub region: RegionId,
    /// The availability zone of the entry host.
    pub zone: ZoneId,
    /// Requests queued and in flight on the host.
    pub load: u32,
    /// Whether it is draining and accepts no new callers.
    pub draining: bool,
    /// Version of the settings that the host uses.
    pub settings: Version,
}
