//! Stand-in workers of a trial.

use std::net::SocketAddr;
use std::time::Duration;

use cornelhitch_standin::engine::{self, Engine};
use cornelhitch_standin::store::Store;
use tokio_util::sync::CancellationToken;

/// What the workers of a trial have in common.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Regions; workers are dealt out to them in turn.
    pub regions: Vec<String>,
    /// Workers in all.
    pub workers: usize,
    /// Accelerator memory of each, in bytes.
    pub memory: u64,
    /// Time between two tokens.
    pub token: Duration,
    /// The weight store.
    pub store: Store,
}

/// Starts workers that announce themselves to entry hosts.
///
/// Every second one checks fencing numbers.
///
/// # Errors
/// No port can be had.
pub async fn start(
    plan: &Plan,
    entries: &[SocketAddr],
    stop: &CancellationToken,
) -> Result<Vec<Engine>, engine::Error> {
    let mut engines = Vec::new();
    for index in 0..plan.workers {
        let region = &plan.regions[index % plan.regions.len()];
        let engine = Engine::builder()
            .name(format!("worker-{}", index + 1))
            .region(region.as_str())
            .zone(format!("{region}-1"))
            .memory(plan.memory)
            .token(plan.token)
            .fencing(index % 2 == 0)
            .store(plan.store.clone())
            .entries(entries.to_vec())
            .seed(index as u64 + 1)
            .start(stop.child_token())
            .await?;
        engines.push(engine);
    }
    Ok(engines)
}
