//! Tests that a group that starts for the first time keeps what it acknowledges, and that it is
//! founded when a seed is lost meanwhile, with the membership policy of the product.

mod schedule;

use std::time::Duration;

use cornelhitch_quorum::log::{Entry, Payload};
use cornelhitch_quorum::membership_policy::MembershipPolicy;
use cornelhitch_quorum::message::{AppendEntries, Envelope, Message};
use cornelhitch_quorum::prelude::*;
use rayon::prelude::*;

use schedule::Schedule;
use schedule::simulation::{SEEDED_ELECTION_TIMEOUT, Seeded, Simulation};

const SECOND: Duration = Duration::from_secs(1);
const MOMENT: Duration = Duration::from_millis(50);
const STEP: Duration = Duration::from_millis(10);

/// Maximum message delay in milliseconds.
const DELAY_MS: u16 = 40;

/// Time within which the first proposal of a new group is committed.
const FIRST_COMMIT_TIMEOUT: Duration = Duration::from_secs(8);

/// Time from the loss of a host or a disk to the check that the group serves.
const REPAIR_TIME: Duration = Duration::from_secs(10);

/// The hosts that start for the first time, and how many losses they bear; three are seeds.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    hosts: u8,
    losses: usize,
}

const FLEETS: [Fleet; 3] = [
    Fleet {
        hosts: 3,
        losses: 1,
    },
    Fleet {
        hosts: 6,
        losses: 1,
    },
    Fleet {
        hosts: 6,
        losses: 2,
    },
];

/// Starts a fleet with empty disks, and a further host that is down.
fn first_start(fleet: Fleet, seed: u64) -> Simulation {
    let schedule = Schedule {
        seed,
        voters: 0,
        joiners: fleet.hosts + 1,
        loss: 0,
        duplicated: 0,
        delay: DELAY_MS,
        steps: Vec::new(),
        fault: None,
    };
    let policy = MembershipPolicy::for_losses(fleet.losses, SEEDED_ELECTION_TIMEOUT);
    let seeds = vec![0, 1, 2];
    let mut sim = Simulation::seeded(schedule, Seeded { policy, seeds });
    sim.lose(fleet.hosts.into());
    sim
}

/// A proposal that was acknowledged, and the member that did.
#[derive(Clone, Copy, Debug)]
struct Acknowledged {
    id: RequestId,
    by: usize,
}

/// Proposes to the leader until a proposal is acknowledged; `None` after the time-out.
fn propose_until_acknowledged(sim: &mut Simulation, within: Duration) -> Option<Acknowledged> {
    let end = sim.now + within;
    let mut proposed = Vec::new();
    while sim.now < end {
        if let Some(by) = sim.leader_that_serves() {
            let id = sim.propose(by).unwrap();
            proposed.push(Acknowledged { id, by });
        }
        sim.run_for(STEP).unwrap();
        let acknowledged = proposed
            .iter()
            .find(|one| sim.is_acknowledged(one.id, one.by));
        if let Some(acknowledged) = acknowledged {
            return Some(*acknowledged);
        }
    }
    None
}

#[test]
fn the_first_acknowledged_entry_survives_the_disk_of_the_host_that_acknowledged_it() {
    const MOMENTS: u32 = 120;
    let cases = FLEETS
        .into_iter()
        .flat_map(|fleet| (0..MOMENTS).map(move |at| (fleet, at)));
    let cases: Vec<(Fleet, u32)> = cases.collect();
    let failures: Vec<String> = cases
        .into_par_iter()
        .filter_map(|(fleet, at)| {
            let mut sim = first_start(fleet, at.into());
            let first = propose_until_acknowledged(&mut sim, FIRST_COMMIT_TIMEOUT);
            let first = first.expect("the first proposal is committed");
            sim.run_for(MOMENT * at).unwrap();
            sim.lose_disk(first.by);
            sim.run_for(REPAIR_TIME).unwrap();
            let next = propose_until_acknowledged(&mut sim, SECOND);
            let kept = next.is_some_and(|next| sim.has_applied(next.by, first.id));
            (!kept).then(|| {
                format!(
                    "{fleet:?}, lost {:?} after the acknowledgement",
                    MOMENT * at
                )
            })
        })
        .collect();
    assert!(failures.is_empty(), "{}: {failures:#?}", failures.len());
}

/// Guards against an acknowledgement by a group that has fewer voters than the losses need.
#[test]
fn the_first_acknowledged_entry_survives_as_many_disks_as_the_group_should_bear() {
    const MOMENTS: u32 = 60;
    let failures: Vec<String> = (0..MOMENTS)
        .into_par_iter()
        .filter_map(|at| {
            let fleet = Fleet {
                hosts: 6,
                losses: 2,
            };
            let mut sim = first_start(fleet, at.into());
            let first = propose_until_acknowledged(&mut sim, FIRST_COMMIT_TIMEOUT);
            let first = first.expect("the first proposal is committed");
            sim.run_for(MOMENT * at).unwrap();
            let voters: Vec<MemberId> = sim.members(first.by).voters().collect();
            let mut voters = voters.iter().map(|id| usize::try_from(*id).unwrap());
            let other = voters.rfind(|voter| *voter != first.by);
            sim.lose_disk(first.by);
            sim.lose_disk(other.expect("another voter"));
            sim.run_for(REPAIR_TIME).unwrap();
            let next = propose_until_acknowledged(&mut sim, SECOND);
            let kept = next.is_some_and(|next| sim.has_applied(next.by, first.id));
            (!kept).then(|| format!("{:?} after the acknowledgement", MOMENT * at))
        })
        .collect();
    assert!(failures.is_empty(), "{}: {failures:?}", failures.len());
}

#[test]
fn a_group_is_founded_and_serves_when_a_seed_is_lost_at_the_first_start() {
    const MOMENTS: u32 = 40;
    let moments = (0..MOMENTS).flat_map(|at| (0..3_usize).map(move |lost| (at, lost)));
    let cases = FLEETS
        .into_iter()
        .flat_map(|fleet| moments.clone().map(move |(at, lost)| (fleet, at, lost)));
    let cases: Vec<(Fleet, u32, usize)> = cases.collect();
    let failures: Vec<String> = cases
        .into_par_iter()
        .filter_map(|(fleet, at, lost)| {
            let mut sim = first_start(fleet, at.into());
            sim.run_for(MOMENT * at).unwrap();
            sim.lose(lost);
            let meanwhile = propose_until_acknowledged(&mut sim, REPAIR_TIME);
            let seeds = (0..4).filter(|seed| *seed != lost as u64).collect();
            sim.start_with_seeds(fleet.hosts.into(), seeds);
            sim.run_for(REPAIR_TIME).unwrap();
            let afterwards = propose_until_acknowledged(&mut sim, SECOND);
            let serves = meanwhile.is_some() && afterwards.is_some();
            (!serves).then(|| {
                format!(
                    "{fleet:?}, seed {lost} lost at {:?}: {meanwhile:?} {afterwards:?}",
                    MOMENT * at
                )
            })
        })
        .collect();
    assert!(failures.is_empty(), "{}: {failures:#?}", failures.len());
}

/// Guards against a member that gives up the log of its group for that of another founder.
#[test]
fn a_member_of_a_group_keeps_its_first_entry_when_another_founder_appends() {
    let mut sim = first_start(FLEETS[0], 1);
    propose_until_acknowledged(&mut sim, FIRST_COMMIT_TIMEOUT).unwrap();
    sim.run_for(SECOND).unwrap();
    let leader = sim.leader().unwrap();
    let at = (leader + 1) % 3;
    sim.restart(at);
    let peer = sim.nodes[at].peer;
    let core = |sim: &Simulation| sim.nodes[at].core.as_ref().unwrap().entry(1).cloned();
    let before = core(&sim).unwrap();
    let founder = sim.nodes[leader].peer;
    let term = before.term + 5;
    let members = Membership::of(&[founder, peer]);
    let payload = Payload::Membership(members);
    let append = AppendEntries {
        prev_index: 0,
        prev_term: 0,
        commit: 1,
        stamp: Duration::ZERO,
        entries: vec![Entry {
            index: 1,
            term,
            payload,
        }],
    };
    let status = sim.nodes[at].core.as_ref().unwrap().status();
    for lineage in [0, status.lineage] {
        let message = Envelope {
            cluster: status.cluster,
            group: status.group,
            lineage,
            from: founder,
            to: peer.id,
            incarnation: Some(peer.incarnation),
            term,
            message: Message::AppendEntries(append.clone()),
        };
        let from = founder.id;
        sim.handle(at, Event::Receive { from, message }).unwrap();
        assert_eq!(core(&sim).as_ref(), Some(&before), "lineage {lineage}");
    }
}
