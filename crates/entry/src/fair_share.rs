//! Fair shares of what an entry host sends, between teams of one priority.
//!
//! Load that it handles: one team asks for several times its usual rate while capacity is short; the
//! other teams keep their share. Spare capacity goes to whoever asks.
//!
//! A team's virtual time advances by what each of its requests costs, in time of the team's own
//! quota, so that shares are in proportion to quotas. The team with the earliest virtual time goes
//! first (start-time fair queueing, Goyal, Vin and Cheng 1996; for tokens: virtual token counter,
//! Sheng et al. 2024). This gives max-min fairness: a team that asks for less than its share gets
//! all of it, and the others divide the rest.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use cornelhitch_types::team::{Quota, TokenUsage};
use serde::Serialize;

use crate::event::Request;

/// Rate at which requests of teams without a quota, and without a team, are charged, in units per
/// 1,000 seconds. The largest observed quota is about 1,030,000 tokens a second, and a team without
/// a limit is entitled to as much.
const UNLIMITED_RATE: u64 = 1_000_000_000;

/// What a request costs that states no token counts and has no quota, in tokens: the size of a
/// short prompt. It must not be 0, or such requests would always go first.
const UNKNOWN_TOKENS: u64 = 1_000;

/// Virtual time by which a waiting team may be behind the others, in microseconds: one second of
/// its quota, which is the usual burst. Without a bound, a team whose requests waited long for a
/// target of their own would then hold up all others.
const MAX_CREDIT_US: u64 = 1_000_000;

/// The team that a request counts for, and what it costs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Flow {
    /// Digest of the team's name; 0 if the request has no team.
    pub team: u64,
    /// The cost, in microseconds of the team's quota.
    pub cost: u64,
}

impl From<&Request> for Flow {
    fn from(request: &Request) -> Self {
        let Some(team) = &request.team else {
            let cost = cost_us(None, request.usage);
            return Self { team: 0, cost };
        };
        let mut hasher = DefaultHasher::new();
        team.name.hash(&mut hasher);
        Self {
            team: hasher.finish().max(1),
            cost: cost_us(team.quota.as_ref(), request.usage),
        }
    }
}

/// Returns the time in which a quota allows what a request costs, in microseconds, at least 1.
///
/// ```
/// use cornelhitch_entry::fair_share::cost_us;
/// use cornelhitch_types::team::{Quota, QuotaUnit, TokenUsage};
///
/// let unit = QuotaUnit::Tokens { plain: 200 };
/// let quota = Quota { unit, rate: 29_000_000, burst: 29_000 };
/// let usage = TokenUsage { prompt: 2_850, output: 50 };
/// assert_eq!(cost_us(Some(&quota), Some(usage)), 100_000);
/// assert_eq!(cost_us(None, Some(usage)), 2_900);
/// ```
#[must_use]
pub fn cost_us(quota: Option<&Quota>, usage: Option<TokenUsage>) -> u64 {
    const US_PER_1_000_S: u128 = 1_000_000_000;
    let tokens = |usage: TokenUsage| usage.prompt.saturating_add(usage.output);
    let (cost, rate) = match quota {
        Some(quota) => (quota.cost(usage), quota.rate),
        None => (usage.map_or(UNKNOWN_TOKENS, tokens), UNLIMITED_RATE),
    };
    let time = u128::from(cost) * US_PER_1_000_S / u128::from(rate.max(1));
    u64::try_from(time).unwrap_or(u64::MAX).max(1)
}

/// What one team was sent for.
#[derive(Debug, Clone, Copy, Default)]
struct Share {
    /// The team's virtual time.
    time: u64,
    /// Number of its waiting requests.
    waiting: usize,
}

/// The virtual times of all teams with requests at this host.
#[derive(Debug, Default)]
pub struct FairShares {
    teams: HashMap<u64, Share>,
    /// The virtual time at which the last request was sent.
    clock: u64,
}

impl FairShares {
    /// Counts a waiting request. A team that had none starts at the current virtual time, so that
    /// it is owed nothing for the time in which it asked for nothing.
    pub fn add_waiting(&mut self, team: u64) {
        let share = self.teams.entry(team).or_default();
        if share.waiting == 0 {
            share.time = share.time.max(self.clock);
        }
        share.waiting += 1;
    }

    /// Counts the end of a request's wait. A team that waits for nothing and is owed nothing is
    /// forgotten.
    pub fn remove_waiting(&mut self, team: u64) {
        let Some(share) = self.teams.get_mut(&team) else {
            return;
        };
        share.waiting = share.waiting.saturating_sub(1);
        if share.waiting == 0 && share.time <= self.clock {
            self.teams.remove(&team);
        }
    }

    /// Returns the virtual time of a team's next request.
    #[must_use]
    pub fn start(&self, team: u64) -> u64 {
        match self.teams.get(&team) {
            Some(share) if share.waiting > 0 => {
                share.time.max(self.clock.saturating_sub(MAX_CREDIT_US))
            }
            Some(share) => share.time.max(self.clock),
            None => self.clock,
        }
    }

    /// Charges a team for a request that is sent.
    pub fn charge(&mut self, flow: Flow) {
        let start = self.start(flow.team);
        self.clock = self.clock.max(start);
        if let Some(share) = self.teams.get_mut(&flow.team) {
            share.time = start.saturating_add(flow.cost);
        }
    }
}
