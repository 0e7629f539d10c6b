//! Fakes of the systems around cornelhitch: model engines, plain services and the weight store.
//!
//! Each engine and service speaks the target protocol (HTTP and JSON) on its own
//! loopback port, injects faults on demand and counts what was done to it, so
//! that tests can compare the counts with the decisions. Several run in one
//! process and share only what their builders are given, such as a store.

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
