//! Clusters of real hosts on loopback, and callers that check their answers.
//!
//! A host here is a whole process' set of tasks on a runtime of its own, with
//! real sockets and real files, so that ending the runtime is what a kill is to
//! a process. Examples and benches use it; nothing here simulates anything.

pub mod caller;
pub mod cluster;
pub mod meter;
pub mod operator;
pub mod workers;
