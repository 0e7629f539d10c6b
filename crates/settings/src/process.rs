//! What one process reads from its own file when it starts.

use std::net::SocketAddr;
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
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Process {
    /// The cluster's name; frames of another one are dropped.
    pub cluster: String,
    /// This host's number.
    pub host: HostId,
    /// Its region.
    pub region: RegionId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// What it does.
    pub roles: Vec<Role>,
    /// Where callers and targets connect.
    pub callers: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// Where other cornelhitch processes reach it, over UDP and TCP.
    pub peers: SocketAddr,
    /// The voters, this one too if it is one.
    pub voters: Vec<Peer>,
    /// The folder for durable state; only a control host has one.
    #[serde(default)]
    pub data: Option<PathBuf>,
    /// The file with the keys that peers share, one a line, the first is used to send.
    pub keys: PathBuf,
    /// The file with the token that operators show.
    pub token: PathBuf,
    /// A fleet settings file that a new cluster starts from.
    #[serde(default)]
    pub fleet: Option<PathBuf>,
    /// Where metrics go over OTLP/HTTP; to the log where it is not set.
    #[serde(default)]
    pub otlp: Option<String>,
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
        read(text, &PROCESS, hosts::check)
    }
}
