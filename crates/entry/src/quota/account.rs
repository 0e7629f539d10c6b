//! What a host holds of one team's bucket under one lease.

use std::collections::VecDeque;
use std::time::Duration;

use cornelhitch_types::id::{Term, Time};
use serde::Serialize;

/// How long after its send a request's cost is reported as spent. Until then the cost is given back
/// if the target declines to run it: the way to another region and back, and the target's answer.
///
/// What was reported as spent cannot be taken back, since the leader may have refilled its bucket.
const SETTLE_TIME: Duration = Duration::from_millis(250);

/// What a host holds under one lease, as totals since the account was opened.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(super) struct Account {
    /// The term of the leader that opened it; 0 before the first answer.
    pub(super) term: Term,
    pub(super) number: u64,
    /// When the lease expires; `None` before the first answer.
    pub(super) until: Option<Time>,
    pub(super) granted: u64,
    pub(super) returned: u64,
    /// The cost of requests that were sent more than [`SETTLE_TIME`] ago.
    pub(super) spent: u64,
    /// The costs of requests that have been charged and not sent.
    reserved: u64,
    /// The costs of requests that were sent after that, with the times.
    recent: VecDeque<(Time, u64)>,
}

impl Account {
    /// Creates an account that holds nothing.
    pub(super) fn new(term: Term, number: u64) -> Self {
        Self {
            term,
            number,
            until: None,
            granted: 0,
            returned: 0,
            spent: 0,
            reserved: 0,
            recent: VecDeque::new(),
        }
    }

    /// Whether what it holds may be spent.
    pub(super) fn is_live(&self, now: Time) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns what it holds that is not spent, as the leader counts it.
    pub(super) fn held(&self) -> u64 {
        self.granted
            .saturating_sub(self.spent)
            .saturating_sub(self.returned)
    }

    /// Returns what it holds for requests that have not been sent.
    pub(super) fn spendable(&self) -> u64 {
        let recent = self.recent.iter().map(|(_, cost)| cost);
        self.held().saturating_sub(recent.sum())
    }

    /// Returns what new requests may be charged.
    pub(super) fn free(&self) -> u64 {
        self.spendable().saturating_sub(self.reserved)
    }

    /// Charges a request that is to be sent; returns whether the account covers it.
    pub(super) fn reserve(&mut self, cost: u64, now: Time) -> bool {
        let covered = self.is_live(now) && cost <= self.free();
        if covered {
            self.reserved += cost;
        }
        covered
    }

    /// Releases the charge of a request that will not be sent.
    pub(super) fn release(&mut self, cost: u64) {
        self.reserved = self.reserved.saturating_sub(cost);
    }

    /// Records that a charged request is being sent; returns whether it may be.
    pub(super) fn send(&mut self, cost: u64, now: Time) -> bool {
        let allowed = self.is_live(now);
        if allowed {
            self.release(cost);
            self.recent.push_back((now, cost));
        }
        allowed
    }

    /// Turns the cost of a send that did not run into a charge again; returns whether that is still
    /// possible.
    pub(super) fn undo_send(&mut self, cost: u64, sent: Time) -> bool {
        let place = self.recent.iter().position(|send| *send == (sent, cost));
        let Some(place) = place else {
            return false;
        };
        self.recent.remove(place);
        self.reserved += cost;
        true
    }

    /// Counts sends as spent whose targets can no longer decline them.
    pub(super) fn settle(&mut self, now: Time) {
        while let Some((sent, cost)) = self.recent.front().copied()
            && sent + SETTLE_TIME <= now
        {
            self.recent.pop_front();
            self.spent += cost;
        }
    }

    /// Returns when the next send is counted as spent.
    pub(super) fn next_settlement(&self) -> Option<Time> {
        self.recent.front().map(|(sent, _)| *sent + SETTLE_TIME)
    }
}
