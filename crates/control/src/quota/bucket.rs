//! The token bucket of one team, and what its hosts hold of it.

use std::collections::BTreeMap;

use cornelhitch_types::id::{HostId, Incarnation, Time};
use cornelhitch_types::quota::{
    AccountAnswer, AccountReport, Ask, AskRefusal, Cause, guarded_lease,
};
use cornelhitch_types::team::{Quota, QuotaUnit};
use serde::{Serialize, Serializer};

use super::recent::RecentDemand;
use super::reservations::{Reservations, Supply};
use super::terms::Terms;

/// The part of the capacity that hosts may hold ahead of demand; the rest is for requests that ask.
const AHEAD_DIVISOR: u64 = 2;

/// The part of what may still be held ahead that one answer grants, so that one host does not take
/// it all.
const AHEAD_GRANT_DIVISOR: u64 = 4;

/// The part of the capacity that a leader never lets hosts hold, unless the burst needs it. Its successor
/// may grant as much before the leases of its predecessor have expired.
const RESERVE_DIVISOR: u64 = 8;

/// Which part of the capacity a leader may let hosts hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(super) enum Phase {
    /// None until a time: leases of several earlier leaders may be spent until then.
    Waiting(Time),
    /// The reserve until a time: leases of the predecessor may be spent until then.
    Reserve(Time),
    /// All but the reserve: leases of earlier leaders have expired.
    Ready,
}

/// Identifies an account of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub(super) struct AccountId {
    pub(super) host: HostId,
    pub(super) incarnation: Incarnation,
    pub(super) number: u64,
}

/// What a host holds of a team's bucket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct Account {
    /// When the host has certainly stopped to spend from it.
    until: Time,
    /// Whether its lease is extended.
    open: bool,
    granted: u64,
    spent: u64,
    returned: u64,
    /// Requests granted by answers that the host may not have, with the total granted up to them.
    unconfirmed: Vec<(u64, u64)>,
}

impl Account {
    /// Returns what the host may still spend.
    fn held(&self) -> u64 {
        self.granted
            .saturating_sub(self.spent)
            .saturating_sub(self.returned)
    }
}

/// What has become of a team's units since the leader's term began.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Totals {
    /// Units granted to hosts.
    pub granted: u64,
    /// Units that hosts have reported as spent.
    pub spent: u64,
    /// Units that hosts have given back.
    pub returned: u64,
    /// Units held under leases that expired; they count as spent.
    pub expired: u64,
    /// Requests refused because the quota was used up.
    pub refused: u64,
}

/// The token bucket of one team.
///
/// `available` and what hosts hold never exceed the capacity together, but for what was leased before
/// the quota was lowered. So use in any window is at most the capacity and the refill in the window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(super) struct Bucket {
    quota: Quota,
    capacity: u64,
    /// In units per 1,000 s.
    refill: u64,
    available: u64,
    /// Refilled part of a unit, in 10^-12 units.
    fraction: u128,
    refilled_at: Time,
    #[serde(serialize_with = "as_list")]
    accounts: BTreeMap<AccountId, Account>,
    reservations: Reservations,
    /// What requests that were not told to come back have asked for.
    new_demand: RecentDemand,
    phase: Phase,
    pub(super) totals: Totals,
}

impl Bucket {
    /// Creates a bucket that was empty at `since`.
    pub(super) fn new(quota: Quota, terms: &Terms, since: Time) -> Self {
        Self {
            quota,
            capacity: terms.capacity(&quota),
            refill: terms.refill(&quota),
            available: 0,
            fraction: 0,
            refilled_at: since,
            accounts: BTreeMap::new(),
            reservations: Reservations::default(),
            new_demand: RecentDemand::default(),
            phase: Phase::Ready,
            totals: Totals::default(),
        }
    }

    /// Applies another quota. If the capacity shrinks, no lease is extended any more, so that what
    /// was granted under the old quota is spent or has expired after the length of a lease.
    pub(super) fn set_quota(&mut self, quota: Quota, terms: &Terms, now: Time) {
        if quota == self.quota {
            return;
        }
        self.advance(self.phase, now);
        let other_unit = counts_tokens(&quota) != counts_tokens(&self.quota);
        let capacity = terms.capacity(&quota);
        if other_unit || capacity < self.capacity {
            for account in self.accounts.values_mut() {
                account.open = false;
            }
        }
        if other_unit {
            self.available = 0;
            self.reservations = Reservations::default();
        }
        self.quota = quota;
        self.capacity = capacity;
        self.refill = terms.refill(&quota);
        self.available = self.available.min(self.room());
    }

    /// Refills the bucket, and counts what is held under expired leases as spent.
    pub(super) fn advance(&mut self, phase: Phase, now: Time) {
        self.phase = phase;
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let refill = u128::from(self.refill) * elapsed.as_nanos() + self.fraction;
        self.fraction = refill % 1_000_000_000_000;
        let units = u64::try_from(refill / 1_000_000_000_000).unwrap_or(u64::MAX);
        self.available = self.available.saturating_add(units).min(self.room());
        let totals = &mut self.totals;
        self.accounts.retain(|_, account| {
            let live = now <= account.until;
            if !live {
                totals.expired += account.held();
            }
            live
        });
        self.reservations.expire(now);
    }

    /// Returns the part of the capacity that is kept for a successor.
    fn reserve(&self) -> u64 {
        let spare = self.capacity.saturating_sub(self.quota.burst);
        (self.capacity / RESERVE_DIVISOR).min(spare)
    }

    /// Returns what may be available at most.
    fn room(&self) -> u64 {
        let capacity = match self.phase {
            Phase::Reserve(_) => self.reserve(),
            Phase::Waiting(_) | Phase::Ready => self.capacity,
        };
        capacity.saturating_sub(self.held())
    }

    /// Returns the units that may be granted now.
    pub(super) fn grantable(&self) -> u64 {
        let most_held = match self.phase {
            Phase::Waiting(_) => 0,
            Phase::Reserve(_) => self.reserve(),
            Phase::Ready => self.most_held(),
        };
        self.available.min(most_held.saturating_sub(self.held()))
    }

    /// Returns what hosts may hold at most.
    fn most_held(&self) -> u64 {
        self.capacity - self.reserve()
    }

    /// Returns what all hosts hold.
    pub(super) fn held(&self) -> u64 {
        let held = self.accounts.values().map(Account::held);
        held.fold(0, u64::saturating_add)
    }

    /// Returns the units that no host holds.
    pub(super) fn available(&self) -> u64 {
        self.available
    }

    /// Whether the bucket is as full as a new one could be, so that it can be dropped.
    pub(super) fn is_full(&self) -> bool {
        self.accounts.is_empty() && self.available >= self.capacity
    }

    /// Applies a host's report and answers it. `known` tells whether the report's totals belong to
    /// this leader's term.
    pub(super) fn report(
        &mut self,
        id: AccountId,
        report: &AccountReport,
        known: bool,
        phase: Phase,
        now: Time,
    ) -> AccountAnswer {
        self.advance(phase, now);
        let opens = !known || report.received == 0;
        let fits = report.tokens == counts_tokens(&self.quota);
        if opens && fits {
            self.accounts.entry(id).or_insert_with(|| Account {
                until: now,
                open: true,
                granted: 0,
                spent: 0,
                returned: 0,
                unconfirmed: Vec::new(),
            });
        }
        if known {
            self.settle(id, report);
        }
        let Some(account) = self.accounts.get_mut(&id) else {
            return closed(report, 0);
        };
        if !account.open {
            return closed(report, account.granted);
        }
        account.until = now + guarded_lease();
        let received = if known { report.received } else { 0 };
        account
            .unconfirmed
            .retain(|(_, granted)| *granted > received);
        let refusals = self.grant_asks(id, &report.asks, now);
        if phase == Phase::Ready {
            self.grant_ahead(id, report, received, now);
        }
        AccountAnswer {
            team: report.team.clone(),
            account: report.account,
            granted: self.accounts.get(&id).map_or(0, |it| it.granted),
            open: true,
            refusals,
        }
    }

    /// Records what a host has spent and returned.
    fn settle(&mut self, id: AccountId, report: &AccountReport) {
        let Some(account) = self.accounts.get_mut(&id) else {
            return;
        };
        let spent = report.spent.saturating_sub(account.spent);
        let returned = report.returned.saturating_sub(account.returned);
        account.spent += spent;
        account.returned += returned;
        self.totals.spent += spent;
        self.totals.returned += returned;
        self.available = self.available.saturating_add(returned).min(self.room());
    }

    /// Grants requests their allowances in turn; returns those that get none now.
    fn grant_asks(&mut self, id: AccountId, asks: &[Ask], now: Time) -> Vec<AskRefusal> {
        let mut refusals = Vec::new();
        for ask in asks {
            let account = self.accounts.get(&id);
            let granted = account.is_some_and(|account| {
                let mut unconfirmed = account.unconfirmed.iter();
                unconfirmed.any(|(granted, _)| *granted == ask.id)
            });
            if granted {
                continue;
            }
            let admitted = self.admits(ask, now);
            match self.phase {
                _ if admitted => self.grant_ask(id, ask),
                Phase::Waiting(until) | Phase::Reserve(until) => refusals.push(AskRefusal {
                    ask: ask.id,
                    cause: Cause::NotReady,
                    wait: Some(until.saturating_sub(now)),
                }),
                Phase::Ready => refusals.push(self.refuse(ask, now)),
            }
        }
        refusals
    }

    /// Whether a request may take its units now.
    fn admits(&mut self, ask: &Ask, now: Time) -> bool {
        if !self.reservations.contains(ask.key) {
            self.new_demand.record(ask.cost, now);
        }
        let supply = self.supply();
        self.reservations.admits(ask.key, ask.cost, supply, now)
    }

    /// Grants a request its allowance.
    fn grant_ask(&mut self, id: AccountId, ask: &Ask) {
        self.reservations.take(ask.key);
        self.grant(id, ask.cost);
        if let Some(account) = self.accounts.get_mut(&id) {
            account.unconfirmed.push((ask.id, account.granted));
        }
    }

    /// Returns the refusal of a request that the bucket has no room for now.
    fn refuse(&mut self, ask: &Ask, now: Time) -> AskRefusal {
        self.totals.refused += 1;
        let supply = self.supply_for_returning(now);
        let wait = if ask.cost > self.most_held() {
            None
        } else {
            self.reservations
                .promise(ask.key, ask.cost, supply, ask.patience, now)
        };
        AskRefusal {
            ask: ask.id,
            cause: Cause::Used,
            wait,
        }
    }

    /// Grants a host a part of what it wants to hold ahead of demand, from what no request that was
    /// told to come back needs.
    fn grant_ahead(&mut self, id: AccountId, report: &AccountReport, received: u64, now: Time) {
        let Some(account) = self.accounts.get(&id) else {
            return;
        };
        let under_way = account.granted.saturating_sub(received);
        let wanted = report.ahead.saturating_sub(report.free);
        let wanted = wanted.saturating_sub(under_way);
        let limit = (self.capacity / AHEAD_DIVISOR).saturating_sub(self.held());
        let spare = self.grantable().saturating_sub(self.reservations.sum());
        let amount = wanted.min(limit.min(spare) / AHEAD_GRANT_DIVISOR);
        self.new_demand.record(amount, now);
        self.grant(id, amount);
    }

    /// Moves units from the bucket to a host's account.
    fn grant(&mut self, id: AccountId, amount: u64) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.granted += amount;
            self.available = self.available.saturating_sub(amount);
            self.totals.granted += amount;
        }
    }

    /// Whether new requests alone have lately asked for more than rate and burst allow.
    fn is_exceeded(&self, now: Time) -> bool {
        let quota = &self.quota;
        let allowed = u128::from(quota.rate) * RecentDemand::SPAN.as_millis() / 1_000_000;
        let allowed = allowed + u128::from(quota.burst);
        u128::from(self.new_demand.sum(now)) > allowed
    }

    /// Returns what refused requests may be told to come back for.
    ///
    /// While new requests alone exceed the quota, that is the overshoot. With the whole refill, callers
    /// that come back late would take all of it, and new ones, which could still be served within
    /// their objectives, would be refused in their place.
    fn supply_for_returning(&self, now: Time) -> Supply {
        let supply = self.supply();
        let overshoot = supply.rate.saturating_sub(self.quota.rate);
        // Without an overshoot, callers would be told no time at all.
        let rate = if overshoot > 0 && self.is_exceeded(now) {
            overshoot
        } else {
            supply.rate
        };
        Supply { rate, ..supply }
    }

    /// Returns the level and the refill.
    fn supply(&self) -> Supply {
        Supply {
            available: self.grantable(),
            rate: self.refill,
        }
    }
}

/// Serializes accounts as a list, since JSON has no structured keys.
fn as_list<S: Serializer>(
    accounts: &BTreeMap<AccountId, Account>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_seq(accounts)
}

/// Whether a quota counts tokens.
fn counts_tokens(quota: &Quota) -> bool {
    matches!(quota.unit, QuotaUnit::Tokens { .. })
}

/// Returns the answer about an account whose lease is not extended.
fn closed(report: &AccountReport, granted: u64) -> AccountAnswer {
    AccountAnswer {
        team: report.team.clone(),
        account: report.account,
        granted,
        open: false,
        refusals: Vec::new(),
    }
}
