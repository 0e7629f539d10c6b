//! The encoded form of a route table with teams.
//!
//! A table without teams is encoded as a [`RouteTable`], whose bytes do not contain
//! [`RouteTable::access`]. A table with teams is encoded as a [`GuardedTable`], so that the routes
//! and the keys of one version are stored and take effect together.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::route::RouteTable;
use crate::team::Access;

/// A route table together with its teams and public routes.
///
/// ```
/// use std::sync::Arc;
/// use cornelhitch_types::guarded_table::GuardedTable;
/// use cornelhitch_types::route::RouteTable;
///
/// let open = Arc::new(RouteTable::default());
/// assert_eq!(GuardedTable::of(&open), None);
/// let guarded = Arc::new(RouteTable { access: Some(Arc::default()), ..RouteTable::default() });
/// let encoded = GuardedTable::of(&guarded).expect("the table has teams");
/// assert_eq!(encoded.into_table(), guarded);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GuardedTable {
    /// The table, without its access once it has been decoded.
    table: Arc<RouteTable>,
    /// The access of the same version.
    access: Arc<Access>,
}

impl GuardedTable {
    /// Returns the form in which a table with teams is encoded; `None` if it has none.
    #[must_use]
    pub fn of(table: &Arc<RouteTable>) -> Option<Self> {
        let access = table.access.clone()?;
        let table = table.clone();
        Some(Self { table, access })
    }

    /// Returns the table, with its access.
    #[must_use]
    pub fn into_table(self) -> Arc<RouteTable> {
        with_access(self.table, self.access)
    }
}

/// Returns a table that was decoded without its access, with it.
#[must_use]
pub fn with_access(mut table: Arc<RouteTable>, access: Arc<Access>) -> Arc<RouteTable> {
    if table.access.is_none() {
        Arc::make_mut(&mut table).access = Some(access);
    }
    table
}
