//! What happened in a trial, and which promises it breaks.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cornelhitch_standin::counters::Load;
use cornelhitch_trial::caller::End;
use cornelhitch_trial::operator;
use serde_json::{Value, json};

use crate::Trial;
use crate::load::DEADLINE;

/// Time after its deadline by which a request has its final answer.
const LATE: Duration = Duration::from_secs(2);

/// Time after which a stream without tokens is taken from its target.
const STALL: Duration = Duration::from_secs(5);

/// Time by which settings are in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(12);

/// Time after which a leaving target gets nothing new.
const LEAVING: Duration = Duration::from_secs(3);

/// Time between two looks at the hosts' settings.
const LOOK: Duration = Duration::from_millis(250);

/// One request and how it ended.
#[derive(Debug)]
pub struct Request {
    /// The host it went to.
    pub host: SocketAddr,
    /// When it was sent.
    pub started: Instant,
    /// When its end came.
    pub ended: Instant,
    /// Whether the answer was streamed.
    pub stream: bool,
    /// Its end.
    pub end: End,
}

/// A bid and all its sends.
#[derive(Debug)]
pub struct Bid {
    /// Its key.
    pub key: String,
    /// Its sends, in order.
    pub sends: Vec<Request>,
}

/// A time in which a host was away.
#[derive(Debug)]
pub struct Away {
    /// Its address.
    pub host: SocketAddr,
    /// From when.
    pub from: Instant,
    /// Until when.
    pub until: Instant,
    /// Whether it was killed; else it was shut down gracefully.
    pub killed: bool,
}

/// What happened.
#[derive(Debug, Default)]
pub struct Log {
    /// Requests to models.
    pub requests: Vec<Request>,
    /// Bids.
    pub bids: Vec<Bid>,
    /// Accepted settings: when, and their number.
    pub accepted: BTreeMap<u64, (Instant, u32)>,
    /// Times in which hosts were away.
    pub away: Vec<Away>,
    /// What was seen to break a promise.
    pub broken: Vec<String>,
}

/// Looks at the settings version of every host again and again.
pub async fn watch(trial: Arc<Trial>, end: Instant) {
    let mut seen: BTreeMap<(SocketAddr, u64), u64> = BTreeMap::new();
    while Instant::now() < end {
        tokio::time::sleep(LOOK).await;
        let hosts: Vec<SocketAddr> = {
            let cluster = trial.cluster();
            let running = (0..cluster.hosts.len()).filter(|index| cluster.node(*index).is_some());
            running
                .map(|index| cluster.hosts[index].addresses.operators)
                .collect()
        };
        for host in hosts {
            let dump = operator::call(host, "GET", "/dump", &Value::Null).await;
            let (Some(life), Some(version)) = (
                dump["incarnation"].as_u64(),
                dump["entry"]["settings"].as_u64(),
            ) else {
                continue;
            };
            let before = seen.insert((host, life), version).unwrap_or_default();
            if version < before {
                let fault = format!("settings went back from {before} to {version} at {host}");
                trial.log().broken.push(fault);
            }
        }
    }
}

/// Which promises the trial broke.
pub async fn judge(trial: &Trial, memory: u64) -> Vec<String> {
    let settings = converged(trial).await;
    let log = trial.log();
    let mut broken = log.broken.clone();
    broken.extend(settings);
    broken.extend(
        log.requests
            .iter()
            .filter_map(|request| log.request(request)),
    );
    for bid in &log.bids {
        broken.extend(bid.sends.iter().filter_map(|send| log.request(send)));
        broken.extend(once(trial, bid));
    }
    broken.extend(loads(trial, memory));
    print(&log, trial);
    broken
}

impl Log {
    /// What one request's end breaks.
    fn request(&self, request: &Request) -> Option<String> {
        let took = request.ended - request.started;
        if let End::Wrong { detail } = &request.end {
            return Some(format!(
                "an answer that is not whole or not the own one: {detail}"
            ));
        }
        // The deadline is for the start; a stream may stall once after it and be resumed.
        let rest = if request.stream {
            STALL
        } else {
            Duration::ZERO
        };
        if took >= DEADLINE + rest + LATE {
            return Some(format!("a request ended after {took:?}: {:?}", request.end));
        }
        let lost = matches!(request.end, End::Lost { .. });
        if lost && !self.excused(request) {
            return Some(format!(
                "a request was dropped at {}: {:?}",
                request.host, request.end
            ));
        }
        if request.end.is_status(http::StatusCode::NOT_FOUND) {
            return Some(format!(
                "a name that there is was refused: {:?}",
                request.end
            ));
        }
        if let End::Refused {
            run: None,
            status,
            detail,
            ..
        } = &request.end
            && *status >= 500
            && *status != 500
        {
            return Some(format!(
                "a refusal {status} that does not say whether it ran: {detail}"
            ));
        }
        None
    }

    /// Whether the host was killed meanwhile, or was away when the request came.
    fn excused(&self, request: &Request) -> bool {
        self.away.iter().any(|away| {
            let overlaps = away.from <= request.ended && request.started <= away.until;
            let came_late = request.started >= away.from;
            away.host == request.host && overlaps && (away.killed || came_late)
        })
    }
}

/// Whether a bid ran more than once, or ran although it was refused as not run.
fn once(trial: &Trial, bid: &Bid) -> Option<String> {
    let runs: u32 = trial
        .services
        .iter()
        .filter_map(|service| service.runs().get(bid.key.as_str()).copied())
        .sum();
    if runs > 1 {
        return Some(format!("{} ran {runs} times: {:?}", bid.key, bid.sends));
    }
    let all_not_run = bid.sends.iter().all(|send| send.end.is_not_run());
    if all_not_run && runs > 0 {
        return Some(format!(
            "{} ran and was refused as not run: {:?}",
            bid.key, bid.sends
        ));
    }
    let answered = bid.sends.iter().any(|send| send.end.is_answered());
    (answered && runs == 0).then(|| format!("{} was answered and never ran", bid.key))
}

/// Whether workers loaded what was not decided, or more than fits.
fn loads(trial: &Trial, memory: u64) -> Vec<String> {
    let mut broken = Vec::new();
    let mut loaded: BTreeMap<Load, u32> = BTreeMap::new();
    for engine in &trial.engines {
        let counters = engine.counters();
        if counters.overcommits > 0 || counters.memory_peak > memory {
            broken.push(format!("memory was overcommitted: {counters:?}"));
        }
        if counters.after_leaving.is_some_and(|after| after > LEAVING) {
            broken.push(format!("work after leaving: {:?}", counters.after_leaving));
        }
        if counters.cut > 0 {
            broken.push(format!("an unload broke off {} requests", counters.cut));
        }
        for (load, times) in counters.loads {
            *loaded.entry(load).or_default() += times;
        }
    }
    for (load, times) in loaded {
        if times > 1 {
            broken.push(format!("{load:?} was loaded {times} times"));
        }
    }
    broken
}

/// Whether all hosts act on the last accepted settings in time.
async fn converged(trial: &Trial) -> Vec<String> {
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
        return vec!["no settings were accepted at all".to_owned()];
    };
    let mut broken = Vec::new();
    for host in hosts {
        loop {
            let dump = operator::call(host, "GET", "/dump", &json!(null)).await;
            let acts_on = dump["entry"]["settings"].as_u64().unwrap_or_default();
            if acts_on >= version {
                break;
            }
            if at.elapsed() > IN_FORCE {
                broken.push(format!("{host} acts on {acts_on}, {version} was accepted"));
                break;
            }
            tokio::time::sleep(LOOK).await;
        }
    }
    broken
}

/// Prints what the trial was like.
fn print(log: &Log, trial: &Trial) {
    let all = log
        .bids
        .iter()
        .flat_map(|bid| &bid.sends)
        .chain(&log.requests);
    let mut kinds: BTreeMap<String, usize> = BTreeMap::new();
    for request in all {
        let kind = match &request.end {
            End::Answered { .. } => "answered".to_owned(),
            End::Refused { run, status, .. } => {
                let run = run.map_or("unsaid".to_owned(), |run| run.to_string());
                format!("refused {status} {run}")
            }
            End::BrokenOff { .. } => "broken off".to_owned(),
            End::Lost { .. } => "lost with a host".to_owned(),
            End::Wrong { .. } => "wrong".to_owned(),
        };
        *kinds.entry(kind).or_default() += 1;
    }
    let loads: u32 = trial
        .engines
        .iter()
        .map(|engine| engine.counters().loaded)
        .sum();
    println!(
        "  {kinds:?}, {loads} loads, {} settings accepted",
        log.accepted.len()
    );
}
