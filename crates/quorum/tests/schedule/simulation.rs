//! Runs a schedule: simulates the network, the clients and the faults.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use bytes::Bytes;
use cornelhitch_quorum::message::Envelope;
use cornelhitch_quorum::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::checker::{Check, Checker, Invariant, Violation, ensure};
use super::node::{Node, State, config};
use super::{ChangeKind, Direction, LEADER, Operation, Schedule, Target};

/// Time within which the group must make progress after all faults have ended.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);

const CLUSTER: u64 = 7;

/// A pending simulation event.
#[derive(Debug)]
enum Pending {
    Tick { node: usize },
    Message(Envelope),
    Synced { node: usize, start_count: u64 },
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
    /// Records all sent messages if set.
    pub sent: Option<Vec<Envelope>>,
}

/// Runs a schedule to its end and checks recovery.
pub fn run(schedule: Schedule) -> Check {
    let mut sim = Simulation::new(schedule);
    for step in std::mem::take(&mut sim.schedule.steps) {
        sim.run_for(Duration::from_millis(step.after.into()))?;
        sim.execute(&step.operation)?;
    }
    sim.recover()
}

impl Simulation {
    pub fn new(schedule: Schedule) -> Self {
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
            sent: None,
            schedule,
        };
        (0..sim.nodes.len()).for_each(|at| sim.start(at));
        sim
    }

    fn start(&mut self, at: usize) {
        let founder = self.schedule.voters == 0 && at == 0;
        let mut config = config(founder, self.schedule.fault);
        config.peers = self.nodes.iter().map(|node| node.peer.id).collect();
        let seed = self.rng.random();
        self.nodes[at].start(config, seed, self.now);
        self.wake(at);
    }

    fn push(&mut self, at: Duration, pending: Pending) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence)));
        self.pending.insert(self.sequence, pending);
    }

    fn wake(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        let Some(core) = &node.core else { return };
        let wake = core.next_wake();
        let wake = node.real(wake).max(self.now);
        if wake != node.wake {
            node.wake = wake;
            self.push(wake, Pending::Tick { node: at });
        }
    }

    pub fn run_for(&mut self, time: Duration) -> Check {
        let end = self.now + time;
        while let Some(Reverse((at, sequence))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(pending) = self.pending.remove(&sequence) {
                self.process(pending)?;
            }
        }
        self.now = end;
        Ok(())
    }

    fn process(&mut self, pending: Pending) -> Check {
        let at = match &pending {
            Pending::Tick { node } | Pending::Synced { node, .. } => *node,
            Pending::Message(message) => usize::try_from(message.to).unwrap(),
        };
        if at >= self.nodes.len() || self.nodes[at].core.is_none() {
            return Ok(());
        }
        let paused = self.nodes[at].paused_until;
        if paused > self.now {
            self.push(paused, pending);
            return Ok(());
        }
        match pending {
            Pending::Tick { .. } if self.nodes[at].wake > self.now => Ok(()),
            Pending::Tick { .. } => self.handle(at, Event::Tick),
            Pending::Message(message) => {
                let from = message.from.id;
                if self.blocked_links.contains(&(from, message.to)) {
                    return Ok(());
                }
                self.handle(at, Event::Receive { from, message })
            }
            Pending::Synced { start_count, .. } if start_count != self.nodes[at].start_count => {
                Ok(())
            }
            Pending::Synced { .. } => {
                let event = self.nodes[at].disk.finish();
                self.start_sync(at);
                event.map_or(Ok(()), |event| self.handle(at, event))
            }
        }
    }

    /// Passes an event to a member, executes the resulting actions and checks the invariants.
    pub fn handle(&mut self, at: usize, event: Event) -> Check {
        let now = self.now;
        let node = &mut self.nodes[at];
        let local = node.local(now);
        let Some(core) = &mut node.core else {
            return Ok(());
        };
        let actions = core.handle(event, local);
        for action in actions {
            if let Some(event) = self.execute_action(at, action)? {
                self.handle(at, event)?;
            }
        }
        self.checker.check_node(&mut self.nodes[at])?;
        self.check_leases()?;
        self.wake(at);
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
    fn execute_action(&mut self, at: usize, action: Action) -> Result<Option<Event>, Violation> {
        let peer = self.nodes[at].peer;
        match action {
            Action::Persist(batch) => {
                self.nodes[at].disk.batches.push_back(batch);
                self.start_sync(at);
            }
            Action::Send { message, .. } => {
                Checker::message_sent(&self.nodes[at], &message)?;
                self.send(&message);
            }
            Action::Apply(entry) => self.apply(at, &entry)?,
            Action::Restore(snapshot) => {
                self.nodes[at].state = State::decode(&snapshot.data, snapshot.index);
                self.checker.state_changed(peer, self.nodes[at].state)?;
            }
            Action::NeedSnapshot => return Ok(Some(self.snapshot(at))),
            Action::Rejected { id, reason, .. } => {
                self.checker.outcomes.insert(id, Err(reason));
                if reason != Reason::Unknown {
                    self.checker.request_rejected(id)?;
                }
            }
            Action::BarrierDone { id } => {
                let applied = self.nodes[at]
                    .core
                    .as_ref()
                    .map_or(0, |c| c.status().applied);
                self.checker.read_completed(id, applied)?;
            }
            Action::Joining(peer) if self.admit_joiners => return Ok(Some(self.admit(at, peer))),
            Action::Role {
                role: Role::Leader,
                term,
                ..
            } => self.checker.leader_elected(peer, term)?,
            Action::Changed { id } => drop(self.checker.outcomes.insert(id, Ok(()))),
            Action::Joining(_) | Action::Role { .. } => {}
        }
        Ok(None)
    }

    /// Starts a sync of all queued batches unless one is in progress.
    fn start_sync(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        if node.disk.syncing > 0 || node.disk.batches.is_empty() {
            return;
        }
        node.disk.syncing = node.disk.batches.len();
        let (pending, done) = (
            Pending::Synced {
                node: at,
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

    fn apply(&mut self, at: usize, entry: &cornelhitch_quorum::action::Entry) -> Check {
        let node = &mut self.nodes[at];
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

    fn snapshot(&self, at: usize) -> Event {
        let state = self.nodes[at].state;
        Event::Snapshot {
            index: state.index,
            data: state.encode(),
        }
    }

    /// Returns the event with which the leader's owner admits a joining member.
    fn admit(&mut self, at: usize, peer: Peer) -> Event {
        let members = self.members(at);
        let change = if members.contains_key(&peer.id) {
            Change::Replace {
                old: peer.id,
                new: peer,
            }
        } else {
            Change::Add(peer)
        };
        Event::Change {
            id: self.request(),
            change,
        }
    }

    /// The latest membership known to a member.
    pub fn members(&self, at: usize) -> Membership {
        self.nodes[at]
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
        let leads = |at: &usize| self.nodes[*at].core.as_ref().is_some_and(Core::is_leader);
        let term = |at: &usize| self.nodes[*at].core.as_ref().map(|core| core.status().term);
        (0..self.nodes.len()).filter(leads).max_by_key(term)
    }

    /// The leader of the latest term, if it holds a lease.
    pub fn leader_with_lease(&self) -> Option<usize> {
        let at = self.leader()?;
        let node = &self.nodes[at];
        let core = node.core.as_ref()?;
        core.lease(node.local(self.now)).map(|_| at)
    }

    fn index_of(&self, target: Target) -> usize {
        let leader = if target >= LEADER {
            self.leader()
        } else {
            None
        };
        leader.unwrap_or(usize::from(target) % self.nodes.len())
    }

    pub fn propose(&mut self, at: usize) -> Result<RequestId, Violation> {
        let id = self.request();
        if self.nodes[at].core.is_some() && self.nodes[at].paused_until <= self.now {
            self.checker.request_started(id);
            let payload = Bytes::copy_from_slice(&id.to_le_bytes());
            self.handle(at, Event::Propose { id, payload })?;
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
                let at = self.index_of(target);
                self.nodes[at].crash(kept.into());
            }
            Operation::Restart(target) => self.restart(self.index_of(target)),
            Operation::Pause(target, ms) => {
                let at = self.index_of(target);
                let until = self.now + Duration::from_millis(ms.into());
                self.nodes[at].paused_until = until.max(self.nodes[at].paused_until);
            }
            Operation::Wipe(target) => self.wipe(self.index_of(target)),
            Operation::Cut(from, to) => self.cut(self.index_of(from), self.index_of(to)),
            Operation::Isolate(target, direction) => self.isolate(self.index_of(target), direction),
            Operation::Heal => self.blocked_links.clear(),
            Operation::Full(target, full) => {
                let at = self.index_of(target);
                self.nodes[at].disk.memory.full = full;
            }
            Operation::Slow(target, ms) => {
                let at = self.index_of(target);
                self.nodes[at].disk.sync = Duration::from_millis(ms.into());
            }
            Operation::Change(kind, a, b) => {
                return self.execute_change(kind, self.index_of(a), self.index_of(b));
            }
            Operation::Snapshot(target) => {
                let at = self.index_of(target);
                let event = self.snapshot(at);
                return self.handle(at, event);
            }
        }
        Ok(())
    }

    fn barrier(&mut self, at: usize) -> Check {
        if self.nodes[at].core.is_none() || self.nodes[at].paused_until > self.now {
            return Ok(());
        }
        let id = self.request();
        self.checker.request_started(id);
        self.handle(at, Event::Barrier { id })
    }

    fn restart(&mut self, at: usize) {
        self.nodes[at].crash(1);
        self.start(at);
    }

    /// Wipes a disk, unless the other voters of some membership known to any member would not form
    /// a quorum.
    fn wipe(&mut self, at: usize) {
        if self.quorum_without(Some(at)) {
            self.incarnations += 1;
            self.nodes[at].wipe(self.incarnations);
            self.start(at);
        }
    }

    /// Whether each membership known to any member has a quorum of voters with intact disks, not
    /// counting `at`.
    fn quorum_without(&self, at: Option<usize>) -> bool {
        let left = at.map(|at| self.nodes[at].peer);
        let whole: Vec<Peer> = self
            .nodes
            .iter()
            .map(|n| n.peer)
            .filter(|p| Some(*p) != left)
            .collect();
        self.nodes
            .iter()
            .flat_map(Node::memberships)
            .all(|members| {
                let stays = |id: &MemberId| whole.iter().any(|p| p.id == *id && members.admits(*p));
                members.is_empty() || members.voters().filter(stays).count() >= members.quorum()
            })
    }

    fn cut(&mut self, from: usize, to: usize) {
        let ids = (self.nodes[from].peer.id, self.nodes[to].peer.id);
        self.blocked_links.insert(ids);
    }

    fn isolate(&mut self, at: usize, direction: Direction) {
        for other in 0..self.nodes.len() {
            match direction {
                Direction::In => self.cut(other, at),
                Direction::Out => self.cut(at, other),
                Direction::Both => {
                    self.cut(other, at);
                    self.cut(at, other);
                }
            }
        }
    }

    fn execute_change(&mut self, kind: ChangeKind, a: usize, b: usize) -> Check {
        let (a, b) = (self.nodes[a].peer, self.nodes[b].peer);
        let change = match kind {
            ChangeKind::Add => Change::Add(a),
            ChangeKind::Promote => Change::Promote(a.id),
            ChangeKind::Remove => Change::Remove(a.id),
            ChangeKind::Replace => Change::Replace { old: a.id, new: b },
        };
        self.change(change).map(drop)
    }

    /// Requests a membership change from the leader.
    pub fn change(&mut self, change: Change) -> Result<RequestId, Violation> {
        let id = self.request();
        if let Some(leader) = self.leader() {
            self.handle(leader, Event::Change { id, change })?;
        }
        Ok(id)
    }

    /// Ends all faults, after which a leader must be elected, a new proposal committed and all
    /// members caught up.
    pub fn recover(&mut self) -> Check {
        self.blocked_links.clear();
        self.faults_disabled = true;
        for at in 0..self.nodes.len() {
            self.nodes[at].disk.memory.full = false;
            self.nodes[at].disk.sync = Duration::from_millis(2);
            if self.nodes[at].core.is_none() {
                self.start(at);
            }
        }
        let end = self.now + RECOVERY_TIMEOUT;
        let mut proposed = Vec::new();
        while self.now < end {
            self.run_for(Duration::from_millis(250))?;
            let done = proposed.iter().any(|id| self.checker.is_applied(*id));
            if let (Some(at), false) = (self.leader(), done) {
                proposed.push(self.propose(at)?);
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
