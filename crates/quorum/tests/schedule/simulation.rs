//! Runs a schedule: simulates the network, the clients and the faults.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use bytes::Bytes;
use cornelhitch_quorum::membership_policy::MembershipPolicy;
use cornelhitch_quorum::message::Envelope;
use cornelhitch_quorum::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::checker::{Check, Checker, Invariant, Violation, ensure};
use super::node::{Node, State, config};
use super::{ChangeKind, Direction, FirstStart, LEADER, Operation, Schedule, Target};

/// Time within which the group must make progress after all faults have ended.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);

const CLUSTER: u64 = 7;

/// The incarnation of each disk at the start.
const FIRST_INCARNATION: u64 = 1;

/// Election timeout on clusters with seeds.
pub const SEEDED_ELECTION_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval between heartbeats on clusters with seeds.
const SEEDED_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between two checks of the membership by a member's owner.
const MEMBERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How the owners of a cluster whose hosts join and leave without an operator act.
#[derive(Clone, Debug)]
pub struct Seeded {
    /// The policy by which the leader's owner changes the membership.
    pub policy: MembershipPolicy,
    /// The members that every member is told at its start.
    pub seeds: Vec<MemberId>,
}

/// A pending simulation event.
#[derive(Debug)]
enum Pending {
    Tick { node: usize },
    Message(Envelope),
    Synced { node: usize, start_count: u64 },
    MembershipCheck { node: usize, start_count: u64 },
}

/// A running schedule.
#[derive(Debug)]
pub struct Simulation {
    schedule: Schedule,
    rng: SmallRng,
    pub now: Duration,
    pub nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    pending: BTreeMap<u64, Pending>,
    sequence: u64,
    blocked_links: BTreeSet<(MemberId, MemberId)>,
    pub checker: Checker,
    requests: RequestId,
    incarnations: u64,
    faults_disabled: bool,
    /// Whether the leader's owner admits members that ask to join.
    pub admit_joiners: bool,
    /// How the owners change the membership; without it, they admit whoever asks to join.
    seeded: Option<Seeded>,
    /// The seeds of members that are told others than the first ones.
    own_seeds: BTreeMap<usize, Vec<MemberId>>,
    /// Records all sent messages if set.
    pub sent: Option<Vec<Envelope>>,
}

/// Runs a schedule to its end and checks recovery.
pub fn run(schedule: Schedule) -> Check {
    run_to_end(Simulation::new(schedule))
}

/// Runs a first start to its end, with owners that act as on a cluster with seeds.
pub fn run_first_start(start: FirstStart) -> Check {
    let losses = usize::from(start.founders - 1) / 2;
    let seeded = Seeded {
        policy: MembershipPolicy::for_losses(losses, SEEDED_ELECTION_TIMEOUT),
        seeds: (0..start.founders.into()).collect(),
    };
    run_to_end(Simulation::seeded(start.schedule, seeded))
}

fn run_to_end(mut sim: Simulation) -> Check {
    for step in std::mem::take(&mut sim.schedule.steps) {
        sim.run_for(Duration::from_millis(step.after.into()))?;
        sim.execute(&step.operation)?;
    }
    sim.recover()
}

impl Simulation {
    pub fn new(schedule: Schedule) -> Self {
        Self::with_owners(schedule, None)
    }

    /// Creates a simulation in which the owners act as on a cluster with seeds.
    pub fn seeded(schedule: Schedule, seeded: Seeded) -> Self {
        Self::with_owners(schedule, Some(seeded))
    }

    fn with_owners(schedule: Schedule, seeded: Option<Seeded>) -> Self {
        let voters: Vec<Peer> = (0..u64::from(schedule.voters))
            .map(|id| Peer { id, incarnation: 1 })
            .collect();
        let members = Membership::of(&voters);
        let count = u64::from(schedule.voters + schedule.joiners);
        let node = |id| {
            let peer = Peer { id, incarnation: 1 };
            let identity = Identity {
                cluster: CLUSTER,
                group: 0,
                peer,
            };
            let voter = members.contains_key(&id);
            let seeded = || Recovered::seeded(identity, &members);
            Node::new(if voter {
                seeded()
            } else {
                Recovered::empty(identity)
            })
        };
        let mut sim = Self {
            rng: SmallRng::seed_from_u64(schedule.seed),
            now: Duration::ZERO,
            nodes: (0..count).map(node).collect(),
            queue: BinaryHeap::new(),
            pending: BTreeMap::new(),
            sequence: 0,
            blocked_links: BTreeSet::new(),
            checker: Checker::default(),
            requests: 0,
            incarnations: 1,
            faults_disabled: false,
            admit_joiners: true,
            seeded,
            own_seeds: BTreeMap::new(),
            sent: None,
            schedule,
        };
        (0..sim.nodes.len()).for_each(|index| sim.start(index));
        sim
    }

    fn start(&mut self, index: usize) {
        let mut config = config(self.may_bootstrap(index), self.schedule.fault);
        config.peers = self.nodes.iter().map(|node| node.peer.id).collect();
        if let Some(seeded) = &self.seeded {
            let own = self.own_seeds.get(&index);
            config.peers.clone_from(own.unwrap_or(&seeded.seeds));
            config.founders = config.peers.iter().copied().collect();
            config.election_timeout = SEEDED_ELECTION_TIMEOUT;
            config.heartbeat_interval = SEEDED_HEARTBEAT_INTERVAL;
        }
        let seed = self.rng.random();
        self.nodes[index].start(config, seed, self.now);
        self.wake(index);
        if self.seeded.is_some() {
            self.schedule_membership_check(index);
        }
    }

    /// Whether the settings of a member say that it founds the group if its disk is empty. A seed
    /// that lost its disk is told otherwise.
    fn may_bootstrap(&self, index: usize) -> bool {
        let Some(seeded) = &self.seeded else {
            return self.schedule.voters == 0 && index == 0;
        };
        let peer = self.nodes[index].peer;
        let is_seed = seeded.seeds.contains(&peer.id);
        self.schedule.voters == 0 && is_seed && peer.incarnation == FIRST_INCARNATION
    }

    fn schedule_membership_check(&mut self, node: usize) {
        let start_count = self.nodes[node].start_count;
        let check = Pending::MembershipCheck { node, start_count };
        self.push(self.now + MEMBERSHIP_CHECK_INTERVAL, check);
    }

    /// Starts the membership change that the policy finds due, as the leader's owner does.
    fn check_membership(&mut self, index: usize) -> Check {
        self.schedule_membership_check(index);
        let node = &self.nodes[index];
        let (Some(core), Some(seeded)) = (&node.core, &self.seeded) else {
            return Ok(());
        };
        let (status, now) = (core.status(), node.local(self.now));
        let policy = &seeded.policy;
        let change = policy.next_change(&status, &node.join_requests, now);
        let Some(change) = change else {
            return Ok(());
        };
        let id = self.request();
        self.handle(index, Event::ChangeMembership { id, change })
    }

    fn push(&mut self, due_at: Duration, pending: Pending) {
        self.sequence += 1;
        self.queue.push(Reverse((due_at, self.sequence)));
        self.pending.insert(self.sequence, pending);
    }

    fn wake(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let Some(core) = &node.core else { return };
        let wake = core.next_wake();
        let wake = node.real(wake).max(self.now);
        if wake != node.wake {
            node.wake = wake;
            self.push(wake, Pending::Tick { node: index });
        }
    }

    pub fn run_for(&mut self, time: Duration) -> Check {
        let end = self.now + time;
        while let Some(Reverse((due_at, sequence))) = self.queue.peek().copied() {
            if due_at > end {
                break;
            }
            self.queue.pop();
            self.now = due_at;
            if let Some(pending) = self.pending.remove(&sequence) {
                self.process(pending)?;
            }
        }
        self.now = end;
        Ok(())
    }

    fn process(&mut self, pending: Pending) -> Check {
        let index = match &pending {
            Pending::Tick { node }
            | Pending::Synced { node, .. }
            | Pending::MembershipCheck { node, .. } => *node,
            Pending::Message(message) => usize::try_from(message.to).unwrap(),
        };
        if index >= self.nodes.len() || self.nodes[index].core.is_none() {
            return Ok(());
        }
        let paused = self.nodes[index].paused_until;
        if paused > self.now {
            self.push(paused, pending);
            return Ok(());
        }
        match pending {
            Pending::Tick { .. } if self.nodes[index].wake > self.now => Ok(()),
            Pending::Tick { .. } => self.handle(index, Event::Tick),
            Pending::Message(message) => {
                let from = message.from.id;
                if self.blocked_links.contains(&(from, message.to)) {
                    return Ok(());
                }
                self.handle(index, Event::Receive { from, message })
            }
            Pending::Synced { start_count, .. } | Pending::MembershipCheck { start_count, .. }
                if start_count != self.nodes[index].start_count =>
            {
                Ok(())
            }
            Pending::MembershipCheck { .. } => self.check_membership(index),
            Pending::Synced { .. } => {
                let event = self.nodes[index].disk.finish();
                self.start_sync(index);
                event.map_or(Ok(()), |event| self.handle(index, event))
            }
        }
    }

    /// Passes an event to a member, executes the resulting actions and checks the invariants.
    pub fn handle(&mut self, index: usize, event: Event) -> Check {
        let now = self.now;
        let node = &mut self.nodes[index];
        let local = node.local(now);
        let Some(core) = &mut node.core else {
            return Ok(());
        };
        let actions = core.handle(event, local);
        for action in actions {
            if let Some(event) = self.execute_action(index, action)? {
                self.handle(index, event)?;
            }
        }
        self.checker.check_node(&mut self.nodes[index])?;
        self.check_leases()?;
        self.wake(index);
        Ok(())
    }

    fn check_leases(&mut self) -> Check {
        for node in self
            .nodes
            .iter()
            .filter(|node| node.paused_until <= self.now)
        {
            let Some(core) = &node.core else { continue };
            if let Some(lease) = core.lease(node.local(self.now)) {
                self.checker
                    .lease_held(node.peer.id, self.now, node.real(lease.until))?;
            }
        }
        Ok(())
    }

    /// Executes an action. Returns the event with which the owner responds at once, if any.
    fn execute_action(&mut self, index: usize, action: Action) -> Result<Option<Event>, Violation> {
        let peer = self.nodes[index].peer;
        match action {
            Action::Persist(batch) => {
                self.nodes[index].disk.batches.push_back(batch);
                self.start_sync(index);
            }
            Action::Send { message, .. } => {
                Checker::message_sent(&self.nodes[index], &message)?;
                self.send(&message);
            }
            Action::Apply(entry) => self.apply(index, &entry)?,
            Action::Restore(snapshot) => {
                self.nodes[index].state = State::decode(&snapshot.data, snapshot.index);
                self.checker.state_changed(peer, self.nodes[index].state)?;
            }
            Action::NeedSnapshot => return Ok(Some(self.snapshot(index))),
            Action::Rejected { id, reason, .. } => {
                self.checker.outcomes.insert(id, Err(reason));
                if reason != RejectReason::Unknown {
                    self.checker.request_rejected(id)?;
                }
            }
            Action::BarrierDone { id } => {
                let applied = self.nodes[index]
                    .core
                    .as_ref()
                    .map_or(0, |c| c.status().applied);
                self.checker.read_completed(id, applied)?;
            }
            Action::JoinRequested(peer) if self.seeded.is_some() => {
                let node = &mut self.nodes[index];
                let now = node.local(self.now);
                node.join_requests.record(peer, now);
            }
            Action::JoinRequested(peer) if self.admit_joiners => {
                return Ok(Some(self.admit(index, peer)));
            }
            Action::Role {
                role: Role::Leader,
                term,
                ..
            } => self.checker.leader_elected(peer, term)?,
            Action::MembershipChanged { id } => drop(self.checker.outcomes.insert(id, Ok(()))),
            Action::JoinRequested(_) | Action::Role { .. } => {}
        }
        Ok(None)
    }

    /// Starts a sync of all queued batches unless one is in progress.
    fn start_sync(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if node.disk.syncing > 0 || node.disk.batches.is_empty() {
            return;
        }
        node.disk.syncing = node.disk.batches.len();
        let (pending, done) = (
            Pending::Synced {
                node: index,
                start_count: node.start_count,
            },
            self.now + node.disk.sync,
        );
        self.push(done, pending);
    }

    fn send(&mut self, message: &Envelope) {
        if let Some(sent) = &mut self.sent {
            sent.push(message.clone());
        }
        let copies = match self.rng.random_range(0..1000) {
            _ if self.faults_disabled => 1,
            dice if dice < self.schedule.loss => 0,
            dice if dice < self.schedule.loss + self.schedule.duplicated => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let most = if self.faults_disabled {
                20
            } else {
                self.schedule.delay
            };
            let delay = Duration::from_micros(self.rng.random_range(0..=u64::from(most) * 1000));
            self.push(self.now + delay, Pending::Message(message.clone()));
        }
    }

    fn apply(&mut self, index: usize, entry: &cornelhitch_quorum::action::Entry) -> Check {
        let node = &mut self.nodes[index];
        node.state.apply(entry);
        let (peer, state) = (node.peer, node.state);
        self.checker.state_changed(peer, state)?;
        let id = u64::from_le_bytes(entry.payload[..8].try_into().unwrap());
        let own = entry.id.is_none_or(|own| own == id);
        ensure(own, Invariant::Linearizable, || {
            format!("request {id} is completed under another ID")
        })?;
        self.checker.entry_applied(id, entry.index)
    }

    fn snapshot(&self, index: usize) -> Event {
        let state = self.nodes[index].state;
        Event::Snapshot {
            index: state.index,
            data: state.encode(),
        }
    }

    /// Returns the event with which the leader's owner admits a joining member.
    fn admit(&mut self, index: usize, peer: Peer) -> Event {
        let members = self.members(index);
        let change = if members.contains_key(&peer.id) {
            MembershipChange::Replace {
                old: peer.id,
                new: peer,
            }
        } else {
            MembershipChange::Add(peer)
        };
        Event::ChangeMembership {
            id: self.request(),
            change,
        }
    }

    /// The latest membership known to a member.
    pub fn members(&self, index: usize) -> Membership {
        self.nodes[index]
            .core
            .as_ref()
            .map(|core| core.status().members)
            .unwrap_or_default()
    }

    fn request(&mut self) -> RequestId {
        self.requests += 1;
        self.requests
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |index: &usize| {
            self.nodes[*index]
                .core
                .as_ref()
                .is_some_and(Core::is_leader)
        };
        let term = |index: &usize| {
            self.nodes[*index]
                .core
                .as_ref()
                .map(|core| core.status().term)
        };
        (0..self.nodes.len()).filter(leads).max_by_key(term)
    }

    /// The leader of the latest term, if it holds a lease.
    pub fn leader_with_lease(&self) -> Option<usize> {
        let index = self.leader()?;
        let node = &self.nodes[index];
        let core = node.core.as_ref()?;
        core.lease(node.local(self.now)).map(|_| index)
    }

    /// The leader, if its owner takes proposals.
    pub fn leader_that_serves(&self) -> Option<usize> {
        let index = self.leader_with_lease()?;
        let node = &self.nodes[index];
        let (members, version) = (self.members(index), node.state.index);
        let led_for = node.core.as_ref()?.led_for(node.local(self.now))?;
        let refuses = self.seeded.as_ref().is_some_and(|seeded| {
            let policy = &seeded.policy;
            policy.refuses_first_configuration(&members, version, led_for)
        });
        (!refuses).then_some(index)
    }

    /// Whether a member that was given a proposal has acknowledged it.
    pub fn is_acknowledged(&self, id: RequestId, by: usize) -> bool {
        self.has_applied(by, id)
    }

    /// Whether the state of a member has a proposal.
    pub fn has_applied(&self, index: usize, id: RequestId) -> bool {
        let at = self.checker.applied_at(id);
        let node = &self.nodes[index];
        node.core.is_some() && at.is_some_and(|at| node.state.index >= at)
    }

    fn index_of(&self, target: Target) -> usize {
        let leader = if target >= LEADER {
            self.leader()
        } else {
            None
        };
        leader.unwrap_or(usize::from(target) % self.nodes.len())
    }

    pub fn propose(&mut self, index: usize) -> Result<RequestId, Violation> {
        let id = self.request();
        if self.nodes[index].core.is_some() && self.nodes[index].paused_until <= self.now {
            self.checker.request_started(id);
            let payload = Bytes::copy_from_slice(&id.to_le_bytes());
            self.handle(index, Event::Propose { id, payload })?;
        }
        Ok(id)
    }

    /// Executes an operation.
    pub fn execute(&mut self, operation: &Operation) -> Check {
        match *operation {
            Operation::Propose(target) => self.propose(self.index_of(target)).map(drop)?,
            Operation::Burst(target, count) => {
                for _ in 0..count {
                    self.propose(self.index_of(target))?;
                }
            }
            Operation::Barrier(target) => return self.barrier(self.index_of(target)),
            Operation::Crash(target, kept) => {
                let index = self.index_of(target);
                self.nodes[index].crash(kept.into());
            }
            Operation::Restart(target) => self.restart(self.index_of(target)),
            Operation::Pause(target, ms) => {
                let index = self.index_of(target);
                let until = self.now + Duration::from_millis(ms.into());
                self.nodes[index].paused_until = until.max(self.nodes[index].paused_until);
            }
            Operation::Wipe(target) => self.wipe(self.index_of(target)),
            Operation::Cut(from, to) => self.cut(self.index_of(from), self.index_of(to)),
            Operation::Isolate(target, direction) => self.isolate(self.index_of(target), direction),
            Operation::Heal => self.blocked_links.clear(),
            Operation::Full(target, full) => {
                let index = self.index_of(target);
                self.nodes[index].disk.memory.full = full;
            }
            Operation::Slow(target, ms) => {
                let index = self.index_of(target);
                self.nodes[index].disk.sync = Duration::from_millis(ms.into());
            }
            Operation::Change(kind, a, b) => {
                return self.execute_change(kind, self.index_of(a), self.index_of(b));
            }
            Operation::Snapshot(target) => {
                let index = self.index_of(target);
                let event = self.snapshot(index);
                return self.handle(index, event);
            }
        }
        Ok(())
    }

    fn barrier(&mut self, index: usize) -> Check {
        if self.nodes[index].core.is_none() || self.nodes[index].paused_until > self.now {
            return Ok(());
        }
        let id = self.request();
        self.checker.request_started(id);
        self.handle(index, Event::Barrier { id })
    }

    /// Starts a member that is told other seeds than the first ones, from now on.
    pub fn start_with_seeds(&mut self, index: usize, seeds: Vec<MemberId>) {
        self.own_seeds.insert(index, seeds);
        self.start(index);
    }

    pub fn restart(&mut self, index: usize) {
        self.nodes[index].crash(1);
        self.start(index);
    }

    /// Ends a member for good.
    pub fn lose(&mut self, index: usize) {
        self.nodes[index].crash(0);
    }

    /// Wipes a disk and restarts its member, whatever is left of the group.
    pub fn lose_disk(&mut self, index: usize) {
        self.wipe_disk(index);
        self.start(index);
    }

    /// As [`Self::lose_disk`], with other seeds than the first ones.
    pub fn lose_disk_with_seeds(&mut self, index: usize, seeds: Vec<MemberId>) {
        self.wipe_disk(index);
        self.start_with_seeds(index, seeds);
    }

    fn wipe_disk(&mut self, index: usize) {
        self.incarnations += 1;
        self.nodes[index].wipe(self.incarnations);
    }

    /// Changes the loss of messages, in thousandths.
    pub fn set_loss(&mut self, loss: u16) {
        self.schedule.loss = loss;
    }

    /// Wipes a disk, unless the other voters of some membership known to any member would not form
    /// a quorum, or the other founders no majority while nothing is committed.
    fn wipe(&mut self, index: usize) {
        let is_founded = self.checker.last_committed() > 0;
        if self.quorum_without(Some(index)) && (is_founded || self.founders_without(index)) {
            self.lose_disk(index);
        }
    }

    /// Whether a majority of the seeds has the disks of the first start, not counting `excluded`.
    fn founders_without(&self, excluded: usize) -> bool {
        let Some(seeded) = &self.seeded else {
            return true;
        };
        let founders = &seeded.seeds;
        let is_intact = |(index, node): &(usize, &Node)| {
            *index != excluded
                && founders.contains(&node.peer.id)
                && node.peer.incarnation == FIRST_INCARNATION
        };
        let intact = self.nodes.iter().enumerate().filter(is_intact).count();
        intact > founders.len() / 2
    }

    /// Whether each membership known to any member has a quorum of voters with intact disks, not
    /// counting `at`.
    fn quorum_without(&self, excluded: Option<usize>) -> bool {
        let excluded = excluded.map(|index| self.nodes[index].peer);
        let intact: Vec<Peer> = self
            .nodes
            .iter()
            .map(|n| n.peer)
            .filter(|p| Some(*p) != excluded)
            .collect();
        self.nodes
            .iter()
            .flat_map(Node::memberships)
            .all(|members| {
                let remains =
                    |id: &MemberId| intact.iter().any(|p| p.id == *id && members.admits(*p));
                members.is_empty() || members.voters().filter(remains).count() >= members.quorum()
            })
    }

    fn cut(&mut self, from: usize, to: usize) {
        let ids = (self.nodes[from].peer.id, self.nodes[to].peer.id);
        self.blocked_links.insert(ids);
    }

    pub fn isolate(&mut self, index: usize, direction: Direction) {
        for other in 0..self.nodes.len() {
            match direction {
                Direction::In => self.cut(other, index),
                Direction::Out => self.cut(index, other),
                Direction::Both => {
                    self.cut(other, index);
                    self.cut(index, other);
                }
            }
        }
    }

    fn execute_change(&mut self, kind: ChangeKind, a: usize, b: usize) -> Check {
        let (a, b) = (self.nodes[a].peer, self.nodes[b].peer);
        let change = match kind {
            ChangeKind::Add => MembershipChange::Add(a),
            ChangeKind::Promote => MembershipChange::Promote(a.id),
            ChangeKind::Remove => MembershipChange::Remove(a.id),
            ChangeKind::Demote => MembershipChange::Demote(a.id),
            ChangeKind::Readmit => MembershipChange::Readmit(a),
            ChangeKind::Replace => MembershipChange::Replace { old: a.id, new: b },
        };
        self.change(change).map(drop)
    }

    /// Requests a membership change from the leader.
    pub fn change(&mut self, change: MembershipChange) -> Result<RequestId, Violation> {
        let id = self.request();
        if let Some(leader) = self.leader() {
            self.handle(leader, Event::ChangeMembership { id, change })?;
        }
        Ok(id)
    }

    /// Ends all faults, after which a leader must be elected, a new proposal committed and all
    /// members caught up.
    pub fn recover(&mut self) -> Check {
        self.blocked_links.clear();
        self.faults_disabled = true;
        for index in 0..self.nodes.len() {
            self.nodes[index].disk.memory.full = false;
            self.nodes[index].disk.sync = Duration::from_millis(2);
            if self.nodes[index].core.is_none() {
                self.start(index);
            }
        }
        let end = self.now + RECOVERY_TIMEOUT;
        let mut proposed = Vec::new();
        while self.now < end {
            self.run_for(Duration::from_millis(250))?;
            let done = proposed.iter().any(|id| self.checker.is_applied(*id));
            if let (Some(index), false) = (self.leader(), done) {
                proposed.push(self.propose(index)?);
            }
        }
        if !self.quorum_without(None) {
            return Ok(());
        }
        let done = proposed.iter().any(|id| self.checker.is_applied(*id));
        ensure(done, Invariant::Progress, || {
            self.describe("no proposal was committed")
        })?;
        self.all_follow()
    }

    fn all_follow(&self) -> Check {
        let Some(leader) = self.leader() else {
            return ensure(false, Invariant::Progress, || self.describe("no leader"));
        };
        let members = self.members(leader);
        let state = self.nodes[leader].state;
        let follows = |node: &Node| !members.admits(node.peer) || node.state.hash == state.hash;
        let all = self.nodes.iter().all(follows);
        ensure(all, Invariant::Progress, || {
            self.describe("a member has not caught up")
        })
    }

    /// Formats a problem with the status of all members.
    pub fn describe(&self, what: &str) -> String {
        let status = |node: &Node| {
            node.core
                .as_ref()
                .map(|core| format!("\n{:?}", core.status()))
        };
        let all: String = self.nodes.iter().filter_map(status).collect();
        format!("{what}: {all}")
    }
}
