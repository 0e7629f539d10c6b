//! Log output of the daemon: a background thread writes the lines to standard output.

use std::io::IsTerminal;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use strum::{Display, EnumString};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

use crate::log_output::LogOutput;

/// Format of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Format {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Capacity of the queue of log lines. Further lines are dropped and counted, so that requests
/// never block on a log that is not read.
const QUEUE_LINES: usize = 4_096;

/// Interval between checks for dropped log lines.
const DROP_CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// The background writer, until [`flush`] is called.
static WRITER: Mutex<Option<Writer>> = Mutex::new(None);

/// The background writer of log lines.
struct Writer {
    /// Writes all queued lines when it is dropped.
    #[allow(dead_code)]
    guard: WorkerGuard,
    /// Counts lines for which the queue had no place.
    unqueued: ErrorCounter,
    /// Counts lines beyond the budget.
    over_budget: Arc<AtomicUsize>,
}

impl Writer {
    /// Returns how many lines were dropped.
    fn dropped(&self) -> usize {
        self.unqueued.dropped_lines() + self.over_budget.load(Ordering::Relaxed)
    }
}

/// Starts writing log lines to standard output on a background thread.
///
/// `filter` is a level or a list of directives such as `info,cornelhitch_quorum=debug`.
///
/// # Errors
/// The filter is invalid.
pub fn init(format: Format, filter: &str) -> Result<(), tracing_subscriber::filter::ParseError> {
    let filter: EnvFilter = filter.parse()?;
    let (output, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(QUEUE_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    let unqueued = output.error_counter();
    let output = LogOutput::new(output);
    let over_budget = output.dropped();
    let subscriber = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(std::io::stdout().is_terminal())
        .with_writer(output);
    let installed = match format {
        Format::Text => subscriber.try_init(),
        Format::Json => subscriber.json().try_init(),
    };
    // If another subscriber is already installed, as in tests, it stays in place.
    if installed.is_ok() {
        *writer() = Some(Writer {
            guard,
            unqueued,
            over_budget,
        });
    }
    Ok(())
}

/// Logs each panic as a line with its place, without a backtrace: for that the process would read its debug
/// information, which takes more memory than its settings may name, and hold up other panicking tasks.
pub fn log_panics() {
    std::panic::set_hook(Box::new(|panic| {
        let message = panic.payload_as_str().unwrap_or_default();
        let place = panic.location().map(ToString::to_string);
        tracing::error!(place, message, "panicked");
    }));
}

/// Logs a warning whenever more log lines have been dropped; never returns.
pub async fn report_dropped_lines() {
    let mut reported = 0;
    loop {
        tokio::time::sleep(DROP_CHECK_INTERVAL).await;
        let dropped = writer().as_ref().map_or(0, Writer::dropped);
        if dropped > reported {
            tracing::warn!(
                dropped,
                "log lines dropped: too long, too many, or not read fast enough"
            );
            reported = dropped;
        }
    }
}

/// Writes the queued log lines; they are lost if the output is not read.
pub fn flush() {
    drop(writer().take());
}

fn writer() -> MutexGuard<'static, Option<Writer>> {
    WRITER.lock().unwrap_or_else(PoisonError::into_inner)
}
