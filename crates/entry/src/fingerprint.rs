//! Identifies requests that are the same to an engine, whoever sends them.

use crate::event::{Digest, RequestedResource};

/// Returns a 64-bit digest of what the request is for and its body, independent of the caller.
///
/// ```
/// use cornelhitch_entry::event::RequestedResource;
/// use cornelhitch_entry::fingerprint;
/// use cornelhitch_types::model::Reference;
///
/// let what = RequestedResource::Model(Reference::base("report"));
/// assert_eq!(fingerprint::of(&what, b"car"), fingerprint::of(&what, b"car"));
/// assert_ne!(fingerprint::of(&what, b"car"), fingerprint::of(&what, b"van"));
/// ```
#[must_use]
pub fn of(what: &RequestedResource, body: &[u8]) -> u64 {
    let digest = digest(what, body);
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    u64::from_le_bytes(first)
}

/// Returns the full digest, which claims carry to detect a different body under the same key.
#[must_use]
pub fn digest(what: &RequestedResource, body: &[u8]) -> Digest {
    let mut hasher = blake3::Hasher::new();
    hasher.update(what.to_string().as_bytes());
    hasher.update(&[0]);
    hasher.update(body);
    *hasher.finalize().as_bytes()
}
