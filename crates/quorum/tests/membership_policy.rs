//! Tests of automatic membership changes.

use std::time::Duration;

use cornelhitch_quorum::event::MembershipChange;
use cornelhitch_quorum::id::{Incarnation, MemberId, Peer};
use cornelhitch_quorum::member::{MemberKind, Membership};
use cornelhitch_quorum::membership_policy::{
    FIRST_CONFIGURATION_WAIT, JoinRequests, MembershipPolicy, next_promotion,
};
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
    let matched = members.keys().map(|id| (*id, 9)).collect::<Vec<_>>();
    let matched = matched.into_iter();
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
        log_bytes: 0,
        members,
        matched: matched.collect(),
        unresponsive_for: silent.collect(),
        disk_unhealthy: false,
        dropped: 0,
    }
}

fn join_requests(peers: &[Peer]) -> JoinRequests {
    let mut requests = JoinRequests::default();
    for peer in peers {
        requests.record(*peer, NOW);
    }
    requests
}

/// When all requests to join of the tests arrive.
const NOW: Duration = Duration::from_secs(100);

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
        Case { name: "a silent voter and a learner", voters: &[1, 2, 3], learners: &[4], silent: &[(2, 5)], join_requests: vec![], expected: Some(MembershipChange::Promote(4)) },
        Case { name: "a briefly silent voter", voters: &[1, 2, 3], learners: &[4], silent: &[(2, 2)], join_requests: vec![], expected: None },
        Case { name: "a silent voter without a learner", voters: &[1, 2, 3], learners: &[], silent: &[(2, 5)], join_requests: vec![], expected: None },
        Case { name: "voter and learner silent", voters: &[1, 2, 3], learners: &[4], silent: &[(2, 5), (4, 5)], join_requests: vec![], expected: None },
        Case { name: "too few voters", voters: &[1, 2], learners: &[4], silent: &[], join_requests: vec![], expected: Some(MembershipChange::Promote(4)) },
        Case { name: "too few voters, learner silent", voters: &[1, 2], learners: &[4], silent: &[(4, 5)], join_requests: vec![], expected: None },
        Case { name: "a learner silent for long", voters: &[1, 2, 3], learners: &[4], silent: &[(4, 61)], join_requests: vec![], expected: Some(MembershipChange::Remove(4)) },
        Case { name: "a learner silent for less than a minute", voters: &[1, 2, 3], learners: &[4], silent: &[(4, 59)], join_requests: vec![], expected: None },
        Case { name: "an old request to join of a voter that responds", voters: &[1, 2, 3], learners: &[], silent: &[(2, 1)], join_requests: vec![wiped], expected: None },
        Case { name: "an old request to join of a learner that responds", voters: &[1, 3, 4], learners: &[2], silent: &[(2, 1)], join_requests: vec![wiped], expected: None },
        Case { name: "a voter with a wiped disk", voters: &[1, 2, 3], learners: &[], silent: &[(2, 2)], join_requests: vec![wiped], expected: Some(MembershipChange::Readmit(wiped)) },
        Case { name: "a learner with a wiped disk", voters: &[1, 3, 4], learners: &[2], silent: &[(2, 2)], join_requests: vec![wiped], expected: Some(MembershipChange::Readmit(wiped)) },
        Case { name: "a wiped learner does not take the place of a silent voter", voters: &[1, 3, 4], learners: &[2], silent: &[(2, 2), (3, 5)], join_requests: vec![wiped], expected: Some(MembershipChange::Readmit(wiped)) },
        Case { name: "a voter too many, one silent", voters: &[1, 2, 3, 4], learners: &[], silent: &[(3, 5)], join_requests: vec![], expected: Some(MembershipChange::Demote(3)) },
        Case { name: "a voter too many, one wiped and one silent", voters: &[1, 2, 3, 4], learners: &[], silent: &[(2, 2), (3, 5)], join_requests: vec![wiped], expected: Some(MembershipChange::Readmit(wiped)) },
        Case { name: "a voter too many, one briefly silent", voters: &[1, 2, 3, 4], learners: &[], silent: &[(3, 1)], join_requests: vec![], expected: Some(MembershipChange::Demote(3)) },
        Case { name: "a voter too many, all responsive", voters: &[1, 2, 3, 4], learners: &[], silent: &[], join_requests: vec![], expected: Some(MembershipChange::Demote(4)) },
        Case { name: "the leader does not count as silent", voters: &[1, 2, 3], learners: &[4], silent: &[(1, 60)], join_requests: vec![], expected: None },
    ];
    for case in cases {
        let status = status(case.voters, case.learners, case.silent);
        let expected = MembershipPolicy::default().next_change(&status, &join_requests(&case.join_requests), NOW);
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
            MembershipPolicy::default().next_change(&status, &join_requests(&[peer(5)]), NOW),
            None,
            "{role}"
        );
    }
}

/// Guards against a request to join that is acted on long after the host has gone.
#[test]
fn a_request_to_join_is_forgotten_unless_it_is_repeated() {
    let policy = MembershipPolicy::default();
    let status = status(&[1, 2, 3], &[], &[]);
    let mut requests = join_requests(&[peer(4)]);
    let admission = Some(MembershipChange::Add(peer(4)));
    for (later_ms, expected) in [(0, admission), (2_900, admission), (3_000, None)] {
        let now = NOW + Duration::from_millis(later_ms);
        let change = policy.next_change(&status, &requests, now);
        assert_eq!(change, expected, "{later_ms} ms later");
    }
    let now = NOW + Duration::from_secs(3);
    requests.record(peer(4), now);
    assert_eq!(
        policy.next_change(&status, &requests, now),
        admission,
        "repeated"
    );
}

/// Guards against a learner that is promoted while it lacks most of the log, or never.
#[test]
fn a_learner_is_promoted_once_it_lacks_little_of_the_log() {
    let policy = MembershipPolicy::default();
    let promotion = Some(MembershipChange::Promote(4));
    for (matched, expected) in [(0, None), (9, None), (935, None), (936, promotion)] {
        let mut status = status(&[1, 2], &[4], &[]);
        status.commit = 1_000;
        status.matched.insert(4, matched);
        let change = policy.next_change(&status, &JoinRequests::default(), NOW);
        assert_eq!(change, expected, "synced up to {matched}");
    }
}

/// Guards against a named voter that stays a learner, because the leader that added it leads no
/// more.
#[test]
#[rustfmt::skip]
fn named_learners_are_promoted_whichever_leader_added_them() {
    let named = [1, 2, 3].into();
    let cases = [
        Case { name: "a named learner", voters: &[1, 2], learners: &[3], silent: &[], join_requests: vec![], expected: Some(MembershipChange::Promote(3)) },
        Case { name: "a silent named learner", voters: &[1, 2], learners: &[3], silent: &[(3, 5)], join_requests: vec![], expected: None },
        Case { name: "another learner", voters: &[1, 2], learners: &[4], silent: &[], join_requests: vec![], expected: None },
        Case { name: "no learner", voters: &[1, 2, 3], learners: &[], silent: &[], join_requests: vec![], expected: None },
    ];
    for case in cases {
        let status = status(case.voters, case.learners, case.silent);
        assert_eq!(next_promotion(&status, &named), case.expected, "{}", case.name);
        let follower = Status { role: Role::Follower, ..status };
        assert_eq!(next_promotion(&follower, &named), None, "{}", case.name);
    }
}

/// Guards against a leader that removes itself in place of another of as many voters.
#[test]
fn a_leader_does_not_remove_itself_as_one_voter_too_many() {
    let status = Status {
        peer: peer(4),
        leader: Some(4),
        ..status(&[1, 2, 3, 4], &[], &[])
    };
    let change = MembershipPolicy::default().next_change(&status, &JoinRequests::default(), NOW);
    assert_eq!(change, Some(MembershipChange::Demote(3)));
}

/// What a host of the model does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter)]
enum Health {
    /// It runs with its disk, and has caught up.
    Sound,
    /// It does not run.
    Dead,
    /// It runs with an empty disk and asks to join.
    Wiped,
}

/// A host of the model: whether it is a member, and of which kind, and what it does.
#[derive(Clone, Copy, Debug)]
struct Host {
    kind: Option<MemberKind>,
    health: Health,
}

/// The hosts of the model; the first is the leader, and a host's ID is its place plus 1.
#[derive(Clone, Debug)]
struct Model(Vec<Host>);

impl Model {
    fn ids(&self) -> impl Iterator<Item = (MemberId, &Host)> {
        (1..).zip(&self.0)
    }

    fn voters(&self) -> Vec<&Host> {
        let is_voter = |host: &&Host| host.kind == Some(MemberKind::Voter);
        self.0.iter().filter(is_voter).collect()
    }

    /// How many more voters may be lost before the group has no quorum; negative without one.
    fn slack(&self) -> isize {
        let voters = self.voters();
        let sound = voters.iter().filter(|host| host.health == Health::Sound);
        sound.count().cast_signed() - (voters.len() / 2 + 1).cast_signed()
    }

    /// What the policy would do.
    fn next_change(&self) -> Option<MembershipChange> {
        let of_kind = |kind| {
            let is_kind = move |(_, host): &(MemberId, &Host)| host.kind == Some(kind);
            self.ids()
                .filter(is_kind)
                .map(|(id, _)| id)
                .collect::<Vec<_>>()
        };
        let silent = self.ids().filter(|(_, host)| host.health != Health::Sound);
        let silent: Vec<_> = silent.map(|(id, _)| (id, 60)).collect();
        let (voters, learners) = (of_kind(MemberKind::Voter), of_kind(MemberKind::Learner));
        let asking = self.ids().filter_map(|(id, host)| match host {
            Host {
                health: Health::Wiped,
                ..
            } => Some(Peer {
                id,
                incarnation: 99,
            }),
            Host {
                health: Health::Sound,
                kind: None,
            } => Some(peer(id)),
            _ => None,
        });
        let asking: Vec<Peer> = asking.collect();
        let status = status(&voters, &learners, &silent);
        MembershipPolicy::default().next_change(&status, &join_requests(&asking), NOW)
    }

    fn apply(&mut self, change: MembershipChange) {
        let host = |id: MemberId| usize::try_from(id).unwrap() - 1;
        match change {
            MembershipChange::Add(new) | MembershipChange::Readmit(new) => {
                self.0[host(new.id)] = Host {
                    kind: Some(MemberKind::Learner),
                    health: Health::Sound,
                };
            }
            MembershipChange::Promote(id) => self.0[host(id)].kind = Some(MemberKind::Voter),
            MembershipChange::Demote(id) => self.0[host(id)].kind = Some(MemberKind::Learner),
            MembershipChange::Remove(id) => self.0[host(id)].kind = None,
            MembershipChange::Replace { .. } => panic!("a change of several steps"),
        }
    }
}

/// Returns every state of a group of a leader and `others` further hosts.
fn states(others: usize) -> Vec<Model> {
    use strum::IntoEnumIterator;
    let leader = Host {
        kind: Some(MemberKind::Voter),
        health: Health::Sound,
    };
    let kinds = [None, Some(MemberKind::Learner), Some(MemberKind::Voter)];
    let hosts = kinds
        .into_iter()
        .flat_map(|kind| Health::iter().map(move |health| Host { kind, health }));
    let hosts: Vec<Host> = hosts.collect();
    let mut states = vec![Model(vec![leader])];
    for _ in 0..others {
        let longer = states.iter().flat_map(|state| {
            hosts.iter().map(|host| {
                let mut longer = state.clone();
                longer.0.push(*host);
                longer
            })
        });
        states = longer.collect();
    }
    states
}

/// Guards against states from which the group does not return to its number of live voters, and
/// against steps after which it
/// bears fewer losses than before them and than it should.
#[test]
fn every_state_with_a_quorum_returns_to_the_target_number_of_live_voters() {
    const MAX_STEPS: usize = 40;
    const TOLERANCE: isize = 1;
    for start in states(4).into_iter().filter(|state| state.slack() >= 0) {
        let mut state = start.clone();
        for _ in 0..MAX_STEPS {
            let Some(change) = state.next_change() else {
                break;
            };
            let slack = state.slack();
            state.apply(change);
            assert!(
                state.slack() >= slack.min(TOLERANCE),
                "{change:?} on the way from {start:?}: {state:?}"
            );
        }
        assert_eq!(state.next_change(), None, "no end from {start:?}");
        let live = state
            .0
            .iter()
            .filter(|host| host.health != Health::Dead)
            .count();
        let voters = state.voters();
        let sound = voters
            .iter()
            .filter(|host| host.health == Health::Sound)
            .count();
        assert_eq!(sound, live.min(3), "from {start:?} to {state:?}");
        assert!(
            voters.len() == sound || live < 3,
            "from {start:?} to {state:?}"
        );
    }
}

/// Voters, learners, the version in force, the time since the election, and whether a first
/// configuration is refused by a group that should have three voters.
const FIRST_CONFIGURATIONS: [(u64, u64, u64, Duration, bool); 7] = [
    (1, 0, 0, Duration::ZERO, true),
    (2, 1, 0, Duration::ZERO, true),
    (3, 0, 0, Duration::ZERO, false),
    (5, 0, 0, Duration::ZERO, false),
    (2, 0, 1, Duration::ZERO, false),
    (
        2,
        0,
        0,
        FIRST_CONFIGURATION_WAIT.saturating_sub(MILLISECOND),
        true,
    ),
    (2, 0, 0, FIRST_CONFIGURATION_WAIT, false),
];

const MILLISECOND: Duration = Duration::from_millis(1);

#[test]
fn a_first_configuration_is_refused_for_a_while_if_voters_are_missing() {
    let policy = MembershipPolicy::for_losses(1, Duration::from_millis(500));
    for (voters, learners, version, led_for, refused) in FIRST_CONFIGURATIONS {
        let voters: Vec<MemberId> = (1..=voters).collect();
        let learners: Vec<MemberId> = (10..10 + learners).collect();
        let members = status(&voters, &learners, &[]).members;
        let refuses = policy.refuses_first_configuration(&members, version, led_for);
        assert_eq!(
            refuses, refused,
            "{voters:?} {learners:?} {version} {led_for:?}"
        );
    }
    let alone = MembershipPolicy {
        first_voters: 1,
        ..policy
    };
    let members = status(&[1], &[], &[]).members;
    assert!(!alone.refuses_first_configuration(&members, 0, Duration::ZERO));
}
