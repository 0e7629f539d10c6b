//! What can be wrong with bytes that should hold a command or a snapshot.

use snafu::Snafu;

/// Why bytes are not a command or a snapshot.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// There are no bytes.
    #[snafu(display("the {what} is empty"))]
    Empty {
        /// Which kind of bytes.
        what: &'static str,
    },
    /// The first byte names a form that this build does not know.
    #[snafu(display("the {what} has form {found}, this build reads form {known}"))]
    Form {
        /// Which kind of bytes.
        what: &'static str,
        /// The form that was found.
        found: u8,
        /// The form that this build reads.
        known: u8,
    },
    /// The second byte of a command is neither that of one command nor that of a batch.
    #[snafu(display("the command has kind {found}, which this build does not know"))]
    Kind {
        /// The byte that was found.
        found: u8,
    },
    /// The bytes after the form are malformed.
    #[snafu(display("the {what} is malformed: {source}"))]
    Malformed {
        /// Which kind of bytes.
        what: &'static str,
        /// What the decoder found.
        source: postcard::Error,
    },
    /// Bytes are left over after the value.
    #[snafu(display("the {what} has {left} bytes too many"))]
    Left {
        /// Which kind of bytes.
        what: &'static str,
        /// How many.
        left: usize,
    },
    /// The settings text in a snapshot is not valid for this build.
    #[snafu(display("the settings in the snapshot are not valid: {source}"))]
    Settings {
        /// What is wrong with them.
        source: cornelhitch_settings::error::Error,
    },
}
