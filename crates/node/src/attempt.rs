//! One attempt to run a request at one target.
//!
//! The attempt's task does the I/O and the entry core decides. The task waits for a signal from the
//! core at three points: before the first byte goes to the target, before the first part goes to
//! the caller, and before the answer ends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cornelhitch_entry::action::Destination;
use cornelhitch_entry::event::{Attempt as AttemptNumber, CallId, Event, Failure};
use cornelhitch_target::client::{
    Client, Connection, ConnectionObserver, Gate, GenerateRequest, Part as Piece, RequestId,
    ServiceRequest,
};
use cornelhitch_target::error::Error;
use cornelhitch_types::refusal::Run;
use cornelhitch_types::target::Statement;
use futures_util::StreamExt;
use http::HeaderMap;
use http::header::CONTENT_TYPE;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout};

use crate::answer_memory::AnswerMemory;
use crate::entry::Input;
use crate::exchange::{Exchange, Head, Part, Payload, Recorded};
use crate::log_limit::shorten;
use crate::metrics::{Count, Metrics};

/// Tokens between two progress reports to the core.
const PROGRESS_TOKENS: u64 = 64;

/// Longest interval between two progress reports, for targets that produce tokens slowly.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Progress intervals with a full caller queue, after which the caller counts as disconnected.
const MAX_STALLED_INTERVALS: u32 = 20;

/// The sending ends of the signals that an attempt waits for; `None` once sent.
#[derive(Debug)]
pub struct Signals {
    /// The first byte may go to the target.
    pub proceed: Option<oneshot::Sender<()>>,
    /// The answer may be passed to the caller.
    pub deliver: Option<oneshot::Sender<()>>,
    /// The answer may be completed.
    pub finish: Option<oneshot::Sender<()>>,
}

/// The receiving ends of [`Signals`].
#[derive(Debug)]
pub struct SignalReceivers {
    pub(crate) proceed: oneshot::Receiver<()>,
    pub(crate) deliver: oneshot::Receiver<()>,
    pub(crate) finish: oneshot::Receiver<()>,
}

/// Creates the signals of an attempt.
#[must_use]
pub fn signals() -> (Signals, SignalReceivers) {
    let (proceed, proceed_receiver) = oneshot::channel();
    let (deliver, deliver_receiver) = oneshot::channel();
    let (finish, finish_receiver) = oneshot::channel();
    let signals = Signals {
        proceed: Some(proceed),
        deliver: Some(deliver),
        finish: Some(finish),
    };
    let receivers = SignalReceivers {
        proceed: proceed_receiver,
        deliver: deliver_receiver,
        finish: finish_receiver,
    };
    (signals, receivers)
}

/// An attempt, with everything its task needs.
pub struct Attempt {
    /// The request's id in the core.
    pub id: CallId,
    /// The number of this attempt within the request.
    pub number: AttemptNumber,
    /// The request id sent to the target, which repeats it in its answer.
    pub request: RequestId,
    /// The target, and the replica if it runs models.
    pub to: Destination,
    /// Tokens the caller already has, if this attempt resumes an answer.
    pub resume: Option<u64>,
    /// The request and the caller's reply queue.
    pub exchange: Exchange,
    /// The client for requests to targets.
    pub client: Arc<dyn Client>,
    /// The entry task's input queue.
    pub inputs: mpsc::UnboundedSender<Input>,
    /// The host's memory for buffered answers.
    pub memory: AnswerMemory,
    /// The metrics of this process.
    pub metrics: Metrics,
}

/// A gate that waits for the core's permission before the first byte is sent.
struct ProceedGate {
    id: CallId,
    attempt: AttemptNumber,
    inputs: mpsc::UnboundedSender<Input>,
    proceed: oneshot::Receiver<()>,
}

#[async_trait]
impl Gate for ProceedGate {
    async fn pass(self: Box<Self>) -> bool {
        let sent = Event::Sent {
            id: self.id,
            attempt: self.attempt,
        };
        self.inputs.send(Input::Event(sent)).is_ok() && self.proceed.await.is_ok()
    }

    fn observer(&self) -> Option<ConnectionObserver> {
        let (id, inputs) = (self.id, self.inputs.clone());
        Some(Box::new(move |connection| {
            let reused = connection == Connection::Reused;
            // Fails only when the entry task has ended, which counts nothing any more.
            let _ = inputs.send(Input::Event(Event::Connected { id, reused }));
        }))
    }
}

/// Why an attempt ended without a complete answer.
pub(crate) enum AttemptEnd {
    /// The target failed.
    Failed(Failure),
    /// The core cancelled the attempt or the caller disconnected; the core needs no report.
    Withdrawn,
}

impl From<Error> for AttemptEnd {
    fn from(error: Error) -> Self {
        Self::Failed(match error {
            Error::Cancelled => return Self::Withdrawn,
            Error::Connect { .. } | Error::Unsendable { .. } | Error::Unsupported { .. } => {
                Failure::Connect
            }
            Error::Status {
                run: Run::NotRun, ..
            } => Failure::Refused,
            Error::Status { .. } | Error::TargetFailed { .. } | Error::TooLarge { .. } => {
                Failure::Status
            }
            Error::ConnectionBroken { .. } => Failure::Broken,
            Error::MismatchedResponse { .. } => Failure::MismatchedId,
            Error::Truncated { .. } => Failure::Truncated,
        })
    }
}

/// Data collected from an answer while it is forwarded; the body only if it has to be recorded.
pub(crate) struct AnswerRecord {
    /// When progress was last reported to the core.
    last_progress: Instant,
    media_type: Option<String>,
    status: u16,
    body: Vec<u8>,
}

impl Default for AnswerRecord {
    /// Returns the record of an answer that is not stored.
    fn default() -> Self {
        Self {
            last_progress: Instant::now(),
            media_type: None,
            status: 0,
            body: Vec::new(),
        }
    }
}

impl Attempt {
    /// Runs the attempt to its end and reports a failure to the core.
    pub async fn run(self, receivers: SignalReceivers) {
        self.metrics.increment(Count::Attempts);
        let ended = match &*self.exchange.payload {
            Payload::Model { .. } => self.generate(receivers).await,
            Payload::Service { .. } => self.call(receivers).await,
            Payload::Routed(_) => self.relay(receivers).await,
        };
        if let Err(AttemptEnd::Failed(failure)) = ended {
            self.metrics.increment(Count::AttemptsFailed);
            tracing::info!(
                request = shorten(&self.request), target = &*self.to.target, %failure, "attempt failed"
            );
            self.report_progress();
            self.send_event(Event::Failed {
                id: self.id,
                attempt: self.number,
                failure,
            });
        }
    }

    /// Sends a request to a model and passes on its answer.
    async fn generate(&self, receivers: SignalReceivers) -> Result<(), AttemptEnd> {
        let Payload::Model {
            model,
            form,
            body,
            stream,
        } = &*self.exchange.payload
        else {
            return Err(AttemptEnd::Withdrawn);
        };
        let generate = GenerateRequest {
            request: self.request.clone(),
            replica: self.to.replica.unwrap_or_default(),
            model: model.clone(),
            form: *form,
            body: body.clone(),
            stream: *stream,
            priority: self.exchange.priority,
            resume_from: self.resume,
            deadline: self.exchange.time_left(),
        };
        let gate = self.gate(receivers.proceed);
        let answer = self.client.generate(self.address(), generate, gate);
        let mut answer = answer.await.map_err(|error| self.target_error(error))?;
        let mut record = AnswerRecord {
            last_progress: Instant::now(),
            status: answer.status.as_u16(),
            media_type: media_type(&answer.headers),
            body: Vec::new(),
        };
        let mut head = Some(Head {
            status: answer.status,
            headers: end_to_end_headers(&answer.headers),
        });
        let mut deliver = Some(receivers.deliver);
        while let Some(piece) = answer.parts.next().await {
            match piece.map_err(|error| self.target_error(error))? {
                Piece::Event { end: to, bytes, .. } => {
                    self.begin_answer(&mut deliver).await?;
                    self.send_head(&mut head).await?;
                    self.forward(to, bytes, &mut record).await?;
                }
                Piece::Done { bytes } => {
                    self.begin_answer(&mut deliver).await?;
                    record.append(self.exchange.keyed, &bytes);
                    self.finish_answer(receivers.finish, record, &mut head, [bytes])
                        .await?;
                    return Ok(());
                }
            }
        }
        Err(AttemptEnd::Failed(Failure::Truncated))
    }

    /// Sends a request to a plain service and passes on its answer.
    async fn call(&self, receivers: SignalReceivers) -> Result<(), AttemptEnd> {
        let Payload::Service {
            method,
            path,
            headers,
            body,
        } = &*self.exchange.payload
        else {
            return Err(AttemptEnd::Withdrawn);
        };
        let call = ServiceRequest {
            request: self.request.clone(),
            method: method.clone(),
            path: path.clone(),
            headers: headers.clone(),
            body: body.clone(),
            reuse: self.reuse(),
            deadline: self.exchange.time_left(),
        };
        let gate = self.gate(receivers.proceed);
        let reply = self.client.call(self.address(), call, gate);
        let reply = reply.await.map_err(|error| self.target_error(error))?;
        self.begin_answer(&mut Some(receivers.deliver)).await?;
        let mut record = AnswerRecord {
            last_progress: Instant::now(),
            status: reply.status.as_u16(),
            media_type: media_type(&reply.headers),
            body: Vec::new(),
        };
        record.append(self.exchange.keyed, &reply.body);
        let mut head = Some(Head {
            status: reply.status,
            headers: end_to_end_headers(&reply.headers),
        });
        self.finish_answer(receivers.finish, record, &mut head, [reply.body])
            .await
    }

    /// Reports to the core that the answer has started and waits for permission to forward it, on
    /// the first call only.
    pub(crate) async fn begin_answer(
        &self,
        deliver: &mut Option<oneshot::Receiver<()>>,
    ) -> Result<(), AttemptEnd> {
        let Some(deliver) = deliver.take() else {
            return Ok(());
        };
        self.send_event(Event::ResponseStarted {
            id: self.id,
            attempt: self.number,
        });
        deliver.await.map_err(|_| AttemptEnd::Withdrawn)?;
        if self.resume.is_none() {
            self.metrics.started(self.exchange.arrived.elapsed());
        }
        Ok(())
    }

    /// Sends the status and headers to the caller, unless an earlier attempt already has.
    async fn send_head(&self, head: &mut Option<Head>) -> Result<(), AttemptEnd> {
        let Some(head) = head.take() else {
            return Ok(());
        };
        if self.resume.is_some_and(|tokens| tokens > 0) {
            return Ok(());
        }
        self.send_part(Part::Head(head)).await
    }

    /// Forwards one event to the caller; `to` is the caller's position in the answer after it: a
    /// number of tokens, or the id of the event in a routed stream.
    pub(crate) async fn forward(
        &self,
        to: u64,
        bytes: Bytes,
        record: &mut AnswerRecord,
    ) -> Result<(), AttemptEnd> {
        record.append(self.exchange.keyed, &bytes);
        let event = self.hold(&bytes).await?;
        self.send_part(Part::Data(event)).await?;
        let before = self.exchange.delivered.swap(to, Ordering::Relaxed);
        self.metrics.add(Count::Tokens, to.saturating_sub(before));
        if to / PROGRESS_TOKENS != before / PROGRESS_TOKENS
            || record.last_progress.elapsed() >= PROGRESS_INTERVAL
        {
            record.last_progress = Instant::now();
            self.report_progress();
        }
        Ok(())
    }

    /// Completes the answer once the core permits it; `rest` is the end of the body.
    pub(crate) async fn finish_answer(
        &self,
        finish: oneshot::Receiver<()>,
        record: AnswerRecord,
        head: &mut Option<Head>,
        rest: impl IntoIterator<Item = Bytes, IntoIter: Send> + Send,
    ) -> Result<(), AttemptEnd> {
        if self.exchange.keyed {
            let recorded = Recorded {
                status: record.status,
                media_type: record.media_type,
                body: record.body.into(),
            };
            let _ = self.inputs.send(Input::Answer(self.id, recorded));
        }
        self.report_progress();
        self.send_event(Event::ResponseEnded {
            id: self.id,
            attempt: self.number,
        });
        finish.await.map_err(|_| AttemptEnd::Withdrawn)?;
        self.send_head(head).await?;
        for bytes in rest.into_iter().filter(|bytes| !bytes.is_empty()) {
            self.send_part(Part::Data(bytes)).await?;
        }
        self.send_part(Part::End).await?;
        self.metrics.ended(self.exchange.arrived.elapsed());
        Ok(())
    }

    /// Sends a part to the caller, waiting while the caller's queue is full.
    ///
    /// Progress is reported to the core meanwhile, so that the target isn't blamed for the delay.
    pub(crate) async fn send_part(&self, part: Part) -> Result<(), AttemptEnd> {
        for _ in 0..MAX_STALLED_INTERVALS {
            let permit = timeout(PROGRESS_INTERVAL, self.exchange.reply.reserve()).await;
            match permit {
                Ok(Ok(permit)) => {
                    permit.send(part);
                    return Ok(());
                }
                Ok(Err(_)) => break,
                Err(_) => self.report_progress(),
            }
        }
        self.send_event(Event::CallerDisconnected { id: self.id });
        Err(AttemptEnd::Withdrawn)
    }

    /// Reserves the caller's memory for an event, waiting while its share has no room, as [`Self::send_part`]
    /// waits for its queue.
    async fn hold(&self, event: &Bytes) -> Result<Bytes, AttemptEnd> {
        for _ in 0..MAX_STALLED_INTERVALS {
            if let Ok(held) = timeout(PROGRESS_INTERVAL, self.exchange.share.hold(event)).await {
                return Ok(held);
            }
            self.report_progress();
        }
        self.send_event(Event::CallerDisconnected { id: self.id });
        Err(AttemptEnd::Withdrawn)
    }

    /// Returns the tokens passed to the caller so far, over all attempts.
    pub(crate) fn delivered(&self) -> u64 {
        self.exchange.delivered.load(Ordering::Relaxed)
    }

    /// Reports to the core how many tokens the caller has.
    fn report_progress(&self) {
        self.send_event(Event::Progress {
            id: self.id,
            attempt: self.number,
            offset: self.exchange.delivered.load(Ordering::Relaxed),
        });
    }

    /// Logs an error of the target and converts it.
    pub(crate) fn target_error(&self, error: Error) -> AttemptEnd {
        tracing::debug!(request = shorten(&self.request), %error, "request to target failed");
        if let Error::Status {
            status: 429 | 503,
            retry_after: Some(pause),
            ..
        } = error
        {
            self.send_event(Event::Stated {
                target: self.to.target.clone(),
                incarnation: self.to.incarnation,
                statement: Statement {
                    pause: Some(pause),
                    ..Statement::default()
                },
            });
        }
        AttemptEnd::from(error)
    }

    /// Sends an event to the core.
    pub(crate) fn send_event(&self, event: Event) {
        let _ = self.inputs.send(Input::Event(event));
    }

    /// Returns the target's address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.to.address
    }

    /// Returns the gate that holds back the first byte until the core permits it.
    pub(crate) fn gate(&self, proceed: oneshot::Receiver<()>) -> Box<dyn Gate> {
        Box::new(ProceedGate {
            id: self.id,
            attempt: self.number,
            inputs: self.inputs.clone(),
            proceed,
        })
    }
}

impl AnswerRecord {
    /// Appends bytes to the stored body if the request has an idempotency key.
    fn append(&mut self, keyed: bool, bytes: &[u8]) {
        if keyed {
            self.body.extend_from_slice(bytes);
        }
    }
}

/// Returns the `Content-Type` of an answer.
fn media_type(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(CONTENT_TYPE)?;
    value.to_str().ok().map(str::to_owned)
}

/// Returns the headers of a target's answer without the hop-by-hop ones.
pub(crate) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for name in crate::header::HOP_BY_HOP {
        kept.remove(*name);
    }
    kept
}
