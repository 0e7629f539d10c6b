//! What one process reads from its own file when it starts.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::str::FromStr;

use cornelhitch_types::id::{HostId, RegionId, ZoneId};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::error::Error;
use crate::hosts;
use crate::read::read;
use crate::table::PROCESS;

/// What a process does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// It takes requests from callers.
    Entry,
    /// It keeps the replicated state; it needs a data folder.
    Control,
}

/// The settings of one process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Process {
    /// The cluster's name; frames of another one are dropped.
    pub cluster: String,
    /// This host's number; with `seeds` it follows from `peers`, see [`number`].
    #[serde(default)]
    pub host: HostId,
    /// Its region.
    pub region: RegionId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The region of each availability zone, for targets that tell only their zone.
    #[serde(default)]
    pub zones: Vec<Zone>,
    /// What is spoken with targets, callers and operators.
    #[serde(default)]
    pub protocol: Protocol,
    /// The file that the settings were read from.
    #[serde(skip)]
    pub file: Option<PathBuf>,
    /// What it does.
    pub roles: Vec<Role>,
    /// Where callers and targets connect.
    pub callers: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// Where other cornelhitch processes reach it, over UDP and TCP.
    pub peers: SocketAddr,
    /// Where it listens for them, if address translation stands between.
    #[serde(default)]
    pub peers_listen: Option<SocketAddr>,
    /// The voters, this one too if it is one; with `seeds` these are the first voters.
    #[serde(default)]
    pub voters: Vec<Peer>,
    /// Control hosts that are asked who votes; only their IP addresses count, since the peers of
    /// one cluster have one port.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the seeds found the group where their folders are empty.
    #[serde(default)]
    pub bootstrap: bool,
    /// Voters that may be lost together; with `seeds` the group grows to twice as many and one.
    #[serde(default = "one")]
    pub losses: u32,
    /// Where targets announce themselves and tables of routes are handed in; for the role control.
    #[serde(default)]
    pub registry: Option<SocketAddr>,
    /// Where callers ask which hosts to use, besides `callers`.
    #[serde(default)]
    pub directory: Option<SocketAddr>,
    /// Where others ask whether this host takes requests, besides `callers`.
    #[serde(default)]
    pub ready: Option<SocketAddr>,
    /// Where counters are read as text.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// How an entry host serves.
    #[serde(default)]
    pub serving: Serving,
    /// Whether only hosts of this cluster reach `peers` and `operators`, so that `keys` and
    /// `token` may be left out.
    #[serde(default)]
    pub trusted_network: bool,
    /// The folder for durable state; only a control host has one.
    #[serde(default)]
    pub data: Option<PathBuf>,
    /// The file with the keys that peers share, one a line, the first is used to send.
    #[serde(default)]
    pub keys: Option<PathBuf>,
    /// The file with the token that operators show; without one they are refused.
    #[serde(default)]
    pub token: Option<PathBuf>,
    /// A fleet settings file that a new cluster starts from.
    #[serde(default)]
    pub fleet: Option<PathBuf>,
    /// Where metrics go over OTLP/HTTP; to the log where it is not set.
    #[serde(default)]
    pub otlp: Option<String>,
}

/// What is spoken with targets, callers and operators.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Protocol {
    /// The project's own interface.
    #[default]
    Own,
    /// The platform's, where requests come by routes.
    Platform,
}

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Zone {
    /// Its name.
    pub name: ZoneId,
    /// Its region.
    pub region: RegionId,
}

/// How an entry host serves.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Serving {
    /// What a host does that has lost its lease on the settings.
    pub isolated: Isolated,
    /// How long callers keep the answer which hosts to use, at most, in milliseconds.
    pub max_age_ms: u64,
    /// How long a host that ends goes on taking requests, in milliseconds.
    pub leave_ms: u64,
    /// Targets that a request may take down before it is refused.
    pub strikes: u32,
    /// Whether a request that took a target down runs again only where no other request does.
    pub quarantine: bool,
    /// Retries that each first send earns for the entry hosts together.
    pub retry_ratio: f64,
    /// Retries that all entry hosts together may make besides, in [`Serving::retry_window_ms`].
    pub retry_slack: u32,
    /// The time over which retries are counted, in milliseconds; 0 counts them on each host alone.
    pub retry_window_ms: f64,
}

impl Default for Serving {
    fn default() -> Self {
        Self {
            isolated: Isolated::Refuse,
            max_age_ms: 10_000,
            leave_ms: 10_000,
            strikes: 2,
            quarantine: true,
            retry_ratio: 0.2,
            retry_slack: 64,
            retry_window_ms: 0.0,
        }
    }
}

/// What an entry host does that has lost its lease on the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Isolated {
    /// It refuses new requests, so that a change is in force once all leases on older settings
    /// have run out.
    Refuse,
    /// It goes on with what it knows, so that callers are served while control is away.
    Serve,
}

/// Another process, and where to reach it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Peer {
    /// Its number.
    pub host: HostId,
    /// Its address, over UDP and TCP.
    pub address: SocketAddr,
}

impl Process {
    /// The seeds as peers.
    #[must_use]
    pub fn seed_peers(&self) -> Vec<Peer> {
        let port = self.peers.port();
        let peers = self.seeds.iter().map(|seed| {
            let address = SocketAddr::new(seed.ip(), port);
            let host = number(address);
            Peer { host, address }
        });
        peers.collect()
    }

    /// Whether the process has a role.
    #[must_use]
    pub fn has(&self, role: Role) -> bool {
        self.roles.contains(&role)
    }
}

impl FromStr for Process {
    type Err = Error;

    /// Reads and checks the settings; the error has every fault and its place.
    fn from_str(text: &str) -> Result<Self, Error> {
        let mut process: Self = read(text, &PROCESS, hosts::check)?;
        if !process.seeds.is_empty() {
            process.host = number(process.peers);
            process.voters = process.seed_peers();
        }
        Ok(process)
    }
}

/// The losses that a group survives unless it is said otherwise.
fn one() -> u32 {
    1
}

/// The number of a host that is known by its address alone.
///
/// ```
/// use cornelhitch_settings::process::number;
///
/// assert_eq!(number("10.1.0.41:7380".parse()?), 0x0a01_0029);
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[must_use]
pub fn number(address: SocketAddr) -> HostId {
    match address.ip() {
        IpAddr::V4(ip) => u64::from(ip.to_bits()),
        IpAddr::V6(ip) => {
            let bytes = ip.octets();
            let low: [u8; 8] = bytes[8..].try_into().unwrap_or_default();
            HostId::from_be_bytes(low)
        }
    }
}
