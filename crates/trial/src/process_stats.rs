//! CPU time, memory and system load, read from `/proc` (Linux only).

use std::fs;
use std::path::Path;
use std::time::Duration;

/// Bytes in a kibibyte, the unit of `VmRSS`.
const KIB: u64 = 1 << 10;

/// Returns the total CPU time used by the live threads of this process that are named `name`.
///
/// Unlike elapsed time, it does not grow when the machine is busy. Linux truncates thread names to
/// 15 bytes. Threads that have ended are not counted.
#[must_use]
pub fn cpu_time(name: &str) -> Duration {
    let Ok(threads) = fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    let threads = threads.flatten().map(|thread| thread.path());
    threads
        .filter(|thread| is_named(thread, name))
        .filter_map(|thread| thread_cpu_time(&thread))
        .sum()
}

/// Returns the resident memory of this process in bytes, or 0 if it cannot be read.
#[must_use]
pub fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or_default() * KIB
}

/// Returns the 1-minute load average as text, or `unknown` if it cannot be read.
#[must_use]
pub fn load_average() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace()
        .next()
        .unwrap_or("unknown")
        .to_owned()
}

/// Whether the thread with the `/proc` directory `thread` is named `name`.
fn is_named(thread: &Path, name: &str) -> bool {
    let found = fs::read_to_string(thread.join("comm"));
    found.is_ok_and(|found| found.trim_end() == name)
}

/// Returns the CPU time of the thread with the `/proc` directory `thread`.
fn thread_cpu_time(thread: &Path) -> Option<Duration> {
    let text = fs::read_to_string(thread.join("schedstat")).ok()?;
    let nanos = text.split_whitespace().next()?.parse().ok()?;
    Some(Duration::from_nanos(nanos))
}
