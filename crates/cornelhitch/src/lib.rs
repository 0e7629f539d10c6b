//! A serving system for rarely used models.
//!
//! The parts of the system are libraries that can be embedded; each has a sans-I/O core. The two
//! binaries, `cornelhitchd` and `cornelhitch`, are thin wrappers around [`daemon`] and
//! [`operator`].
//!
//! ```
//! use cornelhitch::prelude::*;
//!
//! let fleet: FleetSettings = "models: [{ name: report, bytes: 1000 }]".parse()?;
//! assert_eq!(fleet.rules("report").replicas, 4);
//! # Ok::<(), cornelhitch::settings::error::Error>(())
//! ```

pub mod daemon;
pub mod log;
pub mod log_budget;
mod log_output;
pub mod operator;
pub mod prelude;
pub mod telemetry;

pub use cornelhitch_control as control;
pub use cornelhitch_entry as entry;
pub use cornelhitch_node as node;
pub use cornelhitch_planner as planner;
pub use cornelhitch_quorum as quorum;
pub use cornelhitch_settings as settings;
pub use cornelhitch_target as target;
pub use cornelhitch_types as types;
pub use cornelhitch_wire as wire;
