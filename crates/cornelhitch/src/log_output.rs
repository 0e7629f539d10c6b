//! Where log lines go: to a background thread, within the budget of the log.

use std::io::{self, Write};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use tracing::{Level, Metadata};
use tracing_appender::non_blocking::NonBlocking;
use tracing_subscriber::fmt::MakeWriter;

use crate::log_budget::LogBudget;

/// Writes lines to the background thread, and drops those beyond the budget.
#[derive(Debug)]
pub(crate) struct LogOutput {
    queue: NonBlocking,
    budget: Arc<Mutex<LogBudget>>,
    since: Instant,
    /// Lines that were dropped.
    dropped: Arc<AtomicUsize>,
}

impl LogOutput {
    /// Writes to the queue of a background thread.
    pub(crate) fn new(queue: NonBlocking) -> Self {
        Self {
            queue,
            budget: Arc::default(),
            since: Instant::now(),
            dropped: Arc::default(),
        }
    }

    /// Returns the count of lines that were beyond the budget.
    pub(crate) fn dropped(&self) -> Arc<AtomicUsize> {
        self.dropped.clone()
    }
}

impl<'a> MakeWriter<'a> for LogOutput {
    type Writer = LineWriter<'a>;

    fn make_writer(&'a self) -> LineWriter<'a> {
        LineWriter {
            output: self,
            urgent: false,
        }
    }

    fn make_writer_for(&'a self, metadata: &Metadata<'_>) -> LineWriter<'a> {
        LineWriter {
            output: self,
            urgent: *metadata.level() <= Level::WARN,
        }
    }
}

/// Writes one line.
pub(crate) struct LineWriter<'a> {
    output: &'a LogOutput,
    urgent: bool,
}

impl Write for LineWriter<'_> {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let now = self.output.since.elapsed();
        let budget = &self.output.budget;
        let mut budget = budget.lock().unwrap_or_else(PoisonError::into_inner);
        let fits = budget.take(line.len(), self.urgent, now);
        drop(budget);
        if !fits {
            self.output.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(line.len());
        }
        self.output.queue.clone().write(line)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
