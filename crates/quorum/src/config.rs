//! Configuration of a member.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::id::MemberId;

/// Largest tolerated deviation of a member's monotonic clock rate from real time, in parts per
/// million.
///
/// Leases are exclusive as long as every clock advances between 0.99 and 1.01 seconds per second.
/// Quartz oscillators deviate by less than 0.0002 and NTP slewing adds at most 0.0005.
pub const DRIFT_PPM: u32 = 10_000;

const MILLION: u32 = 1_000_000;

/// Configuration of one member.
///
/// ```
/// use cornelhitch_quorum::config::Config;
/// use std::time::Duration;
///
/// let config = Config { may_bootstrap: true, ..Config::default() };
/// assert!(config.lease() < config.election_timeout);
/// ```
#[derive(Clone, Debug)]
pub struct Config {
    /// Members to ask for admission while this member belongs to no group.
    pub peers: Vec<MemberId>,
    /// Whether this member bootstraps the group if its storage is empty and no peer belongs to a
    /// group; with `founders`, whether it takes part in the founding if its storage is empty. There,
    /// this must not be set for a member whose storage was lost.
    pub may_bootstrap: bool,
    /// The members of which a majority founds the group; equal on all members. If empty, one member
    /// founds it, after all peers have reported that they belong to no group.
    pub founders: BTreeSet<MemberId>,
    /// Election timeout: a member campaigns after receiving nothing from a leader for a random time
    /// between this value and twice it. No member grants a vote within this time of hearing from a
    /// leader.
    pub election_timeout: Duration,
    /// Interval between heartbeats to each member.
    pub heartbeat_interval: Duration,
    /// A disk that needs longer than this to write one batch counts as unhealthy.
    pub stall_timeout: Duration,
    /// Delay between a failed write and the next attempt.
    pub write_retry_delay: Duration,
    /// Longest time that a membership change waits without progress for a learner to catch up or
    /// for a quorum to respond.
    pub catch_up_timeout: Duration,
    /// Maximum total payload per message, in bytes; a larger entry has a message of its own.
    pub max_message_bytes: usize,
    /// Maximum payload of a proposal, in bytes.
    pub max_payload_bytes: usize,
    /// Maximum number of unacknowledged messages with entries per member.
    pub max_inflight_messages: usize,
    /// Maximum total payload of uncommitted proposals, in bytes.
    pub max_uncommitted_bytes: usize,
    /// Maximum total payload of unsynced entries held in memory while the disk is unhealthy, in
    /// bytes.
    pub max_unsynced_bytes: usize,
    /// Number of entries applied since the last snapshot after which the core requests a new one.
    pub snapshot_threshold_entries: u64,
    /// Total size of the entries applied since the last snapshot after which the core requests a new
    /// one, in bytes. It bounds the log on disk, and so the room that a rewrite of it needs.
    pub snapshot_threshold_bytes: u64,
    /// Number of entries kept in memory before the snapshot, so that slightly lagging members do
    /// not need the snapshot.
    pub trailing_entries: u64,
    /// Total size of the entries kept in memory before the snapshot, in bytes.
    pub trailing_bytes: usize,
    /// Maximum size of a snapshot accepted from a leader, in bytes.
    pub max_snapshot_bytes: u64,
    /// Whether a leader serves reads under its lease. Otherwise each read is confirmed by a quorum,
    /// which is also safe where the monotonic clock stops while the process is suspended.
    pub lease_reads: bool,
    /// A fault to inject, for tests that verify that the invariant checks detect it.
    #[doc(hidden)]
    pub fault: Option<Fault>,
}

impl Config {
    /// Takes snapshots early enough that the log holds no more than this between two of them, as far as the
    /// thresholds in force don't do so already.
    ///
    /// ```
    /// use cornelhitch_quorum::config::Config;
    ///
    /// let mut config = Config::default();
    /// config.limit_log(100, usize::MAX);
    /// assert_eq!(config.snapshot_threshold_entries, 100);
    /// assert_eq!(config.snapshot_threshold_bytes, Config::default().snapshot_threshold_bytes);
    /// ```
    pub fn limit_log(&mut self, entries: usize, bytes: usize) {
        let at_most =
            |threshold: u64, limit: usize| threshold.min(limit.try_into().unwrap_or(u64::MAX));
        self.snapshot_threshold_entries = at_most(self.snapshot_threshold_entries, entries);
        self.snapshot_threshold_bytes = at_most(self.snapshot_threshold_bytes, bytes);
        self.trailing_bytes = self.trailing_bytes.min(bytes);
    }

    /// Duration of a lease, counted from the sending of the heartbeat that a quorum answered.
    ///
    /// With clock rates in `1 ± d`, a voter withholds its vote for at least `election / (1 + d)`
    /// and a lease lasts at most `lease / (1 - d)` of real time, so `lease = election * (1 - 2d)`
    /// is safe.
    #[must_use]
    pub fn lease(&self) -> Duration {
        if self.fault == Some(Fault::LongLease) {
            return self.election_timeout * 4;
        }
        self.election_timeout / MILLION * (MILLION - 2 * DRIFT_PPM)
    }
}

impl Default for Config {
    fn default() -> Self {
        Self {
            peers: Vec::new(),
            may_bootstrap: false,
            founders: BTreeSet::new(),
            election_timeout: Duration::from_millis(800),
            heartbeat_interval: Duration::from_millis(150),
            stall_timeout: Duration::from_secs(2),
            write_retry_delay: Duration::from_millis(500),
            catch_up_timeout: Duration::from_mins(1),
            max_message_bytes: 256 * 1024,
            max_payload_bytes: 4 * 1024 * 1024,
            max_inflight_messages: 16,
            max_uncommitted_bytes: 16 * 1024 * 1024,
            max_unsynced_bytes: 16 * 1024 * 1024,
            snapshot_threshold_entries: 10_000,
            snapshot_threshold_bytes: 8 * 1024 * 1024,
            trailing_entries: 1_000,
            trailing_bytes: 2 * 1024 * 1024,
            max_snapshot_bytes: 256 * 1024 * 1024,
            lease_reads: true,
            fault: None,
        }
    }
}

/// Faults for fault-injection tests. Each violates one invariant, and the simulation must detect
/// it.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter, strum::Display)]
pub enum Fault {
    /// Votes for several candidates in one term.
    VoteTwice,
    /// Acknowledges entries and votes before they are synced.
    AckBeforeSync,
    /// Commits entries that only the leader has synced.
    CommitAlone,
    /// Holds a lease for longer than voters withhold their votes.
    LongLease,
    /// Grants votes right after a restart, although it may have acknowledged a leader just before.
    ForgetPromise,
    /// Completes barriers from local state without checking leadership.
    StaleBarrier,
    /// Labels snapshots one entry too low, so that an entry is applied twice.
    ApplyTwice,
    /// Accepts votes and acknowledgements from any incarnation of a member.
    AnyIncarnation,
    /// Appends a membership change before the previous one is committed.
    ManyChanges,
    /// Takes part in the founding of a group after its storage was lost.
    ForgottenVotes,
    /// Founds a group without a majority of the founders.
    FoundByMinority,
}
