//! One team's allowances at this host, and the requests that wait for them.

use std::collections::VecDeque;
use std::time::Duration;

use cornelhitch_types::id::{Name, Time};
use cornelhitch_types::quota::{
    AccountAnswer, AccountReport, Ask, AskRefusal, Cause, LEASE_LENGTH,
};
use serde::Serialize;

use super::account::Account;
use super::demand::Demand;
use super::{AccountKey, Waiting};
use crate::event::CallId;

/// The time left at which a lease on something held is renewed, so that two reports may be lost.
const RENEWAL_TIME: Duration = Duration::from_millis(900);

/// The minimum interval between reports only for what is wanted ahead: while the quota is used up,
/// the leader cannot grant it.
const AHEAD_INTERVAL: Duration = Duration::from_millis(600);

/// Multiple of what is wanted ahead above which allowances are returned.
const EXCESS_FACTOR: u64 = 2;

/// One team's allowances.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(super) struct TeamAllowance {
    pub(super) tokens: bool,
    /// The account whose lease is renewed.
    pub(super) current: Account,
    /// Accounts whose leases are not renewed any more.
    closing: Vec<Account>,
    pub(super) waiting: VecDeque<Waiting>,
    pub(super) demand: Demand,
    /// What was reported as spent.
    reported: u64,
    /// When a report last contained the account.
    reported_at: Option<Time>,
}

impl TeamAllowance {
    /// Creates the state of a team that holds nothing.
    pub(super) fn new(tokens: bool, account: Account) -> Self {
        Self {
            tokens,
            current: account,
            closing: Vec::new(),
            waiting: VecDeque::new(),
            demand: Demand::default(),
            reported: 0,
            reported_at: None,
        }
    }

    /// Replaces the account; what the old one holds may be spent until its lease expires.
    pub(super) fn replace_account(&mut self, account: Account) {
        let old = std::mem::replace(&mut self.current, account);
        if old.granted > 0 {
            self.closing.push(old);
        }
        self.reported = 0;
        for waiting in &mut self.waiting {
            waiting.asked = false;
        }
    }

    /// Replaces the account, whose lease has expired.
    pub(super) fn drop_current(&mut self, account: Account) {
        self.current.granted = 0;
        self.replace_account(account);
    }

    /// Drops all that is held.
    pub(super) fn drop_accounts(&mut self, account: Account) {
        self.replace_account(account);
        self.closing.clear();
    }

    /// Drops accounts whose leases have expired; returns what was lost with them and whether the
    /// current one is among them.
    pub(super) fn expire(&mut self, now: Time) -> (u64, bool) {
        let mut lost = 0;
        self.closing.retain(|account| {
            let live = account.is_live(now);
            lost += if live { 0 } else { account.free() };
            live
        });
        let expired = self.current.until.is_some_and(|until| until <= now);
        if expired {
            lost += self.current.free();
        }
        (lost, expired)
    }

    /// Charges a request that is to be sent; returns the account that covers it.
    pub(super) fn reserve(&mut self, cost: u64, now: Time) -> Option<AccountKey> {
        let closing = self.closing.iter_mut();
        let mut accounts = closing.chain(std::iter::once(&mut self.current));
        let account = accounts.find(|account| account.free() >= cost && account.is_live(now))?;
        account
            .reserve(cost, now)
            .then_some((account.term, account.number))
    }

    /// Returns what may still be spent.
    pub(super) fn spendable(&self, now: Time) -> u64 {
        let accounts = self.closing.iter().chain(std::iter::once(&self.current));
        let live = accounts.filter(|account| account.is_live(now));
        live.map(Account::spendable).sum()
    }

    /// Returns an account.
    pub(super) fn account_mut(&mut self, key: AccountKey) -> Option<&mut Account> {
        let closing = self.closing.iter_mut();
        let mut accounts = closing.chain(std::iter::once(&mut self.current));
        accounts.find(|account| (account.term, account.number) == key)
    }

    /// Applies what the leader has granted to the current account.
    pub(super) fn apply(&mut self, answer: &AccountAnswer, until: Time) {
        let account = &mut self.current;
        account.granted = account.granted.max(answer.granted);
        if answer.open {
            account.until = account.until.max(Some(until));
        }
    }

    /// Ends the wait of a request that gets no allowance; returns whether it is to be refused. One that
    /// may wait until a new leader is ready is not.
    pub(super) fn refuse(&mut self, refusal: &AskRefusal, now: Time) -> bool {
        let ready = refusal.wait.map(|wait| now + wait);
        let waiting = self.waiting.iter();
        let place = waiting.enumerate().find(|(_, it)| it.id == refusal.ask);
        let Some((place, waiting)) = place else {
            return false;
        };
        let worth_waiting = ready.is_some_and(|ready| ready < waiting.until);
        if refusal.cause == Cause::NotReady && worth_waiting {
            return false;
        }
        self.waiting.remove(place);
        true
    }

    /// Charges the waiting requests that are covered now, in turn; returns each with its cost and the
    /// account.
    pub(super) fn charge_waiting(&mut self, now: Time) -> Vec<(CallId, u64, AccountKey)> {
        let mut charged = Vec::new();
        for waiting in std::mem::take(&mut self.waiting) {
            match self.reserve(waiting.cost, now) {
                Some(account) => charged.push((waiting.id, waiting.cost, account)),
                None => self.waiting.push_back(waiting),
            }
        }
        charged
    }

    /// Whether a request waits that the leader has not been asked about.
    pub(super) fn is_urgent(&self) -> bool {
        self.waiting.iter().any(|waiting| !waiting.asked)
    }

    /// Whether a report should contain the account.
    pub(super) fn needs_report(&self, now: Time) -> bool {
        let account = &self.current;
        let settles = account.next_settlement().is_some_and(|at| at <= now);
        let spent = settles || account.spent > self.reported;
        !self.waiting.is_empty()
            || spent
            || self.renewal().is_some_and(|at| at <= now)
            || self.excess(now) > 0
            || self.ahead_report(now).is_some_and(|at| at <= now)
    }

    /// Returns when the account will need a report, if nothing else happens.
    pub(super) fn next_report(&self, now: Time) -> Option<Time> {
        if self.needs_report(now) {
            return Some(now);
        }
        let settlement = self.current.next_settlement();
        let times = [settlement, self.renewal(), self.ahead_report(now)];
        times.into_iter().flatten().min()
    }

    /// Returns when the lease on what is held has to be renewed.
    fn renewal(&self) -> Option<Time> {
        let until = self.current.until.filter(|_| self.current.held() > 0)?;
        let due = until.saturating_sub(RENEWAL_TIME);
        // A report that has not been answered is repeated after a while.
        let pause = LEASE_LENGTH.saturating_sub(RENEWAL_TIME) / 2;
        let repeated = self.reported_at.map_or(Time::ZERO, |at| at + pause);
        Some(due.max(repeated))
    }

    /// Returns when a report is due because less than half of what is wanted ahead is free; `None`
    /// if more is.
    fn ahead_report(&self, now: Time) -> Option<Time> {
        let ahead = self.demand.ahead(now);
        let lacks = ahead > 0 && self.current.free() < ahead.div_ceil(2);
        let earliest = self
            .reported_at
            .map_or(Time::ZERO, |at| at + AHEAD_INTERVAL);
        lacks.then_some(earliest)
    }

    /// Returns what is free and not wanted.
    fn excess(&self, now: Time) -> u64 {
        if !self.waiting.is_empty() {
            return 0;
        }
        let ahead = self.demand.ahead(now);
        let free = self.current.free();
        if free > ahead.saturating_mul(EXCESS_FACTOR) {
            free - ahead
        } else {
            0
        }
    }

    /// Returns the account's part of a report, and returns what is not wanted.
    pub(super) fn report(&mut self, team: &Name, now: Time) -> AccountReport {
        self.current.settle(now);
        self.current.returned += self.excess(now);
        self.reported = self.current.spent;
        self.reported_at = Some(now);
        let waiting = self.waiting.iter_mut();
        let asks = waiting.map(|waiting| {
            waiting.asked = true;
            Ask {
                id: waiting.id,
                cost: waiting.cost,
                key: waiting.key,
                patience: waiting.patience,
            }
        });
        AccountReport {
            team: team.clone(),
            account: self.current.number,
            tokens: self.tokens,
            received: self.current.granted,
            spent: self.current.spent,
            returned: self.current.returned,
            free: self.current.free(),
            ahead: self.demand.ahead(now),
            asks: asks.collect(),
        }
    }
}
