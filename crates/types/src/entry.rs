//! Entry hosts, as callers and peers know them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{HostId, Incarnation, RegionId, Version, ZoneId};

/// One entry host in the view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Its number.
    pub host: HostId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Its region.
    pub region: RegionId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Requests in progress and waiting.
    pub load: u32,
    /// Whether it takes no new callers.
    pub draining: bool,
    /// The settings version it acts on.
    pub settings: Version,
}
