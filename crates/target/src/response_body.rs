//! Reads the body of an answer and checks that it is whole.

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
use crate::sse::{self, Event, Splitter};

/// How long the end of a body may come after its terminator.
const TAIL: Duration = Duration::from_secs(1);

/// The body of an answer, and the connection it comes over.
pub struct Source {
    /// The target.
    pub address: SocketAddr,
    /// The body.
    pub body: Incoming,
    /// Whether the end of the body is marked, other than by the end of the connection.
    pub marked: bool,
    /// The connection.
    pub sender: Sender,
    /// How long the target keeps the connection for another request, where it said so.
    pub kept: Option<Duration>,
    /// Where the connection goes once the body is read.
    pub pool: Pool,
    /// How long no byte may come.
    pub silence: Duration,
}

impl Source {
    /// The next bytes; none at the end of the body.
    async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        let address = self.address;
        let broken = |detail: String| Error::Broken { address, detail };
        loop {
            let frame = timeout(self.silence, self.body.frame()).await;
            let frame = frame.map_err(|_| broken(format!("no byte for {:?}", self.silence)))?;
            let Some(frame) = frame else { return Ok(None) };
            let frame = frame.map_err(|error| broken(error.to_string()))?;
            if let Ok(bytes) = frame.into_data() {
                return Ok(Some(bytes));
            }
        }
    }

    /// The whole body; the connection is kept for the next request.
    pub async fn whole(mut self, limit: usize) -> Result<Bytes, Error> {
        let mut whole = BytesMut::new();
        while let Some(bytes) = self.next().await? {
            if whole.len() + bytes.len() > limit {
                return Err(Error::Large { limit });
            }
            whole.extend_from_slice(&bytes);
        }
        if !self.marked {
            return TruncatedSnafu {
                to: 0_u64,
                detail: "nothing marks the end of the body but that of the connection",
            }
            .fail();
        }
        self.pool.put(self.address, self.sender, self.kept);
        Ok(whole.freeze())
    }

    /// Keeps the connection for the next request if the body ends soon.
    fn release(mut self) {
        tokio::spawn(async move {
            let end = timeout(TAIL, self.next()).await;
            if matches!(end, Ok(Ok(None))) {
                self.pool.put(self.address, self.sender, self.kept);
            }
        });
    }
}

/// The body as it comes; the connection is kept once the body has ended.
///
/// A body whose end nothing marks ends with its connection.
pub fn chunks(source: Source) -> Chunks {
    let chunks = stream::unfold(Some(source), |source| async {
        let mut source = source?;
        match source.next().await {
            Ok(Some(bytes)) => Some((Ok(bytes), Some(source))),
            Ok(None) => {
                if source.marked {
                    source.pool.put(source.address, source.sender, source.kept);
                }
                None
            }
            Err(error) => Some((Err(error), None)),
        }
    });
    chunks.boxed()
}

/// The parts of an answer that comes as one body.
pub fn plain(source: Source, limit: usize) -> Parts {
    let whole = async move {
        let bytes = source.whole(limit).await?;
        Ok(Part::Done { bytes })
    };
    stream::once(whole).boxed()
}

/// The parts of an answer that comes as server-sent events.
pub fn events(source: Source, request: RequestId, from: u64) -> Parts {
    let reader = Reader {
        source,
        splitter: Splitter::default(),
        request,
        to: from,
    };
    let parts = stream::unfold(Some(reader), |reader| async {
        let mut reader = reader?;
        match reader.next().await {
            Ok(part @ Part::Event { .. }) => Some((Ok(part), Some(reader))),
            Ok(part @ Part::Done { .. }) => {
                reader.source.release();
                Some((Ok(part), None))
            }
            Err(error) => Some((Err(error), None)),
        }
    });
    parts.boxed()
}

/// Reads events and checks each against the request and the tokens before it.
struct Reader {
    /// Where the bytes come from.
    source: Source,
    /// Cuts them into events.
    splitter: Splitter,
    /// The request.
    request: RequestId,
    /// Tokens that came.
    to: u64,
}

impl Reader {
    /// The next part.
    async fn next(&mut self) -> Result<Part, Error> {
        loop {
            while let Some(bytes) = self.splitter.event() {
                if let Some(part) = self.check(bytes)? {
                    return Ok(part);
                }
            }
            if self.splitter.rest() > sse::LIMIT {
                return Err(Error::Large { limit: sse::LIMIT });
            }
            match self.source.next().await? {
                Some(bytes) => self.splitter.push(&bytes),
                None => return Err(self.truncated("no terminator came")),
            }
        }
    }

    /// Turns an event into a part; none where it carries no data.
    fn check(&mut self, bytes: Bytes) -> Result<Option<Part>, Error> {
        let Some(event) = Event::parse(&bytes) else {
            return Err(self.truncated("an event is not UTF-8"));
        };
        let Some(data) = event.data else {
            return Ok(None);
        };
        if event.kind == Some("error") {
            let (to, detail) = (self.to, data.to_owned());
            return Err(Error::Reported { to, detail });
        }
        let Some(position) = event.position() else {
            return Err(self.truncated("an event has no id of the form REQUEST/FROM/TO"));
        };
        if *position.request != *self.request {
            return Err(Error::Crossed {
                expected: self.request.to_string(),
                found: Some(position.request.to_owned()),
            });
        }
        if position.from != self.to {
            let detail = format!("the next event starts at token {}", position.from);
            return Err(self.truncated(&detail));
        }
        let (from, to) = (position.from, position.to);
        let done = data == sse::DONE;
        self.to = to;
        Ok(Some(if done {
            Part::Done { bytes }
        } else {
            Part::Event { from, to, bytes }
        }))
    }

    /// The answer stops here.
    fn truncated(&self, detail: &str) -> Error {
        Error::Truncated {
            to: self.to,
            detail: detail.to_owned(),
        }
    }
}
