//! Errors of requests to targets, and whether the request may have run.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use cornelhitch_types::refusal::Run;
use snafu::Snafu;

/// The reason why a request to a target did not return a complete response.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// No connection could be opened, or it was lost before any byte of the request was sent.
    #[snafu(display("no connection to {address}: {source}"))]
    Connect {
        /// The target's address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The request cannot be encoded in the target's protocol.
    #[snafu(display("cannot send the request: invalid {field}: {detail}"))]
    Unsendable {
        /// The part of the request that cannot be encoded.
        field: &'static str,
        /// The cause.
        detail: String,
    },
    /// The target's protocol does not support the call.
    #[snafu(display("the target's protocol does not support {what}"))]
    Unsupported {
        /// The name of the call.
        what: &'static str,
    },
    /// The request's [`Gate`](crate::client::Gate) refused it.
    #[snafu(display("the request was cancelled before it was sent"))]
    Cancelled,
    /// The connection broke after the request was sent.
    #[snafu(display("the connection to {address} broke: {detail}"))]
    ConnectionBroken {
        /// The target's address.
        address: SocketAddr,
        /// The cause.
        detail: String,
    },
    /// The response belongs to another request.
    #[snafu(display(
        "the response is to {}, not to {expected}",
        found.as_deref().unwrap_or("no request")
    ))]
    MismatchedResponse {
        /// The id of the request.
        expected: String,
        /// The id in the response, if it has one.
        found: Option<String>,
    },
    /// The response ended without its terminator, or tokens are missing in it.
    #[snafu(display("the response was truncated after {tokens} tokens: {detail}"))]
    Truncated {
        /// Tokens received so far.
        tokens: u64,
        /// What was missing or invalid.
        detail: String,
    },
    /// The target responded with an error status.
    #[snafu(display("the target responded with status {status}: {detail}"))]
    Status {
        /// The HTTP status code.
        status: u16,
        /// Whether the request ran, as stated by the target.
        run: Run,
        /// Time after which to retry, if the target stated one.
        retry_after: Option<Duration>,
        /// The beginning of the response body.
        detail: String,
    },
    /// The target reported a failure in the middle of a stream.
    #[snafu(display("the target reported a failure after {tokens} tokens: {detail}"))]
    TargetFailed {
        /// Tokens received so far.
        tokens: u64,
        /// The target's description of the failure.
        detail: String,
    },
    /// The response, or one of its events, exceeds the size limit.
    #[snafu(display("the response is larger than {limit} bytes"))]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
}

impl Error {
    /// Returns whether the request ran, as far as the error shows.
    ///
    /// ```
    /// use cornelhitch_target::error::Error;
    /// use cornelhitch_types::refusal::Run;
    ///
    /// assert_eq!(Error::Cancelled.run(), Run::NotRun);
    /// assert_eq!(Error::TooLarge { limit: 10 }.run(), Run::Unknown);
    /// ```
    #[must_use]
    pub fn run(&self) -> Run {
        match self {
            Self::Connect { .. }
            | Self::Unsendable { .. }
            | Self::Unsupported { .. }
            | Self::Cancelled => Run::NotRun,
            Self::Status { run, .. } => *run,
            Self::TargetFailed { .. } => Run::Failed,
            Self::ConnectionBroken { .. }
            | Self::MismatchedResponse { .. }
            | Self::Truncated { .. }
            | Self::TooLarge { .. } => Run::Unknown,
        }
    }
}
