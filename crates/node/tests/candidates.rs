//! Tests of which host a session treats as the leader.

use std::time::Duration;

use cornelhitch_node::candidates::{Candidates, SWITCH_PAUSE};
use cornelhitch_settings::process::Peer;
use cornelhitch_types::id::HostId;
use tokio::time::Instant;

/// Returns a control host.
fn peer(host: HostId) -> Peer {
    let address = format!("10.0.0.{host}:7000");
    Peer {
        host,
        address: address.parse().expect("an address"),
    }
}

/// Returns the candidates of host 9, whose settings name the first three of five voters.
fn candidates() -> Candidates {
    Candidates::new(vec![peer(1), peer(2), peer(3)], 9)
}

/// Returns the presumed leader.
fn leader(candidates: &Candidates) -> Option<HostId> {
    candidates.leader().map(|leader| leader.host)
}

/// Each seed names the leader just after the session has switched to that seed, when it may not
/// switch again at once. The leader is no seed, so trying the seeds in turn would never reach it.
#[test]
fn a_leader_named_between_two_switches_is_chosen_at_the_next() {
    let mut candidates = candidates();
    candidates.advance();
    assert_eq!(leader(&candidates), Some(2));
    let _ = candidates.hint_leader(peer(5), Instant::now());
    assert_eq!(leader(&candidates), Some(2), "a hint alone is no switch");
    candidates.advance();
    assert_eq!(leader(&candidates), Some(5));
}

/// A named host that does not answer must not be tried forever.
#[test]
fn a_hint_counts_for_one_switch() {
    let mut candidates = candidates();
    let _ = candidates.hint_leader(peer(5), Instant::now());
    candidates.advance();
    candidates.advance();
    assert_eq!(leader(&candidates), Some(1));
}

/// After an election each voter names the new leader, and a host that queried another voter
/// switches to it at once.
#[test]
fn a_hint_is_followed_at_once_but_not_in_circles() {
    let mut candidates = candidates();
    let start = Instant::now();
    candidates.advance();
    assert!(
        candidates.hint_leader(peer(5), start),
        "an ordinary switch just before does not matter"
    );
    candidates.advance();
    let soon = start + Duration::from_millis(30);
    assert!(
        !candidates.hint_leader(peer(2), soon),
        "two voters that name each other are followed with a pause"
    );
    let later = start + SWITCH_PAUSE + Duration::from_millis(1);
    assert!(candidates.hint_leader(peer(2), later));
}

/// Of several hints, the last one is followed.
#[test]
fn a_later_hint_replaces_an_earlier_one() {
    let mut candidates = candidates();
    let _ = candidates.hint_leader(peer(5), Instant::now());
    let _ = candidates.hint_leader(peer(4), Instant::now());
    candidates.advance();
    assert_eq!(leader(&candidates), Some(4));
}

/// Voters that a leader reports become candidates, and are not taken as hints.
#[test]
fn reported_voters_are_tried_in_turn() {
    let mut candidates = candidates();
    candidates.update_voters(3, vec![peer(1), peer(4)]);
    let asked: Vec<_> = (0..4)
        .map(|_| {
            candidates.advance();
            leader(&candidates)
        })
        .collect();
    assert_eq!(asked, [Some(2), Some(3), Some(4), Some(1)]);
}

/// New seeds replace the old ones, and the presumed leader remains a candidate.
#[test]
fn new_seeds_keep_the_presumed_leader() {
    let mut candidates = candidates();
    let _ = candidates.hint_leader(peer(5), Instant::now());
    candidates.advance();
    candidates.replace_seeds(vec![peer(6), peer(7)]);
    assert_eq!(leader(&candidates), Some(5));
    candidates.advance();
    assert_eq!(leader(&candidates), Some(6));
}

/// After a power failure all voters are queried before one leads. The first voter that learns
/// of the leader reports it, so that hosts needn't try the voters in turn until then.
#[test]
fn any_voter_may_name_the_leader_until_the_presumed_one_has_answered() {
    let mut candidates = Candidates::new(vec![peer(1), peer(2), peer(3)], 9);
    assert!(
        candidates.accepts_hint(1, false),
        "it is the presumed leader"
    );
    assert!(!candidates.accepts_hint(2, false), "it names no leader");
    assert!(candidates.accepts_hint(2, true));
    assert!(
        !candidates.record_leader_message(2),
        "it is not the presumed leader"
    );
    assert!(candidates.hint_leader(peer(3), Instant::now()));
    candidates.advance();
    assert_eq!(candidates.leader(), Some(&peer(3)));
    assert!(candidates.record_leader_message(3));
    assert!(
        !candidates.accepts_hint(2, true),
        "a late answer of another voter"
    );
    assert!(candidates.accepts_hint(3, true), "the leader steps down");
}

/// Guards against a control host that finds no leader any more once all hosts of its settings are
/// gone, though its member of the log follows one.
#[test]
fn a_control_host_asks_itself_whatever_its_settings_name() {
    let mut candidates = candidates().with_own(peer(9));
    assert_eq!(leader(&candidates), Some(9));
    let mut tried = Vec::new();
    for _ in 0..4 {
        candidates.advance();
        tried.extend(leader(&candidates));
    }
    assert_eq!(tried, [1, 2, 3, 9]);
    candidates.replace_seeds(vec![peer(4), peer(9)]);
    candidates.advance();
    candidates.advance();
    assert_eq!(leader(&candidates), Some(9));
}
