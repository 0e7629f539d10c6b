//! The most used types, for a glob import.

pub use crate::client::{Answer, Cache, Call, Client, Form, Gate, Generate, Part, Reply};
pub use crate::error::Error;
pub use crate::http::Http;
pub use crate::inbound::{Json, Message, Protocol};
