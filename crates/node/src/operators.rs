//! The HTTP side towards operators, on an address of its own and behind a token.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use cornelhitch_control::catalogue::{Answer, Apply};
use cornelhitch_control::command::{Command, Reply};
use cornelhitch_types::id::{HostId, Incarnation, Version};
use cornelhitch_types::refusal::{Reason, Refusal};
use cornelhitch_wire::hello::Peer;
use http::header::AUTHORIZATION;
use http::request::Parts;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::body::Body;
use crate::callers::{collect, json};
use crate::control;
use crate::entry;
use crate::message::{Membership, Question};
use crate::metrics::Metrics;
use crate::problem::{Problem, not_run};
use crate::secret::Token;
use crate::server::Service;
use crate::session;

/// Time that an operator's call may take.
const LIMIT: Duration = Duration::from_secs(10);

/// Time that a change of the voters may take.
const MEMBERS: Duration = Duration::from_secs(90);

/// The largest settings text in bytes.
const TEXT: usize = 1 << 20;

/// What operators' requests are served with.
pub struct Operators {
    /// What operators show.
    pub token: Token,
    /// This host's number.
    pub host: HostId,
    /// This life of the process.
    pub incarnation: Incarnation,
    /// The way to the leader.
    pub session: session::Handle,
    /// The entry task, on a host with that role.
    pub entry: Option<mpsc::UnboundedSender<entry::Input>>,
    /// The control task, on a host with that role.
    pub control: Option<mpsc::UnboundedSender<control::Told>>,
    /// Counters.
    pub metrics: Metrics,
    /// Cancelled when an operator asks for the graceful shutdown.
    pub asked: CancellationToken,
}

/// A settings text that is to be in force, as operators send it.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    /// Who applies it.
    pub operator: String,
    /// The id of this request; a resend with the same one gets the first answer.
    pub request: String,
    /// The version it was made from.
    pub base: Version,
    /// The YAML text.
    pub text: String,
}

/// What became of a settings text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "result")]
pub enum Verdict {
    /// It is accepted, under this version.
    Accepted {
        /// The version.
        version: Version,
    },
    /// Another text was accepted since; make the change from that one.
    Conflict {
        /// The version in force.
        version: Version,
    },
    /// The text has faults.
    Faulty {
        /// One sentence a fault, with its line and column.
        faults: Vec<String>,
    },
    /// The request id was used before with another text or base.
    Reused,
}

impl From<Answer> for Verdict {
    fn from(answer: Answer) -> Self {
        match answer {
            Answer::Accepted { version } => Self::Accepted { version },
            Answer::Conflict { version } => Self::Conflict { version },
            Answer::Faulty { faults } => Self::Faulty {
                faults: faults.lines().map(str::to_owned).collect(),
            },
            Answer::Reused => Self::Reused,
        }
    }
}

/// The way of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
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

/// One path and what it serves.
struct Row {
    method: Method,
    path: &'static str,
    way: Way,
}

/// One row a path.
#[rustfmt::skip]
const ROWS: &[Row] = &[
    Row { method: Method::GET, path: "/dump", way: Way::Dump },
    Row { method: Method::GET, path: "/status", way: Way::Status },
    Row { method: Method::GET, path: "/settings", way: Way::Settings },
    Row { method: Method::POST, path: "/settings", way: Way::Apply },
    Row { method: Method::GET, path: "/in-force", way: Way::InForce },
    Row { method: Method::GET, path: "/explain", way: Way::Explain },
    Row { method: Method::POST, path: "/members", way: Way::Members },
    Row { method: Method::POST, path: "/drain", way: Way::Drain },
    Row { method: Method::POST, path: "/pardon", way: Way::Pardon },
    Row { method: Method::POST, path: "/dismiss", way: Way::Dismiss },
];

impl Service for Operators {
    async fn serve(&self, request: Request<Incoming>, _: SocketAddr) -> Response<Body> {
        let (parts, body) = request.into_parts();
        if !self.allowed(&parts) {
            let mut problem = Problem::from(&not_run(
                Reason::Malformed,
                "the token is missing or wrong: send \"Authorization: Bearer TOKEN\"",
            ));
            problem.status = StatusCode::UNAUTHORIZED.as_u16();
            return problem.response();
        }
        let served = self.route(&parts, body).await;
        served.unwrap_or_else(|refusal| Problem::from(&refusal).response())
    }
}

impl Operators {
    /// Whether the request carries the token.
    fn allowed(&self, parts: &Parts) -> bool {
        let value = parts.headers.get(AUTHORIZATION);
        let shown = value.and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
        shown.is_some_and(|shown| self.token.is(shown))
    }

    /// Serves one request.
    async fn route(&self, parts: &Parts, body: Incoming) -> Result<Response<Body>, Refusal> {
        let path = parts.uri.path();
        let row = ROWS
            .iter()
            .find(|row| row.path == path && row.method == parts.method);
        let Some(row) = row else {
            let detail = format!("operators have no {} {path}", parts.method);
            return Err(not_run(Reason::Unknown, detail));
        };
        match row.way {
            Way::Dump => Ok(json(StatusCode::OK, &self.dump().await)),
            Way::Status => self.ask(Question::Status, LIMIT).await,
            Way::Settings => self.ask(Question::Settings, LIMIT).await,
            Way::Apply => self.apply(collect(body, TEXT).await?).await,
            Way::InForce => {
                let version = query(parts, "version")?;
                self.ask(Question::InForce(version), LIMIT).await
            }
            Way::Explain => {
                let model = query(parts, "model")?;
                self.ask(Question::Explain(model), LIMIT).await
            }
            Way::Members => {
                let membership = membership(parts)?;
                self.ask(Question::Members(membership), MEMBERS).await
            }
            Way::Drain => Ok(self.drain()),
            Way::Pardon => {
                let fingerprint = query(parts, "fingerprint")?;
                self.commit(Command::Pardon { fingerprint }).await
            }
            Way::Dismiss => {
                let target: String = query(parts, "target")?;
                self.commit(Command::Dismiss {
                    target: target.into(),
                    incarnation: query(parts, "incarnation")?,
                    attested: true,
                })
                .await
            }
        }
    }

    /// Passes a question on to the leader.
    async fn ask(&self, question: Question, limit: Duration) -> Result<Response<Body>, Refusal> {
        let answer = self.session.ask(question, limit).await;
        let bytes = answer.map_err(|error| unavailable(&error))?;
        let value: serde_json::Value = serde_json::from_slice(&bytes).unwrap_or_default();
        Ok(json(StatusCode::OK, &value))
    }

    /// Commits a command.
    async fn propose(&self, command: &Command) -> Result<Reply, Refusal> {
        let reply = self.session.propose(command.encode(), LIMIT).await;
        let bytes = reply.map_err(|error| unavailable(&error))?;
        postcard::from_bytes(&bytes).map_err(|error| unavailable(&error))
    }

    /// Commits a command and answers with its reply.
    async fn commit(&self, command: Command) -> Result<Response<Body>, Refusal> {
        let reply = self.propose(&command).await?;
        Ok(json(StatusCode::OK, &reply))
    }

    /// Brings a settings text in force.
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
                let verdict = Verdict::from(answer);
                Ok(json(verdict.status(), &verdict))
            }
            other => Err(unavailable(&format!("an odd reply: {other:?}"))),
        }
    }

    /// Starts the graceful shutdown of this host.
    fn drain(&self) -> Response<Body> {
        self.asked.cancel();
        json(StatusCode::ACCEPTED, &"draining")
    }

    /// The state of this process.
    async fn dump(&self) -> serde_json::Value {
        let entry = state(self.entry.as_ref(), entry::Input::Dump).await;
        let control = state(self.control.as_ref(), control::Told::Dump).await;
        serde_json::json!({
            "host": self.host,
            "incarnation": self.incarnation,
            "version": env!("CARGO_PKG_VERSION"),
            "session": self.session.status(),
            "entry": entry,
            "control": control,
            "metrics": self.metrics.sums(),
        })
    }
}

/// The state of a task, where the host has it.
async fn state<M>(
    task: Option<&mpsc::UnboundedSender<M>>,
    question: impl FnOnce(oneshot::Sender<serde_json::Value>) -> M,
) -> Option<serde_json::Value> {
    let task = task?;
    let (answer, answered) = oneshot::channel();
    task.send(question(answer)).ok()?;
    answered.await.ok()
}

impl Verdict {
    /// The HTTP status of a verdict.
    fn status(&self) -> StatusCode {
        match self {
            Self::Accepted { .. } => StatusCode::OK,
            Self::Conflict { .. } | Self::Reused => StatusCode::CONFLICT,
            Self::Faulty { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        }
    }
}

/// A value of the query.
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

/// The change of the voters that a query names.
fn membership(parts: &Parts) -> Result<Membership, Refusal> {
    let peer = || -> Result<Peer, Refusal> {
        Ok(Peer {
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

/// The refusal of a call that no leader answered.
fn unavailable(error: &impl std::fmt::Display) -> Refusal {
    Refusal {
        reason: Reason::Unavailable,
        run: cornelhitch_types::refusal::Run::Unknown,
        retry_after: Some(Duration::from_secs(1)),
        detail: error.to_string().into(),
    }
}
