//! The route table in force, with the text from which operators submitted it.

use std::fmt;
use std::sync::Arc;

use bytes::Bytes;
use cornelhitch_types::guarded_table::{GuardedTable, with_access};
use cornelhitch_types::id::Version;
use cornelhitch_types::route::RouteTable;
use cornelhitch_types::team::Access;
use serde::{Deserialize, Serialize};

/// A route table submitted by an operator.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmittedTable {
    /// The parsed and validated table.
    pub table: Arc<RouteTable>,
    /// The text it was parsed from, returned to operators unchanged.
    pub text: Bytes,
}

/// Leaves the text out, which contains API keys.
impl fmt::Debug for SubmittedTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SubmittedTable")
            .field("table", &self.table)
            .field("text_bytes", &self.text.len())
            .finish()
    }
}

/// A submitted route table with teams, in the form in which the log contains it.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmittedGuardedTable {
    table: GuardedTable,
    text: Bytes,
}

/// Leaves the text out, which contains API keys.
impl fmt::Debug for SubmittedGuardedTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SubmittedGuardedTable")
            .field("table", &self.table)
            .field("text_bytes", &self.text.len())
            .finish()
    }
}

impl SubmittedGuardedTable {
    /// Returns the form in which the log contains a table with teams; `None` if it has none.
    #[must_use]
    pub fn of(submitted: &SubmittedTable) -> Option<Self> {
        Some(Self {
            table: GuardedTable::of(&submitted.table)?,
            text: submitted.text.clone(),
        })
    }
}

impl From<SubmittedGuardedTable> for SubmittedTable {
    fn from(guarded: SubmittedGuardedTable) -> Self {
        Self {
            table: guarded.table.into_table(),
            text: guarded.text,
        }
    }
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

    /// Returns the teams and public routes of the table in force, which its encoding leaves out.
    pub(crate) fn access(&self) -> Option<&Arc<Access>> {
        self.table()?.access.as_ref()
    }

    /// Adds the teams and public routes to a table that was decoded without them.
    pub(crate) fn restore_access(&mut self, access: Arc<Access>) {
        if let Some(newest) = &mut self.newest {
            newest.table = with_access(newest.table.clone(), access);
        }
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
