//! Runs a schedule: the network, the clients and the faults.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use bytes::Bytes;
use cornelhitch_quorum::message::Envelope;
use cornelhitch_quorum::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::ledger::{Check, Ledger, Rule, Violation, ensure};
use super::node::{Node, State, config};
use super::{Act, Asked, LEADER, Schedule, Target, Way};

/// How long the end of a schedule may take to make progress, with all faults over.
const RECOVERY: Duration = Duration::from_secs(20);

const CLUSTER: u64 = 7;

/// What is due at a time.
#[derive(Debug)]
enum Due {
    Tick { node: usize },
    Message(Envelope),
    Synced { node: usize, life: u64 },
}

/// A running schedule.
#[derive(Debug)]
pub struct World {
    schedule: Schedule,
    rng: SmallRng,
    pub now: Duration,
    pub nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    due: BTreeMap<u64, Due>,
    sequence: u64,
    cuts: BTreeSet<(MemberId, MemberId)>,
    pub ledger: Ledger,
    requests: RequestId,
    incarnations: u64,
    quiet: bool,
    /// Whether a leader's owner admits members that ask.
    pub admits: bool,
    /// What was sent, for tests that look at it.
    pub sent: Option<Vec<Envelope>>,
}

/// Runs a schedule to its end.
pub fn run(schedule: Schedule) -> Check {
    let mut world = World::new(schedule);
    for step in std::mem::take(&mut world.schedule.steps) {
        world.run_for(Duration::from_millis(step.after.into()))?;
        world.act(&step.act)?;
    }
    world.recover()
}

impl World {
    pub fn new(schedule: Schedule) -> Self {
        let voters: Vec<Peer> = (0..u64::from(schedule.voters))
            .map(|id| Peer { id, incarnation: 1 })
            .collect();
        let members = Membership::of(&voters);
        let count = u64::from(schedule.voters + schedule.others);
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
        let mut world = Self {
            rng: SmallRng::seed_from_u64(schedule.seed),
            now: Duration::ZERO,
            nodes: (0..count).map(node).collect(),
            queue: BinaryHeap::new(),
            due: BTreeMap::new(),
            sequence: 0,
            cuts: BTreeSet::new(),
            ledger: Ledger::default(),
            requests: 0,
            incarnations: 1,
            quiet: false,
            admits: true,
            sent: None,
            schedule,
        };
        (0..world.nodes.len()).for_each(|at| world.start(at));
        world
    }

    fn start(&mut self, at: usize) {
        let founder = self.schedule.voters == 0 && at == 0;
        let mut config = config(founder, self.schedule.fault);
        config.peers = self.nodes.iter().map(|node| node.peer.id).collect();
        let seed = self.rng.random();
        self.nodes[at].start(config, seed, self.now);
        self.wake(at);
    }

    fn push(&mut self, at: Duration, due: Due) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence)));
        self.due.insert(self.sequence, due);
    }

    fn wake(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        let Some(core) = &node.core else { return };
        let wake = core.next_wake();
        let wake = node.real(wake).max(self.now);
        if wake != node.wake {
            node.wake = wake;
            self.push(wake, Due::Tick { node: at });
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
            if let Some(due) = self.due.remove(&sequence) {
                self.happen(due)?;
            }
        }
        self.now = end;
        Ok(())
    }

    fn happen(&mut self, due: Due) -> Check {
        let at = match &due {
            Due::Tick { node } | Due::Synced { node, .. } => *node,
            Due::Message(message) => usize::try_from(message.to).unwrap(),
        };
        if at >= self.nodes.len() || self.nodes[at].core.is_none() {
            return Ok(());
        }
        let paused = self.nodes[at].paused_until;
        if paused > self.now {
            self.push(paused, due);
            return Ok(());
        }
        match due {
            Due::Tick { .. } if self.nodes[at].wake > self.now => Ok(()),
            Due::Tick { .. } => self.handle(at, Event::Tick),
            Due::Message(message) => {
                let from = message.from.id;
                if self.cuts.contains(&(from, message.to)) {
                    return Ok(());
                }
                self.handle(at, Event::Receive { from, message })
            }
            Due::Synced { life, .. } if life != self.nodes[at].life => Ok(()),
            Due::Synced { .. } => {
                let event = self.nodes[at].disk.finish();
                self.sync(at);
                event.map_or(Ok(()), |event| self.handle(at, event))
            }
        }
    }

    /// Gives a member an event, carries out what it asks, and checks the rules.
    pub fn handle(&mut self, at: usize, event: Event) -> Check {
        let now = self.now;
        let node = &mut self.nodes[at];
        let local = node.local(now);
        let Some(core) = &mut node.core else {
            return Ok(());
        };
        let actions = core.handle(event, local);
        for action in actions {
            if let Some(event) = self.carry_out(at, action)? {
                self.handle(at, event)?;
            }
        }
        self.ledger.compare(&mut self.nodes[at])?;
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
                self.ledger
                    .lease(node.peer.id, self.now, node.real(lease.until))?;
            }
        }
        Ok(())
    }

    /// What the owner answers at once, if anything.
    fn carry_out(&mut self, at: usize, action: Action) -> Result<Option<Event>, Violation> {
        let peer = self.nodes[at].peer;
        match action {
            Action::Persist(batch) => {
                self.nodes[at].disk.batches.push_back(batch);
                self.sync(at);
            }
            Action::Send { message, .. } => {
                Ledger::sent(&self.nodes[at], &message)?;
                self.send(&message);
            }
            Action::Apply(entry) => self.apply(at, &entry)?,
            Action::Restore(snapshot) => {
                self.nodes[at].state = State::decode(&snapshot.data, snapshot.index);
                self.ledger.state(peer, self.nodes[at].state)?;
            }
            Action::NeedSnapshot => return Ok(Some(self.snapshot(at))),
            Action::Rejected { id, reason, .. } => {
                self.ledger.outcomes.insert(id, Err(reason));
                if reason != Reason::Unknown {
                    self.ledger.refused(id)?;
                }
            }
            Action::BarrierDone { id } => {
                let applied = self.nodes[at]
                    .core
                    .as_ref()
                    .map_or(0, |c| c.status().applied);
                self.ledger.read(id, applied)?;
            }
            Action::Joining(peer) if self.admits => return Ok(Some(self.admit(at, peer))),
            Action::Role {
                role: Role::Leader,
                term,
                ..
            } => self.ledger.lead(peer, term)?,
            Action::Changed { id } => drop(self.ledger.outcomes.insert(id, Ok(()))),
            Action::Joining(_) | Action::Role { .. } => {}
        }
        Ok(None)
    }

    /// Starts a sync of all batches that are there, if none is under way.
    fn sync(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        if node.disk.syncing > 0 || node.disk.batches.is_empty() {
            return;
        }
        node.disk.syncing = node.disk.batches.len();
        let (due, done) = (
            Due::Synced {
                node: at,
                life: node.life,
            },
            self.now + node.disk.sync,
        );
        self.push(done, due);
    }

    fn send(&mut self, message: &Envelope) {
        if let Some(sent) = &mut self.sent {
            sent.push(message.clone());
        }
        let copies = match self.rng.random_range(0..1000) {
            _ if self.quiet => 1,
            dice if dice < self.schedule.loss => 0,
            dice if dice < self.schedule.loss + self.schedule.doubled => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let most = if self.quiet { 20 } else { self.schedule.delay };
            let delay = Duration::from_micros(self.rng.random_range(0..=u64::from(most) * 1000));
            self.push(self.now + delay, Due::Message(message.clone()));
        }
    }

    fn apply(&mut self, at: usize, entry: &cornelhitch_quorum::action::Entry) -> Check {
        let node = &mut self.nodes[at];
        node.state.apply(entry);
        let (peer, state) = (node.peer, node.state);
        self.ledger.state(peer, state)?;
        let id = u64::from_le_bytes(entry.payload[..8].try_into().unwrap());
        let own = entry.id.is_none_or(|own| own == id);
        ensure(own, Rule::Linearizable, || {
            format!("request {id} is answered as another")
        })?;
        self.ledger.applied(id, entry.index)
    }

    fn snapshot(&self, at: usize) -> Event {
        let state = self.nodes[at].state;
        Event::Snapshot {
            index: state.index,
            data: state.encode(),
        }
    }

    /// A leader's owner admits a member that asks.
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

    /// The members that a member knows.
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
    pub fn leased(&self) -> Option<usize> {
        let at = self.leader()?;
        let node = &self.nodes[at];
        let core = node.core.as_ref()?;
        core.lease(node.local(self.now)).map(|_| at)
    }

    fn pick(&self, target: Target) -> usize {
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
            self.ledger.ask(id);
            let payload = Bytes::copy_from_slice(&id.to_le_bytes());
            self.handle(at, Event::Propose { id, payload })?;
        }
        Ok(id)
    }

    /// Does what a step says.
    pub fn act(&mut self, act: &Act) -> Check {
        match *act {
            Act::Propose(target) => self.propose(self.pick(target)).map(drop)?,
            Act::Burst(target, count) => {
                for _ in 0..count {
                    self.propose(self.pick(target))?;
                }
            }
            Act::Barrier(target) => return self.barrier(self.pick(target)),
            Act::Crash(target, kept) => {
                let at = self.pick(target);
                self.nodes[at].crash(kept.into());
            }
            Act::Restart(target) => self.restart(self.pick(target)),
            Act::Pause(target, ms) => {
                let at = self.pick(target);
                let until = self.now + Duration::from_millis(ms.into());
                self.nodes[at].paused_until = until.max(self.nodes[at].paused_until);
            }
            Act::Wipe(target) => self.wipe(self.pick(target)),
            Act::Cut(from, to) => self.cut(self.pick(from), self.pick(to)),
            Act::Isolate(target, way) => self.isolate(self.pick(target), way),
            Act::Heal => self.cuts.clear(),
            Act::Full(target, full) => {
                let at = self.pick(target);
                self.nodes[at].disk.memory.full = full;
            }
            Act::Slow(target, ms) => {
                let at = self.pick(target);
                self.nodes[at].disk.sync = Duration::from_millis(ms.into());
            }
            Act::Change(asked, a, b) => return self.ask_change(asked, self.pick(a), self.pick(b)),
            Act::Snapshot(target) => {
                let at = self.pick(target);
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
        self.ledger.ask(id);
        self.handle(at, Event::Barrier { id })
    }

    fn restart(&mut self, at: usize) {
        self.nodes[at].crash(1);
        self.start(at);
    }

    /// Empties a disk if the other voters of each group that anyone knows stay a quorum.
    fn wipe(&mut self, at: usize) {
        if self.quorum_without(Some(at)) {
            self.incarnations += 1;
            self.nodes[at].wipe(self.incarnations);
            self.start(at);
        }
    }

    /// Whether a quorum of each group that anyone knows has whole disks, leaving one out.
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
        self.cuts.insert(ids);
    }

    fn isolate(&mut self, at: usize, way: Way) {
        for other in 0..self.nodes.len() {
            match way {
                Way::In => self.cut(other, at),
                Way::Out => self.cut(at, other),
                Way::Both => {
                    self.cut(other, at);
                    self.cut(at, other);
                }
            }
        }
    }

    fn ask_change(&mut self, asked: Asked, a: usize, b: usize) -> Check {
        let (a, b) = (self.nodes[a].peer, self.nodes[b].peer);
        let change = match asked {
            Asked::Add => Change::Add(a),
            Asked::Promote => Change::Promote(a.id),
            Asked::Remove => Change::Remove(a.id),
            Asked::Replace => Change::Replace { old: a.id, new: b },
        };
        self.change(change).map(drop)
    }

    /// Asks whoever leads for a change.
    pub fn change(&mut self, change: Change) -> Result<RequestId, Violation> {
        let id = self.request();
        if let Some(leader) = self.leader() {
            self.handle(leader, Event::Change { id, change })?;
        }
        Ok(id)
    }

    /// Ends all faults: a leader must come, commit a new proposal, and all members follow it.
    pub fn recover(&mut self) -> Check {
        self.cuts.clear();
        self.quiet = true;
        for at in 0..self.nodes.len() {
            self.nodes[at].disk.memory.full = false;
            self.nodes[at].disk.sync = Duration::from_millis(2);
            if self.nodes[at].core.is_none() {
                self.start(at);
            }
        }
        let end = self.now + RECOVERY;
        let mut proposed = Vec::new();
        while self.now < end {
            self.run_for(Duration::from_millis(250))?;
            let done = proposed.iter().any(|id| self.ledger.is_applied(*id));
            if let (Some(at), false) = (self.leader(), done) {
                proposed.push(self.propose(at)?);
            }
        }
        if !self.quorum_without(None) {
            return Ok(());
        }
        let done = proposed.iter().any(|id| self.ledger.is_applied(*id));
        ensure(done, Rule::Progress, || {
            self.describe("no proposal is committed")
        })?;
        self.all_follow()
    }

    fn all_follow(&self) -> Check {
        let Some(leader) = self.leader() else {
            return ensure(false, Rule::Progress, || self.describe("nobody leads"));
        };
        let members = self.members(leader);
        let state = self.nodes[leader].state;
        let follows = |node: &Node| !members.admits(node.peer) || node.state.hash == state.hash;
        let all = self.nodes.iter().all(follows);
        ensure(all, Rule::Progress, || self.describe("a member is behind"))
    }

    /// What is wrong, with the status of all members.
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
