//! A caller's request and the parts of its answer.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cornelhitch_entry::event::Request;
use cornelhitch_target::client::{ApiFormat, RequestId};
use cornelhitch_types::id::{CallerId, Name};
use cornelhitch_types::model::Reference;
use cornelhitch_types::refusal::Refusal;
use http::{HeaderMap, Method, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use crate::section_ids::SectionIds;
use crate::unread_answers::CallerShare;

/// Capacity of a caller's queue of answer parts; when it is full, reading from the target pauses.
pub const PART_QUEUE_CAPACITY: usize = 64;

/// What is sent to a target.
#[derive(Debug, Clone)]
pub enum Payload {
    /// A request to a model.
    Model {
        /// The model, version and adapter.
        model: Reference,
        /// The API that the body is written for.
        form: ApiFormat,
        /// The caller's JSON body.
        body: Bytes,
        /// Whether the answer is streamed as server-sent events.
        stream: bool,
    },
    /// A request to a plain service.
    Service {
        /// The HTTP method.
        method: Method,
        /// Path and query, relative to the service.
        path: String,
        /// The caller's headers, without hop-by-hop ones.
        headers: HeaderMap,
        /// The request body.
        body: Bytes,
    },
    /// A routed request, forwarded unchanged.
    Routed(Box<Routed>),
}

/// A routed request, as it is sent to its target.
#[derive(Debug, Clone)]
pub struct Routed {
    /// The caller's request id.
    pub id: RequestId,
    /// The route's name and the requested model or service, for the log.
    pub what: String,
    /// The HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// The caller's headers, without hop-by-hop ones.
    pub headers: HeaderMap,
    /// The request body.
    pub body: Bytes,
    /// Whether the answer is a stream of events.
    pub streams: bool,
    /// The priority rank at the target; 0 is the highest.
    pub rank: u8,
    /// Maximum number of targets that may run the request.
    pub attempts: u32,
    /// The id of the last event that the caller has, if it resumes a stream.
    pub resume: Option<u64>,
    /// The name of the team that sends the request, if its route needs a key.
    pub team: Option<Name>,
}

/// A part of the answer to a caller.
#[derive(Debug)]
pub enum Part {
    /// Status and headers; the first part, unless the request is refused.
    Head(Head),
    /// Bytes of the body.
    Data(Bytes),
    /// The end of a complete answer.
    End,
    /// A refusal; no other part follows.
    Refusal(Refusal),
}

/// Status and headers of an answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Head {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers, without hop-by-hop ones.
    pub headers: HeaderMap,
}

/// A new request, as an HTTP listener passes it to the entry task.
#[derive(Debug)]
pub struct NewRequest {
    /// The request's metadata for the core.
    pub request: Request,
    /// What is sent to the target.
    pub payload: Payload,
    /// The queue for the parts of the answer.
    pub reply: mpsc::Sender<Part>,
    /// The caller's share in the memory for unread answers.
    pub share: CallerShare,
}

/// A request in flight.
#[derive(Debug, Clone)]
pub struct Exchange {
    /// What is sent to the target.
    pub payload: Arc<Payload>,
    /// The digest that strikes are counted by.
    pub fingerprint: u64,
    /// The caller that sent the request, for the log.
    pub caller: CallerId,
    /// The digest of what the request asks for, whoever sends it, for the log.
    pub content: Option<u64>,
    /// The shared sections of the prompt, for the log.
    pub sections: SectionIds,
    /// The queue for the parts of the answer.
    pub reply: mpsc::Sender<Part>,
    /// The caller's share in the memory for unread answers.
    pub share: CallerShare,
    /// Tokens sent to the caller so far, over all attempts.
    pub delivered: Arc<AtomicU64>,
    /// Whether the request has an idempotency key, so that its answer is recorded.
    pub keyed: bool,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// When the request arrived.
    pub arrived: Instant,
    /// When the caller stops waiting.
    pub deadline: Option<Instant>,
    /// When the first part of the answer was forwarded; `None` before that.
    pub begun: Option<Instant>,
    /// The weight of the request's class.
    pub priority: u32,
}

impl Exchange {
    /// Returns the time until the deadline, or `None` if there is none.
    #[must_use]
    pub fn time_left(&self) -> Option<Duration> {
        let deadline = self.deadline?;
        Some(deadline.saturating_duration_since(Instant::now()))
    }
}

/// A complete answer, recorded for resends of the same request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recorded {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the body.
    pub media_type: Option<String>,
    /// The response body.
    pub body: Bytes,
}
