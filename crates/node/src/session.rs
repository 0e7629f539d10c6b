//! A host's session with the leader: who leads, the lease, the view, and calls.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cornelhitch_settings::process;
use cornelhitch_types::entry::Host;
use cornelhitch_types::id::{HostId, Term, Version};
use cornelhitch_types::view::View;
use cornelhitch_wire::hello::Peer;
use serde::Serialize;
use snafu::Snafu;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::beacon::Beacon;
use crate::candidates::{Candidates, PAUSE};
use crate::message::{Datagram, Downward, Incoming, Message, Question, Said, Upward};
use crate::switch::Switch;

/// Time between two renewals of the lease.
const RENEWAL: Duration = Duration::from_millis(500);

/// Silence of the leader after which another voter is asked.
const SILENCE: Duration = Duration::from_millis(1_600);

/// Time after which an unanswered call is sent again.
const RESEND: Duration = Duration::from_secs(1);

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(100);

/// Renewals whose times are remembered.
const REMEMBERED: usize = 64;

/// What the leader tells a host.
#[derive(Debug)]
pub enum Event {
    /// The view changed.
    View(View),
    /// The lease was renewed.
    Lease {
        /// Until when.
        until: Instant,
        /// The settings version it is for.
        version: Version,
    },
}

/// Why a call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Error {
    /// No leader answered in time; the command may be committed or not.
    #[snafu(display("no leader answered in time"))]
    Unavailable,
}

/// A call's answer.
type Answer = oneshot::Sender<Result<Bytes, Error>>;

/// What other tasks ask of the session.
#[derive(Debug)]
enum Command {
    /// Commit a command.
    Propose(Bytes, Duration, Answer),
    /// Ask a question.
    Ask(Question, Duration, Answer),
    /// Tell the leader; it may be lost.
    Tell(Box<Upward>),
    /// Ask for the whole view.
    Resync,
    /// The settings name other hosts to ask who votes.
    Seeds(Vec<process::Peer>),
}

/// The way to the session's task.
#[derive(Debug, Clone)]
pub struct Handle {
    commands: mpsc::UnboundedSender<Command>,
    status: watch::Receiver<Status>,
}

/// What the dump shows of a session.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Status {
    /// The voter that is taken for the leader.
    pub leader: Option<HostId>,
    /// The term of the view.
    pub term: Term,
    /// The place up to which the view is known.
    pub view: u64,
    /// Calls that wait for an answer.
    pub calls: usize,
    /// Milliseconds since the leader was last heard.
    pub silent_ms: u128,
    /// Where the leader takes what targets and operators tell.
    pub registry: Option<SocketAddr>,
}

impl Handle {
    /// Commits a command and returns the state machine's reply, encoded.
    ///
    /// The command may be proposed more than once; it has to be idempotent.
    ///
    /// # Errors
    /// No leader answered in time.
    pub async fn propose(&self, command: Bytes, limit: Duration) -> Result<Bytes, Error> {
        let (answer, answered) = oneshot::channel();
        let _ = self.commands.send(Command::Propose(command, limit, answer));
        answered.await.unwrap_or(Err(Error::Unavailable))
    }

    /// Asks the leader a question and returns its answer as JSON.
    ///
    /// # Errors
    /// No leader answered in time.
    pub async fn ask(&self, question: Question, limit: Duration) -> Result<Bytes, Error> {
        let (answer, answered) = oneshot::channel();
        let _ = self.commands.send(Command::Ask(question, limit, answer));
        answered.await.unwrap_or(Err(Error::Unavailable))
    }

    /// Tells the leader something; it may be lost.
    pub fn tell(&self, upward: Upward) {
        let _ = self.commands.send(Command::Tell(Box::new(upward)));
    }

    /// Asks for the whole view, since changes were lost.
    pub fn resync(&self) {
        let _ = self.commands.send(Command::Resync);
    }

    /// Asks other hosts who votes, besides those that are known.
    pub fn reseed(&self, seeds: Vec<process::Peer>) {
        let _ = self.commands.send(Command::Seeds(seeds));
    }

    /// What the dump shows.
    #[must_use]
    pub fn status(&self) -> Status {
        self.status.borrow().clone()
    }
}

/// What a session is started with.
pub struct Setup {
    /// This host's number.
    pub me: HostId,
    /// The voters of the settings; others are learned.
    pub voters: Vec<process::Peer>,
    /// Links.
    pub switch: Switch,
    /// Datagrams.
    pub beacon: Beacon,
    /// What comes from the leader.
    pub incoming: mpsc::UnboundedReceiver<Incoming>,
    /// This host as the leader knows it; none where it is no entry host.
    pub host: Option<watch::Receiver<Host>>,
    /// Where events go.
    pub events: mpsc::UnboundedSender<Event>,
    /// Ends the task.
    pub stop: CancellationToken,
}

/// A call that waits for its answer.
#[derive(Debug)]
struct Call {
    upward: Upward,
    answer: Answer,
    until: Instant,
    sent: Instant,
}

/// The session itself, owned by its task.
struct Session {
    setup: Setup,
    candidates: Candidates,
    heard: Instant,
    term: Term,
    view: u64,
    subscribed: Instant,
    peers: HashMap<HostId, Peer>,
    renewals: BTreeMap<u64, Instant>,
    sequence: u64,
    renewed: Option<Instant>,
    calls: BTreeMap<u64, Call>,
    call: u64,
    status: watch::Sender<Status>,
    /// Which leader takes what targets and operators tell, and where.
    registry: Option<(HostId, SocketAddr)>,
}

/// Starts the session's task.
#[must_use]
pub fn start(setup: Setup) -> Handle {
    let (commands, asked) = mpsc::unbounded_channel();
    let (status, shown) = watch::channel(Status::default());
    let session = Session {
        candidates: Candidates::new(setup.voters.clone(), setup.me),
        heard: Instant::now(),
        term: 0,
        view: 0,
        subscribed: Instant::now(),
        peers: HashMap::new(),
        renewals: BTreeMap::new(),
        sequence: 0,
        renewed: None,
        calls: BTreeMap::new(),
        call: 0,
        status,
        registry: None,
        setup,
    };
    tokio::spawn(session.run(asked));
    Handle {
        commands,
        status: shown,
    }
}

impl Session {
    /// Serves until the process stops.
    async fn run(mut self, mut asked: mpsc::UnboundedReceiver<Command>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        for candidate in self.candidates.iter() {
            self.setup.switch.open(candidate.host);
        }
        self.subscribe();
        loop {
            tokio::select! {
                () = self.setup.stop.cancelled() => return,
                command = asked.recv() => match command {
                    Some(command) => self.command(command),
                    None => return,
                },
                incoming = self.setup.incoming.recv() => match incoming {
                    Some(incoming) => self.incoming(incoming),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    /// Serves another task.
    fn command(&mut self, command: Command) {
        match command {
            Command::Propose(command, limit, answer) => {
                let call = self.next_call();
                self.call(call, Upward::Propose { call, command }, limit, answer);
            }
            Command::Ask(question, limit, answer) => {
                let call = self.next_call();
                self.call(call, Upward::Ask { call, question }, limit, answer);
            }
            Command::Tell(upward) => self.send(*upward),
            Command::Seeds(seeds) => {
                let seeds: Vec<_> = seeds.iter().map(|seed| self.learn(seed)).collect();
                self.candidates.reseed(seeds);
            }
            Command::Resync => {
                self.view = 0;
                self.subscribe();
            }
        }
    }

    /// The number of a new call.
    fn next_call(&mut self) -> u64 {
        self.call += 1;
        self.call
    }

    /// Sends a call and remembers it until it is answered.
    fn call(&mut self, number: u64, upward: Upward, limit: Duration, answer: Answer) {
        let now = Instant::now();
        self.send(upward.clone());
        let call = Call {
            upward,
            answer,
            until: now + limit,
            sent: now,
        };
        self.calls.insert(number, call);
    }

    /// Takes what a voter says.
    fn incoming(&mut self, incoming: Incoming) {
        let from = incoming.from;
        self.peers.insert(from.host, from);
        match incoming.said {
            Said::Linked => {
                if self.leader() == Some(from.host) {
                    self.subscribe();
                    self.repeat();
                }
            }
            Said::Message(Message::Downward(downward)) => self.downward(from, downward),
            Said::Datagram(datagram, _) => self.datagram(from, &datagram),
            Said::Message(_) => tracing::debug!(host = from.host, "a message for the leader"),
        }
    }

    /// Takes what a voter answers.
    fn downward(&mut self, from: Peer, downward: Downward) {
        match downward {
            Downward::NotLeader { leader, .. } => {
                if self.candidates.heeds(from.host, leader.is_some()) {
                    self.turn(leader);
                }
            }
            Downward::Voters {
                term,
                voters,
                registry,
            } => {
                self.hear(from);
                if self.leader() == Some(from.host) {
                    self.registry = registry.map(|address| (from.host, address));
                }
                let known = voters.iter().map(|voter| self.learn(voter));
                let known = known.collect();
                self.candidates.tell(term, known);
            }
            Downward::View(view) => {
                self.hear(from);
                if view.term >= self.term {
                    self.term = view.term;
                    self.view = view.to;
                    let _ = self.setup.events.send(Event::View(view));
                }
            }
            Downward::Committed { call, reply } => self.answer(from, call, reply),
            Downward::Answer { call, json } => self.answer(from, call, json),
        }
    }

    /// Hands an answer to who asked.
    fn answer(&mut self, from: Peer, call: u64, answer: Bytes) {
        self.hear(from);
        if let Some(call) = self.calls.remove(&call) {
            let _ = call.answer.send(Ok(answer));
        }
    }

    /// Takes the answer to a renewal.
    fn datagram(&mut self, from: Peer, datagram: &Datagram) {
        let Datagram::Lease {
            sequence,
            length,
            version,
            term,
            view,
        } = *datagram
        else {
            return;
        };
        self.hear(from);
        if let Some(sent) = self.renewals.get(&sequence)
            && !length.is_zero()
        {
            let until = *sent + length;
            let _ = self.setup.events.send(Event::Lease { until, version });
        }
        let behind = term != self.term || view > self.view;
        if behind && self.subscribed.elapsed() > RENEWAL {
            self.subscribe();
        }
    }

    /// Notes that the leader lives.
    fn hear(&mut self, from: Peer) {
        if self.candidates.hear(from.host) {
            self.heard = Instant::now();
        }
    }

    /// Does what is due.
    fn tick(&mut self) {
        let now = Instant::now();
        if self.heard + SILENCE < now {
            self.follow();
        }
        if self.renewed.is_none_or(|renewed| renewed + RENEWAL <= now) {
            self.renew(now);
        }
        let late = self.calls.extract_if(.., |_, call| call.until <= now);
        for (_, call) in late {
            let _ = call.answer.send(Err(Error::Unavailable));
        }
        for call in self
            .calls
            .values_mut()
            .filter(|call| call.sent + RESEND <= now)
        {
            call.sent = now;
            let Some(leader) = self.candidates.leader() else {
                break;
            };
            let message = Message::Upward(call.upward.clone());
            self.setup.switch.send(leader.host, message);
        }
        self.show();
    }

    /// Shows the state of the session.
    fn show(&self) {
        self.status.send_replace(Status {
            leader: self.leader(),
            term: self.term,
            view: self.view,
            calls: self.calls.len(),
            silent_ms: self.heard.elapsed().as_millis(),
            registry: self
                .registry
                .filter(|(host, _)| self.leader() == Some(*host))
                .map(|(_, address)| address),
        });
    }

    /// Renews the lease.
    fn renew(&mut self, now: Instant) {
        let Some((peer, address)) = self.known_leader() else {
            // The first message makes the link, which tells the peer's incarnation.
            self.subscribe();
            self.renewed = Some(now);
            return;
        };
        let Some(host) = &self.setup.host else {
            return;
        };
        self.sequence += 1;
        self.renewals.insert(self.sequence, now);
        if self.renewals.len() > REMEMBERED {
            self.renewals.pop_first();
        }
        let renew = Datagram::Renew {
            sequence: self.sequence,
            host: host.borrow().clone(),
            term: self.term,
            view: self.view,
        };
        self.setup.beacon.send(peer, address, renew);
        self.renewed = Some(now);
    }

    /// The leader with its life and address, once they are known.
    fn known_leader(&self) -> Option<(Peer, SocketAddr)> {
        let voter = self.candidates.leader()?;
        if voter.host == self.setup.me {
            let incarnation = self.setup.beacon.incarnation();
            let host = voter.host;
            return Some((Peer { host, incarnation }, voter.address));
        }
        let peer = self.peers.get(&voter.host)?;
        Some((*peer, voter.address))
    }

    /// The voter that is taken for the leader.
    fn leader(&self) -> Option<HostId> {
        self.candidates.leader().map(|voter| voter.host)
    }

    /// Turns to the leader that a voter named, or soon to the next voter.
    fn turn(&mut self, leader: Option<process::Peer>) {
        let named = leader.map(|leader| self.learn(&leader));
        let now = Instant::now();
        if named.is_some_and(|leader| self.candidates.name(leader, now)) {
            self.follow();
        } else {
            self.heard = now - SILENCE + PAUSE;
        }
    }

    /// Takes over where a voter is reached, and returns it with the address that counts here.
    fn learn(&self, voter: &process::Peer) -> process::Peer {
        let host = voter.host;
        let address = self.setup.switch.learn(voter);
        process::Peer { host, address }
    }

    /// Turns to another voter: the one that was named last, or else the next.
    fn follow(&mut self) {
        self.candidates.turn();
        tracing::debug!(leader = ?self.leader(), "turns to another leader");
        self.heard = Instant::now();
        self.subscribe();
        self.repeat();
    }

    /// Asks for changes of the view from where it is known.
    fn subscribe(&mut self) {
        self.subscribed = Instant::now();
        self.send(Upward::Subscribe {
            term: self.term,
            sequence: self.view,
        });
    }

    /// Sends all waiting calls again.
    fn repeat(&mut self) {
        let now = Instant::now();
        let Some(leader) = self.leader() else { return };
        for call in self.calls.values_mut() {
            call.sent = now;
            let message = Message::Upward(call.upward.clone());
            self.setup.switch.send(leader, message);
        }
    }

    /// Sends to the leader.
    fn send(&self, upward: Upward) {
        if let Some(leader) = self.leader() {
            self.setup.switch.send(leader, Message::Upward(upward));
        }
    }
}
