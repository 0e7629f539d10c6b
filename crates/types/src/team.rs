//! Teams that call with API keys, their quotas, and the routes that need no key.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use crate::id::Name;

/// Length of a key's digest, in bytes.
const DIGEST_BYTES: usize = 32;

/// A BLAKE3 digest of an API key. The key itself is not kept, so that it cannot be logged or
/// dumped.
#[derive(Clone, Copy, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ApiKeyDigest([u8; DIGEST_BYTES]);

impl ApiKeyDigest {
    /// Returns the digest of a key.
    ///
    /// ```
    /// use cornelhitch_types::team::ApiKeyDigest;
    ///
    /// assert_eq!(ApiKeyDigest::of("secret"), ApiKeyDigest::of("secret"));
    /// assert_ne!(ApiKeyDigest::of("secret"), ApiKeyDigest::of("another"));
    /// ```
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(*blake3::hash(key.as_bytes()).as_bytes())
    }
}

/// Compares in constant time, so that response times reveal nothing about stored digests.
impl PartialEq for ApiKeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for ApiKeyDigest {}

/// Shows the first bytes only: enough to recognise a key in a log, too few to test guesses.
impl fmt::Debug for ApiKeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [first, second, ..] = self.0;
        write!(f, "ApiKeyDigest({first:02x}{second:02x}..)")
    }
}

/// What a quota counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum QuotaUnit {
    /// Each request counts 1.
    Requests,
    /// A request counts its prompt tokens and its maximum number of output tokens.
    Tokens {
        /// What a request without token counts counts.
        plain: u64,
    },
}

/// A limit on what a team runs over all entry hosts: a token bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// What it counts.
    pub unit: QuotaUnit,
    /// Refill rate, in units per 1,000 seconds.
    pub rate: u64,
    /// Units that may be used at once beyond the rate.
    pub burst: u64,
}

/// Token counts that a request states.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenUsage {
    /// Number of prompt tokens.
    pub prompt: u64,
    /// Maximum number of output tokens.
    pub output: u64,
}

impl Quota {
    /// Returns what a request counts.
    ///
    /// ```
    /// use cornelhitch_types::team::{Quota, QuotaUnit, TokenUsage};
    ///
    /// let quota = Quota { unit: QuotaUnit::Tokens { plain: 200 }, rate: 0, burst: 0 };
    /// assert_eq!(quota.cost(Some(TokenUsage { prompt: 800, output: 50 })), 850);
    /// assert_eq!(quota.cost(None), 200);
    /// ```
    #[must_use]
    pub fn cost(&self, usage: Option<TokenUsage>) -> u64 {
        match (self.unit, usage) {
            (QuotaUnit::Requests, _) => 1,
            (QuotaUnit::Tokens { .. }, Some(usage)) => usage.prompt.saturating_add(usage.output),
            (QuotaUnit::Tokens { plain }, None) => plain,
        }
    }
}

/// A group of callers that share API keys, a priority and a quota.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// The name, unique in the table; targets are told it.
    pub name: Name,
    /// Digests of the team's keys.
    pub keys: Vec<ApiKeyDigest>,
    /// Priority of the team's requests, which goes before the route's; 0 is the highest.
    pub priority: Option<u8>,
    /// The team's quota; `None` if it has no limit.
    pub quota: Option<Quota>,
}

/// Who may call which routes; part of a route table.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Access {
    /// The teams; if there are none, no route needs a key.
    pub teams: Vec<Arc<Team>>,
    /// The names of routes that need no key.
    pub public_routes: Vec<Name>,
}

impl Access {
    /// Returns whether requests on a route need a key.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use cornelhitch_types::team::{Access, Team};
    ///
    /// let team = Team { name: "red".into(), keys: Vec::new(), priority: None, quota: None };
    /// let access = Access { teams: vec![Arc::new(team)], public_routes: vec!["status".into()] };
    /// assert!(access.needs_key("reports"));
    /// assert!(!access.needs_key("status"));
    /// assert!(!Access::default().needs_key("reports"));
    /// ```
    #[must_use]
    pub fn needs_key(&self, route: &str) -> bool {
        let is_public = self.public_routes.iter().any(|public| &**public == route);
        !self.teams.is_empty() && !is_public
    }

    /// Returns the team that holds a key.
    #[must_use]
    pub fn team_of(&self, key: ApiKeyDigest) -> Option<&Arc<Team>> {
        self.teams.iter().find(|team| team.keys.contains(&key))
    }
}
