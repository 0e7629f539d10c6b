//! Starts stand-in model workers.

use std::net::SocketAddr;
use std::time::Duration;

use cornelhitch_standin::engine::{self, Engine};
use cornelhitch_standin::store::Store;
use tokio_util::sync::CancellationToken;

/// Number and common properties of the workers.
#[derive(Debug, Clone)]
pub struct WorkerSpec {
    /// Regions, assigned to the workers round-robin.
    pub regions: Vec<String>,
    /// Number of workers.
    pub workers: usize,
    /// Accelerator memory of each worker, in bytes.
    pub memory: u64,
    /// Time between two generated tokens.
    pub token: Duration,
    /// Weight store from which the workers load models.
    pub store: Store,
}

/// Starts the workers, which announce themselves to the hosts at `entries` until `stop` is
/// cancelled.
///
/// Every other worker, beginning with the first, checks fencing tokens.
///
/// # Errors
/// Fails if a worker cannot bind a port.
pub async fn start(
    spec: &WorkerSpec,
    entries: &[SocketAddr],
    stop: &CancellationToken,
) -> Result<Vec<Engine>, engine::Error> {
    let mut engines = Vec::new();
    for index in 0..spec.workers {
        let region = &spec.regions[index % spec.regions.len()];
        let engine = Engine::builder()
            .name(format!("worker-{}", index + 1))
            .region(region.as_str())
            .zone(format!("{region}-1"))
            .memory(spec.memory)
            .token_time(spec.token)
            .fencing(index % 2 == 0)
            .store(spec.store.clone())
            .entries(entries.to_vec())
            .seed(index as u64 + 1)
            .start(stop.child_token())
            .await?;
        engines.push(engine);
    }
    Ok(engines)
}
