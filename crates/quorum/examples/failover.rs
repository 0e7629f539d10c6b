//! Measures the time from the loss of a leader to the next commit, in virtual time: `failover
//! [COUNT]`.

#[path = "../tests/schedule/mod.rs"]
mod schedule;

use std::time::Duration;

use rayon::prelude::*;

use schedule::failover::{Loss, measure_failover};

fn main() {
    let count = std::env::args()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(1000);
    for loss in [Loss::Crash, Loss::Isolation] {
        let mut times: Vec<Duration> = (0..count)
            .into_par_iter()
            .map(|seed| measure_failover(seed, loss))
            .collect();
        times.sort_unstable();
        let part = |percent: usize| times[(times.len() - 1) * percent / 100];
        println!(
            "{loss:?}: p50 {:?}, p99 {:?}, longest {:?} of {count}",
            part(50),
            part(99),
            part(100)
        );
    }
}
