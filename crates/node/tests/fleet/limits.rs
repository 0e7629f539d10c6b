//! Limits that targets name: the requests per second that they take from all hosts together.

use cornelhitch_types::id::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::HOSTS;
use crate::simulation::Fleet;

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

/// Returns the most requests that a target got in a window that begins after `since`, from hosts
/// that knew its limit.
fn most_in_window(fleet: &Fleet, target: usize, since: Time) -> usize {
    let arrivals = fleet.arrivals.iter();
    let arrivals = arrivals.filter(|it| it.target == target && it.told && it.at >= since);
    let times: Vec<Time> = arrivals.map(|it| it.at).collect();
    let in_window = |from: &Time| {
        let inside = times
            .iter()
            .filter(|at| *from <= **at && **at < *from + WINDOW);
        inside.count()
    };
    times.iter().map(in_window).max().unwrap_or(0)
}

/// Asserts that a target got no more than half as much again as its limit, and five requests.
#[track_caller]
fn assert_kept(fleet: &Fleet, target: usize, limit: f64, since: Time) {
    let most = u32::try_from(most_in_window(fleet, target, since)).expect("few");
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
    let named = fleet.now;
    for (target, limit) in limits.into_iter().enumerate() {
        fleet.name_limit(target, Some(limit));
    }
    press(&mut fleet, &mut random, Time::from_secs(40));
    for (target, limit) in limits.into_iter().enumerate() {
        assert_kept(&fleet, target, limit, named + WINDOW);
    }
}
