//! The bodies of answers as the HTTP library takes them.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::Version;
use hyper::body::{Body as HttpBody, Frame, SizeHint};

use crate::answer_progress::take;
use crate::body::{Body, Truncated};
use crate::connection::{Connection, Request};

/// The body of an answer, whose request is in progress until it is dropped.
pub(crate) struct AnswerBody {
    body: Body,
    /// Counts the socket until it is dropped.
    connection: Arc<Connection>,
    /// The request; `None` if it was crowded out.
    request: Option<Arc<Request>>,
    /// Whether the HTTP library has asked for the body.
    begun: bool,
    /// The version of HTTP. Over HTTP/2 the time limit on unread answers is kept for this answer, and not by the
    /// socket; over HTTP/1.0 the end of the answer may be that of the connection.
    version: Version,
}

impl AnswerBody {
    /// Wraps the body of the answer to a request on a connection.
    pub(crate) fn new(
        body: Body,
        connection: Arc<Connection>,
        request: Option<Arc<Request>>,
        version: Version,
    ) -> Self {
        if version == Version::HTTP_2
            && let Some(request) = &request
        {
            request.begin_answer();
        }
        connection.begin_answer(version < Version::HTTP_11);
        if body.is_end_stream() {
            connection.end_answer();
        }
        Self {
            body,
            connection,
            request,
            begun: false,
            version,
        }
    }

    /// Records that the HTTP library has taken all of the answer, if it has.
    fn note_end(&self, polled: &Poll<Option<Result<Frame<Bytes>, Truncated>>>) {
        let ended = match polled {
            Poll::Ready(None) => true,
            Poll::Ready(Some(Ok(_))) => self.body.is_end_stream(),
            Poll::Ready(Some(Err(_))) | Poll::Pending => false,
        };
        if ended {
            self.connection.end_answer();
        }
    }
}

impl HttpBody for AnswerBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        self.note_end(&polled);
        let is_http2 = self.version == Version::HTTP_2;
        let Some(request) = self.request.clone().filter(|_| is_http2) else {
            return polled;
        };
        if !std::mem::replace(&mut self.begun, true) {
            request.begin_answer_body();
        }
        polled.map_ok(|frame| frame.map_data(|bytes| take(bytes, &request)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
