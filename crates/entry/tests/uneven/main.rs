//! Routing to targets of different and quickly changing speed, side by side with routing by load.

mod engine;
mod pools;
mod simulation;

use std::time::Duration;

use cornelhitch_settings::process::Routing;

use pools::Keeping;
use simulation::{Demand, Report, Scenario, Simulation};

/// Entry hosts, and targets of four speeds.
const HOSTS: usize = 60;
const TARGETS: usize = 60;

/// Largest busy time of a target, relative to the mean: the bound of docs/HARD-LOAD.md.
const MAX_IMBALANCE: f64 = 1.25;

/// Entry hosts and targets of a calm day.
const CALM_HOSTS: usize = 61;
const CALM_TARGETS: usize = 140;

/// Number of different shared parts if no two prompts have one in common.
const ALL_DIFFERENT: u64 = 1_000_000;

/// Returns prompts of which much is shared, at a rate.
fn shared_prompts(rate: f64, parts: u64) -> Demand {
    Demand {
        rate,
        tokens: (6_300, 2_890),
        parts,
        events: 9,
        objective: Duration::from_millis(800),
        rank: 1,
    }
}

/// Returns short prompts that generate much, at a rate.
fn short_prompts(rate: f64, parts: u64) -> Demand {
    Demand {
        rate,
        tokens: (413, 413),
        parts,
        events: 49,
        objective: Duration::from_millis(800),
        rank: 1,
    }
}

/// Returns the longest prompts, at a rate.
fn long_prompts(rate: f64) -> Demand {
    Demand {
        rate,
        tokens: (0, 39_600),
        parts: ALL_DIFFERENT,
        events: 9,
        objective: Duration::from_secs(4),
        rank: 1,
    }
}

fn play(routing: Routing, seed: u64, demands: Vec<Demand>) -> Report {
    let scenario = Scenario {
        hosts: HOSTS,
        targets: TARGETS,
        demands,
        length: Duration::from_secs(15),
        seed,
        keeping: None,
    };
    let report = Simulation::run(scenario, routing);
    let (kinds, imbalance) = (&report.kinds, report.imbalance());
    println!("{routing}, seed {seed}: busiest {imbalance:.2}, {kinds:?}");
    report
}

/// Guards against routing that ignores how fast targets are: work piles up at slow ones.
#[test]
fn fewer_requests_are_late_than_with_routing_by_load() {
    for (seed, scale) in [(1, 2.0), (2, 4.0)] {
        let demands = || {
            let shared = shared_prompts(56.0 * scale, 120);
            vec![shared, short_prompts(36.0 * scale, 400)]
        };
        let load = play(Routing::Load, seed, demands());
        let expected = play(Routing::ExpectedTime, seed, demands());
        let (late, before) = (expected.late(), load.late());
        assert!(late < before, "late: {late}, by load: {before}");
        let (busiest, before) = (expected.imbalance(), load.imbalance());
        assert!(busiest < before, "busiest: {busiest}, by load: {before}");
        // Reports of the smallest size in 15 s, at 8,000 bytes a second.
        let most = 60 * 15 * 8_000 / 110;
        assert!(expected.told <= most, "{} reports", expected.told);
        assert_eq!(load.told, 0, "no reports with routing by load");
    }
}

/// Guards against targets that get more work than others. Listed in KNOWN-RED.txt.
#[test]
fn the_busiest_target_is_within_the_bound() {
    let demands = vec![
        shared_prompts(112.0, ALL_DIFFERENT),
        short_prompts(72.0, ALL_DIFFERENT),
    ];
    let imbalance = play(Routing::ExpectedTime, 1, demands).imbalance();
    assert!(imbalance <= MAX_IMBALANCE, "busiest: {imbalance}");
}

/// Guards against short prompts that wait behind long ones, and against long ones that starve.
#[test]
fn long_and_short_prompts_are_late_less_often_than_with_routing_by_load() {
    let demands = || vec![short_prompts(200.0, ALL_DIFFERENT), long_prompts(18.0)];
    let load = play(Routing::Load, 1, demands());
    let expected = play(Routing::ExpectedTime, 1, demands());
    for (late, before) in expected.kinds.iter().zip(&load.kinds) {
        assert!(late.late <= before.late, "{late:?}, by load: {before:?}");
    }
    let in_time = expected.kinds.iter();
    let in_time: Vec<f64> = in_time.map(simulation::Outcome::in_time).collect();
    assert!(in_time[1] >= in_time[0] / 2.0, "in time: {in_time:?}");
}

/// Returns the demand of a calm day; most prompts share a part with others.
fn calm_day() -> Vec<Demand> {
    vec![shared_prompts(131.0, 120), short_prompts(84.0, 400)]
}

/// Returns the demand of a calm day of short prompts that share nothing.
fn calm_day_without_shared_parts() -> Vec<Demand> {
    let short = Demand {
        tokens: (0, 826),
        ..short_prompts(215.0, ALL_DIFFERENT)
    };
    vec![short]
}

/// Plays a calm day with hosts that keep connections.
fn play_calm_day(routing: Routing, demands: Vec<Demand>, seed: u64, keeping: Keeping) -> Report {
    let scenario = Scenario {
        hosts: CALM_HOSTS,
        targets: CALM_TARGETS,
        demands,
        length: Duration::from_secs(15),
        seed,
        keeping: Some(keeping),
    };
    let report = Simulation::run(scenario, routing);
    println!(
        "{routing}, seed {seed}, {keeping:?}: {:.3} on idle connections, {} late, \
         {:.1} ms to the first event, busiest {:.2}",
        report.reused_share(),
        report.late(),
        report.mean_wait_s() * 1_000.0,
        report.imbalance(),
    );
    report
}

/// Plays a calm day with cores that are not told of idle connections, and with cores that are.
fn compare(
    routing: Routing,
    demands: &[Demand],
    seed: u64,
    seconds: u64,
    stated: bool,
) -> [Report; 2] {
    [false, true].map(|told| {
        let keeping = Keeping {
            idle_time: Duration::from_secs(seconds),
            stated,
            told,
        };
        play_calm_day(routing, demands.to_vec(), seed, keeping)
    })
}

/// Plays calm days of two seeds; checks that more requests than before are sent on idle connections,
/// and that no more are late. Two counts that differ by less than two standard deviations of their
/// difference differ by chance.
fn check_calm_days(demands: &[Demand], seconds: u64, stated: bool) {
    let (mut late, mut late_before) = (0, 0);
    for seed in [1, 2] {
        let [before, after] = compare(Routing::ExpectedTime, demands, seed, seconds, stated);
        let (share, share_before) = (after.reused_share(), before.reused_share());
        assert!(share > share_before, "{share}, before: {share_before}");
        late += after.late();
        late_before += before.late();
    }
    let chance = 2.0 * f64::from(late + late_before).sqrt();
    let bound = f64::from(late_before) + chance;
    assert!(
        f64::from(late) <= bound,
        "late: {late}, before: {late_before}"
    );
}

/// Guards against a new connection for nearly every request, where targets state no keep-alive time.
#[test]
fn expected_time_routing_reuses_idle_connections() {
    check_calm_days(&calm_day(), 4, false);
    check_calm_days(&calm_day_without_shared_parts(), 4, false);
}

/// The same where targets keep connections for 15 s.
#[test]
fn expected_time_routing_reuses_idle_connections_of_a_stated_time() {
    check_calm_days(&calm_day(), 14, true);
}

/// Guards against load routing that changes, which no setting asks for.
#[test]
fn load_routing_ignores_idle_connections() {
    for (seconds, stated) in [(4, false), (14, true)] {
        let demands = calm_day_without_shared_parts();
        let [before, after] = compare(Routing::Load, &demands, 1, seconds, stated);
        assert_eq!((before.reused, before.opened), (after.reused, after.opened));
        assert_eq!(before.busy_s, after.busy_s);
    }
}
