//! Validates a document against its schema and collects all faults.

use std::net::SocketAddr;

use marked_yaml::Node;
use marked_yaml::types::{MarkedMappingNode, MarkedScalarNode, MarkedSequenceNode};

use crate::document::{Position, items, mapping_start, position, scalar};
use crate::error::Fault;
use crate::schema::{Key, Schema, TextFormat, ValueType};

/// Largest edit distance between an unknown key or name and the one suggested for it.
const MAX_SUGGESTION_DISTANCE: usize = 2;

/// Longest name, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Returns all violations of a schema by a document.
pub fn check(root: &Node, schema: &Schema) -> Vec<Fault> {
    let mut checker = Checker {
        root,
        faults: Vec::new(),
    };
    if let Some(map) = root.as_mapping() {
        checker.check_map(map, schema);
    }
    checker.faults
}

/// Validates the nodes of a document and collects faults.
struct Checker<'a> {
    /// Root of the document, for looking up referenced names.
    root: &'a Node,
    /// The faults found so far.
    faults: Vec<Fault>,
}

impl Checker<'_> {
    fn report(&mut self, position: Position, message: String) {
        self.faults.push(position.fault(message));
    }

    /// Checks the keys of a map.
    fn check_map(&mut self, map: &MarkedMappingNode, schema: &Schema) {
        for (name, value) in map.iter() {
            if let Some(key) = schema.key(name.as_str()) {
                self.check_value(key.name, &key.value_type, value, name.span().into());
            } else {
                let message = unknown_key(name.as_str(), schema);
                self.report(name.span().into(), message);
            }
        }
        let missing = |key: &&Key| key.required && map.get_node(key.name).is_none();
        for key in schema.keys.iter().filter(missing) {
            let message = format!("{} has no `{}`", schema.noun, key.name);
            self.report(mapping_start(map), message);
        }
    }

    /// Checks one value; an empty one is reported at `key_position`, the position of its key.
    fn check_value(
        &mut self,
        name: &str,
        value_type: &ValueType,
        node: &Node,
        key_position: Position,
    ) {
        match (value_type, node) {
            (ValueType::Map(schema), Node::Mapping(map)) => self.check_map(map, schema),
            (ValueType::List(value_type), Node::Sequence(list)) => {
                self.check_list(name, value_type, list);
            }
            (ValueType::Map(_) | ValueType::List(_), Node::Scalar(scalar)) if is_null(scalar) => (),
            (_, Node::Scalar(scalar)) if is_null(scalar) => {
                self.report(key_position, format!("`{name}` has no value"));
            }
            (ValueType::Map(_), _) => {
                self.report(position(node), format!("`{name}` is no map of keys"));
            }
            (ValueType::List(_), _) => {
                self.report(position(node), format!("`{name}` is no list"));
            }
            (_, Node::Scalar(scalar)) => {
                if let Some(message) = self.scalar_fault(name, value_type, scalar) {
                    self.report(position(node), message);
                }
            }
            (_, Node::Mapping(_)) => self.report(position(node), format!("`{name}` is a map")),
            (_, Node::Sequence(_)) => self.report(position(node), format!("`{name}` is a list")),
        }
    }

    /// Checks the items of a list, which must be distinct.
    fn check_list(&mut self, name: &str, value_type: &ValueType, list: &MarkedSequenceNode) {
        let mut seen: Vec<&MarkedScalarNode> = Vec::new();
        for item in list.iter() {
            self.check_value(name, value_type, item, position(item));
            let named = item.as_scalar().or_else(|| scalar(item, "name"));
            let Some(named) = named else { continue };
            let before = seen.iter().find(|before| before.as_str() == named.as_str());
            if let Some(before) = before {
                let line = Position::from(before.span()).line;
                let message = format!(
                    "`{}` stands in `{name}` twice, first on line {line}",
                    &**named
                );
                self.report(named.span().into(), message);
            }
            seen.push(named);
        }
    }

    /// Returns the error message for an invalid scalar.
    fn scalar_fault(
        &self,
        name: &str,
        value_type: &ValueType,
        scalar: &MarkedScalarNode,
    ) -> Option<String> {
        let text = scalar.as_str();
        match value_type {
            ValueType::Integer(min, max) => {
                let is_valid = scalar.as_u64().is_some_and(|n| (*min..=*max).contains(&n));
                let expected = || format!("a whole number from {min} to {max}");
                (!is_valid).then(|| format!("`{name}` is {text:?}, not {}", expected()))
            }
            ValueType::Number(min, max) => {
                let is_valid = scalar.as_f64().is_some_and(|n| (*min..=*max).contains(&n));
                let expected = || format!("a number from {min} to {max}");
                (!is_valid).then(|| format!("`{name}` is {text:?}, not {}", expected()))
            }
            ValueType::Bool => {
                let is_valid = scalar.as_bool().is_some();
                (!is_valid).then(|| format!("`{name}` is {text:?}, not true or false"))
            }
            ValueType::Choice(choices) => {
                let is_valid = choices.contains(&text);
                (!is_valid)
                    .then(|| format!("`{name}` is {text:?}, not one of {}", choices.join(", ")))
            }
            ValueType::Reference(list) => self.reference_fault(name, list, text),
            ValueType::Text(format) => {
                format_fault(*format, text).map(|why| format!("`{name}` is {text:?}{why}"))
            }
            ValueType::Map(_) | ValueType::List(_) => None,
        }
    }

    /// Returns the error message for a reference to an item that does not exist.
    fn reference_fault(&self, name: &str, list: &str, text: &str) -> Option<String> {
        let mut names = items(self.root, list).filter_map(|item| scalar(item, "name"));
        let known = names.clone().any(|known| known.as_str() == text);
        if known {
            return None;
        }
        let suggestion =
            names.find(|known| edit_distance(known.as_str(), text) <= MAX_SUGGESTION_DISTANCE);
        let hint =
            suggestion.map(|suggestion| format!("; did you mean {:?}?", suggestion.as_str()));
        let hint = hint.unwrap_or_default();
        Some(format!(
            "`{name}` is {text:?}, which is not in `{list}`{hint}"
        ))
    }
}

/// Returns whether a scalar is empty or a plain null.
fn is_null(scalar: &MarkedScalarNode) -> bool {
    scalar.may_coerce() && matches!(scalar.as_str(), "" | "~" | "null" | "Null" | "NULL")
}

/// Returns the error message for a text of the wrong format.
fn format_fault(format: TextFormat, text: &str) -> Option<String> {
    let (is_valid, expected) = match format {
        TextFormat::Sentence => (!text.trim().is_empty(), ", which says nothing"),
        TextFormat::Name => (is_name(text, true), NOT_A_NAME),
        TextFormat::Segment => (
            is_name(text, false) && !matches!(text, "." | ".."),
            NOT_A_SEGMENT,
        ),
        TextFormat::Method => (
            !text.is_empty() && text.chars().all(|c| c.is_ascii_uppercase()),
            ", not an HTTP method in capitals",
        ),
        TextFormat::Address => (
            parse_address(text).is_some(),
            ", not an IP address with a port",
        ),
        TextFormat::ReachableAddress => (
            parse_address(text).is_some_and(|address| is_reachable(&address)),
            ", not an IP address with a port that others can connect to",
        ),
        TextFormat::Path => (
            !text.trim().is_empty() && !text.contains('\0'),
            ", not a path",
        ),
        TextFormat::Url => (
            is_http_url(text),
            ", not a URL of the form http://HOST[:PORT][/PATH]",
        ),
    };
    (!is_valid).then(|| expected.to_owned())
}

/// Error message for a text that is not a name.
const NOT_A_NAME: &str = ", not a name of up to 128 ASCII letters, digits, `-`, `_`, `.` and `/`";
/// Error message for a text that is not a path segment.
const NOT_A_SEGMENT: &str = ", not a name of up to 128 ASCII letters, digits, `-`, `_` and `.`";

/// Returns whether a text is a name, in which `/` is allowed if `allow_slashes` is set.
fn is_name(text: &str, allow_slashes: bool) -> bool {
    let is_allowed =
        |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c) || allow_slashes && c == '/';
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(is_allowed)
}

/// Parses an IP address with a port.
fn parse_address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

/// Returns whether other hosts can connect to an address: it has a specific IP and a port.
fn is_reachable(address: &SocketAddr) -> bool {
    address.port() != 0 && !address.ip().is_unspecified()
}

/// Returns whether a text is an `http` or `https` URL with a host.
fn is_http_url(text: &str) -> bool {
    let rest = text
        .strip_prefix("http://")
        .or(text.strip_prefix("https://"));
    let host = rest.and_then(|rest| rest.split(['/', '?', '#']).next());
    host.is_some_and(|host| !host.is_empty()) && !text.chars().any(char::is_whitespace)
}

/// Returns the error message for a key that is not in the schema.
fn unknown_key(name: &str, schema: &Schema) -> String {
    let suggestion = schema
        .keys
        .iter()
        .find(|key| edit_distance(key.name, name) <= MAX_SUGGESTION_DISTANCE);
    let hint = if let Some(key) = suggestion {
        format!("did you mean `{}`?", key.name)
    } else {
        let keys: Vec<_> = schema.keys.iter().map(|key| key.name).collect();
        format!("it has {}", keys.join(", "))
    };
    format!("{} has no key {name:?}; {hint}", schema.noun)
}

/// Returns the Levenshtein distance between two texts, the second truncated to [`MAX_NAME_BYTES`]
/// characters.
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().take(MAX_NAME_BYTES).collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, char_a) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, char_b) in b.iter().enumerate() {
            let substitution = diagonal + usize::from(char_a != *char_b);
            diagonal = row[j + 1];
            row[j + 1] = substitution.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}
