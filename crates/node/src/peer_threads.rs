//! The threads of the replicated log, the links to peers and the session with the leader.
//!
//! Handles overload: crowds that keep all other threads busy delay neither elections nor leases, since the operating
//! system gives threads that hardly run their time (a bulkhead).

use std::io;

use tokio::runtime::{Builder, EnterGuard, Runtime};

/// Number of threads: the control task has one, and the links to peers the other.
const THREADS: usize = 2;

/// The threads, which end when this is dropped.
#[derive(Debug)]
pub(crate) struct PeerThreads(Option<Runtime>);

impl PeerThreads {
    /// Starts the threads.
    pub(crate) fn start() -> io::Result<Self> {
        let mut builder = Builder::new_multi_thread();
        builder
            .worker_threads(THREADS)
            .thread_name("peers")
            .enable_all();
        Ok(Self(Some(builder.build()?)))
    }

    /// Runs what is spawned on these threads, and registers sockets there, while the guard lives.
    pub(crate) fn enter(&self) -> Option<EnterGuard<'_>> {
        self.0.as_ref().map(Runtime::enter)
    }
}

impl Drop for PeerThreads {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            // Waiting for its tasks would block the thread that drops this.
            runtime.shutdown_background();
        }
    }
}
