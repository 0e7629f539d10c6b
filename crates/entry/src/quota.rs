//! A host's allowances: the parts of teams' quotas that it holds under leases of the leader.
//!
//! Sans-I/O. Requests are charged before they are queued, and wait here if what is held does not
//! cover them. Handles the load of one host: teams whose requests arrive in bursts or at many times
//! their quota. The leader's side is `cornelhitch_control::quota`.
//!
//! ```
//! use std::time::Duration;
//! use cornelhitch_entry::quota::{Allowances, Demanded};
//! use cornelhitch_types::quota::{AccountAnswer, Answer, LEASE_LENGTH};
//!
//! let now = Duration::from_secs(5);
//! let mut allowances = Allowances::new(1);
//! let request = Demanded { id: 7, cost: 100, key: 7, plain: false, tokens: true };
//! assert!(allowances.charge(&"night-desk".into(), request, now).is_none());
//! allowances.wait(&"night-desk".into(), request, Duration::from_secs(1), now + Duration::from_secs(1));
//! let report = allowances.report(now).expect("a request waits");
//! let granted = AccountAnswer {
//!     team: "night-desk".into(),
//!     account: report.accounts[0].account,
//!     granted: 100,
//!     open: true,
//!     refusals: Vec::new(),
//! };
//! let answer = Answer {
//!     incarnation: 1,
//!     sequence: report.sequence,
//!     term: 4,
//!     length: LEASE_LENGTH,
//!     accounts: vec![granted],
//! };
//! let decided = allowances.apply(&answer, now);
//! assert_eq!(decided.granted[0].0, 7);
//! ```

mod account;
mod counters;
mod demand;
mod team;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use cornelhitch_types::id::{Incarnation, Name, Term, Time};
use cornelhitch_types::quota::{Answer, AskRefusal, Cause, Report};
use serde::Serialize;

use self::account::Account;
pub use self::counters::{TeamCounters, TeamCountersByName};
use self::team::TeamAllowance;
use crate::event::CallId;

/// The minimum interval between reports unless requests wait that the leader does not know of.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// The minimum interval between reports for requests that wait, for each entry host: all hosts
/// together then send at most 667 such reports a second, which a leader with 0.15 of a core answers.
/// With 5 ms a host, 60 hosts kept answers waiting for 0.8 s.
pub const URGENT_INTERVAL_PER_HOST: Duration = Duration::from_micros(1_500);

/// The least interval between reports for requests that wait, so that one report carries the requests
/// of a burst.
pub const MIN_URGENT_INTERVAL: Duration = Duration::from_millis(5);

/// The largest interval between reports for requests that wait: the shortest wait of a request.
pub const MAX_URGENT_INTERVAL: Duration = Duration::from_millis(150);

/// Maximum number of reports whose send times are kept; with [`MIN_URGENT_INTERVAL`] they span more than
/// a lease.
const MAX_UNANSWERED: usize = 512;

/// Identifies an account: the leader's term and the account's number.
pub(crate) type AccountKey = (Term, u64);

/// A request that is to be charged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Demanded {
    /// The request's number.
    pub id: CallId,
    /// What it costs.
    pub cost: u64,
    /// What tells the request when it comes back after a refusal.
    pub key: u64,
    /// Whether it states no token counts.
    pub plain: bool,
    /// Whether the quota counts tokens.
    pub tokens: bool,
}

/// A request that waits for its allowance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct Waiting {
    id: CallId,
    cost: u64,
    key: u64,
    patience: Duration,
    /// When it stops waiting.
    until: Time,
    /// Whether a report has named it.
    asked: bool,
}

/// What a request was charged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Charge {
    team: Name,
    account: AccountKey,
    cost: u64,
    /// When the request was sent on this charge.
    sent: Option<Time>,
}

impl Charge {
    /// Whether a send has used it up.
    #[must_use]
    pub fn is_used(&self) -> bool {
        self.sent.is_some()
    }
}

/// What an answer of the leader decides.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Decided {
    /// Requests that are charged now.
    pub granted: Vec<(CallId, Charge)>,
    /// Requests that get no allowance.
    pub refused: Vec<(CallId, AskRefusal)>,
}

/// The allowances of one host.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Allowances {
    incarnation: Incarnation,
    /// The newest leader's term that this host has heard of.
    term: Term,
    sequence: u64,
    /// The number of the last account that was opened.
    last_account: u64,
    teams: BTreeMap<Name, TeamAllowance>,
    /// Reports whose answers may still arrive, with the times at which they were made.
    #[serde(skip)]
    unanswered: VecDeque<(u64, Time)>,
    reported_at: Option<Time>,
    /// The minimum interval between reports for requests that wait.
    urgent_interval: Duration,
    counters: TeamCountersByName,
}

impl Allowances {
    /// Creates the allowances of an incarnation, which holds nothing.
    #[must_use]
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            term: 0,
            sequence: 0,
            last_account: 0,
            teams: BTreeMap::new(),
            unanswered: VecDeque::new(),
            reported_at: None,
            urgent_interval: MIN_URGENT_INTERVAL,
            counters: TeamCountersByName::default(),
        }
    }

    /// Sets the number of entry hosts that share the leader.
    pub fn set_host_count(&mut self, hosts: usize) {
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        let interval = URGENT_INTERVAL_PER_HOST.saturating_mul(hosts);
        self.urgent_interval = interval.clamp(MIN_URGENT_INTERVAL, MAX_URGENT_INTERVAL);
    }

    /// Charges a request of a team if what is held covers it.
    pub fn charge(&mut self, team: &Name, request: Demanded, now: Time) -> Option<Charge> {
        let state = self.state_of(team, request.tokens);
        state.demand.record(request.cost, request.plain, now);
        let account = state.reserve(request.cost, now)?;
        Some(Charge {
            team: team.clone(),
            account,
            cost: request.cost,
            sent: None,
        })
    }

    /// Lets a request wait for its allowance until `until`. Its caller honours a `Retry-After` up to
    /// `patience`.
    pub fn wait(&mut self, team: &Name, request: Demanded, patience: Duration, until: Time) {
        let state = self.state_of(team, request.tokens);
        state.waiting.push_back(Waiting {
            id: request.id,
            cost: request.cost,
            key: request.key,
            patience,
            until,
            asked: false,
        });
    }

    /// Ends the wait of a request.
    pub fn stop_waiting(&mut self, team: &Name, id: CallId) {
        if let Some(state) = self.teams.get_mut(team) {
            state.waiting.retain(|waiting| waiting.id != id);
        }
    }

    /// Returns the requests that have waited as long as they may, and ends their wait.
    pub fn take_overdue(&mut self, now: Time) -> Vec<CallId> {
        let mut overdue = Vec::new();
        for (team, state) in &mut self.teams {
            state.waiting.retain(|waiting| {
                let waits = now < waiting.until;
                if !waits {
                    overdue.push(waiting.id);
                    self.counters.of(team).unanswered += 1;
                }
                waits
            });
        }
        overdue
    }

    /// Records that a charged request is being sent. If it returns `false` the lease of the charge has
    /// expired, and the request must not be sent.
    pub fn send(&mut self, charge: &mut Charge, now: Time) -> bool {
        let cost = charge.cost;
        let account = self.account_mut(charge);
        let allowed = account.is_some_and(|account| account.send(cost, now));
        if allowed {
            charge.sent = Some(now);
            let counters = self.counters.of(&charge.team);
            counters.sends += 1;
            counters.charged += cost;
        }
        allowed
    }

    /// Releases the charge of a request that will not be sent.
    pub fn release(&mut self, charge: &Charge) {
        let cost = charge.cost;
        if charge.sent.is_some() {
            return;
        }
        if let Some(account) = self.account_mut(charge) {
            account.release(cost);
        }
    }

    /// Makes a charge available for another send, since the target declined to run the request. If it
    /// returns `false` the cost was already reported as spent.
    pub fn undo_send(&mut self, charge: &mut Charge) -> bool {
        let cost = charge.cost;
        let Some(sent) = charge.sent else {
            return false;
        };
        let account = self.account_mut(charge);
        let undone = account.is_some_and(|account| account.undo_send(cost, sent));
        if undone {
            charge.sent = None;
            let counters = self.counters.of(&charge.team);
            counters.declined += cost;
        }
        undone
    }

    /// Drops what is held under expired leases.
    pub fn expire(&mut self, now: Time) {
        for (team, state) in &mut self.teams {
            let (lost, expired) = state.expire(now);
            self.counters.of(team).expired += lost;
            if expired {
                self.last_account += 1;
                let account = Account::new(self.term, self.last_account);
                state.drop_current(account);
            }
        }
    }

    /// Returns a report to send to the leader, if one is due.
    pub fn report(&mut self, now: Time) -> Option<Report> {
        if self.next_report(now)? > now {
            return None;
        }
        self.sequence += 1;
        self.reported_at = Some(now);
        self.unanswered.push_back((self.sequence, now));
        if self.unanswered.len() > MAX_UNANSWERED {
            self.unanswered.pop_front();
        }
        let teams = self.teams.iter_mut();
        let teams = teams.filter(|(_, state)| state.needs_report(now));
        let accounts = teams.map(|(team, state)| state.report(team, now));
        Some(Report {
            incarnation: self.incarnation,
            sequence: self.sequence,
            term: self.term,
            accounts: accounts.collect(),
        })
    }

    /// Applies an answer of the leader: charges waiting requests that are covered now, and returns
    /// those that get no allowance.
    ///
    /// Answers of earlier leaders and those that come later than the length of a lease are ignored.
    pub fn apply(&mut self, answer: &Answer, now: Time) -> Decided {
        let mut decided = Decided::default();
        let asked = self.asked_at(answer);
        let Some(until) = asked.map(|asked| asked + answer.length) else {
            return decided;
        };
        if answer.incarnation != self.incarnation || answer.term < self.term || until <= now {
            return decided;
        }
        self.follow(answer.term);
        for account in &answer.accounts {
            let Some(state) = self.teams.get_mut(&account.team) else {
                continue;
            };
            if state.current.number != account.account {
                continue;
            }
            state.apply(account, until);
            if !account.open {
                self.last_account += 1;
                state.replace_account(Account::new(self.term, self.last_account));
            }
            let refusals = account.refusals.iter();
            let refused = refusals.filter(|refusal| state.refuse(refusal, now));
            let refused: Vec<_> = refused.map(|it| (it.ask, it.clone())).collect();
            let used = refused.iter().filter(|(_, it)| it.cause == Cause::Used);
            self.counters.of(&account.team).refused += used.count() as u64;
            decided.refused.extend(refused);
            let granted = state.charge_waiting(now).into_iter();
            decided.granted.extend(granted.map(|(id, cost, key)| {
                let charge = Charge {
                    team: account.team.clone(),
                    account: key,
                    cost,
                    sent: None,
                };
                (id, charge)
            }));
        }
        decided
    }

    /// Returns when a report or the end of a wait is due; `None` while nothing is held and no request
    /// waits.
    #[must_use]
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        let waiting = self.teams.values().flat_map(|state| &state.waiting);
        let overdue = waiting.map(|waiting| waiting.until).min();
        [self.next_report(now), overdue].into_iter().flatten().min()
    }

    /// Returns what may still be spent for a team: what is free or charged under leases that have not
    /// expired.
    #[must_use]
    pub fn spendable(&self, team: &str, now: Time) -> u64 {
        let team = self.teams.get(team);
        team.map_or(0, |team| team.spendable(now))
    }

    /// Returns the counters by team.
    #[must_use]
    pub fn counters(&self) -> &TeamCountersByName {
        &self.counters
    }

    /// Returns when the next report is due.
    fn next_report(&self, now: Time) -> Option<Time> {
        let teams = self.teams.values();
        let needed = teams.filter_map(|state| state.next_report(now)).min()?;
        let urgent = self.teams.values().any(TeamAllowance::is_urgent);
        let pause = if urgent {
            self.urgent_interval
        } else {
            REPORT_INTERVAL
        };
        let earliest = self.reported_at.map_or(Time::ZERO, |at| at + pause);
        Some(needed.max(earliest))
    }

    /// Returns when the report that an answer belongs to was made, and forgets earlier ones.
    fn asked_at(&mut self, answer: &Answer) -> Option<Time> {
        let place = self
            .unanswered
            .iter()
            .position(|(sequence, _)| *sequence == answer.sequence)?;
        Some(self.unanswered[place].1)
    }

    /// Begins to lease from the leader of another term: what was leased from its predecessor may be
    /// spent until that lease expires.
    fn follow(&mut self, term: Term) {
        if term == self.term {
            return;
        }
        self.term = term;
        for state in self.teams.values_mut() {
            let number = state.current.number;
            state.replace_account(Account::new(term, number));
        }
    }

    /// Returns the state of a team, without what was leased in another unit.
    fn state_of(&mut self, team: &Name, tokens: bool) -> &mut TeamAllowance {
        let known = self.teams.get(team);
        let other_unit = known.is_some_and(|known| known.tokens != tokens);
        if known.is_none() || other_unit {
            self.last_account += 1;
        }
        let account = Account::new(self.term, self.last_account);
        let state = self
            .teams
            .entry(team.clone())
            .or_insert_with(|| TeamAllowance::new(tokens, account.clone()));
        if other_unit {
            state.tokens = tokens;
            state.drop_accounts(account);
        }
        state
    }

    /// Returns the account of a charge, if its lease may still be valid.
    fn account_mut(&mut self, charge: &Charge) -> Option<&mut Account> {
        self.teams
            .get_mut(&charge.team)?
            .account_mut(charge.account)
    }
}
