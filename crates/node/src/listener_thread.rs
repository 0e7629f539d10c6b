//! The thread of the listeners for targets, operators and monitoring.
//!
//! Handles overload: a crowd at these listeners takes one processor at most. The replicated log, the links to peers and the
//! callers have other threads, to which the system gives their time (a bulkhead).

use std::future::Future;
use std::io;

use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinHandle;

/// The thread, which ends when this is dropped.
#[derive(Debug)]
pub(crate) struct ListenerThread(Option<Runtime>);

impl ListenerThread {
    /// Starts the thread.
    pub(crate) fn start() -> io::Result<Self> {
        let mut builder = Builder::new_multi_thread();
        builder
            .worker_threads(1)
            .thread_name("listeners")
            .enable_all();
        Ok(Self(Some(builder.build()?)))
    }

    /// Runs a task on the thread.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) -> JoinHandle<()> {
        match &self.0 {
            Some(runtime) => runtime.spawn(task),
            None => tokio::spawn(task),
        }
    }
}

impl Drop for ListenerThread {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            // Waiting for its tasks would block the thread that drops this.
            runtime.shutdown_background();
        }
    }
}
