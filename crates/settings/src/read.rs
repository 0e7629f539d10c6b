//! Parses and validates settings, collecting all faults.

use marked_yaml::Node;
use serde::de::DeserializeOwned;

use crate::check;
use crate::document::{Position, parse};
use crate::error::{Error, Fault};
use crate::schema::Schema;

/// Parses a file and validates it against a schema and constraints between keys.
pub fn read<T: DeserializeOwned>(
    text: &str,
    schema: &Schema,
    constraints: impl Fn(&Node) -> Vec<Fault>,
) -> Result<T, Error> {
    let root = parse(text)?;
    let mut faults = check::check(&root, schema);
    faults.extend(constraints(&root));
    if faults.is_empty() {
        return marked_yaml::from_node(&root).map_err(|error| {
            let position = error
                .start_mark()
                .map_or(Position::START, |mark| (&mark).into());
            let faults = vec![position.fault(error.to_string())];
            Error { faults }
        });
    }
    faults.sort_by_key(|fault| (fault.line, fault.column));
    Err(Error { faults })
}
