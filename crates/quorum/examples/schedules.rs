//! Runs random simulation schedules: `schedules [COUNT] [FIRST] [first-starts]`.

#[path = "../tests/schedule/mod.rs"]
mod schedule;

use std::time::Instant;

use rayon::prelude::*;

/// Number of failures to print.
const MAX_PRINTED_FAILURES: usize = 10;

fn argument(at: usize, default: u64) -> u64 {
    std::env::args()
        .nth(at)
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

fn main() {
    let (count, first) = (argument(1, 1000), argument(2, 0));
    let first_starts = std::env::args()
        .nth(3)
        .is_some_and(|kind| kind == "first-starts");
    let run = |number| {
        if first_starts {
            schedule::simulation::run_first_start(schedule::first_start(number))
        } else {
            schedule::simulation::run(schedule::schedule(number))
        }
    };
    let start = Instant::now();
    let failed: Vec<(u64, String)> = (first..first + count)
        .into_par_iter()
        .filter_map(|number| {
            let violation = run(number).err()?;
            Some((
                number,
                format!("{}: {}", violation.invariant, violation.detail),
            ))
        })
        .collect();
    let seconds = start.elapsed().as_secs_f64();
    for (number, what) in failed.iter().take(MAX_PRINTED_FAILURES) {
        println!("schedule {number}: {what}");
    }
    let rate = f64::from(u32::try_from(count).unwrap_or(u32::MAX)) / seconds;
    println!(
        "{count} schedules from {first}: {} failed, {rate:.0} a second",
        failed.len()
    );
    std::process::exit(i32::from(!failed.is_empty()));
}
