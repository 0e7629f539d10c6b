//! The fleet's defaults and exceptions, and the settings of one process.
//!
//! The two are apart: [`fleet::Fleet`] is what operators change while the
//! system runs and what every process agrees on, [`process::Process`] is what
//! one process reads from its own file when it starts.
//!
//! ```
//! use cornelhitch_settings::fleet::Fleet;
//!
//! let fleet: Fleet = "models: [{ name: report, bytes: 1000 }]".parse()?;
//! assert_eq!(fleet.models[0].accelerators, 1);
//! # Ok::<(), cornelhitch_settings::error::Error>(())
//! ```

mod check;
mod document;
pub mod error;
pub mod fleet;
mod hosts;
pub mod manual;
pub mod prelude;
mod print;
pub mod process;
mod read;
mod relations;
mod schema;
mod table;
