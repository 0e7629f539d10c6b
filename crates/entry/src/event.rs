//! The events that a core processes.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use cornelhitch_types::id::{CallerId, ClassId, Incarnation, Name, TargetId, Time, Version};
use cornelhitch_types::model::Reference;
use cornelhitch_types::quota;
use cornelhitch_types::route::RouteTable;
use cornelhitch_types::target::{LoadReport, Statement, TargetSoftware};
use cornelhitch_types::team::{ApiKeyDigest, Team, TokenUsage};
use cornelhitch_types::view::View;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoStaticStr};

use crate::claim;
use crate::newest_table;
use crate::peer_load::ReceivedReport;
use crate::software::OriginAnswer;
use crate::suspects::Parts;
use crate::warm::IdleConnections;

/// A request's number, assigned by the owner; unique within a process.
pub type CallId = u64;

/// The number of a send of one request, from 1.
pub type Attempt = u32;

/// A digest of a request's method, path and body.
pub type Digest = [u8; 32];

/// The model or service that a request is for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestedResource {
    /// A model, with its version and adapter if the request names them.
    Model(Reference),
    /// A service that does not run models.
    Service {
        /// The service's name.
        name: Name,
        /// The HTTP method, which decides whether the call may be repeated.
        method: Name,
    },
}

impl fmt::Display for RequestedResource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Model(reference) => write!(f, "model {reference}"),
            Self::Service { name, method } => write!(f, "{method} of service {name}"),
        }
    }
}

/// A request whose head and body have been read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The request's number.
    pub id: CallId,
    /// The caller that sent the request.
    pub caller: CallerId,
    /// The model or service that it is for.
    pub what: RequestedResource,
    /// The class that the request names; `None` for the default class of the model or service.
    pub class: Option<ClassId>,
    /// How long the caller waits, counted from arrival; `None` for the default from the settings.
    pub deadline: Option<Duration>,
    /// The idempotency key; a request with one runs at most once, whether it is for a model or a
    /// service.
    pub key: Option<Name>,
    /// `false` if the caller forbids retries that the settings would allow.
    pub repeatable: bool,
    /// The fingerprint of the body and the requested resource; see [`crate::fingerprint::of`].
    pub fingerprint: u64,
    /// What tells a routed request from others; `None` if it did not arrive through a route.
    pub identity: Option<Box<Identity>>,
    /// Digest of the request, to detect a different body under the same key.
    pub digest: Digest,
    /// Digests of the prompt's prefixes, block by block, shortest first.
    pub prefixes: Vec<u64>,
    /// Ids of the prompt's sections that other prompts may have in common, each once; without the
    /// last section, which belongs to this request alone.
    pub sections: Vec<u64>,
    /// Whether the caller reads the response as a stream.
    pub streaming: bool,
    /// Size of the body in bytes.
    pub bytes: u64,
    /// The limits of the request's route, or `None` if it did not arrive through one.
    pub terms: Option<Box<RouteLimits>>,
    /// The team that sends the request; `None` if its route needs no key.
    #[serde(skip)]
    pub team: Option<Arc<Team>>,
    /// The digest of the key that the request carried; `None` if its route needs no key.
    #[serde(skip)]
    pub api_key: Option<ApiKeyDigest>,
    /// The token counts that the request states.
    #[serde(default)]
    pub usage: Option<TokenUsage>,
}

/// What tells a routed request from others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Digest of what the request asks for, whoever sends it; see
    /// [`crate::fingerprint::of_content`].
    pub content: u64,
    /// Digest of the caller's id for this attempt; see [`crate::fingerprint::of_attempt`].
    pub attempt: u64,
    /// The stream that the caller takes up, if it does.
    pub resumes: Option<Resumes>,
}

/// Which stream a caller takes up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Resumes {
    /// It does not say.
    Unnamed,
    /// The digest of the attempt that brought the stream's first event.
    Attempt(u64),
}

impl Resumes {
    /// Returns the digest of the attempt, if the caller names it.
    #[must_use]
    pub fn attempt(self) -> Option<u64> {
        match self {
            Self::Attempt(attempt) => Some(attempt),
            Self::Unnamed => None,
        }
    }
}

/// The limits under which a route's requests run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteLimits {
    /// The route's name.
    pub route: Name,
    /// Maximum number of targets that may run one request.
    pub attempts: Attempt,
    /// Time from arrival by which the response must end, even if it has begun.
    pub limit: Duration,
    /// The latency objective: time to the response, or to the first event of a stream; `None` if the
    /// route has none.
    pub objective: Option<Duration>,
    /// Priority among the requests of a service; 0 is the highest.
    pub rank: u8,
    /// Number of prompt tokens up to the end of each prefix.
    pub sizes: Vec<u32>,
}

impl RouteLimits {
    /// Returns the queueing weight of the rank: 32 times that of the next lower rank, at least 1.
    #[must_use]
    pub fn weight(&self) -> u32 {
        const TOP: u32 = 1 << 20;
        const STEP: u32 = 5;
        TOP.checked_shr(STEP * u32::from(self.rank))
            .unwrap_or(0)
            .max(1)
    }
}

impl Request {
    /// Creates a request with defaults for all that is optional; the fingerprint is the id.
    ///
    /// ```
    /// use cornelhitch_entry::event::{Request, RequestedResource};
    /// use cornelhitch_types::model::Reference;
    ///
    /// let what = RequestedResource::Model(Reference::base("report"));
    /// let request = Request::new(7, "dealer", what);
    /// assert!(request.repeatable);
    /// ```
    #[must_use]
    pub fn new(id: CallId, caller: impl Into<CallerId>, what: RequestedResource) -> Self {
        Self {
            id,
            caller: caller.into(),
            what,
            class: None,
            deadline: None,
            key: None,
            repeatable: true,
            fingerprint: id,
            identity: None,
            digest: Digest::default(),
            prefixes: Vec::new(),
            sections: Vec::new(),
            streaming: false,
            bytes: 0,
            terms: None,
            team: None,
            api_key: None,
            usage: None,
        }
    }

    /// Returns the parts by which ends of targets are counted.
    #[must_use]
    pub fn parts(&self) -> Parts<'_> {
        Parts {
            content: self.content(),
            sections: &self.sections,
        }
    }

    /// Returns the ids of the parts: what the request asks for first, then the sections.
    #[must_use]
    pub fn part_ids(&self) -> Vec<u64> {
        let sections = self.sections.iter().copied();
        self.content().into_iter().chain(sections).collect()
    }

    /// Returns the digest of what a routed request asks for, whoever sends it.
    #[must_use]
    pub fn content(&self) -> Option<u64> {
        self.identity.as_ref().map(|identity| identity.content)
    }

    /// Returns which stream the caller takes up, if it does.
    #[must_use]
    pub fn resumes(&self) -> Option<Resumes> {
        self.identity.as_ref()?.resumes
    }

    /// Subtracts the time that passed before the request arrived from the caller's deadline and
    /// the route's limit.
    pub fn deduct_elapsed(&mut self, time: Duration) {
        self.deadline = self.deadline.map(|left| left.saturating_sub(time));
        if let Some(terms) = &mut self.terms {
            terms.limit = terms.limit.saturating_sub(time);
        }
    }
}

/// How an attempt failed.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Failure {
    /// No connection was established.
    Connect,
    /// The target declined the request.
    Refused,
    /// The target is not the expected one, or does not hold the requested model or service.
    #[serde(rename = "absent")]
    #[strum(serialize = "absent")]
    WrongTarget,
    /// The connection broke before the response began.
    Broken,
    /// The response carried another request's id.
    #[serde(rename = "crossed")]
    #[strum(serialize = "crossed")]
    MismatchedId,
    /// The response ended without its terminator.
    Truncated,
    /// The target answered with a server error.
    Status,
    /// The response did not begin in time, or no part of it arrived for the stall timeout.
    Stalled,
}

/// An event that a core processes; its name says which one it is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, IntoStaticStr)]
pub enum Event {
    /// A request arrived.
    Arrived(Request),
    /// Control published a change of the view.
    View(View),
    /// The lease on the settings was renewed.
    Lease {
        /// When the lease expires, on this core's clock.
        until: Time,
        /// The version of the settings that control has in force.
        version: Version,
    },
    /// A control host stated which route table is its newest.
    NewestTable(newest_table::Statement),
    /// A control host sent its newest route table.
    Table(Arc<RouteTable>),
    /// Control answered a claim.
    Claimed {
        /// The request that the claim is for.
        id: CallId,
        /// Control's reply.
        reply: claim::Reply,
    },
    /// Control committed the outcome of a request with a key.
    Recorded {
        /// The request with the outcome.
        id: CallId,
    },
    /// The owner has connected, is about to write the first byte, and waits for `Proceed`.
    Sent {
        /// The request of the attempt.
        id: CallId,
        /// The attempt's number.
        attempt: Attempt,
    },
    /// The response began, and the owner waits for `Deliver`.
    #[serde(rename = "Begun")]
    ResponseStarted {
        /// The request of the attempt.
        id: CallId,
        /// The attempt's number.
        attempt: Attempt,
    },
    /// The head of a response arrived.
    #[serde(rename = "Answered")]
    ResponseHead {
        /// The target that sent it.
        target: TargetId,
        /// The incarnation of the target.
        incarnation: Incarnation,
        /// Whether the response is an error caused by the target itself.
        error: bool,
    },
    /// An answer of a target states something of the target, or names no limit though the request was
    /// sent under one.
    Stated {
        /// The target that sent it.
        target: TargetId,
        /// The incarnation of the target.
        incarnation: Incarnation,
        /// What it states.
        statement: Statement,
    },
    /// The response of an attempt reports an error, so that its end clears no prompt section.
    ErrorStatus {
        /// The request of the attempt.
        id: CallId,
        /// The attempt's number.
        attempt: Attempt,
    },
    /// The owner forwarded a part of a streamed response.
    Progress {
        /// The request of the attempt.
        id: CallId,
        /// The attempt's number.
        attempt: Attempt,
        /// Number of tokens forwarded so far, over all attempts.
        offset: u64,
    },
    /// The terminator of the response arrived, and the owner waits for `Finish`.
    #[serde(rename = "Ended")]
    ResponseEnded {
        /// The request of the attempt.
        id: CallId,
        /// The attempt's number.
        attempt: Attempt,
    },
    /// The attempt failed; also reported for an attempt that was cancelled just before.
    Failed {
        /// The request of the attempt.
        id: CallId,
        /// The attempt's number.
        attempt: Attempt,
        /// The kind of failure.
        failure: Failure,
    },
    /// The caller closed its connection.
    #[serde(rename = "CallerLeft")]
    CallerDisconnected {
        /// The request of the caller.
        id: CallId,
    },
    /// Control answered a reservation of a target for suspect requests.
    Reserved {
        /// The target that was to be reserved.
        target: TargetId,
        /// The incarnation of the target in the reservation.
        incarnation: Incarnation,
        /// Whether this host now holds the reservation.
        granted: bool,
    },
    /// Control told the software of targets.
    Software(Vec<TargetSoftware>),
    /// Control answered which version began the stream that a request takes up.
    OriginAnswered {
        /// The request that waits for the answer.
        id: CallId,
        /// The answer; `None` if there was none.
        answer: Option<OriginAnswer>,
    },
    /// Control answered whether a request may run as a trial of its refused parts.
    TrialAnswered {
        /// The request that waits for the answer.
        id: CallId,
        /// Whether it may run; no other request tries these parts meanwhile.
        granted: bool,
    },
    /// A probe of an ejected target ended.
    Probed {
        /// The probed target.
        target: TargetId,
        /// Whether a connection was established.
        connected: bool,
    },
    /// A target reported its load with a response.
    Loaded {
        /// The target that reported.
        target: TargetId,
        /// The incarnation of the target.
        incarnation: Incarnation,
        /// Its load, with its slots and pace if it states them.
        load: LoadReport,
    },
    /// Another entry host of the region told what it has in flight.
    PeerReport(ReceivedReport),
    /// The process was asked to shut down.
    Drain,
    /// The time returned by `next_wake` has been reached.
    Tick,
    /// The leader answered a report about teams' quotas.
    Quota(quota::Answer),
    /// The owner's idle connections to a target address changed.
    IdleConnections(IdleConnections),
    /// The owner has a connection for an attempt of a request.
    Connected {
        /// The request of the attempt.
        id: CallId,
        /// Whether the connection was idle before; else it was opened for the attempt.
        reused: bool,
    },
}
