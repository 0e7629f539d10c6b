//! Requests that end the targets that run them, over many entry hosts and the leader.

use cornelhitch_types::id::Time;
use cornelhitch_types::refusal::Reason;

use crate::HOSTS;
use crate::simulation::{End, Fleet};

/// Number of targets.
const TARGETS: usize = 12;
/// The fingerprint of a request that ends what runs it.
const CRASHING: u64 = 7;
/// The fingerprint of a request that its caller repeats, and that ends nothing.
const POLLED: u64 = 8;
/// Targets that one request may take down.
const LIMIT: usize = 3;

#[test]
fn a_request_that_crashed_three_targets_is_sent_no_more_by_any_host() {
    for restarts in [false, true] {
        let mut fleet = Fleet::new(HOSTS, TARGETS);
        fleet.crash_targets_with(CRASHING);
        for round in 0..4 {
            for host in 0..HOSTS {
                if restarts && round > 0 {
                    fleet.restart_host(host);
                }
                fleet.run(Time::from_secs(1));
                fleet.request(host, CRASHING);
            }
        }
        fleet.run(Time::from_secs(5));
        assert_eq!(fleet.crashes.len(), LIMIT, "restarts: {restarts}");
    }
}

#[test]
fn a_request_that_crashed_three_targets_is_sent_no_more_though_others_answer_it_with_errors() {
    for (errors, runs) in [(1, 4), (2, 4), (3, 4)] {
        let mut fleet = Fleet::new(HOSTS, TARGETS);
        fleet.crash_targets_with(CRASHING);
        fleet.answer_with_errors(errors, runs);
        for round in 0..400 {
            fleet.request(round % HOSTS, CRASHING);
            fleet.run(Time::from_millis(150));
        }
        assert_eq!(fleet.crashes.len(), LIMIT, "errors: {errors} of {runs}");
    }
}

/// Returns the repeats of a proper request that were refused for targets that ended.
fn quarantined(fleet: &Fleet) -> usize {
    let ends = fleet.ends.values();
    ends.filter(|(_, end)| *end == End::Refused(Reason::Quarantined))
        .count()
}

#[test]
fn targets_that_end_for_other_reasons_quarantine_no_request_that_is_answered_between() {
    let mut fleet = Fleet::new(HOSTS, TARGETS);
    for round in 0..60 {
        for host in 0..HOSTS {
            let id = fleet.request(host, POLLED);
            fleet.run(Time::from_millis(30));
            if host == round % HOSTS {
                fleet.kill_target_of(id);
            }
            fleet.run(Time::from_millis(200));
        }
    }
    assert_eq!(quarantined(&fleet), 0);
}

#[test]
fn breaks_that_go_on_at_living_targets_keep_no_strike_alive() {
    let mut fleet = Fleet::new(HOSTS, TARGETS);
    for host in 0..2 {
        let id = fleet.request(host, POLLED);
        for _ in 0..2 {
            fleet.run(Time::from_millis(30));
            fleet.break_connection_of(id);
        }
    }
    for round in 0..60 {
        let others = (0..HOSTS).map(|host| fleet.request(host, 1_000 + round));
        let others: Vec<_> = others.collect();
        fleet.run(Time::from_millis(30));
        for id in others {
            fleet.break_connection_of(id);
        }
        fleet.run(Time::from_millis(170));
    }
    let id = fleet.request(0, POLLED);
    fleet.run(Time::from_secs(1));
    let end = fleet.ends.get(&id).map(|(_, end)| *end);
    assert_eq!(end, Some(End::Answered));
}

#[test]
fn connections_that_break_at_living_targets_quarantine_nothing_for_long() {
    let mut fleet = Fleet::new(HOSTS, TARGETS);
    for host in 0..HOSTS {
        let id = fleet.request(host, POLLED);
        for _ in 0..2 {
            fleet.run(Time::from_millis(30));
            fleet.break_connection_of(id);
        }
        fleet.run(Time::from_millis(100));
    }
    fleet.run(Time::from_secs(10));
    let later: Vec<_> = (0..HOSTS).map(|host| fleet.request(host, POLLED)).collect();
    fleet.run(Time::from_secs(1));
    for id in later {
        let end = fleet.ends.get(&id).map(|(_, end)| *end);
        assert_eq!(end, Some(End::Answered), "request {id}");
    }
}
