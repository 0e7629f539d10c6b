//! Prints settings as YAML that reads back equal.

use std::fmt;

use serde_json::Value;

use crate::fleet::Fleet;
use crate::schema::{Kind, Shape};
use crate::table::FLEET;

impl fmt::Display for Fleet {
    /// The whole settings in block style, with the keys in the order of their table.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let value = serde_json::to_value(self).map_err(|_| fmt::Error)?;
        map(f, &value, &FLEET, 0, "")
    }
}

/// Prints the keys of a map; the first may stand behind a dash.
fn map(
    f: &mut fmt::Formatter<'_>,
    value: &Value,
    shape: &Shape,
    indent: usize,
    dash: &str,
) -> fmt::Result {
    let mut dash = dash;
    for key in shape.keys {
        let Some(value) = value.get(key.name).filter(|value| !value.is_null()) else {
            continue;
        };
        let margin = indent - dash.len();
        write!(f, "{:margin$}{dash}{}:", "", key.name)?;
        dash = "";
        match (&key.kind, value) {
            (Kind::Map(shape), value) => {
                writeln!(f)?;
                map(f, value, shape, indent + 2, "")?;
            }
            (Kind::List(Kind::Map(shape)), Value::Array(list)) if !list.is_empty() => {
                writeln!(f)?;
                for item in list {
                    map(f, item, shape, indent + 4, "- ")?;
                }
            }
            (_, value) => writeln!(f, " {}", flow(value))?,
        }
    }
    Ok(())
}

/// A scalar, or a list of scalars, on one line.
fn flow(value: &Value) -> String {
    match value {
        Value::String(text) if plain(text) => text.clone(),
        Value::String(text) => quoted(text),
        Value::Array(list) => {
            let items: Vec<_> = list.iter().map(flow).collect();
            format!("[{}]", items.join(", "))
        }
        other => other.to_string(),
    }
}

/// Whether a text needs no quotes.
fn plain(text: &str) -> bool {
    let word = text.starts_with(|c: char| c.is_ascii_alphabetic())
        && text
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || "-_./".contains(c));
    word && !matches!(
        text.to_ascii_lowercase().as_str(),
        "null" | "true" | "false"
    )
}

/// A text in double quotes, with all but plain letters escaped.
fn quoted(text: &str) -> String {
    let inner: String = text.chars().map(escaped).collect();
    format!("\"{inner}\"")
}

/// A character as it stands in double quotes.
fn escaped(c: char) -> String {
    match c {
        '"' | '\\' => format!("\\{c}"),
        ' '..='~' => c.to_string(),
        c if c.is_alphanumeric() => c.to_string(),
        c => format!("\\U{:08x}", u32::from(c)),
    }
}
