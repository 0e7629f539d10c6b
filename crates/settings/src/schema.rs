//! Schema of the settings files.
//!
//! A new key is a row in [`crate::table`] and a field in [`crate::fleet`] or [`crate::process`];
//! `docs/SETTINGS.md` is generated from the tables.

/// Type and limits of a key's value.
#[derive(Debug, Clone, Copy)]
pub enum ValueType {
    /// A non-negative integer from the first to the second value, both included.
    Integer(u64, u64),
    /// A number from the first to the second value, both included.
    Number(f64, f64),
    /// `true` or `false`.
    Bool,
    /// Text in a given format.
    Text(TextFormat),
    /// One of the listed words.
    Choice(&'static [&'static str]),
    /// The name of an item in the named list of the same file.
    Reference(&'static str),
    /// A map with its own schema.
    Map(&'static Schema),
    /// A list of values of one type; named items and words must be distinct.
    List(&'static ValueType),
}

/// Format of a text value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TextFormat {
    /// Human-readable text, not blank.
    Sentence,
    /// A name: ASCII letters, digits, `-`, `_`, `.` and `/`.
    Name,
    /// A name that is one segment of a path: the same without `/`.
    Segment,
    /// An HTTP method in upper case.
    Method,
    /// An IP address with a port.
    Address,
    /// An IP address with a port that other hosts can connect to.
    ReachableAddress,
    /// A file system path.
    Path,
    /// An `http` or `https` URL.
    Url,
}

/// A key of a map.
#[derive(Debug, Clone, Copy)]
pub struct Key {
    /// The name as written in the file.
    pub name: &'static str,
    /// The type and limits of its value.
    pub value_type: ValueType,
    /// Help text for operators.
    pub help: &'static str,
    /// Whether the key must be present.
    pub required: bool,
}

/// The keys of a map.
#[derive(Debug, Clone, Copy)]
pub struct Schema {
    /// The name of the map in error messages and on the reference page.
    pub noun: &'static str,
    /// The keys, in the order in which they are written.
    pub keys: &'static [Key],
}

impl Schema {
    /// Returns the key of the given name.
    pub fn key(&self, name: &str) -> Option<&'static Key> {
        self.keys.iter().find(|key| key.name == name)
    }
}
