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
    shortened(&digest(what, body))
}

/// Returns a 64-bit digest of a request that a route directs to its service.
///
/// The service is no part of it: a route may be split or moved, and the request stays the same. The
/// caller is: headers that no digest can list, such as a session's, may tell two callers' requests
/// apart.
///
/// ```
/// use cornelhitch_entry::fingerprint;
///
/// let first = fingerprint::of_routed("10.0.0.7", "lanes.example", "/stock/17", b"");
/// assert_eq!(first, fingerprint::of_routed("10.0.0.7", "lanes.example", "/stock/17", b""));
/// assert_ne!(first, fingerprint::of_routed("10.0.0.8", "lanes.example", "/stock/17", b""));
/// ```
#[must_use]
pub fn of_routed(caller: &str, host: &str, path: &str, body: &[u8]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in [caller, host, path] {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    hasher.update(body);
    shortened(hasher.finalize().as_bytes())
}

/// Returns a 64-bit digest of what a routed request asks for, whoever sends it.
///
/// ```
/// use cornelhitch_entry::fingerprint;
///
/// let first = fingerprint::of_content("lanes.example", "/stock/17", b"");
/// assert_eq!(first, fingerprint::of_content("lanes.example", "/stock/17", b""));
/// assert_ne!(first, fingerprint::of_content("lanes.example", "/stock/18", b""));
/// ```
#[must_use]
pub fn of_content(host: &str, path: &str, body: &[u8]) -> u64 {
    of_routed("", host, path, body)
}

/// Returns a 64-bit digest of a caller's id for one attempt.
///
/// ```
/// use cornelhitch_entry::fingerprint;
///
/// assert_eq!(fingerprint::of_attempt("9c41"), fingerprint::of_attempt("9c41"));
/// assert_ne!(fingerprint::of_attempt("9c41"), fingerprint::of_attempt("9c42"));
/// ```
#[must_use]
pub fn of_attempt(id: &str) -> u64 {
    shortened(blake3::hash(id.as_bytes()).as_bytes())
}

/// Returns the first 64 bits of a digest.
fn shortened(digest: &Digest) -> u64 {
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
