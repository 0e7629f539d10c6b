//! Fakes of the systems around cornelhitch: model engines, plain services and the weight store.
//!
//! Each engine and service speaks the target protocol (HTTP and JSON) on its own
//! loopback port, injects faults on demand and counts the operations that it
//! receives, so that tests can compare the counts with the system's decisions.
//! Several can run in one process; they share only what is passed to their
//! builders, such as a store.

mod announcer;
mod batch;
mod body;
pub mod counters;
pub mod engine;
pub mod fault;
mod generation;
mod memory;
mod prefix_cache;
pub mod prelude;
mod process;
mod routes;
pub mod service;
pub mod settings;
pub mod store;
pub mod text;
