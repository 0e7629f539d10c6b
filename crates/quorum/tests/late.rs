//! A member whose owner handles messages late keeps what they grant: messages count before timers.

mod schedule;

use std::time::Duration;

use cornelhitch_quorum::prelude::*;

use schedule::failover::{commit_proposal, fault_free_group};
use schedule::simulation::Simulation;

/// How long an owner is late, as a share of the election timeout.
const DELAYS: [f64; 3] = [0.95, 1.5, 4.0];

/// Returns a stable group, and its leader.
fn settled() -> (Simulation, usize) {
    let mut sim = fault_free_group(5);
    commit_proposal(&mut sim);
    sim.run_for(Duration::from_secs(1)).unwrap();
    let leader = sim.leader().unwrap();
    (sim, leader)
}

/// Returns a member's core.
fn core(sim: &mut Simulation, at: usize) -> &mut Core {
    sim.nodes[at].core.as_mut().unwrap()
}

/// Returns the messages among actions, with the index of their recipient.
fn messages(sim: &Simulation, actions: Vec<Action>) -> Vec<(usize, Event)> {
    let index = |id| sim.nodes.iter().position(|node| node.peer.id == id);
    let sent = actions.into_iter().filter_map(|action| match action {
        Action::Send { to, message } => {
            let from = message.from.id;
            Some((index(to)?, Event::Receive { from, message }))
        }
        _ => None,
    });
    sent.collect()
}

/// Lets the leader send a heartbeat; returns when it did, and the heartbeats.
fn heartbeat(sim: &mut Simulation, leader: usize) -> (Duration, Vec<(usize, Event)>) {
    let at = core(sim, leader).next_wake();
    let actions = core(sim, leader).handle(Event::Tick, at);
    (at, messages(sim, actions))
}

#[test]
fn leader_that_handles_answers_late_goes_on_leading() {
    for delay in DELAYS {
        let (mut sim, leader) = settled();
        let term = core(&mut sim, leader).status().term;
        let (sent, heartbeats) = heartbeat(&mut sim, leader);
        let mut answers = Vec::new();
        for (to, event) in heartbeats {
            // The follower's clock is at its last event.
            let actions = core(&mut sim, to).handle(event, Duration::ZERO);
            answers.extend(messages(&sim, actions));
        }
        let late = sent + Config::default().election_timeout.mul_f64(delay);
        let to_leader = answers.into_iter().filter(|(to, _)| *to == leader);
        let events: Vec<Event> = to_leader.map(|(_, event)| event).collect();
        assert_eq!(events.len(), 2, "{delay}");
        core(&mut sim, leader).handle_all(events, late);
        let status = core(&mut sim, leader).status();
        assert_eq!((status.role, status.term), (Role::Leader, term), "{delay}");
    }
}

#[test]
fn leader_that_is_not_answered_steps_down() {
    let (mut sim, leader) = settled();
    let (sent, _) = heartbeat(&mut sim, leader);
    let late = sent + Config::default().election_timeout * 2;
    core(&mut sim, leader).handle(Event::Tick, late);
    assert_eq!(core(&mut sim, leader).status().role, Role::Follower);
}

#[test]
fn follower_that_handles_a_heartbeat_late_starts_no_election() {
    for delay in DELAYS {
        let (mut sim, leader) = settled();
        let (_, heartbeats) = heartbeat(&mut sim, leader);
        let (follower, event) = heartbeats.into_iter().next().unwrap();
        let term = core(&mut sim, follower).status().term;
        let late = Config::default().election_timeout.mul_f64(delay);
        let late = core(&mut sim, follower).next_wake() + late;
        core(&mut sim, follower).handle(event, late);
        let status = core(&mut sim, follower).status();
        assert_eq!(
            (status.role, status.term),
            (Role::Follower, term),
            "{delay}"
        );
    }
}
