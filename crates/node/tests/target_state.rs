//! Memory for what targets report of themselves.

mod common;

use cornelhitch_node::process_memory::ProcessMemory;
use cornelhitch_node::target_state::TargetState;
use cornelhitch_settings::process::Serving;
use cornelhitch_types::model::Reference;
use cornelhitch_types::target::{AnnouncedHeartbeat, Holding, Stage};

/// Memory of the process, in megabytes.
const MEMORY_MB: f64 = 64.0;

/// Returns a heartbeat of a target that holds as many copies.
fn presence(target: &str, copies: usize) -> AnnouncedHeartbeat {
    let mut presence = common::presence(target, 1, 1);
    let copy = Holding {
        model: Reference::base("lane-summary"),
        replica: None,
        stage: Stage::Disk,
        bytes: 0,
        adapters: Vec::new(),
    };
    presence.heartbeat.inventory = vec![copy; copies];
    presence
}

/// Returns the memory of a small host.
fn state() -> TargetState {
    let serving = Serving {
        memory_mb: MEMORY_MB,
        ..Serving::default()
    };
    TargetState::new(ProcessMemory::new(&serving, None))
}

/// Guards against a few targets that take all memory with what they hold.
#[test]
fn targets_with_long_lists_leave_room_for_others() {
    let mut state = state();
    let admitted =
        (0..1_000).filter(|it| state.reserve(&presence(&format!("w{it}"), 4_000), |_| true));
    assert!(admitted.count() < 10);
    assert!(state.reserve(&presence("ordinary", 40), |_| true));
    assert!(state.reserve(&presence("w0", 4_000), |_| true));
}

/// Guards against a number of targets that take more than the process has for them.
#[test]
fn state_is_full_before_it_refuses_small_targets() {
    let mut state = state();
    let admitted = (0..10_000)
        .take_while(|it| {
            !state.is_full(|_| true) && state.reserve(&presence(&format!("w{it}"), 20), |_| true)
        })
        .count();
    assert!((100..1_000).contains(&admitted), "{admitted}");
    assert!(state.is_full(|_| true));
    assert!(state.reserve(&presence("ordinary", 20), |_| true));
    assert!(
        !state.is_full(|it| **it == *"ordinary"),
        "those that are gone"
    );
}

/// Guards against targets that take nothing if they hold nothing.
#[test]
fn targets_that_hold_nothing_fill_the_state() {
    let mut state = state();
    let admitted =
        (0..10_000).filter(|it| state.reserve(&presence(&format!("w{it}"), 0), |_| true));
    assert!(admitted.count() < 5_000);
}

/// Guards against memory that stays reserved for targets that are gone.
#[test]
fn targets_that_are_gone_leave_their_memory() {
    let mut state = state();
    for target in 0..100_000 {
        let target = format!("w{target}");
        assert!(state.reserve(&presence(&target, 10), |_| false), "{target}");
    }
}
