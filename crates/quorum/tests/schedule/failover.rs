//! Measures the time from the loss of a leader to the next commit.

use std::time::Duration;

use cornelhitch_quorum::prelude::RequestId;

use super::simulation::Simulation;
use super::{Direction, LEADER, Operation, Schedule};

/// Maximum message delay; typical between regions, which are a few tens of milliseconds apart.
const DELAY_MS: u16 = 40;

/// A fault-free group that takes longer than this to commit is considered stuck.
const COMMIT_TIMEOUT: Duration = Duration::from_mins(1);

/// How the leader is lost.
#[derive(Clone, Copy, Debug)]
pub enum Loss {
    Crash,
    Isolation,
}

/// Creates a group of three voters without faults.
pub fn fault_free_group(seed: u64) -> Simulation {
    Simulation::new(Schedule {
        seed,
        voters: 3,
        joiners: 0,
        loss: 0,
        duplicated: 0,
        delay: DELAY_MS,
        steps: Vec::new(),
        fault: None,
    })
}

/// Runs until a proposal to the leader is committed and returns the elapsed virtual time.
pub fn commit_proposal(sim: &mut Simulation) -> Duration {
    let start = sim.now;
    let mut proposal: Option<(usize, RequestId)> = None;
    while !proposal.is_some_and(|(_, id)| sim.checker.is_applied(id)) {
        let pending = |(at, id): &(usize, RequestId)| {
            sim.leader() == Some(*at) && !sim.checker.outcomes.contains_key(id)
        };
        proposal = proposal.filter(pending);
        if let (Some(at), None) = (sim.leader_with_lease(), proposal) {
            proposal = Some((at, sim.propose(at).unwrap()));
        }
        step(sim, start);
    }
    sim.now.saturating_sub(start)
}

fn step(sim: &mut Simulation, start: Duration) {
    sim.run_for(Duration::from_millis(1)).unwrap();
    let waited = sim.now.saturating_sub(start);
    assert!(
        waited < COMMIT_TIMEOUT,
        "{}",
        sim.describe("no proposal was committed")
    );
}

/// Returns the time from the loss of the leader of a stable group to the next commit.
pub fn measure_failover(seed: u64, loss: Loss) -> Duration {
    let mut sim = fault_free_group(seed);
    commit_proposal(&mut sim);
    sim.run_for(Duration::from_millis(seed % 500)).unwrap();
    let operation = match loss {
        Loss::Crash => Operation::Crash(LEADER, 0),
        Loss::Isolation => Operation::Isolate(LEADER, Direction::Both),
    };
    let before = sim.leader();
    sim.execute(&operation).unwrap();
    sim.run_for(Duration::from_millis(1)).unwrap();
    let start = sim.now;
    while sim.leader() == before || sim.leader_with_lease().is_none() {
        step(&mut sim, start);
    }
    sim.now.saturating_sub(start) + commit_proposal(&mut sim)
}
