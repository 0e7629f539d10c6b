//! What the threads of this process cost, as Linux tells it.

use std::fs;
use std::path::Path;
use std::time::Duration;

/// Bytes of a kibibyte, in which the system tells memory.
const KIB: u64 = 1 << 10;

/// Processor time so far of all threads of that name.
///
/// A busy machine does not stretch it. Names are cut after 15 bytes by the
/// system. Threads that have ended are not counted.
#[must_use]
pub fn processor(name: &str) -> Duration {
    let Ok(threads) = fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    let threads = threads.flatten().map(|thread| thread.path());
    threads
        .filter(|thread| is_named(thread, name))
        .filter_map(|thread| spent(&thread))
        .sum()
}

/// Memory of this process, in bytes.
#[must_use]
pub fn resident() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or_default() * KIB
}

/// The load average of the last minute, as the system words it.
#[must_use]
pub fn load() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace()
        .next()
        .unwrap_or("unknown")
        .to_owned()
}

/// Whether a thread bears a name.
fn is_named(thread: &Path, name: &str) -> bool {
    let found = fs::read_to_string(thread.join("comm"));
    found.is_ok_and(|found| found.trim_end() == name)
}

/// Processor time of a thread.
fn spent(thread: &Path) -> Option<Duration> {
    let text = fs::read_to_string(thread.join("schedstat")).ok()?;
    let nanos = text.split_whitespace().next()?.parse().ok()?;
    Some(Duration::from_nanos(nanos))
}
