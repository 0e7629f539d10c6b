//! Parses references to a model, a version and an adapter, as callers write them.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use crate::id::{ModelId, Name};

/// Longest model reference, in bytes.
pub const MAX_REFERENCE_BYTES: usize = 256;

/// A reference to a model: `MODEL[@VERSION][+ADAPTER]`.
///
/// Each part consists of ASCII letters, digits, `-`, `_`, `.` and `/`.
///
/// ```
/// use cornelhitch_types::model::Reference;
///
/// let reference: Reference = "preview@2".parse()?;
/// assert_eq!(&*reference.model, "preview");
/// assert_eq!(reference.to_string(), "preview@2");
/// # Ok::<(), cornelhitch_types::model::Error>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Reference {
    /// The name of the base model.
    pub model: ModelId,
    /// The version; `None` for the version in force.
    pub version: Option<Name>,
    /// The adapter to apply on top of the base model, if any.
    pub adapter: Option<Name>,
}

/// A string that is not a valid model reference.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The string is longer than [`MAX_REFERENCE_BYTES`].
    #[snafu(display("a model name has {length} bytes, at most {MAX_REFERENCE_BYTES} are allowed"))]
    TooLong {
        /// Length of the string in bytes.
        length: usize,
    },
    /// A part is empty.
    #[snafu(display("the {part} in the model name {text:?} is empty"))]
    Empty {
        /// The name of the part: model, version or adapter.
        part: &'static str,
        /// The complete string.
        text: String,
    },
    /// A part contains a character that is not allowed.
    #[snafu(display("the {part} in the model name {text:?} has the character {found:?}"))]
    InvalidCharacter {
        /// The name of the part: model, version or adapter.
        part: &'static str,
        /// The complete string.
        text: String,
        /// The first character that is not allowed.
        found: char,
    },
}

impl Reference {
    /// Returns a reference to the base model, without version or adapter.
    ///
    /// ```
    /// use cornelhitch_types::model::Reference;
    ///
    /// assert_eq!(Reference::base("report").to_string(), "report");
    /// ```
    #[must_use]
    pub fn base(model: impl Into<ModelId>) -> Self {
        Self {
            model: model.into(),
            version: None,
            adapter: None,
        }
    }
}

impl FromStr for Reference {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        ensure!(
            text.len() <= MAX_REFERENCE_BYTES,
            TooLongSnafu { length: text.len() }
        );
        let (rest, adapter) = match text.split_once('+') {
            Some((rest, adapter)) => (rest, Some(parse_part("adapter", adapter, text)?)),
            None => (text, None),
        };
        let (model, version) = match rest.split_once('@') {
            Some((model, version)) => (model, Some(parse_part("version", version, text)?)),
            None => (rest, None),
        };
        Ok(Self {
            model: parse_part("model", model, text)?,
            version,
            adapter,
        })
    }
}

impl fmt::Display for Reference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.model)?;
        if let Some(version) = &self.version {
            write!(f, "@{version}")?;
        }
        if let Some(adapter) = &self.adapter {
            write!(f, "+{adapter}")?;
        }
        Ok(())
    }
}

/// Validates one part of a reference.
fn parse_part(part: &'static str, value: &str, text: &str) -> Result<Name, Error> {
    ensure!(!value.is_empty(), EmptySnafu { part, text });
    let invalid = value
        .chars()
        .find(|c| !c.is_ascii_alphanumeric() && !"-_./".contains(*c));
    if let Some(found) = invalid {
        return InvalidCharacterSnafu { part, text, found }.fail();
    }
    Ok(value.into())
}
