//! Settings: the fleet's defaults and exceptions, and the settings of one process.
//!
//! The two are separate: [`fleet::FleetSettings`] is what operators change at run time and all processes
//! agree on; [`process::ProcessSettings`] is what one process reads from its own file at startup.
//!
//! ```
//! use cornelhitch_settings::fleet::FleetSettings;
//!
//! let fleet: FleetSettings = "models: [{ name: report, bytes: 1000 }]".parse()?;
//! assert_eq!(fleet.models[0].accelerators, 1);
//! # Ok::<(), cornelhitch_settings::error::Error>(())
//! ```

mod check;
mod document;
pub mod error;
pub mod fleet;
mod fleet_constraints;
pub mod manual;
pub mod prelude;
mod print;
pub mod process;
mod process_constraints;
mod read;
mod schema;
mod table;
