//! Settings that one process reads from its own file at startup.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::str::FromStr;

use cornelhitch_types::id::{HostId, RegionId, ZoneId};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::error::Error;
use crate::process_constraints;
use crate::read::read;
use crate::table::PROCESS;

/// A role of a process in the cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// Accepts requests from callers.
    Entry,
    /// Replicates the control state; requires a data folder.
    Control,
}

/// The settings of one process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename = "Process", rename_all = "kebab-case")]
pub struct ProcessSettings {
    /// Name of the cluster; frames of other clusters are dropped.
    pub cluster: String,
    /// Id of this host; with `seeds` it is derived from `peers` by [`host_id_from_address`].
    #[serde(default)]
    pub host: HostId,
    /// The region of the host.
    pub region: RegionId,
    /// The availability zone of the host.
    pub zone: ZoneId,
    /// The region of each availability zone, for targets that report only their zone.
    #[serde(default)]
    pub zones: Vec<Zone>,
    /// The protocol for targets, callers and operators.
    #[serde(default)]
    pub protocol: Protocol,
    /// The file that the settings were read from.
    #[serde(skip)]
    pub file: Option<PathBuf>,
    /// The roles of the process.
    pub roles: Vec<Role>,
    /// Listen address for callers and targets.
    pub callers: SocketAddr,
    /// Listen address for operators.
    pub operators: SocketAddr,
    /// Address at which other cornelhitch processes reach this one, over UDP and TCP.
    pub peers: SocketAddr,
    /// Listen address for peers, if it differs from `peers` because of address translation.
    #[serde(default)]
    pub peers_listen: Option<SocketAddr>,
    /// The voters, including this host if it is one; with `seeds`, the initial voters.
    #[serde(default)]
    pub voters: Vec<Peer>,
    /// Control hosts that are queried for the current voters; only their IP addresses are used, since
    /// all peers of a cluster use the same port.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the seeds found a new group when their data folders are empty.
    #[serde(default)]
    pub bootstrap: bool,
    /// Voters that may fail at the same time; with `seeds` the group grows to `2 * losses + 1`
    /// voters.
    #[serde(default = "default_losses")]
    pub losses: u32,
    /// Listen address where targets announce themselves and route tables are submitted; for the
    /// role `control`.
    #[serde(default)]
    pub registry: Option<SocketAddr>,
    /// Additional listen address for callers' requests for the list of entry hosts.
    #[serde(default)]
    pub directory: Option<SocketAddr>,
    /// Additional listen address for readiness checks.
    #[serde(default)]
    pub ready: Option<SocketAddr>,
    /// Listen address for counters in text form.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Settings of an entry host.
    #[serde(default)]
    pub serving: Serving,
    /// Names of features that the deployment requires; the protocol maps those that it knows to
    /// settings, and ignores the others.
    #[serde(default)]
    pub features: Vec<String>,
    /// Whether only hosts of this cluster can reach `peers` and `operators`, so that `keys` and
    /// `token` may be left out.
    #[serde(default)]
    pub trusted_network: bool,
    /// Folder for durable state; for the role `control` only.
    #[serde(default)]
    pub data: Option<PathBuf>,
    /// File with the keys that peers share, one per line; the first is used for sending.
    #[serde(default)]
    pub keys: Option<PathBuf>,
    /// File with the operators' token; without one, requests of operators are refused.
    #[serde(default)]
    pub token: Option<PathBuf>,
    /// Fleet settings file that a new cluster starts with.
    #[serde(default)]
    pub fleet: Option<PathBuf>,
    /// OTLP/HTTP endpoint for metrics; `None` writes them to the log.
    #[serde(default)]
    pub otlp: Option<String>,
}

/// The protocol for targets, callers and operators.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Protocol {
    /// Cornelhitch's own protocol.
    #[default]
    Own,
    /// The platform's protocol, in which requests are routed by a route table.
    Platform,
}

/// An availability zone and its region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Zone {
    /// The name of the zone.
    pub name: ZoneId,
    /// The region of the zone.
    pub region: RegionId,
}

/// Settings of an entry host.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Serving {
    /// What the host does after it has lost its lease on the settings.
    pub isolated: IsolationPolicy,
    /// How long an entry host that has heard of a newer route table acts on its own after that was last
    /// known to be the newest, in milliseconds.
    pub table_lag_ms: f64,
    /// Memory of the process, in megabytes, which bounds what it allocates. Half of it may hold bodies of
    /// requests.
    pub memory_mb: f64,
    /// Longest time for which callers may cache the list of entry hosts, in milliseconds.
    pub max_age_ms: u64,
    /// Time for which a host that shuts down still accepts requests, in milliseconds.
    pub leave_ms: u64,
    /// Time from the start of a shutdown until the process is killed, in milliseconds.
    pub grace_ms: f64,
    /// Number of targets that a request may cause to fail before it is refused.
    pub strikes: u32,
    /// Number of targets that may fail under a section of prompts before requests with it are
    /// refused.
    pub section_strikes: u32,
    /// Whether a request that caused a target to fail is retried only on a target without other
    /// requests.
    pub quarantine: bool,
    /// Retry budget: retries earned by each first attempt, over all entry hosts.
    pub retry_ratio: f64,
    /// Retry budget: additional retries per [`Serving::retry_window_ms`], over all entry hosts; a
    /// fraction allows no further retry.
    pub retry_slack: f64,
    /// Window over which retries are counted, in milliseconds; 0 counts them on each host
    /// separately.
    pub retry_window_ms: f64,
    /// Window over which teams' quotas are measured, in milliseconds.
    pub quota_window_ms: f64,
    /// Share by which a team may exceed its quota in a window.
    pub quota_overshoot: f64,
    /// Units by which a team may exceed its quota in a window besides.
    pub quota_slack: f64,
    /// Largest head of a request on any listener, in bytes.
    pub head_bytes: u64,
    /// Longest time from the first byte of a head to its end, in milliseconds.
    pub head_ms: u64,
    /// Longest time without a byte of a request's body, in milliseconds.
    pub body_ms: u64,
    /// Memory for incomplete heads of one listener, in megabytes; 0 for a sixteenth of
    /// [`Serving::memory_mb`].
    pub heads_mb: f64,
    /// Connections on the callers' listener; 0 for two fifths of the process's file descriptors.
    pub connections: u64,
    /// Connections on the callers' listener from one address; 0 for three times as many as are free.
    pub address_connections: u64,
    /// Targets that the leader registers; 0 for 24 for each megabyte of [`Serving::memory_mb`].
    pub targets: u64,
    /// Bytes that are read from one address in a second while they become neither a request nor a part of a
    /// body, in kilobytes; twice as many at once.
    pub unused_kb_s: u64,
    /// How the target of a request is chosen.
    pub routing: Routing,
}

/// How the target of a request is chosen.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Routing {
    /// By the number of requests in flight.
    #[default]
    Load,
    /// By the expected time to the first byte of the response.
    ExpectedTime,
    /// By the number of requests in flight until a target states its pace, and by the expected time
    /// from then on.
    Auto,
}

impl Default for Serving {
    fn default() -> Self {
        Self {
            isolated: IsolationPolicy::Refuse,
            table_lag_ms: 3e3,
            memory_mb: 256.0,
            max_age_ms: 10_000,
            leave_ms: 10_000,
            grace_ms: 30e3,
            strikes: 2,
            section_strikes: 3,
            quarantine: true,
            retry_ratio: 0.2,
            retry_slack: 64.0,
            retry_window_ms: 0.0,
            quota_window_ms: 8_000.0,
            quota_overshoot: 0.1,
            quota_slack: 0.0,
            routing: Routing::Load,
            head_bytes: 64 << 10,
            head_ms: 10_000,
            body_ms: 15_000,
            heads_mb: 0.0,
            connections: 0,
            address_connections: 0,
            targets: 0,
            unused_kb_s: 256,
        }
    }
}

/// What an entry host does after it has lost its lease on the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename = "Isolated", rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum IsolationPolicy {
    /// Refuses new requests, so that a change is in force once all leases on older settings have
    /// expired.
    Refuse,
    /// Continues with its last known state, so that callers are served while control is
    /// unavailable.
    Serve,
}

/// A peer process and its address.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Peer {
    /// The id of the peer.
    pub host: HostId,
    /// The address of the peer, over UDP and TCP.
    pub address: SocketAddr,
}

impl ProcessSettings {
    /// Returns the seeds as peers, at the port of this process's `peers` address.
    #[must_use]
    pub fn seed_peers(&self) -> Vec<Peer> {
        let port = self.peers.port();
        let peers = self.seeds.iter().map(|seed| {
            let address = SocketAddr::new(seed.ip(), port);
            let host = host_id_from_address(address);
            Peer { host, address }
        });
        peers.collect()
    }

    /// Returns whether the process has a role.
    #[must_use]
    pub fn has_role(&self, role: Role) -> bool {
        self.roles.contains(&role)
    }
}

impl FromStr for ProcessSettings {
    type Err = Error;

    /// Parses and validates the settings; the error lists all faults with their positions.
    fn from_str(text: &str) -> Result<Self, Error> {
        let mut process: Self = read(text, &PROCESS, process_constraints::check)?;
        if !process.seeds.is_empty() {
            process.host = host_id_from_address(process.peers);
            process.voters = process.seed_peers();
        }
        Ok(process)
    }
}

/// Returns the default of [`ProcessSettings::losses`].
fn default_losses() -> u32 {
    1
}

/// Derives a host id from an IP address: all bits of an IPv4 address, or the low 64 bits of an IPv6
/// address.
///
/// ```
/// use cornelhitch_settings::process::host_id_from_address;
///
/// assert_eq!(host_id_from_address("10.1.0.41:7380".parse()?), 0x0a01_0029);
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[must_use]
pub fn host_id_from_address(address: SocketAddr) -> HostId {
    match address.ip() {
        IpAddr::V4(ip) => u64::from(ip.to_bits()),
        IpAddr::V6(ip) => {
            let bytes = ip.octets();
            let low: [u8; 8] = bytes[8..].try_into().unwrap_or_default();
            HostId::from_be_bytes(low)
        }
    }
}
