//! The common types, for a glob import.

pub use crate::error::Error;
pub use crate::fleet::Fleet;
pub use crate::process::Process;
