//! Parses YAML into nodes with positions, with limits on size and nesting for untrusted input.

use marked_yaml::types::{MarkedMappingNode, MarkedScalarNode};
use marked_yaml::{LoadError, LoaderOptions, Marker, Node, Span};
use yaml_rust2::scanner::{Scanner, TokenType};

use crate::error::{Error, Fault};

/// Longest accepted file, in bytes.
const MAX_FILE_BYTES: usize = 4 << 20;

/// Deepest accepted nesting of lists and maps.
const MAX_DEPTH: usize = 16;

/// A position in a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1.
    pub column: usize,
}

impl Position {
    /// The start of the file.
    pub const START: Self = Self { line: 1, column: 1 };

    /// Returns a fault at this position.
    pub fn fault(self, message: impl Into<String>) -> Fault {
        Fault {
            line: self.line,
            column: self.column,
            message: message.into(),
        }
    }
}

impl From<&Marker> for Position {
    fn from(marker: &Marker) -> Self {
        Self {
            line: marker.line(),
            column: marker.column(),
        }
    }
}

impl From<&Span> for Position {
    fn from(span: &Span) -> Self {
        span.start().map_or(Self::START, Self::from)
    }
}

/// Returns the position of a node.
pub fn position(node: &Node) -> Position {
    match node {
        Node::Mapping(map) => mapping_start(map),
        other => other.span().into(),
    }
}

/// Returns the position where a map starts; `marked_yaml` marks a map in block style after its
/// first key.
pub fn mapping_start(map: &MarkedMappingNode) -> Position {
    let own = Position::from(map.span());
    let first = map.keys().next();
    first.map_or(own, |key| own.min(key.span().into()))
}

/// Returns the scalar under a key of a map.
pub fn scalar<'a>(node: &'a Node, key: &str) -> Option<&'a MarkedScalarNode> {
    node.as_mapping()?.get_scalar(key)
}

/// Returns the non-negative integer under a key of a map; `None` if it is absent or of another
/// type.
pub fn integer(node: &Node, key: &str) -> Option<u64> {
    scalar(node, key)?.as_u64()
}

/// Iterates over the list under a key of a map; empty if there is no such list.
pub fn items<'a>(node: &'a Node, key: &str) -> impl Iterator<Item = &'a Node> + Clone {
    let list = node.as_mapping().and_then(|map| map.get_sequence(key));
    list.into_iter().flat_map(|list| list.iter())
}

/// Parses the text of a file.
pub fn parse(text: &str) -> Result<Node, Error> {
    check_bounds(text)?;
    let options = LoaderOptions::default()
        .error_on_duplicate_keys(true)
        .prevent_coercion(true);
    marked_yaml::parse_yaml_with_options(0, text, options)
        .map_err(|error| single_fault(load_fault(&error)))
}

/// Rejects input that is too long, nested too deeply, or more than one document.
fn check_bounds(text: &str) -> Result<(), Error> {
    if text.len() > MAX_FILE_BYTES {
        let message = format!("the file is longer than {MAX_FILE_BYTES} bytes");
        return Err(single_fault(Position::START.fault(message)));
    }
    let mut bounds = DocumentBounds::default();
    for token in Scanner::new(text.chars()) {
        if let Some(message) = bounds.check_token(&token.1) {
            let position = Position {
                line: token.0.line(),
                column: token.0.col() + 1,
            };
            return Err(single_fault(position.fault(message)));
        }
    }
    Ok(())
}

/// Tracks nesting depth and document boundaries, token by token.
#[derive(Debug, Default)]
struct DocumentBounds {
    /// Number of open lists and maps.
    depth: usize,
    /// Whether the document has any content yet.
    has_content: bool,
    /// Whether the first document has ended.
    first_document_ended: bool,
}

impl DocumentBounds {
    /// Processes the next token; returns an error message if it is not acceptable.
    fn check_token(&mut self, token: &TokenType) -> Option<String> {
        match token {
            TokenType::StreamStart(_)
            | TokenType::StreamEnd
            | TokenType::VersionDirective(..)
            | TokenType::TagDirective(..) => return None,
            TokenType::DocumentStart if !self.has_content => return None,
            TokenType::DocumentEnd => {
                self.first_document_ended = self.has_content;
                return None;
            }
            TokenType::DocumentStart => self.first_document_ended = true,
            TokenType::BlockSequenceStart
            | TokenType::BlockMappingStart
            | TokenType::FlowSequenceStart
            | TokenType::FlowMappingStart => self.depth += 1,
            TokenType::BlockEnd | TokenType::FlowSequenceEnd | TokenType::FlowMappingEnd => {
                self.depth = self.depth.saturating_sub(1);
            }
            _ => (),
        }
        self.has_content = true;
        if self.first_document_ended {
            return Some("a second document starts here, and one is read".to_owned());
        }
        (self.depth > MAX_DEPTH).then(|| format!("lists and maps lie more than {MAX_DEPTH} deep"))
    }
}

/// Returns an error with a single fault.
fn single_fault(fault: Fault) -> Error {
    let faults = vec![fault];
    Error { faults }
}

/// Converts an error of the YAML library to a fault.
fn load_fault(error: &LoadError) -> Fault {
    match error {
        LoadError::TopLevelMustBeMapping(at) | LoadError::TopLevelMustBeSequence(at) => {
            Position::from(at).fault("the file is no map of keys and values")
        }
        LoadError::UnexpectedAnchor(at) => Position::from(at).fault("anchors are not allowed"),
        LoadError::UnexpectedTag(at) => Position::from(at).fault("tags are not allowed"),
        LoadError::MappingKeyMustBeScalar(at) => Position::from(at).fault("a key is no plain word"),
        LoadError::ScanError(at, error) => {
            Position::from(at).fault(format!("no YAML: {}", error.info()))
        }
        LoadError::DuplicateKey(keys) => {
            let first = Position::from(keys.prev_key.span());
            let message = format!(
                "the key `{}` stands here again, after line {}",
                keys.key.as_str(),
                first.line
            );
            Position::from(keys.key.span()).fault(message)
        }
    }
}
