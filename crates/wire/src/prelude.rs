//! The common types, for a glob import.

pub use crate::hello::Identity;
pub use crate::key::Keyring;
pub use crate::link::{Link, Receiver, Sender};
