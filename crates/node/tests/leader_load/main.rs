//! One leader stays while hundreds of hosts and targets talk to it, on a small processor.

#[path = "../common/mod.rs"]
mod common;
mod world;

use std::time::Duration;

use world::{Order, World};

/// Time within which one leader stands once nothing is disturbed.
const CALM: Duration = Duration::from_secs(3);
/// Time within which a change is committed.
const ACKNOWLEDGED: Duration = Duration::from_secs(6);
/// The large fleet.
const HOSTS: usize = 200;
const TARGETS: usize = 120;

/// Runs a fleet for a while after a disturbance, with a change each second.
fn settle(world: &mut World) {
    world.run(CALM);
    let elections = world.elections();
    for _ in 0..12 {
        world.propose();
        world.run(Duration::from_secs(1));
    }
    assert_eq!(world.elections(), elections, "leaders elected in calm");
    world.run(ACKNOWLEDGED);
    let slowest = world.slowest_commit();
    assert!(slowest < ACKNOWLEDGED, "{slowest:?}");
    assert_eq!(world.uncommitted(), 0, "changes without an answer");
    assert_eq!(world.committed(), 12);
}

#[test]
fn one_leader_stays_after_the_start() {
    let mut world = World::new(Order::Backlog, HOSTS, TARGETS);
    settle(&mut world);
}

#[test]
fn one_leader_stays_after_the_last_one_was_cut_off_and_is_back() {
    for cut in [Duration::from_secs(2), Duration::from_secs(7)] {
        let mut world = World::new(Order::Backlog, HOSTS, TARGETS);
        world.run(Duration::from_secs(10));
        world.cut_leader_off();
        world.run(cut);
        world.heal();
        settle(&mut world);
    }
}

#[test]
fn one_leader_stays_after_the_group_was_split_in_halves() {
    let mut world = World::new(Order::Backlog, HOSTS, TARGETS);
    world.run(Duration::from_secs(10));
    world.split();
    world.run(Duration::from_secs(6));
    world.heal();
    settle(&mut world);
}

#[test]
fn one_leader_stays_when_all_hosts_are_back_at_once() {
    let mut world = World::new(Order::Backlog, HOSTS, TARGETS);
    world.run(Duration::from_secs(10));
    world.restart_hosts();
    settle(&mut world);
}

/// The baseline: what waits is handled in the order of its arrival, older levels too.
#[test]
fn first_come_first_served_keeps_no_promise() {
    let mut world = World::new(Order::Arrival, HOSTS, TARGETS);
    world.run(Duration::from_secs(10));
    world.cut_leader_off();
    world.run(Duration::from_secs(7));
    world.heal();
    world.run(CALM);
    let elections = world.elections();
    for _ in 0..12 {
        world.propose();
        world.run(Duration::from_secs(1));
    }
    world.run(ACKNOWLEDGED);
    let unstable = world.elections() > elections;
    assert!(unstable || world.slowest_commit() >= ACKNOWLEDGED || world.uncommitted() > 0);
}
