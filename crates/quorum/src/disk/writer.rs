//! A thread that writes batches, so that the owner of a core never waits for the disk.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::JoinHandle;

use crate::event::Event;
use crate::id::Token;
use crate::store::{Batch, Error, Record, Store};

/// Records that one sync takes together, at most.
const RECORDS: usize = 4096;

/// What became of batches.
#[derive(Debug)]
pub enum Done {
    /// All batches up to this one are synced.
    Persisted {
        /// The last synced batch.
        token: Token,
    },
    /// A batch could not be written.
    Failed {
        /// The batch.
        token: Token,
        /// Why.
        error: Error,
    },
}

impl From<Done> for Event {
    fn from(done: Done) -> Self {
        match done {
            Done::Persisted { token } => Event::Persisted { token },
            Done::Failed { token, .. } => Event::PersistFailed { token },
        }
    }
}

/// A thread that owns a store. Dropping it writes what it was given and waits for the end.
#[derive(Debug)]
pub struct Writer {
    batches: Option<Sender<Batch>>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Starts the thread. `report` is called in it, and should only pass the result on.
    ///
    /// # Errors
    ///
    /// An error if the system starts no thread.
    pub fn start(
        store: Box<dyn Store>,
        report: impl FnMut(Done) + Send + 'static,
    ) -> std::io::Result<Self> {
        let (batches, queue) = channel();
        let builder = std::thread::Builder::new().name("quorum-writer".to_owned());
        let thread = builder.spawn(move || run(store, &queue, report))?;
        Ok(Self {
            batches: Some(batches),
            thread: Some(thread),
        })
    }

    /// Hands over the batch of an [`Action::Persist`](crate::action::Action::Persist), in order.
    pub fn submit(&self, batch: Batch) {
        if let Some(batches) = &self.batches {
            let sent = batches.send(batch);
            if sent.is_err() {
                tracing::error!("the writer's thread has ended");
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
            tracing::error!("the writer's thread has panicked");
        }
    }
}

fn run(mut store: Box<dyn Store>, queue: &Receiver<Batch>, mut report: impl FnMut(Done)) {
    let mut attempt = 0;
    while let Ok(first) = queue.recv() {
        let token = first.token;
        let Some((last, records)) = gather(first, queue, attempt) else {
            continue;
        };
        match store.append(&records) {
            Ok(()) => report(Done::Persisted { token: last }),
            Err(error) => {
                tracing::warn!(%error, "a batch could not be written");
                attempt += 1;
                report(Done::Failed { token, error });
            }
        }
    }
}

/// What is there to be written now; batches of a failed attempt are left out.
fn gather(first: Batch, queue: &Receiver<Batch>, attempt: u64) -> Option<(Token, Vec<Record>)> {
    if first.attempt < attempt {
        return None;
    }
    let mut last = first.token;
    let mut records = first.records;
    while records.len() < RECORDS {
        let Ok(batch) = queue.try_recv() else { break };
        last = batch.token;
        records.extend(batch.records);
    }
    Some((last, records))
}
