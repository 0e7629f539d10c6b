//! Shares of teams in the queue of an entry host, in virtual time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cornelhitch_entry::event::RouteLimits;
use cornelhitch_entry::fair_share::Flow;
use cornelhitch_entry::prelude::*;
use cornelhitch_entry::queue::{Queue, QueueKey, Rank};
use cornelhitch_settings::process::Serving;
use cornelhitch_types::id::Time;
use cornelhitch_types::quota::{AccountAnswer, Answer, LEASE_LENGTH, Report};
use cornelhitch_types::target::{Kind, Load};
use cornelhitch_types::team::{Quota, QuotaUnit, Team, TokenUsage};
use cornelhitch_types::view::{Change, Target, View};

const RED: u64 = 1;
const BLUE: u64 = 2;

fn key(service: &str) -> QueueKey {
    QueueKey::Service(service.into())
}

fn rank(team: u64, cost: u64, deadline_ms: u64) -> Rank {
    Rank {
        weight: 1,
        deadline: Duration::from_millis(deadline_ms),
        flow: Flow { team, cost },
    }
}

/// Adds requests of one team to a lane, with the same cost and deadlines in the order of their
/// numbers, which begin with the team's.
fn add(queue: &mut Queue, lane: &str, team: u64, cost: u64, count: u64) -> Vec<(u64, Rank)> {
    let numbers = (0..count).map(|at| team * 10_000 + at);
    let requests = numbers.map(|id| (id, rank(team, cost, id)));
    let requests: Vec<_> = requests.collect();
    for (id, rank) in &requests {
        queue.push(&key(lane), *rank, *id);
    }
    requests
}

/// Sends requests of a lane and returns how many were sent for each team.
fn send(queue: &mut Queue, lane: &str, ranks: &BTreeMap<u64, Rank>, count: usize) -> [usize; 2] {
    let mut sent = [0; 2];
    for _ in 0..count {
        let Some(id) = queue.lane(&key(lane)).next() else {
            break;
        };
        let rank = ranks[&id];
        queue.take_turn(&key(lane), rank, id);
        sent[usize::from(rank.flow.team == BLUE)] += 1;
    }
    sent
}

/// Guards against a team that is sent for in proportion to what it asks for, or to the number of its
/// requests, and not to the costs.
#[test]
fn a_team_that_asks_for_more_gets_no_more_than_its_share() {
    // The costs and numbers of both teams' requests, and of so many sends those of each.
    let rows = [
        ((100, 600), (100, 100), 200, [100, 100]),
        ((100, 600), (100, 100), 400, [300, 100]),
        ((1_000, 600), (100, 600), 110, [10, 100]),
        ((300, 600), (100, 600), 200, [50, 150]),
        ((100, 600), (100, 0), 50, [50, 0]),
    ];
    for (red, blue, sends, expected) in rows {
        let mut queue = Queue::default();
        let mut ranks: BTreeMap<_, _> = add(&mut queue, "a", RED, red.0, red.1)
            .into_iter()
            .collect();
        ranks.extend(add(&mut queue, "a", BLUE, blue.0, blue.1));
        let sent = send(&mut queue, "a", &ranks, sends);
        let near = |index: usize| sent[index].abs_diff(expected[index]) <= 1;
        assert!(near(0) && near(1), "{red:?} {blue:?}: {sent:?}");
    }
}

/// Guards against a team that is owed a share for the time in which it asked for nothing, and so
/// holds up the others when it returns.
#[test]
fn a_team_that_returns_is_owed_nothing() {
    let mut queue = Queue::default();
    let mut ranks: BTreeMap<_, _> = add(&mut queue, "a", RED, 100_000, 600)
        .into_iter()
        .collect();
    send(&mut queue, "a", &ranks, 300);
    ranks.extend(add(&mut queue, "a", BLUE, 100_000, 300));
    let [red, blue] = send(&mut queue, "a", &ranks, 100);
    assert!(red.abs_diff(blue) <= 1, "{red} {blue}");
}

/// Guards against a team whose requests waited for a target of their own, and that then holds up the
/// others for more than a second of its quota.
#[test]
fn a_team_that_could_not_be_sent_for_is_owed_one_second() {
    let mut queue = Queue::default();
    let mut ranks: BTreeMap<_, _> = add(&mut queue, "b", BLUE, 100_000, 1).into_iter().collect();
    ranks.extend(add(&mut queue, "a", RED, 100_000, 600));
    send(&mut queue, "a", &ranks, 300);
    ranks.extend(add(&mut queue, "a", BLUE, 100_000, 300));
    let [red, blue] = send(&mut queue, "a", &ranks, 100);
    assert!(blue > red && blue - red <= 11, "{red} {blue}");
}

/// Guards against a full queue that sheds the requests of a team within its share.
#[test]
fn the_team_beyond_its_share_is_shed_first() {
    let mut queue = Queue::default();
    add(&mut queue, "a", RED, 100, 600);
    add(&mut queue, "a", BLUE, 100, 100);
    // The deadlines of `BLUE` are the latest.
    assert_eq!(queue.last(), Some(RED * 10_000 + 599));
}

/// Guards against an estimate of the wait that differs from the order in which requests go.
#[test]
fn the_number_ahead_is_the_place_in_the_order() {
    let rows = [
        (RED, 0),
        (RED, 10_050),
        (RED, 90_000),
        (BLUE, 0),
        (BLUE, 20_020),
        (3, 1),
        (0, 1),
    ];
    for (team, deadline) in rows {
        let mut queue = Queue::default();
        add(&mut queue, "a", RED, 100, 200);
        add(&mut queue, "a", BLUE, 40, 50);
        let rank = rank(team, 70, deadline);
        let ahead = queue.ahead(&key("a"), rank);
        queue.push(&key("a"), rank, 7);
        let place = queue
            .lane(&key("a"))
            .position(|id| id == 7)
            .expect("in the lane");
        assert!(
            ahead.abs_diff(place) <= 2,
            "{team} {deadline}: {ahead} {place}"
        );
    }
}

/// Guards against lengths that differ from what waits, and teams that are kept for ever.
#[test]
fn adding_and_removing_twice_counts_once() {
    let mut queue = Queue::default();
    for _ in 0..2 {
        queue.push(&key("a"), rank(RED, 100, 5), 1);
        assert_eq!((queue.len(), queue.waiting(&key("a"))), (1, 1));
    }
    for _ in 0..2 {
        queue.remove(&key("a"), rank(RED, 100, 5), 1);
        assert!(queue.is_empty() && queue.last().is_none());
    }
}

/// Slots of the target, and the time that it takes for a request: 40 requests a second.
const SLOTS: u32 = 4;
const SERVICE_MS: u64 = 100;
/// Time between two requests of each team: red asks for six times what it usually does, blue for
/// what it usually does.
const INTERVALS_MS: [u64; 2] = [17, 100];
/// The route's objective, and how long callers wait.
const OBJECTIVE_MS: u64 = 1_000;
const DEADLINE_MS: u64 = 5_000;
/// Length of the run, and of its beginning, which is left out.
const LENGTH_MS: u64 = 20_000;
const WARM_UP_MS: u64 = 2_000;
/// Requests that the target can serve in what is counted.
const CAPACITY: u32 = 720;

/// Returns a core with one target.
fn core() -> Core {
    let serving = Serving {
        quarantine: false,
        strikes: 3,
        ..Serving::default()
    };
    let config = Config::new(1).place("perth", "a").serving(serving);
    let mut core = Core::new(config, Time::ZERO);
    let target = Change::Target(Target {
        target: "w1".into(),
        incarnation: 1,
        kind: Kind::Service,
        address: ([10, 0, 0, 1], 80).into(),
        region: "perth".into(),
        zone: "a".into(),
        services: vec!["auction".into()],
        open: true,
        load: Load::default(),
        slots: Some(SLOTS),
    });
    let settings = Change::Settings(1, "models: []".into());
    let view = View {
        term: 1,
        from: 0,
        to: 1,
        changes: vec![settings, target],
    };
    core.handle(Event::View(view), Time::ZERO);
    let until = Duration::from_hours(1);
    core.handle(Event::Lease { until, version: 1 }, Time::ZERO);
    core
}

/// A request of a caller, which may return once or more.
#[derive(Debug, Clone, Copy)]
struct Asked {
    /// Position of the team.
    team: usize,
    /// The number of its first attempt, by which hosts recognise it.
    first: u64,
    /// When this attempt arrives, and when its caller stops waiting, in milliseconds.
    arrived: u64,
    deadline: u64,
}

/// Returns an attempt's request; callers differ, so that their own limit is not reached.
fn request(id: u64, asked: Asked, objective_ms: u64, team: Option<&Arc<Team>>) -> Request {
    let what = RequestedResource::Service {
        name: "auction".into(),
        method: "POST".into(),
    };
    let mut request = Request::new(id, format!("caller-{}", id % 50), what);
    request.fingerprint = asked.first;
    request.deadline = Some(Duration::from_millis(asked.deadline - asked.arrived));
    request.team = team.cloned();
    request.usage = Some(TokenUsage {
        prompt: 950,
        output: 50,
    });
    request.terms = Some(Box::new(RouteLimits {
        route: "lookup".into(),
        attempts: 1,
        limit: Duration::from_millis(DEADLINE_MS),
        objective: Some(Duration::from_millis(objective_ms)),
        rank: 0,
        sizes: Vec::new(),
    }));
    request
}

/// Returns a team with a quota of twice its usual rate.
fn team(name: &str) -> Arc<Team> {
    let unit = QuotaUnit::Tokens { plain: 1_000 };
    let (rate, burst) = (20_000_000, 20_000);
    Arc::new(Team {
        name: name.into(),
        keys: Vec::new(),
        priority: None,
        quota: Some(Quota { unit, rate, burst }),
    })
}

/// What became of one team's requests, from the end of the warm-up.
#[derive(Debug, Default)]
struct Served {
    /// Attempts that arrived, and those of them that returned when they were told.
    arrived: u32,
    returned: u32,
    /// Attempts that were refused, and those of them that had returned when they were told.
    refused: u32,
    refused_again: u32,
    /// Attempts that were sent, and those of them within the objective.
    sent: u32,
    in_time: u32,
}

/// The host, its target and the callers of both teams, in virtual time.
struct Run {
    core: Core,
    /// The route's objective.
    objective_ms: u64,
    /// The teams, if requests name them.
    teams: Option<[Arc<Team>; 2]>,
    now: u64,
    asked: BTreeMap<u64, Asked>,
    /// The attempts that the target runs, by their ends.
    running: BTreeMap<(u64, u64), u32>,
    /// Callers that return, by when and by their first attempt.
    returning: BTreeMap<(u64, u64), Asked>,
    served: [Served; 2],
}

impl Run {
    /// Counts for a team after the warm-up.
    fn count(&mut self, team: usize, counter: fn(&mut Served) -> &mut u32) {
        *counter(&mut self.served[team]) += u32::from(self.now >= WARM_UP_MS);
    }

    fn handle(&mut self, event: Event) {
        let at = Time::from_millis(self.now);
        for action in self.core.handle(event, at) {
            match action {
                Action::Send { id, attempt, .. } => self.on_send(id, attempt),
                Action::Refuse { id, refusal } => self.on_refused(id, refusal.retry_after),
                Action::ReportQuota(report) => self.handle(Event::Quota(grant_all(&report))),
                _ => {}
            }
        }
    }

    fn on_send(&mut self, id: u64, attempt: u32) {
        let asked = self.asked[&id];
        self.count(asked.team, |served| &mut served.sent);
        if self.now - asked.arrived + SERVICE_MS <= self.objective_ms {
            self.count(asked.team, |served| &mut served.in_time);
        }
        self.running.insert((self.now + SERVICE_MS, id), attempt);
        self.handle(Event::Sent { id, attempt });
    }

    /// Lets a caller return that is told to within a third of its remaining time.
    fn on_refused(&mut self, id: u64, retry_after: Option<Duration>) {
        let asked = self.asked[&id];
        self.count(asked.team, |served| &mut served.refused);
        if asked.first != id {
            self.count(asked.team, |served| &mut served.refused_again);
        }
        let wait = retry_after.map_or(u128::MAX, |after| after.as_millis().max(1));
        let wait = u64::try_from(wait).unwrap_or(u64::MAX);
        if wait <= asked.deadline.saturating_sub(self.now) / 3 {
            let at = (self.now + wait, asked.first);
            self.returning.insert(at, asked);
        }
    }

    fn arrive(&mut self, id: u64, asked: Asked) {
        let asked = Asked {
            arrived: self.now,
            ..asked
        };
        self.asked.insert(id, asked);
        self.count(asked.team, |served| &mut served.arrived);
        if asked.first != id {
            self.count(asked.team, |served| &mut served.returned);
        }
        let team = self.teams.as_ref().map(|teams| &teams[asked.team]);
        let request = request(id, asked, self.objective_ms, team);
        self.handle(Event::Arrived(request));
    }

    /// Advances to a time, at which `next` is the number of the next request.
    fn step(&mut self, now: u64, next: &mut u64) {
        self.now = now;
        while let Some(((end, id), attempt)) = self.running.pop_first() {
            if end > now {
                self.running.insert((end, id), attempt);
                break;
            }
            self.handle(Event::ResponseStarted { id, attempt });
            self.handle(Event::ResponseEnded { id, attempt });
        }
        let mut arriving = Vec::new();
        while let Some(first) = self.returning.first_entry()
            && first.key().0 <= now
        {
            arriving.push(first.remove());
        }
        for (team, interval) in INTERVALS_MS.into_iter().enumerate() {
            if now.is_multiple_of(interval) {
                arriving.push(Asked {
                    team,
                    first: 0,
                    arrived: now,
                    deadline: now + DEADLINE_MS,
                });
            }
        }
        for asked in arriving {
            *next += 1;
            let first = if asked.first == 0 { *next } else { asked.first };
            self.arrive(*next, Asked { first, ..asked });
        }
        self.handle(Event::Tick);
    }
}

/// Returns a leader's answer that grants all that a host asks for: the tests are about shares of
/// capacity, which quotas must not limit.
fn grant_all(report: &Report) -> Answer {
    let accounts = report.accounts.iter().map(|account| {
        let asked: u64 = account.asks.iter().map(|ask| ask.cost).sum();
        let ahead = account.ahead.saturating_sub(account.free);
        AccountAnswer {
            team: account.team.clone(),
            account: account.account,
            granted: account.received + asked + ahead,
            open: true,
            refusals: Vec::new(),
        }
    });
    Answer {
        incarnation: report.incarnation,
        sequence: report.sequence,
        term: 1,
        length: LEASE_LENGTH,
        accounts: accounts.collect(),
    }
}

/// Serves both teams; `with_teams` says whether requests name their teams.
fn serve(with_teams: bool, objective_ms: u64) -> [Served; 2] {
    let mut run = Run {
        core: core(),
        objective_ms,
        teams: with_teams.then(|| ["red", "blue"].map(team)),
        now: 0,
        asked: BTreeMap::new(),
        running: BTreeMap::new(),
        returning: BTreeMap::new(),
        served: Default::default(),
    };
    let mut next = 0;
    for now in 0..LENGTH_MS {
        run.step(now, &mut next);
    }
    run.served
}

/// Guards against a team at six times its usual load that costs another team its objective, against
/// capacity that is left unused or spent on requests that are late, and against callers that are
/// refused again when they return as they were told.
#[test]
fn a_team_at_six_times_its_load_does_not_cost_another_its_objective() {
    let [red, blue] = serve(true, OBJECTIVE_MS);
    println!("{red:?} {blue:?}");
    assert!(blue.arrived >= 170, "{blue:?}");
    assert!(blue.in_time >= blue.arrived - 1, "{blue:?}");
    let sent = red.sent + blue.sent;
    assert!(sent * 100 >= 95 * CAPACITY, "{red:?} {blue:?}");
    assert!(red.in_time * 10 >= red.sent * 9, "{red:?}");
    assert!(red.refused_again * 20 <= red.returned, "{red:?}");
    // The premise: without teams, blue loses what it is entitled to.
    let [_, blue] = serve(false, OBJECTIVE_MS);
    assert!(blue.in_time < blue.arrived * 9 / 10, "{blue:?}");
}

/// Guards against a team within its share that is refused, and targets that are left idle, because
/// they alone take longer than the objective.
#[test]
fn an_objective_that_targets_cannot_meet_refuses_no_team_within_its_share() {
    let [red, blue] = serve(true, SERVICE_MS * 4 / 5);
    let sent = red.sent + blue.sent;
    assert!(sent * 100 >= 95 * CAPACITY, "{red:?} {blue:?}");
    assert_eq!(blue.refused, 0, "{blue:?}");
}
