//! The task that owns the core of an entry host.

mod answers;
mod errands;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use cornelhitch_entry::action::{Action, Destination};
use cornelhitch_entry::core::Core;
use cornelhitch_entry::entries::{self, Whence};
use cornelhitch_entry::event::{Attempt as Number, CallId, Event};
use cornelhitch_settings::fleet::Fleet;
use cornelhitch_target::client::Client;
use cornelhitch_target::inbound::{Message as Told, Receipt};
use cornelhitch_types::entry::Host;
use cornelhitch_types::id::Name;
use cornelhitch_types::view::{Change, View};
use serde::Serialize;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::attempt::{self, Attempt, Signals};
use crate::audit::Audit;
use crate::exchange::{Exchange, Intake, Payload, Recorded};
use crate::ingress::Routes;
use crate::message::Upward;
use crate::metrics::Metrics;
use crate::session;

/// Time between two reports of demand while nothing presses.
const REPORT: Duration = Duration::from_millis(500);

/// Time between two reports of demand when models are waited for.
const URGENT_REPORT: Duration = Duration::from_millis(5);

/// What the entry task is told.
#[derive(Debug)]
pub enum Input {
    /// An event for the core.
    Event(Event),
    /// A request of a caller.
    Intake(Box<Intake>),
    /// The whole answer to a request with a key.
    Answer(CallId, Recorded),
    /// A target told something.
    Told(Told, oneshot::Sender<Receipt>),
    /// A caller asks where to connect.
    Entries(oneshot::Sender<Entries>),
    /// A caller at a place asks which hosts to connect to.
    Nearest(Whence, oneshot::Sender<entries::Entries>),
    /// Somebody asks whether this host takes requests.
    Ready(oneshot::Sender<bool>),
    /// An operator asks for the state.
    Dump(oneshot::Sender<serde_json::Value>),
    /// The process was asked to end.
    Drain,
}

/// The answer to a caller that asks where to connect.
#[derive(Debug)]
pub struct Entries {
    /// How long it may be kept.
    pub max_age: Duration,
    /// The answer.
    pub body: Page,
}

/// The body of the answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Page {
    /// Addresses, the best first.
    pub addresses: Vec<std::net::SocketAddr>,
    /// How long to keep them, in milliseconds.
    pub max_age_ms: u128,
}

/// What the entry task is started with.
pub struct Setup {
    /// The core.
    pub core: Core,
    /// This host as the leader knows it.
    pub host: Host,
    /// What the task is told.
    pub inputs: mpsc::UnboundedReceiver<Input>,
    /// The other end of `inputs`.
    pub input: mpsc::UnboundedSender<Input>,
    /// What the leader tells.
    pub events: mpsc::UnboundedReceiver<session::Event>,
    /// The way to the leader.
    pub session: session::Handle,
    /// The way to targets.
    pub client: Arc<dyn Client>,
    /// Where this host as it is now is shown.
    pub shown: watch::Sender<Host>,
    /// Where the settings in force are shown.
    pub fleet: watch::Sender<Arc<Fleet>>,
    /// Where the routes in force are shown.
    pub routes: watch::Sender<Option<Arc<Routes>>>,
    /// Counters.
    pub metrics: Metrics,
    /// Cancelled when the listener has to close.
    pub close: CancellationToken,
    /// Cancelled when everything has ended.
    pub drained: CancellationToken,
    /// The time that the core counts from.
    pub epoch: Instant,
}

/// One attempt in progress.
struct Running {
    signals: Signals,
    task: AbortHandle,
    request: Name,
    to: Destination,
}

/// The entry host, owned by its task.
struct Entry {
    setup: Setup,
    exchanges: HashMap<CallId, Exchange>,
    attempts: HashMap<(CallId, Number), Running>,
    answers: HashMap<CallId, Recorded>,
    reported: Instant,
    urgent: bool,
    audit: Audit,
}

/// Runs an entry host until everything has drained.
pub async fn run(setup: Setup) {
    let entry = Entry {
        setup,
        exchanges: HashMap::new(),
        attempts: HashMap::new(),
        answers: HashMap::new(),
        reported: Instant::now(),
        urgent: true,
        audit: Audit::default(),
    };
    entry.serve().await;
}

impl Entry {
    /// Serves until everything has drained.
    async fn serve(mut self) {
        while !self.setup.drained.is_cancelled() {
            let wake = self.wake();
            tokio::select! {
                biased;
                event = self.setup.events.recv() => match event {
                    Some(event) => self.leader(event),
                    None => return,
                },
                input = self.setup.inputs.recv() => match input {
                    Some(input) => self.input(input),
                    None => return,
                },
                () = tokio::time::sleep_until(wake) => self.handle(Event::Tick),
            }
            self.report();
        }
    }

    /// When there is something to do although nothing comes in.
    fn wake(&self) -> Instant {
        let pause = if self.urgent { URGENT_REPORT } else { REPORT };
        let report = self.reported + pause;
        let core = self.setup.core.next_wake();
        let core = core.map(|time| self.setup.epoch + time);
        core.map_or(report, |core| core.min(report))
    }

    /// Sends a report of demand when one is due.
    fn report(&mut self) {
        let pause = if self.urgent { URGENT_REPORT } else { REPORT };
        if self.reported.elapsed() < pause {
            return;
        }
        self.reported = Instant::now();
        self.urgent = false;
        let report = self.setup.core.report();
        self.setup.session.tell(Upward::Report(report));
        let core = &self.setup.core;
        self.setup.metrics.show_services(core.tallies());
        let (load, draining, settings) = (core.load(), core.draining(), core.settings());
        self.setup.shown.send_modify(|host| {
            host.load = load;
            host.draining = draining;
            host.settings = settings;
        });
    }

    /// Takes what the leader tells.
    fn leader(&mut self, event: session::Event) {
        match event {
            session::Event::View(view) => {
                self.settings(&view);
                let (term, from, to) = (view.term, view.from, view.to);
                self.handle(Event::View(view));
                let seen = self.setup.core.seen();
                if seen < (term, to) {
                    tracing::info!(term, from, to, ?seen, "a view was passed over");
                }
                self.routes();
                let settings = self.setup.core.settings();
                self.setup
                    .shown
                    .send_modify(|host| host.settings = settings);
            }
            session::Event::Lease { until, version } => {
                let until = until.saturating_duration_since(self.setup.epoch);
                self.handle(Event::Lease { until, version });
            }
        }
    }

    /// Shows new settings to the HTTP side.
    fn settings(&self, view: &View) {
        for change in &view.changes {
            if let Change::Settings(version, text) = change
                && let Ok(fleet) = text.parse::<Fleet>()
            {
                tracing::info!(version, "settings in force here");
                self.setup.fleet.send_replace(Arc::new(fleet));
            }
        }
    }

    /// Shows new routes to the HTTP side.
    fn routes(&self) {
        let Some(table) = self.setup.core.table() else {
            return;
        };
        let shown = self.setup.routes.borrow().clone();
        let version = table.version;
        if shown.is_none_or(|shown| shown.table.version != version) {
            tracing::info!(
                version,
                routes = table.routes.len(),
                "table of routes in force here"
            );
            let routes = Routes::of(table.clone());
            self.setup.routes.send_replace(Some(Arc::new(routes)));
        }
    }

    /// Takes one input.
    fn input(&mut self, input: Input) {
        match input {
            Input::Event(event) => {
                if let Event::CallerLeft { id } = event
                    && let Some(exchange) = self.exchanges.remove(&id)
                {
                    self.audit.left(&exchange);
                }
                self.handle(event);
            }
            Input::Intake(intake) => self.intake(*intake),
            Input::Answer(id, answer) => {
                self.answers.insert(id, answer);
            }
            Input::Told(told, receipt) => self.told(told, receipt),
            Input::Entries(answer) => {
                let whence = Whence {
                    region: self.setup.host.region.clone(),
                    zone: self.setup.host.zone.clone(),
                };
                let entries = self.setup.core.entries(&whence);
                let page = Page {
                    addresses: entries.addresses,
                    max_age_ms: entries.max_age.as_millis(),
                };
                let _ = answer.send(Entries {
                    max_age: entries.max_age,
                    body: page,
                });
            }
            Input::Nearest(whence, answer) => {
                let _ = answer.send(self.setup.core.nearest(&whence));
            }
            Input::Ready(answer) => {
                let _ = answer.send(self.setup.core.takes_requests());
            }
            Input::Dump(answer) => {
                let dump = serde_json::to_value(self.setup.core.dump());
                let _ = answer.send(dump.unwrap_or_default());
            }
            Input::Drain => self.handle(Event::Drain),
        }
    }

    /// Takes a request in.
    fn intake(&mut self, intake: Intake) {
        let Intake {
            request,
            payload,
            reply,
        } = intake;
        let fleet = self.setup.fleet.borrow().clone();
        let arrived = std::time::Instant::now();
        let class = request.class.as_ref().and_then(|name| fleet.class(name));
        let (delivered, repeatable) = match &payload {
            Payload::Routed(routed) => (routed.resume.unwrap_or(0), request.repeatable),
            Payload::Model { .. } | Payload::Service { .. } => (0, request.key.is_none()),
        };
        let exchange = Exchange {
            payload: Arc::new(payload),
            reply,
            delivered: Arc::new(AtomicU64::new(delivered)),
            keyed: request.key.is_some(),
            repeatable,
            arrived,
            deadline: request.deadline.map(|deadline| arrived + deadline),
            begun: None,
            priority: class.map_or(1, |class| class.weight),
        };
        self.exchanges.insert(request.id, exchange);
        self.handle(Event::Arrived(request));
    }

    /// Hands on what a target told.
    ///
    /// A heartbeat of a target that control has not published is answered with
    /// the wish for another announcement, since the first one may be lost.
    fn told(&mut self, told: Told, receipt: oneshot::Sender<Receipt>) {
        let mut answer = Receipt::Taken;
        let upward = match told {
            Told::Announcement(announcement) => Upward::Announce(announcement),
            Told::Heartbeat(heartbeat) => {
                let core = &self.setup.core;
                if !core.knows(&heartbeat.target, heartbeat.incarnation) {
                    answer = Receipt::Announce;
                }
                Upward::Heartbeat(heartbeat)
            }
            Told::Leaving(leaving) => {
                return self.farewell(leaving.target, leaving.incarnation, receipt);
            }
            Told::Presence(presence) => Upward::Presence(presence),
            Told::Ended(ended) => {
                let known = self.setup.core.life(&ended.target);
                if let Some(life) = ended.incarnation.or(known) {
                    return self.farewell(ended.target, life, receipt);
                }
                // Another host may know the target.
                let _ = receipt.send(Receipt::Elsewhere);
                return;
            }
        };
        self.setup.session.tell(upward);
        let _ = receipt.send(answer);
    }

    /// Gives the core an event and does what it says.
    fn handle(&mut self, event: Event) {
        let now = self.setup.epoch.elapsed();
        for action in self.setup.core.handle(event, now) {
            self.act(action);
        }
    }

    /// Does one thing that the core said.
    fn act(&mut self, action: Action) {
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
            } => self.send(id, attempt, to, resume),
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
                    self.audit.answered(&exchange, attempt);
                }
            }
            Action::Cancel { id, attempt, .. } => self.cancel(id, attempt),
            Action::Refuse { id, refusal } => self.refuse(id, refusal),
            Action::StreamError { id, refusal } => self.cut(id, &refusal),
            Action::Replay { id, recorded } => self.replay(id, &recorded),
            Action::Strike {
                fingerprint,
                target,
                incarnation,
            } => self.strike(fingerprint, target, incarnation),
            Action::Probe { target, address } => self.probe(target, address),
            Action::Reserve {
                target,
                incarnation,
            } => self.reserve(target, incarnation),
            action @ (Action::Suspect { .. } | Action::Unreserve { .. }) => self.tell(action),
            Action::Report => self.urgent = true,
            Action::RequestView { .. } => self.setup.session.resync(),
            Action::BadSettings { version, error } => {
                tracing::error!(version, error, "the settings cannot be read");
            }
            Action::CloseListener => self.setup.close.cancel(),
            Action::Drained => self.setup.drained.cancel(),
        }
    }

    /// Tells the leader what the core said of a target.
    fn tell(&self, action: Action) {
        match action {
            Action::Suspect {
                target,
                incarnation,
            } => self.setup.session.tell(Upward::Lost {
                target,
                incarnation,
            }),
            Action::Unreserve {
                target,
                incarnation,
            } => self.setup.session.tell(Upward::Unreserve {
                target,
                incarnation,
            }),
            other => tracing::error!(?other, "not for the leader"),
        }
    }

    /// Gives an attempt the core's word.
    fn signal(
        &mut self,
        id: CallId,
        attempt: Number,
        take: impl FnOnce(&mut Signals) -> Option<oneshot::Sender<()>>,
    ) {
        let running = self.attempts.get_mut(&(id, attempt));
        if let Some(signal) = running.and_then(|running| take(&mut running.signals)) {
            let _ = signal.send(());
        }
    }

    /// Starts an attempt.
    fn send(&mut self, id: CallId, number: Number, to: Destination, resume: Option<u64>) {
        let Some(exchange) = self.exchanges.get(&id).cloned() else {
            return;
        };
        let basis = self.basis();
        self.audit.sent(&exchange, number, &to, basis);
        let host = &self.setup.host;
        let request: Name = match &*exchange.payload {
            Payload::Routed(routed) => routed.id.clone(),
            Payload::Model { .. } | Payload::Service { .. } => {
                format!("{}-{}-{id}-{number}", host.host, host.incarnation).into()
            }
        };
        // What the caller has is known here to the token.
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
            inputs: self.setup.input.clone(),
            metrics: self.setup.metrics.clone(),
        };
        let (signals, waits) = attempt::signals();
        let task = tokio::spawn(attempt.run(waits)).abort_handle();
        let running = Running {
            signals,
            task,
            request,
            to,
        };
        self.attempts.insert((id, number), running);
    }

    /// Stops an attempt here and at its target.
    fn cancel(&mut self, id: CallId, attempt: Number) {
        let Some(running) = self.attempts.remove(&(id, attempt)) else {
            return;
        };
        running.task.abort();
        if running.to.replica.is_some() {
            let client = self.setup.client.clone();
            tokio::spawn(async move {
                let cancelled = client.cancel(running.to.address, &running.request).await;
                if let Err(error) = cancelled {
                    tracing::debug!(request = &*running.request, %error, "not cancelled");
                }
            });
        }
    }
}
