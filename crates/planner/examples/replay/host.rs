//! Simulated workers and their caches in host memory and on disk.

use cornelhitch_planner::fleet_state::{WeightCopy, Worker};
use cornelhitch_types::id::{ModelId, RegionId};
use cornelhitch_types::target::Stage;

use super::cache::Cache;

/// Accelerator memory of a worker, in bytes.
const ACCELERATOR_MEMORY: u64 = 48 << 30;
/// Number of accelerators of a worker.
const ACCELERATORS: u32 = 2;
/// Disk space of a worker for copies, in bytes.
const DISK_CACHE: u64 = 96 << 30;
/// Host memory of a worker for copies, in bytes.
const HOST_CACHE: u64 = 32 << 30;
/// Number of zones in a region.
const ZONES: usize = 2;

/// A worker's caches in host memory and on disk.
#[derive(Debug, Clone)]
pub struct WorkerCaches {
    /// Copies on disk.
    pub disk: Cache,
    /// Copies in host memory.
    pub memory: Cache,
}

impl WorkerCaches {
    /// Creates empty caches.
    pub fn new() -> Self {
        Self {
            disk: Cache::new(DISK_CACHE),
            memory: Cache::new(HOST_CACHE),
        }
    }

    /// Drops the copies in host memory.
    pub fn lose_host_memory(&mut self) {
        self.memory = Cache::new(HOST_CACHE);
    }

    /// Returns the copies as the worker reports them.
    pub fn copies(&self) -> Vec<WeightCopy> {
        let list = |cache: &Cache, stage: Stage| -> Vec<WeightCopy> {
            let copy = |model: &ModelId| WeightCopy {
                model: model.clone(),
                stage,
            };
            cache.iter().map(copy).collect()
        };
        let mut copies = list(&self.disk, Stage::Disk);
        copies.extend(list(&self.memory, Stage::Memory));
        copies
    }

    /// Returns the stage of the nearest copy.
    pub fn nearest_stage(&self, model: &str) -> Stage {
        if self.memory.has(model) {
            Stage::Memory
        } else if self.disk.has(model) {
            Stage::Disk
        } else {
            Stage::Remote
        }
    }
}

/// Creates an empty worker in a region.
pub fn worker(region: &RegionId, index: usize) -> Worker {
    Worker {
        target: format!("{region}-worker-{}", index + 1).into(),
        region: region.clone(),
        zone: format!("{region}-zone-{}", index % ZONES + 1).into(),
        memory: ACCELERATOR_MEMORY,
        free: ACCELERATOR_MEMORY,
        accelerators: ACCELERATORS,
        accepts_loads: true,
        copies: Vec::new(),
        cooldowns: Vec::new(),
    }
}
