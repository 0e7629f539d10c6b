//! Generates the load: callers of models and of the plain service, and operators that change the
//! settings.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cornelhitch_trial::caller::{Caller, ModelRequest, Outcome};
use cornelhitch_trial::operator;
use cornelhitch_types::model::Reference;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use tokio::task::JoinSet;

use crate::Trial;
use crate::checks::{BidRecord, RequestRecord};

/// Interval between two requests to models.
const MODEL_INTERVAL: Duration = Duration::from_millis(15);

/// Number of requests to models per request to the plain service.
const MODEL_REQUESTS_PER_BID: u64 = 4;

/// Limit of attempts for one bid.
const MAX_BID_ATTEMPTS: usize = 4;

/// Pause between two rounds of settings changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(900);

/// Deadline of requests to models.
pub const REQUEST_DEADLINE: Duration = Duration::from_secs(8);

/// Sends requests until `stop_at` and waits for all outcomes.
pub async fn run(trial: &Arc<Trial>, seed: u64, stop_at: Instant) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut tasks = JoinSet::new();
    let mut number = 0;
    while Instant::now() < stop_at {
        number += 1;
        let seed = random.random();
        tasks.spawn(request_model(trial.clone(), number, seed));
        if number % MODEL_REQUESTS_PER_BID == 0 {
            tasks.spawn(send_bid(trial.clone(), number, seed));
        }
        tokio::time::sleep(MODEL_INTERVAL).await;
    }
    while tasks.join_next().await.is_some() {}
}

/// Returns a random running host, as a caller would choose it from a cached list of entry hosts.
fn random_host(trial: &Trial, random: &mut SmallRng) -> Option<SocketAddr> {
    let hosts = trial.cluster().caller_addresses();
    let index = random.random_range(0..hosts.len().max(1));
    hosts.get(index).copied()
}

/// Sends one request to a model and records its outcome.
async fn request_model(trial: Arc<Trial>, number: u64, seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let Some(host) = random_host(&trial, &mut random) else {
        return;
    };
    // The minimum of two draws makes the models with low numbers the most requested.
    let model = 1 + random.random_range(0..8_u32).min(random.random_range(0..8));
    let model_request = ModelRequest {
        model: Reference::base(format!("model-{model}")),
        prompt: format!("item {number}"),
        tokens: random.random_range(4..40),
        stream: random.random(),
        class: None,
        deadline: Some(REQUEST_DEADLINE),
    };
    let started = Instant::now();
    let outcome = Caller::new(format!("caller-{}", number % 20))
        .request_model(host, &model_request)
        .await;
    let record = RequestRecord {
        host,
        started,
        ended: Instant::now(),
        stream: model_request.stream,
        outcome,
    };
    trial.log().requests.push(record);
}

/// Sends one bid, retrying through random hosts until it is answered, and records its attempts.
async fn send_bid(trial: Arc<Trial>, number: u64, seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed ^ 1);
    let key = format!("bid-{number}");
    let caller = Caller::new(format!("bidder-{}", number % 20));
    let mut attempts = Vec::new();
    for _ in 0..MAX_BID_ATTEMPTS {
        let Some(host) = random_host(&trial, &mut random) else {
            break;
        };
        let started = Instant::now();
        let path = "auction/bids";
        let outcome = caller
            .call_service(host, http::Method::POST, path, Some(&key), &key)
            .await;
        let answered = outcome.is_answered();
        attempts.push(RequestRecord {
            host,
            started,
            ended: Instant::now(),
            stream: false,
            outcome,
        });
        // One in four answered attempts is repeated nevertheless.
        if answered && random.random_range(0..4) > 0 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(random.random_range(0..300))).await;
    }
    trial.log().bids.push(BidRecord { key, attempts });
}

/// Runs two operators that change the settings concurrently, starting from the same version.
pub async fn run_operators(trial: Arc<Trial>, stop_at: Instant) {
    let mut round = 0;
    while Instant::now() < stop_at {
        round += 1;
        tokio::join!(
            change_settings(&trial, "ann", round),
            change_settings(&trial, "ben", round)
        );
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
}

/// Submits one settings change of an operator. The two operators use different hosts.
async fn change_settings(trial: &Trial, operator: &str, round: u32) {
    let hosts: Vec<SocketAddr> = {
        let cluster = trial.cluster();
        let running = (0..cluster.hosts.len()).filter(|index| cluster.node(*index).is_some());
        running
            .map(|index| cluster.hosts[index].addresses.operators)
            .collect()
    };
    let index = round as usize * 2 + usize::from(operator == "ben");
    let Some(host) = hosts.get(index % hosts.len().max(1)) else {
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
        "text": crate::fleet_settings(queue),
    });
    let answer = operator::call(*host, "POST", "/settings", &body).await;
    if answer["result"] == "accepted" {
        let version = answer["version"].as_u64().unwrap_or_default();
        let now = Instant::now();
        trial.log().accepted.insert(version, (now, queue));
    }
}

impl RequestRecord {
    /// Whether the caller got neither an answer nor a refusal.
    pub fn is_lost(&self) -> bool {
        matches!(
            self.outcome,
            Outcome::Lost { .. } | Outcome::Interrupted { .. }
        )
    }
}
