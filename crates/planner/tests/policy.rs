//! Decisions of one call of the planner on small inputs.

mod fixtures;

use std::sync::Arc;
use std::time::Duration;

use cornelhitch_planner::Planner;
use cornelhitch_planner::fleet_state::{FleetState, LoadCooldown, WeightCopy};
use cornelhitch_planner::policy::Policy;
use cornelhitch_types::target::Stage;
use cornelhitch_types::view::State;

use crate::fixtures::{GIB, NOW, READY, demand, fleet_state, replica, texts, worker};

/// An input and the decisions that it must lead to.
struct Case {
    name: &'static str,
    fleet_state: FleetState,
    expected: &'static [&'static str],
}

fn case(
    name: &'static str,
    expected: &'static [&'static str],
    fleet_state: FleetState,
    change: impl FnOnce(&mut FleetState),
) -> Case {
    let mut fleet_state = fleet_state;
    change(&mut fleet_state);
    Case {
        name,
        fleet_state,
        expected,
    }
}

fn loading_cases() -> Vec<Case> {
    let two = || fleet_state(vec![worker("a", 16), worker("b", 16)]);
    vec![
        case("no waiting requests", &[], two(), |_| {}),
        case("one waiting request", &["load report a"], two(), |p| {
            p.demand = vec![demand("report", 1)];
        }),
        case("a nearer copy", &["load report b"], two(), |p| {
            p.demand = vec![demand("report", 1)];
            p.workers[1].copies = vec![WeightCopy {
                model: "report".into(),
                stage: Stage::Memory,
            }];
        }),
        case("a closed worker", &["load report b"], two(), |p| {
            p.demand = vec![demand("report", 1)];
            p.workers[0].accepts_loads = false;
        }),
        case("a worker in cooldown", &["load report b"], two(), |p| {
            p.demand = vec![demand("report", 1)];
            p.workers[0].cooldowns = vec![LoadCooldown {
                model: "report".into(),
                until: NOW + Duration::from_secs(1),
            }];
        }),
        case(
            "a worker past its cooldown",
            &["load report a"],
            two(),
            |p| {
                p.demand = vec![demand("report", 1)];
                p.workers[0].cooldowns = vec![LoadCooldown {
                    model: "report".into(),
                    until: NOW,
                }];
            },
        ),
        case(
            "a worker in the callers' region",
            &["load report b"],
            two(),
            |p| {
                p.demand = vec![demand("report", 1)];
                p.workers[0].region = "bunbury-a".into();
            },
        ),
    ]
}

fn no_load_cases() -> Vec<Case> {
    let two = || fleet_state(vec![worker("a", 16), worker("b", 16)]);
    vec![
        case("an unmanaged group", &[], two(), |p| {
            p.demand = vec![demand("legacy", 5)];
        }),
        case("an unknown model", &[], two(), |p| {
            p.demand = vec![demand("other", 5)];
        }),
        case("too large for every worker", &[], two(), |p| {
            p.demand = vec![demand("report", 1)];
            p.workers.iter_mut().for_each(|w| w.memory = 9 * GIB);
        }),
        case("a replica is loading already", &[], two(), |p| {
            p.demand = vec![demand("report", 8)];
            p.replicas = vec![replica(1, "report", "a", State::Loading)];
            p.replicas[0].decided_at = NOW;
            p.workers[0].free = 6 * GIB;
        }),
        case(
            "a burst adds a replica in another zone",
            &["load report b"],
            two(),
            |p| {
                p.workers.insert(1, worker("a2", 16));
                p.workers[1].zone = "a".into();
                p.workers[0].free = 6 * GIB;
                p.replicas = vec![replica(1, "report", "a", State::Ready)];
                p.demand = vec![demand("report", 300)];
            },
        ),
        case("only one replica is allowed", &[], two(), |p| {
            p.demand = vec![demand("single", 5_000)];
            p.replicas = vec![replica(1, "single", "a", State::Loading)];
        }),
    ]
}

fn memory_cases() -> Vec<Case> {
    let full = || {
        let mut fleet_state = fleet_state(vec![worker("a", 6)]);
        fleet_state.replicas = vec![replica(1, "review", "a", State::Ready)];
        fleet_state
    };
    vec![
        case("an idle replica is evicted", &["unload 1"], full(), |p| {
            p.demand = vec![demand("report", 1)];
        }),
        case("a busy replica stays", &[], full(), |p| {
            p.demand = vec![demand("report", 1)];
            p.replicas[0].running = 1;
        }),
        case("a requested replica stays", &[], full(), |p| {
            p.demand = vec![demand("report", 1), demand("review", 1)];
        }),
        case("a retiring replica drains", &[], full(), |p| {
            p.demand = vec![demand("report", 1)];
            p.replicas[0].state = State::Retiring;
        }),
        case("an unmanaged replica stays", &[], full(), |p| {
            p.demand = vec![demand("report", 1)];
            p.replicas[0].model = "legacy".into();
        }),
        case("idle beyond the maximum", &["unload 1"], full(), |p| {
            p.replicas[0].last_used = Duration::ZERO;
            p.replicas[0].ready_at = Some(Duration::ZERO);
            let mut fleet = (*p.settings).clone();
            fleet.keeping.maximum_s = 900;
            p.settings = Arc::new(fleet);
        }),
        case("no longer in the settings", &["unload 1"], full(), |p| {
            p.replicas[0].model = "gone".into();
        }),
        case(
            "a request waits for an adapter",
            &["adapter dealer-1 1"],
            full(),
            |p| {
                p.replicas[0].model = "report".into();
                p.demand = vec![demand("report", 1)];
                p.demand[0].adapters = vec!["dealer-1".into()];
            },
        ),
        case("too many adapters in flight", &[], full(), |p| {
            p.replicas[0].model = "report".into();
            p.demand = vec![demand("report", 1)];
            p.demand[0].adapters = vec!["dealer-1".into()];
            p.adapters_in_flight = 30;
        }),
    ]
}

fn eviction_cases() -> Vec<Case> {
    let full = || {
        let mut fleet_state = fleet_state(vec![worker("a", 6)]);
        fleet_state.replicas = vec![replica(1, "long", "a", State::Ready)];
        fleet_state.replicas[0].running = 1;
        fleet_state.demand = vec![demand("report", 1)];
        fleet_state
    };
    vec![
        case(
            "a busy replica of a patient class is evicted",
            &["unload 1"],
            full(),
            |p| {
                p.demand[0].weight = 9;
            },
        ),
        case(
            "a busy replica is not evicted for a lighter class",
            &[],
            full(),
            |_| {},
        ),
        case(
            "a busy replica of another class is not evicted",
            &[],
            full(),
            |p| {
                p.demand[0].weight = 9;
                p.replicas[0].model = "review".into();
            },
        ),
        case(
            "the idle surplus replica is unloaded",
            &["unload 2"],
            full(),
            |p| {
                p.demand.clear();
                p.replicas = vec![
                    replica(1, "single", "a", State::Ready),
                    replica(2, "single", "b", State::Ready),
                ];
                p.replicas[0].running = 1;
            },
        ),
        case("a replica of an old version", &["unload 1"], full(), |p| {
            p.demand.clear();
            p.replicas[0].running = 0;
            p.replicas[0].version = Some("1".into());
            p.replicas[0].last_used = READY;
        }),
        case("an old version with waiting requests", &[], full(), |p| {
            p.demand = vec![demand("long", 1)];
            p.demand[0].version = Some("1".into());
            p.replicas[0].version = Some("1".into());
            p.replicas[0].last_used = READY;
        }),
    ]
}

fn cases() -> impl Iterator<Item = Case> {
    [
        loading_cases(),
        no_load_cases(),
        memory_cases(),
        eviction_cases(),
    ]
    .into_iter()
    .flatten()
}

#[test]
fn one_call_makes_the_expected_decisions() {
    for case in cases() {
        let mut policy = Policy::default();
        let decisions = policy.plan(&case.fleet_state, NOW);
        assert_eq!(texts(&decisions), case.expected, "{}", case.name);
    }
}
