//! The task that owns the entry core: feeds it requests, target messages and leader events, and
//! performs the actions it returns.

mod background;
mod responses;
mod shutdown;
mod view_log;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use cornelhitch_entry::action::{Action, Destination};
use cornelhitch_entry::core::Core;
use cornelhitch_entry::entries::{self, CallerLocation};
use cornelhitch_entry::event::{Attempt as AttemptNumber, CallId, Event};
use cornelhitch_entry::newest_table::Statement;
use cornelhitch_entry::peer_load::{PeerReport, ReceivedReport};
use cornelhitch_entry::warm::IdleConnections;
use cornelhitch_settings::fleet::FleetSettings;
use cornelhitch_target::client::Client;
use cornelhitch_target::inbound::{Message as TargetMessage, Receipt};
use cornelhitch_types::entry::Host;
use cornelhitch_types::id::{HostId, Incarnation, Name, Version};
use cornelhitch_types::view::{Change, View};
use cornelhitch_wire::hello::ProcessId;
use serde::Serialize;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::answer_memory::AnswerMemory;
use crate::attempt::{self, Attempt, Signals};
use crate::datagrams::DatagramSocket;
use crate::exchange::{Exchange, NewRequest, Payload, Recorded};
use crate::ingress::Routes;
use crate::links::Links;
use crate::log_limit::shorten;
use crate::message::{Datagram, Upward};
use crate::metrics::{Count, Metrics, Timing};
use crate::request_log::RequestLog;
use crate::section_ids::SectionIds;
use crate::session;
use crate::stall_watch::Steps;

/// Interval between demand reports to the leader unless the core has requested an urgent one.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between demand reports after the core has requested an urgent one.
const URGENT_REPORT_INTERVAL: Duration = Duration::from_millis(5);

/// A message to the entry task.
#[derive(Debug)]
pub enum Input {
    /// An event for the core.
    Event(Event),
    /// A new request from a caller.
    NewRequest(Box<NewRequest>),
    /// The complete answer to a request with an idempotency key, to be recorded.
    Answer(CallId, Recorded),
    /// A message from a target, and where to send the receipt.
    TargetMessage(TargetMessage, oneshot::Sender<Receipt>),
    /// A request for the entry addresses that are best for this host's own location.
    Entries(oneshot::Sender<Entries>),
    /// A request for the entry hosts nearest to the given location.
    Nearest(CallerLocation, oneshot::Sender<entries::EntryHosts>),
    /// A readiness check: whether this host currently accepts requests.
    Ready(oneshot::Sender<bool>),
    /// A request for the core's state as JSON, for the operators' dump.
    Dump(oneshot::Sender<serde_json::Value>),
    /// Start of the graceful shutdown.
    Drain,
}

/// The answer to [`Input::Entries`].
#[derive(Debug)]
pub struct Entries {
    /// How long the answer may be cached.
    pub max_age: Duration,
    /// The response body.
    pub body: Page,
}

/// The JSON body that lists entry addresses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Page {
    /// Entry addresses, best first.
    pub addresses: Vec<std::net::SocketAddr>,
    /// How long the list may be cached, in milliseconds.
    pub max_age_ms: u128,
}

/// Everything that [`run`] needs.
pub struct Setup {
    /// The sans-I/O entry core.
    pub core: Core,
    /// The description of this host that is sent to the leader.
    pub host: Host,
    /// The task's input queue.
    pub inputs: mpsc::UnboundedReceiver<Input>,
    /// The sending end of `inputs`, for the tasks that this one starts.
    pub input_sender: mpsc::UnboundedSender<Input>,
    /// View changes and lease renewals from the session.
    pub events: mpsc::UnboundedReceiver<session::Event>,
    /// The session with the leader.
    pub session: session::Handle,
    /// The links to peers, which know their addresses.
    pub links: Links,
    /// The socket for datagrams to peers.
    pub datagrams: DatagramSocket,
    /// The client for requests to targets.
    pub client: Arc<dyn Client>,
    /// The memory for buffered parts of answers.
    pub answer_memory: AnswerMemory,
    /// Publishes this host's current load, drain state and settings version.
    pub host_state: watch::Sender<Host>,
    /// Publishes the fleet settings in force.
    pub fleet: watch::Sender<Arc<FleetSettings>>,
    /// Publishes the route table in force; `None` before the first one.
    pub routes: watch::Sender<Option<Arc<Routes>>>,
    /// The metrics of this process.
    pub metrics: Metrics,
    /// Tells of the core's steps whether they return.
    pub(crate) steps: Steps,
    /// Cancelled when the callers' listener has to close.
    pub close: CancellationToken,
    /// Cancelled when the graceful shutdown starts.
    pub leaving: CancellationToken,
    /// Cancelled when all requests in flight have ended after a drain.
    pub drained: CancellationToken,
    /// The instant from which the core measures time.
    pub epoch: Instant,
}

/// An attempt in flight.
struct RunningAttempt {
    signals: Signals,
    task: AbortHandle,
    request: Name,
    to: Destination,
}

/// The state of the entry task.
struct Entry {
    setup: Setup,
    exchanges: HashMap<CallId, Exchange>,
    attempts: HashMap<(CallId, AttemptNumber), RunningAttempt>,
    answers: HashMap<CallId, Recorded>,
    last_report: Instant,
    urgent: bool,
    request_log: RequestLog,
    /// When the graceful shutdown began.
    leaving_since: Option<Instant>,
    /// The version of the route table that the HTTP listeners have.
    published_table: Option<Version>,
}

/// Runs the entry task until the drain completes or its channels close.
pub async fn run(setup: Setup) {
    watch_connections(&setup);
    let mut entry = Entry {
        setup,
        exchanges: HashMap::new(),
        attempts: HashMap::new(),
        answers: HashMap::new(),
        last_report: Instant::now(),
        urgent: true,
        request_log: RequestLog::default(),
        leaving_since: None,
        published_table: None,
    };
    entry.serve().await;
    tokio::spawn(shutdown::refuse_late(entry.setup.inputs));
}

/// Tells the core of the idle connections to targets.
fn watch_connections(setup: &Setup) {
    let (inputs, epoch) = (setup.input_sender.clone(), setup.epoch);
    setup.client.set_idle_listener(Arc::new(move |idle| {
        let until = idle.until.map(Instant::from_std);
        let event = Event::IdleConnections(IdleConnections {
            address: idle.address,
            count: idle.count,
            stated: idle.stated,
            until: until.map_or(Duration::ZERO, |at| at.saturating_duration_since(epoch)),
        });
        // Fails only when the entry task has ended.
        let _ = inputs.send(Input::Event(event));
    }));
}

impl Entry {
    /// Processes events and inputs until the drain completes or a channel closes.
    async fn serve(&mut self) {
        while !self.setup.drained.is_cancelled() {
            let wake = self.next_wake();
            tokio::select! {
                biased;
                event = self.setup.events.recv() => match event {
                    Some(event) => self.session_event(event),
                    None => return,
                },
                input = self.setup.inputs.recv() => match input {
                    Some(input) => self.handle_input(input),
                    None => return,
                },
                () = tokio::time::sleep_until(wake) => self.handle_event(Event::Tick),
            }
            self.publish_routes();
            self.report_demand();
        }
    }

    /// Returns when the loop has to wake up next without an event or input.
    fn next_wake(&self) -> Instant {
        let pause = if self.urgent {
            URGENT_REPORT_INTERVAL
        } else {
            REPORT_INTERVAL
        };
        let report = self.last_report + pause;
        let core = self.setup.core.next_wake();
        let core = core.map(|time| self.setup.epoch + time);
        core.map_or(report, |core| core.min(report))
    }

    /// Sends a demand report and updates the published host state, if a report is due.
    fn report_demand(&mut self) {
        let pause = if self.urgent {
            URGENT_REPORT_INTERVAL
        } else {
            REPORT_INTERVAL
        };
        if self.last_report.elapsed() < pause {
            return;
        }
        self.last_report = Instant::now();
        self.urgent = false;
        let report = self.setup.core.demand_report();
        self.setup.session.send(Upward::Report(report));
        let core = &self.setup.core;
        self.setup.metrics.show_services(core.counters());
        self.setup.metrics.show_teams(core.team_counters());
        let (load, draining, settings) = (core.load(), core.draining(), core.settings_version());
        self.setup.host_state.send_modify(|host| {
            host.load = load;
            host.draining = draining;
            host.settings = settings;
        });
    }

    /// Handles an event from the session with the leader.
    fn session_event(&mut self, event: session::Event) {
        match event {
            session::Event::View(view) => {
                self.publish_settings(&view);
                view_log::log_changes(&view);
                let (term, from, to) = (view.term, view.from, view.to);
                self.handle_event(Event::View(view));
                let seen = self.setup.core.view_position();
                if seen < (term, to) {
                    tracing::info!(
                        term,
                        from,
                        to,
                        ?seen,
                        "view update not applied by the entry core"
                    );
                }
                let settings = self.setup.core.settings_version();
                self.setup
                    .host_state
                    .send_modify(|host| host.settings = settings);
            }
            session::Event::Software(software) => self.handle_event(Event::Software(software)),
            session::Event::NewestTable {
                version,
                asked,
                leads,
            } => {
                let asked = asked.saturating_duration_since(self.setup.epoch);
                self.handle_event(Event::NewestTable(Statement {
                    version,
                    asked,
                    leads,
                }));
            }
            session::Event::Table(table) => self.handle_event(Event::Table(table)),
            session::Event::PeerReport { from, report } => {
                self.setup.metrics.increment(Count::PeerReportsReceived);
                self.handle_event(Event::PeerReport(ReceivedReport {
                    host: from.host,
                    incarnation: from.incarnation,
                    report,
                }));
            }
            session::Event::Lease { until, version } => {
                let until = until.saturating_duration_since(self.setup.epoch);
                self.handle_event(Event::Lease { until, version });
            }
            session::Event::Quota(answer) => self.handle_event(Event::Quota(answer)),
        }
    }

    /// Publishes the settings in a view to the HTTP listeners.
    fn publish_settings(&self, view: &View) {
        for change in &view.changes {
            if let Change::Settings(version, text) = change
                && let Ok(fleet) = text.parse::<FleetSettings>()
            {
                tracing::info!(version, "fleet settings now in force on this entry host");
                self.setup.fleet.send_replace(Arc::new(fleet));
            }
        }
    }

    /// Publishes the core's route table to the HTTP listeners if another one, or none, is in force.
    fn publish_routes(&mut self) {
        let core = &self.setup.core;
        let version = core.table().map(|table| table.version);
        if version == self.published_table {
            return;
        }
        let held = std::mem::replace(&mut self.published_table, version);
        let Some(table) = core.table() else {
            self.setup.metrics.increment(Count::TablesOutdated);
            tracing::warn!(
                held,
                "this host knows of a newer route table and does not have it: refusing routed requests"
            );
            self.setup.routes.send_replace(None);
            return;
        };
        let delay = core.table_delay();
        self.setup.metrics.record(Timing::TableDelay, delay);
        tracing::info!(
            version,
            routes = table.routes.len(),
            heard_ms_before = delay.as_millis(),
            "route table now in force on this entry host"
        );
        let routes = Routes::of(table.clone());
        self.setup.routes.send_replace(Some(Arc::new(routes)));
    }

    /// Handles one input.
    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Event(event) => {
                if let Event::CallerDisconnected { id } = event
                    && let Some(exchange) = self.exchanges.remove(&id)
                {
                    self.request_log.caller_left(&exchange);
                }
                self.handle_event(event);
            }
            Input::NewRequest(request) => self.accept_request(*request),
            Input::Answer(id, answer) => {
                self.answers.insert(id, answer);
            }
            Input::TargetMessage(message, receipt) => self.target_message(message, receipt),
            Input::Entries(answer) => {
                let location = CallerLocation {
                    region: self.setup.host.region.clone(),
                    zone: self.setup.host.zone.clone(),
                };
                let entries = self.setup.core.entry_hosts(&location);
                let page = Page {
                    addresses: entries.addresses,
                    max_age_ms: entries.max_age.as_millis(),
                };
                let _ = answer.send(Entries {
                    max_age: entries.max_age,
                    body: page,
                });
            }
            Input::Nearest(location, answer) => {
                let _ = answer.send(self.setup.core.nearest_entry_hosts(&location));
            }
            Input::Ready(answer) => {
                let _ = answer.send(self.setup.core.accepts_requests());
            }
            Input::Dump(answer) => {
                let dump = serde_json::to_value(self.setup.core.dump());
                let _ = answer.send(dump.unwrap_or_default());
            }
            Input::Drain => self.start_drain(),
        }
    }

    /// Registers a new request and passes it to the core.
    fn accept_request(&mut self, new: NewRequest) {
        let NewRequest {
            request,
            payload,
            reply,
            share,
        } = new;
        let fleet = self.setup.fleet.borrow().clone();
        let arrived = std::time::Instant::now();
        let class = request.class.as_ref().and_then(|name| fleet.class(name));
        let (delivered, repeatable) = match &payload {
            Payload::Routed(routed) => (routed.resume.unwrap_or(0), request.repeatable),
            Payload::Model { .. } | Payload::Service { .. } => (0, request.key.is_none()),
        };
        let exchange = Exchange {
            payload: Arc::new(payload),
            fingerprint: request.fingerprint,
            caller: request.caller.clone(),
            content: request.content(),
            sections: SectionIds::from(&request.sections[..]),
            reply,
            share,
            delivered: Arc::new(AtomicU64::new(delivered)),
            keyed: request.key.is_some(),
            repeatable,
            arrived,
            deadline: request.deadline.map(|deadline| arrived + deadline),
            begun: None,
            priority: class.map_or(1, |class| class.weight),
        };
        self.exchanges.insert(request.id, exchange);
        self.handle_event(Event::Arrived(request));
    }

    /// Forwards a target's message to the leader and sends the receipt.
    ///
    /// A heartbeat from a target that is missing from the view is answered with a request to
    /// announce again, since the first announcement may have been lost.
    fn target_message(&mut self, message: TargetMessage, receipt: oneshot::Sender<Receipt>) {
        let mut answer = Receipt::Accepted;
        let upward = match message {
            TargetMessage::Announcement(announcement) => Upward::Announce(announcement),
            TargetMessage::Heartbeat(heartbeat) => {
                let core = &self.setup.core;
                if !core.knows_incarnation(&heartbeat.target, heartbeat.incarnation) {
                    answer = Receipt::NotRegistered;
                }
                Upward::Heartbeat(heartbeat)
            }
            TargetMessage::Leaving(leaving) => {
                return self.commit_leave(leaving.target, leaving.incarnation, receipt);
            }
            TargetMessage::Presence(presence) => Upward::Presence(presence),
            TargetMessage::Ended(ended) => {
                let known = self.setup.core.target_incarnation(&ended.target);
                if let Some(incarnation) = ended.incarnation.or(known) {
                    return self.commit_leave(ended.target, incarnation, receipt);
                }
                // The target may be in another host's view.
                let _ = receipt.send(Receipt::Unavailable);
                return;
            }
        };
        self.setup.session.send(upward);
        let _ = receipt.send(answer);
    }

    /// Passes an event to the core and performs the resulting actions.
    fn handle_event(&mut self, event: Event) {
        let now = self.setup.epoch.elapsed();
        let name = <&'static str>::from(&event);
        let core = &mut self.setup.core;
        for action in self.setup.steps.run(name, || core.handle(event, now)) {
            self.perform(action);
        }
    }

    /// Performs one action of the core.
    fn perform(&mut self, action: Action) {
        match action {
            Action::Claim {
                id,
                caller,
                key,
                digest,
            } => self.claim(id, caller, key, digest),
            Action::Record {
                id,
                caller,
                key,
                outcome,
            } => self.record(id, caller, key, outcome),
            Action::Send {
                id,
                attempt,
                to,
                resume,
            } => self.start_attempt(id, attempt, to, resume),
            Action::Proceed { id, attempt } => self.signal(id, attempt, |s| s.proceed.take()),
            Action::Deliver { id, attempt } => {
                if let Some(exchange) = self.exchanges.get_mut(&id) {
                    let now = std::time::Instant::now();
                    exchange.begun = exchange.begun.or(Some(now));
                }
                self.signal(id, attempt, |s| s.deliver.take());
            }
            Action::Finish { id, attempt } => {
                self.signal(id, attempt, |s| s.finish.take());
                self.attempts.remove(&(id, attempt));
                if let Some(exchange) = self.exchanges.remove(&id) {
                    self.request_log.answered(&exchange, attempt);
                }
            }
            Action::Cancel { id, attempt, .. } => self.cancel_attempt(id, attempt),
            Action::Refuse { id, refusal } => self.refuse(id, refusal),
            Action::StreamError { id, refusal } => self.abort_stream(id, &refusal),
            Action::Replay { id, recorded } => self.replay(id, &recorded),
            strikes @ (Action::Strike { .. }
            | Action::ClearStrikes { .. }
            | Action::AcquitSections { .. }) => self.report_strikes(strikes),
            Action::Probe { target, address } => self.probe(target, address),
            question @ (Action::Reserve { .. }
            | Action::AskTrial { .. }
            | Action::AskOrigin { .. }) => self.ask_leader(question),
            Action::TellPeers { hosts, report } => self.tell_peers(hosts, &report),
            Action::Report => self.urgent = true,
            Action::RequestView { .. } => self.setup.session.request_full_view(),
            Action::RequestTable { held } => self.setup.session.request_table(held),
            Action::BadSettings { version, error } => {
                tracing::error!(version, error, "cannot parse the fleet settings");
            }
            Action::CloseListener => self.close_listener(),
            Action::Drained => self.end_drain(),
            action => self.forward(action),
        }
    }

    /// Logs what is known of a target, or sends the leader a message about it.
    fn forward(&self, action: Action) {
        match action {
            Action::Suspect {
                target,
                incarnation,
            } => self.setup.session.send(Upward::Lost {
                target,
                incarnation,
            }),
            Action::ReportQuota(report) => self.setup.session.send(Upward::Quota(report)),
            Action::ReportStreams { streams } => {
                self.setup.session.send(Upward::StreamsBegun(streams));
            }
            Action::Unreserve {
                target,
                incarnation,
            } => self.setup.session.send(Upward::Unreserve {
                target,
                incarnation,
            }),
            Action::ReportLimit {
                target,
                incarnation,
                limit,
            } => self.setup.session.send(Upward::Limit {
                target,
                incarnation,
                limit,
            }),
            Action::ReportLeaving {
                target,
                incarnation,
            } => self.report_leaving(target, incarnation),
            Action::TargetPaused {
                target,
                incarnation,
                pause,
            } => self.report_pause(target, incarnation, pause),
            other => tracing::error!(?other, "unexpected action: not a message to the leader"),
        }
    }

    /// Sends a report of this host's work in flight to other entry hosts whose address is known.
    fn tell_peers(&self, hosts: Vec<(HostId, Incarnation)>, report: &PeerReport) {
        for (host, incarnation) in hosts {
            let Some(address) = self.setup.links.address(host) else {
                continue;
            };
            self.setup.metrics.increment(Count::PeerReportsSent);
            let to = ProcessId { host, incarnation };
            let datagram = Datagram::InFlight(report.clone());
            self.setup.datagrams.send(to, address, datagram);
        }
    }

    /// Sends a signal to an attempt, if it is still waiting for it.
    fn signal(
        &mut self,
        id: CallId,
        attempt: AttemptNumber,
        take: impl FnOnce(&mut Signals) -> Option<oneshot::Sender<()>>,
    ) {
        let running = self.attempts.get_mut(&(id, attempt));
        if let Some(signal) = running.and_then(|running| take(&mut running.signals)) {
            let _ = signal.send(());
        }
    }

    /// Starts the task of an attempt.
    fn start_attempt(
        &mut self,
        id: CallId,
        number: AttemptNumber,
        to: Destination,
        resume: Option<u64>,
    ) {
        let Some(exchange) = self.exchanges.get(&id).cloned() else {
            return;
        };
        let context = self.log_context();
        self.request_log.sent(&exchange, number, &to, context);
        let host = &self.setup.host;
        let request: Name = match &*exchange.payload {
            Payload::Routed(routed) => routed.id.clone(),
            Payload::Model { .. } | Payload::Service { .. } => {
                format!("{}-{}-{id}-{number}", host.host, host.incarnation).into()
            }
        };
        // This count of tokens passed to the caller is exact; the core's may lag behind it.
        let resume = resume.map(|_| {
            exchange
                .delivered
                .load(std::sync::atomic::Ordering::Relaxed)
        });
        let attempt = Attempt {
            id,
            number,
            request: request.clone(),
            to: to.clone(),
            resume,
            exchange,
            client: self.setup.client.clone(),
            inputs: self.setup.input_sender.clone(),
            memory: self.setup.answer_memory.clone(),
            metrics: self.setup.metrics.clone(),
        };
        let (signals, receivers) = attempt::signals();
        let task = tokio::spawn(attempt.run(receivers)).abort_handle();
        let running = RunningAttempt {
            signals,
            task,
            request,
            to,
        };
        self.attempts.insert((id, number), running);
    }

    /// Aborts an attempt's task and cancels the request at the target if it runs on a replica.
    fn cancel_attempt(&mut self, id: CallId, attempt: AttemptNumber) {
        let Some(running) = self.attempts.remove(&(id, attempt)) else {
            return;
        };
        running.task.abort();
        if running.to.replica.is_some() {
            let client = self.setup.client.clone();
            tokio::spawn(async move {
                let cancelled = client.cancel(running.to.address, &running.request).await;
                if let Err(error) = cancelled {
                    tracing::debug!(
                        request = shorten(&running.request), %error,
                        "target did not accept the cancellation"
                    );
                }
            });
        }
    }
}
