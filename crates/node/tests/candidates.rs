//! Which host a session takes for the leader.

use std::time::Duration;

use cornelhitch_node::candidates::{Candidates, PAUSE};
use cornelhitch_settings::process::Peer;
use cornelhitch_types::id::HostId;
use tokio::time::Instant;

/// A control host.
fn peer(host: HostId) -> Peer {
    let address = format!("10.0.0.{host}:7000");
    Peer {
        host,
        address: address.parse().expect("an address"),
    }
}

/// The candidates of host 9, whose settings name the first three of five voters.
fn candidates() -> Candidates {
    Candidates::new(vec![peer(1), peer(2), peer(3)], 9)
}

/// The host that is taken for the leader.
fn leader(candidates: &Candidates) -> Option<HostId> {
    candidates.leader().map(|leader| leader.host)
}

/// Each seed names the leader right after the session turned to that seed, before it may turn
/// again; the leader is no seed itself, so going around the seeds alone would never reach it.
#[test]
fn a_leader_named_between_two_turns_is_turned_to() {
    let mut candidates = candidates();
    candidates.turn();
    assert_eq!(leader(&candidates), Some(2));
    let _ = candidates.name(peer(5), Instant::now());
    assert_eq!(leader(&candidates), Some(2), "a name alone is no turn");
    candidates.turn();
    assert_eq!(leader(&candidates), Some(5));
}

/// A named host that does not answer is not asked for ever.
#[test]
fn a_name_counts_for_one_turn() {
    let mut candidates = candidates();
    let _ = candidates.name(peer(5), Instant::now());
    candidates.turn();
    candidates.turn();
    assert_eq!(leader(&candidates), Some(1));
}

/// After an election each voter names the new leader; who asked the wrong one goes there at once.
#[test]
fn a_name_is_obeyed_at_once_but_not_in_circles() {
    let mut candidates = candidates();
    let start = Instant::now();
    candidates.turn();
    assert!(
        candidates.name(peer(5), start),
        "a turn just before does not matter"
    );
    candidates.turn();
    let soon = start + Duration::from_millis(30);
    assert!(
        !candidates.name(peer(2), soon),
        "two that name each other are followed with a pause"
    );
    let later = start + PAUSE + Duration::from_millis(1);
    assert!(candidates.name(peer(2), later));
}

/// The last name counts.
#[test]
fn a_later_name_replaces_an_earlier_one() {
    let mut candidates = candidates();
    let _ = candidates.name(peer(5), Instant::now());
    let _ = candidates.name(peer(4), Instant::now());
    candidates.turn();
    assert_eq!(leader(&candidates), Some(4));
}

/// Voters that a leader tells of are asked in turn, and are no names.
#[test]
fn told_voters_are_asked_in_turn() {
    let mut candidates = candidates();
    candidates.tell(3, vec![peer(1), peer(4)]);
    let asked: Vec<_> = (0..4)
        .map(|_| {
            candidates.turn();
            leader(&candidates)
        })
        .collect();
    assert_eq!(asked, [Some(2), Some(3), Some(4), Some(1)]);
}

/// New seeds replace the old ones, and the leader that is followed stays known.
#[test]
fn new_seeds_keep_the_leader() {
    let mut candidates = candidates();
    let _ = candidates.name(peer(5), Instant::now());
    candidates.turn();
    candidates.reseed(vec![peer(6), peer(7)]);
    assert_eq!(leader(&candidates), Some(5));
    candidates.turn();
    assert_eq!(leader(&candidates), Some(6));
}

/// After a loss of power all voters are asked before one leads. The first that learns of the leader
/// tells, so that nobody has to ask in turns until then.
#[test]
fn any_voter_may_name_the_leader_until_one_has_spoken() {
    let mut candidates = Candidates::new(vec![peer(1), peer(2), peer(3)], 9);
    assert!(candidates.heeds(1, false), "it is the one that was asked");
    assert!(!candidates.heeds(2, false), "it knows no more");
    assert!(candidates.heeds(2, true));
    assert!(!candidates.hear(2), "it is not taken for the leader");
    assert!(candidates.name(peer(3), Instant::now()));
    candidates.turn();
    assert_eq!(candidates.leader(), Some(&peer(3)));
    assert!(candidates.hear(3));
    assert!(!candidates.heeds(2, true), "an old word of another voter");
    assert!(candidates.heeds(3, true), "it gives up its lead");
}
