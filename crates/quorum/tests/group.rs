//! What a group does in named faults, in virtual time.

mod schedule;

use std::time::Duration;

use cornelhitch_quorum::message::{Envelope, Message};
use cornelhitch_quorum::prelude::*;

use schedule::failover::{self, Loss, calm, decide};
use schedule::world::World;
use schedule::{Act, LEADER, Way};

/// From the loss of the leader to the next decision.
const TARGET: Duration = Duration::from_secs(3);

const GROUPS: u64 = 300;

const SECOND: Duration = Duration::from_secs(1);

fn status(world: &World, at: usize) -> Status {
    world.nodes[at].core.as_ref().unwrap().status()
}

/// A settled group, its leader and one of its followers.
fn settled(seed: u64) -> (World, usize, usize) {
    let mut world = calm(seed);
    decide(&mut world);
    world.run_for(SECOND).unwrap();
    let leader = world.leader().unwrap();
    (world, leader, (leader + 1) % 3)
}

/// Asks for a change and runs until it is over.
fn change(world: &mut World, change: Change) -> Result<(), Reason> {
    let id = world.change(change).unwrap();
    for _ in 0..60 {
        if let Some(outcome) = world.ledger.outcomes.get(&id) {
            return *outcome;
        }
        world.run_for(SECOND).unwrap();
    }
    panic!("the change has no outcome");
}

/// An empty disk for a member that is in the group.
fn wipe(world: &mut World, at: usize) -> Peer {
    world.act(&Act::Wipe(u8::try_from(at).unwrap())).unwrap();
    world.nodes[at].peer
}

#[test]
fn the_next_decision_comes_within_the_target_after_losing_the_leader() {
    for seed in 0..GROUPS {
        for loss in [Loss::Crash, Loss::Isolation] {
            let time = failover::measure(seed, loss);
            assert!(time < TARGET, "seed {seed}, {loss:?}: {time:?}");
        }
    }
}

/// Whom a partition cuts off, which way, and whether the group keeps its leader and term.
const PARTITIONS: [(bool, Way, bool); 6] = [
    (false, Way::Both, true),
    (false, Way::In, true),
    (false, Way::Out, true),
    (true, Way::Both, false),
    (true, Way::In, false),
    (true, Way::Out, false),
];

#[test]
fn a_member_that_was_cut_off_for_long_does_not_disturb() {
    for (leader_cut, way, stays) in PARTITIONS {
        let (mut world, leader, follower) = settled(3);
        let term = status(&world, leader).term;
        let cut = if leader_cut { leader } else { follower };
        world
            .act(&Act::Isolate(u8::try_from(cut).unwrap(), way))
            .unwrap();
        world.run_for(60 * SECOND).unwrap();
        let during = world.leader().unwrap();
        let decided = status(&world, during).term;
        world.act(&Act::Heal).unwrap();
        world.run_for(10 * SECOND).unwrap();
        let after = world.leader().unwrap();
        let what = format!("leader {leader_cut}, {way:?}");
        assert_eq!(
            (after, status(&world, after).term),
            (during, decided),
            "{what}"
        );
        assert_eq!(decided == term, stays, "{what}");
        decide(&mut world);
    }
}

#[test]
fn a_wiped_member_does_not_count_until_it_replaces_itself() {
    let (mut world, leader, wiped) = settled(4);
    world.admits = false;
    let peer = wipe(&mut world, wiped);
    world.sent = Some(Vec::new());
    world.run_for(5 * SECOND).unwrap();
    let old = world.members(leader).peer(peer.id).unwrap();
    assert_ne!(old.incarnation, peer.incarnation);
    let answers = |e: &Envelope| {
        matches!(
            e.message,
            Message::AppendResponse(_) | Message::VoteResponse(_)
        )
    };
    let sent = world.sent.take().unwrap();
    assert!(
        !sent.iter().any(|e| e.from == peer && answers(e)),
        "it answers under its old name"
    );
    let replace = Change::Replace {
        old: peer.id,
        new: peer,
    };
    let outcome = change(&mut world, replace);
    assert_eq!(outcome, Ok(()));
    let members = world.members(leader);
    assert!(
        members.admits(peer) && members.is_voter(peer.id),
        "{members:?}"
    );
    assert_eq!(
        change(&mut world, replace),
        Ok(()),
        "the same again is done already"
    );
}

#[test]
fn a_host_may_be_lost_right_after_a_repair() {
    for lost in 0..3 {
        let (mut world, _, wiped) = settled(5);
        let peer = wipe(&mut world, wiped);
        world.run_for(SECOND).unwrap();
        let id = world
            .change(Change::Replace {
                old: peer.id,
                new: peer,
            })
            .unwrap();
        while !world.ledger.outcomes.contains_key(&id) {
            world.run_for(Duration::from_millis(1)).unwrap();
        }
        assert_eq!(world.ledger.outcomes[&id], Ok(()));
        world.act(&Act::Crash(lost, 0)).unwrap();
        decide(&mut world);
    }
}

/// Changes that do not fit a group of three voters, and why.
#[test]
fn changes_that_do_not_fit_are_rejected() {
    let other = |id| Peer {
        id,
        incarnation: 99,
    };
    let cases = [
        (Change::Add(other(0)), Err(Reason::Invalid)),
        (Change::Promote(7), Err(Reason::Invalid)),
        (Change::Remove(7), Ok(())),
        (
            Change::Replace {
                old: 0,
                new: other(1),
            },
            Err(Reason::Invalid),
        ),
        (Change::Add(other(8)), Ok(())),
        (Change::Promote(8), Err(Reason::Stalled)),
        (Change::Remove(8), Ok(())),
    ];
    let (mut world, _, _) = settled(6);
    for (asked, outcome) in cases {
        assert_eq!(change(&mut world, asked), outcome, "{asked:?}");
    }
    let first = world
        .change(Change::Replace {
            old: 0,
            new: other(8),
        })
        .unwrap();
    let second = world.change(Change::Remove(1)).unwrap();
    assert_eq!(world.ledger.outcomes.get(&second), Some(&Err(Reason::Busy)));
    assert_eq!(world.ledger.outcomes.get(&first), None);
}

/// With one member down, removing another that lives would leave no quorum.
#[test]
fn a_removal_that_leaves_no_live_quorum_waits() {
    let (mut world, leader, follower) = settled(7);
    world
        .act(&Act::Crash(u8::try_from(follower).unwrap(), 0))
        .unwrap();
    world.run_for(2 * SECOND).unwrap();
    let third = (leader + 2) % 3;
    let remove = Change::Remove(u64::try_from(third).unwrap());
    assert_eq!(change(&mut world, remove), Err(Reason::Stalled));
    decide(&mut world);
}

/// Which disk fails: the leader's, which then no longer leads, or a follower's.
#[test]
fn a_member_with_a_full_disk_follows_without_acknowledging() {
    for full in [LEADER, 0, 1, 2] {
        let (mut world, leader, _) = settled(8);
        let at = if full == LEADER {
            leader
        } else {
            usize::from(full)
        };
        world.act(&Act::Full(full, true)).unwrap();
        decide(&mut world);
        world.run_for(5 * SECOND).unwrap();
        for _ in 0..5 {
            decide(&mut world);
        }
        world.run_for(SECOND).unwrap();
        let (sick, leads) = (status(&world, at), world.leader().unwrap());
        assert!(leads != at && sick.disk_unhealthy, "{sick:?}");
        assert_eq!(
            sick.commit,
            status(&world, leads).commit,
            "it follows in memory"
        );
        assert!(
            sick.durable < sick.commit && status(&world, leads).matched[&at_id(at)] <= sick.durable
        );
        world
            .act(&Act::Full(at_id(at).try_into().unwrap(), false))
            .unwrap();
        world.run_for(2 * SECOND).unwrap();
        let well = status(&world, at);
        assert!(
            !well.disk_unhealthy && well.durable == well.last,
            "{well:?}"
        );
    }
}

fn at_id(at: usize) -> MemberId {
    at.try_into().unwrap()
}

#[test]
fn a_snapshot_that_was_interrupted_is_resumed() {
    let (mut world, leader, follower) = settled(9);
    let target = u8::try_from(follower).unwrap();
    world.act(&Act::Isolate(target, Way::Both)).unwrap();
    for _ in 0..40 {
        decide(&mut world);
    }
    world.sent = Some(Vec::new());
    let mut cuts = 0;
    while status(&world, follower).commit < status(&world, leader).commit {
        let way = if cuts % 2 == 0 {
            Act::Heal
        } else {
            Act::Isolate(target, Way::Both)
        };
        cuts += 1;
        assert!(
            cuts < 200,
            "{}",
            world.describe("the snapshot does not arrive")
        );
        world.act(&way).unwrap();
        world.run_for(Duration::from_millis(130)).unwrap();
    }
    let chunks = world
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
        cuts > 2 && chunks.iter().any(|(_, offset)| *offset > 0),
        "{cuts} {chunks:?}"
    );
    let resumed = chunks
        .windows(2)
        .all(|w| w[0].0 != w[1].0 || w[1].1 >= w[0].1);
    assert!(resumed, "{chunks:?}");
}

type Harm = fn(&mut Envelope);

/// Changes to a heartbeat of the leader that make it another's.
#[test]
fn messages_for_others_are_dropped() {
    let harms: [(&str, Harm); 7] = [
        ("cluster", |e| e.cluster += 1),
        ("group", |e| e.group += 1),
        ("lineage", |e| e.lineage += 1),
        ("sender", |e| e.from.id += 1),
        ("addressee", |e| e.to += 1),
        ("life of the addressee's disk", |e| e.incarnation = Some(77)),
        ("nothing", |_| {}),
    ];
    let (mut world, _, follower) = settled(10);
    world.sent = Some(Vec::new());
    world.run_for(SECOND).unwrap();
    let sent = world.sent.take().unwrap();
    let heartbeat = sent.into_iter().rfind(|e| e.to == at_id(follower)).unwrap();
    for (what, harm) in harms {
        let bytes = postcard::to_allocvec(&heartbeat).unwrap();
        let mut message: Envelope = postcard::from_bytes(&bytes).unwrap();
        assert_eq!(message, heartbeat);
        harm(&mut message);
        let before = status(&world, follower).dropped;
        let from = heartbeat.from.id;
        world
            .handle(follower, Event::Receive { from, message })
            .unwrap();
        let dropped = status(&world, follower).dropped - before;
        assert_eq!(dropped, u64::from(what != "nothing"), "{what}");
    }
}
