//! The name by which callers ask for a model, a version and an adapter.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use crate::id::{ModelId, Name};

/// The longest reference in bytes.
pub const LIMIT: usize = 256;

/// A model as a caller names it: `MODEL[@VERSION][+ADAPTER]`.
///
/// Every part is made of ASCII letters, digits, `-`, `_`, `.` and `/`.
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
    /// The base model.
    pub model: ModelId,
    /// The version, or the one in force where none is named.
    pub version: Option<Name>,
    /// The adapter on top of the base model.
    pub adapter: Option<Name>,
}

/// Why a text is not a reference.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The text is longer than [`LIMIT`].
    #[snafu(display("a model name has {length} bytes, at most {LIMIT} are allowed"))]
    Long {
        /// Its length in bytes.
        length: usize,
    },
    /// A part has no characters.
    #[snafu(display("the {part} in the model name {text:?} is empty"))]
    Empty {
        /// Which part.
        part: &'static str,
        /// The whole text.
        text: String,
    },
    /// A part has a character that is not allowed.
    #[snafu(display("the {part} in the model name {text:?} has the character {found:?}"))]
    Character {
        /// Which part.
        part: &'static str,
        /// The whole text.
        text: String,
        /// The character.
        found: char,
    },
}

impl Reference {
    /// The base model alone.
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
        ensure!(text.len() <= LIMIT, LongSnafu { length: text.len() });
        let (rest, adapter) = match text.split_once('+') {
            Some((rest, adapter)) => (rest, Some(part("adapter", adapter, text)?)),
            None => (text, None),
        };
        let (model, version) = match rest.split_once('@') {
            Some((model, version)) => (model, Some(part("version", version, text)?)),
            None => (rest, None),
        };
        Ok(Self {
            model: part("model", model, text)?,
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

/// Checks one part of a reference.
fn part(part: &'static str, value: &str, text: &str) -> Result<Name, Error> {
    ensure!(!value.is_empty(), EmptySnafu { part, text });
    let odd = value
        .chars()
        .find(|c| !c.is_ascii_alphanumeric() && !"-_./".contains(*c));
    if let Some(found) = odd {
        return CharacterSnafu { part, text, found }.fail();
    }
    Ok(value.into())
}
