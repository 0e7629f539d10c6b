//! The number of targets that the leader registers.

mod common;

use std::time::Duration;

use common::{Bench, DemandPlanner, MODELS, START, heartbeat, worker};
use cornelhitch_control::prelude::*;
use cornelhitch_types::target::AnnouncedHeartbeat;

/// Targets that may be registered.
const MAX_TARGETS: usize = 3;
/// Time after which a target without heartbeats counts as silent, and is removed if there is no room.
const SILENCE: Duration = Duration::from_secs(10);

/// Returns a leader that registers few targets.
fn bench() -> Bench {
    let mut bench = Bench::new();
    let limits = Limits {
        targets: MAX_TARGETS,
        ..Limits::default()
    };
    bench.leader = Leader::new(Box::new(DemandPlanner)).limits(limits);
    bench.handle(Input::Elected { term: bench.term });
    bench.apply_settings(MODELS);
    bench
}

/// Sends a target's heartbeat with its announcement.
fn hear(bench: &mut Bench, name: &str, sequence: u64) {
    let presence = AnnouncedHeartbeat {
        announcement: worker(name, 1, 100, false),
        heartbeat: heartbeat(name, 1, sequence, Vec::new()),
        software: None,
    };
    bench.handle(Input::Presence(Box::new(presence)));
}

/// Returns the names of the registered targets.
fn registered(bench: &Bench) -> Vec<String> {
    let fleet = bench.state.fleet();
    fleet
        .iter()
        .map(|it| it.announcement.target.to_string())
        .collect()
}

/// Guards against targets without end that are kept, and against those known before that are not heard any more.
#[test]
fn targets_beyond_the_limit_are_not_registered() {
    let mut bench = bench();
    for number in 1..10 {
        hear(&mut bench, &format!("w{number}"), 1);
        bench.handle(Input::Announcement(worker(
            &format!("a{number}"),
            1,
            100,
            false,
        )));
    }
    assert_eq!(registered(&bench).len(), MAX_TARGETS);
    let known = registered(&bench);
    assert!(bench.leader.has_room_for(&known[0], &bench.state));
    assert!(!bench.leader.has_room_for("w9", &bench.state));
}

/// Guards against targets that were named once and keep others out for as long as silent ones are remembered.
#[test]
fn silent_targets_make_room() {
    let mut bench = bench();
    for name in ["w1", "w2", "w3"] {
        hear(&mut bench, name, 1);
    }
    assert_eq!(bench.now, START);
    for sequence in 2..2 + SILENCE.as_secs() {
        bench.advance(1);
        hear(&mut bench, "w1", sequence);
        hear(&mut bench, "w4", sequence);
    }
    assert_eq!(registered(&bench), ["w1", "w4"]);
}

/// Guards against targets that were heard for long and are removed for others, as when a zone is cut off.
#[test]
fn targets_heard_for_long_make_room_last() {
    let mut bench = bench();
    for sequence in 1..=2 * SILENCE.as_secs() {
        hear(&mut bench, "w1", sequence);
        bench.advance(1);
    }
    hear(&mut bench, "w2", 1);
    hear(&mut bench, "w3", 1);
    for sequence in 1..=SILENCE.as_secs() {
        bench.advance(1);
        hear(&mut bench, "w4", sequence);
    }
    assert_eq!(registered(&bench), ["w1", "w4"]);
}

/// Guards against a host without memory that keeps targets which were named once.
#[test]
fn silent_targets_make_room_where_memory_is_lacking() {
    let mut bench = bench();
    hear(&mut bench, "w1", 1);
    bench.leader.set_lacks_memory(true);
    for sequence in 1..=SILENCE.as_secs() {
        bench.advance(1);
        hear(&mut bench, "w2", sequence);
    }
    assert_eq!(registered(&bench), ["w2"]);
}

/// Guards against silent targets that are removed early though there is room.
#[test]
fn silent_targets_stay_while_there_is_room() {
    let mut bench = bench();
    hear(&mut bench, "w1", 1);
    hear(&mut bench, "w2", 1);
    for _ in 0..SILENCE.as_secs() {
        bench.advance(1);
    }
    assert_eq!(registered(&bench), ["w1", "w2"]);
}
