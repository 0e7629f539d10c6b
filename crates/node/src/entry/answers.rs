//! Answers to callers that are no whole answer of a target.

use bytes::Bytes;
use cornelhitch_entry::event::CallId;
use cornelhitch_types::refusal::Refusal;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, StatusCode};

use super::Entry;
use crate::audit::Basis;
use crate::exchange::{Head, Part, Payload, Recorded};
use crate::problem::Problem;

impl Entry {
    /// Ends a request with a refusal.
    pub(super) fn refuse(&mut self, id: CallId, refusal: Refusal) {
        let basis = self.basis();
        if let Some(exchange) = self.exchanges.remove(&id) {
            self.audit.refused(&exchange, &refusal, basis);
            let _ = exchange.reply.try_send(Part::Refusal(refusal));
        }
    }

    /// What this host acts on now.
    pub(super) fn basis(&self) -> Basis {
        let core = &self.setup.core;
        let (term, view) = core.seen();
        Basis {
            term,
            view,
            table: core.table().map_or(0, |table| table.version),
        }
    }

    /// Ends an answer that had begun: an error event, then the connection is cut.
    pub(super) fn cut(&mut self, id: CallId, refusal: &Refusal) {
        let basis = self.basis();
        let Some(exchange) = self.exchanges.remove(&id) else {
            return;
        };
        self.audit.refused(&exchange, refusal, basis);
        if matches!(&*exchange.payload, Payload::Routed(_)) {
            // The target's bytes stand alone: the cut connection says that they are not whole.
            return;
        }
        let problem = Problem::from(refusal).json();
        let event = [b"event: error\ndata: ", &problem[..], b"\n\n"].concat();
        tokio::spawn(async move {
            let _ = exchange.reply.send(Part::Data(event.into())).await;
        });
    }

    /// Answers with a recorded answer.
    pub(super) fn replay(&mut self, id: CallId, recorded: &Bytes) {
        let Some(exchange) = self.exchanges.remove(&id) else {
            return;
        };
        let Ok(recorded) = postcard::from_bytes::<Recorded>(recorded) else {
            tracing::error!(id, "a recorded answer cannot be read");
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
