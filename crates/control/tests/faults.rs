//! Faults of orders, workers, heartbeats and leaders, one in each row, alone and in pairs.

mod common;

use std::time::Duration;

use common::simulation::{Delivery, Simulation, Step};
use common::{Bench, MODELS, heartbeat, worker};
use cornelhitch_control::prelude::*;
use cornelhitch_types::id::Time;
use cornelhitch_types::target::Heartbeat;
use cornelhitch_types::view::Change;

/// The worker that the model is loaded on; the others send no heartbeats.
#[derive(Debug, Clone, Copy)]
enum Active {
    /// A worker that checks fencing numbers and reports replica ids.
    Checking = 0b1110,
    /// A worker that reports replica ids only.
    Ids = 0b1101,
    /// A worker that identifies copies by model name only.
    Names = 0b1011,
}

/// An action of a row, translated into steps.
#[derive(Debug, Clone, Copy)]
enum Action {
    Seconds(usize),
    Demand(u32),
    Burst,
    Order(Delivery),
    /// The second order in flight.
    Second(Delivery),
    Elect,
    Restart(usize),
    Fail(usize),
    Pause(usize),
    /// The worker is silent, and only the one that identifies copies by name sends heartbeats.
    Elsewhere(usize),
    Stall(bool),
    Late,
    Duplicate,
}

/// A fault, its worker, its actions, and the expected counts of load orders sent and of replicas
/// decided, released and ready.
type Row = (&'static str, Active, &'static [Action], [usize; 4]);

use Action::{
    Burst, Demand, Duplicate, Elect, Elsewhere, Fail, Late, Order, Pause, Restart, Second, Seconds,
    Stall,
};
use Active::{Checking, Ids, Names};
use Delivery::{AnswerLost, Answered, Hangs, Lost, Unsent};

#[rustfmt::skip]
const ROWS: &[Row] = &[
    ("none", Names, &[Seconds(1), Order(Answered), Seconds(4)], [1, 1, 0, 1]),
    ("burst at every entry host", Ids, &[Burst, Seconds(1), Order(Answered), Burst, Seconds(4)], [1, 1, 0, 1]),
    ("order never left", Names, &[Order(Unsent), Seconds(5), Order(Answered), Seconds(4)], [2, 2, 1, 1]),
    ("answer lost, ids", Ids, &[Order(AnswerLost), Seconds(15)], [1, 1, 0, 1]),
    ("answer lost, names", Names, &[Order(AnswerLost), Seconds(15)], [1, 1, 0, 1]),
    ("answer lost, checking", Checking, &[Order(AnswerLost), Seconds(5)], [1, 1, 0, 1]),
    ("order lost, names", Names, &[Order(Lost), Seconds(9)], [1, 1, 0, 0]),
    ("order lost, names, later", Names, &[Order(Lost), Seconds(24), Order(Answered), Seconds(4)], [2, 2, 1, 1]),
    ("order lost, checking", Checking, &[Order(Lost), Seconds(1), Order(Answered), Seconds(4)], [2, 1, 0, 1]),
    ("order hangs and arrives, names", Names, &[Order(Hangs), Seconds(4), Order(Answered), Seconds(4)], [1, 1, 0, 1]),
    ("order hangs and arrives twice, checking", Checking, &[Order(Hangs), Seconds(2), Second(Answered), Seconds(2), Order(Answered), Seconds(4)], [2, 1, 0, 1]),
    ("worker dies in mid-load", Names, &[Order(Answered), Restart(2), Seconds(3), Order(Answered), Seconds(4)], [2, 2, 0, 1]),
    ("load fails in mid-load", Ids, &[Order(Answered), Seconds(1), Fail(1), Seconds(12), Order(Answered), Seconds(4)], [2, 2, 1, 1]),
    ("leader change, order in flight, names", Names, &[Elect, Demand(1), Seconds(3), Order(Answered), Seconds(4)], [1, 1, 0, 1]),
    ("leader change, order in flight, checking", Checking, &[Elect, Demand(1), Seconds(3), Second(Answered), Order(Answered), Seconds(4)], [2, 1, 0, 1]),
    ("leader change, order lost, names", Names, &[Order(Lost), Elect, Demand(1), Seconds(9)], [1, 1, 0, 0]),
    ("leader change, order lost, names, later", Names, &[Order(Lost), Elect, Demand(1), Seconds(24), Order(Answered), Seconds(4)], [2, 2, 1, 1]),
    ("two leader changes, order in flight, ids", Ids, &[Elect, Seconds(1), Elect, Demand(1), Seconds(3), Order(Answered), Seconds(4)], [1, 1, 0, 1]),
    ("leader change and death in mid-load", Names, &[Order(Answered), Elect, Restart(2), Demand(1), Seconds(4), Order(Answered), Seconds(4)], [2, 2, 0, 1]),
    ("answer lost and leader change", Ids, &[Order(AnswerLost), Elect, Demand(1), Seconds(15)], [1, 1, 0, 1]),
    ("worker unreachable for a minute", Ids, &[Order(Answered), Seconds(4), Pause(60), Seconds(2)], [1, 1, 0, 1]),
    ("worker unreachable in mid-load, leader change", Names, &[Order(Answered), Pause(20), Elect, Demand(1), Pause(20), Seconds(4)], [1, 1, 0, 1]),
    ("worker lost for good, another takes over", Ids, &[Order(Answered), Seconds(4), Elsewhere(12), Order(Answered), Elsewhere(4)], [2, 2, 0, 2]),
    ("late and doubled heartbeats", Ids, &[Late, Order(Answered), Seconds(2), Duplicate, Duplicate, Seconds(4)], [1, 1, 0, 1]),
    ("commits stall for five seconds", Ids, &[Stall(true), Order(Answered), Seconds(5), Stall(false), Seconds(4)], [1, 1, 0, 1]),
];

/// Returns the steps of an action.
fn steps(active: Active, action: Action) -> Vec<Step> {
    let silent = active as u8;
    let second = |late, paused| Step::Second {
        lost: 0,
        late,
        paused,
    };
    let demand = |host, waiting| Step::Demand {
        host,
        model: 1,
        waiting,
        running: 0,
        old: false,
    };
    match action {
        Seconds(count) => (0..count)
            .flat_map(|_| [demand(2, 1), second(0, silent)])
            .collect(),
        Demand(waiting) => vec![demand(2, waiting)],
        Burst => (2..11).map(|host| demand(host, 1)).collect(),
        Order(delivery) => vec![Step::Order { which: 0, delivery }],
        Second(delivery) => vec![Step::Order { which: 1, delivery }],
        Elect => vec![Step::Elect {
            kept: 0,
            snapshot: true,
        }],
        Restart(worker) => vec![Step::Restart {
            worker,
            announced: true,
        }],
        Fail(worker) => vec![Step::Fail { worker }],
        Elsewhere(count) => (0..count)
            .flat_map(|_| [demand(2, 1), second(0, Names as u8)])
            .collect(),
        Pause(count) => (0..count)
            .flat_map(|_| [demand(2, 1), second(0, 0b1111)])
            .collect(),
        Stall(stalled) => vec![Step::Stall(stalled)],
        Late => vec![second(0b1111, silent)],
        Duplicate => vec![Step::Late {
            which: 0,
            duplicated: true,
        }],
    }
}

/// Runs a row and returns the observed counts.
fn run(active: Active, actions: &[Action]) -> Result<[usize; 4], String> {
    let mut simulation = Simulation::new();
    for step in [Seconds(3)]
        .iter()
        .chain(actions)
        .flat_map(|action| steps(active, *action))
    {
        simulation.run(&step)?;
    }
    simulation.check_replay()?;
    Ok([
        simulation.loads,
        simulation.decided(),
        simulation.releases,
        simulation.ready("preview"),
    ])
}

#[test]
fn every_fault_ends_with_the_expected_counts() {
    let mut wrong = Vec::new();
    for (fault, active, actions, expected) in ROWS {
        match run(*active, actions) {
            Ok(seen) if seen == *expected => {}
            other => wrong.push(format!("{fault}: expected {expected:?}, {other:?}")),
        }
    }
    assert!(
        wrong.is_empty(),
        "loads, decided, released, ready:\n{}",
        wrong.join("\n")
    );
}

/// How a target stops.
#[derive(Debug, Clone, Copy)]
enum Stop {
    /// It announces that it is leaving.
    Leaving,
    /// It stops sending heartbeats.
    Silent,
    /// An entry host loses its connections to it.
    ConnectionLost,
    /// It stops sending heartbeats just before a new leader is elected.
    SilentAfterElection,
}

#[test]
fn stopped_target_is_published_within_three_seconds() {
    let limit = Duration::from_secs(3);
    for stop in [
        Stop::Leaving,
        Stop::Silent,
        Stop::ConnectionLost,
        Stop::SilentAfterElection,
    ] {
        let mut bench = Bench::new();
        bench.apply_settings(MODELS);
        bench.handle(Input::Announcement(worker("w1", 1, 100, false)));
        bench.handle(Input::Heartbeat(heartbeat("w1", 1, 1, vec![])));
        bench.advance(2);
        bench.handle(Input::Heartbeat(heartbeat("w1", 1, 2, vec![])));
        bench.changes();
        let since = bench.now;
        let (target, incarnation) = ("w1".into(), 1);
        let leaving = Heartbeat {
            leaving: true,
            ..heartbeat("w1", 1, 3, vec![])
        };
        match stop {
            Stop::Leaving => bench.handle(Input::Heartbeat(leaving)),
            Stop::Silent => {}
            Stop::ConnectionLost => bench.handle(Input::ConnectionLost {
                target,
                incarnation,
            }),
            Stop::SilentAfterElection => bench.elect(),
        }
        let closed = closed_after(&mut bench, since);
        assert!(closed.is_some_and(|it| it <= limit), "{stop:?}: {closed:?}");
    }
}

/// Returns how long after `since` the target is published as closed.
fn closed_after(bench: &mut Bench, since: Time) -> Option<Time> {
    for _ in 0..100 {
        let closed = |it: &Change| matches!(it, Change::Target(target) if !target.open);
        if bench.changes().iter().any(closed) {
            return Some(bench.now.saturating_sub(since));
        }
        bench.now += Duration::from_millis(100);
        bench.handle(Input::Tick);
    }
    None
}
