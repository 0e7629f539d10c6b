//! One send of a request that came by a route: the answer goes back as the target gave it.

use bytes::{Bytes, BytesMut};
use cornelhitch_entry::event::{Event, Failure};
use cornelhitch_target::client::{Chunks, Declined, Relay, Relayed};
use cornelhitch_target::sse::{self, Splitter};
use futures_util::StreamExt;
use tokio::sync::oneshot;

use crate::attempt::{Attempt, End, Record, Waits, passed_on};
use crate::exchange::{Head, Part, Payload, Routed};

/// The largest answer that is read whole, in bytes.
const WHOLE: usize = 16 << 20;

/// The longest rest of a refusal that is read so that its connection can be kept, in bytes.
const REST: usize = 64 << 10;

impl Attempt {
    /// Passes a request on, and its answer back.
    pub(crate) async fn relay(&self, waits: Waits) -> Result<(), End> {
        let Payload::Routed(routed) = &*self.exchange.payload else {
            return Err(End::Withdrawn);
        };
        let Waits {
            proceed,
            deliver,
            finish,
        } = waits;
        let gate = self.gate(proceed);
        let sending = self
            .client
            .relay(self.address(), self.message(routed), gate);
        let answer = sending.await.map_err(|error| self.failed(error))?;
        if let Some(load) = answer.load {
            self.tell(Event::Loaded {
                target: self.to.target.clone(),
                incarnation: self.to.incarnation,
                load,
            });
        }
        if let Some(declined) = answer.declined {
            return Err(self.declined(declined, answer.body).await);
        }
        self.tell(Event::Answered {
            target: self.to.target.clone(),
            incarnation: self.to.incarnation,
            error: answer.status.is_server_error(),
        });
        let failed = answer.status.is_server_error() && self.may_repeat(routed);
        // The caller has a part of a success, which no other answer can go on with.
        let unfit = self.resume.is_some() && !answer.status.is_success();
        if failed || unfit {
            return Err(End::Failed(Failure::Status));
        }
        let mut deliver = Some(deliver);
        if routed.streams && answer.status.is_success() {
            let mut head = self.events(answer, &mut deliver).await?;
            return self
                .end(finish, Record::default(), &mut head, Bytes::new())
                .await;
        }
        let head = Head {
            status: answer.status,
            headers: passed_on(&answer.headers),
        };
        let body = self.whole(answer.body).await?;
        self.begin(&mut deliver).await?;
        self.end(finish, Record::default(), &mut Some(head), body)
            .await
    }

    /// The request as the target gets it.
    fn message(&self, routed: &Routed) -> Relay {
        Relay {
            request: routed.id.clone(),
            target: self.to.target.clone(),
            method: routed.method.clone(),
            path: routed.path.clone(),
            headers: routed.headers.clone(),
            body: routed.body.clone(),
            reuse: self.exchange.repeatable,
            deadline: self.exchange.left(),
            rank: routed.rank,
            resume: self.resume,
        }
    }

    /// Whether another target may run the request after this one.
    fn may_repeat(&self, routed: &Routed) -> bool {
        self.exchange.repeatable && self.number < routed.attempts
    }

    /// Reads the rest of a refusal, so that its connection can be kept.
    async fn declined(&self, declined: Declined, body: Chunks) -> End {
        let mut rest = body.map(|chunk| chunk.map_or(REST, |bytes| bytes.len()));
        let mut length = 0;
        while let Some(bytes) = rest.next().await {
            length += bytes;
            if length >= REST {
                break;
            }
        }
        tracing::info!(
            request = &*self.request, target = &*self.to.target, %declined, "not run by the target"
        );
        End::Failed(match declined {
            Declined::Busy => Failure::Refused,
            Declined::Absent => Failure::Absent,
        })
    }

    /// Reads an answer whole.
    async fn whole(&self, mut body: Chunks) -> Result<Bytes, End> {
        let mut whole = BytesMut::new();
        while let Some(chunk) = body.next().await {
            whole.extend_from_slice(&chunk.map_err(|error| self.failed(error))?);
            if whole.len() > WHOLE {
                return Err(End::Failed(Failure::Status));
            }
        }
        Ok(whole.freeze())
    }

    /// Passes the events of a stream on, each once it is whole; returns the head if nothing was.
    async fn events(
        &self,
        answer: Relayed,
        deliver: &mut Option<oneshot::Receiver<()>>,
    ) -> Result<Option<Head>, End> {
        let mut head = self.resume.is_none().then(|| Head {
            status: answer.status,
            headers: passed_on(&answer.headers),
        });
        let mut body = answer.body;
        let mut splitter = Splitter::default();
        let mut record = Record::default();
        while let Some(chunk) = body.next().await {
            splitter.push(&chunk.map_err(|error| self.failed(error))?);
            while let Some(event) = splitter.event() {
                let id = sse::Event::parse(&event).and_then(|event| event.id?.parse().ok());
                self.begin(deliver).await?;
                if let Some(head) = head.take() {
                    self.reply(Part::Head(head)).await?;
                }
                let to = id.unwrap_or_else(|| self.delivered());
                self.pass(to, event, &mut record).await?;
            }
        }
        if splitter.rest() > 0 {
            return Err(End::Failed(Failure::Truncated));
        }
        self.begin(deliver).await?;
        Ok(head)
    }
}
