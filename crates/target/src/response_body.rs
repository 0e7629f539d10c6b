//! Reads response bodies and verifies that they are complete.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, stream};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::client::{Chunks, Part, Parts, RequestId};
use crate::error::{Error, TruncatedSnafu};
use crate::pool::{Pool, Sender};
use crate::sse::{self, Event, EventSplitter};

/// Time limit for the end of a body after its terminator; a connection whose body ends later is not
/// reused.
const BODY_END_TIMEOUT: Duration = Duration::from_secs(1);

/// The body of a response, and the connection that it is read from.
pub struct ResponseBody {
    /// The target's address.
    pub address: SocketAddr,
    /// The unread rest of the body.
    pub body: Incoming,
    /// Whether the end of the body is marked by more than the end of the connection.
    pub delimited: bool,
    /// Whether [`read_to_end`](Self::read_to_end) accepts a body that is not.
    pub undelimited_bodies: bool,
    /// The connection.
    pub sender: Sender,
    /// How long the target keeps the connection open for another request, if it stated that.
    pub keep_alive: Option<Duration>,
    /// The pool to which the connection returns once the body is read.
    pub pool: Pool,
    /// Longest time without data.
    pub read_timeout: Duration,
}

impl ResponseBody {
    /// Returns the next bytes, or `None` at the end of the body.
    async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        let address = self.address;
        let broken = |detail: String| Error::ConnectionBroken { address, detail };
        loop {
            let frame = timeout(self.read_timeout, self.body.frame()).await;
            let frame = frame
                .map_err(|_| broken(format!("no byte received for {:?}", self.read_timeout)))?;
            let Some(frame) = frame else { return Ok(None) };
            let frame = frame.map_err(|error| broken(error.to_string()))?;
            if let Ok(bytes) = frame.into_data() {
                self.sender.record_delivery();
                return Ok(Some(bytes));
            }
        }
    }

    /// Reads the complete body and returns the connection to the pool.
    pub async fn read_to_end(mut self, limit: usize) -> Result<Bytes, Error> {
        let mut buffer = BytesMut::new();
        while let Some(bytes) = self.next().await? {
            if buffer.len() + bytes.len() > limit {
                return Err(Error::TooLarge { limit });
            }
            buffer.extend_from_slice(&bytes);
        }
        if !self.delimited && !self.undelimited_bodies {
            return TruncatedSnafu {
                tokens: 0_u64,
                detail: "the body has neither a length nor chunks, so its end cannot be verified",
            }
            .fail();
        }
        if self.delimited {
            self.pool.put(self.address, self.sender, self.keep_alive);
        }
        Ok(buffer.freeze())
    }

    /// Returns the connection to the pool if the body ends within the time limit.
    fn return_connection(mut self) {
        tokio::spawn(async move {
            let end = timeout(BODY_END_TIMEOUT, self.next()).await;
            if matches!(end, Ok(Ok(None))) {
                self.pool.put(self.address, self.sender, self.keep_alive);
            }
        });
    }
}

/// Streams the body as it is received; the connection is returned to the pool at its end.
///
/// A body without an end mark is taken to end with its connection, which is not reused.
pub fn chunks(source: ResponseBody) -> Chunks {
    let chunks = stream::unfold(Some(source), |source| async {
        let mut source = source?;
        match source.next().await {
            Ok(Some(bytes)) => Some((Ok(bytes), Some(source))),
            Ok(None) => {
                if source.delimited {
                    source
                        .pool
                        .put(source.address, source.sender, source.keep_alive);
                }
                None
            }
            Err(error) => Some((Err(error), None)),
        }
    });
    chunks.boxed()
}

/// Returns the single part of a response that is not streamed.
pub fn single_part(source: ResponseBody, limit: usize) -> Parts {
    let whole = async move {
        let bytes = source.read_to_end(limit).await?;
        Ok(Part::Done { bytes })
    };
    stream::once(whole).boxed()
}

/// Streams the parts of a response that consists of server-sent events.
pub fn events(source: ResponseBody, request: RequestId, from: u64) -> Parts {
    let reader = EventReader {
        source,
        splitter: EventSplitter::default(),
        request,
        to: from,
    };
    let parts = stream::unfold(Some(reader), |reader| async {
        let mut reader = reader?;
        match reader.next().await {
            Ok(part @ Part::Event { .. }) => Some((Ok(part), Some(reader))),
            Ok(part @ Part::Done { .. }) => {
                reader.source.return_connection();
                Some((Ok(part), None))
            }
            Err(error) => Some((Err(error), None)),
        }
    });
    parts.boxed()
}

/// Reads events and checks each against the request and the tokens before it.
struct EventReader {
    source: ResponseBody,
    splitter: EventSplitter,
    request: RequestId,
    /// Tokens received so far, those before a resumed stream included.
    to: u64,
}

impl EventReader {
    /// Returns the next part.
    async fn next(&mut self) -> Result<Part, Error> {
        loop {
            while let Some(bytes) = self.splitter.next_event() {
                if let Some(part) = self.check(bytes)? {
                    return Ok(part);
                }
            }
            if self.splitter.buffered_len() > sse::MAX_EVENT_BYTES {
                return Err(Error::TooLarge {
                    limit: sse::MAX_EVENT_BYTES,
                });
            }
            match self.source.next().await? {
                Some(bytes) => self.splitter.push(&bytes),
                None => return Err(self.truncated("no terminator received")),
            }
        }
    }

    /// Checks an event and converts it into a part; returns `None` if it carries no data.
    fn check(&mut self, bytes: Bytes) -> Result<Option<Part>, Error> {
        let Some(event) = Event::parse(&bytes) else {
            return Err(self.truncated("an event is not UTF-8"));
        };
        let Some(data) = event.data else {
            return Ok(None);
        };
        if event.kind == Some("error") {
            let (to, detail) = (self.to, data.to_owned());
            return Err(Error::TargetFailed { tokens: to, detail });
        }
        let Some(position) = event.position() else {
            return Err(self.truncated("an event has no id of the form REQUEST/FROM/TO"));
        };
        if *position.request != *self.request {
            return Err(Error::MismatchedResponse {
                expected: self.request.to_string(),
                found: Some(position.request.to_owned()),
            });
        }
        if position.start != self.to {
            let detail = format!("the next event starts at token {}", position.start);
            return Err(self.truncated(&detail));
        }
        let (from, to) = (position.start, position.end);
        let done = data == sse::DONE;
        self.to = to;
        Ok(Some(if done {
            Part::Done { bytes }
        } else {
            Part::Event {
                start: from,
                end: to,
                bytes,
            }
        }))
    }

    /// Creates the error for a stream that is incomplete or invalid at this point.
    fn truncated(&self, detail: &str) -> Error {
        Error::Truncated {
            tokens: self.to,
            detail: detail.to_owned(),
        }
    }
}
