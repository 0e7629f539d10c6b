//! Workers and their caches below accelerator memory.

use cornelhitch_planner::picture::{Copy, Worker};
use cornelhitch_types::id::{ModelId, RegionId};
use cornelhitch_types::target::Stage;

use super::cache::Cache;

/// Accelerator memory of a worker, in bytes.
const MEMORY: u64 = 48 << 30;
/// Accelerators of a worker.
const ACCELERATORS: u32 = 2;
/// Disk of a worker for copies, in bytes.
const DISK: u64 = 96 << 30;
/// Host memory of a worker for copies, in bytes.
const HOST: u64 = 32 << 30;
/// Zones in a region.
const ZONES: usize = 2;

/// A worker's caches below accelerator memory.
#[derive(Debug, Clone)]
pub struct Host {
    /// Copies on disk.
    pub disk: Cache,
    /// Copies in host memory.
    pub memory: Cache,
}

impl Host {
    /// A worker with no copies.
    pub fn new() -> Self {
        Self {
            disk: Cache::new(DISK),
            memory: Cache::new(HOST),
        }
    }

    /// Host memory is lost.
    pub fn restart(&mut self) {
        self.memory = Cache::new(HOST);
    }

    /// The copies, as the worker reports them.
    pub fn copies(&self) -> Vec<Copy> {
        let of = |cache: &Cache, stage: Stage| -> Vec<Copy> {
            let copy = |model: &ModelId| Copy {
                model: model.clone(),
                stage,
            };
            cache.iter().map(copy).collect()
        };
        let mut copies = of(&self.disk, Stage::Disk);
        copies.extend(of(&self.memory, Stage::Memory));
        copies
    }

    /// Where the nearest copy is.
    pub fn stage(&self, model: &str) -> Stage {
        if self.memory.has(model) {
            Stage::Memory
        } else if self.disk.has(model) {
            Stage::Disk
        } else {
            Stage::Remote
        }
    }
}

/// A worker of a region.
pub fn worker(region: &RegionId, index: usize) -> Worker {
    Worker {
        target: format!("{region}-worker-{}", index + 1).into(),
        region: region.clone(),
        zone: format!("{region}-zone-{}", index % ZONES + 1).into(),
        memory: MEMORY,
        free: MEMORY,
        accelerators: ACCELERATORS,
        open: true,
        copies: Vec::new(),
        quiet: Vec::new(),
    }
}
