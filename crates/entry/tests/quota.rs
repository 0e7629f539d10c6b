//! Requests of teams with quotas: charged before they are queued, and refused truthfully.

mod common;

use std::sync::Arc;
use std::time::Duration;

use cornelhitch_entry::event::{Failure, RouteLimits};
use cornelhitch_entry::prelude::*;
use cornelhitch_entry::quota::{Allowances, Demanded};
use cornelhitch_settings::process::Serving;
use cornelhitch_types::quota::{AccountAnswer, Answer, AskRefusal, Cause, LEASE_LENGTH, Report};
use cornelhitch_types::refusal::{Reason, Refusal, Run};
use cornelhitch_types::team::{Quota, QuotaUnit, Team, TokenUsage};

use common::{at, service_target};

/// What the tests' requests cost.
const COST: u64 = 850;

/// Creates a core that knows two targets.
fn core() -> Core {
    let targets = ["w1", "w2"].map(service_target);
    common::core(Serving::default(), "models: []", targets.into())
}

/// Returns a request of a team with a quota.
fn request(id: CallId) -> Request {
    let what = RequestedResource::Service {
        name: "auction".into(),
        method: "POST".into(),
    };
    let mut request = Request::new(id, "dealer", what);
    request.deadline = Some(Duration::from_secs(6));
    request.terms = Some(Box::new(RouteLimits {
        route: "lookup".into(),
        attempts: 2,
        limit: Duration::from_secs(6),
        objective: Some(Duration::from_millis(800)),
        rank: 0,
        sizes: Vec::new(),
    }));
    request.usage = Some(TokenUsage {
        prompt: 800,
        output: 50,
    });
    request.team = Some(Arc::new(Team {
        name: "night-desk".into(),
        keys: Vec::new(),
        priority: None,
        quota: Some(Quota {
            unit: QuotaUnit::Tokens { plain: 200 },
            rate: 29_000_000,
            burst: 29_000,
        }),
    }));
    request
}

/// Returns the first report among the actions.
fn report(actions: &[Action]) -> Option<&Report> {
    actions.iter().find_map(|action| match action {
        Action::ReportQuota(report) => Some(report),
        _ => None,
    })
}

/// Returns the attempt of the first send among the actions.
fn sent(actions: &[Action]) -> Option<u32> {
    actions.iter().find_map(|action| match action {
        Action::Send { attempt, .. } => Some(*attempt),
        _ => None,
    })
}

/// Returns the first refusal among the actions.
fn refusal(actions: &[Action]) -> Option<&Refusal> {
    actions.iter().find_map(|action| match action {
        Action::Refuse { refusal, .. } => Some(refusal),
        _ => None,
    })
}

/// Returns an answer that grants this total on the only account of a report, and refuses requests.
fn answer(report: &Report, granted: u64, refusals: Vec<AskRefusal>) -> Event {
    let account = AccountAnswer {
        team: "night-desk".into(),
        account: report.accounts[0].account,
        granted,
        open: true,
        refusals,
    };
    Event::Quota(Answer {
        incarnation: report.incarnation,
        sequence: report.sequence,
        term: 1,
        length: LEASE_LENGTH,
        accounts: vec![account],
    })
}

/// Lets a request arrive at 10 ms and grants it what it costs at 20 ms; returns the actions.
fn grant_first(core: &mut Core) -> Vec<Action> {
    let actions = core.handle(Event::Arrived(request(7)), at(10));
    assert_eq!(sent(&actions), None, "sent without an allowance");
    let report = report(&actions).expect("a report").clone();
    assert_eq!(report.accounts[0].asks[0].cost, COST);
    core.handle(answer(&report, COST, Vec::new()), at(20))
}

/// Wakes the core whenever it asks for it until a time; returns all actions.
fn run_until(core: &mut Core, ms: u64) -> Vec<Action> {
    let mut actions = Vec::new();
    while let Some(wake) = core.next_wake().filter(|wake| *wake <= at(ms)) {
        actions.extend(core.handle(Event::Tick, wake));
    }
    actions.extend(core.handle(Event::Tick, at(ms)));
    actions
}

/// Guards against requests that run without an allowance, or are asked for and then forgotten.
#[test]
fn a_request_is_sent_once_its_allowance_is_granted() {
    let mut core = core();
    let actions = grant_first(&mut core);
    assert_eq!(sent(&actions), Some(1));
}

/// Guards against a message to the leader for each request of a burst.
#[test]
fn a_burst_is_asked_for_in_few_reports() {
    let mut core = core();
    let mut reports = 0;
    for id in 0..20 {
        let actions = core.handle(Event::Arrived(request(id)), at(10));
        reports += usize::from(report(&actions).is_some());
    }
    let actions = run_until(&mut core, 20);
    let last = report(&actions).expect("a report");
    assert_eq!(last.accounts[0].asks.len(), 20);
    assert_eq!(reports, 1);
}

/// Guards against requests that wait for a leader until they miss their objective.
#[test]
fn without_a_leader_a_request_is_refused_within_half_its_objective() {
    let mut core = core();
    core.handle(Event::Arrived(request(7)), at(10));
    let actions = run_until(&mut core, 10 + 400);
    let refusal = refusal(&actions).expect("a refusal");
    assert_eq!(
        (refusal.reason, refusal.run),
        (Reason::Isolated, Run::NotRun)
    );
    assert_eq!(refusal.retry_after, Some(Duration::from_secs(1)));
}

/// Guards against requests of routes without an objective that wait for their allowance as briefly as possible,
/// and are refused though a leader answers well within their time.
#[test]
fn without_an_objective_a_request_waits_a_third_of_its_time_for_a_leader() {
    let mut core = core();
    let mut request = request(7);
    if let Some(terms) = &mut request.terms {
        terms.objective = None;
    }
    core.handle(Event::Arrived(request), at(10));
    let early = run_until(&mut core, 10 + 1_990);
    assert_eq!(refusal(&early), None);
    let actions = run_until(&mut core, 10 + 2_000);
    assert!(refusal(&actions).is_some(), "{actions:?}");
}

/// Guards against a `Retry-After` that is not the leader's.
#[test]
fn a_request_over_the_quota_is_told_when_the_bucket_has_room() {
    let mut core = core();
    let actions = core.handle(Event::Arrived(request(7)), at(10));
    let wait = Duration::from_millis(417);
    let refused = AskRefusal {
        ask: 7,
        cause: Cause::Used,
        wait: Some(wait),
    };
    let answer = answer(report(&actions).expect("a report"), 0, vec![refused]);
    let actions = core.handle(answer, at(20));
    let refusal = refusal(&actions).expect("a refusal");
    assert_eq!((refusal.reason, refusal.run), (Reason::Quota, Run::NotRun));
    assert_eq!(refusal.retry_after, Some(wait));
}

/// Guards against retries that are not charged, and against a refusal that states that a request has
/// not run although its first attempt may have.
#[test]
fn a_retry_is_charged_again_and_fails_without_an_allowance() {
    let mut core = core();
    grant_first(&mut core);
    core.handle(Event::Sent { id: 7, attempt: 1 }, at(21));
    let failed = Event::Failed {
        id: 7,
        attempt: 1,
        failure: Failure::Broken,
    };
    let actions = core.handle(failed, at(50));
    assert_eq!(sent(&actions), None, "sent again on a used charge");
    let report = report(&actions).expect("a report");
    let refused = AskRefusal {
        ask: 7,
        cause: Cause::Used,
        wait: Some(Duration::from_secs(1)),
    };
    let actions = core.handle(answer(report, COST, vec![refused]), at(60));
    let refusal = refusal(&actions).expect("a refusal");
    assert_eq!(
        (refusal.reason, refusal.run),
        (Reason::TargetFailed, Run::Unknown)
    );
}

/// Guards against a charge that is lost when the target states that it has not run the request.
#[test]
fn a_declined_request_is_sent_again_on_the_same_charge() {
    let mut core = core();
    grant_first(&mut core);
    core.handle(Event::Sent { id: 7, attempt: 1 }, at(21));
    let failed = Event::Failed {
        id: 7,
        attempt: 1,
        failure: Failure::Refused,
    };
    let mut actions = core.handle(failed, at(40));
    actions.extend(run_until(&mut core, 100));
    assert_eq!(sent(&actions), Some(2));
}

/// Guards against charges that are lost when callers leave before their requests are sent.
#[test]
fn the_charge_of_an_unsent_request_covers_the_next_one() {
    let mut core = core();
    grant_first(&mut core);
    core.handle(Event::CallerDisconnected { id: 7 }, at(21));
    let actions = core.handle(Event::Arrived(request(8)), at(22));
    assert_eq!(sent(&actions), Some(1));
}

/// Guards against a host that is cut off and sends requests after the leader has counted their charge
/// as spent.
#[test]
fn a_request_is_not_sent_after_the_lease_of_its_charge() {
    let mut core = core();
    grant_first(&mut core);
    let expired = at(10) + LEASE_LENGTH;
    let actions = core.handle(Event::Sent { id: 7, attempt: 1 }, expired);
    let proceeds = |action: &Action| matches!(action, Action::Proceed { .. });
    assert!(!actions.iter().any(proceeds), "{actions:?}");
    assert!(report(&actions).is_some(), "{actions:?}");
}

/// Guards against an answer that comes so late that the leader counts its grant as spent.
#[test]
fn a_late_answer_grants_nothing() {
    let mut core = core();
    let actions = core.handle(Event::Arrived(request(7)), at(10));
    let late = answer(report(&actions).expect("a report"), COST, Vec::new());
    let actions = core.handle(late, at(10) + LEASE_LENGTH);
    assert_eq!(sent(&actions), None);
}

/// Guards against messages and waits for requests that no quota applies to.
#[test]
fn requests_without_a_quota_are_sent_as_before() {
    let mut core = core();
    let mut free = request(7);
    free.team = None;
    let actions = core.handle(Event::Arrived(free), at(10));
    assert_eq!(sent(&actions), Some(1));
    assert!(report(&run_until(&mut core, 1_000)).is_none());
}

/// Guards against hosts that together send a leader more reports than it can answer: with 60 hosts that
/// each reported every 5 ms, answers came after 0.8 s, when the requests had been refused.
#[test]
fn many_hosts_ask_less_often() {
    for (hosts, most) in [(1, 200), (60, 12), (410, 7)] {
        let mut allowances = Allowances::new(1);
        allowances.set_host_count(hosts);
        let mut reports = 0;
        for ms in 0..1_000 {
            let request = Demanded {
                id: ms,
                cost: COST,
                key: ms,
                plain: false,
                tokens: true,
            };
            let second = Duration::from_secs(1);
            let team = "night-desk".into();
            assert!(allowances.charge(&team, request, at(ms)).is_none());
            allowances.wait(&team, request, second, at(ms) + second);
            reports += u32::from(allowances.report(at(ms)).is_some());
        }
        assert!(reports <= most, "{hosts} hosts: {reports} reports each");
        assert!(reports >= most / 2, "{hosts} hosts: {reports} reports each");
    }
}
