//! Routing to targets of different and quickly changing speed, side by side with routing by load.

mod engine;
mod simulation;

use std::time::Duration;

use cornelhitch_settings::process::Routing;

use simulation::{Demand, Report, Scenario, Simulation};

/// Entry hosts, and targets of four speeds.
const HOSTS: usize = 60;
const TARGETS: usize = 60;

/// Long prompts of which much is shared, and short ones that generate much, at `scale` times the
/// usual rate.
fn play(routing: Routing, seed: u64, scale: f64) -> Report {
    let demands = vec![
        Demand {
            rate: 56.0 * scale,
            tokens: (6_300, 2_890),
            parts: 120,
            events: 9,
            objective: Duration::from_millis(800),
            rank: 1,
        },
        Demand {
            rate: 36.0 * scale,
            tokens: (413, 413),
            parts: 400,
            events: 49,
            objective: Duration::from_millis(800),
            rank: 1,
        },
    ];
    let scenario = Scenario {
        hosts: HOSTS,
        targets: TARGETS,
        demands,
        length: Duration::from_secs(15),
        seed,
    };
    let report = Simulation::run(scenario, routing);
    println!("{routing}, seed {seed}, {scale} times the rate: {report:?}");
    report
}

/// Guards against routing that ignores how fast targets are: work piles up at slow ones.
#[test]
fn fewer_requests_are_late_than_with_routing_by_load() {
    for (seed, scale) in [(1, 2.0), (2, 4.0)] {
        let load = play(Routing::Load, seed, scale);
        let expected = play(Routing::ExpectedTime, seed, scale);
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
