//! Replays synthetic request traces in virtual time against the planner and its baselines.
//!
//! `cargo run --release -p cornelhitch-planner --example replay -- FOLDER tuning|held-out [DEPLOYMENT [POLICY]]`
//! writes CSV files and plots into the folder and prints tables for each deployment.

#[path = "replay/cache.rs"]
mod cache;
#[path = "replay/host.rs"]
mod host;
#[path = "replay/report.rs"]
mod report;
#[path = "replay/run.rs"]
mod run;
#[path = "replay/stats.rs"]
mod stats;
#[path = "replay/trace.rs"]
mod trace;
#[path = "replay/world.rs"]
mod world;

use std::error::Error;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use cornelhitch_planner::baseline::{IdleTimeout, LeastRecentlyUsed, NeverUnload};
use cornelhitch_planner::policy::Policy;
use cornelhitch_settings::fleet::FleetSettings;
use rayon::prelude::*;
use strum::IntoEnumIterator;

use crate::report::Row;
use crate::trace::{Scenario, Trace};

/// Seeds of traces that the planner is tuned on.
const TUNING: [u64; 3] = [1, 2, 3];
/// Seeds of traces that are held out for evaluation.
const HELD_OUT: [u64; 4] = [101, 102, 103, 104];
/// The policy that the others' costs are relative to.
const REFERENCE: &str = "time-out 10 min";
/// Lower bound of the reference tail latency that costs are relative to, in seconds.
const MIN_REFERENCE_TAIL_S: f64 = 1.0;
/// The policies, in the order of the table rows.
const POLICIES: [&str; 7] = [
    "planner",
    "keep for ever",
    "evict when full",
    "time-out 1 min",
    "time-out 5 min",
    REFERENCE,
    "time-out 30 min",
];
/// The example deployments and their settings.
const DEPLOYMENTS: [(&str, &str); 2] = [
    ("co-op", include_str!("../../../examples/co-op.yaml")),
    ("office", include_str!("../../../examples/office.yaml")),
];

/// Creates a planner with the named keep-alive policy.
fn policy(name: &str) -> Policy {
    let minutes = |count: u64| IdleTimeout {
        after: Duration::from_secs(60 * count),
    };
    match name {
        "keep for ever" => Policy::new(Box::new(NeverUnload)),
        "evict when full" => Policy::new(Box::new(LeastRecentlyUsed)),
        "time-out 1 min" => Policy::new(Box::new(minutes(1))),
        "time-out 5 min" => Policy::new(Box::new(minutes(5))),
        REFERENCE => Policy::new(Box::new(minutes(10))),
        "time-out 30 min" => Policy::new(Box::new(minutes(30))),
        _ => Policy::default(),
    }
}

/// Replays one trace with each policy and computes the costs.
fn compare(
    name: &str,
    fleet: &Arc<FleetSettings>,
    scenario: Scenario,
    seed: u64,
    policies: &[&str],
) -> Vec<Row> {
    let trace = Trace::new(fleet, scenario, seed);
    let replay = |policy_name: &&str| {
        let stats = run::run(fleet, &trace, &mut policy(policy_name));
        Row::new(name, &scenario.to_string(), seed, policy_name, &stats)
    };
    let mut rows: Vec<Row> = policies.par_iter().map(replay).collect();
    let reference = rows.iter().find(|row| row.policy == REFERENCE);
    let Some(reference) = reference.cloned() else {
        return rows;
    };
    let keeping = &fleet.keeping;
    for row in &mut rows {
        let tail = row.p99_s / reference.p99_s.max(MIN_REFERENCE_TAIL_S);
        let idle = row.idle_h / reference.idle_h;
        row.cost = keeping.cold_start_weight * tail + keeping.idle_weight * idle;
    }
    rows
}

fn main() -> Result<(), Box<dyn Error>> {
    let usage = "usage: replay FOLDER tuning|held-out [DEPLOYMENT [POLICY]]";
    let mut arguments = std::env::args().skip(1);
    let folder = arguments.next().ok_or(usage)?;
    let seeds: &[u64] = match arguments.next().as_deref() {
        Some("tuning") => &TUNING,
        Some("held-out") => &HELD_OUT,
        _ => return Err(usage.into()),
    };
    let only_deployment = arguments.next();
    let policies = match arguments.next() {
        Some(one) => POLICIES
            .into_iter()
            .filter(|policy| **policy == *one || *policy == REFERENCE)
            .collect(),
        None => POLICIES.to_vec(),
    };
    let folder = Path::new(&folder);
    std::fs::create_dir_all(folder)?;
    for (name, text) in DEPLOYMENTS {
        if only_deployment.as_deref().is_some_and(|only| only != name) {
            continue;
        }
        let fleet: Arc<FleetSettings> = Arc::new(text.parse()?);
        let pairs: Vec<(Scenario, u64)> = Scenario::iter()
            .flat_map(|scenario| seeds.iter().map(move |seed| (scenario, *seed)))
            .collect();
        let rows: Vec<Row> = pairs
            .par_iter()
            .flat_map(|(scenario, seed)| compare(name, &fleet, *scenario, *seed, &policies))
            .collect();
        report::csv(&rows, &folder.join(format!("{name}.csv")))?;
        report::plot(&rows, &policies, &folder.join(format!("{name}.svg")))?;
        println!(
            "{name}, all scenarios\n\n{}",
            report::table(&rows, &policies)
        );
        for scenario in Scenario::iter().map(|scenario| scenario.to_string()) {
            let of: Vec<Row> = rows
                .iter()
                .filter(|row| row.scenario == scenario)
                .cloned()
                .collect();
            println!("{name}, {scenario}\n\n{}", report::table(&of, &policies));
        }
    }
    Ok(())
}
