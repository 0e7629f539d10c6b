//! Serializes fleet settings to YAML that parses back to equal settings.

use std::fmt;

use serde_json::Value;

use crate::fleet::FleetSettings;
use crate::schema::{Schema, ValueType};
use crate::table::FLEET;

impl fmt::Display for FleetSettings {
    /// Writes all settings in block style, with the keys in the order of the schema.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let value = serde_json::to_value(self).map_err(|_| fmt::Error)?;
        write_map(f, &value, &FLEET, 0, "")
    }
}

/// Writes the keys of a map; `dash` is put before the first.
fn write_map(
    f: &mut fmt::Formatter<'_>,
    value: &Value,
    schema: &Schema,
    indent: usize,
    dash: &str,
) -> fmt::Result {
    let mut dash = dash;
    for key in schema.keys {
        let Some(value) = value.get(key.name).filter(|value| !value.is_null()) else {
            continue;
        };
        let margin = indent - dash.len();
        write!(f, "{:margin$}{dash}{}:", "", key.name)?;
        dash = "";
        match (&key.value_type, value) {
            (ValueType::Map(schema), value) => {
                writeln!(f)?;
                write_map(f, value, schema, indent + 2, "")?;
            }
            (ValueType::List(ValueType::Map(schema)), Value::Array(list)) if !list.is_empty() => {
                writeln!(f)?;
                for item in list {
                    write_map(f, item, schema, indent + 4, "- ")?;
                }
            }
            (_, value) => writeln!(f, " {}", flow_value(value))?,
        }
    }
    Ok(())
}

/// Formats a scalar, or a list of scalars, on one line.
fn flow_value(value: &Value) -> String {
    match value {
        Value::String(text) if is_plain(text) => text.clone(),
        Value::String(text) => double_quoted(text),
        Value::Array(list) => {
            let items: Vec<_> = list.iter().map(flow_value).collect();
            format!("[{}]", items.join(", "))
        }
        other => other.to_string(),
    }
}

/// Returns whether a text needs no quotes.
fn is_plain(text: &str) -> bool {
    let is_word = text.starts_with(|c: char| c.is_ascii_alphabetic())
        && text
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || "-_./".contains(c));
    is_word
        && !matches!(
            text.to_ascii_lowercase().as_str(),
            "null" | "true" | "false"
        )
}

/// Puts a text in double quotes and escapes all but printable ASCII and alphanumeric characters.
fn double_quoted(text: &str) -> String {
    let inner: String = text.chars().map(escape_char).collect();
    format!("\"{inner}\"")
}

/// Escapes a character for double quotes.
fn escape_char(c: char) -> String {
    match c {
        '"' | '\\' => format!("\\{c}"),
        ' '..='~' => c.to_string(),
        c if c.is_alphanumeric() => c.to_string(),
        c => format!("\\U{:08x}", u32::from(c)),
    }
}
