//! Ids, names and messages shared by all cornelhitch packages.
//!
//! The other packages have sans-I/O cores: functions of an event and the current time that return
//! actions. This package defines the events' data types, so that no core depends on the internals
//! of another.
//!
//! ```
//! use cornelhitch_types::model::Reference;
//!
//! let reference: Reference = "report@3+dealer-17".parse()?;
//! assert_eq!(reference.adapter.as_deref(), Some("dealer-17"));
//! # Ok::<(), cornelhitch_types::model::Error>(())
//! ```

mod bounded_time;
pub mod demand;
pub mod entry;
pub mod guarded_table;
pub mod id;
pub mod model;
mod optional_time;
pub mod order;
pub mod prelude;
pub mod quota;
pub mod refusal;
pub mod route;
pub mod target;
pub mod team;
pub mod view;
