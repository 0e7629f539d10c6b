//! Files with secrets: the peers' keys and the operators' token.

use std::path::{Path, PathBuf};
use std::time::Duration;

use bytes::Bytes;
use cornelhitch_wire::hello::Identity;
use cornelhitch_wire::key::{self, Keyring};
use snafu::{ResultExt, Snafu, ensure};
use subtle::ConstantTimeEq;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Interval between checks of the key file for changes.
const KEY_FILE_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// The shortest token, in bytes.
const MIN_TOKEN_BYTES: usize = 16;

/// The prefix of a key that is made from a cluster's name and is no secret.
const PUBLIC: &str = "trusted network of ";

/// Why a file is refused.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The file cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The file does not hold valid keys.
    #[snafu(display("{}: {source}", path.display()))]
    Keys {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: key::Error,
    },
    /// The token is too short.
    #[snafu(display("{}: the token needs at least {MIN_TOKEN_BYTES} bytes", path.display()))]
    Token {
        /// The file.
        path: PathBuf,
    },
}

/// The bearer token that operators' requests must present.
#[derive(Clone)]
pub struct Token(Option<Bytes>);

impl Token {
    /// Reads the token from a file, without surrounding whitespace.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read or the token is too short.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
        let token = text.trim();
        ensure!(token.len() >= MIN_TOKEN_BYTES, TokenSnafu { path });
        Ok(Self(Some(Bytes::copy_from_slice(token.as_bytes()))))
    }

    /// Returns a token that no text matches.
    #[must_use]
    pub fn unmatchable() -> Self {
        Self(None)
    }

    /// Returns whether a text is the token, comparing in constant time.
    #[must_use]
    pub fn matches(&self, text: &[u8]) -> bool {
        let token = self.0.as_ref();
        token.is_some_and(|token| bool::from(token.as_ref().ct_eq(text)))
    }
}

/// Reads the peers' keys from a file.
///
/// # Errors
/// Returns an error if the file cannot be read or does not hold valid keys.
pub fn keys(path: &Path) -> Result<Keyring, Error> {
    let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
    text.parse().context(KeysSnafu { path })
}

/// Returns the key for a trusted network. It is made from the cluster's name, so it keeps clusters
/// apart but protects nothing.
///
/// # Errors
/// Returns an error if no key can be made from the cluster's name.
pub fn public_key(cluster: &str) -> Result<Keyring, Error> {
    let text = format!("{PUBLIC}{cluster}");
    text.parse().context(KeysSnafu { path: "cluster" })
}

/// Reloads the key file when it changes, until the process stops.
///
/// If the file cannot be read, the current keys stay in use.
pub async fn watch(path: PathBuf, identity: watch::Sender<Identity>, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(KEY_FILE_POLL_INTERVAL) => {}
        }
        match keys(&path) {
            Ok(keys) => {
                let changed = identity.send_if_modified(|identity| {
                    let changed = identity.keys != keys;
                    identity.keys = keys;
                    changed
                });
                if changed {
                    tracing::info!("reloaded the peers' keys from the key file");
                }
            }
            Err(error) => tracing::warn!(%error, "key file not reloaded; keeping the old keys"),
        }
    }
}
