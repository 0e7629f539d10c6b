//! An attempt for a routed request: passes the target's answer back unchanged.

use cornelhitch_entry::event::{Event, Failure};
use cornelhitch_target::client::{Chunks, DeclineReason, ForwardedRequest, ForwardedResponse};
use cornelhitch_target::http::Reuse;
use cornelhitch_target::sse::{self, EventSplitter};
use cornelhitch_types::id::TargetId;
use cornelhitch_types::target::Statement;
use futures_util::StreamExt;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, StatusCode};
use tokio::sync::oneshot;

use crate::answer_memory::{SMALL_ANSWER_BYTES, Segments};
use crate::attempt::{AnswerRecord, Attempt, AttemptEnd, SignalReceivers, end_to_end_headers};
use crate::exchange::{Head, Part, Payload, Routed};
use crate::log_limit::shorten;
use crate::metrics::Count;
use crate::shared_memory::Reservation;

/// The largest answer that is buffered, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Upper bound on the capacity of the buffer of an incomplete event, relative to the event.
const EVENT_CAPACITY_FACTOR: usize = 2;

/// Limit on a refusal's body that is read so that its connection can be reused, in bytes.
const MAX_DRAIN_BYTES: usize = 64 << 10;

impl Attempt {
    /// Forwards the request and passes the answer back.
    pub(crate) async fn relay(&self, receivers: SignalReceivers) -> Result<(), AttemptEnd> {
        let Payload::Routed(routed) = &*self.exchange.payload else {
            return Err(AttemptEnd::Withdrawn);
        };
        let SignalReceivers {
            proceed,
            deliver,
            finish,
        } = receivers;
        let gate = self.gate(proceed);
        let sending = self
            .client
            .relay(self.address(), self.relay_request(routed), gate);
        let answer = sending.await.map_err(|error| self.target_error(error))?;
        if let Some(load) = answer.load {
            self.send_event(Event::Loaded {
                target: self.to.target.clone(),
                incarnation: self.to.incarnation,
                load,
            });
        }
        if answer.statement != Statement::default() || self.to.limited {
            self.send_event(Event::Stated {
                target: self.to.target.clone(),
                incarnation: self.to.incarnation,
                statement: answer.statement,
            });
        }
        if let Some(declined) = answer.declined {
            return Err(self.target_declined(declined, answer.body).await);
        }
        self.report_status(answer.status);
        let failed = answer.status.is_server_error() && self.may_repeat(routed);
        // The caller has part of a stream, which only events can continue.
        let continues = answer.status.is_success() && may_be_event_stream(&answer.headers);
        let cannot_resume = self.resume.is_some() && !continues;
        if failed || cannot_resume {
            return Err(AttemptEnd::Failed(Failure::Status));
        }
        let mut deliver = Some(deliver);
        if routed.streams && answer.status.is_success() {
            let mut head = self.forward_events(answer, &mut deliver).await?;
            return self
                .finish_answer(finish, AnswerRecord::default(), &mut head, [])
                .await;
        }
        let head = Head {
            status: answer.status,
            headers: end_to_end_headers(&answer.headers),
        };
        let mut memory = self.answer_reservation();
        let body = self.read_body(answer.body, &mut memory).await?;
        self.begin_answer(&mut deliver).await?;
        self.finish_answer(
            finish,
            AnswerRecord::default(),
            &mut Some(head),
            body.into_parts(),
        )
        .await
    }

    /// Reports the status of an answer that the target did not decline with.
    fn report_status(&self, status: StatusCode) {
        self.send_event(Event::ResponseHead {
            target: self.to.target.clone(),
            incarnation: self.to.incarnation,
            error: status.is_server_error(),
        });
        if !status.is_success() {
            self.send_event(Event::ErrorStatus {
                id: self.id,
                attempt: self.number,
            });
        }
    }

    /// Returns which pooled connections the request may be sent on. The target may close one just as the
    /// request is sent, after which a request that must not run twice could not be sent again.
    pub(crate) fn reuse(&self) -> Reuse {
        if self.exchange.repeatable {
            Reuse::Yes
        } else if self.to.reuse_stated {
            Reuse::IfStated
        } else {
            Reuse::No
        }
    }

    /// Builds the request for the target.
    fn relay_request(&self, routed: &Routed) -> ForwardedRequest {
        ForwardedRequest {
            request: routed.id.clone(),
            target: self.to.target.clone(),
            method: routed.method.clone(),
            path: routed.path.clone(),
            headers: routed.headers.clone(),
            body: routed.body.clone(),
            reuse: self.reuse(),
            deadline: self.exchange.time_left(),
            rank: self.to.rank.unwrap_or(routed.rank),
            resume: self.resume,
            team: routed.team.clone(),
        }
    }

    /// Returns whether another target may run the request after this one.
    fn may_repeat(&self, routed: &Routed) -> bool {
        self.exchange.repeatable && self.number < routed.attempts
    }

    /// Logs a refusal and reads the rest of its body, so that the connection can be reused.
    async fn target_declined(&self, declined: DeclineReason, body: Chunks) -> AttemptEnd {
        let mut rest = body.map(|chunk| chunk.map_or(MAX_DRAIN_BYTES, |bytes| bytes.len()));
        let mut length = 0;
        while let Some(bytes) = rest.next().await {
            length += bytes;
            if length >= MAX_DRAIN_BYTES {
                break;
            }
        }
        tracing::info!(
            request = shorten(&self.request), target = &*self.to.target, %declined,
            "target declined the request without running it"
        );
        AttemptEnd::Failed(match declined {
            DeclineReason::Busy => Failure::Refused,
            DeclineReason::Absent => Failure::WrongTarget,
        })
    }

    /// Returns the reservation of a complete answer.
    fn answer_reservation(&self) -> Reservation<TargetId> {
        let reservation = self.memory.reservation(&self.to.target);
        reservation.small_up_to(SMALL_ANSWER_BYTES)
    }

    /// Buffers a complete answer body; fails if it is over [`MAX_ANSWER_BYTES`], or the target's
    /// share of the host's memory has no room for it.
    async fn read_body(
        &self,
        mut body: Chunks,
        memory: &mut Reservation<TargetId>,
    ) -> Result<Segments, AttemptEnd> {
        let mut segments = Segments::default();
        while let Some(chunk) = body.next().await {
            let chunk = chunk.map_err(|error| self.target_error(error))?;
            let fits = segments.length + chunk.len() <= MAX_ANSWER_BYTES;
            if !fits || !memory.resize(segments.capacity_with(&chunk)) {
                return Err(self.answer_too_large(segments.length));
            }
            segments.append(&chunk);
        }
        Ok(segments)
    }

    /// Logs that an answer, or an event of it, is given up for its size.
    fn answer_too_large(&self, buffered: usize) -> AttemptEnd {
        self.metrics.increment(Count::AnswersGivenUp);
        if self.memory.allow_log_line() {
            tracing::warn!(
                request = shorten(&self.request),
                target = &*self.to.target,
                buffered,
                reserved = self.memory.reserved(),
                "answer given up: no end within what is buffered"
            );
        }
        AttemptEnd::Failed(Failure::Status)
    }

    /// Passes on each event of a stream once it is complete; returns the head if no event arrived. Fails
    /// if an event is over [`sse::MAX_EVENT_BYTES`], or the target's share has no room for it.
    async fn forward_events(
        &self,
        answer: ForwardedResponse,
        deliver: &mut Option<oneshot::Receiver<()>>,
    ) -> Result<Option<Head>, AttemptEnd> {
        let mut head = self.resume.is_none().then(|| Head {
            status: answer.status,
            headers: end_to_end_headers(&answer.headers),
        });
        let mut body = answer.body;
        let mut splitter = EventSplitter::default();
        let mut memory = self.memory.reservation(&self.to.target);
        let mut record = AnswerRecord::default();
        while let Some(chunk) = body.next().await {
            splitter.push(&chunk.map_err(|error| self.target_error(error))?);
            while let Some(event) = splitter.next_event() {
                let id = sse::Event::parse(&event).and_then(|event| event.id?.parse().ok());
                self.begin_answer(deliver).await?;
                if let Some(head) = head.take() {
                    self.send_part(Part::Head(head)).await?;
                }
                let to = id.unwrap_or_else(|| self.delivered());
                self.forward(to, event, &mut record).await?;
            }
            let length = splitter.buffered_len();
            if length > sse::MAX_EVENT_BYTES || !memory.resize(EVENT_CAPACITY_FACTOR * length) {
                return Err(self.answer_too_large(length));
            }
        }
        if splitter.buffered_len() > 0 {
            return Err(AttemptEnd::Failed(Failure::Truncated));
        }
        self.begin_answer(deliver).await?;
        Ok(head)
    }
}

/// Whether the body may be a stream of events: its media type says so, or nothing.
fn may_be_event_stream(headers: &HeaderMap) -> bool {
    let Some(media_type) = headers.get(CONTENT_TYPE) else {
        return true;
    };
    let media_type = media_type.as_bytes().split(|byte| *byte == b';').next();
    let media_type = media_type.unwrap_or_default().trim_ascii();
    media_type.eq_ignore_ascii_case(sse::MEDIA_TYPE.as_bytes())
}
