//! HTTP client for model and service requests that verifies the complete answer to a model
//! request.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cornelhitch_standin::text;
use cornelhitch_types::model::Reference;
use cornelhitch_types::refusal::Run;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu, whatever};

/// Timeout of one request, including its body. A request that exceeds it counts as
/// [`Outcome::Lost`].
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// Data of the event that ends a stream.
const STREAM_TERMINATOR: &str = "[DONE]";

/// Parameters of a chat completion request.
#[derive(Debug, Clone)]
pub struct ModelRequest {
    /// Model to run, optionally with an adapter.
    pub model: Reference,
    /// Content of the user message. The expected answer depends on it, so a different prompt for
    /// each request exposes answers that belong to another request.
    pub prompt: String,
    /// Number of tokens to generate.
    pub tokens: u64,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Request class; no `x-class` header is sent if `None`.
    pub class: Option<String>,
    /// Deadline; no `x-deadline-ms` header is sent if `None`.
    pub deadline: Option<Duration>,
}

/// Outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer to this request arrived. Only the answers of models are compared with
    /// the expected text.
    Answered {
        /// Time from the request to the first body bytes of a stream, or else to the complete
        /// answer.
        first_token: Duration,
        /// Time from the request to the end of the answer.
        total: Duration,
    },
    /// The response had an unsuccessful status.
    Refused {
        /// Whether the request was run; `None` if the response does not say.
        run: Option<Run>,
        /// HTTP status code.
        status: u16,
        /// The `detail` of the problem document; empty if there is none.
        detail: String,
        /// Time from the request to the end of the response.
        elapsed: Duration,
        /// Whether the response has a `retry-after` header.
        has_retry_after: bool,
    },
    /// The answer began and then failed, with an error event or a connection error.
    Interrupted {
        /// Error event or connection error.
        detail: String,
    },
    /// No complete HTTP response arrived: the connection failed or the request timed out.
    Lost {
        /// Connection error or timeout.
        detail: String,
    },
    /// The answer ended normally but was malformed, incomplete or not the expected one.
    Wrong {
        /// Difference from the expected answer.
        detail: String,
    },
}

/// Reason why an answer could not be read.
#[derive(Debug, Snafu)]
enum AnswerError {
    /// The answer failed before its end.
    #[snafu(display("the answer was interrupted: {detail}"))]
    Interrupted {
        /// Error event or connection error.
        detail: String,
    },
    /// The answer is malformed or incomplete.
    #[snafu(whatever, display("{message}"))]
    Other {
        /// Which part is malformed or missing.
        message: String,
    },
}

/// Request body of `POST /v1/chat/completions`.
#[derive(Debug, Serialize)]
struct ChatRequest<'a> {
    model: String,
    messages: [ChatMessage<'a>; 1],
    max_tokens: u64,
    stream: bool,
}

#[derive(Debug, Serialize)]
struct ChatMessage<'a> {
    role: &'static str,
    content: &'a str,
}

/// Fields of a problem document that are evaluated here.
#[derive(Debug, Default, Deserialize)]
struct ProblemDocument {
    run: Option<Run>,
    #[serde(default)]
    detail: String,
}

/// Response body of `GET /v1/entries`.
#[derive(Debug, Deserialize)]
struct EntriesResponse {
    addresses: Vec<SocketAddr>,
}

/// HTTP client that identifies itself by a caller name. Clones share the connection pool.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    name: String,
}

impl Caller {
    /// Creates a client that sends `name` as `x-caller`.
    #[must_use]
    pub fn new(name: impl Into<String>) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            name: name.into(),
        }
    }

    /// Fetches the addresses of the entry hosts that callers should use.
    ///
    /// Returns an empty list if the request fails.
    pub async fn fetch_entries(&self, host: SocketAddr) -> Vec<SocketAddr> {
        let request = Request::get(format!("http://{host}/v1/entries")).body(Full::default());
        let Ok(request) = request else {
            return Vec::new();
        };
        let Ok(response) = self.client.request(request).await else {
            return Vec::new();
        };
        let Ok(body) = response.into_body().collect().await else {
            return Vec::new();
        };
        let entries = serde_json::from_slice::<EntriesResponse>(&body.to_bytes());
        entries.map(|entries| entries.addresses).unwrap_or_default()
    }

    /// Sends a chat completion request to `host` and verifies the answer.
    pub async fn request_model(&self, host: SocketAddr, model_request: &ModelRequest) -> Outcome {
        with_timeout(self.send_model_request(host, model_request)).await
    }

    /// Sends a request to the plain service and path `path` (`SERVICE/...`) through `host`.
    ///
    /// `key` is sent as `idempotency-key`, for requests that must not run twice.
    pub async fn call_service(
        &self,
        host: SocketAddr,
        method: Method,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> Outcome {
        with_timeout(self.send_service_call(host, method, path, key, body)).await
    }

    async fn send_model_request(&self, host: SocketAddr, model_request: &ModelRequest) -> Outcome {
        let body = ChatRequest {
            model: model_request.model.to_string(),
            messages: [ChatMessage {
                role: "user",
                content: &model_request.prompt,
            }],
            max_tokens: model_request.tokens,
            stream: model_request.stream,
        };
        let body = Bytes::from(serde_json::to_vec(&body).unwrap_or_default());
        let mut request = Request::post(format!("http://{host}/v1/chat/completions"))
            .header("content-type", "application/json")
            .header("x-caller", &self.name);
        if let Some(class) = &model_request.class {
            request = request.header("x-class", class);
        }
        if let Some(deadline) = model_request.deadline {
            request = request.header("x-deadline-ms", deadline.as_millis().to_string());
        }
        let started = Instant::now();
        let response = match request.body(Full::new(body.clone())) {
            Ok(request) => self.client.request(request).await,
            Err(error) => return connection_lost(&error),
        };
        match response {
            Ok(response) if response.status().is_success() => {
                check_answer(response, model_request, &body, started).await
            }
            Ok(response) => read_refusal(response, started).await,
            Err(error) => connection_lost(&error),
        }
    }

    async fn send_service_call(
        &self,
        host: SocketAddr,
        method: Method,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> Outcome {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{host}/services/{path}"))
            .header("x-caller", &self.name);
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let started = Instant::now();
        let response = match request.body(Full::new(Bytes::from(body.to_owned()))) {
            Ok(request) => self.client.request(request).await,
            Err(error) => return connection_lost(&error),
        };
        match response {
            Ok(response) if response.status().is_success() => {
                let body = response.into_body().collect().await;
                match body {
                    Ok(_) => Outcome::Answered {
                        first_token: started.elapsed(),
                        total: started.elapsed(),
                    },
                    Err(error) => connection_lost(&error),
                }
            }
            Ok(response) => read_refusal(response, started).await,
            Err(error) => connection_lost(&error),
        }
    }
}

/// Returns the outcome of `sending`, or [`Outcome::Lost`] after [`REQUEST_TIMEOUT`].
async fn with_timeout(sending: impl Future<Output = Outcome>) -> Outcome {
    match tokio::time::timeout(REQUEST_TIMEOUT, sending).await {
        Ok(outcome) => outcome,
        Err(_) => Outcome::Lost {
            detail: format!("no complete answer within {REQUEST_TIMEOUT:?}"),
        },
    }
}

/// Returns the outcome of a request whose connection failed.
fn connection_lost(error: &impl std::fmt::Debug) -> Outcome {
    Outcome::Lost {
        detail: format!("{error:?}"),
    }
}

/// Reads a response with an unsuccessful status.
async fn read_refusal(response: Response<Incoming>, started: Instant) -> Outcome {
    let status = response.status().as_u16();
    let has_retry_after = response.headers().contains_key("retry-after");
    let body = response.into_body().collect().await;
    let body = body.map(http_body_util::Collected::to_bytes);
    let problem: ProblemDocument = body
        .ok()
        .and_then(|body| serde_json::from_slice(&body).ok())
        .unwrap_or_default();
    Outcome::Refused {
        run: problem.run,
        status,
        detail: problem.detail,
        elapsed: started.elapsed(),
        has_retry_after,
    }
}

/// Reads an answer and compares it with the text that the stand-in engine generates for the
/// request.
async fn check_answer(
    response: Response<Incoming>,
    model_request: &ModelRequest,
    body: &[u8],
    started: Instant,
) -> Outcome {
    let expected = text::response_text(&model_request.model, body, model_request.tokens);
    let mut first_token = None;
    let result = if model_request.stream {
        read_streamed_text(response, &mut first_token, started).await
    } else {
        read_text(response).await
    };
    match result {
        Ok(text) if text == expected => Outcome::Answered {
            first_token: first_token.unwrap_or_else(|| started.elapsed()),
            total: started.elapsed(),
        },
        Ok(text) => Outcome::Wrong {
            detail: format!("expected the answer {expected:?}, got {text:?}"),
        },
        Err(AnswerError::Interrupted { detail }) => Outcome::Interrupted { detail },
        Err(error) => Outcome::Wrong {
            detail: error.to_string(),
        },
    }
}

/// Reads the generated text from a response that is not streamed.
async fn read_text(response: Response<Incoming>) -> Result<String, AnswerError> {
    let body = match response.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            return InterruptedSnafu {
                detail: error.to_string(),
            }
            .fail();
        }
    };
    let value: serde_json::Value = match serde_json::from_slice(&body) {
        Ok(value) => value,
        Err(error) => whatever!("the answer is not valid JSON: {error}"),
    };
    let text = value.pointer("/choices/0/message/content");
    let text = text.and_then(serde_json::Value::as_str);
    text.map(str::to_owned)
        .whatever_context("the answer has no string at /choices/0/message/content")
}

/// Reads the generated text from a streamed response, and sets `first_token` when the first body
/// bytes arrive.
async fn read_streamed_text(
    response: Response<Incoming>,
    first_token: &mut Option<Duration>,
    started: Instant,
) -> Result<String, AnswerError> {
    let mut body = response.into_body();
    let mut buffer = Vec::new();
    let mut text = String::new();
    let mut done = false;
    while let Some(frame) = body.frame().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(error) => {
                return InterruptedSnafu {
                    detail: error.to_string(),
                }
                .fail();
            }
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        first_token.get_or_insert_with(|| started.elapsed());
        buffer.extend_from_slice(&data);
        while let Some(end) = buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = buffer.drain(..end + 2).collect();
            done |= parse_event(&event, &mut text)?;
        }
    }
    if !done {
        whatever!("the stream ended without the terminator {STREAM_TERMINATOR}, after {text:?}");
    }
    Ok(text)
}

/// Appends the text of one server-sent event to `text`. Returns whether the event is the
/// terminator.
fn parse_event(event: &[u8], text: &mut String) -> Result<bool, AnswerError> {
    let event = String::from_utf8_lossy(event);
    if event.starts_with("event: error") {
        return InterruptedSnafu {
            detail: event.into_owned(),
        }
        .fail();
    }
    for line in event.lines() {
        let Some(data) = line.strip_prefix("data:") else {
            continue;
        };
        let data = data.trim();
        if data == STREAM_TERMINATOR {
            return Ok(true);
        }
        let value: serde_json::Value = match serde_json::from_str(data) {
            Ok(value) => value,
            Err(error) => whatever!("the data of an event is not valid JSON: {error}"),
        };
        let delta = value.pointer("/choices/0/delta/content");
        text.push_str(
            delta
                .and_then(serde_json::Value::as_str)
                .unwrap_or_default(),
        );
    }
    Ok(false)
}

impl Outcome {
    /// Whether the complete answer arrived.
    #[must_use]
    pub fn is_answered(&self) -> bool {
        matches!(self, Self::Answered { .. })
    }

    /// Whether the request was refused with the statement that it was not run.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        let run = match self {
            Self::Refused { run, .. } => *run,
            _ => None,
        };
        run == Some(Run::NotRun)
    }

    /// Whether the request was refused with the status `expected`.
    #[must_use]
    pub fn is_status(&self, expected: StatusCode) -> bool {
        matches!(self, Self::Refused { status, .. } if *status == expected.as_u16())
    }
}
