//! The common types, for a glob import.

pub use crate::command::{Command, Entry, Reply};
pub use crate::current_settings::Apply;
pub use crate::input::Input;
pub use crate::leader::Leader;
pub use crate::limits::Limits;
pub use crate::output::{Audience, Output};
pub use crate::state::State;
pub use crate::timing::Timing;
