//! The HTTP service for operators, on its own address and protected by a token.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use cornelhitch_control::command::{Command, Reply};
use cornelhitch_control::current_settings::{Apply, ApplyResult};
use cornelhitch_types::id::{HostId, Incarnation, Version};
use cornelhitch_types::refusal::{Reason, Refusal};
use cornelhitch_wire::hello::ProcessId;
use http::header::AUTHORIZATION;
use http::request::Parts;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::body::Body;
use crate::callers::json;
use crate::control;
use crate::entry;
use crate::message::{Membership, Question};
use crate::metrics::Metrics;
use crate::problem::{Problem, not_run};
use crate::request_memory::RequestBodies;
use crate::secret::Token;
use crate::server::Service;
use crate::session;

/// Timeout for an operator's call to the leader.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout for a membership change.
const MEMBERSHIP_TIMEOUT: Duration = Duration::from_secs(90);

/// The largest settings request, in bytes.
const MAX_SETTINGS_BYTES: usize = 1 << 20;

/// The HTTP service for operators.
pub struct Operators {
    /// The bearer token that requests must present.
    pub token: Token,
    /// This host's id.
    pub host: HostId,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The session with the leader.
    pub session: session::Handle,
    /// The entry task's input queue, on a host with that role.
    pub entry: Option<mpsc::UnboundedSender<entry::Input>>,
    /// The control task's queue, on a host with that role.
    pub control: Option<mpsc::UnboundedSender<control::TaskMessage>>,
    /// Reads the bodies of requests.
    pub messages: RequestBodies,
    /// The metrics of this process.
    pub metrics: Metrics,
    /// Cancelled when an operator requests a graceful shutdown.
    pub drain_token: CancellationToken,
}

/// An operator's request to apply a settings text.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    /// The operator's name.
    pub operator: String,
    /// The id of this request; a resend with the same id gets the first answer.
    pub request: String,
    /// The settings version that the text was made from.
    pub base: Version,
    /// The settings as YAML.
    pub text: String,
}

/// The outcome of a [`Proposal`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "result")]
pub enum ApplyOutcome {
    /// The text was accepted.
    Accepted {
        /// Its version.
        version: Version,
    },
    /// Another text was accepted since `base`; the change has to be made from that one.
    Conflict {
        /// The version accepted last.
        version: Version,
    },
    /// The text is invalid.
    Faulty {
        /// One message for each error, with its line and column.
        faults: Vec<String>,
    },
    /// The request id was used before with another text or base.
    Reused,
}

impl From<ApplyResult> for ApplyOutcome {
    fn from(answer: ApplyResult) -> Self {
        match answer {
            ApplyResult::Accepted { version } => Self::Accepted { version },
            ApplyResult::Conflict { version } => Self::Conflict { version },
            ApplyResult::Faulty { faults } => Self::Faulty {
                faults: faults.lines().map(str::to_owned).collect(),
            },
            ApplyResult::Reused => Self::Reused,
        }
    }
}

/// An endpoint of the operators' interface.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Endpoint {
    Dump,
    Status,
    Settings,
    Apply,
    InForce,
    Explain,
    Members,
    Drain,
    Pardon,
    Dismiss,
}

/// The method and path of an endpoint.
struct Route {
    method: Method,
    path: &'static str,
    endpoint: Endpoint,
}

/// All endpoints.
#[rustfmt::skip]
const ROUTES: &[Route] = &[
    Route { method: Method::GET, path: "/dump", endpoint: Endpoint::Dump },
    Route { method: Method::GET, path: "/status", endpoint: Endpoint::Status },
    Route { method: Method::GET, path: "/settings", endpoint: Endpoint::Settings },
    Route { method: Method::POST, path: "/settings", endpoint: Endpoint::Apply },
    Route { method: Method::GET, path: "/in-force", endpoint: Endpoint::InForce },
    Route { method: Method::GET, path: "/explain", endpoint: Endpoint::Explain },
    Route { method: Method::POST, path: "/members", endpoint: Endpoint::Members },
    Route { method: Method::POST, path: "/drain", endpoint: Endpoint::Drain },
    Route { method: Method::POST, path: "/pardon", endpoint: Endpoint::Pardon },
    Route { method: Method::POST, path: "/dismiss", endpoint: Endpoint::Dismiss },
];

impl Service for Operators {
    async fn serve(&self, request: Request<Incoming>, from: SocketAddr) -> Response<Body> {
        let (parts, body) = request.into_parts();
        if !self.is_authorized(&parts) {
            let mut problem = Problem::from(&not_run(
                Reason::Malformed,
                "the token is missing or wrong: send \"Authorization: Bearer TOKEN\"",
            ));
            problem.status = StatusCode::UNAUTHORIZED.as_u16();
            return problem.response();
        }
        let served = self.route(&parts, body, from).await;
        served.unwrap_or_else(|refusal| Problem::from(&refusal).response())
    }
}

impl Operators {
    /// Returns whether the request carries the token.
    fn is_authorized(&self, parts: &Parts) -> bool {
        let value = parts.headers.get(AUTHORIZATION);
        let presented = value.and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
        presented.is_some_and(|presented| self.token.matches(presented))
    }

    /// Dispatches a request to its endpoint.
    async fn route(
        &self,
        parts: &Parts,
        body: Incoming,
        from: SocketAddr,
    ) -> Result<Response<Body>, Refusal> {
        let path = parts.uri.path();
        let route = ROUTES
            .iter()
            .find(|route| route.path == path && route.method == parts.method);
        let Some(route) = route else {
            let detail = format!("operators have no {} {path}", parts.method);
            return Err(not_run(Reason::Unknown, detail));
        };
        match route.endpoint {
            Endpoint::Dump => Ok(json(StatusCode::OK, &self.dump().await)),
            Endpoint::Status => self.ask(Question::Status, CALL_TIMEOUT).await,
            Endpoint::Settings => self.ask(Question::Settings, CALL_TIMEOUT).await,
            Endpoint::Apply => {
                let settings =
                    self.messages
                        .read(body, &parts.extensions, MAX_SETTINGS_BYTES, from.ip());
                self.apply(settings.await?).await
            }
            Endpoint::InForce => {
                let version = query(parts, "version")?;
                self.ask(Question::InForce(version), CALL_TIMEOUT).await
            }
            Endpoint::Explain => {
                let model = query(parts, "model")?;
                self.ask(Question::Explain(model), CALL_TIMEOUT).await
            }
            Endpoint::Members => {
                let membership = membership(parts)?;
                self.ask(Question::Members(membership), MEMBERSHIP_TIMEOUT)
                    .await
            }
            Endpoint::Drain => Ok(self.drain()),
            Endpoint::Pardon => {
                let fingerprint = query(parts, "fingerprint")?;
                self.commit(Command::ClearStrikes { fingerprint }).await
            }
            Endpoint::Dismiss => {
                let target: String = query(parts, "target")?;
                self.commit(Command::Deregister {
                    target: target.into(),
                    incarnation: query(parts, "incarnation")?,
                    attested: true,
                })
                .await
            }
        }
    }

    /// Sends the leader a query and returns its answer.
    async fn ask(&self, question: Question, limit: Duration) -> Result<Response<Body>, Refusal> {
        let answer = self.session.ask(question, limit).await;
        let bytes = answer.map_err(|error| unavailable(&error))?;
        let value: serde_json::Value = serde_json::from_slice(&bytes).unwrap_or_default();
        Ok(json(StatusCode::OK, &value))
    }

    /// Commits a command and returns its reply.
    async fn propose(&self, command: &Command) -> Result<Reply, Refusal> {
        let reply = self.session.propose(command.encode(), CALL_TIMEOUT).await;
        let bytes = reply.map_err(|error| unavailable(&error))?;
        postcard::from_bytes(&bytes).map_err(|error| unavailable(&error))
    }

    /// Commits a command and returns a response with its reply.
    async fn commit(&self, command: Command) -> Result<Response<Body>, Refusal> {
        let reply = self.propose(&command).await?;
        Ok(json(StatusCode::OK, &reply))
    }

    /// Submits a settings text.
    async fn apply(&self, body: Bytes) -> Result<Response<Body>, Refusal> {
        let proposal: Proposal = serde_json::from_slice(&body)
            .map_err(|error| not_run(Reason::Malformed, format!("the body: {error}")))?;
        let command = Command::Apply(Apply {
            operator: proposal.operator.into(),
            request: proposal.request.into(),
            base: proposal.base,
            text: proposal.text.into(),
        });
        match self.propose(&command).await? {
            Reply::Settings(answer) => {
                let verdict = ApplyOutcome::from(answer);
                Ok(json(verdict.status(), &verdict))
            }
            other => Err(unavailable(&format!("an odd reply: {other:?}"))),
        }
    }

    /// Starts the graceful shutdown of this host.
    fn drain(&self) -> Response<Body> {
        self.drain_token.cancel();
        json(StatusCode::ACCEPTED, &"draining")
    }

    /// Returns the state of this process.
    async fn dump(&self) -> serde_json::Value {
        let entry = task_state(self.entry.as_ref(), entry::Input::Dump).await;
        let control = task_state(self.control.as_ref(), control::TaskMessage::Dump).await;
        serde_json::json!({
            "host": self.host,
            "incarnation": self.incarnation,
            "version": env!("CARGO_PKG_VERSION"),
            "session": self.session.status(),
            "entry": entry,
            "control": control,
            "metrics": self.metrics.totals(),
        })
    }
}

/// Requests a task's state; `None` if this host doesn't run the task.
async fn task_state<M>(
    task: Option<&mpsc::UnboundedSender<M>>,
    question: impl FnOnce(oneshot::Sender<serde_json::Value>) -> M,
) -> Option<serde_json::Value> {
    let task = task?;
    let (answer, answered) = oneshot::channel();
    task.send(question(answer)).ok()?;
    answered.await.ok()
}

impl ApplyOutcome {
    /// Returns the HTTP status for the outcome.
    fn status(&self) -> StatusCode {
        match self {
            Self::Accepted { .. } => StatusCode::OK,
            Self::Conflict { .. } | Self::Reused => StatusCode::CONFLICT,
            Self::Faulty { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        }
    }
}

/// Parses a parameter of the query.
fn query<T: FromStr>(parts: &Parts, key: &str) -> Result<T, Refusal> {
    let pairs = parts.uri.query().unwrap_or_default().split('&');
    let value = pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(name, _)| *name == key);
    let parsed = value.and_then(|(_, value)| value.parse().ok());
    parsed.ok_or_else(|| {
        let detail = format!("the query needs {key}=VALUE with a proper value");
        not_run(Reason::Malformed, detail)
    })
}

/// Parses the membership change in a query.
fn membership(parts: &Parts) -> Result<Membership, Refusal> {
    let peer = || -> Result<ProcessId, Refusal> {
        Ok(ProcessId {
            host: query(parts, "host")?,
            incarnation: query(parts, "incarnation")?,
        })
    };
    let change: String = query(parts, "change")?;
    match change.as_str() {
        "add" => Ok(Membership::Add(peer()?)),
        "promote" => Ok(Membership::Promote(query(parts, "host")?)),
        "remove" => Ok(Membership::Remove(query(parts, "host")?)),
        "replace" => Ok(Membership::Replace {
            old: query(parts, "old")?,
            new: peer()?,
        }),
        other => {
            let detail = format!("{other:?} is no change: add, promote, remove or replace");
            Err(not_run(Reason::Malformed, detail))
        }
    }
}

/// Returns the refusal for a call without a usable answer from the leader.
fn unavailable(error: &impl std::fmt::Display) -> Refusal {
    Refusal {
        reason: Reason::Unavailable,
        run: cornelhitch_types::refusal::Run::Unknown,
        retry_after: Some(Duration::from_secs(1)),
        detail: error.to_string().into(),
    }
}
