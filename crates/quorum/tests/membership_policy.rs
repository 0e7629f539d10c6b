//! Tests of automatic membership changes.

use std::collections::BTreeMap;
use std::time::Duration;

use cornelhitch_quorum::event::MembershipChange;
use cornelhitch_quorum::id::{Incarnation, MemberId, Peer};
use cornelhitch_quorum::member::{MemberKind, Membership};
use cornelhitch_quorum::membership_policy::{JoinRequests, MembershipPolicy};
use cornelhitch_quorum::status::{Role, Status};

/// A member whose incarnation equals its ID.
fn peer(id: MemberId) -> Peer {
    Peer {
        id,
        incarnation: Incarnation::from(id),
    }
}

/// The status of host 1 as leader of the given voters and learners, with the seconds that some have
/// not responded.
fn status(voters: &[MemberId], learners: &[MemberId], silent: &[(MemberId, u64)]) -> Status {
    let voters: Vec<Peer> = voters.iter().map(|id| peer(*id)).collect();
    let members = Membership::of(&voters);
    let members = learners.iter().fold(members, |members, id| {
        members.with(peer(*id), MemberKind::Learner)
    });
    let silent = silent.iter().map(|(id, s)| (*id, Duration::from_secs(*s)));
    Status {
        cluster: 1,
        group: 1,
        peer: peer(1),
        lineage: 1,
        role: Role::Leader,
        term: 3,
        leader: Some(1),
        commit: 9,
        applied: 9,
        last: 9,
        durable: 9,
        snapshot: 0,
        members,
        matched: BTreeMap::new(),
        unresponsive_for: silent.collect(),
        disk_unhealthy: false,
        dropped: 0,
    }
}

fn join_requests(peers: &[Peer]) -> JoinRequests {
    peers
        .iter()
        .map(|peer| (peer.id, peer.incarnation))
        .collect()
}

/// A group state, and the change expected from a policy with a target of three voters.
struct Case {
    name: &'static str,
    voters: &'static [MemberId],
    learners: &'static [MemberId],
    silent: &'static [(MemberId, u64)],
    join_requests: Vec<Peer>,
    expected: Option<MembershipChange>,
}

#[test]
#[rustfmt::skip]
fn next_change_for_each_group_state() {
    let wiped = Peer { id: 2, incarnation: 99 };
    let cases = [
        Case { name: "healthy group", voters: &[1, 2, 3], learners: &[], silent: &[], join_requests: vec![], expected: None },
        Case { name: "a new host asks to join", voters: &[1, 2, 3], learners: &[], silent: &[], join_requests: vec![peer(4)], expected: Some(MembershipChange::Add(peer(4))) },
        Case { name: "a learner asks again to join", voters: &[1, 2, 3], learners: &[4], silent: &[], join_requests: vec![peer(4)], expected: None },
        Case { name: "a spare learner", voters: &[1, 2, 3], learners: &[4], silent: &[], join_requests: vec![], expected: None },
        Case { name: "a silent voter and a learner", voters: &[1, 2, 3], learners: &[4], silent: &[(2, 5)], join_requests: vec![], expected: Some(MembershipChange::Replace { old: 2, new: peer(4) }) },
        Case { name: "a briefly silent voter", voters: &[1, 2, 3], learners: &[4], silent: &[(2, 2)], join_requests: vec![], expected: None },
        Case { name: "a silent voter without a learner", voters: &[1, 2, 3], learners: &[], silent: &[(2, 5)], join_requests: vec![], expected: None },
        Case { name: "voter and learner silent", voters: &[1, 2, 3], learners: &[4], silent: &[(2, 5), (4, 5)], join_requests: vec![], expected: None },
        Case { name: "too few voters", voters: &[1, 2], learners: &[4], silent: &[], join_requests: vec![], expected: Some(MembershipChange::Promote(4)) },
        Case { name: "too few voters, learner silent", voters: &[1, 2], learners: &[4], silent: &[(4, 5)], join_requests: vec![], expected: None },
        Case { name: "a learner silent for long", voters: &[1, 2, 3], learners: &[4], silent: &[(4, 11)], join_requests: vec![], expected: Some(MembershipChange::Remove(4)) },
        Case { name: "a voter with a wiped disk", voters: &[1, 2, 3], learners: &[], silent: &[], join_requests: vec![wiped], expected: Some(MembershipChange::Replace { old: 2, new: wiped }) },
        Case { name: "the leader does not count as silent", voters: &[1, 2, 3], learners: &[4], silent: &[(1, 60)], join_requests: vec![], expected: None },
    ];
    for case in cases {
        let status = status(case.voters, case.learners, case.silent);
        let expected = MembershipPolicy::default().next_change(&status, &join_requests(&case.join_requests));
        assert_eq!(expected, case.expected, "{}", case.name);
    }
}

#[test]
fn only_the_leader_changes_membership() {
    for role in [Role::Follower, Role::PreCandidate, Role::Candidate] {
        let status = Status {
            role,
            ..status(&[1, 2], &[4], &[])
        };
        assert_eq!(
            MembershipPolicy::default().next_change(&status, &join_requests(&[peer(5)])),
            None,
            "{role}"
        );
    }
}
