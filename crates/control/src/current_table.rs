//! The route table in force, with the text from which operators submitted it.

use std::sync::Arc;

use bytes::Bytes;
use cornelhitch_types::id::Version;
use cornelhitch_types::route::RouteTable;
use serde::{Deserialize, Serialize};

/// A route table submitted by an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmittedTable {
    /// The parsed and validated table.
    pub table: Arc<RouteTable>,
    /// The text it was parsed from, returned to operators unchanged.
    pub text: Bytes,
}

/// The result of submitting a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The table is in force.
    Accepted,
    /// A table with the same or a higher version stays in force.
    Kept {
        /// The version in force.
        version: Version,
    },
}

/// The route table in force: the one with the highest version, whatever the order of submission.
///
/// ```
/// use std::sync::Arc;
/// use cornelhitch_control::current_table::{Answer, CurrentTable, SubmittedTable};
/// use cornelhitch_types::route::RouteTable;
///
/// let submitted = |version| SubmittedTable {
///     table: Arc::new(RouteTable { version, ..RouteTable::default() }),
///     text: Default::default(),
/// };
/// let mut current = CurrentTable::default();
/// assert_eq!(current.publish(submitted(7)), Answer::Accepted);
/// assert_eq!(current.publish(submitted(5)), Answer::Kept { version: 7 });
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CurrentTable {
    newest: Option<SubmittedTable>,
}

impl CurrentTable {
    /// Returns the version in force; 0 if there is none.
    #[must_use]
    pub fn version(&self) -> Version {
        self.newest
            .as_ref()
            .map_or(0, |newest| newest.table.version)
    }

    /// Returns the table in force.
    #[must_use]
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.newest.as_ref().map(|newest| &newest.table)
    }

    /// Returns the text of the table in force.
    #[must_use]
    pub fn text(&self) -> Option<&Bytes> {
        self.newest.as_ref().map(|newest| &newest.text)
    }

    /// Accepts a table if its version is higher than the one in force.
    pub fn publish(&mut self, submitted: SubmittedTable) -> Answer {
        if let Some(newest) = &self.newest
            && submitted.table.version <= newest.table.version
        {
            let version = newest.table.version;
            return Answer::Kept { version };
        }
        self.newest = Some(submitted);
        Answer::Accepted
    }
}
