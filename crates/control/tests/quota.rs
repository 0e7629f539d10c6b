//! The leader's buckets: what they grant, refuse and count as spent.

use std::sync::Arc;
use std::time::Duration;

use cornelhitch_control::quota::{Quotas, TeamState, Terms};
use cornelhitch_types::id::Time;
use cornelhitch_types::quota::{
    AccountAnswer, AccountReport, Ask, AskRefusal, Cause, Report, guarded_lease,
};
use cornelhitch_types::team::{Access, Quota, QuotaUnit, Team};

/// Refill of the team in the tests, in units per second; the capacity is twice as much.
const RATE: u64 = 1_000;

const TERM: u64 = 4;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Returns a table with one team.
fn access(rate: u64) -> Access {
    let quota = Quota {
        unit: QuotaUnit::Tokens { plain: 1 },
        rate: rate * 1_000,
        burst: 2 * rate,
    };
    let team = Team {
        name: "night-desk".into(),
        keys: Vec::new(),
        priority: None,
        quota: Some(quota),
    };
    Access {
        teams: vec![Arc::new(team)],
        public_routes: Vec::new(),
    }
}

/// A leader, and the numbers of the hosts' reports.
struct World {
    quotas: Quotas,
    sequence: u64,
}

impl World {
    /// Creates a leader that was elected at time 0.
    fn new() -> Self {
        Self::with_overshoot(0.0)
    }

    /// As [`World::new`], with a share by which use may exceed the quota.
    fn with_overshoot(overshoot: f64) -> Self {
        let terms = Terms {
            window: Duration::from_secs(8),
            overshoot,
            slack: 0.0,
        };
        let mut quotas = Quotas::new(terms, TERM, Time::ZERO);
        quotas.set_teams(1, Some(&access(RATE)), Time::ZERO);
        Self {
            quotas,
            sequence: 0,
        }
    }

    /// Sends a host's report and returns the answer about its account.
    fn report(&mut self, host: u64, account: AccountReport, ms: u64) -> AccountAnswer {
        self.sequence += 1;
        let report = Report {
            incarnation: 1,
            sequence: self.sequence,
            term: TERM,
            accounts: vec![account],
        };
        let answer = self.quotas.report(host, &report, at(ms));
        answer.expect("an answer").accounts.remove(0)
    }

    /// Returns the bucket's state.
    fn state(&mut self, ms: u64) -> TeamState {
        self.quotas.advance(at(ms));
        self.quotas.states().remove(0)
    }
}

/// Returns the report of an account that holds nothing and asks for one request.
fn asks(cost: u64, key: u64) -> AccountReport {
    let ask = Ask {
        id: key,
        cost,
        key,
        patience: Duration::from_secs(2),
    };
    AccountReport {
        team: "night-desk".into(),
        account: 1,
        tokens: true,
        received: 0,
        spent: 0,
        returned: 0,
        free: 0,
        ahead: 0,
        asks: vec![ask],
    }
}

/// Returns how long the first refused request is to wait.
fn wait(answer: &AccountAnswer) -> Option<Duration> {
    answer.refusals.first().and_then(|refusal| refusal.wait)
}

/// Guards against a new leader that leases what its predecessor has leased.
#[test]
fn a_new_leader_grants_nothing_before_earlier_leases_have_expired() {
    let mut world = World::new();
    let answer = world.report(1, asks(10, 1), 1_000);
    let refused = AskRefusal {
        ask: 1,
        cause: Cause::NotReady,
        wait: Some(guarded_lease().saturating_sub(at(1_000))),
    };
    assert_eq!(answer.refusals, [refused]);
    assert_eq!(world.report(1, asks(10, 1), 1_700).granted, 10);
}

/// Guards against a request that is granted twice because the answer was lost.
#[test]
fn a_repeated_request_is_granted_once() {
    let mut world = World::new();
    assert_eq!(world.report(1, asks(500, 1), 3_000).granted, 500);
    assert_eq!(world.report(1, asks(500, 1), 3_200).granted, 500);
}

/// Guards against a report that is applied twice.
#[test]
fn a_repeated_report_is_dropped() {
    let mut world = World::new();
    let report = Report {
        incarnation: 1,
        sequence: 9,
        term: TERM,
        accounts: vec![asks(10, 1)],
    };
    assert!(world.quotas.report(1, &report, at(3_000)).is_some());
    assert_eq!(world.quotas.report(1, &report, at(3_001)), None);
}

/// Guards against units that vanish when they are given back, and against refill for units that hosts
/// still hold.
#[test]
fn returned_units_are_available_and_held_ones_count_against_the_capacity() {
    let mut world = World::new();
    world.report(1, asks(2_000, 1), 3_000);
    let state = world.state(4_000);
    assert_eq!((state.available, state.held), (0, 2_000));
    let returned = AccountReport {
        received: 2_000,
        returned: 1_500,
        asks: Vec::new(),
        ..asks(0, 1)
    };
    world.report(1, returned, 4_000);
    let state = world.state(4_000);
    assert_eq!((state.available, state.held), (1_500, 500));
}

/// Guards against leases of hosts that have ended and take up capacity for ever.
#[test]
fn an_expired_lease_counts_as_spent() {
    let mut world = World::new();
    world.report(1, asks(2_000, 1), 3_000);
    let state = world.state(4_651);
    assert_eq!((state.held, state.totals.expired), (0, 2_000));
    assert_eq!(world.state(5_651).available, 1_000);
}

/// Guards against a host that renews what the leader has counted as spent.
#[test]
fn an_account_is_not_renewed_after_its_lease() {
    let mut world = World::new();
    world.report(1, asks(500, 1), 3_000);
    world.quotas.advance(at(5_000));
    let held = AccountReport {
        received: 500,
        ..asks(10, 2)
    };
    let answer = world.report(1, held, 5_000);
    assert!(!answer.open);
    assert_eq!(world.state(5_000).held, 0);
}

/// Guards against callers that come back when told and find that new ones took their units.
#[test]
fn a_refused_request_finds_its_units_when_it_was_told_to_come_back() {
    let mut world = World::new();
    world.report(1, asks(2_000, 1), 3_000);
    let spent = AccountReport {
        received: 2_000,
        spent: 2_000,
        ..asks(800, 2)
    };
    assert_eq!(wait(&world.report(1, spent, 3_000)), Some(at(800)));
    assert_eq!(wait(&world.report(2, asks(300, 3), 3_100)), Some(at(1_000)));
    assert_eq!(wait(&world.report(3, asks(100, 4), 3_790)), Some(at(410)));
    assert_eq!(world.report(4, asks(800, 2), 3_800).granted, 800);
    assert_eq!(world.report(5, asks(300, 3), 4_100).granted, 300);
}

/// Guards against callers that come back late and take the whole refill while new requests, which could
/// be served in time, exceed the quota alone.
#[test]
fn returning_callers_get_the_overshoot_while_new_requests_exceed_the_quota() {
    let mut world = World::with_overshoot(0.5);
    // The bucket holds 2,880 units: 2,000 and a half of it, less 1% of what refills in the window. Hosts
    // hold 2,520 at most.
    assert_eq!(world.report(1, asks(2_100, 1), 20_000).granted, 2_100);
    let spent = AccountReport {
        received: 2_100,
        spent: 2_100,
        asks: Vec::new(),
        ..asks(0, 1)
    };
    world.report(1, spent, 20_000);
    // 1,220 units are missing, and the overshoot refills 500 a second.
    let refused = world.report(2, asks(2_000, 2), 20_000);
    assert_eq!(wait(&refused), Some(at(2_440)));
    assert_eq!(world.report(3, asks(300, 3), 20_200).granted, 300);
    // Once demand is within the quota, callers are told of the whole refill.
    world.state(22_000);
    assert_eq!(world.report(4, asks(2_100, 4), 24_000).granted, 2_100);
    let refused = world.report(5, asks(1_000, 5), 24_000);
    let missing = 1_000 - 420;
    let expected = Duration::from_micros(missing * 1_000_000 / 1_500 + 1);
    assert_eq!(wait(&refused), Some(expected));
}

/// Guards against callers that wait for the leases of a leader that is gone, and against a second new leader
/// that counts on what the first one has granted already.
#[test]
fn a_new_leader_grants_what_its_predecessor_never_lets_hosts_hold() {
    let terms = Terms {
        window: Duration::from_secs(8),
        overshoot: 0.5,
        slack: 0.0,
    };
    for (elapsed, granted) in [(3_000, 350), (1_000, 0)] {
        let mut quotas = Quotas::after_leader(terms, TERM, at(elapsed), at(10_000));
        quotas.set_teams(1, Some(&access(RATE)), at(10_000));
        let mut world = World {
            quotas,
            sequence: 0,
        };
        assert_eq!(world.report(1, asks(350, 1), 10_300).granted, granted);
        // The reserve is an eighth of 2,880 units, of which 10 are left.
        let answer = world.report(2, asks(300, 2), 11_600);
        assert_eq!(answer.refusals[0].cause, Cause::NotReady);
    }
}

/// Guards against units that are kept for callers who never return.
#[test]
fn units_kept_for_a_caller_who_does_not_return_go_to_others() {
    let mut world = World::new();
    world.report(1, asks(2_000, 1), 3_000);
    let spent = AccountReport {
        received: 2_000,
        spent: 2_000,
        ..asks(800, 2)
    };
    world.report(1, spent, 3_000);
    assert_eq!(world.report(2, asks(800, 3), 4_400).granted, 800);
}

/// Guards against a time that can never come.
#[test]
fn a_request_above_the_capacity_is_told_no_time() {
    let mut world = World::new();
    let answer = world.report(1, asks(2_001, 1), 3_000);
    assert_eq!(answer.refusals.len(), 1);
    assert_eq!(wait(&answer), None);
}

/// Guards against a time for a request that fits into the bucket but not beside what is kept for the next leader.
#[test]
fn a_request_above_what_hosts_may_hold_is_told_no_time() {
    let mut world = World::with_overshoot(0.5);
    // The bucket holds 2,880 units, of which 360 are kept.
    for (cost, granted) in [(2_521, 0), (2_520, 2_520)] {
        let answer = world.report(1, asks(cost, cost), 20_000 + cost);
        assert_eq!(answer.granted, granted);
        assert_eq!(wait(&answer), None);
    }
}

/// Guards against leases of a higher quota that are renewed after it was lowered.
#[test]
fn a_lowered_quota_ends_the_renewal_of_leases() {
    let mut world = World::new();
    world.report(1, asks(2_000, 1), 3_000);
    world.quotas.set_teams(2, Some(&access(100)), at(3_100));
    let held = AccountReport {
        received: 2_000,
        asks: Vec::new(),
        ..asks(0, 1)
    };
    assert!(!world.report(1, held, 3_200).open);
    assert_eq!(world.state(4_651).held, 0);
}

/// Guards against a team that is removed and added again to get a full bucket.
#[test]
fn a_team_that_returns_finds_its_bucket_as_it_was() {
    let mut world = World::new();
    world.report(1, asks(2_000, 1), 3_000);
    world.quotas.set_teams(2, None, at(3_010));
    world.quotas.advance(at(3_020));
    world.quotas.set_teams(3, Some(&access(RATE)), at(3_030));
    let state = world.state(3_030);
    assert_eq!((state.available, state.held), (0, 2_000));
}
