//! Stand-ins for what cornelhitch meets: model engines, plain services and the weight store.
//!
//! Each speaks the HTTP and JSON form of `docs/INTERFACES.md` on a loopback
//! port of its own, behaves badly on demand, and counts what was done to it, so
//! that tests can compare that with what was decided. Several run in one
//! process; nothing is shared between them but what their builders are given.

mod announcer;
mod answer;
mod batch;
mod body;
pub mod counters;
pub mod engine;
pub mod fault;
mod life;
mod memory;
mod prefixes;
pub mod prelude;
mod routes;
pub mod service;
pub mod settings;
pub mod store;
pub mod text;
