//! Commonly used types, for glob imports.

pub use crate::error::Error;
pub use crate::fleet::Fleet;
pub use crate::process::Process;
