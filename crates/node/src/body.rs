//! Bodies of responses.

use std::convert::Infallible;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::unfold;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use tokio::sync::mpsc;

use crate::exchange::Part;

/// Why a body ends early: the connection is closed, so that the caller notices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cut;

impl std::fmt::Display for Cut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer was cut short")
    }
}

impl std::error::Error for Cut {}

/// A body of any kind.
pub type Body = http_body_util::combinators::UnsyncBoxBody<Bytes, Cut>;

/// A body that is there whole.
#[must_use]
pub fn whole(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// A body of the parts of an answer, as they come.
///
/// It is whole only if [`Part::End`] came; else the connection is cut, which a
/// caller can tell from an end. The guard is dropped with the body.
#[must_use]
pub fn guarded<G: Send + 'static>(receiver: mpsc::Receiver<Part>, guard: G) -> Body {
    let frames = unfold(Some((receiver, guard)), |state| async move {
        let (mut receiver, guard) = state?;
        match receiver.recv().await {
            Some(Part::Data(bytes)) => Some((Ok(Frame::data(bytes)), Some((receiver, guard)))),
            Some(Part::End) => None,
            Some(Part::Head(_) | Part::Refusal(_)) | None => Some((Err(Cut), None)),
        }
    });
    StreamBody::new(frames.boxed()).boxed_unsync()
}
