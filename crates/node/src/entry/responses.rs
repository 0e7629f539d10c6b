//! Responses to callers that do not come from a target: refusals, broken streams and recorded
//! answers.

use bytes::Bytes;
use cornelhitch_entry::event::CallId;
use cornelhitch_types::refusal::Refusal;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, StatusCode};

use super::Entry;
use crate::exchange::{Head, Part, Payload, Recorded};
use crate::problem::Problem;
use crate::request_log::LogContext;

impl Entry {
    /// Ends a request with a refusal.
    pub(super) fn refuse(&mut self, id: CallId, refusal: Refusal) {
        let context = self.log_context();
        if let Some(exchange) = self.exchanges.remove(&id) {
            self.request_log.refused(&exchange, &refusal, context);
            let _ = exchange.reply.try_send(Part::Refusal(refusal));
        }
    }

    /// Returns the view and route table versions that decisions are currently based on.
    pub(super) fn log_context(&self) -> LogContext {
        let core = &self.setup.core;
        let (term, view) = core.view_position();
        LogContext {
            term,
            view,
            table: core.table().map_or(0, |table| table.version),
            leaving_ms: self.leaving_ms(),
        }
    }

    /// Ends an answer that has already started: sends an error event, then closes the connection.
    pub(super) fn abort_stream(&mut self, id: CallId, refusal: &Refusal) {
        let context = self.log_context();
        let Some(exchange) = self.exchanges.remove(&id) else {
            return;
        };
        self.request_log.refused(&exchange, refusal, context);
        if matches!(&*exchange.payload, Payload::Routed(_)) {
            // Nothing may be added to the target's bytes; a closed connection shows the caller
            // that the answer is incomplete.
            return;
        }
        let problem = Problem::from(refusal).json();
        let event = [b"event: error\ndata: ", &problem[..], b"\n\n"].concat();
        tokio::spawn(async move {
            let _ = exchange.reply.send(Part::Data(event.into())).await;
        });
    }

    /// Answers a request with the recorded answer to an earlier send of it.
    pub(super) fn replay(&mut self, id: CallId, recorded: &Bytes) {
        let Some(exchange) = self.exchanges.remove(&id) else {
            return;
        };
        let Ok(recorded) = postcard::from_bytes::<Recorded>(recorded) else {
            tracing::error!(
                id,
                "cannot decode the recorded answer; request dropped without an answer"
            );
            return;
        };
        let mut headers = HeaderMap::new();
        let media_type = recorded.media_type.as_deref().unwrap_or_default();
        if let Ok(value) = HeaderValue::from_str(media_type) {
            headers.insert(CONTENT_TYPE, value);
        }
        let status = StatusCode::from_u16(recorded.status).unwrap_or_default();
        for part in [
            Part::Head(Head { status, headers }),
            Part::Data(recorded.body),
            Part::End,
        ] {
            let _ = exchange.reply.try_send(part);
        }
    }
}
