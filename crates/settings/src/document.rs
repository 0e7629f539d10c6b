//! Reads YAML into nodes with places, within limits that keep any text harmless.

use marked_yaml::types::{MarkedMappingNode, MarkedScalarNode};
use marked_yaml::{LoadError, LoaderOptions, Marker, Node, Span};
use yaml_rust2::scanner::{Scanner, TokenType};

use crate::error::{Error, Fault};

/// The longest file in bytes.
const LIMIT: usize = 4 << 20;

/// How deep lists and maps may lie in one another.
const DEPTH: usize = 16;

/// A place in a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1.
    pub column: usize,
}

impl Place {
    /// The start of the file.
    pub const START: Self = Self { line: 1, column: 1 };

    /// A fault at this place.
    pub fn fault(self, message: impl Into<String>) -> Fault {
        Fault {
            line: self.line,
            column: self.column,
            message: message.into(),
        }
    }
}

impl From<&Marker> for Place {
    fn from(marker: &Marker) -> Self {
        Self {
            line: marker.line(),
            column: marker.column(),
        }
    }
}

impl From<&Span> for Place {
    fn from(span: &Span) -> Self {
        span.start().map_or(Self::START, Self::from)
    }
}

/// The place of a node.
pub fn place(node: &Node) -> Place {
    match node {
        Node::Mapping(map) => start(map),
        other => other.span().into(),
    }
}

/// The start of a map; the library's mark of one in block style lies behind its first key.
pub fn start(map: &MarkedMappingNode) -> Place {
    let own = Place::from(map.span());
    let first = map.keys().next();
    first.map_or(own, |key| own.min(key.span().into()))
}

/// The scalar below a key of a map.
pub fn scalar<'a>(node: &'a Node, key: &str) -> Option<&'a MarkedScalarNode> {
    node.as_mapping()?.get_scalar(key)
}

/// The whole number below a key of a map.
pub fn whole(node: &Node, key: &str) -> Option<u64> {
    scalar(node, key)?.as_u64()
}

/// The items of the list below a key of a map.
pub fn items<'a>(node: &'a Node, key: &str) -> impl Iterator<Item = &'a Node> + Clone {
    let list = node.as_mapping().and_then(|map| map.get_sequence(key));
    list.into_iter().flat_map(|list| list.iter())
}

/// Parses a file.
pub fn parse(text: &str) -> Result<Node, Error> {
    bound(text)?;
    let options = LoaderOptions::default()
        .error_on_duplicate_keys(true)
        .prevent_coercion(true);
    marked_yaml::parse_yaml_with_options(0, text, options).map_err(|error| one(fault(&error)))
}

/// Refuses what is too long, too deep or more than one document.
fn bound(text: &str) -> Result<(), Error> {
    if text.len() > LIMIT {
        let message = format!("the file is longer than {LIMIT} bytes");
        return Err(one(Place::START.fault(message)));
    }
    let mut bounds = Bounds::default();
    for token in Scanner::new(text.chars()) {
        if let Some(message) = bounds.next(&token.1) {
            let place = Place {
                line: token.0.line(),
                column: token.0.col() + 1,
            };
            return Err(one(place.fault(message)));
        }
    }
    Ok(())
}

/// What has been seen of a file, token by token.
#[derive(Debug, Default)]
struct Bounds {
    /// How many lists and maps are open.
    depth: usize,
    /// Whether anything was said.
    content: bool,
    /// Whether the first document has ended.
    ended: bool,
}

impl Bounds {
    /// Takes the next token; says what is wrong with it.
    fn next(&mut self, token: &TokenType) -> Option<String> {
        match token {
            TokenType::StreamStart(_)
            | TokenType::StreamEnd
            | TokenType::VersionDirective(..)
            | TokenType::TagDirective(..) => return None,
            TokenType::DocumentStart if !self.content => return None,
            TokenType::DocumentEnd => {
                self.ended = self.content;
                return None;
            }
            TokenType::DocumentStart => self.ended = true,
            TokenType::BlockSequenceStart
            | TokenType::BlockMappingStart
            | TokenType::FlowSequenceStart
            | TokenType::FlowMappingStart => self.depth += 1,
            TokenType::BlockEnd | TokenType::FlowSequenceEnd | TokenType::FlowMappingEnd => {
                self.depth = self.depth.saturating_sub(1);
            }
            _ => (),
        }
        self.content = true;
        if self.ended {
            return Some("a second document starts here, and one is read".to_owned());
        }
        (self.depth > DEPTH).then(|| format!("lists and maps lie more than {DEPTH} deep"))
    }
}

/// An error of one fault.
fn one(fault: Fault) -> Error {
    let faults = vec![fault];
    Error { faults }
}

/// The fault that the library found.
fn fault(error: &LoadError) -> Fault {
    match error {
        LoadError::TopLevelMustBeMapping(at) | LoadError::TopLevelMustBeSequence(at) => {
            Place::from(at).fault("the file is no map of keys and values")
        }
        LoadError::UnexpectedAnchor(at) => Place::from(at).fault("anchors are not allowed"),
        LoadError::UnexpectedTag(at) => Place::from(at).fault("tags are not allowed"),
        LoadError::MappingKeyMustBeScalar(at) => Place::from(at).fault("a key is no plain word"),
        LoadError::ScanError(at, error) => {
            Place::from(at).fault(format!("no YAML: {}", error.info()))
        }
        LoadError::DuplicateKey(keys) => {
            let first = Place::from(keys.prev_key.span());
            let message = format!(
                "the key `{}` stands here again, after line {}",
                keys.key.as_str(),
                first.line
            );
            Place::from(keys.key.span()).fault(message)
        }
    }
}
