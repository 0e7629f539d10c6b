//! Tests of a group under specific faults, in virtual time.

mod schedule;

use std::collections::BTreeSet;
use std::time::Duration;

use cornelhitch_quorum::message::{Envelope, Message};
use cornelhitch_quorum::prelude::*;

use schedule::failover::{self, Loss, commit_proposal, fault_free_group};
use schedule::simulation::Simulation;
use schedule::{Direction, LEADER, Operation};

/// Maximum time from the loss of the leader to the next commit.
const FAILOVER_TARGET: Duration = Duration::from_secs(3);

const SEEDS: u64 = 300;

const SECOND: Duration = Duration::from_secs(1);

fn status(sim: &Simulation, at: usize) -> Status {
    sim.nodes[at].core.as_ref().unwrap().status()
}

/// Creates a stable group; returns it with its leader and one of its followers.
fn settled(seed: u64) -> (Simulation, usize, usize) {
    let mut sim = fault_free_group(seed);
    commit_proposal(&mut sim);
    sim.run_for(SECOND).unwrap();
    let leader = sim.leader().unwrap();
    (sim, leader, (leader + 1) % 3)
}

/// Requests a membership change and runs until it completes or fails.
fn change(sim: &mut Simulation, change: MembershipChange) -> Result<(), RejectReason> {
    let id = sim.change(change).unwrap();
    for _ in 0..60 {
        if let Some(outcome) = sim.checker.outcomes.get(&id) {
            return *outcome;
        }
        sim.run_for(SECOND).unwrap();
    }
    panic!("the membership change did not complete within 60 s");
}

/// Wipes the disk of a member and restarts it.
fn wipe(sim: &mut Simulation, at: usize) -> Peer {
    sim.execute(&Operation::Wipe(u8::try_from(at).unwrap()))
        .unwrap();
    sim.nodes[at].peer
}

#[test]
fn next_commit_after_leader_loss_meets_failover_target() {
    for seed in 0..SEEDS {
        for loss in [Loss::Crash, Loss::Isolation] {
            let time = failover::measure_failover(seed, loss);
            assert!(time < FAILOVER_TARGET, "seed {seed}, {loss:?}: {time:?}");
        }
    }
}

/// Whether the leader is isolated, in which direction, and whether the group keeps its leader and
/// term.
const PARTITIONS: [(bool, Direction, bool); 6] = [
    (false, Direction::Both, true),
    (false, Direction::In, true),
    (false, Direction::Out, true),
    (true, Direction::Both, false),
    (true, Direction::In, false),
    (true, Direction::Out, false),
];

#[test]
fn partitioned_member_does_not_disrupt_the_group_after_healing() {
    for (leader_isolated, direction, keeps_leader) in PARTITIONS {
        let (mut sim, leader, follower) = settled(3);
        let term = status(&sim, leader).term;
        let isolated = if leader_isolated { leader } else { follower };
        sim.execute(&Operation::Isolate(
            u8::try_from(isolated).unwrap(),
            direction,
        ))
        .unwrap();
        sim.run_for(60 * SECOND).unwrap();
        let during = sim.leader().unwrap();
        let term_during = status(&sim, during).term;
        sim.execute(&Operation::Heal).unwrap();
        sim.run_for(10 * SECOND).unwrap();
        let after = sim.leader().unwrap();
        let case = format!("leader isolated: {leader_isolated}, {direction:?}");
        assert_eq!(
            (after, status(&sim, after).term),
            (during, term_during),
            "{case}"
        );
        assert_eq!(term_during == term, keeps_leader, "{case}");
        commit_proposal(&mut sim);
    }
}

#[test]
fn wiped_member_does_not_count_until_it_replaces_itself() {
    let (mut sim, leader, wiped) = settled(4);
    sim.admit_joiners = false;
    let peer = wipe(&mut sim, wiped);
    sim.sent = Some(Vec::new());
    sim.run_for(5 * SECOND).unwrap();
    let old = sim.members(leader).peer(peer.id).unwrap();
    assert_ne!(old.incarnation, peer.incarnation);
    let is_response = |e: &Envelope| {
        matches!(
            e.message,
            Message::AppendResponse(_) | Message::VoteResponse(_)
        )
    };
    let sent = sim.sent.take().unwrap();
    assert!(
        !sent.iter().any(|e| e.from == peer && is_response(e)),
        "a wiped member responds"
    );
    let replace = MembershipChange::Replace {
        old: peer.id,
        new: peer,
    };
    let outcome = change(&mut sim, replace);
    assert_eq!(outcome, Ok(()));
    let members = sim.members(leader);
    assert!(
        members.admits(peer) && members.is_voter(peer.id),
        "{members:?}"
    );
    assert_eq!(
        change(&mut sim, replace),
        Ok(()),
        "repeating a completed change succeeds"
    );
}

#[test]
fn group_survives_member_loss_right_after_replacement() {
    for lost in 0..3 {
        let (mut sim, _, wiped) = settled(5);
        let peer = wipe(&mut sim, wiped);
        sim.run_for(SECOND).unwrap();
        let id = sim
            .change(MembershipChange::Replace {
                old: peer.id,
                new: peer,
            })
            .unwrap();
        while !sim.checker.outcomes.contains_key(&id) {
            sim.run_for(Duration::from_millis(1)).unwrap();
        }
        assert_eq!(sim.checker.outcomes[&id], Ok(()));
        sim.execute(&Operation::Crash(lost, 0)).unwrap();
        commit_proposal(&mut sim);
    }
}

/// Invalid changes are rejected, valid or already satisfied ones succeed, and a second change while
/// one is in progress is rejected as busy.
#[test]
fn invalid_membership_changes_are_rejected() {
    let other = |id| Peer {
        id,
        incarnation: 99,
    };
    let cases = [
        (MembershipChange::Add(other(0)), Err(RejectReason::Invalid)),
        (MembershipChange::Promote(7), Err(RejectReason::Invalid)),
        (MembershipChange::Remove(7), Ok(())),
        (
            MembershipChange::Replace {
                old: 0,
                new: other(1),
            },
            Err(RejectReason::Invalid),
        ),
        (MembershipChange::Add(other(8)), Ok(())),
        (MembershipChange::Promote(8), Err(RejectReason::Stalled)),
        (MembershipChange::Remove(8), Ok(())),
    ];
    let (mut sim, _, _) = settled(6);
    for (requested, outcome) in cases {
        assert_eq!(change(&mut sim, requested), outcome, "{requested:?}");
    }
    let first = sim
        .change(MembershipChange::Replace {
            old: 0,
            new: other(8),
        })
        .unwrap();
    let second = sim.change(MembershipChange::Remove(1)).unwrap();
    assert_eq!(
        sim.checker.outcomes.get(&second),
        Some(&Err(RejectReason::Busy))
    );
    assert_eq!(sim.checker.outcomes.get(&first), None);
}

/// Steps that make a voter a learner, and what is left after them.
#[test]
fn a_demoted_or_readmitted_voter_is_a_learner() {
    let wiped = Peer {
        id: 2,
        incarnation: 99,
    };
    let cases = [
        (MembershipChange::Demote(7), Err(RejectReason::Invalid), 3),
        (MembershipChange::Demote(1), Ok(()), 2),
        (MembershipChange::Demote(1), Ok(()), 2),
        (MembershipChange::Readmit(wiped), Ok(()), 1),
        (MembershipChange::Readmit(wiped), Ok(()), 1),
        (
            MembershipChange::Readmit(Peer { id: 7, ..wiped }),
            Err(RejectReason::Invalid),
            1,
        ),
        (MembershipChange::Demote(0), Err(RejectReason::Invalid), 1),
    ];
    let mut sim = fault_free_group(6);
    commit_proposal(&mut sim);
    while sim.leader() != Some(0) {
        let leader = sim.leader().unwrap_or(1);
        sim.restart(leader);
        sim.run_for(4 * SECOND).unwrap();
    }
    for (requested, outcome, voters) in cases {
        assert_eq!(change(&mut sim, requested), outcome, "{requested:?}");
        let members = sim.members(0);
        assert_eq!(members.voters().count(), voters, "{requested:?}");
        assert_eq!(members.len(), 3, "{requested:?}");
    }
    assert!(sim.members(0).admits(wiped));
}

/// With one member down, removing another live one would leave no quorum.
#[test]
fn removal_that_leaves_no_live_quorum_stalls() {
    let (mut sim, leader, follower) = settled(7);
    sim.execute(&Operation::Crash(u8::try_from(follower).unwrap(), 0))
        .unwrap();
    sim.run_for(2 * SECOND).unwrap();
    let third = (leader + 2) % 3;
    let remove = MembershipChange::Remove(u64::try_from(third).unwrap());
    assert_eq!(change(&mut sim, remove), Err(RejectReason::Stalled));
    commit_proposal(&mut sim);
}

/// The disk of the leader, which must then step down, or of any member is full.
#[test]
fn member_with_full_disk_follows_without_acknowledging() {
    for full in [LEADER, 0, 1, 2] {
        let (mut sim, leader, _) = settled(8);
        let at = if full == LEADER {
            leader
        } else {
            usize::from(full)
        };
        sim.execute(&Operation::Full(full, true)).unwrap();
        commit_proposal(&mut sim);
        sim.run_for(5 * SECOND).unwrap();
        for _ in 0..5 {
            commit_proposal(&mut sim);
        }
        sim.run_for(SECOND).unwrap();
        let (unhealthy, new_leader) = (status(&sim, at), sim.leader().unwrap());
        assert!(
            new_leader != at && unhealthy.disk_unhealthy,
            "{unhealthy:?}"
        );
        assert_eq!(
            unhealthy.commit,
            status(&sim, new_leader).commit,
            "the member follows in memory"
        );
        assert!(
            unhealthy.durable < unhealthy.commit
                && status(&sim, new_leader).matched[&member_id(at)] <= unhealthy.durable
        );
        sim.execute(&Operation::Full(member_id(at).try_into().unwrap(), false))
            .unwrap();
        sim.run_for(2 * SECOND).unwrap();
        let recovered = status(&sim, at);
        assert!(
            !recovered.disk_unhealthy && recovered.durable == recovered.last,
            "{recovered:?}"
        );
    }
}

fn member_id(at: usize) -> MemberId {
    at.try_into().unwrap()
}

#[test]
fn interrupted_snapshot_transfer_is_resumed() {
    let (mut sim, leader, follower) = settled(9);
    let target = u8::try_from(follower).unwrap();
    sim.execute(&Operation::Isolate(target, Direction::Both))
        .unwrap();
    for _ in 0..40 {
        commit_proposal(&mut sim);
    }
    sim.sent = Some(Vec::new());
    let mut toggles = 0;
    while status(&sim, follower).commit < status(&sim, leader).commit {
        let operation = if toggles % 2 == 0 {
            Operation::Heal
        } else {
            Operation::Isolate(target, Direction::Both)
        };
        toggles += 1;
        assert!(
            toggles < 200,
            "{}",
            sim.describe("the snapshot does not arrive")
        );
        sim.execute(&operation).unwrap();
        sim.run_for(Duration::from_millis(130)).unwrap();
    }
    let chunks = sim
        .sent
        .take()
        .unwrap()
        .into_iter()
        .filter_map(|e| match e.message {
            Message::SnapshotChunk(chunk) if !chunk.data.is_empty() => {
                Some((chunk.snapshot, chunk.offset))
            }
            _ => None,
        });
    let chunks: Vec<_> = chunks.collect();
    assert!(
        toggles > 2 && chunks.iter().any(|(_, offset)| *offset > 0),
        "{toggles} {chunks:?}"
    );
    let resumed = chunks
        .windows(2)
        .all(|w| w[0].0 != w[1].0 || w[1].1 >= w[0].1);
    assert!(resumed, "{chunks:?}");
}

type Alteration = fn(&mut Envelope);

/// Heartbeats from the leader altered so that they are not meant for this member must be dropped.
#[test]
fn misaddressed_messages_are_dropped() {
    let alterations: [(&str, Alteration); 7] = [
        ("cluster", |e| e.cluster += 1),
        ("group", |e| e.group += 1),
        ("lineage", |e| e.lineage += 1),
        ("sender", |e| e.from.id += 1),
        ("recipient", |e| e.to += 1),
        ("incarnation of the recipient", |e| e.incarnation = Some(77)),
        ("nothing", |_| {}),
    ];
    let (mut sim, _, follower) = settled(10);
    sim.sent = Some(Vec::new());
    sim.run_for(SECOND).unwrap();
    let sent = sim.sent.take().unwrap();
    let heartbeat = sent
        .into_iter()
        .rfind(|e| e.to == member_id(follower))
        .unwrap();
    for (case, alter) in alterations {
        let bytes = postcard::to_allocvec(&heartbeat).unwrap();
        let mut message: Envelope = postcard::from_bytes(&bytes).unwrap();
        assert_eq!(message, heartbeat);
        alter(&mut message);
        let before = status(&sim, follower).dropped;
        let from = heartbeat.from.id;
        sim.handle(follower, Event::Receive { from, message })
            .unwrap();
        let dropped = status(&sim, follower).dropped - before;
        assert_eq!(dropped, u64::from(case != "nothing"), "{case}");
    }
}

#[test]
fn a_member_without_a_leader_tells_who_votes_and_who_voted_for_it() {
    let (mut sim, leader, follower) = settled(1);
    sim.isolate(follower, Direction::Both);
    sim.run_for(10 * SECOND).unwrap();
    let view = |sim: &Simulation, at: usize| sim.nodes[at].core.as_ref().unwrap().group_view();
    let cut_off = view(&sim, follower);
    assert_eq!(cut_off.voters, BTreeSet::from([0, 1, 2]));
    assert_eq!(cut_off.votes, BTreeSet::from([sim.nodes[follower].peer.id]));
    let follower_id = sim.nodes[follower].peer.id;
    for other in (0..3).filter(|at| *at != follower) {
        let silent = view(&sim, other).silent;
        assert_eq!(
            silent,
            BTreeSet::from([follower_id]),
            "at {other}, leader {leader}"
        );
    }
}
