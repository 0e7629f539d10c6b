//! What a core is told.

use std::fmt;
use std::time::Duration;

use cornelhitch_types::id::{CallerId, ClassId, Incarnation, Name, TargetId, Time, Version};
use cornelhitch_types::model::Reference;
use cornelhitch_types::target::Load;
use cornelhitch_types::view::View;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter};

use crate::claim;

/// A request, as its owner numbers it; never used twice within a process.
pub type CallId = u64;

/// Counts the sends of one request, from 1.
pub type Attempt = u32;

/// A digest of a request's method, path and body.
pub type Digest = [u8; 32];

/// What a request asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum What {
    /// A model, with its version and adapter where they are named.
    Model(Reference),
    /// A plain service.
    Service {
        /// Its name.
        name: Name,
        /// The HTTP method, which decides whether the call may be repeated.
        method: Name,
    },
}

impl fmt::Display for What {
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
    /// Its number.
    pub id: CallId,
    /// Who asks.
    pub caller: CallerId,
    /// What for.
    pub what: What,
    /// Its class, or the one that the settings give to the model or service.
    pub class: Option<ClassId>,
    /// How long from its arrival the caller waits, or what the settings say.
    pub deadline: Option<Duration>,
    /// The caller's key; a request with one runs at most once, whatever it asks for.
    pub key: Option<Name>,
    /// `false` where the caller forbids a repeat that the settings would allow.
    pub repeatable: bool,
    /// See [`crate::fingerprint::of`].
    pub fingerprint: u64,
    /// Digest of the request, to tell another body under the same key.
    pub digest: Digest,
    /// Digests of the prompt's prefixes, block by block, shortest first.
    pub prefixes: Vec<u64>,
    /// Whether the caller reads the answer while it is generated.
    pub streaming: bool,
    /// Bytes of the body.
    pub bytes: u64,
    /// What its route grants it, where it came by one.
    pub terms: Option<Box<Terms>>,
}

/// What a route grants its requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Terms {
    /// Targets that may run one request at most.
    pub attempts: Attempt,
    /// How long after its arrival the end of its answer is due, even where that has begun.
    pub limit: Duration,
    /// The objective: time to the answer, or to the first event of a stream.
    pub objective: Duration,
    /// Its rank among the requests of a service; 0 goes first.
    pub rank: u8,
    /// Tokens of the prompt up to the end of each prefix.
    pub sizes: Vec<u32>,
}

impl Terms {
    /// The weight of a rank against others: a turn of one rank is worth some of the next.
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
    /// A request of which only the necessary is known.
    ///
    /// ```
    /// use cornelhitch_entry::event::{Request, What};
    /// use cornelhitch_types::model::Reference;
    ///
    /// let request = Request::new(7, "dealer", What::Model(Reference::base("report")));
    /// assert!(request.repeatable);
    /// ```
    #[must_use]
    pub fn new(id: CallId, caller: impl Into<CallerId>, what: What) -> Self {
        Self {
            id,
            caller: caller.into(),
            what,
            class: None,
            deadline: None,
            key: None,
            repeatable: true,
            fingerprint: id,
            digest: Digest::default(),
            prefixes: Vec::new(),
            streaming: false,
            bytes: 0,
            terms: None,
        }
    }

    /// Takes off what has passed of the caller's time and of its route's before the request came in.
    pub fn spend(&mut self, time: Duration) {
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
    /// No connection was made.
    Connect,
    /// The target answered that it does not take the request.
    Refused,
    /// The target answered that it is another one, or does not hold what was asked for.
    Absent,
    /// The connection broke before the answer began.
    Broken,
    /// The answer carried another request's id.
    Crossed,
    /// The answer stopped without its terminator.
    Truncated,
    /// The target answered with a server error.
    Status,
    /// No part of an answer that had begun came for [`crate::attempt::STALL`].
    Stalled,
}

/// What a core is told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// A request arrived.
    Arrived(Request),
    /// Control published a change of the view.
    View(View),
    /// The lease on the settings was renewed.
    Lease {
        /// Until when, on the clock of this core.
        until: Time,
        /// The version of the settings that control has in force.
        version: Version,
    },
    /// Control answered a claim.
    Claimed {
        /// The request.
        id: CallId,
        /// The answer.
        reply: claim::Reply,
    },
    /// Control committed the outcome of a request with a key.
    Recorded {
        /// The request.
        id: CallId,
    },
    /// The owner is about to hand the first byte to the connection, and waits for `Proceed`.
    Sent {
        /// The request.
        id: CallId,
        /// The attempt.
        attempt: Attempt,
    },
    /// The answer began, and the owner waits for `Deliver`.
    Begun {
        /// The request.
        id: CallId,
        /// The attempt.
        attempt: Attempt,
    },
    /// The head of an answer came.
    Answered {
        /// The target.
        target: TargetId,
        /// Its life.
        incarnation: Incarnation,
        /// Whether it is an error of the target's own.
        error: bool,
    },
    /// The owner passed on a part of a streamed answer.
    Progress {
        /// The request.
        id: CallId,
        /// The attempt.
        attempt: Attempt,
        /// Tokens passed on so far, over all attempts.
        offset: u64,
    },
    /// The terminator of the answer came, and the owner waits for `Finish`.
    Ended {
        /// The request.
        id: CallId,
        /// The attempt.
        attempt: Attempt,
    },
    /// The attempt failed; told also of an attempt that was cancelled just before.
    Failed {
        /// The request.
        id: CallId,
        /// The attempt.
        attempt: Attempt,
        /// How.
        failure: Failure,
    },
    /// The caller closed its connection.
    CallerLeft {
        /// The request.
        id: CallId,
    },
    /// Control answered a reservation of a target for suspect requests.
    Reserved {
        /// The target.
        target: TargetId,
        /// The life of the target that was asked for.
        incarnation: Incarnation,
        /// Whether this host has it now.
        granted: bool,
    },
    /// A probe of an ejected target ended.
    Probed {
        /// The target.
        target: TargetId,
        /// Whether a connection was made.
        connected: bool,
    },
    /// A target told its load with an answer.
    Loaded {
        /// The target.
        target: TargetId,
        /// Its life.
        incarnation: Incarnation,
        /// Its load.
        load: Load,
    },
    /// The process was asked to end.
    Drain,
    /// The time that `next_wake` named has come.
    Tick,
}
