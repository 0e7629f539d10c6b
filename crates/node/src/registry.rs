//! The listener of a control host for announcements from targets and route tables from operators.
//!
//! The leader handles the messages; other control hosts redirect to it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use cornelhitch_control::current_table::SubmittedTable;
use cornelhitch_settings::process::Zone;
use cornelhitch_target::inbound::{Error, Message, Protocol, Receipt};
use cornelhitch_types::route::RouteTable;
use http::request::Parts;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::body::{self, Body};
use crate::control::TaskMessage;
use crate::log_limit::{LogLimiter, shorten};
use crate::problem::Problem;
use crate::request_memory::RequestBodies;
use crate::server::Service;
use crate::session;
use crate::takers::Takers;

/// The largest message of an operator or target, in bytes. The log takes a table with its text, which is no
/// smaller than the table.
const MAX_MESSAGE_BYTES: usize = 2 << 20;

/// Timeout for an answer of the control task; clients switch to another host after a similar time.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// An operator's request about route tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TableOperation {
    /// Apply a table.
    Publish,
    /// Return the table in force.
    Read,
}

/// The outcome of an operator's request about route tables.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableOutcome {
    /// The table, or a newer one, is in force.
    Accepted,
    /// The table is invalid, for this reason.
    Invalid(String),
    /// The table in force, as it was submitted.
    Table(Bytes),
    /// There is no table yet.
    NoTable,
    /// The host at this address is the leader and accepts tables.
    Redirect(SocketAddr),
    /// The leader is unknown, or did not confirm the request in time; a table may have been
    /// accepted.
    Unavailable,
}

/// An operators' protocol for route tables.
pub trait RouteTableProtocol: Send + Sync + 'static {
    /// Parses a request's method and path; `None` if it isn't about route tables.
    fn operation(&self, method: &Method, path: &str) -> Option<TableOperation>;

    /// Decodes a table.
    ///
    /// # Errors
    /// Returns a description of the error and its position in the text.
    fn decode(&self, text: &Bytes) -> Result<RouteTable, String>;

    /// Checks that this host accepts heads of requests as large as a table allows callers to send.
    ///
    /// # Errors
    /// Returns a description of the error and its position in the text.
    fn check_head_limit(&self, _text: &Bytes, _head_bytes: usize) -> Result<(), String> {
        Ok(())
    }

    /// Returns the response for an outcome.
    fn answer(&self, outcome: &TableOutcome) -> Response<Bytes>;
}

/// The error of a request to the control task of a host that does not lead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotLeader;

/// Where the control task's answer goes; dropped without one if the outcome is unknown.
pub type Answer<T> = oneshot::Sender<Result<T, NotLeader>>;

/// The HTTP service for targets and operators on a control host.
pub struct Registry {
    /// The control task's queue.
    pub control: mpsc::UnboundedSender<TaskMessage>,
    /// The session, which knows the leader's registry address.
    pub session: session::Handle,
    /// Reads the messages.
    pub messages: RequestBodies,
    /// The encoding of targets' messages.
    pub targets: Arc<dyn Protocol>,
    /// The encoding of route tables; `None` if this host doesn't accept them.
    pub route_tables: Option<Arc<dyn RouteTableProtocol>>,
    /// The address of this listener that is reported to targets.
    pub address: SocketAddr,
    /// The availability zones with their regions.
    pub zones: Vec<Zone>,
    /// Where targets' next heartbeats go.
    pub takers: Takers,
    /// The instant from which this listener measures time.
    pub epoch: Instant,
    /// Largest head of a request that this host accepts, in bytes.
    pub head_bytes: usize,
    /// Limits the log lines about messages.
    pub log_limit: Mutex<LogLimiter>,
}

impl Service for Registry {
    async fn serve(&self, request: Request<Incoming>, from: SocketAddr) -> Response<Body> {
        let (parts, body) = request.into_parts();
        let message = self
            .messages
            .read(body, &parts.extensions, MAX_MESSAGE_BYTES, from.ip());
        let body = match message.await {
            Ok(body) => body,
            Err(refusal) => return Problem::from(&refusal).response(),
        };
        if let Some(route_tables) = &self.route_tables
            && let Some(operation) = route_tables.operation(&parts.method, parts.uri.path())
        {
            let outcome = self
                .handle_table_operation(route_tables.as_ref(), operation, body)
                .await;
            // Each table that is accepted is logged.
            if outcome == TableOutcome::Accepted || self.allow_log_line() {
                tracing::info!(
                    verb = ?operation,
                    outcome = outcome.name(),
                    "answered an operator's route table request"
                );
            }
            return route_tables.answer(&outcome).map(body::full);
        }
        if self.targets.handles_path(parts.uri.path()) {
            return self.target(&parts, &body).await;
        }
        let mut response = Response::new(body::full(Bytes::new()));
        *response.status_mut() = StatusCode::NOT_FOUND;
        response
    }
}

impl Registry {
    /// Handles an operator's request about route tables.
    async fn handle_table_operation(
        &self,
        route_tables: &dyn RouteTableProtocol,
        operation: TableOperation,
        text: Bytes,
    ) -> TableOutcome {
        match operation {
            TableOperation::Publish => {
                let table = match route_tables.decode(&text) {
                    Ok(table) => table,
                    Err(reason) => return TableOutcome::Invalid(reason),
                };
                if let Err(reason) = route_tables.check_head_limit(&text, self.head_bytes) {
                    return TableOutcome::Invalid(reason);
                }
                if let Some(error) = table.validate().first() {
                    return TableOutcome::Invalid(error.to_string());
                }
                let table = Arc::new(table);
                let submitted = SubmittedTable { table, text };
                let taken = self
                    .ask_control(|answer| TaskMessage::Publish(submitted, answer))
                    .await;
                taken.map_or_else(|| self.redirect(), |()| TableOutcome::Accepted)
            }
            TableOperation::Read => match self.ask_control(TaskMessage::Read).await {
                Some(Some(text)) => TableOutcome::Table(text),
                Some(None) => TableOutcome::NoTable,
                None => self.redirect(),
            },
        }
    }

    /// Handles a target's message.
    async fn target(&self, parts: &Parts, body: &[u8]) -> Response<Body> {
        let message = self.targets.decode(&parts.method, parts.uri.path(), body);
        let receipt = match message {
            Ok(message) => Ok(self.forward_message(message).await),
            Err(error) => {
                self.log_undecodable(&error, parts.uri.path());
                Err(error)
            }
        };
        self.targets
            .response(parts.uri.path(), receipt)
            .map(body::full)
    }

    /// Logs that a target's message cannot be decoded.
    fn log_undecodable(&self, error: &Error, path: &str) {
        if self.allow_log_line() {
            tracing::info!(
                error = shorten(&error.to_string()),
                path = shorten(path),
                "target's message refused: cannot decode it"
            );
        }
    }

    /// Returns whether a line about a message may be logged now.
    fn allow_log_line(&self) -> bool {
        let limit = self.log_limit.lock();
        limit.unwrap_or_else(PoisonError::into_inner).allow()
    }

    /// Passes a target's message to the control task, with the region of its zone filled in.
    async fn forward_message(&self, mut message: Message) -> Receipt {
        let mut next = self.address;
        if let Message::Presence(presence) = &mut message {
            if !presence.heartbeat.leaving {
                let target = &presence.announcement.target;
                let taker = self.takers.next(target, self.epoch.elapsed());
                next = taker.unwrap_or(next);
            }
            let announcement = &mut presence.announcement;
            let mut zones = self.zones.iter();
            if let Some(zone) = zones.find(|zone| zone.name == announcement.zone) {
                announcement.region = zone.region.clone();
            }
        }
        let taken = self
            .ask_control(|answer| TaskMessage::Target(Box::new(message), answer))
            .await;
        match (taken, self.leader()) {
            (Some(()), _) => Receipt::AcceptedRedirect(next),
            (None, Some(leader)) => Receipt::Redirect(leader),
            (None, None) => Receipt::Unavailable,
        }
    }

    /// Queries the control task; `None` if this host does not lead or the outcome is unknown.
    async fn ask_control<T>(&self, request: impl FnOnce(Answer<T>) -> TaskMessage) -> Option<T> {
        let (answer, answered) = oneshot::channel();
        let _ = self.control.send(request(answer));
        let answered = tokio::time::timeout(ANSWER_TIMEOUT, answered).await;
        answered.ok()?.ok()?.ok()
    }

    /// Returns the outcome of a request that cannot be handled here.
    fn redirect(&self) -> TableOutcome {
        self.leader()
            .map_or(TableOutcome::Unavailable, TableOutcome::Redirect)
    }

    /// Returns the leader's registry address, if the leader is another host.
    fn leader(&self) -> Option<SocketAddr> {
        let leader = self.session.status().registry?;
        (leader != self.address).then_some(leader)
    }
}

impl TableOutcome {
    /// Returns the outcome's name for the log.
    fn name(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Invalid(_) => "faulty",
            Self::Table(_) => "read",
            Self::NoTable => "none yet",
            Self::Redirect(_) => "redirected",
            Self::Unavailable => "unavailable",
        }
    }
}
