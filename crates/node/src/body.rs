//! Bodies of HTTP responses.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::unfold;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use tokio::sync::mpsc;

use crate::exchange::Part;

/// The error that ends an incomplete body by closing the connection, which the caller can detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Truncated;

impl std::fmt::Display for Truncated {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer ended before it was complete")
    }
}

impl std::error::Error for Truncated {}

/// The type of all response bodies.
pub type Body = http_body_util::combinators::UnsyncBoxBody<Bytes, Truncated>;

/// Returns a body of bytes that are all known.
#[must_use]
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// Returns a body of parts that are all known.
#[must_use]
pub fn parts(parts: Vec<Bytes>) -> Body {
    let left = parts.iter().map(|part| part.len() as u64).sum();
    let parts = parts.into_iter();
    KnownParts { parts, left }.boxed_unsync()
}

/// The body of an answer whose parts are all known, so that its length is stated.
struct KnownParts {
    parts: std::vec::IntoIter<Bytes>,
    /// Bytes of the parts that are left.
    left: u64,
}

impl HttpBody for KnownParts {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        let part = self.parts.next();
        self.left -= part.as_ref().map_or(0, |part| part.len() as u64);
        Poll::Ready(part.map(|part| Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left)
    }
}

/// Returns a body that streams the parts of an answer as they arrive.
///
/// The body ends normally only after [`Part::End`]. In any other case the connection is closed,
/// which a caller can distinguish from a normal end. The guard is dropped with the body.
#[must_use]
pub fn streaming<G: Send + 'static>(receiver: mpsc::Receiver<Part>, guard: G) -> Body {
    let frames = unfold(Some((receiver, guard)), |state| async move {
        let (mut receiver, guard) = state?;
        match receiver.recv().await {
            Some(Part::Data(bytes)) => Some((Ok(Frame::data(bytes)), Some((receiver, guard)))),
            Some(Part::End) => None,
            Some(Part::Head(_) | Part::Refusal(_)) | None => Some((Err(Truncated), None)),
        }
    });
    StreamBody::new(frames.boxed()).boxed_unsync()
}
