//! Generation requests to a fake engine: queueing, token generation and injected faults.

use bytes::Bytes;
use cornelhitch_target::message::{DEADLINE, MODEL, PRIORITY, REPLICA, REQUEST_ID, RESUME_FROM};
use cornelhitch_types::id::Name;
use cornelhitch_types::model::Reference;
use cornelhitch_types::refusal::Run;
use http::header::{ACCEPT, HeaderName, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use hyper::body::Frame;
use serde::Deserialize;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::batch::Slot;
use crate::body::{self, Body, Chunk};
use crate::fault::Fault;
use crate::memory::CopyId;
use crate::prefix_cache::Prefix;
use crate::process::Process;
use crate::text;

/// Chunks of a streamed response that may wait for the connection.
const CHUNK_BUFFER: usize = 16;

/// Faults that are injected into a streamed response.
const STREAM_FAULTS: [Fault; 5] = [
    Fault::WrongIdInEvent,
    Fault::NoTerminator,
    Fault::MissingToken,
    Fault::AbortStream,
    Fault::Stall,
];

/// A generation request, parsed from its headers and body.
#[derive(Debug, Clone)]
pub struct GenerationRequest {
    /// The request id, which the response repeats.
    id: Name,
    /// The model, with adapter and version if the caller names them.
    model: Reference,
    /// Whether it is a chat completion, not a text completion.
    chat: bool,
    /// Whether the response is a stream of events.
    stream: bool,
    /// Place in the queue; a larger one is served first.
    priority: u32,
    /// Number of tokens that the caller already has, which a stream skips.
    resume_from: u64,
    /// Number of tokens of the complete response.
    tokens: u64,
    /// The body as received; the generated text depends on its digest.
    body: Bytes,
}

/// The fields of a request body that the engine uses.
#[derive(Debug, Deserialize)]
struct BodyFields {
    /// Number of tokens to generate.
    #[serde(default, alias = "max_completion_tokens")]
    max_tokens: Option<u64>,
}

impl GenerationRequest {
    /// Parses a request; the error is the detail of the problem document.
    pub fn parse(
        headers: &HeaderMap,
        chat: bool,
        body: Bytes,
        tokens: u64,
    ) -> Result<Self, String> {
        let fields: BodyFields =
            serde_json::from_slice(&body).map_err(|error| error.to_string())?;
        let id = header_str(headers, &REQUEST_ID).ok_or("x-request-id is missing")?;
        let model = header_str(headers, &MODEL).ok_or("x-model is missing")?;
        header_u64(headers, &REPLICA)?.ok_or("x-replica is missing")?;
        header_u64(headers, &DEADLINE)?;
        Ok(Self {
            id: id.into(),
            model: model.parse().map_err(|error| format!("x-model: {error}"))?,
            chat,
            stream: header_str(headers, &ACCEPT) == Some("text/event-stream"),
            priority: header_u64(headers, &PRIORITY)?
                .and_then(|priority| u32::try_from(priority).ok())
                .unwrap_or(0),
            resume_from: header_u64(headers, &RESUME_FROM)?.unwrap_or(0),
            tokens: fields.max_tokens.unwrap_or(tokens),
            body,
        })
    }

    /// Returns the JSON of the event for the token at an offset.
    fn token_json(&self, offset: u64) -> String {
        let token = text::token(&self.model, text::digest(&self.body), offset);
        let finish = (offset + 1 == self.tokens).then_some("stop");
        let choice = if self.chat {
            let delta = serde_json::json!({ "content": token });
            serde_json::json!({ "index": 0, "finish_reason": finish, "delta": delta })
        } else {
            serde_json::json!({ "index": 0, "finish_reason": finish, "text": token })
        };
        let object = if self.chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        };
        let model = self.model.to_string();
        serde_json::json!({
            "id": &*self.id, "object": object, "model": model, "choices": [choice]
        })
        .to_string()
    }

    /// Returns the JSON of the complete response.
    fn complete_json(&self) -> String {
        let whole = text::response_text(&self.model, &self.body, self.tokens);
        let choice = if self.chat {
            let message = serde_json::json!({ "role": "assistant", "content": whole });
            serde_json::json!({ "index": 0, "finish_reason": "stop", "message": message })
        } else {
            serde_json::json!({ "index": 0, "finish_reason": "stop", "text": whole })
        };
        let object = if self.chat {
            "chat.completion"
        } else {
            "text_completion"
        };
        serde_json::json!({
            "id": &*self.id,
            "object": object,
            "model": self.model.to_string(),
            "choices": [choice],
            "usage": { "completion_tokens": self.tokens },
        })
        .to_string()
    }
}

/// A request in the batch; dropping it frees the slot.
struct RunningRequest {
    /// The engine process that serves the request.
    process: Process,
    /// The request as parsed.
    request: GenerationRequest,
    /// The model copy that serves the request.
    copy_id: CopyId,
    /// Cancels the request.
    stop: CancellationToken,
    /// Whether the request completed or its copy was unloaded; otherwise it counts as cancelled.
    finished: bool,
    /// Held until the request ends.
    _slot: Slot,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.process.state().requests.remove(&self.request.id);
        if !self.finished && !self.process.token.is_cancelled() {
            self.process.shared.counters().cancelled += 1;
        }
    }
}

/// Why generation stopped early; the variant's name is the detail of the problem document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StopReason {
    /// The request was cancelled.
    Cancelled,
    /// The model copy was unloaded.
    Cut,
}

impl RunningRequest {
    /// Waits until the next token is generated.
    async fn next_token(&mut self) -> Result<(), StopReason> {
        let interval = self.process.batch.token_interval();
        let stop = self.stop.clone();
        if stop.run_until_cancelled(sleep(interval)).await.is_none() {
            return Err(StopReason::Cancelled);
        }
        if !self.process.state().memory.contains(self.copy_id) {
            self.finished = true;
            self.process.shared.counters().aborted_by_unload += 1;
            return Err(StopReason::Cut);
        }
        self.process.shared.counters().tokens += 1;
        Ok(())
    }

    /// Waits until the request is cancelled or the caller disconnects.
    async fn stall(&self, chunks: &mpsc::Sender<Chunk>) {
        tokio::select! {
            () = self.stop.cancelled() => (),
            () = chunks.closed() => (),
        }
    }

    /// Processes the prompt; takes no time if its prefix is cached.
    async fn prefill(&mut self) {
        let prefix = Prefix::of(self.request.model.model.clone(), &self.request.body);
        let cached = self.process.state().prefixes.touch(prefix);
        if !cached {
            sleep(self.process.shared.settings.prefill).await;
        }
    }

    /// Counts the request as completed.
    fn finish(&mut self) {
        self.finished = true;
        self.process.shared.counters().answered += 1;
    }
}

/// Serves a generation request, or injects the fault that is queued for it.
pub async fn generate(process: Process, request: GenerationRequest) -> Response<Body> {
    record_late_request(&process);
    if process.shared.faults.take(&[Fault::Refuse]).is_some() {
        return body::problem(StatusCode::SERVICE_UNAVAILABLE, Run::NotRun, "refused");
    }
    if process.shared.faults.take(&[Fault::Fail]).is_some() {
        return body::response(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", "failed");
    }
    let copy_id = process
        .state()
        .memory
        .find_ready(&request.model)
        .map(|copy| copy.id);
    let Some(copy_id) = copy_id else {
        let detail = format!("{} is not ready here", request.model);
        return body::problem(StatusCode::NOT_FOUND, Run::NotRun, &detail);
    };
    let Some(slot) = process.batch.acquire(request.priority).await else {
        let mut rejection = body::problem(StatusCode::TOO_MANY_REQUESTS, Run::NotRun, "queue full");
        let retry = HeaderValue::from_static("1");
        rejection.headers_mut().insert(RETRY_AFTER, retry);
        return rejection;
    };
    let wrong_id = process
        .shared
        .faults
        .take(&[Fault::WrongIdInHeaders])
        .is_some();
    let mut running = start(&process, request, copy_id, slot);
    if process.token.is_cancelled() {
        return std::future::pending().await;
    }
    running.prefill().await;
    let mut response = if running.request.stream {
        respond_streamed(running)
    } else {
        respond_complete(running).await
    };
    if wrong_id {
        let other = HeaderValue::from_static("another-request");
        response.headers_mut().insert(REQUEST_ID, other);
    }
    response
}

/// Adds a request to the batch; a body with the poison text crashes the engine.
fn start(
    process: &Process,
    request: GenerationRequest,
    copy_id: CopyId,
    slot: Slot,
) -> RunningRequest {
    let mut counters = process.shared.counters();
    *counters.runs.entry(request.id.clone()).or_default() += 1;
    counters.batch_peak = counters.batch_peak.max(process.batch.running());
    drop(counters);
    let poison = process.shared.settings.poison.clone();
    if poison.is_some_and(|poison| contains(&request.body, poison.as_bytes())) {
        process.crash();
    }
    let stop = CancellationToken::new();
    let id = request.id.clone();
    process.state().requests.insert(id, stop.clone());
    RunningRequest {
        process: process.clone(),
        request,
        copy_id,
        stop,
        finished: false,
        _slot: slot,
    }
}

/// Records how long after the leave message a new request arrived.
fn record_late_request(process: &Process) {
    let since = process.state().leaving;
    if let Some(since) = since {
        process.shared.counters().last_request_after_leave = Some(since.elapsed());
    }
}

/// Generates the complete response as one body.
async fn respond_complete(mut running: RunningRequest) -> Response<Body> {
    for _ in 0..running.request.tokens {
        if let Err(stopped) = running.next_token().await {
            let detail = format!("{stopped:?}");
            return body::problem(StatusCode::INTERNAL_SERVER_ERROR, Run::Failed, &detail);
        }
    }
    running.finish();
    body::response(
        StatusCode::OK,
        "application/json",
        running.request.complete_json(),
    )
}

/// Starts a response that is streamed as server-sent events.
fn respond_streamed(running: RunningRequest) -> Response<Body> {
    let (sender, chunks) = mpsc::channel(CHUNK_BUFFER);
    let process = running.process.clone();
    let fault = process.shared.faults.take(&STREAM_FAULTS);
    process.spawn(async move { write_events(running, fault, &sender).await });
    let mut response = body::response(StatusCode::OK, "text/event-stream", "");
    *response.body_mut() = body::streamed(chunks);
    response
}

/// Generates and sends the events of a response, with an injected fault if there is one.
async fn write_events(
    mut running: RunningRequest,
    fault: Option<Fault>,
    chunks: &mpsc::Sender<Chunk>,
) {
    let (resume_from, tokens) = (running.request.resume_from, running.request.tokens);
    for offset in resume_from..tokens {
        let after_two_tokens = offset == resume_from + 2;
        match fault {
            Some(Fault::Stall) if after_two_tokens => running.stall(chunks).await,
            Some(Fault::NoTerminator) if after_two_tokens => return,
            Some(Fault::AbortStream) if after_two_tokens => return abort_connection(chunks).await,
            Some(Fault::MissingToken) if after_two_tokens => continue,
            _ => (),
        }
        if running.next_token().await.is_err() {
            return abort_connection(chunks).await;
        }
        let wrong_id = fault == Some(Fault::WrongIdInEvent) && offset == resume_from + 1;
        let id = if wrong_id {
            "another-request"
        } else {
            &*running.request.id
        };
        let event = format_event(id, offset, offset + 1, &running.request.token_json(offset));
        if chunks.send(Ok(Frame::data(event))).await.is_err() {
            return;
        }
    }
    let end = tokens.max(resume_from);
    let done = format_event(&running.request.id, end, end, "[DONE]");
    if chunks.send(Ok(Frame::data(done))).await.is_ok() {
        running.finish();
    }
}

/// Formats an event; its id carries the request id and the range of tokens that it covers.
fn format_event(id: &str, from: u64, to: u64, data: &str) -> Bytes {
    format!("id: {id}/{from}/{to}\ndata: {data}\n\n").into()
}

/// Aborts the connection of a streamed response.
async fn abort_connection(chunks: &mpsc::Sender<Chunk>) {
    let error = std::io::Error::other("response stream aborted by the fake engine");
    // Fails only if the caller has disconnected already.
    drop(chunks.send(Err(error)).await);
}

/// Returns whether `part` is not empty and occurs in `bytes`.
fn contains(bytes: &[u8], part: &[u8]) -> bool {
    !part.is_empty() && bytes.windows(part.len()).any(|window| window == part)
}

/// Returns a header's value; `None` if it is missing or not visible ASCII.
pub fn header_str<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns a header's value as a number; `None` if it is missing.
pub fn header_u64(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, String> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    parsed.map(Some).ok_or(format!("{name} is no number"))
}
