//! One member of a group, without clock, socket or disk.
//!
//! The rules are Raft's: D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus
//! Algorithm" (USENIX ATC 2014), and D. Ongaro, "Consensus: Bridging Theory and Practice" (doctoral
//! thesis, Stanford 2014): pre-vote §9.6, check-quorum and leases §6.4, single-server changes of
//! members §4, snapshots §5, pipelined appends §10.2.

mod apply;
mod barrier;
mod change;
mod election;
mod follow;
mod persist;
mod progress;
mod replicate;
mod route;
mod transfer;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::action::Action;
use crate::config::{Config, Fault};
use crate::event::Event;
use crate::id::{Incarnation, Index, MemberId, Peer, RequestId, Term, Time};
use crate::log::{Log, Payload};
use crate::member::{History, Membership};
use crate::message::Envelope;
use crate::status::{Lease, Role, Status};
use crate::store::{Ballot, Identity, Recovered};

use barrier::Barrier;
use persist::Disk;
use progress::Progress;
use transfer::Incoming;

/// One member of a group.
///
/// Its owner gives it events and the time, and carries out the actions that it returns.
#[derive(Debug)]
pub struct Core {
    config: Config,
    identity: Identity,
    rng: SmallRng,
    now: Time,
    ballot: Ballot,
    log: Log,
    members: History,
    role: Role,
    leader: Option<Peer>,
    commit: Index,
    applied: Index,
    /// Agrees with the leader of this term up to here.
    held: Index,
    /// The latest stamp of the leader of this term.
    heard_stamp: Time,
    /// Grants no vote before this time.
    promised_until: Time,
    election_at: Time,
    votes: BTreeSet<MemberId>,
    outside: BTreeSet<MemberId>,
    /// State of a leader.
    progress: BTreeMap<MemberId, Progress>,
    heartbeat_at: Time,
    leader_since: Time,
    first_of_term: Index,
    stamp: Time,
    barriers: VecDeque<Barrier>,
    change: Option<change::Pending>,
    disk: Disk,
    /// Messages to be sent once a batch is synced.
    waiting: VecDeque<(u64, Envelope)>,
    proposals: BTreeMap<Index, (Term, RequestId)>,
    uncommitted: usize,
    incoming: Option<Incoming>,
    /// The last entry with a payload for the owner, or the snapshot that it was given.
    owner_index: Index,
    /// The last entry applied when the owner was asked for a snapshot.
    asked_at: Option<Index>,
    announced: Option<(Role, Term, Option<MemberId>)>,
    dropped: u64,
    actions: Vec<Action>,
}

/// The seed of a member's random choices.
///
/// Members may start at the same microsecond, when power comes back, and then have the same
/// incarnation. With equal seeds they would time out together and split every vote.
///
/// ```
/// use cornelhitch_quorum::core::seed;
///
/// let incarnation = 1_796_354_402_852_797;
/// assert_ne!(seed(1, incarnation), seed(2, incarnation));
/// assert_ne!(seed(1, incarnation), seed(1, incarnation + 1));
/// ```
#[must_use]
pub fn seed(member: MemberId, incarnation: Incarnation) -> u64 {
    let mut hasher = DefaultHasher::new();
    (member, incarnation).hash(&mut hasher);
    hasher.finish()
}

impl Core {
    /// A member that goes on from what its store holds. `seed` spreads elections; give each
    /// member and each start another one.
    #[must_use]
    pub fn new(config: Config, recovered: Recovered, seed: u64, now: Time) -> Self {
        let Recovered {
            identity,
            ballot,
            snapshot,
            entries,
        } = recovered;
        let mut members = History::default();
        let mut actions = Vec::new();
        if let Some(snapshot) = &snapshot {
            members.push(snapshot.index, snapshot.membership.clone());
            actions.push(Action::Restore(snapshot.clone()));
        }
        for entry in &entries {
            if let Payload::Membership(membership) = &entry.payload {
                members.push(entry.index, membership.clone());
            }
        }
        let log = Log::new(snapshot, entries);
        let mut core = Self {
            promised_until: now + config.election,
            election_at: now,
            identity,
            rng: SmallRng::seed_from_u64(seed),
            now,
            ballot,
            members,
            role: Role::Follower,
            leader: None,
            commit: log.snapshot_index(),
            applied: log.snapshot_index(),
            held: log.snapshot_index(),
            heard_stamp: Time::ZERO,
            votes: BTreeSet::new(),
            outside: BTreeSet::new(),
            progress: BTreeMap::new(),
            heartbeat_at: now,
            leader_since: now,
            first_of_term: 0,
            stamp: Time::ZERO,
            barriers: VecDeque::new(),
            change: None,
            disk: Disk::new(log.last()),
            waiting: VecDeque::new(),
            proposals: BTreeMap::new(),
            uncommitted: 0,
            incoming: None,
            owner_index: log.snapshot_index(),
            asked_at: None,
            announced: None,
            dropped: 0,
            actions,
            log,
            config,
        };
        core.after_start();
        core
    }

    /// A member that had a group keeps the promise that it may have made just before the restart,
    /// also if it is the only voter now: the leader that removed itself may hold a lease.
    fn after_start(&mut self) {
        if self.faulty(Fault::ForgetPromise) {
            self.promised_until = self.now;
        }
        if self.is_sole_voter() {
            self.election_at = self.promised_until;
        } else if !self.membership().is_empty() {
            self.postpone_election();
        }
    }

    /// Takes an event and returns what to do, in order. Batches for the disk come first, so that
    /// they stay in order when an owner gives the next event while it carries out the rest.
    pub fn handle(&mut self, event: Event, now: Time) -> Vec<Action> {
        self.handle_all([event], now)
    }

    /// Takes several events that are there at once; cheaper than one by one, since entries that
    /// are proposed together go to the disk and to the members together.
    pub fn handle_all(
        &mut self,
        events: impl IntoIterator<Item = Event>,
        now: Time,
    ) -> Vec<Action> {
        self.now = self.now.max(now);
        self.run_timers();
        for event in events {
            self.take(event);
        }
        self.flush();
        let mut actions = std::mem::take(&mut self.actions);
        actions.sort_by_key(|action| !matches!(action, Action::Persist(_)));
        actions
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Tick => {}
            Event::Receive { from, message } => self.receive(from, message),
            Event::Propose { id, payload } => self.propose(id, payload),
            Event::Persisted { token } => self.on_persisted(token),
            Event::PersistFailed { token } => self.on_persist_failed(token),
            Event::Change { id, change } => self.on_change(id, change),
            Event::Snapshot { index, data } => self.on_snapshot(index, data),
            Event::Barrier { id } => self.on_barrier(id),
        }
    }

    fn run_timers(&mut self) {
        self.check_disk();
        match self.role {
            Role::Leader => self.check_quorum(),
            _ if self.now >= self.election_at => self.on_election_timeout(),
            _ => {}
        }
    }

    fn flush(&mut self) {
        if self.role == Role::Leader {
            self.advance_commit();
            self.drive_change();
            self.replicate();
            self.retire_if_removed();
        }
        self.apply_committed();
        self.answer_barriers();
        self.ask_snapshot();
        self.announce();
        self.stage_batch();
    }

    /// The time at which the core wants the next [`Event::Tick`], if nothing comes before.
    #[must_use]
    pub fn next_wake(&self) -> Time {
        let own = match self.role {
            Role::Leader => self.heartbeat_at.min(self.quorum_deadline()),
            _ => self.election_at,
        };
        self.disk
            .deadline(&self.config)
            .map_or(own, |disk| own.min(disk))
    }

    /// The right to decide alone, if this member has it at `now`.
    ///
    /// Leases of two members never overlap in real time while clocks keep to
    /// [`DRIFT_PPM`](crate::config::DRIFT_PPM). The check holds for the moment of `now`: a
    /// process that stops between the check and its act for longer than the rest of the lease
    /// acts too late, so check right before the act.
    #[must_use]
    pub fn lease(&self, now: Time) -> Option<Lease> {
        let committed = self.commit >= self.first_of_term;
        if self.role != Role::Leader || !committed {
            return None;
        }
        let until = self.quorum_stamp(now)? + self.config.lease();
        (now < until).then_some(Lease {
            term: self.ballot.term,
            until,
        })
    }

    /// What the member shows of itself.
    #[must_use]
    pub fn status(&self) -> Status {
        let matched = self
            .progress
            .iter()
            .map(|(id, p)| (*id, p.durable))
            .collect();
        Status {
            cluster: self.identity.cluster,
            group: self.identity.group,
            peer: self.identity.peer,
            lineage: self.ballot.lineage,
            role: self.role,
            term: self.ballot.term,
            leader: self.leader.map(|peer| peer.id),
            commit: self.commit,
            applied: self.applied,
            last: self.log.last(),
            durable: self.disk.durable,
            snapshot: self.log.snapshot_index(),
            members: self.membership().clone(),
            matched,
            silent: self.silent(),
            disk_sick: self.disk.sick(),
            dropped: self.dropped,
        }
    }

    /// How long each other member has not answered this leader.
    fn silent(&self) -> BTreeMap<MemberId, Time> {
        let members = self.progress.iter();
        let silent = members.map(|(id, progress)| {
            let heard = progress.stamp.unwrap_or(self.leader_since);
            (*id, self.now.saturating_sub(heard))
        });
        silent.collect()
    }

    /// The entry at `index`, for checks in tests.
    #[doc(hidden)]
    #[must_use]
    pub fn entry(&self, index: Index) -> Option<&crate::log::Entry> {
        self.log.entry(index)
    }

    fn faulty(&self, fault: Fault) -> bool {
        self.config.fault == Some(fault)
    }

    fn me(&self) -> Peer {
        self.identity.peer
    }

    fn membership(&self) -> &Membership {
        self.members.latest()
    }

    /// Whether this life of the disk counts in quorums.
    fn is_voter(&self) -> bool {
        let members = self.membership();
        members.is_voter(self.me().id) && members.admits(self.me())
    }

    fn is_sole_voter(&self) -> bool {
        self.is_voter() && self.membership().quorum() == 1
    }

    fn announce(&mut self) {
        let state = (self.role, self.ballot.term, self.leader.map(|peer| peer.id));
        if self.announced == Some(state) {
            return;
        }
        self.announced = Some(state);
        let (role, term, leader) = state;
        self.actions.push(Action::Role { role, term, leader });
    }
}
