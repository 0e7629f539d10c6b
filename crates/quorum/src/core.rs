//! The Raft state machine of one member, without clock, network or disk access.
//!
//! It implements Raft as described in D. Ongaro and J. Ousterhout, "In Search of an Understandable
//! Consensus Algorithm" (USENIX ATC 2014), and D. Ongaro, "Consensus: Bridging Theory and Practice"
//! (doctoral thesis, Stanford 2014): pre-vote §9.6, check-quorum and leases §6.4, single-server
//! membership changes §4, snapshots §5, pipelined `AppendEntries` §10.2.

mod apply;
mod barrier;
mod change;
mod election;
mod follower;
mod founding;
mod persist;
mod progress;
mod replicate;
mod route;
mod silence;
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
use crate::member::{MemberKind, Membership, MembershipHistory};
use crate::message::{Envelope, Silence};
use crate::status::{GroupView, Lease, Role, Status};
use crate::store::{HardState, Identity, Recovered};

use barrier::Barrier;
use change::PendingChange;
use founding::Founding;
use persist::WriteQueue;
use progress::Progress;
use transfer::{IncomingSnapshot, SnapshotRequest};

/// The Raft state machine of one member of a group.
///
/// Its owner passes in events and the current time and executes the returned actions.
#[derive(Debug)]
pub struct Core {
    config: Config,
    identity: Identity,
    rng: SmallRng,
    now: Time,
    hard_state: HardState,
    log: Log,
    memberships: MembershipHistory,
    role: Role,
    leader: Option<Peer>,
    commit: Index,
    applied: Index,
    /// Last index, in memory, known to match the log of the leader of this term.
    accepted_index: Index,
    /// The latest stamp received from the leader of this term.
    leader_stamp: Time,
    /// No vote is granted before this time, so that the lease of a leader that this member
    /// acknowledged stays exclusive.
    votes_withheld_until: Time,
    election_at: Time,
    votes: BTreeSet<MemberId>,
    /// Peers that reported that they belong to no group.
    without_group: BTreeSet<MemberId>,
    founding: Founding,
    /// Members that still address an earlier incarnation of this member, which has lost its storage.
    contacts: BTreeSet<MemberId>,
    /// Replication progress of the other members; only on a leader.
    progress: BTreeMap<MemberId, Progress>,
    heartbeat_at: Time,
    leader_since: Time,
    /// The silent members by the last report of a leader, which may have been this member.
    reported_silences: Vec<Silence>,
    /// Index of the first entry of this leader's term.
    term_start_index: Index,
    /// The latest stamp sent as a leader.
    stamp: Time,
    barriers: VecDeque<Barrier>,
    pending_change: Option<PendingChange>,
    writes: WriteQueue,
    /// Messages to send once the batch with the given token is synced.
    awaiting_sync: VecDeque<(u64, Envelope)>,
    /// Proposals of this member's owner without a known outcome, by index.
    proposals: BTreeMap<Index, (Term, RequestId)>,
    /// Total size of this leader's uncommitted entries.
    uncommitted_bytes: usize,
    incoming_snapshot: Option<IncomingSnapshot>,
    /// Index of the last entry or snapshot handed to the owner.
    owner_index: Index,
    /// Last applied index at the time a snapshot was requested from the owner; `None` if no request
    /// is pending.
    snapshot_request: SnapshotRequest,
    reported_role: Option<(Role, Term, Option<MemberId>)>,
    dropped: u64,
    actions: Vec<Action>,
}

/// Derives the seed for a member's randomized election timeouts.
///
/// Members that start in the same microsecond, for example when power returns, have equal
/// incarnations. With equal seeds they would time out together and split every vote.
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
    /// Creates a member from the content of its store. `seed` randomizes election timeouts and
    /// should differ between members and between restarts.
    #[must_use]
    pub fn new(config: Config, recovered: Recovered, seed: u64, now: Time) -> Self {
        let founding = Founding::new(&config, &recovered, now);
        let Recovered {
            identity,
            hard_state,
            snapshot,
            entries,
        } = recovered;
        let mut memberships = MembershipHistory::default();
        let mut actions = Vec::new();
        if let Some(snapshot) = &snapshot {
            memberships.push(snapshot.index, snapshot.membership.clone());
            actions.push(Action::Restore(snapshot.clone()));
        }
        for entry in &entries {
            if let Payload::Membership(membership) = &entry.payload {
                memberships.push(entry.index, membership.clone());
            }
        }
        let log = Log::new(snapshot, entries);
        let mut core = Self {
            votes_withheld_until: now + config.election_timeout,
            election_at: now,
            identity,
            rng: SmallRng::seed_from_u64(seed),
            now,
            hard_state,
            memberships,
            role: Role::Follower,
            leader: None,
            commit: log.snapshot_index(),
            applied: log.snapshot_index(),
            accepted_index: log.snapshot_index(),
            leader_stamp: Time::ZERO,
            votes: BTreeSet::new(),
            without_group: BTreeSet::new(),
            founding,
            contacts: BTreeSet::new(),
            progress: BTreeMap::new(),
            heartbeat_at: now,
            leader_since: now,
            reported_silences: Vec::new(),
            term_start_index: 0,
            stamp: Time::ZERO,
            barriers: VecDeque::new(),
            pending_change: None,
            writes: WriteQueue::new(log.last()),
            awaiting_sync: VecDeque::new(),
            proposals: BTreeMap::new(),
            uncommitted_bytes: 0,
            incoming_snapshot: None,
            owner_index: log.snapshot_index(),
            snapshot_request: SnapshotRequest::default(),
            reported_role: None,
            dropped: 0,
            actions,
            log,
            config,
        };
        core.schedule_first_election();
        core
    }

    /// Schedules the first election. A restarted member withholds its vote for one election
    /// timeout, since it may have acknowledged a leader just before the restart. This also applies
    /// to a sole voter: a leader that removed itself may still hold a lease.
    fn schedule_first_election(&mut self) {
        let is_new_founder = self.founding.takes_part && self.hard_state == HardState::default();
        if is_new_founder || self.has_fault(Fault::ForgetPromise) {
            self.votes_withheld_until = self.now;
        }
        if self.is_sole_voter() {
            self.election_at = self.votes_withheld_until;
        } else if !self.membership().is_empty() {
            self.postpone_election();
        }
    }

    /// Processes an event and returns the resulting actions in order. `Persist` actions come first,
    /// so that batches stay ordered even if the owner passes in the next event while it executes
    /// the other actions.
    pub fn handle(&mut self, event: Event, now: Time) -> Vec<Action> {
        self.handle_all([event], now)
    }

    /// Processes several events together. This is cheaper than one by one, because proposals in the
    /// same call are written and replicated together.
    pub fn handle_all(
        &mut self,
        events: impl IntoIterator<Item = Event>,
        now: Time,
    ) -> Vec<Action> {
        self.now = self.now.max(now);
        for event in events {
            self.dispatch(event);
        }
        // After the events: what has arrived counts, though its owner was late to handle it.
        self.run_timers();
        self.flush();
        let mut actions = std::mem::take(&mut self.actions);
        actions.sort_by_key(|action| !matches!(action, Action::Persist(_)));
        actions
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Tick => {}
            Event::Receive { from, message } => self.receive(from, message),
            Event::Propose { id, payload } => self.propose(id, payload),
            Event::Persisted { token } => self.on_persisted(token),
            Event::PersistFailed { token } => self.on_persist_failed(token),
            Event::ChangeMembership { id, change } => self.on_change(id, change),
            Event::Snapshot { index, data } => self.on_owner_snapshot(index, data),
            Event::Peers(peers) => self.config.peers = peers,
            Event::Barrier { id } => self.on_barrier(id),
        }
    }

    fn run_timers(&mut self) {
        self.check_writes();
        match self.role {
            Role::Leader => self.check_quorum(),
            _ if self.now >= self.election_at => self.on_election_timeout(),
            _ => {}
        }
    }

    fn flush(&mut self) {
        if self.role == Role::Leader {
            self.advance_commit();
            self.end_founding();
            self.advance_change();
            self.replicate();
            self.step_down_if_removed();
        }
        self.apply_committed();
        self.complete_barriers();
        self.request_snapshot();
        self.report_role();
        self.submit_staged();
    }

    /// The time by which the core needs an [`Event::Tick`] if no other event occurs earlier.
    #[must_use]
    pub fn next_wake(&self) -> Time {
        let own = match self.role {
            Role::Leader => self.heartbeat_at.min(self.quorum_deadline()),
            _ => self.election_at,
        };
        self.writes
            .deadline(&self.config)
            .map_or(own, |deadline| own.min(deadline))
    }

    /// Returns the leader lease if this member holds one at `now`.
    ///
    /// Leases of two members never overlap in real time while clock rates stay within
    /// [`DRIFT_PPM`](crate::config::DRIFT_PPM). The result is valid at `now` only: a process that
    /// is paused between the check and the protected action may act after the lease has expired, so
    /// check immediately before acting.
    #[must_use]
    pub fn lease(&self, now: Time) -> Option<Lease> {
        let committed = self.commit >= self.term_start_index;
        if self.role != Role::Leader || !committed {
            return None;
        }
        let until = self.quorum_stamp(now)? + self.config.lease();
        (now < until).then_some(Lease {
            term: self.hard_state.term,
            until,
        })
    }

    /// Returns the time since this member was elected; `None` if it does not lead.
    #[must_use]
    pub fn led_for(&self, now: Time) -> Option<Time> {
        let leads = self.role == Role::Leader;
        leads.then(|| now.saturating_sub(self.leader_since))
    }

    /// Returns the member's current status.
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
            lineage: self.hard_state.lineage,
            role: self.role,
            term: self.hard_state.term,
            leader: self.leader.map(|peer| peer.id),
            commit: self.commit,
            applied: self.applied,
            last: self.log.last(),
            durable: self.writes.durable,
            snapshot: self.log.snapshot_index(),
            log_bytes: self.log.bytes(),
            members: self.membership().clone(),
            matched,
            unresponsive_for: self.unresponsive_for(),
            disk_unhealthy: self.writes.is_unhealthy(),
            dropped: self.dropped,
        }
    }

    /// Returns how this member sees its group.
    #[must_use]
    pub fn group_view(&self) -> GroupView {
        let of_kind = |kind| {
            let members = self.membership().iter();
            let members = members.filter(move |(_, member)| member.kind == kind);
            members.map(|(id, _)| *id).collect()
        };
        let silences = if self.is_leader() {
            self.silences()
        } else {
            self.reported_silences.clone()
        };
        let asked = self.config.peers.iter().chain(&self.contacts).copied();
        GroupView {
            voters: of_kind(MemberKind::Voter),
            learners: of_kind(MemberKind::Learner),
            silent: silences.iter().map(|silence| silence.member.id).collect(),
            change: self.pending_change.as_ref().map(PendingChange::change),
            votes: self.votes.clone(),
            asked: asked.collect(),
            without_group: self.without_group.clone(),
        }
    }

    /// The entry at `index`, if in memory; for invariant checks in tests.
    #[doc(hidden)]
    #[must_use]
    pub fn entry(&self, index: Index) -> Option<&crate::log::Entry> {
        self.log.entry(index)
    }

    fn has_fault(&self, fault: Fault) -> bool {
        self.config.fault == Some(fault)
    }

    fn me(&self) -> Peer {
        self.identity.peer
    }

    fn membership(&self) -> &Membership {
        self.memberships.latest()
    }

    /// Whether this member is a voter under its current incarnation.
    fn is_voter(&self) -> bool {
        let members = self.membership();
        members.is_voter(self.me().id) && members.admits(self.me())
    }

    fn is_sole_voter(&self) -> bool {
        self.is_voter() && self.membership().quorum() == 1
    }

    fn report_role(&mut self) {
        let state = (
            self.role,
            self.hard_state.term,
            self.leader.map(|peer| peer.id),
        );
        if self.reported_role == Some(state) {
            return;
        }
        self.reported_role = Some(state);
        let (role, term, leader) = state;
        self.actions.push(Action::Role { role, term, leader });
    }
}
