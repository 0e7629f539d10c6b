//! A caller that checks that every answer is whole and its own.

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

/// Time after which a caller gives up on a host that says nothing.
const PATIENCE: Duration = Duration::from_secs(15);

/// What the terminator of a stream says.
const DONE: &str = "[DONE]";

/// What a request asks for.
#[derive(Debug, Clone)]
pub struct Ask {
    /// The model.
    pub model: Reference,
    /// A text that makes the request different from others.
    pub prompt: String,
    /// Tokens to generate.
    pub tokens: u64,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// The class, where one is named.
    pub class: Option<String>,
    /// How long the caller waits, where it says so.
    pub deadline: Option<Duration>,
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// The whole answer of the own request came.
    Answered {
        /// From the request to the first token, or to the whole answer.
        first: Duration,
        /// From the request to the end.
        whole: Duration,
    },
    /// It was refused.
    Refused {
        /// Whether it ran.
        run: Option<Run>,
        /// The HTTP status.
        status: u16,
        /// What was said.
        detail: String,
        /// From the request to the refusal.
        after: Duration,
        /// Whether it says when to come back.
        comes_back: bool,
    },
    /// The answer had begun and was broken off with an error event.
    BrokenOff {
        /// What was said.
        detail: String,
    },
    /// The connection failed without a word.
    Lost {
        /// What was seen.
        detail: String,
    },
    /// The answer was not the own one, or not whole, and passed off as such.
    Wrong {
        /// What was seen.
        detail: String,
    },
}

/// Why an answer is not as it should be.
#[derive(Debug, Snafu)]
enum Fault {
    /// The answer broke off.
    #[snafu(display("the answer broke off: {detail}"))]
    Cut {
        /// What was seen.
        detail: String,
    },
    /// Anything else.
    #[snafu(whatever, display("{message}"))]
    Other {
        /// What was seen.
        message: String,
    },
}

/// The body of a request.
#[derive(Debug, Serialize)]
struct Body<'a> {
    model: String,
    messages: [Message<'a>; 1],
    max_tokens: u64,
    stream: bool,
}

/// One message of a chat.
#[derive(Debug, Serialize)]
struct Message<'a> {
    role: &'static str,
    content: &'a str,
}

/// What a refusal says.
#[derive(Debug, Default, Deserialize)]
struct Problem {
    run: Option<Run>,
    #[serde(default)]
    detail: String,
}

/// What `GET /v1/entries` answers.
#[derive(Debug, Deserialize)]
struct Entries {
    addresses: Vec<SocketAddr>,
}

/// A caller.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    name: String,
}

impl Caller {
    /// A caller of that name.
    #[must_use]
    pub fn new(name: impl Into<String>) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            name: name.into(),
        }
    }

    /// Asks a host which addresses to use.
    pub async fn entries(&self, host: SocketAddr) -> Vec<SocketAddr> {
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
        let entries = serde_json::from_slice::<Entries>(&body.to_bytes());
        entries.map(|entries| entries.addresses).unwrap_or_default()
    }

    /// Asks a model at a host and checks the answer.
    pub async fn ask(&self, host: SocketAddr, ask: &Ask) -> End {
        patient(self.ask_model(host, ask)).await
    }

    /// Calls a plain service, with a key where the call may not be repeated.
    pub async fn call(
        &self,
        host: SocketAddr,
        method: Method,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> End {
        patient(self.call_service(host, method, path, key, body)).await
    }

    /// Asks a model.
    async fn ask_model(&self, host: SocketAddr, ask: &Ask) -> End {
        let body = Body {
            model: ask.model.to_string(),
            messages: [Message {
                role: "user",
                content: &ask.prompt,
            }],
            max_tokens: ask.tokens,
            stream: ask.stream,
        };
        let body = Bytes::from(serde_json::to_vec(&body).unwrap_or_default());
        let mut request = Request::post(format!("http://{host}/v1/chat/completions"))
            .header("content-type", "application/json")
            .header("x-caller", &self.name);
        if let Some(class) = &ask.class {
            request = request.header("x-class", class);
        }
        if let Some(deadline) = ask.deadline {
            request = request.header("x-deadline-ms", deadline.as_millis().to_string());
        }
        let started = Instant::now();
        let response = match request.body(Full::new(body.clone())) {
            Ok(request) => self.client.request(request).await,
            Err(error) => return lost(&error),
        };
        match response {
            Ok(response) if response.status().is_success() => {
                judge(response, ask, &body, started).await
            }
            Ok(response) => refused(response, started).await,
            Err(error) => lost(&error),
        }
    }

    /// Calls a plain service.
    async fn call_service(
        &self,
        host: SocketAddr,
        method: Method,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> End {
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
            Err(error) => return lost(&error),
        };
        match response {
            Ok(response) if response.status().is_success() => {
                let whole = response.into_body().collect().await;
                match whole {
                    Ok(_) => End::Answered {
                        first: started.elapsed(),
                        whole: started.elapsed(),
                    },
                    Err(error) => lost(&error),
                }
            }
            Ok(response) => refused(response, started).await,
            Err(error) => lost(&error),
        }
    }
}

/// The end of a request, or that there was none for a long time.
async fn patient(asking: impl Future<Output = End>) -> End {
    match tokio::time::timeout(PATIENCE, asking).await {
        Ok(end) => end,
        Err(_) => End::Lost {
            detail: format!("no end within {PATIENCE:?}"),
        },
    }
}

/// The end of a request whose connection failed.
fn lost(error: &impl std::fmt::Debug) -> End {
    End::Lost {
        detail: format!("{error:?}"),
    }
}

/// Reads a refusal.
async fn refused(response: Response<Incoming>, started: Instant) -> End {
    let status = response.status().as_u16();
    let comes_back = response.headers().contains_key("retry-after");
    let body = response.into_body().collect().await;
    let body = body.map(http_body_util::Collected::to_bytes);
    let problem: Problem = body
        .ok()
        .and_then(|body| serde_json::from_slice(&body).ok())
        .unwrap_or_default();
    End::Refused {
        run: problem.run,
        status,
        detail: problem.detail,
        after: started.elapsed(),
        comes_back,
    }
}

/// Checks an answer against what the stand-in engine generates for the request.
async fn judge(response: Response<Incoming>, ask: &Ask, body: &[u8], started: Instant) -> End {
    let expected = text::answer(&ask.model, body, ask.tokens);
    let mut first = None;
    let read = if ask.stream {
        stream(response, &mut first, started).await
    } else {
        whole(response).await
    };
    match read {
        Ok(text) if text == expected => End::Answered {
            first: first.unwrap_or_else(|| started.elapsed()),
            whole: started.elapsed(),
        },
        Ok(text) => End::Wrong {
            detail: format!("{text:?} instead of {expected:?}"),
        },
        Err(Fault::Cut { detail }) => End::BrokenOff { detail },
        Err(fault) => End::Wrong {
            detail: fault.to_string(),
        },
    }
}

/// The text of an answer that is not streamed.
async fn whole(response: Response<Incoming>) -> Result<String, Fault> {
    let body = match response.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            return CutSnafu {
                detail: error.to_string(),
            }
            .fail();
        }
    };
    let value: serde_json::Value = match serde_json::from_slice(&body) {
        Ok(value) => value,
        Err(error) => whatever!("no JSON: {error}"),
    };
    let text = value.pointer("/choices/0/message/content");
    let text = text.and_then(serde_json::Value::as_str);
    text.map(str::to_owned)
        .whatever_context("no text in the answer")
}

/// The text of a streamed answer.
async fn stream(
    response: Response<Incoming>,
    first: &mut Option<Duration>,
    started: Instant,
) -> Result<String, Fault> {
    let mut body = response.into_body();
    let mut buffer = Vec::new();
    let mut text = String::new();
    let mut done = false;
    while let Some(frame) = body.frame().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(error) => {
                return CutSnafu {
                    detail: error.to_string(),
                }
                .fail();
            }
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        first.get_or_insert_with(|| started.elapsed());
        buffer.extend_from_slice(&data);
        while let Some(end) = buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = buffer.drain(..end + 2).collect();
            done |= take(&event, &mut text)?;
        }
    }
    if !done {
        whatever!("a stream that ended without its terminator, after {text:?}");
    }
    Ok(text)
}

/// Takes one event; tells whether it is the terminator.
fn take(event: &[u8], text: &mut String) -> Result<bool, Fault> {
    let event = String::from_utf8_lossy(event);
    if event.starts_with("event: error") {
        return CutSnafu {
            detail: event.into_owned(),
        }
        .fail();
    }
    for line in event.lines() {
        let Some(data) = line.strip_prefix("data:") else {
            continue;
        };
        let data = data.trim();
        if data == DONE {
            return Ok(true);
        }
        let value: serde_json::Value = match serde_json::from_str(data) {
            Ok(value) => value,
            Err(error) => whatever!("an event that is no JSON: {error}"),
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

impl End {
    /// Whether the whole answer came.
    #[must_use]
    pub fn is_answered(&self) -> bool {
        matches!(self, Self::Answered { .. })
    }

    /// Whether it is a refusal that says that nothing ran.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        let run = match self {
            Self::Refused { run, .. } => *run,
            _ => None,
        };
        run == Some(Run::NotRun)
    }

    /// Whether the host said that the method or path is wrong.
    #[must_use]
    pub fn is_status(&self, wanted: StatusCode) -> bool {
        matches!(self, Self::Refused { status, .. } if *status == wanted.as_u16())
    }
}
