//! Callers and operators of a trial.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cornelhitch_trial::caller::{Ask, Caller, End};
use cornelhitch_trial::operator;
use cornelhitch_types::model::Reference;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use tokio::task::JoinSet;

use crate::Trial;
use crate::verdict::{Bid, Request};

/// Time between two requests to models.
const MODEL: Duration = Duration::from_millis(15);

/// Requests to models for each bid.
const BID: u64 = 4;

/// Sends of one bid at most.
const SENDS: usize = 4;

/// Time between two changes of the settings by each operator.
const CHANGE: Duration = Duration::from_millis(900);

/// How long a caller waits.
pub const DEADLINE: Duration = Duration::from_secs(8);

/// Loads the hosts until the end, and waits for all answers.
pub async fn run(trial: &Arc<Trial>, seed: u64, end: Instant) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut tasks = JoinSet::new();
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let seed = random.random();
        tasks.spawn(ask(trial.clone(), number, seed));
        if number % BID == 0 {
            tasks.spawn(bid(trial.clone(), number, seed));
        }
        tokio::time::sleep(MODEL).await;
    }
    while tasks.join_next().await.is_some() {}
}

/// A host that runs, as a caller's kept answer would name it.
fn host(trial: &Trial, random: &mut SmallRng) -> Option<SocketAddr> {
    let hosts = trial.cluster().callers();
    let at = random.random_range(0..hosts.len().max(1));
    hosts.get(at).copied()
}

/// One request to a model.
async fn ask(trial: Arc<Trial>, number: u64, seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let Some(host) = host(&trial, &mut random) else {
        return;
    };
    // Few models are asked for often, the others now and then.
    let model = 1 + random.random_range(0..8_u32).min(random.random_range(0..8));
    let ask = Ask {
        model: Reference::base(format!("model-{model}")),
        prompt: format!("item {number}"),
        tokens: random.random_range(4..40),
        stream: random.random(),
        class: None,
        deadline: Some(DEADLINE),
    };
    let started = Instant::now();
    let end = Caller::new(format!("caller-{}", number % 20))
        .ask(host, &ask)
        .await;
    let request = Request {
        host,
        started,
        ended: Instant::now(),
        stream: ask.stream,
        end,
    };
    trial.log().requests.push(request);
}

/// One bid, sent again through any host until its outcome is known.
async fn bid(trial: Arc<Trial>, number: u64, seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed ^ 1);
    let key = format!("bid-{number}");
    let caller = Caller::new(format!("bidder-{}", number % 20));
    let mut sends = Vec::new();
    for _ in 0..SENDS {
        let Some(host) = host(&trial, &mut random) else {
            break;
        };
        let started = Instant::now();
        let path = "auction/bids";
        let end = caller
            .call(host, http::Method::POST, path, Some(&key), &key)
            .await;
        let answered = end.is_answered();
        sends.push(Request {
            host,
            started,
            ended: Instant::now(),
            stream: false,
            end,
        });
        // A quarter of the callers send again although they were answered.
        if answered && random.random_range(0..4) > 0 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(random.random_range(0..300))).await;
    }
    trial.log().bids.push(Bid { key, sends });
}

/// Two operators that change the settings at once, from equal versions.
pub async fn operators(trial: Arc<Trial>, end: Instant) {
    let mut round = 0;
    while Instant::now() < end {
        round += 1;
        tokio::join!(change(&trial, "ann", round), change(&trial, "ben", round));
        tokio::time::sleep(CHANGE).await;
    }
}

/// One change by one operator, through a host of its own.
async fn change(trial: &Trial, operator: &str, round: u32) {
    let hosts: Vec<SocketAddr> = {
        let cluster = trial.cluster();
        let all = (0..cluster.hosts.len()).filter(|index| cluster.node(*index).is_some());
        all.map(|index| cluster.hosts[index].addresses.operators)
            .collect()
    };
    let at = round as usize * 2 + usize::from(operator == "ben");
    let Some(host) = hosts.get(at % hosts.len().max(1)) else {
        return;
    };
    let settings = operator::call(*host, "GET", "/settings", &json!(null)).await;
    let Some(base) = settings["version"].as_u64() else {
        return;
    };
    let queue = 1_000 + round * 2 + u32::from(operator == "ben");
    let body = json!({
        "operator": operator,
        "request": format!("{operator}-{round}"),
        "base": base,
        "text": crate::fleet(queue),
    });
    let answer = operator::call(*host, "POST", "/settings", &body).await;
    if answer["result"] == "accepted" {
        let version = answer["version"].as_u64().unwrap_or_default();
        let now = Instant::now();
        trial.log().accepted.insert(version, (now, queue));
    }
}

impl Request {
    /// Whether the caller was left without a word.
    pub fn is_lost(&self) -> bool {
        matches!(self.end, End::Lost { .. } | End::BrokenOff { .. })
    }
}
