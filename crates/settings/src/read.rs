//! From text to settings, or to every fault in it.

use marked_yaml::Node;
use serde::de::DeserializeOwned;

use crate::check;
use crate::document::{Place, parse};
use crate::error::{Error, Fault};
use crate::schema::Shape;

/// Reads a file of a shape, whose keys are in a relation to each other.
pub fn read<T: DeserializeOwned>(
    text: &str,
    shape: &Shape,
    relations: impl Fn(&Node) -> Vec<Fault>,
) -> Result<T, Error> {
    let root = parse(text)?;
    let mut faults = check::check(&root, shape);
    faults.extend(relations(&root));
    if faults.is_empty() {
        return marked_yaml::from_node(&root).map_err(|error| {
            let place = error
                .start_mark()
                .map_or(Place::START, |mark| (&mark).into());
            let faults = vec![place.fault(error.to_string())];
            Error { faults }
        });
    }
    faults.sort_by_key(|fault| (fault.line, fault.column));
    Err(Error { faults })
}
