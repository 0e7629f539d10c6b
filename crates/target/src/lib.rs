//! The border towards targets: what cornelhitch orders and asks of them, and what they tell.
//!
//! Nothing outside this package knows how a message to or from a target is
//! encoded. [`client::Client`] is the way out and [`inbound::Protocol`] the way
//! in; [`http::Http`] and [`inbound::Json`] are their HTTP and JSON form, which
//! `docs/INTERFACES.md` describes message by message.

pub mod client;
pub mod error;
pub mod http;
pub mod inbound;
pub mod message;
mod parts;
mod pool;
pub mod prelude;
pub mod sse;
