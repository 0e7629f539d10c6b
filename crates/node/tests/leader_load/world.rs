//! Control hosts with small processors, and the entry hosts and targets that talk to the leader.
//!
//! The log's core, the leader, its state and the backlog are the product's; each message costs
//! processor time, and a host handles nothing else meanwhile.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use cornelhitch_control::prelude::*;
use cornelhitch_node::backlog::{Backlog, Class, Item, class};
use cornelhitch_node::control::TaskMessage;
use cornelhitch_node::message::{Datagram, Incoming, Message, PeerEvent, Upward};
use cornelhitch_planner::policy::Policy;
use cornelhitch_quorum as quorum;
use cornelhitch_quorum::disk::WriteResult;
use cornelhitch_quorum::prelude::{Membership, Peer, Recovered, Role};
use cornelhitch_quorum::store::Identity;
use cornelhitch_target::inbound;
use cornelhitch_types::demand::DemandReport;
use cornelhitch_types::entry::Host;
use cornelhitch_types::id::Time;
use cornelhitch_wire::hello::ProcessId;
use tokio::sync::oneshot;

use crate::common;

/// The share of a core that a control host has.
const SHARE: f64 = 0.15;
/// Resolution of the simulated time.
const STEP: Time = Time::from_millis(1);
/// Number of control hosts.
const VOTERS: usize = 5;
/// How long a message takes.
const DELAY: Time = Time::from_millis(30);
/// Time between two renewals, and between two reports, of an entry host.
const RENEWAL: Time = Time::from_millis(500);
/// Time between two heartbeats of a target.
const HEARTBEAT: Time = Time::from_millis(1_200);
/// Processor time of an order's or inspection's connection.
const CONNECTION: Time = Time::from_micros(400);
/// Processor time of a change of the view, and of a full view, for each host.
const CHANGES: Time = Time::from_micros(30);
const FULL_VIEW: Time = Time::from_millis(1);
/// An address that nobody connects to.
const ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

/// Returns the processor time of a message, with its reading and its answer.
fn cost(class: Class) -> Time {
    Time::from_micros(match class {
        Class::Consensus | Class::Command | Class::Quota => 150,
        Class::Renewal => 60,
        Class::Heartbeat => 450,
        Class::Report => 120,
    })
}

/// In which order a control host handles messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// As the product does.
    Backlog,
    /// As they arrive.
    Arrival,
}

/// A control host.
struct Control {
    core: quorum::core::Core,
    backlog: Backlog,
    arrivals: VecDeque<Item>,
    state: State,
    leader: Leader,
    leading: bool,
    next_request: u64,
    busy_until: Time,
    tick_at: Time,
    /// Hosts that have a view of this leader.
    subscribers: BTreeSet<u64>,
}

/// The simulated fleet.
pub struct World {
    now: Time,
    order: Order,
    controls: Vec<Control>,
    /// Messages on their way, by the time of their arrival.
    wire: BTreeMap<(Time, u64), (usize, Item)>,
    sent: u64,
    hosts: usize,
    targets: usize,
    /// The leader that entry hosts know.
    known_leader: Option<usize>,
    /// Control hosts on the other side of a cut.
    cut: BTreeSet<usize>,
    elections: usize,
    /// When changes were proposed, by their request ids at the leader.
    proposed: BTreeMap<(usize, u64), Time>,
    committed: usize,
    slowest: Duration,
}

impl World {
    /// Starts a fleet.
    pub fn new(order: Order, hosts: usize, targets: usize) -> Self {
        let voters: Vec<Peer> = (0..VOTERS as u64)
            .map(|id| Peer { id, incarnation: 1 })
            .collect();
        let members = Membership::of(&voters);
        let control = |peer: &Peer| {
            let identity = Identity {
                cluster: 1,
                group: 0,
                peer: *peer,
            };
            let config = quorum::config::Config {
                peers: voters.iter().map(|peer| peer.id).collect(),
                election_timeout: Duration::from_millis(500),
                heartbeat_interval: Duration::from_millis(100),
                lease_reads: false,
                ..quorum::config::Config::default()
            };
            let recovered = Recovered::seeded(identity, &members);
            Control {
                core: quorum::core::Core::new(config, recovered, peer.id + 7, Time::ZERO),
                backlog: Backlog::default(),
                arrivals: VecDeque::new(),
                state: State::default(),
                leader: Leader::new(Box::new(Policy::default())),
                leading: false,
                next_request: 1,
                busy_until: Time::ZERO,
                tick_at: Time::ZERO,
                subscribers: BTreeSet::new(),
            }
        };
        Self {
            now: Time::ZERO,
            order,
            controls: voters.iter().map(control).collect(),
            wire: BTreeMap::new(),
            sent: 0,
            hosts,
            targets,
            known_leader: None,
            cut: BTreeSet::new(),
            elections: 0,
            proposed: BTreeMap::new(),
            committed: 0,
            slowest: Duration::ZERO,
        }
    }

    /// Number of leaders that were elected.
    pub fn elections(&self) -> usize {
        self.elections
    }

    /// The longest time that a change took.
    pub fn slowest_commit(&self) -> Duration {
        self.slowest
    }

    /// Number of changes that are committed.
    pub fn committed(&self) -> usize {
        self.committed
    }

    /// Number of changes that are not committed.
    pub fn uncommitted(&self) -> usize {
        self.proposed.len()
    }

    /// Cuts the leader off from the other control hosts.
    pub fn cut_leader_off(&mut self) {
        self.cut = self.known_leader.into_iter().collect();
    }

    /// Cuts the control hosts in two halves, the leader in the smaller one.
    pub fn split(&mut self) {
        let leader = self.known_leader.expect("a leader");
        self.cut = BTreeSet::from([leader, (leader + 1) % VOTERS]);
    }

    /// Ends the cut.
    pub fn heal(&mut self) {
        self.cut.clear();
    }

    /// Restarts all entry hosts: they subscribe again.
    pub fn restart_hosts(&mut self) {
        if let Some(leader) = self.known_leader {
            self.subscribe_all(leader);
        }
    }

    /// Proposes a change to the leader, if there is one.
    pub fn propose(&mut self) {
        let Some(leader) = self.known_leader else {
            return;
        };
        let call = 0;
        let command = Command::Noop.encode();
        self.proposed.insert((leader, self.sent), self.now);
        self.upward(leader, 0, Upward::Propose { call, command });
    }

    /// Runs for a time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.talk();
            self.deliver();
            for at in 0..VOTERS {
                self.work(at);
            }
        }
    }

    /// Lets entry hosts and targets say what is due.
    fn talk(&mut self) {
        let Some(leader) = self.known_leader else {
            return;
        };
        let now_ms = u64::try_from(self.now.as_millis()).expect("short");
        let due = |index: usize, interval: Time| {
            let interval = u64::try_from(interval.as_millis()).expect("short");
            (now_ms + index as u64 * 37).is_multiple_of(interval)
        };
        for host in 0..self.hosts {
            if due(host, RENEWAL) {
                let (renewal, report) = (renewal(host, now_ms), report(host, now_ms));
                self.send(leader, renewal);
                self.upward(leader, host as u64, Upward::Report(report));
            }
        }
        for target in 0..self.targets {
            if due(target, HEARTBEAT) {
                self.send(leader, heartbeat(target, now_ms));
            }
        }
    }

    /// Sends a message from the clients' side.
    fn send(&mut self, to: usize, item: Item) {
        self.sent += 1;
        self.wire.insert((self.now + DELAY, self.sent), (to, item));
    }

    /// Sends a host's message to the leader.
    fn upward(&mut self, to: usize, host: u64, upward: Upward) {
        let from = ProcessId {
            host: 1_000 + host,
            incarnation: 1,
        };
        let event = PeerEvent::Message(Message::Upward(upward));
        self.send(to, Item::Peer(Incoming { from, event }));
    }

    /// Lets all hosts subscribe to the view of a leader.
    fn subscribe_all(&mut self, leader: usize) {
        for host in 0..self.hosts as u64 {
            let (term, sequence) = (0, 0);
            self.upward(leader, host, Upward::Subscribe { term, sequence });
        }
    }

    /// Moves the messages that have arrived to their hosts.
    fn deliver(&mut self) {
        while let Some(entry) = self.wire.first_entry()
            && entry.key().0 <= self.now
        {
            let (to, item) = entry.remove();
            let control = &mut self.controls[to];
            match self.order {
                Order::Backlog => control.backlog.push(item),
                Order::Arrival => control.arrivals.push_back(item),
            }
        }
    }

    /// Lets a control host work while its processor is free.
    fn work(&mut self, at: usize) {
        while self.controls[at].busy_until <= self.now {
            let control = &mut self.controls[at];
            let waiting = match self.order {
                Order::Backlog => control.backlog.pop_consensus(),
                Order::Arrival => None,
            };
            if let Some(item) = waiting {
                self.handle(at, item);
            } else if control.core.next_wake() <= self.now {
                self.spend(at, cost(Class::Consensus));
                self.quorum(at, quorum::event::Event::Tick);
            } else if control.leading && control.tick_at <= self.now {
                control.tick_at = self.now + Time::from_millis(50);
                self.lead(at, Input::Tick);
            } else {
                let next = match self.order {
                    Order::Backlog => control.backlog.pop(),
                    Order::Arrival => control.arrivals.pop_front(),
                };
                let Some(item) = next else {
                    return;
                };
                self.handle(at, item);
            }
        }
    }

    /// Charges processor time.
    fn spend(&mut self, at: usize, time: Time) {
        let control = &mut self.controls[at];
        let start = control.busy_until.max(self.now);
        control.busy_until = start + time.mul_f64(1.0 / SHARE);
    }

    /// Handles one message.
    fn handle(&mut self, at: usize, item: Item) {
        self.spend(at, cost(class(&item)));
        match item {
            Item::Peer(incoming) => self.peer_event(at, incoming),
            Item::Task(TaskMessage::Written(result)) => self.quorum(at, result.into()),
            Item::Task(TaskMessage::Target(message, _)) => {
                if let inbound::Message::Presence(presence) = *message {
                    self.lead(at, Input::Presence(presence));
                }
            }
            Item::Task(_) => {}
        }
    }

    /// Handles a message of a peer.
    fn peer_event(&mut self, at: usize, incoming: Incoming) {
        let host = incoming.from.host;
        match incoming.event {
            PeerEvent::Message(Message::Quorum(message)) => {
                let from = host;
                self.quorum(at, quorum::event::Event::Receive { from, message });
            }
            PeerEvent::Message(Message::Upward(Upward::Subscribe { term, sequence })) => {
                let input = Input::Subscribe {
                    host,
                    term,
                    sequence,
                };
                self.lead(at, input);
            }
            PeerEvent::Message(Message::Upward(Upward::Report(report))) => {
                self.lead(at, Input::Report(report));
            }
            PeerEvent::Message(Message::Upward(Upward::Propose { command, .. })) => {
                self.propose_at(at, &command);
            }
            PeerEvent::Datagram(Datagram::Renew { host, .. }, _) => {
                self.lead(at, Input::Renewal(host));
            }
            _ => {}
        }
    }

    /// Proposes a command that a host has sent; its entry in `proposed` gets the request's id.
    fn propose_at(&mut self, at: usize, command: &bytes::Bytes) {
        let key = self.proposed.keys().find(|(leader, _)| *leader == at);
        let Some(key) = key.copied() else {
            return;
        };
        let control = &mut self.controls[at];
        let id = control.next_request;
        control.next_request += 1;
        if let Some(since) = self.proposed.remove(&key) {
            self.proposed.insert((VOTERS + at, id), since);
        }
        let payload = command.clone();
        self.quorum(at, quorum::event::Event::Propose { id, payload });
    }

    /// Passes an event to a host's log and carries out what follows.
    fn quorum(&mut self, at: usize, event: quorum::event::Event) {
        let actions = self.controls[at].core.handle(event, self.now);
        for action in actions {
            self.perform(at, action);
        }
    }

    /// Carries out an action of the log.
    fn perform(&mut self, at: usize, action: quorum::action::Action) {
        use quorum::action::Action;
        match action {
            Action::Persist(batch) => {
                let written = WriteResult::Persisted { token: batch.token };
                let item = Item::Task(TaskMessage::Written(written));
                self.sent += 1;
                self.wire.insert((self.now + STEP, self.sent), (at, item));
            }
            Action::Send { to, message } => {
                let to = usize::try_from(to).expect("an index");
                if self.cut.contains(&at) == self.cut.contains(&to) {
                    let from = ProcessId {
                        host: at as u64,
                        incarnation: 1,
                    };
                    let event = PeerEvent::Message(Message::Quorum(message));
                    self.send(to, Item::Peer(Incoming { from, event }));
                }
            }
            Action::Apply(entry) => self.apply(at, &entry),
            Action::Role { role, .. } => self.role(at, role),
            Action::BarrierDone { .. } => {
                self.elections += 1;
                self.known_leader = Some(at);
                let control = &mut self.controls[at];
                control.leading = true;
                let term = control.core.status().term;
                self.lead(at, Input::Elected { term });
                self.subscribe_all(at);
            }
            _ => {}
        }
    }

    /// Handles a change of a host's role.
    fn role(&mut self, at: usize, role: Role) {
        if self.controls[at].leading {
            self.lead(at, Input::LeadershipLost);
            self.controls[at].subscribers.clear();
        }
        let control = &mut self.controls[at];
        control.leading = false;
        if role == Role::Leader {
            let id = control.next_request;
            control.next_request += 1;
            self.quorum(at, quorum::event::Event::Barrier { id });
        }
    }

    /// Applies an entry of the log.
    fn apply(&mut self, at: usize, entry: &quorum::action::Entry) {
        let Ok(command) = Command::decode(&entry.payload) else {
            return;
        };
        let place = Entry {
            index: entry.index,
            term: entry.term,
            time: self.now,
        };
        if let Some(id) = entry.id
            && let Some(since) = self.proposed.remove(&(VOTERS + at, id))
        {
            self.committed += 1;
            self.slowest = self.slowest.max(self.now.saturating_sub(since));
        }
        let reply = self.controls[at].state.apply(&place, command.clone());
        self.lead(at, Input::Applied { command, reply });
    }

    /// Passes an input to a host's leader, if it leads, and carries out what follows.
    fn lead(&mut self, at: usize, input: Input) {
        let control = &mut self.controls[at];
        if !control.leading {
            return;
        }
        let outputs = control.leader.handle(input, &control.state, self.now);
        for output in outputs {
            match output {
                Output::Propose(command) => {
                    let control = &mut self.controls[at];
                    let id = control.next_request;
                    control.next_request += 1;
                    let payload = command.encode();
                    self.quorum(at, quorum::event::Event::Propose { id, payload });
                }
                Output::Publish { to, .. } => self.publish(at, to),
                Output::Inspect { .. } | Output::Order(_) => self.spend(at, CONNECTION),
                _ => {}
            }
        }
    }

    /// Charges what a view costs for each host that gets it.
    fn publish(&mut self, at: usize, to: Audience) {
        let subscribers = &mut self.controls[at].subscribers;
        let cost = match to {
            Audience::All => CHANGES * u32::try_from(subscribers.len()).expect("few"),
            Audience::Host(host) => {
                subscribers.insert(host);
                FULL_VIEW
            }
            Audience::Hosts(hosts) => {
                let cost = FULL_VIEW * u32::try_from(hosts.len()).expect("few");
                subscribers.extend(hosts);
                cost
            }
        };
        self.spend(at, cost);
    }
}

/// Returns a host's renewal.
fn renewal(host: usize, sequence: u64) -> Item {
    let host = host as u64;
    let from = ProcessId {
        host: 1_000 + host,
        incarnation: 1,
    };
    let host = Host {
        host: from.host,
        incarnation: 1,
        address: ADDRESS,
        region: "perth".into(),
        zone: "a".into(),
        load: 0,
        draining: false,
        settings: 0,
    };
    let renew = Datagram::Renew {
        sequence,
        host,
        term: 1,
        view: 1,
    };
    let event = PeerEvent::Datagram(renew, ADDRESS);
    Item::Peer(Incoming { from, event })
}

/// Returns a host's report.
fn report(host: usize, sequence: u64) -> DemandReport {
    DemandReport {
        host: 1_000 + host as u64,
        incarnation: 1,
        sequence,
        region: "perth".into(),
        rows: Vec::new(),
    }
}

/// Returns a target's heartbeat.
fn heartbeat(target: usize, sequence: u64) -> Item {
    let mut presence = common::presence(&format!("w{target}"), 1, sequence);
    let port = 10_000 + u16::try_from(target).expect("few targets");
    presence.announcement.address = ([10, 0, 0, 1], port).into();
    let message = inbound::Message::Presence(Box::new(presence));
    let (answer, _) = oneshot::channel();
    Item::Task(TaskMessage::Target(Box::new(message), answer))
}
