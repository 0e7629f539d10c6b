//! Holds a document against the table of its keys, and notes every fault.

use std::net::SocketAddr;

use marked_yaml::Node;
use marked_yaml::types::{MarkedMappingNode, MarkedScalarNode, MarkedSequenceNode};

use crate::document::{Place, items, place, scalar, start};
use crate::error::Fault;
use crate::schema::{Form, Key, Kind, Shape};

/// How many letters may differ between a key and the one that was meant.
const NEAR: usize = 2;

/// The longest name in bytes.
const NAME: usize = 128;

/// All faults of a document against a shape.
pub fn check(root: &Node, shape: &Shape) -> Vec<Fault> {
    let mut checker = Checker {
        root,
        faults: Vec::new(),
    };
    if let Some(map) = root.as_mapping() {
        checker.map(map, shape);
    }
    checker.faults
}

/// Walks through a document.
struct Checker<'a> {
    /// The document, in which names are looked up.
    root: &'a Node,
    /// The faults so far.
    faults: Vec<Fault>,
}

impl Checker<'_> {
    /// Notes a fault.
    fn fault(&mut self, place: Place, message: String) {
        self.faults.push(place.fault(message));
    }

    /// Checks the keys of a map.
    fn map(&mut self, map: &MarkedMappingNode, shape: &Shape) {
        for (name, value) in map.iter() {
            if let Some(key) = shape.key(name.as_str()) {
                self.value(key.name, &key.kind, value, name.span().into());
            } else {
                let message = unknown(name.as_str(), shape);
                self.fault(name.span().into(), message);
            }
        }
        let missing = |key: &&Key| key.required && map.get_node(key.name).is_none();
        for key in shape.keys.iter().filter(missing) {
            let message = format!("{} has no `{}`", shape.noun, key.name);
            self.fault(start(map), message);
        }
    }

    /// Checks one value; `before` is the place of its key, where an empty one is told.
    fn value(&mut self, name: &str, kind: &Kind, node: &Node, before: Place) {
        match (kind, node) {
            (Kind::Map(shape), Node::Mapping(map)) => self.map(map, shape),
            (Kind::List(kind), Node::Sequence(list)) => self.list(name, kind, list),
            (Kind::Map(_) | Kind::List(_), Node::Scalar(scalar)) if empty(scalar) => (),
            (_, Node::Scalar(scalar)) if empty(scalar) => {
                self.fault(before, format!("`{name}` has no value"));
            }
            (Kind::Map(_), _) => self.fault(place(node), format!("`{name}` is no map of keys")),
            (Kind::List(_), _) => self.fault(place(node), format!("`{name}` is no list")),
            (_, Node::Scalar(scalar)) => {
                if let Some(message) = self.scalar(name, kind, scalar) {
                    self.fault(place(node), message);
                }
            }
            (_, Node::Mapping(_)) => self.fault(place(node), format!("`{name}` is a map")),
            (_, Node::Sequence(_)) => self.fault(place(node), format!("`{name}` is a list")),
        }
    }

    /// Checks the items of a list, and that they differ.
    fn list(&mut self, name: &str, kind: &Kind, list: &MarkedSequenceNode) {
        let mut seen: Vec<&MarkedScalarNode> = Vec::new();
        for item in list.iter() {
            self.value(name, kind, item, place(item));
            let named = item.as_scalar().or_else(|| scalar(item, "name"));
            let Some(named) = named else { continue };
            let before = seen.iter().find(|before| before.as_str() == named.as_str());
            if let Some(before) = before {
                let line = Place::from(before.span()).line;
                let message = format!(
                    "`{}` stands in `{name}` twice, first on line {line}",
                    &**named
                );
                self.fault(named.span().into(), message);
            }
            seen.push(named);
        }
    }

    /// What is wrong with a scalar.
    fn scalar(&self, name: &str, kind: &Kind, scalar: &MarkedScalarNode) -> Option<String> {
        let text = scalar.as_str();
        match kind {
            Kind::Whole(least, most) => {
                let fits = scalar
                    .as_u64()
                    .is_some_and(|n| (*least..=*most).contains(&n));
                let wanted = || format!("a whole number from {least} to {most}");
                (!fits).then(|| format!("`{name}` is {text:?}, not {}", wanted()))
            }
            Kind::Number(least, most) => {
                let fits = scalar
                    .as_f64()
                    .is_some_and(|n| (*least..=*most).contains(&n));
                let wanted = || format!("a number from {least} to {most}");
                (!fits).then(|| format!("`{name}` is {text:?}, not {}", wanted()))
            }
            Kind::Switch => {
                let fits = scalar.as_bool().is_some();
                (!fits).then(|| format!("`{name}` is {text:?}, not true or false"))
            }
            Kind::Choice(words) => {
                let fits = words.contains(&text);
                (!fits).then(|| format!("`{name}` is {text:?}, not one of {}", words.join(", ")))
            }
            Kind::Reference(list) => self.reference(name, list, text),
            Kind::Text(form) => {
                form_fault(*form, text).map(|why| format!("`{name}` is {text:?}{why}"))
            }
            Kind::Map(_) | Kind::List(_) => None,
        }
    }

    /// What is wrong with a name that stands for an item of a list.
    fn reference(&self, name: &str, list: &str, text: &str) -> Option<String> {
        let mut names = items(self.root, list).filter_map(|item| scalar(item, "name"));
        let known = names.clone().any(|known| known.as_str() == text);
        if known {
            return None;
        }
        let meant = names.find(|known| distance(known.as_str(), text) <= NEAR);
        let hint = meant.map(|meant| format!("; did you mean {:?}?", meant.as_str()));
        let hint = hint.unwrap_or_default();
        Some(format!(
            "`{name}` is {text:?}, which is not in `{list}`{hint}"
        ))
    }
}

/// Whether a scalar is left empty.
fn empty(scalar: &MarkedScalarNode) -> bool {
    scalar.may_coerce() && matches!(scalar.as_str(), "" | "~" | "null" | "Null" | "NULL")
}

/// What is wrong with a text of a form.
fn form_fault(form: Form, text: &str) -> Option<String> {
    let (fits, wanted) = match form {
        Form::Sentence => (!text.trim().is_empty(), ", which says nothing"),
        Form::Name => (name_like(text, true), NAMES),
        Form::Segment => (
            name_like(text, false) && !matches!(text, "." | ".."),
            SEGMENTS,
        ),
        Form::Method => (
            !text.is_empty() && text.chars().all(|c| c.is_ascii_uppercase()),
            ", not an HTTP method in capitals",
        ),
        Form::Address => (address(text).is_some(), ", not an IP address with a port"),
        Form::Reachable => (
            address(text).is_some_and(|address| reachable(&address)),
            ", not an IP address with a port that others can connect to",
        ),
        Form::Path => (
            !text.trim().is_empty() && !text.contains('\0'),
            ", not a path",
        ),
        Form::Url => (
            url(text),
            ", not a URL of the form http://HOST[:PORT][/PATH]",
        ),
    };
    (!fits).then(|| wanted.to_owned())
}

/// What a name is made of.
const NAMES: &str = ", not a name of up to 128 ASCII letters, digits, `-`, `_`, `.` and `/`";
/// What a part of a path is made of.
const SEGMENTS: &str = ", not a name of up to 128 ASCII letters, digits, `-`, `_` and `.`";

/// Whether a text is a name.
fn name_like(text: &str, slashes: bool) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c) || slashes && c == '/';
    !text.is_empty() && text.len() <= NAME && text.chars().all(plain)
}

/// An address with a port.
fn address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

/// Whether others can connect to an address.
fn reachable(address: &SocketAddr) -> bool {
    address.port() != 0 && !address.ip().is_unspecified()
}

/// Whether a text is an `http` URL with a host.
fn url(text: &str) -> bool {
    let rest = text
        .strip_prefix("http://")
        .or(text.strip_prefix("https://"));
    let host = rest.and_then(|rest| rest.split(['/', '?', '#']).next());
    host.is_some_and(|host| !host.is_empty()) && !text.chars().any(char::is_whitespace)
}

/// What is said of a key that is not in the table.
fn unknown(name: &str, shape: &Shape) -> String {
    let meant = shape
        .keys
        .iter()
        .find(|key| distance(key.name, name) <= NEAR);
    let hint = if let Some(key) = meant {
        format!("did you mean `{}`?", key.name)
    } else {
        let keys: Vec<_> = shape.keys.iter().map(|key| key.name).collect();
        format!("it has {}", keys.join(", "))
    };
    format!("{} has no key {name:?}; {hint}", shape.noun)
}

/// How many letters must be put in, taken out or changed (Levenshtein's distance).
fn distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().take(NAME).collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, of_a) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, of_b) in b.iter().enumerate() {
            let change = diagonal + usize::from(of_a != *of_b);
            diagonal = row[j + 1];
            row[j + 1] = change.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}
