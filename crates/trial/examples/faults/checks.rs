//! Records the requests and events of a run and checks them against the guarantees of the system.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cornelhitch_standin::counters::Load;
use cornelhitch_trial::caller::Outcome;
use cornelhitch_trial::operator;
use serde_json::{Value, json};

use crate::Trial;
use crate::load::REQUEST_DEADLINE;

/// Time after the deadline within which the answer to a request must be complete.
const ANSWER_MARGIN: Duration = Duration::from_secs(2);

/// Time without tokens after which a stream is resumed on another target.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Time within which all hosts must apply accepted settings.
const SETTINGS_TIMEOUT: Duration = Duration::from_secs(12);

/// Time after which a leaving target must not receive new work.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval at which the settings versions of the hosts are read.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// A request and its outcome.
#[derive(Debug)]
pub struct RequestRecord {
    /// Host to which the request was sent.
    pub host: SocketAddr,
    /// Time of sending.
    pub started: Instant,
    /// Time at which the request ended.
    pub ended: Instant,
    /// Whether a streamed answer was requested.
    pub stream: bool,
    /// Outcome of the request.
    pub outcome: Outcome,
}

/// A request to the plain service and all its attempts, which share an idempotency key.
#[derive(Debug)]
pub struct BidRecord {
    /// Idempotency key.
    pub key: String,
    /// Attempts in the order of sending.
    pub attempts: Vec<RequestRecord>,
}

/// A period in which a host was down or draining.
#[derive(Debug)]
pub struct Downtime {
    /// Address of the host for callers.
    pub host: SocketAddr,
    /// Time at which it was killed or its drain began.
    pub from: Instant,
    /// Time at which it was running again.
    pub until: Instant,
    /// Whether the host was killed rather than drained.
    pub killed: bool,
}

/// Record of a run.
#[derive(Debug, Default)]
pub struct TrialLog {
    /// Requests to models.
    pub requests: Vec<RequestRecord>,
    /// Requests to the plain service.
    pub bids: Vec<BidRecord>,
    /// Accepted settings by version, with the time of acceptance and the `queue` value set.
    pub accepted: BTreeMap<u64, (Instant, u32)>,
    /// Periods in which hosts were down.
    pub downtimes: Vec<Downtime>,
    /// Violations found while the run was in progress.
    pub violations: Vec<String>,
}

/// Polls the settings version of every running host until `stop_at`, and records a violation if it
/// decreases while the host keeps its incarnation.
pub async fn watch_settings(trial: Arc<Trial>, stop_at: Instant) {
    let mut seen: BTreeMap<(SocketAddr, u64), u64> = BTreeMap::new();
    while Instant::now() < stop_at {
        tokio::time::sleep(POLL_INTERVAL).await;
        let hosts: Vec<SocketAddr> = {
            let cluster = trial.cluster();
            let running = (0..cluster.hosts.len()).filter(|index| cluster.node(*index).is_some());
            running
                .map(|index| cluster.hosts[index].addresses.operators)
                .collect()
        };
        for host in hosts {
            let dump = operator::call(host, "GET", "/dump", &Value::Null).await;
            let (Some(incarnation), Some(version)) = (
                dump["incarnation"].as_u64(),
                dump["entry"]["settings"].as_u64(),
            ) else {
                continue;
            };
            let before = seen
                .insert((host, incarnation), version)
                .unwrap_or_default();
            if version < before {
                let fault =
                    format!("settings version at {host} went back from {before} to {version}");
                trial.log().violations.push(fault);
            }
        }
    }
}

/// Checks all records of the run, prints a summary and returns the violations.
pub async fn violations(trial: &Trial, memory: u64) -> Vec<String> {
    let settings = check_settings_applied(trial).await;
    let log = trial.log();
    let mut violations = log.violations.clone();
    violations.extend(settings);
    violations.extend(
        log.requests
            .iter()
            .filter_map(|request| log.check_request(request)),
    );
    for bid in &log.bids {
        violations.extend(
            bid.attempts
                .iter()
                .filter_map(|attempt| log.check_request(attempt)),
        );
        violations.extend(check_runs(trial, bid));
    }
    violations.extend(check_loads(trial, memory));
    print_summary(&log, trial);
    violations
}

impl TrialLog {
    /// Returns how the outcome of one request violates the guarantees, if it does.
    fn check_request(&self, request: &RequestRecord) -> Option<String> {
        let elapsed = request.ended - request.started;
        if let Outcome::Wrong { detail } = &request.outcome {
            return Some(format!(
                "an answer is incomplete or belongs to another request: {detail}"
            ));
        }
        // The deadline limits the start of the answer. After that, a stream may stall once and be resumed.
        let stall_allowance = if request.stream {
            STALL_TIMEOUT
        } else {
            Duration::ZERO
        };
        if elapsed >= REQUEST_DEADLINE + stall_allowance + ANSWER_MARGIN {
            return Some(format!(
                "a request ended too late, after {elapsed:?}: {:?}",
                request.outcome
            ));
        }
        let lost = matches!(request.outcome, Outcome::Lost { .. });
        if lost && !self.host_was_down(request) {
            return Some(format!(
                "a request was lost at {}, which was running: {:?}",
                request.host, request.outcome
            ));
        }
        if request.outcome.is_status(http::StatusCode::NOT_FOUND) {
            return Some(format!(
                "a configured model or service was refused as unknown: {:?}",
                request.outcome
            ));
        }
        if let Outcome::Refused {
            run: None,
            status,
            detail,
            ..
        } = &request.outcome
            && *status >= 500
            && *status != 500
        {
            return Some(format!(
                "a refusal with status {status} does not say whether the request ran: {detail}"
            ));
        }
        None
    }

    /// Whether the host was killed while the request was in flight, or was down or draining when the
    /// request was sent.
    fn host_was_down(&self, request: &RequestRecord) -> bool {
        self.downtimes.iter().any(|downtime| {
            let overlaps = downtime.from <= request.ended && request.started <= downtime.until;
            let sent_while_down = request.started >= downtime.from;
            downtime.host == request.host && overlaps && (downtime.killed || sent_while_down)
        })
    }
}

/// Checks that a bid ran at most once, did not run if every attempt was refused as not run, and ran
/// if it was answered.
fn check_runs(trial: &Trial, bid: &BidRecord) -> Option<String> {
    let runs: u32 = trial
        .services
        .iter()
        .filter_map(|service| service.run_counts().get(bid.key.as_str()).copied())
        .sum();
    if runs > 1 {
        return Some(format!("{} ran {runs} times: {:?}", bid.key, bid.attempts));
    }
    let all_not_run = bid
        .attempts
        .iter()
        .all(|attempt| attempt.outcome.is_not_run());
    if all_not_run && runs > 0 {
        return Some(format!(
            "{} ran although every attempt was refused as not run: {:?}",
            bid.key, bid.attempts
        ));
    }
    let answered = bid
        .attempts
        .iter()
        .any(|attempt| attempt.outcome.is_answered());
    (answered && runs == 0)
        .then(|| format!("{} was answered but did not run on any worker", bid.key))
}

/// Checks that workers began the load of each replica at most once, stayed within their memory, got
/// no work after leaving and interrupted no request by an unload.
fn check_loads(trial: &Trial, memory: u64) -> Vec<String> {
    let mut violations = Vec::new();
    let mut loaded: BTreeMap<Load, u32> = BTreeMap::new();
    for engine in &trial.engines {
        let counters = engine.counters();
        if counters.loads_over_capacity > 0 || counters.memory_peak_bytes > memory {
            violations.push(format!(
                "worker memory was overcommitted, limit {memory} bytes: {counters:?}"
            ));
        }
        if counters
            .last_request_after_leave
            .is_some_and(|after| after > LEAVE_TIMEOUT)
        {
            violations.push(format!(
                "a worker got work after it began to leave, up to {:?} later",
                counters.last_request_after_leave
            ));
        }
        if counters.aborted_by_unload > 0 {
            violations.push(format!(
                "unloads interrupted {} requests",
                counters.aborted_by_unload
            ));
        }
        for (load, times) in counters.loads {
            *loaded.entry(load).or_default() += times;
        }
    }
    for (load, times) in loaded {
        if times > 1 {
            violations.push(format!("{load:?} was loaded {times} times"));
        }
    }
    violations
}

/// Checks that all hosts apply the last accepted settings in time.
async fn check_settings_applied(trial: &Trial) -> Vec<String> {
    let (hosts, last) = {
        let cluster = trial.cluster();
        let hosts: Vec<SocketAddr> = cluster
            .hosts
            .iter()
            .map(|host| host.addresses.operators)
            .collect();
        let last = trial
            .log()
            .accepted
            .last_key_value()
            .map(|(version, at)| (*version, *at));
        (hosts, last)
    };
    let Some((version, (at, _))) = last else {
        return vec!["no settings change was accepted".to_owned()];
    };
    let mut violations = Vec::new();
    for host in hosts {
        loop {
            let dump = operator::call(host, "GET", "/dump", &json!(null)).await;
            let active = dump["entry"]["settings"].as_u64().unwrap_or_default();
            if active >= version {
                break;
            }
            if at.elapsed() > SETTINGS_TIMEOUT {
                violations.push(format!("{host} still applies settings version {active}, although {version} was accepted"));
                break;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    violations
}

/// Prints the number of requests by outcome, of loads and of settings changes.
fn print_summary(log: &TrialLog, trial: &Trial) {
    let all = log
        .bids
        .iter()
        .flat_map(|bid| &bid.attempts)
        .chain(&log.requests);
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for request in all {
        let label = match &request.outcome {
            Outcome::Answered { .. } => "answered".to_owned(),
            Outcome::Refused { run, status, .. } => {
                let run = run.map_or("unsaid".to_owned(), |run| run.to_string());
                format!("refused {status} {run}")
            }
            Outcome::Interrupted { .. } => "broken off".to_owned(),
            Outcome::Lost { .. } => "lost with a host".to_owned(),
            Outcome::Wrong { .. } => "wrong".to_owned(),
        };
        *counts.entry(label).or_default() += 1;
    }
    let loads: u32 = trial
        .engines
        .iter()
        .map(|engine| engine.counters().loads_completed)
        .sum();
    println!(
        "  {counts:?}, {loads} loads, {} settings accepted",
        log.accepted.len()
    );
}
