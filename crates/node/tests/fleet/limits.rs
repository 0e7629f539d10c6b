//! Limits that targets name: the requests per second that they take from all hosts together.

use cornelhitch_types::id::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::HOSTS;
use crate::simulation::{Arrival, End, Fleet};

/// The window over which a limit counts.
const WINDOW: Time = Time::from_secs(4);
/// Time between two requests of all callers together: 50 a second.
const PAUSE: Time = Time::from_millis(20);

/// Sends requests to random hosts, each with another fingerprint.
fn press(fleet: &mut Fleet, random: &mut SmallRng, length: Time) {
    let until = fleet.now + length;
    while fleet.now < until {
        let host = random.random_range(0..HOSTS);
        fleet.request(host, random.random());
        fleet.run(PAUSE);
    }
}

/// Returns the most requests among `counted` that a target got in a window after `since`.
fn most_in_window(fleet: &Fleet, target: usize, since: Time, counted: fn(&Arrival) -> bool) -> u32 {
    let arrivals = fleet.arrivals.iter();
    let arrivals = arrivals.filter(|it| it.target == target && it.at >= since && counted(it));
    let times: Vec<Time> = arrivals.map(|it| it.at).collect();
    let in_window = |from: &Time| {
        let inside = times
            .iter()
            .filter(|at| *from <= **at && **at < *from + WINDOW);
        inside.count()
    };
    let most = times.iter().map(in_window).max();
    u32::try_from(most.unwrap_or(0)).expect("few")
}

/// Asserts that a target got, from hosts that it had told, no more than half as much again as its
/// limit, and five requests.
#[track_caller]
fn assert_kept(fleet: &Fleet, target: usize, limit: f64) {
    let most = most_in_window(fleet, target, Time::ZERO, |it| it.told);
    let allowed = 1.5 * limit * WINDOW.as_secs_f64() + 5.0;
    assert!(
        f64::from(most) <= allowed,
        "{most} of {allowed} at {target}"
    );
}

#[test]
fn targets_that_name_a_limit_get_no_more_from_all_hosts_together() {
    let mut random = SmallRng::seed_from_u64(1);
    let limits = [1.0, 1.3, 4.0];
    let mut fleet = Fleet::new(HOSTS, limits.len());
    press(&mut fleet, &mut random, Time::from_secs(12));
    for (target, limit) in limits.into_iter().enumerate() {
        fleet.name_limit(target, Some(limit));
    }
    press(&mut fleet, &mut random, Time::from_secs(40));
    for (target, limit) in limits.into_iter().enumerate() {
        assert_kept(&fleet, target, limit);
    }
}

/// The limit itself is the aim, not what is tolerated, and it is made use of.
#[test]
fn in_steady_state_the_limit_itself_is_kept_and_used() {
    for limit in [0.15_f64, 0.5, 1.0, 1.3, 4.0, 20.0, 60.0] {
        let mut random = SmallRng::seed_from_u64(2);
        let mut fleet = Fleet::new(HOSTS, 1);
        fleet.name_limit(0, Some(limit));
        press(&mut fleet, &mut random, Time::from_secs(20));
        let since = fleet.now;
        press(&mut fleet, &mut random, Time::from_secs(40));
        let most = most_in_window(&fleet, 0, since, |_| true);
        assert!(
            f64::from(most) <= (limit * WINDOW.as_secs_f64()).max(1.0),
            "{most} at {limit}"
        );
        let arrivals = fleet.arrivals.iter().filter(|it| it.at >= since);
        let rate = f64::from(u32::try_from(arrivals.count()).expect("few")) / 40.0;
        assert!(rate > limit.min(50.0) / 2.0, "{rate} a second at {limit}");
    }
}

#[test]
fn requests_without_a_turn_are_refused_within_a_second() {
    let mut random = SmallRng::seed_from_u64(3);
    let mut fleet = Fleet::new(HOSTS, 2);
    for target in 0..2 {
        fleet.name_limit(target, Some(1.0));
    }
    press(&mut fleet, &mut random, Time::from_secs(20));
    let since = fleet.now;
    press(&mut fleet, &mut random, Time::from_secs(20));
    fleet.run(Time::from_secs(2));
    for (id, sent) in fleet.sent.iter().filter(|(_, sent)| **sent >= since) {
        let (ended, end) = fleet.ends.get(id).expect("an end");
        let wait = ended.saturating_sub(*sent);
        assert!(wait <= Time::from_millis(1_300), "{end:?} after {wait:?}");
    }
}

#[test]
fn a_limit_that_one_host_is_told_holds_for_all_hosts() {
    let mut random = SmallRng::seed_from_u64(4);
    let mut fleet = Fleet::new(HOSTS, 1);
    fleet.tell_only(0, 3);
    press(&mut fleet, &mut random, Time::from_secs(8));
    fleet.name_limit(0, Some(2.0));
    press(&mut fleet, &mut random, WINDOW);
    let since = fleet.now;
    press(&mut fleet, &mut random, Time::from_secs(30));
    let most = most_in_window(&fleet, 0, since, |_| true);
    assert!(most <= 17, "{most} requests in {WINDOW:?}");
}

#[test]
fn a_target_without_a_limit_takes_what_others_may_not() {
    let mut random = SmallRng::seed_from_u64(5);
    let mut fleet = Fleet::new(HOSTS, 3);
    for target in 0..2 {
        fleet.name_limit(target, Some(1.0));
    }
    press(&mut fleet, &mut random, Time::from_secs(30));
    let mut ends = fleet.ends.values();
    assert!(ends.all(|(_, end)| *end == End::Answered));
}

/// A host asks a limited target now and then only, to learn of the limit's end.
#[test]
fn other_targets_go_before_one_that_names_a_limit() {
    let mut random = SmallRng::seed_from_u64(7);
    let mut fleet = Fleet::new(HOSTS, 2);
    fleet.name_limit(0, Some(20.0));
    press(&mut fleet, &mut random, Time::from_secs(20));
    let since = fleet.now;
    press(&mut fleet, &mut random, Time::from_secs(20));
    let most = most_in_window(&fleet, 0, since, |_| true);
    let hosts = u32::try_from(HOSTS).expect("few");
    assert!(most <= 2 * hosts, "{most} requests in {WINDOW:?}");
}

#[test]
fn a_limit_ends_when_answers_no_longer_name_it() {
    let mut random = SmallRng::seed_from_u64(6);
    let mut fleet = Fleet::new(HOSTS, 1);
    fleet.name_limit(0, Some(1.0));
    press(&mut fleet, &mut random, Time::from_secs(20));
    fleet.name_limit(0, None);
    press(&mut fleet, &mut random, Time::from_secs(25));
    let since = fleet.now;
    press(&mut fleet, &mut random, Time::from_secs(5));
    let most = most_in_window(&fleet, 0, since, |_| true);
    assert!(most > 150, "{most} requests in {WINDOW:?} without a limit");
}

#[test]
fn a_limit_ends_with_the_incarnation_that_named_it() {
    let mut random = SmallRng::seed_from_u64(8);
    let mut fleet = Fleet::new(HOSTS, 1);
    fleet.name_limit(0, Some(1.0));
    press(&mut fleet, &mut random, Time::from_secs(15));
    fleet.name_limit(0, None);
    fleet.kill_target(0);
    press(&mut fleet, &mut random, Time::from_secs(6));
    let since = fleet.now;
    press(&mut fleet, &mut random, Time::from_secs(5));
    let most = most_in_window(&fleet, 0, since, |_| true);
    assert!(most > 150, "{most} requests in {WINDOW:?} without a limit");
}

#[test]
fn limits_are_kept_under_random_schedules() {
    for seed in 0..40 {
        let mut random = SmallRng::seed_from_u64(seed);
        let limit = random.random_range(0.2..6.0);
        let mut fleet = Fleet::new(HOSTS, 2);
        press(&mut fleet, &mut random, Time::from_secs(5));
        for target in 0..2 {
            fleet.name_limit(target, Some(limit));
        }
        for _ in 0..12 {
            match random.random_range(0..5) {
                0 => fleet.restart_host(random.random_range(0..HOSTS)),
                1 => (0..HOSTS).for_each(|host| fleet.restart_host(host)),
                2 => fleet.elect_leader(),
                3 => fleet.kill_target(random.random_range(0..2)),
                _ => {}
            }
            let length = Time::from_millis(random.random_range(100..8_000));
            press(&mut fleet, &mut random, length);
        }
        for target in 0..2 {
            assert_kept(&fleet, target, limit);
        }
    }
}
