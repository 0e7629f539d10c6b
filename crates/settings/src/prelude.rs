//! Commonly used types, for glob imports.

pub use crate::error::Error;
pub use crate::fleet::FleetSettings;
pub use crate::process::ProcessSettings;
