//! What a row of the tables of keys says.
//!
//! A new key is a row in [`crate::table`] and a field in [`crate::fleet`] or
//! [`crate::process`]; `docs/SETTINGS.md` is printed from the tables.

/// What a key's value must be.
#[derive(Debug, Clone, Copy)]
pub enum Kind {
    /// A whole number within limits.
    Whole(u64, u64),
    /// A number within limits.
    Number(f64, f64),
    /// `true` or `false`.
    Switch,
    /// Text of a form.
    Text(Form),
    /// One of some words.
    Choice(&'static [&'static str]),
    /// The name of an item in a list of the same file.
    Reference(&'static str),
    /// Keys of their own.
    Map(&'static Shape),
    /// Several of a kind; items with names, and items that are words, differ from each other.
    List(&'static Kind),
}

/// The form of a text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// A sentence for people, not empty.
    Sentence,
    /// A name: ASCII letters, digits, `-`, `_`, `.` and `/`.
    Name,
    /// A name that is one part of a path: the same without `/`.
    Segment,
    /// An HTTP method in capitals.
    Method,
    /// An IP address with a port.
    Address,
    /// An IP address with a port that others connect to.
    Reachable,
    /// A path in the file system.
    Path,
    /// An `http` URL.
    Url,
}

/// One key.
#[derive(Debug, Clone, Copy)]
pub struct Key {
    /// Its name.
    pub name: &'static str,
    /// What its value must be.
    pub kind: Kind,
    /// What it means, for operators.
    pub meaning: &'static str,
    /// Whether it may not be left out.
    pub required: bool,
}

/// The keys of one map.
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    /// What errors call it.
    pub noun: &'static str,
    /// Its keys, in the order in which they are printed.
    pub keys: &'static [Key],
}

impl Shape {
    /// The key of a name.
    pub fn key(&self, name: &str) -> Option<&'static Key> {
        self.keys.iter().find(|key| key.name == name)
    }
}
