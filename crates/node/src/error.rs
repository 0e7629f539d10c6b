//! Errors that prevent a process from starting.

use std::path::PathBuf;

use cornelhitch_quorum as quorum;
use snafu::Snafu;

use crate::secret;

/// Why a process cannot start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A key file or token file cannot be read.
    #[snafu(display("{source}"), context(false))]
    Secret {
        /// The cause.
        source: secret::Error,
    },
    /// A control host has no data folder.
    #[snafu(display("data: a host with the role control needs a data folder, but none is set"))]
    Data,
    /// The data folder cannot be opened, or belongs to another host or cluster.
    #[snafu(display("{source}"), context(false))]
    Store {
        /// The cause.
        source: quorum::store::Error,
    },
    /// A system call failed.
    #[snafu(display("{what}: {source}"))]
    System {
        /// What failed.
        what: &'static str,
        /// The cause.
        source: std::io::Error,
    },
    /// The file with the first fleet settings cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    Fleet {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
}
