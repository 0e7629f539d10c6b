//! Memory for what targets report of themselves, shared by all targets. Each has its share.
//!
//! The state stays for as long as its target is registered, unlike what requests hold. So it has a limit
//! of its own, well below what the process may allocate, and what has no room is refused.

use std::collections::BTreeMap;

use cornelhitch_types::id::TargetId;
use cornelhitch_types::target::{AnnouncedHeartbeat, Holding};

use crate::process_memory::ProcessMemory;
use crate::shared_memory::{Reservation, SharedMemory};

/// Part of what the process may allocate that the state of all targets may take.
const PART: f64 = 0.22;

/// Part of that from which on there is no room for further targets.
const FULL_PART: f64 = 0.875;

/// What one target may hold, relative to what is free.
const SHARE: usize = 1;

/// Memory of a target that holds no model in a process with both roles, in bytes.
const TARGET_BYTES: usize = 3_072;

/// Memory of a model or an adapter that a target holds there, beside its name, in bytes.
const HOLDING_BYTES: usize = 768;
const ADAPTER_BYTES: usize = 88;

/// Fewest targets for which memory is reserved when those that are gone are looked for.
const MIN_FORGET: usize = 64;

/// The memory of a control host for the state of targets.
#[derive(Debug)]
pub struct TargetState {
    memory: SharedMemory<TargetId>,
    /// Bytes from which on there is no room for further targets.
    full_at: usize,
    held: BTreeMap<TargetId, Reservation<TargetId>>,
    /// Number of targets at which those that are gone are forgotten.
    forget_at: usize,
}

impl TargetState {
    /// Creates the memory of a host whose process has this memory.
    #[must_use]
    pub fn new(process: ProcessMemory) -> Self {
        Self {
            memory: SharedMemory::new(process.heap_part(PART), SHARE),
            full_at: process.heap_part(FULL_PART * PART),
            held: BTreeMap::new(),
            forget_at: MIN_FORGET,
        }
    }

    /// Reserves the memory for what a target reports; returns whether its share has room. `is_known` says which
    /// targets are still there.
    pub fn reserve(
        &mut self,
        presence: &AnnouncedHeartbeat,
        is_known: impl Fn(&TargetId) -> bool,
    ) -> bool {
        let target = &presence.heartbeat.target;
        if self.held.len() >= self.forget_at {
            self.forget(|it| it != target && !is_known(it));
        }
        let memory = &self.memory;
        let entry = self.held.entry(target.clone());
        let reservation = entry.or_insert_with(|| memory.reservation(target));
        reservation.resize(size(presence))
    }

    /// Returns whether there is no room for further targets. Forgets those that are gone before, as far as
    /// `is_known` says so.
    pub fn is_full(&mut self, is_known: impl Fn(&TargetId) -> bool) -> bool {
        if self.memory.reserved() >= self.full_at {
            self.forget(|it| !is_known(it));
        }
        self.memory.reserved() >= self.full_at
    }

    /// Forgets the targets that are gone.
    fn forget(&mut self, is_gone: impl Fn(&TargetId) -> bool) {
        self.held.retain(|it, _| !is_gone(it));
        self.forget_at = MIN_FORGET.max(2 * self.held.len());
    }
}

/// Returns the memory that a target's state takes, in bytes.
fn size(presence: &AnnouncedHeartbeat) -> usize {
    let inventory = &presence.heartbeat.inventory;
    TARGET_BYTES + inventory.iter().map(holding_size).sum::<usize>()
}

/// Returns the memory that a copy of a model takes, in bytes.
fn holding_size(holding: &Holding) -> usize {
    let adapters = holding.adapters.iter();
    let adapters = adapters.map(|it| ADAPTER_BYTES + it.len()).sum::<usize>();
    HOLDING_BYTES + holding.model.model.len() + adapters
}
