//! The tasks of one cornelhitch process around the sans-I/O cores.
//!
//! [`node::Node`] starts them all. Each task owns its sockets and its core, and
//! they talk by messages: [`callers`] and [`operators`] take HTTP, [`entry`]
//! owns the core of the entry host, [`attempt`] talks to one target for one
//! request, [`session`] keeps in touch with the leader, [`control`] owns the
//! replicated log and what leads from it, and [`switch`] and [`beacon`] carry
//! messages between processes.

pub mod attempt;
pub mod audit;
pub mod beacon;
pub mod body;
pub mod callers;
pub mod candidates;
pub mod control;
pub mod dialect;
pub mod entry;
pub mod error;
pub mod exchange;
pub mod exposition;
pub mod header;
pub mod ingress;
pub mod latency;
pub mod lines;
pub mod message;
pub mod metrics;
pub mod node;
pub mod operators;
pub mod orders;
pub mod outcome;
mod parts;
pub mod problem;
pub mod registry;
mod relay;
pub mod request;
pub mod reservation;
pub mod secret;
pub mod server;
pub mod session;
pub mod socket;
pub mod stamp;
pub mod switch;
mod upward;
