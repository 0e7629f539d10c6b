//! Test support: clusters of complete hosts on loopback, stand-in workers, and clients that verify
//! the answers.
//!
//! Each host runs all tasks of a host process on a runtime of its own, with real sockets and
//! files. Shutting down the runtime corresponds to killing the process. Nothing is simulated.

pub mod caller;
pub mod cluster;
pub mod operator;
pub mod process_stats;
pub mod workers;
