//! One send of one request to one target.
//!
//! The task of an attempt does the I/O; the entry core decides. Three steps wait
//! for the core's word: the first byte to the target, the first part to the
//! caller, and the end of the answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cornelhitch_entry::action::Destination;
use cornelhitch_entry::event::{Attempt as Number, CallId, Event, Failure};
use cornelhitch_target::client::{Call, Client, Gate, Generate, Part as Piece, RequestId};
use cornelhitch_target::error::Error;
use cornelhitch_types::refusal::Run;
use futures_util::StreamExt;
use http::HeaderMap;
use http::header::CONTENT_TYPE;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout};

use crate::entry::Input;
use crate::exchange::{Exchange, Head, Part, Payload, Recorded};
use crate::metrics::{Count, Metrics};

/// Tokens between two reports of progress to the core.
const PROGRESS: u64 = 64;

/// Time between two reports of progress, where tokens come slowly.
const PROGRESS_TIME: Duration = Duration::from_secs(1);

/// Reports of progress for a caller that takes nothing, before it counts as gone.
const CALLER_WAITS: u32 = 20;

/// The core's words that an attempt waits for.
#[derive(Debug)]
pub struct Signals {
    /// The first byte may leave.
    pub proceed: Option<oneshot::Sender<()>>,
    /// The answer may be passed on.
    pub deliver: Option<oneshot::Sender<()>>,
    /// The answer may be ended.
    pub finish: Option<oneshot::Sender<()>>,
}

/// The receiving ends of [`Signals`].
#[derive(Debug)]
pub struct Waits {
    pub(crate) proceed: oneshot::Receiver<()>,
    pub(crate) deliver: oneshot::Receiver<()>,
    pub(crate) finish: oneshot::Receiver<()>,
}

/// Both ends of an attempt's signals.
#[must_use]
pub fn signals() -> (Signals, Waits) {
    let (proceed, proceeds) = oneshot::channel();
    let (deliver, delivers) = oneshot::channel();
    let (finish, finishes) = oneshot::channel();
    let signals = Signals {
        proceed: Some(proceed),
        deliver: Some(deliver),
        finish: Some(finish),
    };
    let waits = Waits {
        proceed: proceeds,
        deliver: delivers,
        finish: finishes,
    };
    (signals, waits)
}

/// What an attempt's task is started with.
pub struct Attempt {
    /// The request.
    pub id: CallId,
    /// The attempt.
    pub number: Number,
    /// The id that the target repeats in its answer.
    pub request: RequestId,
    /// Where it goes.
    pub to: Destination,
    /// Tokens that the caller has, where an answer is continued.
    pub resume: Option<u64>,
    /// The request in progress.
    pub exchange: Exchange,
    /// The way to targets.
    pub client: Arc<dyn Client>,
    /// Where events go.
    pub inputs: mpsc::UnboundedSender<Input>,
    /// Counters.
    pub metrics: Metrics,
}

/// Asks the core before the first byte leaves.
struct Turnstile {
    id: CallId,
    attempt: Number,
    inputs: mpsc::UnboundedSender<Input>,
    proceed: oneshot::Receiver<()>,
}

#[async_trait]
impl Gate for Turnstile {
    async fn pass(self: Box<Self>) -> bool {
        let sent = Event::Sent {
            id: self.id,
            attempt: self.attempt,
        };
        self.inputs.send(Input::Event(sent)).is_ok() && self.proceed.await.is_ok()
    }
}

/// Why an attempt ended without a whole answer.
pub(crate) enum End {
    /// The target failed.
    Failed(Failure),
    /// The core withdrew the attempt or the caller left; nothing is to be told.
    Withdrawn,
}

impl From<Error> for End {
    fn from(error: Error) -> Self {
        Self::Failed(match error {
            Error::Withdrawn => return Self::Withdrawn,
            Error::Connect { .. } | Error::Unsendable { .. } | Error::Unsupported { .. } => {
                Failure::Connect
            }
            Error::Status {
                run: Run::NotRun, ..
            } => Failure::Refused,
            Error::Status { .. } | Error::Reported { .. } | Error::Large { .. } => Failure::Status,
            Error::Broken { .. } => Failure::Broken,
            Error::Crossed { .. } => Failure::Crossed,
            Error::Truncated { .. } => Failure::Truncated,
        })
    }
}

/// What is kept of an answer while it is passed on.
pub(crate) struct Record {
    /// When the core was last told of progress.
    told: Instant,
    media_type: Option<String>,
    status: u16,
    body: Vec<u8>,
}

impl Default for Record {
    /// The record of an answer that is not kept.
    fn default() -> Self {
        Self {
            told: Instant::now(),
            media_type: None,
            status: 0,
            body: Vec::new(),
        }
    }
}

impl Attempt {
    /// Runs the attempt to its end and tells the core how it went.
    pub async fn run(self, waits: Waits) {
        self.metrics.one(Count::Attempts);
        let ended = match &*self.exchange.payload {
            Payload::Model { .. } => self.generate(waits).await,
            Payload::Service { .. } => self.call(waits).await,
            Payload::Routed(_) => self.relay(waits).await,
        };
        if let Err(End::Failed(failure)) = ended {
            self.metrics.one(Count::AttemptsFailed);
            tracing::info!(
                request = &*self.request, target = &*self.to.target, %failure, "an attempt failed"
            );
            self.progress();
            self.tell(Event::Failed {
                id: self.id,
                attempt: self.number,
                failure,
            });
        }
    }

    /// Asks a model.
    async fn generate(&self, waits: Waits) -> Result<(), End> {
        let Payload::Model {
            model,
            form,
            body,
            stream,
        } = &*self.exchange.payload
        else {
            return Err(End::Withdrawn);
        };
        let generate = Generate {
            request: self.request.clone(),
            replica: self.to.replica.unwrap_or_default(),
            model: model.clone(),
            form: *form,
            body: body.clone(),
            stream: *stream,
            priority: self.exchange.priority,
            resume_from: self.resume,
            deadline: self.exchange.left(),
        };
        let gate = self.gate(waits.proceed);
        let answer = self.client.generate(self.address(), generate, gate);
        let mut answer = answer.await.map_err(|error| self.failed(error))?;
        let mut record = Record {
            told: Instant::now(),
            status: answer.status.as_u16(),
            media_type: media_type(&answer.headers),
            body: Vec::new(),
        };
        let mut head = Some(Head {
            status: answer.status,
            headers: passed_on(&answer.headers),
        });
        let mut deliver = Some(waits.deliver);
        while let Some(piece) = answer.parts.next().await {
            match piece.map_err(|error| self.failed(error))? {
                Piece::Event { to, bytes, .. } => {
                    self.begin(&mut deliver).await?;
                    self.head(&mut head).await?;
                    self.pass(to, bytes, &mut record).await?;
                }
                Piece::Done { bytes } => {
                    self.begin(&mut deliver).await?;
                    record.keep(self.exchange.keyed, &bytes);
                    self.end(waits.finish, record, &mut head, bytes).await?;
                    return Ok(());
                }
            }
        }
        Err(End::Failed(Failure::Truncated))
    }

    /// Asks a plain service.
    async fn call(&self, waits: Waits) -> Result<(), End> {
        let Payload::Service {
            method,
            path,
            headers,
            body,
        } = &*self.exchange.payload
        else {
            return Err(End::Withdrawn);
        };
        let call = Call {
            request: self.request.clone(),
            method: method.clone(),
            path: path.clone(),
            headers: headers.clone(),
            body: body.clone(),
            repeatable: self.exchange.repeatable,
            deadline: self.exchange.left(),
        };
        let gate = self.gate(waits.proceed);
        let reply = self.client.call(self.address(), call, gate);
        let reply = reply.await.map_err(|error| self.failed(error))?;
        self.begin(&mut Some(waits.deliver)).await?;
        let mut record = Record {
            told: Instant::now(),
            status: reply.status.as_u16(),
            media_type: media_type(&reply.headers),
            body: Vec::new(),
        };
        record.keep(self.exchange.keyed, &reply.body);
        let mut head = Some(Head {
            status: reply.status,
            headers: passed_on(&reply.headers),
        });
        self.end(waits.finish, record, &mut head, reply.body).await
    }

    /// Tells the core that the answer began and waits for its word, once.
    pub(crate) async fn begin(
        &self,
        deliver: &mut Option<oneshot::Receiver<()>>,
    ) -> Result<(), End> {
        let Some(deliver) = deliver.take() else {
            return Ok(());
        };
        self.tell(Event::Begun {
            id: self.id,
            attempt: self.number,
        });
        deliver.await.map_err(|_| End::Withdrawn)?;
        if self.resume.is_none() {
            self.metrics.started(self.exchange.arrived.elapsed());
        }
        Ok(())
    }

    /// Passes the head on, unless an earlier attempt did.
    async fn head(&self, head: &mut Option<Head>) -> Result<(), End> {
        let Some(head) = head.take() else {
            return Ok(());
        };
        if self.resume.is_some_and(|tokens| tokens > 0) {
            return Ok(());
        }
        self.reply(Part::Head(head)).await
    }

    /// Passes one event on.
    pub(crate) async fn pass(&self, to: u64, bytes: Bytes, record: &mut Record) -> Result<(), End> {
        record.keep(self.exchange.keyed, &bytes);
        self.reply(Part::Data(bytes)).await?;
        let before = self.exchange.delivered.swap(to, Ordering::Relaxed);
        self.metrics.many(Count::Tokens, to.saturating_sub(before));
        if to / PROGRESS != before / PROGRESS || record.told.elapsed() >= PROGRESS_TIME {
            record.told = Instant::now();
            self.progress();
        }
        Ok(())
    }

    /// Ends the answer once the core says so.
    pub(crate) async fn end(
        &self,
        finish: oneshot::Receiver<()>,
        record: Record,
        head: &mut Option<Head>,
        rest: Bytes,
    ) -> Result<(), End> {
        if self.exchange.keyed {
            let recorded = Recorded {
                status: record.status,
                media_type: record.media_type,
                body: record.body.into(),
            };
            let _ = self.inputs.send(Input::Answer(self.id, recorded));
        }
        self.progress();
        self.tell(Event::Ended {
            id: self.id,
            attempt: self.number,
        });
        finish.await.map_err(|_| End::Withdrawn)?;
        self.head(head).await?;
        if !rest.is_empty() {
            self.reply(Part::Data(rest)).await?;
        }
        self.reply(Part::End).await?;
        self.metrics.ended(self.exchange.arrived.elapsed());
        Ok(())
    }

    /// Hands a part to the caller; waits while the caller is slow.
    ///
    /// The core is told meanwhile, since the target is not at fault.
    pub(crate) async fn reply(&self, part: Part) -> Result<(), End> {
        for _ in 0..CALLER_WAITS {
            let room = timeout(PROGRESS_TIME, self.exchange.reply.reserve()).await;
            match room {
                Ok(Ok(place)) => {
                    place.send(part);
                    return Ok(());
                }
                Ok(Err(_)) => break,
                Err(_) => self.progress(),
            }
        }
        self.tell(Event::CallerLeft { id: self.id });
        Err(End::Withdrawn)
    }

    /// How far the answer has been handed to the caller, over all attempts.
    pub(crate) fn delivered(&self) -> u64 {
        self.exchange.delivered.load(Ordering::Relaxed)
    }

    /// Tells the core how far the answer is.
    fn progress(&self) {
        self.tell(Event::Progress {
            id: self.id,
            attempt: self.number,
            offset: self.exchange.delivered.load(Ordering::Relaxed),
        });
    }

    /// Logs an error and turns it into the core's terms.
    pub(crate) fn failed(&self, error: Error) -> End {
        tracing::debug!(request = &*self.request, %error, "a target failed");
        End::from(error)
    }

    /// Tells the core something.
    pub(crate) fn tell(&self, event: Event) {
        let _ = self.inputs.send(Input::Event(event));
    }

    /// Where the attempt goes.
    pub(crate) fn address(&self) -> SocketAddr {
        self.to.address
    }

    /// What holds the first byte back until the core agrees.
    pub(crate) fn gate(&self, proceed: oneshot::Receiver<()>) -> Box<dyn Gate> {
        Box::new(Turnstile {
            id: self.id,
            attempt: self.number,
            inputs: self.inputs.clone(),
            proceed,
        })
    }
}

impl Record {
    /// Collects bytes of an answer that is kept.
    fn keep(&mut self, keyed: bool, bytes: &[u8]) {
        if keyed {
            self.body.extend_from_slice(bytes);
        }
    }
}

/// The media type of an answer.
fn media_type(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(CONTENT_TYPE)?;
    value.to_str().ok().map(str::to_owned)
}

/// The headers of a target's answer that callers see.
pub(crate) fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for name in crate::header::HOP_BY_HOP {
        kept.remove(*name);
    }
    kept
}
