//! Linearizable reads: barriers confirmed by a quorum or a lease (`ReadIndex` in Ongaro's thesis,
//! §6.4).

use super::Core;
use crate::action::{Action, RejectReason};
use crate::config::Fault;
use crate::id::{Index, RequestId, Time};
use crate::status::Role;

/// A pending linearizable read.
#[derive(Debug)]
pub(super) struct Barrier {
    pub(super) id: RequestId,
    /// Without a lease, a quorum must have echoed a stamp later than this one.
    stamp: Time,
    /// Read index: this entry must be applied first.
    index: Index,
}

impl Core {
    pub(super) fn on_barrier(&mut self, id: RequestId) {
        if self.has_fault(Fault::StaleBarrier) {
            return self.actions.push(Action::BarrierDone { id });
        }
        if self.role != Role::Leader {
            return self.reject(id, RejectReason::NotLeader);
        }
        let index = self.commit.max(self.term_start_index);
        let stamp = self.next_stamp();
        self.barriers.push_back(Barrier { id, stamp, index });
        if !self.reads_by_lease() {
            self.heartbeat_at = self.now;
        }
    }

    /// Whether this leader may serve reads under its lease without confirmation by a quorum.
    fn reads_by_lease(&self) -> bool {
        self.config.lease_reads && self.lease(self.now).is_some()
    }

    /// Completes the barriers whose conditions are met.
    pub(super) fn complete_barriers(&mut self) {
        let leased = self.reads_by_lease();
        let quorum_stamp = self.quorum_stamp(Time::MAX).unwrap_or_default();
        while let Some(barrier) = self.barriers.front() {
            let confirmed = leased || quorum_stamp > barrier.stamp;
            if !confirmed || self.applied < barrier.index {
                return;
            }
            let id = barrier.id;
            self.barriers.pop_front();
            self.actions.push(Action::BarrierDone { id });
        }
    }
}
