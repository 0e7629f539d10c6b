//! The types that most users of this crate need, for a glob import.

pub use crate::action::Action;
pub use crate::config::Config;
pub use crate::core::Core;
pub use crate::event::{CallId, Event, Request, RequestedResource};
