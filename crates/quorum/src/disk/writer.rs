//! A thread that writes batches, so that the owner of a core never blocks on the disk.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::JoinHandle;

use crate::event::Event;
use crate::id::BatchToken;
use crate::store::{Batch, Error, Record, Store};

/// Record count at which no further batches are added to one sync.
const MAX_RECORDS_PER_SYNC: usize = 4096;

/// The result of writing batches.
#[derive(Debug)]
pub enum WriteResult {
    /// All batches up to and including this one are synced.
    Persisted {
        /// Token of the last synced batch.
        token: BatchToken,
    },
    /// Writing a batch failed.
    Failed {
        /// Token of the first batch that was not written.
        token: BatchToken,
        /// The cause.
        error: Error,
    },
}

impl From<WriteResult> for Event {
    fn from(result: WriteResult) -> Self {
        match result {
            WriteResult::Persisted { token } => Event::Persisted { token },
            WriteResult::Failed { token, .. } => Event::PersistFailed { token },
        }
    }
}

/// A thread that owns a store. Dropping the writer writes the submitted batches and joins the
/// thread.
#[derive(Debug)]
pub struct Writer {
    batches: Option<Sender<Batch>>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Starts the thread. `report` is called on it and should only forward the result.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system fails to create the thread.
    pub fn start(
        store: Box<dyn Store>,
        report: impl FnMut(WriteResult) + Send + 'static,
    ) -> std::io::Result<Self> {
        let (batches, queue) = channel();
        let builder = std::thread::Builder::new().name("quorum-writer".to_owned());
        let thread = builder.spawn(move || run(store, &queue, report))?;
        Ok(Self {
            batches: Some(batches),
            thread: Some(thread),
        })
    }

    /// Queues the batch of an [`Action::Persist`](crate::action::Action::Persist). Batches must be
    /// submitted in order.
    pub fn submit(&self, batch: Batch) {
        if let Some(batches) = &self.batches {
            let sent = batches.send(batch);
            if sent.is_err() {
                tracing::error!("the quorum writer thread has exited; batch not submitted");
            }
        }
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.batches = None;
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            tracing::error!("the quorum writer thread panicked");
        }
    }
}

fn run(mut store: Box<dyn Store>, queue: &Receiver<Batch>, mut report: impl FnMut(WriteResult)) {
    let mut attempt = 0;
    while let Ok(first) = queue.recv() {
        let token = first.token;
        let Some((last, records)) = collect_batches(first, queue, attempt) else {
            continue;
        };
        match store.append(&records) {
            Ok(()) => report(WriteResult::Persisted { token: last }),
            Err(error) => {
                tracing::warn!(%error, "cannot write a batch");
                attempt += 1;
                report(WriteResult::Failed { token, error });
            }
        }
    }
}

/// Merges the first batch with those already queued and returns the last token with all records;
/// `None` if the first batch belongs to a failed attempt.
fn collect_batches(
    first: Batch,
    queue: &Receiver<Batch>,
    attempt: u64,
) -> Option<(BatchToken, Vec<Record>)> {
    if first.attempt < attempt {
        return None;
    }
    let mut last = first.token;
    let mut records = first.records;
    while records.len() < MAX_RECORDS_PER_SYNC {
        let Ok(batch) = queue.try_recv() else { break };
        last = batch.token;
        records.extend(batch.records);
    }
    Some((last, records))
}
