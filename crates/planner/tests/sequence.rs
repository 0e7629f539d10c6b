//! Decisions over several consecutive calls of the planner.

mod fixtures;

use std::sync::Arc;
use std::time::Duration;

use cornelhitch_planner::Planner;
use cornelhitch_planner::decision::{Action, Decision, Reason};
use cornelhitch_planner::fleet_state::FleetState;
use cornelhitch_planner::pending::PendingDecisions;
use cornelhitch_planner::policy::Policy;
use cornelhitch_planner::weight_store::WeightStore;
use cornelhitch_types::id::Time;
use cornelhitch_types::target::Stage;
use cornelhitch_types::view::State;

use crate::fixtures::{DECIDED, GIB, NOW, demand, fleet_state, replica, texts, worker};

#[test]
fn a_lost_load_is_repeated_only_after_the_confirmation_timeout() {
    let mut policy = Policy::default();
    let mut fleet_state = fleet_state(vec![worker("a", 16)]);
    fleet_state.demand = vec![demand("report", 1)];
    assert_eq!(texts(&policy.plan(&fleet_state, NOW)), ["load report a"]);
    let soon = NOW + Duration::from_millis(500);
    assert!(policy.plan(&fleet_state, soon).is_empty());
    let later = NOW + Duration::from_secs(3);
    assert_eq!(texts(&policy.plan(&fleet_state, later)), ["load report a"]);
}

#[test]
fn a_pending_adapter_load_is_not_repeated_before_the_confirmation_timeout() {
    let mut policy = Policy::default();
    let mut fleet_state = fleet_state(vec![worker("a", 6)]);
    fleet_state.replicas = vec![replica(1, "report", "a", State::Ready)];
    fleet_state.demand = vec![demand("report", 1)];
    fleet_state.demand[0].adapters = vec!["dealer-1".into()];
    let first = policy.plan(&fleet_state, NOW);
    assert_eq!(texts(&first), ["adapter dealer-1 1"]);
    let soon = NOW + Duration::from_millis(500);
    assert!(policy.plan(&fleet_state, soon).is_empty());
    let later = NOW + Duration::from_secs(3);
    assert_eq!(
        texts(&policy.plan(&fleet_state, later)),
        ["adapter dealer-1 1"]
    );
}

#[test]
fn models_load_in_order_of_urgency_divided_by_weight() {
    let mut policy = Policy::default();
    let mut fleet_state = fleet_state(vec![worker("a", 16), worker("b", 16), worker("c", 16)]);
    fleet_state.demand = ["report", "review", "single"].map(|m| demand(m, 1)).into();
    fleet_state.demand[1].deadline = NOW + Duration::from_secs(10);
    fleet_state.demand[2].weight = 10;
    let decisions = policy.plan(&fleet_state, NOW);
    assert_eq!(texts(&decisions), ["load single a", "load review b"]);
}

#[test]
fn models_that_fit_nowhere_do_not_block_others() {
    let mut policy = Policy::default();
    let names: Vec<String> = (0..500).map(|index| format!("w{index:03}")).collect();
    let workers = names.iter().map(|name| worker(name, 16)).collect();
    let mut fleet_state = fleet_state(workers);
    let mut fleet = (*fleet_state.settings).clone();
    for index in 0..20 {
        let mut large = fleet.models[0].clone();
        large.name = format!("large-{index}").into();
        large.bytes = 100 * GIB;
        fleet_state.demand.push(demand(&large.name, 1));
        fleet_state.demand[index].weight = 9;
        fleet.models.push(large);
    }
    fleet_state.demand.push(demand("report", 1));
    fleet_state.settings = Arc::new(fleet);
    let mut loads = Vec::new();
    for call in 0..4 {
        let now = NOW + Duration::from_millis(500) * call;
        loads.extend(texts(&policy.plan(&fleet_state, now)));
    }
    assert_eq!(loads, ["load report w000"]);
}

/// Applies decisions immediately and returns the number of loads.
fn apply(fleet_state: &mut FleetState, decisions: &[Decision], now: Time) -> u32 {
    let mut loads = 0;
    for decision in decisions {
        match &decision.action {
            Action::Load { model, target, .. } => {
                let mut new = replica(u64::from(loads) + 1, model, target, State::Ready);
                new.decided_at = now;
                new.ready_at = Some(now);
                new.last_used = now;
                fleet_state.replicas.push(new);
                loads += 1;
            }
            Action::Unload { .. } => fleet_state.replicas.clear(),
            Action::Adapter { .. } | Action::Warm { .. } => {}
        }
    }
    loads
}

#[test]
fn a_model_is_preloaded_once_for_a_request_that_does_not_arrive() {
    let mut policy = Policy::default();
    let mut fleet_state = fleet_state(vec![worker("a", 16)]);
    let mut fleet = (*fleet_state.settings).clone();
    fleet.keeping.cold_start_weight = 0.8;
    fleet.keeping.idle_weight = 0.2;
    fleet_state.settings = Arc::new(fleet);
    // Requests are alternately five and fifty minutes apart while no worker accepts loads.
    fleet_state.workers[0].accepts_loads = false;
    fleet_state.demand = vec![demand("report", 1)];
    let mut start = NOW;
    for call in 0..12 {
        start += Duration::from_mins(if call % 2 == 0 { 5 } else { 50 });
        policy.plan(&fleet_state, start);
    }
    fleet_state.workers[0].accepts_loads = true;
    fleet_state.demand.clear();
    let mut loads = Vec::new();
    for second in 1..7_200 {
        let now = start + Duration::from_secs(second);
        let decisions = policy.plan(&fleet_state, now);
        if apply(&mut fleet_state, &decisions, now) > 0 {
            assert_eq!(decisions[0].reason, Reason::Expected);
            loads.push(second);
        }
    }
    assert_eq!(loads.len(), 1, "loaded after {loads:?} s");
    assert!(
        fleet_state.replicas.is_empty(),
        "still loaded after no request arrived"
    );
}

#[test]
fn starts_from_the_store_are_rate_limited() {
    let mut policy = Policy::default();
    let mut fleet_state = fleet_state(vec![worker("a", 16), worker("b", 16), worker("c", 16)]);
    fleet_state.demand = ["report", "review", "single"].map(|m| demand(m, 1)).into();
    let decisions = policy.plan(&fleet_state, NOW);
    assert_eq!(decisions.len(), 2, "two starts per second are allowed");
    assert!(decisions.iter().all(|d| d.reason == Reason::Waiting));
    let soon = NOW + Duration::from_millis(999);
    assert!(policy.plan(&fleet_state, soon).is_empty());
    let second = NOW + Duration::from_secs(1);
    assert_eq!(texts(&policy.plan(&fleet_state, second)).len(), 1);
}

#[test]
fn explain_reports_the_decision_and_its_figures() {
    let mut policy = Policy::default();
    let mut fleet_state = fleet_state(vec![worker("a", 16)]);
    fleet_state.demand = vec![demand("report", 3)];
    policy.plan(&fleet_state, NOW);
    let lines = policy.explain("report", NOW + Duration::from_secs(4));
    expect_test::expect![[r"
        report was last called 4 s ago; 0.0 gaps seen, 1.0 requests a call
        4 s ago: load on a (waiting): 3 requests wait, the nearest deadline is in 30.0 s; ready from remote in 10.0 s"]]
    .assert_eq(&lines.join("\n"));
    fleet_state.workers[0].accepts_loads = false;
    let later = NOW + Duration::from_secs(5);
    policy.plan(&fleet_state, later);
    let last = policy.explain("report", later).pop();
    let expected = "0 s ago: not loaded: it fits on no worker that may be loaded now";
    assert_eq!(last.as_deref(), Some(expected));
    let unknown = policy.explain("other", NOW);
    assert_eq!(unknown, ["other is not in the settings"]);
}

/// Lets the store observe a finished load of 10 GiB that took `took`.
fn observe(store: &mut WeightStore, id: u64, took: Duration) {
    let mut fleet_state = fleet_state(vec![worker("a", 16)]);
    fleet_state.replicas = vec![replica(id, "report", "a", State::Loading)];
    store.observe(&fleet_state, &PendingDecisions::default(), NOW);
    fleet_state.replicas[0].state = State::Ready;
    fleet_state.replicas[0].ready_at = Some(DECIDED + took);
    store.observe(&fleet_state, &PendingDecisions::default(), NOW);
}

#[test]
fn limit_and_load_time_follow_a_slow_store_and_its_recovery() {
    let mut store = WeightStore::default();
    // Duration of a load, limit after it, and expected duration of the next load.
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
        let expected = store.load_time(10 * GIB, Stage::Remote);
        assert_eq!(expected.as_secs(), expected_s, "after load {id}");
    }
}
