//! The leader's side of quotas: one token bucket per team, from which entry hosts lease allowances.
//!
//! Sans-I/O, and part of the leader's soft state. Handles reports of all entry hosts (410 hosts, each
//! at most every 200 ms in the steady state, and at once for requests that wait) and teams whose
//! demand is many times their quota. The design note is `docs/design/quotas.md`.
//!
//! ```
//! use std::time::Duration;
//! use cornelhitch_control::quota::{Quotas, Terms};
//! use cornelhitch_types::quota::Report;
//!
//! let terms = Terms { window: Duration::from_secs(8), overshoot: 0.1, slack: 0.0 };
//! let mut quotas = Quotas::new(terms, 3, Duration::ZERO);
//! let report = Report { incarnation: 1, sequence: 1, term: 0, accounts: Vec::new() };
//! let answer = quotas.report(7, &report, Duration::from_secs(1));
//! assert_eq!(answer.map(|answer| answer.term), Some(3));
//! // A repeated or overtaken report is dropped.
//! assert_eq!(quotas.report(7, &report, Duration::from_secs(1)), None);
//! ```

mod bucket;
mod recent;
mod reservations;
mod terms;

use std::collections::BTreeMap;
use std::time::Duration;

use cornelhitch_types::id::{HostId, Incarnation, Name, Term, Time, Version};
use cornelhitch_types::quota::guarded_lease;
use cornelhitch_types::quota::{AccountAnswer, AccountReport, Answer, LEASE_LENGTH, Report};
use cornelhitch_types::team::{Access, Quota};
use serde::Serialize;

pub use self::bucket::Totals;
use self::bucket::{AccountId, Bucket, Phase};
pub use self::terms::Terms;

/// How long a silent host's report number is kept, which is much longer than a message is under way.
const HOST_RETENTION: Duration = Duration::from_mins(1);

/// The newest report of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
struct HostState {
    incarnation: Incarnation,
    sequence: u64,
    heard_at: Time,
}

/// The state of a team's bucket, for the log, the metrics and the dump.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct TeamState {
    /// The team.
    pub team: Name,
    /// Units that may be granted now.
    pub available: u64,
    /// Units that hosts hold under leases.
    pub held: u64,
    /// What has become of the team's units in this term.
    pub totals: Totals,
}

/// The buckets of all teams within one leader's term.
///
/// A new leader knows nothing of what its predecessors have leased. Its buckets were empty when its
/// term began. Until those leases have expired it grants nothing, or only what its predecessor has
/// never let hosts hold ([`Quotas::after_leader`]).
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Quotas {
    #[serde(skip)]
    terms: Terms,
    term: Term,
    since: Time,
    ready_at: Time,
    /// Whether only leases of the direct predecessor may be left.
    one_predecessor: bool,
    version: Version,
    teams: BTreeMap<Name, Option<Quota>>,
    buckets: BTreeMap<Name, Bucket>,
    hosts: BTreeMap<HostId, HostState>,
    /// Refusals by team when they were last logged.
    #[serde(skip)]
    logged: BTreeMap<Name, u64>,
}

impl Quotas {
    /// Creates the buckets at the start of a term.
    #[must_use]
    pub fn new(terms: Terms, term: Term, now: Time) -> Self {
        Self {
            terms,
            term,
            since: now,
            ready_at: now + guarded_lease(),
            one_predecessor: false,
            version: 0,
            teams: BTreeMap::new(),
            buckets: BTreeMap::new(),
            hosts: BTreeMap::new(),
            logged: BTreeMap::new(),
        }
    }

    /// As [`Quotas::new`], for a leader whose direct predecessor is known to have begun to lead `elapsed`
    /// ago. If that is longer than leases last, those of leaders before it have expired. The predecessor
    /// never lets hosts hold the whole capacity, so that the rest can be granted at once.
    #[must_use]
    pub fn after_leader(terms: Terms, term: Term, elapsed: Duration, now: Time) -> Self {
        // Twice the drift, since this time comes from another clock than the leases.
        let one_predecessor = elapsed > guarded_lease() + guarded_lease() / 5;
        Self {
            one_predecessor,
            ..Self::new(terms, term, now)
        }
    }

    /// Returns what hosts may be granted at a time.
    fn phase(&self, now: Time) -> Phase {
        if now >= self.ready_at {
            Phase::Ready
        } else if self.one_predecessor {
            Phase::Reserve(self.ready_at)
        } else {
            Phase::Waiting(self.ready_at)
        }
    }

    /// Applies the teams of a route table, unless its version is applied already.
    pub fn set_teams(&mut self, version: Version, access: Option<&Access>, now: Time) {
        if version == self.version {
            return;
        }
        self.version = version;
        let teams = access.map_or(&[][..], |access| &access.teams);
        let teams = teams.iter().map(|team| (team.name.clone(), team.quota));
        self.teams = teams.collect();
        for (team, quota) in &self.teams {
            let Some(quota) = *quota else {
                continue;
            };
            self.buckets
                .entry(team.clone())
                .or_insert_with(|| Bucket::new(quota, &self.terms, self.since))
                .set_quota(quota, &self.terms, now);
        }
    }

    /// Refills the buckets, ends expired leases and drops what is no longer needed.
    pub fn advance(&mut self, now: Time) {
        let phase = self.phase(now);
        for bucket in self.buckets.values_mut() {
            bucket.advance(phase, now);
        }
        // The bucket of a team that was removed is kept until it is full, since the team may return.
        let teams = &self.teams;
        self.buckets.retain(|team, bucket| {
            let in_use = teams.get(team).is_some_and(Option::is_some);
            in_use || !bucket.is_full()
        });
        self.hosts
            .retain(|_, host| now <= host.heard_at + HOST_RETENTION);
    }

    /// Handles a host's report and returns the answer; `None` if a newer one was handled before.
    ///
    /// The owner makes sure, after the report has arrived, that this host still leads: a leader that
    /// was replaced would grant what its successor grants too.
    pub fn report(&mut self, host: HostId, report: &Report, now: Time) -> Option<Answer> {
        if !self.is_newest(host, report, now) {
            return None;
        }
        let known = report.term == self.term;
        let phase = self.phase(now);
        let accounts = report.accounts.iter();
        let accounts = accounts.filter_map(|account| {
            let id = AccountId {
                host,
                incarnation: report.incarnation,
                number: account.account,
            };
            let quota = (*self.teams.get(&account.team)?).is_some();
            if !quota {
                return Some(unlimited(account, known));
            }
            let bucket = self.buckets.get_mut(&account.team)?;
            Some(bucket.report(id, account, known, phase, now))
        });
        Some(Answer {
            incarnation: report.incarnation,
            sequence: report.sequence,
            term: self.term,
            length: LEASE_LENGTH,
            accounts: accounts.collect(),
        })
    }

    /// Whether units may be granted.
    #[must_use]
    pub fn is_ready(&self, now: Time) -> bool {
        !matches!(self.phase(now), Phase::Waiting(_))
    }

    /// Returns the state of all buckets.
    #[must_use]
    pub fn states(&self) -> Vec<TeamState> {
        let states = self.buckets.iter().map(|(team, bucket)| TeamState {
            team: team.clone(),
            available: bucket.available(),
            held: bucket.held(),
            totals: bucket.totals,
        });
        states.collect()
    }

    /// Returns the teams that were refused requests since the last call, with the number of requests.
    pub fn take_refusals(&mut self) -> Vec<(u64, TeamState)> {
        let mut refusals = Vec::new();
        for state in self.states() {
            let refused = state.totals.refused;
            let logged = self.logged.insert(state.team.clone(), refused);
            let new = refused.saturating_sub(logged.unwrap_or(0));
            if new > 0 {
                refusals.push((new, state));
            }
        }
        refusals
    }

    /// Records a report's number; returns whether it is newer than all before.
    fn is_newest(&mut self, host: HostId, report: &Report, now: Time) -> bool {
        let newest = self.hosts.get(&host);
        let number = (report.incarnation, report.sequence);
        if newest.is_some_and(|newest| number <= (newest.incarnation, newest.sequence)) {
            return false;
        }
        let state = HostState {
            incarnation: report.incarnation,
            sequence: report.sequence,
            heard_at: now,
        };
        self.hosts.insert(host, state);
        true
    }
}

/// Returns the answer about a team that has no quota in the leader's table: the host, which has
/// another table, gets all that it asks for.
fn unlimited(report: &AccountReport, known: bool) -> AccountAnswer {
    let received = if known { report.received } else { 0 };
    let asked = report.asks.iter().map(|ask| ask.cost);
    let asked = asked.fold(received, u64::saturating_add);
    AccountAnswer {
        team: report.team.clone(),
        account: report.account,
        granted: asked.saturating_add(report.ahead.saturating_sub(report.free)),
        open: true,
        refusals: Vec::new(),
    }
}
