//! The common types, for glob imports.

pub use crate::counters::Counters;
pub use crate::engine::Engine;
pub use crate::fault::Fault;
pub use crate::service::Service;
pub use crate::store::Store;
