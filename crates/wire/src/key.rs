//! Keys shared by the processes of a cluster.

use std::fmt;
use std::ops::Deref;
use std::str::FromStr;

use snafu::{Snafu, ensure};

/// Minimum length of a secret in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

/// Key derivation context: separates these keys from other uses of the same secret.
const CONTEXT: &str = "cornelhitch 2026-12 peer key";

/// Size of a message authentication code on the wire.
pub const MAC_BYTES: usize = 16;

/// A message authentication code: keyed BLAKE3 truncated to 128 bits.
pub type Mac = [u8; MAC_BYTES];

/// A shared key.
#[derive(Clone, PartialEq, Eq)]
pub struct Key {
    /// A short ID by which a receiver finds the key in its keyring.
    pub id: u32,
    secret: [u8; 32],
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Key")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

impl Key {
    /// Derives a key and its ID from a secret.
    #[must_use]
    pub fn new(secret: &[u8]) -> Self {
        let secret = blake3::derive_key(CONTEXT, secret);
        let digest = blake3::hash(&secret);
        let mut id = [0; 4];
        id.copy_from_slice(&digest.as_bytes()[..4]);
        Self {
            id: u32::from_le_bytes(id),
            secret,
        }
    }

    /// Derives the key for one direction of a session.
    #[must_use]
    pub fn session_key(&self, transcript: &[u8], direction: u8) -> Self {
        let mut hasher = blake3::Hasher::new_keyed(&self.secret);
        hasher.update(&[direction]);
        hasher.update(transcript);
        Self {
            id: self.id,
            secret: hasher.finalize().into(),
        }
    }

    /// Computes the message authentication code of the concatenated parts.
    #[must_use]
    pub fn mac(&self, parts: &[&[u8]]) -> Mac {
        let mut hasher = blake3::Hasher::new_keyed(&self.secret);
        for part in parts {
            hasher.update(part);
        }
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(&hasher.finalize().as_bytes()[..MAC_BYTES]);
        mac
    }

    /// Verifies a message authentication code in constant time.
    #[must_use]
    pub fn verify(&self, parts: &[&[u8]], mac: &[u8]) -> bool {
        use subtle::ConstantTimeEq;
        bool::from(self.mac(parts).as_slice().ct_eq(mac))
    }
}

/// The accepted keys, never empty; the first one is used for sending.
///
/// To rotate a key, complete each step on all hosts before the next: append the new key, move it to
/// the front, remove the old key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Keyring(Vec<Key>);

/// Why a key file is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The file contains no key.
    #[snafu(display("the key file contains no key"))]
    Empty,
    /// A secret is shorter than [`MIN_SECRET_BYTES`].
    #[snafu(display(
        "line {line}: the secret has {length} bytes, expected at least {MIN_SECRET_BYTES}"
    ))]
    TooShort {
        /// Line number, from 1.
        line: usize,
        /// Length of the secret in bytes.
        length: usize,
    },
}

impl Keyring {
    /// The key used for sending.
    #[must_use]
    pub fn sending_key(&self) -> &Key {
        &self.0[0]
    }

    /// Returns the key with an ID; `None` if it is not accepted.
    #[must_use]
    pub fn find(&self, id: u32) -> Option<&Key> {
        self.0.iter().find(|key| key.id == id)
    }
}

impl Deref for Keyring {
    type Target = [Key];

    fn deref(&self) -> &[Key] {
        &self.0
    }
}

impl FromStr for Keyring {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let mut keys = Vec::new();
        for (index, line) in text.lines().enumerate() {
            let secret = line.trim();
            if secret.is_empty() || secret.starts_with('#') {
                continue;
            }
            ensure!(
                secret.len() >= MIN_SECRET_BYTES,
                TooShortSnafu {
                    line: index + 1,
                    length: secret.len()
                }
            );
            keys.push(Key::new(secret.as_bytes()));
        }
        ensure!(!keys.is_empty(), EmptySnafu);
        Ok(Self(keys))
    }
}
