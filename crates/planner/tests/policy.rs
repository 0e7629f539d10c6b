//! Single decisions of the planner on small pictures.

use std::sync::Arc;
use std::time::Duration;

use cornelhitch_planner::Planner;
use cornelhitch_planner::decision::{Action, Decision, Reason};
use cornelhitch_planner::pending::Pending;
use cornelhitch_planner::picture::{Copy, Demand, Picture, Quiet, Replica, Worker};
use cornelhitch_planner::policy::Policy;
use cornelhitch_planner::store::Store;
use cornelhitch_types::id::Time;
use cornelhitch_types::target::Stage;
use cornelhitch_types::view::State;

const GIB: u64 = 1 << 30;
const NOW: Time = Duration::from_secs(1_000);
const DECIDED: Time = Duration::from_secs(940);
const READY: Time = Duration::from_secs(950);
const USED: Time = Duration::from_secs(999);
const SETTINGS: &str = "
groups: [{ name: old, managed: false }]
classes: [{ name: long, weight: 2, patient: true }]
models:
  - { name: report, bytes: 10737418240, adapters: [dealer-1] }
  - { name: review, bytes: 10737418240 }
  - { name: legacy, bytes: 10737418240, group: old }
  - { name: single, bytes: 10737418240 }
  - { name: long, bytes: 10737418240, class: long }
exceptions: [{ reason: one is enough, model: single, replicas: 1 }]
";

fn worker(name: &str, gib: u64) -> Worker {
    Worker {
        target: name.into(),
        region: "perth-a".into(),
        zone: name.into(),
        memory: 16 * GIB,
        free: gib * GIB,
        accelerators: 2,
        open: true,
        copies: Vec::new(),
        quiet: Vec::new(),
    }
}

fn picture(workers: Vec<Worker>) -> Picture {
    Picture {
        settings: Arc::new(SETTINGS.parse().expect("settings")),
        workers,
        ..Picture::default()
    }
}

fn demand(model: &str, waiting: u32) -> Demand {
    Demand {
        model: model.into(),
        version: None,
        region: "perth-a".into(),
        waiting,
        running: 0,
        deadline: NOW + Duration::from_secs(30),
        weight: 1,
        arrivals: u64::from(waiting),
        adapters: Vec::new(),
    }
}

fn replica(id: u64, model: &str, target: &str, state: State) -> Replica {
    Replica {
        replica: id,
        model: model.into(),
        version: None,
        target: target.into(),
        bytes: 10 * GIB,
        state,
        decided: DECIDED,
        ready: Some(READY),
        from: Stage::Remote,
        running: 0,
        used: USED,
        adapters: Vec::new(),
    }
}

/// Decisions as short texts.
fn texts(decisions: &[Decision]) -> Vec<String> {
    let text = |decision: &Decision| match &decision.action {
        Action::Load { model, target, .. } => format!("load {model} {target}"),
        Action::Unload { replica } => format!("unload {replica}"),
        Action::Adapter { replica, adapter } => format!("adapter {adapter} {replica}"),
        Action::Warm { model, target } => format!("warm {model} {target}"),
    };
    decisions.iter().map(text).collect()
}

/// A picture and the decisions that it must lead to.
struct Case {
    name: &'static str,
    picture: Picture,
    expected: &'static [&'static str],
}

fn case(
    name: &'static str,
    expected: &'static [&'static str],
    picture: Picture,
    change: impl FnOnce(&mut Picture),
) -> Case {
    let mut picture = picture;
    change(&mut picture);
    Case {
        name,
        picture,
        expected,
    }
}

fn loading_cases() -> Vec<Case> {
    let two = || picture(vec![worker("a", 16), worker("b", 16)]);
    vec![
        case("nothing waits", &[], two(), |_| {}),
        case("one waits", &["load report a"], two(), |p| {
            p.demand = vec![demand("report", 1)];
        }),
        case("a copy is nearer", &["load report b"], two(), |p| {
            p.demand = vec![demand("report", 1)];
            p.workers[1].copies = vec![Copy {
                model: "report".into(),
                stage: Stage::Memory,
            }];
        }),
        case("a closed worker", &["load report b"], two(), |p| {
            p.demand = vec![demand("report", 1)];
            p.workers[0].open = false;
        }),
        case("a quiet worker", &["load report b"], two(), |p| {
            p.demand = vec![demand("report", 1)];
            p.workers[0].quiet = vec![Quiet {
                model: "report".into(),
                until: NOW + Duration::from_secs(1),
            }];
        }),
        case(
            "a worker past its quiet time",
            &["load report a"],
            two(),
            |p| {
                p.demand = vec![demand("report", 1)];
                p.workers[0].quiet = vec![Quiet {
                    model: "report".into(),
                    until: NOW,
                }];
            },
        ),
        case("nearer callers", &["load report b"], two(), |p| {
            p.demand = vec![demand("report", 1)];
            p.workers[0].region = "bunbury-a".into();
        }),
    ]
}

fn refusing_cases() -> Vec<Case> {
    let two = || picture(vec![worker("a", 16), worker("b", 16)]);
    vec![
        case("an unmanaged group", &[], two(), |p| {
            p.demand = vec![demand("legacy", 5)];
        }),
        case("an unknown model", &[], two(), |p| {
            p.demand = vec![demand("other", 5)];
        }),
        case("too large for all", &[], two(), |p| {
            p.demand = vec![demand("report", 1)];
            p.workers.iter_mut().for_each(|w| w.memory = 9 * GIB);
        }),
        case("already loading", &[], two(), |p| {
            p.demand = vec![demand("report", 8)];
            p.replicas = vec![replica(1, "report", "a", State::Loading)];
            p.replicas[0].decided = NOW;
            p.workers[0].free = 6 * GIB;
        }),
        case(
            "a burst goes to another zone",
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
        case("one allowed", &[], two(), |p| {
            p.demand = vec![demand("single", 5_000)];
            p.replicas = vec![replica(1, "single", "a", State::Loading)];
        }),
    ]
}

fn memory_cases() -> Vec<Case> {
    let full = || {
        let mut picture = picture(vec![worker("a", 6)]);
        picture.replicas = vec![replica(1, "review", "a", State::Ready)];
        picture
    };
    vec![
        case("an idle one gives way", &["unload 1"], full(), |p| {
            p.demand = vec![demand("report", 1)];
        }),
        case("a busy one stays", &[], full(), |p| {
            p.demand = vec![demand("report", 1)];
            p.replicas[0].running = 1;
        }),
        case("one that is waited for stays", &[], full(), |p| {
            p.demand = vec![demand("report", 1), demand("review", 1)];
        }),
        case("one on its way out is waited for", &[], full(), |p| {
            p.demand = vec![demand("report", 1)];
            p.replicas[0].state = State::Retiring;
        }),
        case("an unmanaged one stays", &[], full(), |p| {
            p.demand = vec![demand("report", 1)];
            p.replicas[0].model = "legacy".into();
        }),
        case("past the longest time", &["unload 1"], full(), |p| {
            p.replicas[0].used = Duration::ZERO;
            p.replicas[0].ready = Some(Duration::ZERO);
            let mut fleet = (*p.settings).clone();
            fleet.keeping.maximum_s = 900;
            p.settings = Arc::new(fleet);
        }),
        case("no longer in the settings", &["unload 1"], full(), |p| {
            p.replicas[0].model = "gone".into();
        }),
        case(
            "an adapter is waited for",
            &["adapter dealer-1 1"],
            full(),
            |p| {
                p.replicas[0].model = "report".into();
                p.demand = vec![demand("report", 1)];
                p.demand[0].adapters = vec!["dealer-1".into()];
            },
        ),
        case("adapters at their limit", &[], full(), |p| {
            p.replicas[0].model = "report".into();
            p.demand = vec![demand("report", 1)];
            p.demand[0].adapters = vec!["dealer-1".into()];
            p.adapters_in_flight = 30;
        }),
    ]
}

fn cases() -> impl Iterator<Item = Case> {
    [loading_cases(), refusing_cases(), memory_cases()]
        .into_iter()
        .flatten()
}

#[test]
fn single_pictures() {
    for case in cases() {
        let mut policy = Policy::default();
        let decisions = policy.plan(&case.picture, NOW);
        assert_eq!(texts(&decisions), case.expected, "{}", case.name);
    }
}

#[test]
fn a_lost_load_is_decided_again_but_not_at_once() {
    let mut policy = Policy::default();
    let mut picture = picture(vec![worker("a", 16)]);
    picture.demand = vec![demand("report", 1)];
    assert_eq!(texts(&policy.plan(&picture, NOW)), ["load report a"]);
    let soon = NOW + Duration::from_millis(500);
    assert!(policy.plan(&picture, soon).is_empty());
    let later = NOW + Duration::from_secs(3);
    assert_eq!(texts(&policy.plan(&picture, later)), ["load report a"]);
}

#[test]
fn an_adapter_is_not_ordered_again_while_it_loads() {
    let mut policy = Policy::default();
    let mut picture = picture(vec![worker("a", 6)]);
    picture.replicas = vec![replica(1, "report", "a", State::Ready)];
    picture.demand = vec![demand("report", 1)];
    picture.demand[0].adapters = vec!["dealer-1".into()];
    let first = policy.plan(&picture, NOW);
    assert_eq!(texts(&first), ["adapter dealer-1 1"]);
    let soon = NOW + Duration::from_millis(500);
    assert!(policy.plan(&picture, soon).is_empty());
    let later = NOW + Duration::from_secs(3);
    assert_eq!(texts(&policy.plan(&picture, later)), ["adapter dealer-1 1"]);
}

/// Carries decisions out at once, and counts the loads.
fn carry(picture: &mut Picture, decisions: &[Decision], now: Time) -> u32 {
    let mut loads = 0;
    for decision in decisions {
        match &decision.action {
            Action::Load { model, target, .. } => {
                let mut new = replica(u64::from(loads) + 1, model, target, State::Ready);
                new.decided = now;
                new.ready = Some(now);
                new.used = now;
                picture.replicas.push(new);
                loads += 1;
            }
            Action::Unload { .. } => picture.replicas.clear(),
            Action::Adapter { .. } | Action::Warm { .. } => {}
        }
    }
    loads
}

#[test]
fn a_call_that_stays_away_is_loaded_ahead_for_once() {
    let mut policy = Policy::default();
    let mut picture = picture(vec![worker("a", 16)]);
    let mut fleet = (*picture.settings).clone();
    fleet.keeping.cold_start_weight = 0.8;
    fleet.keeping.idle_weight = 0.2;
    picture.settings = Arc::new(fleet);
    // Calls now five minutes apart, now fifty, while no worker may be loaded.
    picture.workers[0].open = false;
    picture.demand = vec![demand("report", 1)];
    let mut start = NOW;
    for call in 0..12 {
        start += Duration::from_mins(if call % 2 == 0 { 5 } else { 50 });
        policy.plan(&picture, start);
    }
    picture.workers[0].open = true;
    picture.demand.clear();
    let mut loads = Vec::new();
    for second in 1..7_200 {
        let now = start + Duration::from_secs(second);
        let decisions = policy.plan(&picture, now);
        if carry(&mut picture, &decisions, now) > 0 {
            assert_eq!(decisions[0].reason, Reason::Expected);
            loads.push(second);
        }
    }
    assert_eq!(loads.len(), 1, "loaded after {loads:?} s");
    assert!(picture.replicas.is_empty(), "unloaded when no call came");
}

#[test]
fn starts_from_the_store_are_paced() {
    let mut policy = Policy::default();
    let mut picture = picture(vec![worker("a", 16), worker("b", 16), worker("c", 16)]);
    picture.demand = ["report", "review", "single"].map(|m| demand(m, 1)).into();
    let decisions = policy.plan(&picture, NOW);
    assert_eq!(decisions.len(), 2, "two starts a second");
    assert!(decisions.iter().all(|d| d.reason == Reason::Waiting));
    let soon = NOW + Duration::from_millis(999);
    assert!(policy.plan(&picture, soon).is_empty());
    let second = NOW + Duration::from_secs(1);
    assert_eq!(texts(&policy.plan(&picture, second)).len(), 1);
}

#[test]
fn explain_names_the_decision_and_its_figures() {
    let mut policy = Policy::default();
    let mut picture = picture(vec![worker("a", 16)]);
    picture.demand = vec![demand("report", 3)];
    policy.plan(&picture, NOW);
    let lines = policy.explain("report", NOW + Duration::from_secs(4));
    expect_test::expect![[r"
        report was last called 4 s ago; 0.0 gaps seen, 1.0 requests a call
        4 s ago: load on a (waiting): 3 requests wait, the nearest deadline is in 30.0 s; ready from remote in 10.0 s"]]
    .assert_eq(&lines.join("\n"));
    picture.workers[0].open = false;
    let later = NOW + Duration::from_secs(5);
    policy.plan(&picture, later);
    let last = policy.explain("report", later).pop();
    let expected = "0 s ago: not loaded: it fits on no worker that may be loaded now";
    assert_eq!(last.as_deref(), Some(expected));
    let unknown = policy.explain("other", NOW);
    assert_eq!(unknown, ["other is not in the settings"]);
}

/// One load from the store of ten gibibytes that took some time.
fn observe(store: &mut Store, id: u64, took: Duration) {
    let mut picture = picture(vec![worker("a", 16)]);
    picture.replicas = vec![replica(id, "report", "a", State::Loading)];
    store.observe(&picture, &Pending::default(), NOW);
    picture.replicas[0].state = State::Ready;
    picture.replicas[0].ready = Some(DECIDED + took);
    store.observe(&picture, &Pending::default(), NOW);
}

#[test]
fn a_slow_store_is_followed_and_its_recovery_too() {
    let mut store = Store::default();
    // How long a load took, the limit after it, and what the next is expected to take.
    let steps = [
        (10, 4, 10),
        (40, 2, 19),
        (40, 2, 25),
        (10, 2, 20),
        (10, 2, 17),
        (10, 2, 15),
        (10, 3, 13),
        (10, 3, 12),
    ];
    for (id, (took_s, limit, expected_s)) in (1..).zip(steps) {
        observe(&mut store, id, Duration::from_secs(took_s));
        assert_eq!(store.limit(), limit, "after load {id}");
        let expected = store.load(10 * GIB, Stage::Remote);
        assert_eq!(expected.as_secs(), expected_s, "after load {id}");
    }
}
