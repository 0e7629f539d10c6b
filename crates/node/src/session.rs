//! A host's session with the leader: finds the leader, renews the lease, follows the view and makes
//! calls.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cornelhitch_entry::peer_load::PeerReport;
use cornelhitch_settings::process;
use cornelhitch_types::entry::Host;
use cornelhitch_types::id::{HostId, Term, Version};
use cornelhitch_types::quota;
use cornelhitch_types::route::RouteTable;
use cornelhitch_types::target::TargetSoftware;
use cornelhitch_types::view::View;
use cornelhitch_wire::hello::ProcessId;
use serde::Serialize;
use snafu::Snafu;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::candidates::{Candidates, SWITCH_PAUSE};
use crate::datagrams::DatagramSocket;
use crate::links::Links;
use crate::message::{Datagram, Downward, Incoming, Message, PeerEvent, Question, Upward};

/// Interval between lease renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// Time without a message from the leader after which another voter is tried.
const LEADER_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Time after which a view that the leader had, and that has not arrived, is asked for again.
const CATCH_UP_TIME: Duration = Duration::from_secs(1);

/// Time after which changes that were lost are asked for again: longer than the answer takes over a
/// link between regions.
const GAP_PAUSE: Duration = Duration::from_millis(250);

/// Time without a lease grant after which other control hosts are asked for their newest route table.
const GRANT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which an unanswered call is sent again.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between checks for due work.
const TICK: Duration = Duration::from_millis(100);

/// Maximum number of lease renewals whose send times are kept.
const MAX_PENDING_RENEWALS: usize = 64;

/// An event for the entry task.
#[derive(Debug)]
pub enum Event {
    /// The view changed.
    View(View),
    /// The leader told the software of targets.
    Software(Vec<TargetSoftware>),
    /// A control host stated the version of its newest route table.
    NewestTable {
        /// The version; 0 if there is none.
        version: Version,
        /// When the question left.
        asked: Instant,
        /// Whether the control host leads.
        leads: bool,
    },
    /// A control host sent its newest route table.
    Table(Arc<RouteTable>),
    /// The lease was renewed.
    Lease {
        /// When the lease ends.
        until: Instant,
        /// The settings version that the lease is for.
        version: Version,
    },
    /// The leader answered a report about teams' quotas.
    Quota(quota::Answer),
    /// Another entry host of the region told what it has in flight.
    PeerReport {
        /// The host.
        from: ProcessId,
        /// What it told.
        report: PeerReport,
    },
}

/// Why a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Error {
    /// No leader answered in time; the command may be committed or not.
    #[snafu(display("no leader answered in time"))]
    Unavailable,
}

/// Where the answer to a call goes.
type Answer = oneshot::Sender<Result<Bytes, Error>>;

/// A command to the session's task.
#[derive(Debug)]
enum Command {
    /// Commit a command within a time limit.
    Propose(Bytes, Duration, Answer),
    /// Send the leader a query within a time limit.
    Ask(Question, Duration, Answer),
    /// Send the leader a message, which may be lost.
    Send(Box<Upward>),
    /// Request the full view.
    FullView,
    /// Request the newest route table, if it is newer than this version.
    Table(Version),
    /// Replace the seeds: the configured hosts that are queried for the leader.
    Seeds(Vec<process::Peer>),
}

/// A handle to the session's task.
#[derive(Debug, Clone)]
pub struct Handle {
    commands: mpsc::UnboundedSender<Command>,
    status: watch::Receiver<Status>,
}

/// The state of a session, as the dump shows it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Status {
    /// The voter that the session currently treats as the leader.
    pub leader: Option<HostId>,
    /// The term of the view.
    pub term: Term,
    /// The sequence number up to which this host has the view.
    pub view: u64,
    /// Number of unanswered calls.
    pub calls: usize,
    /// Milliseconds since the last message from the leader.
    pub silent_ms: u128,
    /// The address at which the leader accepts messages from targets and operators, if known.
    pub registry: Option<SocketAddr>,
}

impl Handle {
    /// Commits a command and returns the state machine's reply, encoded with postcard.
    ///
    /// The command may be proposed more than once, so it has to be idempotent.
    ///
    /// # Errors
    /// Returns [`Error::Unavailable`] if no leader answers within `limit`.
    pub async fn propose(&self, command: Bytes, limit: Duration) -> Result<Bytes, Error> {
        let (answer, answered) = oneshot::channel();
        let _ = self.commands.send(Command::Propose(command, limit, answer));
        answered.await.unwrap_or(Err(Error::Unavailable))
    }

    /// Sends the leader a query and returns its answer as JSON.
    ///
    /// # Errors
    /// Returns [`Error::Unavailable`] if no leader answers within `limit`.
    pub async fn ask(&self, question: Question, limit: Duration) -> Result<Bytes, Error> {
        let (answer, answered) = oneshot::channel();
        let _ = self.commands.send(Command::Ask(question, limit, answer));
        answered.await.unwrap_or(Err(Error::Unavailable))
    }

    /// Sends the leader a message, which may be lost.
    pub fn send(&self, upward: Upward) {
        let _ = self.commands.send(Command::Send(Box::new(upward)));
    }

    /// Requests the full view after changes to it were lost.
    pub fn request_full_view(&self) {
        let _ = self.commands.send(Command::FullView);
    }

    /// Requests the newest route table, if it is newer than version `held`.
    pub fn request_table(&self, held: Version) {
        let _ = self.commands.send(Command::Table(held));
    }

    /// Replaces the seeds: the configured hosts that are queried for the leader.
    pub fn replace_seeds(&self, seeds: Vec<process::Peer>) {
        let _ = self.commands.send(Command::Seeds(seeds));
    }

    /// Returns the session's state for the dump.
    #[must_use]
    pub fn status(&self) -> Status {
        self.status.borrow().clone()
    }
}

/// Everything that [`start`] needs.
pub struct Setup {
    /// This host's id.
    pub me: HostId,
    /// The voters named in the settings; the leader reports others.
    pub voters: Vec<process::Peer>,
    /// This host with its address for peers, if it serves control.
    pub own: Option<process::Peer>,
    /// The links to peers.
    pub links: Links,
    /// The socket for lease datagrams.
    pub datagrams: DatagramSocket,
    /// Messages and datagrams from voters.
    pub incoming: mpsc::UnboundedReceiver<Incoming>,
    /// The description of this host that goes with renewals; `None` unless it is an entry host.
    pub host: Option<watch::Receiver<Host>>,
    /// Where view changes and lease renewals go.
    pub events: mpsc::UnboundedSender<Event>,
    /// Cancelled when the process stops.
    pub stop: CancellationToken,
}

/// An unanswered call.
#[derive(Debug)]
struct Call {
    upward: Upward,
    answer: Answer,
    until: Instant,
    sent: Instant,
}

/// A view that the leader had.
#[derive(Debug, Clone, Copy)]
struct WantedView {
    term: Term,
    view: u64,
    /// When this host heard of it.
    since: Instant,
}

/// The state of the session's task.
struct Session {
    setup: Setup,
    candidates: Candidates,
    last_leader_message: Instant,
    term: Term,
    view: u64,
    last_subscribe: Instant,
    /// A view that the leader had, if it has not arrived yet.
    wanted_view: Option<WantedView>,
    peers: HashMap<HostId, ProcessId>,
    /// When a leader last granted a lease.
    last_grant: Instant,
    /// The control host, besides the presumed leader, that was last sent a renewal.
    last_asked: Option<HostId>,
    /// The newest version of the route table that a control host has named, and that host.
    newest_table: Option<(Version, HostId)>,
    /// Send times of recent lease renewals, by sequence number.
    renewals: BTreeMap<u64, Instant>,
    sequence: u64,
    last_renewal: Option<Instant>,
    calls: BTreeMap<u64, Call>,
    last_call: u64,
    status: watch::Sender<Status>,
    /// A leader's host id and the address at which it accepts messages from targets and operators.
    registry: Option<(HostId, SocketAddr)>,
}

/// Starts the session's task.
#[must_use]
pub fn start(setup: Setup) -> Handle {
    let (commands, command_queue) = mpsc::unbounded_channel();
    let (status, status_receiver) = watch::channel(Status::default());
    let candidates = Candidates::new(setup.voters.clone(), setup.me);
    let session = Session {
        candidates: match setup.own.clone() {
            Some(own) => candidates.with_own(own),
            None => candidates,
        },
        last_leader_message: Instant::now(),
        term: 0,
        view: 0,
        last_subscribe: Instant::now(),
        wanted_view: None,
        peers: HashMap::new(),
        last_grant: Instant::now(),
        last_asked: None,
        newest_table: None,
        renewals: BTreeMap::new(),
        sequence: 0,
        last_renewal: None,
        calls: BTreeMap::new(),
        last_call: 0,
        status,
        registry: None,
        setup,
    };
    tokio::spawn(session.run(command_queue));
    Handle {
        commands,
        status: status_receiver,
    }
}

impl Session {
    /// Processes commands, messages and timers until the process stops.
    async fn run(mut self, mut command_queue: mpsc::UnboundedReceiver<Command>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        for candidate in self.candidates.iter() {
            self.setup.links.open(candidate.host);
        }
        self.subscribe();
        loop {
            tokio::select! {
                () = self.setup.stop.cancelled() => return,
                command = command_queue.recv() => match command {
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

    /// Handles a command from another task.
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
            Command::Send(upward) => self.send(*upward),
            Command::Seeds(seeds) => {
                let seeds: Vec<_> = seeds.iter().map(|seed| self.learn_address(seed)).collect();
                self.candidates.replace_seeds(seeds);
            }
            Command::FullView => {
                self.view = 0;
                self.subscribe();
            }
            Command::Table(held) => self.request_table(held),
        }
    }

    /// Returns the number for a new call.
    fn next_call(&mut self) -> u64 {
        self.last_call += 1;
        self.last_call
    }

    /// Sends a call and keeps it until it is answered or times out.
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

    /// Handles a message, datagram or new link from a peer.
    fn incoming(&mut self, incoming: Incoming) {
        let from = incoming.from;
        self.peers.insert(from.host, from);
        match incoming.event {
            PeerEvent::Linked => {
                if self.leader() == Some(from.host) {
                    self.subscribe();
                    self.resend_calls();
                }
            }
            PeerEvent::Message(Message::Downward(downward)) => self.downward(from, downward),
            PeerEvent::Datagram(
                Datagram::NewestTable {
                    sequence,
                    version,
                    leads,
                },
                _,
            ) => {
                self.table_stated(from, sequence, version, leads);
            }
            PeerEvent::Datagram(Datagram::InFlight(report), _) => {
                let _ = self.setup.events.send(Event::PeerReport { from, report });
            }
            PeerEvent::Datagram(datagram, _) => self.lease_granted(from, &datagram),
            PeerEvent::Message(_) => tracing::debug!(
                host = from.host,
                "message meant for the leader arrived at a session; dropped"
            ),
        }
    }

    /// Handles a message from a voter.
    fn downward(&mut self, from: ProcessId, downward: Downward) {
        match downward {
            Downward::NotLeader { leader, .. } => {
                if self.candidates.accepts_hint(from.host, leader.is_some()) {
                    self.redirect(leader);
                }
            }
            Downward::Voters {
                term,
                voters,
                registry,
            } => {
                self.record_leader_message(from);
                if self.leader() == Some(from.host) {
                    self.registry = registry.map(|address| (from.host, address));
                }
                let known = voters.iter().map(|voter| self.learn_address(voter));
                let known = known.collect();
                self.candidates.update_voters(term, known);
            }
            Downward::View(view) => {
                self.record_leader_message(from);
                self.view_arrived(view);
            }
            Downward::Software(software) => {
                self.record_leader_message(from);
                let _ = self.setup.events.send(Event::Software(software));
            }
            Downward::Table(table) => {
                let _ = self.setup.events.send(Event::Table(table));
            }
            Downward::GuardedTable(guarded) => {
                let _ = self.setup.events.send(Event::Table(guarded.into_table()));
            }
            Downward::HeartbeatsTaken { .. } => {}
            Downward::Quota(answer) => {
                self.record_leader_message(from);
                let _ = self.setup.events.send(Event::Quota(answer));
            }
            Downward::Committed { call, reply } => self.answer(from, call, reply),
            Downward::Answer { call, json } => self.answer(from, call, json),
        }
    }

    /// Passes a view on, unless changes before it are missing: then these are asked for, and only a route
    /// table, which stands for itself, is passed on.
    fn view_arrived(&mut self, view: View) {
        if view.term < self.term {
            return;
        }
        let follows = view.term == self.term && view.from <= self.view;
        if view.from > 0 && !follows {
            for change in view.changes {
                if let Some(table) = change.into_table() {
                    let _ = self.setup.events.send(Event::Table(table));
                }
            }
            return self.subscribe_after_gap(view.term);
        }
        let newer = (view.term, view.to);
        (self.term, self.view) = newer.max((self.term, self.view));
        let _ = self.setup.events.send(Event::View(view));
    }

    /// Subscribes again after changes of a term's view were lost, unless the answer may be on its way.
    fn subscribe_after_gap(&mut self, term: Term) {
        let needs_full_view = self.view == 0 || self.term < term;
        let pause = if needs_full_view {
            CATCH_UP_TIME
        } else {
            GAP_PAUSE
        };
        if self.last_subscribe.elapsed() >= pause {
            tracing::info!(
                term,
                have = self.view,
                needs_full_view,
                "changes of the view were lost: asking for them"
            );
            self.subscribe();
        }
    }

    /// Delivers the answer to a call.
    fn answer(&mut self, from: ProcessId, call: u64, answer: Bytes) {
        self.record_leader_message(from);
        if let Some(call) = self.calls.remove(&call) {
            let _ = call.answer.send(Ok(answer));
        }
    }

    /// Handles a lease grant; subscribes again if the view has fallen behind.
    fn lease_granted(&mut self, from: ProcessId, datagram: &Datagram) {
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
        self.record_leader_message(from);
        if let Some(sent) = self.renewals.get(&sequence)
            && !length.is_zero()
        {
            let until = *sent + length;
            let _ = self.setup.events.send(Event::Lease { until, version });
            self.last_grant = Instant::now();
            self.follow_grantor(from, term);
        }
        self.check_view(term, view);
    }

    /// Takes the host that granted a lease for the leader, if the presumed one has been silent or has sent
    /// no leader's message yet.
    fn follow_grantor(&mut self, from: ProcessId, term: Term) {
        let silent = self.last_leader_message.elapsed() >= GRANT_TIMEOUT;
        let unconfirmed = self.candidates.accepts_hint(from.host, true);
        if term < self.term || self.leader() == Some(from.host) || !(silent || unconfirmed) {
            return;
        }
        if let Some(address) = self.setup.links.address(from.host) {
            let host = from.host;
            self.redirect(Some(process::Peer { host, address }));
        }
    }

    /// Handles the version of a control host's newest route table, in answer to a renewal.
    fn table_stated(&mut self, from: ProcessId, sequence: u64, version: Version, leads: bool) {
        let Some(asked) = self.renewals.get(&sequence).copied() else {
            return;
        };
        if self
            .newest_table
            .is_none_or(|(newest, _)| newest <= version)
        {
            self.newest_table = Some((version, from.host));
        }
        let _ = self.setup.events.send(Event::NewestTable {
            version,
            asked,
            leads,
        });
    }

    /// Asks the control host that named the newest route table for it.
    fn request_table(&self, held: Version) {
        if let Some((version, host)) = self.newest_table {
            tracing::info!(
                held,
                version,
                host,
                "asking for a route table that has not come with the view"
            );
            let message = Message::Upward(Upward::Table { held });
            self.setup.links.send(host, message);
        }
    }

    /// Subscribes again if this host has not caught up with a view that the leader had some time ago.
    fn check_view(&mut self, term: Term, view: u64) {
        let now = Instant::now();
        let is_behind = |wanted: &WantedView| (self.term, self.view) < (wanted.term, wanted.view);
        let wanted = self.wanted_view.filter(is_behind);
        let newest = WantedView {
            term,
            view,
            since: now,
        };
        let wanted = wanted.unwrap_or(newest);
        self.wanted_view = Some(wanted).filter(is_behind);
        let age = now.saturating_duration_since(wanted.since.max(self.last_subscribe));
        if self.wanted_view.is_some() && age >= CATCH_UP_TIME {
            self.subscribe();
        }
    }

    /// Restarts the leader timeout if the peer is the presumed leader.
    fn record_leader_message(&mut self, from: ProcessId) {
        if self.candidates.record_leader_message(from.host) {
            self.last_leader_message = Instant::now();
        }
    }

    /// Runs the periodic work: switches leaders, renews the lease, times out and resends calls.
    fn tick(&mut self) {
        let now = Instant::now();
        if self.last_leader_message + LEADER_TIMEOUT < now {
            self.switch_leader();
        }
        if self
            .last_renewal
            .is_none_or(|renewed| renewed + RENEWAL_INTERVAL <= now)
        {
            self.renew_lease(now);
        }
        let late = self.calls.extract_if(.., |_, call| call.until <= now);
        for (_, call) in late {
            let _ = call.answer.send(Err(Error::Unavailable));
        }
        for call in self
            .calls
            .values_mut()
            .filter(|call| call.sent + RESEND_INTERVAL <= now)
        {
            call.sent = now;
            let Some(leader) = self.candidates.leader() else {
                break;
            };
            let message = Message::Upward(call.upward.clone());
            self.setup.links.send(leader.host, message);
        }
        self.publish_status();
    }

    /// Publishes the session's state.
    fn publish_status(&self) {
        self.status.send_replace(Status {
            leader: self.leader(),
            term: self.term,
            view: self.view,
            calls: self.calls.len(),
            silent_ms: self.last_leader_message.elapsed().as_millis(),
            registry: self
                .registry
                .filter(|(host, _)| self.leader() == Some(*host))
                .map(|(_, address)| address),
        });
    }

    /// Sends the presumed leader a lease renewal, and another control host too while no lease is granted:
    /// each answers with the version of its newest route table.
    fn renew_lease(&mut self, now: Instant) {
        if now.saturating_duration_since(self.last_grant) >= GRANT_TIMEOUT
            && let Some((peer, address)) = self.next_other()
        {
            self.last_asked = Some(peer.host);
            self.send_renewal(peer, address, now);
        }
        let Some((peer, address)) = self.known_leader() else {
            // The first message opens the link, whose handshake carries the peer's incarnation.
            self.subscribe();
            self.last_renewal = Some(now);
            return;
        };
        self.send_renewal(peer, address, now);
        self.last_renewal = Some(now);
    }

    /// Sends a lease renewal, if this is an entry host.
    fn send_renewal(&mut self, peer: ProcessId, address: SocketAddr, now: Instant) {
        let Some(host) = &self.setup.host else {
            return;
        };
        self.sequence += 1;
        self.renewals.insert(self.sequence, now);
        if self.renewals.len() > MAX_PENDING_RENEWALS {
            self.renewals.pop_first();
        }
        let renew = Datagram::Renew {
            sequence: self.sequence,
            host: host.borrow().clone(),
            term: self.term,
            view: self.view,
        };
        self.setup.datagrams.send(peer, address, renew);
    }

    /// Returns the control host after the one last asked whose incarnation is known, other than the
    /// presumed leader.
    fn next_other(&self) -> Option<(ProcessId, SocketAddr)> {
        let leader = self.leader();
        let is_other =
            |peer: &&process::Peer| Some(peer.host) != leader && peer.host != self.setup.me;
        let others = || self.candidates.iter().filter(is_other);
        let after = others().skip_while(|peer| Some(peer.host) != self.last_asked);
        let known = |peer: &process::Peer| Some((*self.peers.get(&peer.host)?, peer.address));
        after.skip(1).chain(others()).find_map(known)
    }

    /// Returns the presumed leader's identity and address; `None` until both are known.
    fn known_leader(&self) -> Option<(ProcessId, SocketAddr)> {
        let voter = self.candidates.leader()?;
        if voter.host == self.setup.me {
            let incarnation = self.setup.datagrams.incarnation();
            let host = voter.host;
            return Some((ProcessId { host, incarnation }, voter.address));
        }
        let peer = self.peers.get(&voter.host)?;
        Some((*peer, voter.address))
    }

    /// Returns the voter that is currently treated as the leader.
    fn leader(&self) -> Option<HostId> {
        self.candidates.leader().map(|voter| voter.host)
    }

    /// Switches to the leader that a voter named, or after a pause to the next voter.
    fn redirect(&mut self, leader: Option<process::Peer>) {
        let named = leader.map(|leader| self.learn_address(&leader));
        let now = Instant::now();
        if named.is_some_and(|leader| self.candidates.hint_leader(leader, now)) {
            self.switch_leader();
        } else {
            self.last_leader_message = now - LEADER_TIMEOUT + SWITCH_PAUSE;
        }
    }

    /// Stores a voter's address and returns the voter with the address to use from here.
    fn learn_address(&self, voter: &process::Peer) -> process::Peer {
        let host = voter.host;
        let address = self.setup.links.learn_address(voter);
        process::Peer { host, address }
    }

    /// Switches to another voter: the one last named as the leader, or else the next.
    fn switch_leader(&mut self) {
        self.candidates.advance();
        // What an earlier leader told of itself is out of date, also if it is tried again.
        self.registry = None;
        tracing::info!(
            leader = ?self.leader(),
            "switched to another voter as the presumed leader"
        );
        self.last_leader_message = Instant::now();
        self.subscribe();
        self.resend_calls();
    }

    /// Subscribes to view changes after the last one received.
    fn subscribe(&mut self) {
        self.last_subscribe = Instant::now();
        self.send(Upward::Subscribe {
            term: self.term,
            sequence: self.view,
        });
    }

    /// Sends all unanswered calls again.
    fn resend_calls(&mut self) {
        let now = Instant::now();
        let Some(leader) = self.leader() else { return };
        for call in self.calls.values_mut() {
            call.sent = now;
            let message = Message::Upward(call.upward.clone());
            self.setup.links.send(leader, message);
        }
    }

    /// Sends a message to the presumed leader.
    fn send(&self, upward: Upward) {
        if let Some(leader) = self.leader() {
            self.setup.links.send(leader, Message::Upward(upward));
        }
    }
}
