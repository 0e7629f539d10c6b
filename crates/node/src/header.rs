//! Headers that callers and this system use.

/// How long the caller waits, in milliseconds from the arrival of the request.
pub const DEADLINE: &str = "x-deadline-ms";

/// The class of the request.
pub const CLASS: &str = "x-class";

/// Who asks; the caller's address where it is not said.
pub const CALLER: &str = "x-caller";

/// The key of a request that may run at most once.
pub const KEY: &str = "idempotency-key";

/// Headers that belong to one connection (RFC 9110, section 7.6.1), and the
/// length, which the library sets anew.
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
