//! The time from the loss of a leader to the next decision.

use std::time::Duration;

use cornelhitch_quorum::prelude::RequestId;

use super::world::World;
use super::{Act, LEADER, Schedule, Way};

/// Longest delay of a message: regions are a few tens of milliseconds apart.
const DELAY_MS: u16 = 40;

/// A group without faults that takes longer than this for a decision never makes one.
const PATIENCE: Duration = Duration::from_mins(1);

/// How the leader is lost.
#[derive(Clone, Copy, Debug)]
pub enum Loss {
    Crash,
    Isolation,
}

/// A group of three voters without other faults.
pub fn calm(seed: u64) -> World {
    World::new(Schedule {
        seed,
        voters: 3,
        others: 0,
        loss: 0,
        doubled: 0,
        delay: DELAY_MS,
        steps: Vec::new(),
        fault: None,
    })
}

/// Runs until a proposal to whoever leads is committed, and returns how long that took.
pub fn decide(world: &mut World) -> Duration {
    let start = world.now;
    let mut asked: Option<(usize, RequestId)> = None;
    while !asked.is_some_and(|(_, id)| world.ledger.is_applied(id)) {
        let open = |(at, id): &(usize, RequestId)| {
            world.leader() == Some(*at) && !world.ledger.outcomes.contains_key(id)
        };
        asked = asked.filter(open);
        if let (Some(at), None) = (world.leased(), asked) {
            asked = Some((at, world.propose(at).unwrap()));
        }
        step(world, start);
    }
    world.now.saturating_sub(start)
}

fn step(world: &mut World, start: Duration) {
    world.run_for(Duration::from_millis(1)).unwrap();
    let waited = world.now.saturating_sub(start);
    assert!(waited < PATIENCE, "{}", world.describe("no decision"));
}

/// The time from the loss of the leader of a settled group to the next decision.
pub fn measure(seed: u64, loss: Loss) -> Duration {
    let mut world = calm(seed);
    decide(&mut world);
    world.run_for(Duration::from_millis(seed % 500)).unwrap();
    let act = match loss {
        Loss::Crash => Act::Crash(LEADER, 0),
        Loss::Isolation => Act::Isolate(LEADER, Way::Both),
    };
    let before = world.leader();
    world.act(&act).unwrap();
    world.run_for(Duration::from_millis(1)).unwrap();
    let start = world.now;
    while world.leader() == before || world.leased().is_none() {
        step(&mut world, start);
    }
    world.now.saturating_sub(start) + decide(&mut world)
}
