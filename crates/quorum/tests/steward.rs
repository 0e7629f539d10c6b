//! Which change of the members a leader makes next.

use std::collections::BTreeMap;
use std::time::Duration;

use cornelhitch_quorum::event::Change;
use cornelhitch_quorum::id::{Incarnation, MemberId, Peer};
use cornelhitch_quorum::member::{MemberKind, Membership};
use cornelhitch_quorum::status::{Role, Status};
use cornelhitch_quorum::steward::{Joiners, Steward};

/// A member in the life of its disk that has its number.
fn peer(id: MemberId) -> Peer {
    Peer {
        id,
        incarnation: Incarnation::from(id),
    }
}

/// The status of host 1 as the leader of some voters and learners, some of them silent for seconds.
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
        silent: silent.collect(),
        disk_unhealthy: false,
        dropped: 0,
    }
}

fn joiners(peers: &[Peer]) -> Joiners {
    peers
        .iter()
        .map(|peer| (peer.id, peer.incarnation))
        .collect()
}

/// One situation and the change that is due, of a steward that wants three voters.
struct Row {
    name: &'static str,
    voters: &'static [MemberId],
    learners: &'static [MemberId],
    silent: &'static [(MemberId, u64)],
    joins: Vec<Peer>,
    due: Option<Change>,
}

#[test]
#[rustfmt::skip]
fn the_next_change() {
    let wiped = Peer { id: 2, incarnation: 99 };
    let rows = [
        Row { name: "all is well", voters: &[1, 2, 3], learners: &[], silent: &[], joins: vec![], due: None },
        Row { name: "a host asks", voters: &[1, 2, 3], learners: &[], silent: &[], joins: vec![peer(4)], due: Some(Change::Add(peer(4))) },
        Row { name: "a member asks again", voters: &[1, 2, 3], learners: &[4], silent: &[], joins: vec![peer(4)], due: None },
        Row { name: "a spare waits", voters: &[1, 2, 3], learners: &[4], silent: &[], joins: vec![], due: None },
        Row { name: "a voter is silent", voters: &[1, 2, 3], learners: &[4], silent: &[(2, 5)], joins: vec![], due: Some(Change::Replace { old: 2, new: peer(4) }) },
        Row { name: "a voter is silent for a moment", voters: &[1, 2, 3], learners: &[4], silent: &[(2, 2)], joins: vec![], due: None },
        Row { name: "a voter is silent and none can follow", voters: &[1, 2, 3], learners: &[], silent: &[(2, 5)], joins: vec![], due: None },
        Row { name: "a voter and the spare are silent", voters: &[1, 2, 3], learners: &[4], silent: &[(2, 5), (4, 5)], joins: vec![], due: None },
        Row { name: "the group is small", voters: &[1, 2], learners: &[4], silent: &[], joins: vec![], due: Some(Change::Promote(4)) },
        Row { name: "the group is small, the spare silent", voters: &[1, 2], learners: &[4], silent: &[(4, 5)], joins: vec![], due: None },
        Row { name: "a spare is gone", voters: &[1, 2, 3], learners: &[4], silent: &[(4, 11)], joins: vec![], due: Some(Change::Remove(4)) },
        Row { name: "a voter lost its disk", voters: &[1, 2, 3], learners: &[], silent: &[], joins: vec![wiped], due: Some(Change::Replace { old: 2, new: wiped }) },
        Row { name: "the leader is never silent to itself", voters: &[1, 2, 3], learners: &[4], silent: &[(1, 60)], joins: vec![], due: None },
    ];
    for row in rows {
        let status = status(row.voters, row.learners, row.silent);
        let due = Steward::default().next(&status, &joiners(&row.joins));
        assert_eq!(due, row.due, "{}", row.name);
    }
}

#[test]
fn only_a_leader_changes_the_members() {
    for role in [Role::Follower, Role::PreCandidate, Role::Candidate] {
        let status = Status {
            role,
            ..status(&[1, 2], &[4], &[])
        };
        assert_eq!(
            Steward::default().next(&status, &joiners(&[peer(5)])),
            None,
            "{role}"
        );
    }
}
