//! Logs of the two binaries.

use std::io::IsTerminal;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use strum::{Display, EnumString};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// How log lines are written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Lines that wait to be written; more are dropped and counted, since no request may wait for a log
/// that is not read.
const WAITING: usize = 16_384;

/// Time between two looks at how many lines were dropped.
const LOOK: Duration = Duration::from_secs(10);

/// What writes the lines, until [`finish`].
static WRITER: Mutex<Option<Writer>> = Mutex::new(None);

/// The thread that writes lines, and its count of those that were dropped.
struct Writer {
    /// Writes what waits when it is dropped.
    #[allow(dead_code)]
    guard: WorkerGuard,
    dropped: ErrorCounter,
}

/// Writes log lines to standard output from now on, by a thread of its own.
///
/// `filter` is a level or a list of directives such as `info,cornelhitch_quorum=debug`.
///
/// # Errors
/// The filter cannot be read.
pub fn start(format: Format, filter: &str) -> Result<(), tracing_subscriber::filter::ParseError> {
    let filter: EnvFilter = filter.parse()?;
    let (output, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(WAITING)
        .lossy(true)
        .finish(std::io::stdout());
    let dropped = output.error_counter();
    let lines = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(std::io::stdout().is_terminal())
        .with_writer(output);
    let started = match format {
        Format::Text => lines.try_init(),
        Format::Json => lines.json().try_init(),
    };
    // A subscriber that stands already, as in tests, is left as it is.
    if started.is_ok() {
        *lock() = Some(Writer { guard, dropped });
    }
    Ok(())
}

/// Tells how many lines were dropped, whenever there are more; it never ends.
pub async fn watch() {
    let mut told = 0;
    loop {
        tokio::time::sleep(LOOK).await;
        let dropped = lock()
            .as_ref()
            .map_or(0, |writer| writer.dropped.dropped_lines());
        if dropped > told {
            tracing::warn!(
                dropped,
                "log lines were dropped: the log is not read fast enough"
            );
            told = dropped;
        }
    }
}

/// Writes what waits, as far as somebody reads it.
pub fn finish() {
    drop(lock().take());
}

/// What writes the lines.
fn lock() -> MutexGuard<'static, Option<Writer>> {
    WRITER.lock().unwrap_or_else(PoisonError::into_inner)
}
