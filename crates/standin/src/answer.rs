//! How an engine answers a generation request: its place, its tokens, and its faults.

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

use crate::batch::Place;
use crate::body::{self, Body, Piece};
use crate::fault::Fault;
use crate::life::Life;
use crate::memory::Serial;
use crate::prefixes::Prefix;
use crate::text;

/// Pieces of a stream that wait for the connection.
const PIECES: usize = 16;

/// Faults of a stream.
const STREAM: [Fault; 5] = [
    Fault::CrossedEvent,
    Fault::NoTerminator,
    Fault::Gap,
    Fault::Break,
    Fault::Stall,
];

/// A request, as its headers and body tell.
#[derive(Debug, Clone)]
pub struct Ask {
    /// Its id.
    id: Name,
    /// The model.
    model: Reference,
    /// Whether it is a chat.
    chat: bool,
    /// Whether the answer comes as events.
    stream: bool,
    /// Its priority.
    priority: u32,
    /// Tokens that the caller has.
    from: u64,
    /// Tokens of the whole answer.
    tokens: u64,
    /// The body.
    body: Bytes,
}

/// What an engine reads of a body.
#[derive(Debug, Deserialize)]
struct Fields {
    /// Tokens of the answer.
    #[serde(default, alias = "max_completion_tokens")]
    max_tokens: Option<u64>,
}

impl Ask {
    /// Reads a request; the error is what is wrong with it.
    pub fn read(headers: &HeaderMap, chat: bool, body: Bytes, tokens: u64) -> Result<Self, String> {
        let fields: Fields = serde_json::from_slice(&body).map_err(|error| error.to_string())?;
        let id = text_of(headers, &REQUEST_ID).ok_or("x-request-id is missing")?;
        let model = text_of(headers, &MODEL).ok_or("x-model is missing")?;
        number(headers, &REPLICA)?.ok_or("x-replica is missing")?;
        number(headers, &DEADLINE)?;
        Ok(Self {
            id: id.into(),
            model: model.parse().map_err(|error| format!("x-model: {error}"))?,
            chat,
            stream: text_of(headers, &ACCEPT) == Some("text/event-stream"),
            priority: number(headers, &PRIORITY)?
                .and_then(|priority| u32::try_from(priority).ok())
                .unwrap_or(0),
            from: number(headers, &RESUME_FROM)?.unwrap_or(0),
            tokens: fields.max_tokens.unwrap_or(tokens),
            body,
        })
    }

    /// The JSON of one token.
    fn token(&self, at: u64) -> String {
        let token = text::token(&self.model, text::digest(&self.body), at);
        let finish = (at + 1 == self.tokens).then_some("stop");
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

    /// The JSON of the whole answer.
    fn whole(&self) -> String {
        let whole = text::answer(&self.model, &self.body, self.tokens);
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

/// A request in the batch; it leaves the batch when this is dropped.
struct Running {
    /// The life it runs in.
    life: Life,
    /// The request.
    ask: Ask,
    /// The copy that answers.
    serial: Serial,
    /// Stops it.
    stop: CancellationToken,
    /// Whether it came to its end, good or bad.
    over: bool,
    /// Its place in the batch.
    _place: Place,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.life.state().requests.remove(&self.ask.id);
        if !self.over && !self.life.token.is_cancelled() {
            self.life.shared.counters().cancelled += 1;
        }
    }
}

/// Why no further token comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stopped {
    /// The request was cancelled.
    Cancelled,
    /// Its model was unloaded.
    Cut,
}

impl Running {
    /// Waits for the next token.
    async fn step(&mut self) -> Result<(), Stopped> {
        let pace = self.life.batch.pace();
        let stop = self.stop.clone();
        if stop.run_until_cancelled(sleep(pace)).await.is_none() {
            return Err(Stopped::Cancelled);
        }
        if !self.life.state().memory.holds(self.serial) {
            self.over = true;
            self.life.shared.counters().cut += 1;
            return Err(Stopped::Cut);
        }
        self.life.shared.counters().tokens += 1;
        Ok(())
    }

    /// Does nothing until it is cancelled or its caller leaves.
    async fn stall(&self, pieces: &mpsc::Sender<Piece>) {
        tokio::select! {
            () = self.stop.cancelled() => (),
            () = pieces.closed() => (),
        }
    }

    /// Reads the prompt.
    async fn prefill(&mut self) {
        let prefix = Prefix::of(self.ask.model.model.clone(), &self.ask.body);
        let held = self.life.state().prefixes.touch(prefix);
        if !held {
            sleep(self.life.shared.settings.prefill).await;
        }
    }

    /// Counts the whole answer.
    fn finish(&mut self) {
        self.over = true;
        self.life.shared.counters().answered += 1;
    }
}

/// Answers a request.
pub async fn generate(life: Life, ask: Ask) -> Response<Body> {
    note_leaving(&life);
    if life.shared.faults.take(&[Fault::Refuse]).is_some() {
        return body::problem(StatusCode::SERVICE_UNAVAILABLE, Run::NotRun, "refused");
    }
    if life.shared.faults.take(&[Fault::Fail]).is_some() {
        return body::answer(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", "failed");
    }
    let serial = life
        .state()
        .memory
        .answering(&ask.model)
        .map(|copy| copy.serial);
    let Some(serial) = serial else {
        let detail = format!("{} is not ready here", ask.model);
        return body::problem(StatusCode::NOT_FOUND, Run::NotRun, &detail);
    };
    let Some(place) = life.batch.place(ask.priority).await else {
        let mut full = body::problem(StatusCode::TOO_MANY_REQUESTS, Run::NotRun, "queue full");
        let retry = HeaderValue::from_static("1");
        full.headers_mut().insert(RETRY_AFTER, retry);
        return full;
    };
    let crossed = life.shared.faults.take(&[Fault::CrossedHead]).is_some();
    let mut running = begin(&life, ask, serial, place);
    if life.token.is_cancelled() {
        return std::future::pending().await;
    }
    running.prefill().await;
    let mut response = if running.ask.stream {
        stream(running)
    } else {
        whole(running).await
    };
    if crossed {
        let other = HeaderValue::from_static("another-request");
        response.headers_mut().insert(REQUEST_ID, other);
    }
    response
}

/// Puts a request into the batch; one with the poison takes the engine down.
fn begin(life: &Life, ask: Ask, serial: Serial, place: Place) -> Running {
    let mut counters = life.shared.counters();
    *counters.runs.entry(ask.id.clone()).or_default() += 1;
    counters.batch_peak = counters.batch_peak.max(life.batch.running());
    drop(counters);
    let poison = life.shared.settings.poison.clone();
    if poison.is_some_and(|poison| contains(&ask.body, poison.as_bytes())) {
        life.crash();
    }
    let stop = CancellationToken::new();
    let id = ask.id.clone();
    life.state().requests.insert(id, stop.clone());
    Running {
        life: life.clone(),
        ask,
        serial,
        stop,
        over: false,
        _place: place,
    }
}

/// Notes a new request that comes although the engine leaves.
fn note_leaving(life: &Life) {
    let since = life.state().leaving;
    if let Some(since) = since {
        life.shared.counters().after_leaving = Some(since.elapsed());
    }
}

/// The answer as one body.
async fn whole(mut running: Running) -> Response<Body> {
    for _ in 0..running.ask.tokens {
        if let Err(stopped) = running.step().await {
            let detail = format!("{stopped:?}");
            return body::problem(StatusCode::INTERNAL_SERVER_ERROR, Run::Failed, &detail);
        }
    }
    running.finish();
    body::answer(StatusCode::OK, "application/json", running.ask.whole())
}

/// The answer as events.
fn stream(running: Running) -> Response<Body> {
    let (sender, pieces) = mpsc::channel(PIECES);
    let life = running.life.clone();
    let fault = life.shared.faults.take(&STREAM);
    life.spawn(async move { write(running, fault, &sender).await });
    let mut response = body::answer(StatusCode::OK, "text/event-stream", "");
    *response.body_mut() = body::streamed(pieces);
    response
}

/// Writes the events of an answer.
async fn write(mut running: Running, fault: Option<Fault>, pieces: &mpsc::Sender<Piece>) {
    let (from, tokens) = (running.ask.from, running.ask.tokens);
    for at in from..tokens {
        let third = at == from + 2;
        match fault {
            Some(Fault::Stall) if third => running.stall(pieces).await,
            Some(Fault::NoTerminator) if third => return,
            Some(Fault::Break) if third => return break_off(pieces).await,
            Some(Fault::Gap) if third => continue,
            _ => (),
        }
        if running.step().await.is_err() {
            return break_off(pieces).await;
        }
        let crossed = fault == Some(Fault::CrossedEvent) && at == from + 1;
        let id = if crossed {
            "another-request"
        } else {
            &*running.ask.id
        };
        let event = event(id, at, at + 1, &running.ask.token(at));
        if pieces.send(Ok(Frame::data(event))).await.is_err() {
            return;
        }
    }
    let end = tokens.max(from);
    let done = event(&running.ask.id, end, end, "[DONE]");
    if pieces.send(Ok(Frame::data(done))).await.is_ok() {
        running.finish();
    }
}

/// One event of a stream.
fn event(id: &str, from: u64, to: u64, data: &str) -> Bytes {
    format!("id: {id}/{from}/{to}\ndata: {data}\n\n").into()
}

/// Breaks the connection.
async fn break_off(pieces: &mpsc::Sender<Piece>) {
    let error = std::io::Error::other("broken off");
    // A caller that has left needs no word of it.
    drop(pieces.send(Err(error)).await);
}

/// Whether some bytes hold others.
fn contains(bytes: &[u8], part: &[u8]) -> bool {
    !part.is_empty() && bytes.windows(part.len()).any(|window| window == part)
}

/// A header's text.
pub fn text_of<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// A header's number, if it is there.
pub fn number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, String> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let number = value.to_str().ok().and_then(|text| text.parse().ok());
    number.map(Some).ok_or(format!("{name} is no number"))
}
