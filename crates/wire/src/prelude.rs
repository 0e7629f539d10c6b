//! Re-exports of common types for glob imports.

pub use crate::hello::Identity;
pub use crate::key::Keyring;
pub use crate::link::{Link, Receiver, Sender};
