//! Errors of decoding commands and snapshots.

use snafu::Snafu;

/// The reason why bytes are not a command or a snapshot.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The bytes end before the header does.
    #[snafu(display("incomplete {what}: the header is missing"))]
    IncompleteHeader {
        /// The kind of value, `command` or `snapshot`.
        what: &'static str,
    },
    /// The first byte names a format version that this build does not read.
    #[snafu(display("the {what} has format version {found}, expected {known}"))]
    FormatVersion {
        /// The kind of value, `command` or `snapshot`.
        what: &'static str,
        /// The format version that was found.
        found: u8,
        /// The format version that this build reads.
        known: u8,
    },
    /// The second byte of a command denotes neither a single command nor a batch.
    #[snafu(display("the command has kind byte {found}, expected 0 (single) or 1 (batch)"))]
    CommandKind {
        /// The byte that was found.
        found: u8,
    },
    /// The bytes after the header are malformed.
    #[snafu(display("cannot decode the {what}: {source}"))]
    Malformed {
        /// The kind of value, `command` or `snapshot`.
        what: &'static str,
        /// The error of the decoder.
        source: postcard::Error,
    },
    /// Bytes are left over after the value.
    #[snafu(display("the {what} is followed by {left} extra bytes"))]
    TrailingBytes {
        /// The kind of value, `command` or `snapshot`.
        what: &'static str,
        /// The number of bytes left over.
        left: usize,
    },
    /// The settings text in a snapshot is not valid for this build.
    #[snafu(display("the settings in the snapshot are invalid: {source}"))]
    Settings {
        /// The faults in the settings.
        source: cornelhitch_settings::error::Error,
    },
}
