//! Names of HTTP headers.

/// How long the caller waits, in milliseconds from the arrival of the request.
pub const DEADLINE: &str = "x-deadline-ms";

/// The class of the request.
pub const CLASS: &str = "x-class";

/// The caller's name; without it, the caller's address is used.
pub const CALLER: &str = "x-caller";

/// The key of a request that may run at most once.
pub const KEY: &str = "idempotency-key";

/// Hop-by-hop headers (RFC 9110, section 7.6.1), and the content length, which the HTTP library
/// sets anew.
pub const HOP_BY_HOP: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];
