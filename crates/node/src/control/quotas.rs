//! Leases of teams' quotas, granted to entry hosts by the leader.

use std::time::Duration;

use cornelhitch_control::quota::Quotas;
use cornelhitch_types::quota::Report;
use cornelhitch_wire::hello::ProcessId;
use tokio::time::Instant;

use super::Control;
use crate::message::{Downward, Message};

/// Interval between log lines about one team, and between publications of its state as metrics.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The quotas of the leader's term.
pub(crate) struct TermQuotas {
    pub(super) quotas: Quotas,
    logged_at: Instant,
}

impl Control {
    /// Starts to lease quotas in a new term.
    pub(super) fn start_quotas(&mut self) {
        let (terms, now) = (self.setup.quota_terms, self.now());
        let quotas = match self.leaderships.since_predecessor(self.term, now) {
            Some(elapsed) => Quotas::after_leader(terms, self.term, elapsed, now),
            None => Quotas::new(terms, self.term, now),
        };
        self.quotas = Some(TermQuotas {
            quotas,
            logged_at: Instant::now(),
        });
    }

    /// Answers a host's report about its allowances, if this host's own lease proves that it still
    /// leads: its successor grants nothing before the leases that it has granted until now have
    /// expired.
    pub(crate) fn quota_report(&mut self, from: ProcessId, report: &Report) {
        self.apply_quota_table();
        let now = self.now();
        if self.setup.core.lease(now).is_none() {
            return;
        }
        let Some(leased) = &mut self.quotas else {
            return;
        };
        if let Some(answer) = leased.quotas.report(from.host, report, now) {
            let downward = Message::Downward(Downward::Quota(answer));
            self.setup.links.send(from.host, downward);
        }
    }

    /// Applies the teams of the route table in force, refills the buckets and logs refusals.
    pub(super) fn advance_quotas(&mut self) {
        self.apply_quota_table();
        let now = self.now();
        let Some(leased) = &mut self.quotas else {
            return;
        };
        leased.quotas.advance(now);
        if leased.logged_at.elapsed() < LOG_INTERVAL {
            return;
        }
        leased.logged_at = Instant::now();
        self.setup.metrics.show_buckets(leased.quotas.states());
        for (requests, state) in leased.quotas.take_refusals() {
            let totals = state.totals;
            tracing::info!(
                team = &*state.team,
                requests,
                available = state.available,
                held = state.held,
                granted = totals.granted,
                spent = totals.spent,
                returned = totals.returned,
                expired = totals.expired,
                "team refused allowances: its quota is used up"
            );
        }
    }

    /// Applies the teams of the route table in force.
    fn apply_quota_table(&mut self) {
        let now = self.now();
        let table = self.state.current_table();
        let access = table.table().and_then(|table| table.access.as_deref());
        if let Some(leased) = &mut self.quotas {
            leased.quotas.set_teams(table.version(), access, now);
        }
    }

    /// Returns the buckets as JSON, for the operators' dump; null while this host does not lead.
    pub(crate) fn dump_quotas(&self) -> serde_json::Value {
        let quotas = self.quotas.as_ref().map(|leased| &leased.quotas);
        serde_json::to_value(quotas).unwrap_or_default()
    }
}
