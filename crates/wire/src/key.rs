//! Keys that the processes of a cluster share.

use std::fmt;
use std::ops::Deref;
use std::str::FromStr;

use snafu::{Snafu, ensure};

/// The shortest secret in bytes.
pub const SHORTEST: usize = 16;

/// Separates these keys from other uses of the same secret.
const CONTEXT: &str = "cornelhitch 2026-12 peer key";

/// Bytes of a message authentication code on the wire.
pub const MAC_BYTES: usize = 16;

/// A message authentication code: keyed BLAKE3, cut to 128 bits.
pub type Mac = [u8; MAC_BYTES];

/// One shared key.
#[derive(Clone, PartialEq, Eq)]
pub struct Key {
    /// A short id, so that a receiver finds the key among several.
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
    /// Derives a key from a secret.
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

    /// Derives the key of one session and direction.
    #[must_use]
    pub fn session(&self, transcript: &[u8], direction: u8) -> Self {
        let mut hasher = blake3::Hasher::new_keyed(&self.secret);
        hasher.update(&[direction]);
        hasher.update(transcript);
        Self {
            id: self.id,
            secret: hasher.finalize().into(),
        }
    }

    /// The code of some parts, one after another.
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

    /// Whether a code is right, compared in constant time.
    #[must_use]
    pub fn verify(&self, parts: &[&[u8]], mac: &[u8]) -> bool {
        use subtle::ConstantTimeEq;
        bool::from(self.mac(parts).as_slice().ct_eq(mac))
    }
}

/// The keys that are accepted; the first one is used to send.
///
/// A key is rotated in three steps: add the new one last everywhere, move it
/// to the front everywhere, remove the old one everywhere.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Keyring(Vec<Key>);

/// Why a key file is refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// No key at all.
    #[snafu(display("the key file has no key"))]
    Empty,
    /// A secret is too short.
    #[snafu(display("line {line}: the secret has {length} bytes, at least {SHORTEST} are needed"))]
    Short {
        /// The line, from 1.
        line: usize,
        /// Its length in bytes.
        length: usize,
    },
}

impl Keyring {
    /// The key to send with.
    #[must_use]
    pub fn first(&self) -> &Key {
        &self.0[0]
    }

    /// The key of that id.
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
                secret.len() >= SHORTEST,
                ShortSnafu {
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
