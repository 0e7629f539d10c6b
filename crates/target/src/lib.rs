//! The interface to targets: requests and orders to them, and messages from them.
//!
//! The encoding of messages to and from targets is private to this package. [`client::Client`]
//! is the outbound interface and [`inbound::Protocol`] the inbound one; [`http::Http`] and
//! [`inbound::Json`] are their HTTP and JSON implementations, which `docs/INTERFACES.md` specifies
//! message by message.

pub mod client;
pub mod error;
pub mod http;
pub mod inbound;
pub mod message;
mod metered;
mod pool;
pub mod prelude;
mod response_body;
pub mod short_read;
pub mod sse;
