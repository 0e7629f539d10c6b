//! The HTTP service for callers and targets in the project's own protocol.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use cornelhitch_entry::event::{CallId, Event};
use cornelhitch_settings::fleet::FleetSettings;
use cornelhitch_target::inbound::{Message as TargetMessage, Protocol, Receipt};
use cornelhitch_types::refusal::{Reason, Refusal};
use http::header::{CACHE_CONTROL, CONTENT_TYPE};
use http::request::Parts;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::body::{self, Body};
use crate::entry::Input;
use crate::exchange::{NewRequest, PART_QUEUE_CAPACITY, Part};
use crate::metrics::{Count, Metrics};
use crate::problem::{Problem, not_run};
use crate::request::{self, Endpoint};
use crate::request_memory::RequestBodies;
use crate::server::Service;
use crate::unread_answers::UnreadAnswers;

/// The largest body of a target's message, in bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// The HTTP service for callers and targets.
pub struct Callers {
    /// The entry task's input queue.
    pub inputs: mpsc::UnboundedSender<Input>,
    /// The fleet settings in force.
    pub fleet: watch::Receiver<Arc<FleetSettings>>,
    /// The encoding of targets' messages.
    pub protocol: Arc<dyn Protocol>,
    /// Reads the bodies of requests.
    pub bodies: RequestBodies,
    /// Reads the messages of targets.
    pub messages: RequestBodies,
    /// The memory for answers that callers have not read.
    pub unread: UnreadAnswers,
    /// The metrics of this process.
    pub metrics: Metrics,
    /// The id for the next request.
    pub next: AtomicU64,
    /// Cancelled when the graceful shutdown starts.
    pub leaving: CancellationToken,
}

/// Notifies the entry task on drop that the caller disconnected; no effect after the request's end.
pub(crate) struct CallerGuard {
    pub(crate) id: CallId,
    pub(crate) inputs: mpsc::UnboundedSender<Input>,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        let left = Event::CallerDisconnected { id: self.id };
        let _ = self.inputs.send(Input::Event(left));
    }
}

/// The response to `GET /v1/models`, in the shape of the OpenAI API.
#[derive(Debug, Serialize)]
struct Models {
    object: &'static str,
    data: Vec<Model>,
}

/// A model or adapter in [`Models`].
#[derive(Debug, Serialize)]
struct Model {
    id: String,
    object: &'static str,
    owned_by: &'static str,
}

impl Service for Callers {
    async fn serve(&self, request: Request<Incoming>, from: SocketAddr) -> Response<Body> {
        let (parts, body) = request.into_parts();
        if self.protocol.handles_path(parts.uri.path()) {
            return self.serve_target(&parts, body, from).await;
        }
        let since = Instant::now();
        let served = match Endpoint::of(&parts) {
            Some(Ok(endpoint)) => self.serve_request(endpoint, parts, body, from).await,
            Some(Err(refusal)) => Err(refusal),
            None => self.serve_page(&parts).await,
        };
        served.unwrap_or_else(|refusal| {
            self.metrics.refused(&refusal, since.elapsed());
            tracing::debug!(
                reason = %refusal.reason, detail = &*refusal.detail,
                "request refused or its answer aborted"
            );
            Problem::from(&refusal).response()
        })
    }

    fn is_leaving(&self) -> bool {
        self.leaving.is_cancelled()
    }
}

impl Callers {
    /// Serves a request to a model or a plain service.
    async fn serve_request(
        &self,
        endpoint: Endpoint,
        parts: Parts,
        body: Incoming,
        from: SocketAddr,
    ) -> Result<Response<Body>, Refusal> {
        self.metrics.increment(Count::Requests);
        let limit = self.fleet.borrow().refusing.body;
        let body = self
            .bodies
            .read(body, &parts.extensions, limit, from.ip())
            .await?;
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let (request, payload) = request::read(id, endpoint, &parts, body, from)?;
        let streaming = request.streaming;
        let (reply, answer) = mpsc::channel(PART_QUEUE_CAPACITY);
        let intake = NewRequest {
            request,
            payload,
            reply,
            share: self.unread.share(from.ip()),
        };
        let guard = CallerGuard {
            id,
            inputs: self.inputs.clone(),
        };
        let _ = self.inputs.send(Input::NewRequest(Box::new(intake)));
        caller_response(answer, guard, (&self.unread, from), |_| streaming).await
    }

    /// Serves a message from a target.
    async fn serve_target(
        &self,
        parts: &Parts,
        body: Incoming,
        from: SocketAddr,
    ) -> Response<Body> {
        let message = self
            .messages
            .read(body, &parts.extensions, MAX_MESSAGE_BYTES, from.ip());
        let receipt = match message.await {
            Ok(body) => {
                let path = parts.uri.path();
                let message = self.protocol.decode(&parts.method, path, &body);
                match message {
                    Ok(message) => Ok(self.forward_message(message).await),
                    Err(error) => Err(error),
                }
            }
            Err(refusal) => return Problem::from(&refusal).response(),
        };
        self.protocol
            .response(parts.uri.path(), receipt)
            .map(body::full)
    }

    /// Forwards a target's message to the entry task and returns the receipt.
    async fn forward_message(&self, message: TargetMessage) -> Receipt {
        let (answer, answered) = oneshot::channel();
        let _ = self.inputs.send(Input::TargetMessage(message, answer));
        answered.await.unwrap_or(Receipt::Unavailable)
    }

    /// Serves the requests that need no target.
    async fn serve_page(&self, parts: &Parts) -> Result<Response<Body>, Refusal> {
        let path = parts.uri.path();
        if !matches!(path, "/v1/models" | "/v1/entries" | "/healthz") {
            let detail = format!("nothing is at {path}");
            return Err(not_run(Reason::Unknown, detail));
        }
        if parts.method != Method::GET {
            let detail = format!("{path} takes GET, not {}", parts.method);
            return Err(not_run(Reason::Malformed, detail));
        }
        match path {
            "/v1/models" => Ok(json(StatusCode::OK, &self.models())),
            "/v1/entries" => self.entries().await,
            _ => Ok(json(StatusCode::OK, &"ok")),
        }
    }

    /// Lists the models and adapters of the settings in force.
    fn models(&self) -> Models {
        let fleet = self.fleet.borrow().clone();
        let ids = fleet.models.iter().flat_map(|model| {
            let adapters = model.adapters.iter();
            let named = adapters.map(move |adapter| format!("{}+{adapter}", model.name));
            std::iter::once(model.name.to_string()).chain(named)
        });
        let row = |id| Model {
            id,
            object: "model",
            owned_by: "cornelhitch",
        };
        Models {
            object: "list",
            data: ids.map(row).collect(),
        }
    }

    /// Returns the entry addresses that a caller may use.
    async fn entries(&self) -> Result<Response<Body>, Refusal> {
        let (answer, answered) = oneshot::channel();
        let _ = self.inputs.send(Input::Entries(answer));
        let entries = answered.await.map_err(|_| stopped())?;
        let mut response = json(StatusCode::OK, &entries.body);
        let age = format!("max-age={}", entries.max_age.as_secs());
        if let Ok(value) = HeaderValue::from_str(&age) {
            response.headers_mut().insert(CACHE_CONTROL, value);
        }
        Ok(response)
    }
}

/// Returns a response with a JSON body.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(body::full(bytes));
    *response.status_mut() = status;
    let media_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, media_type);
    response
}

/// Waits for the answer to begin and returns the response. `streams` decides by the status whether
/// the body is streamed or buffered; a buffered one takes room from the caller's share.
pub(crate) async fn caller_response(
    mut answer: mpsc::Receiver<Part>,
    guard: CallerGuard,
    unread: (&UnreadAnswers, SocketAddr),
    streams: impl FnOnce(StatusCode) -> bool,
) -> Result<Response<Body>, Refusal> {
    let head = match answer.recv().await {
        Some(Part::Head(head)) => head,
        Some(Part::Refusal(refusal)) => return Err(refusal),
        Some(Part::Data(_) | Part::End) | None => return Err(stopped()),
    };
    let body = if streams(head.status) {
        body::streaming(answer, guard)
    } else {
        body::parts(collect_parts(answer, unread).await?)
    };
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    Ok(response)
}

/// Buffers the body of an answer that is not streamed.
async fn collect_parts(
    mut answer: mpsc::Receiver<Part>,
    (unread, caller): (&UnreadAnswers, SocketAddr),
) -> Result<Vec<Bytes>, Refusal> {
    let mut whole = unread.begin(caller.ip());
    loop {
        match answer.recv().await {
            Some(Part::Data(bytes)) => unread.append(&mut whole, bytes)?,
            Some(Part::End) => return Ok(whole.into_parts()),
            Some(Part::Refusal(refusal)) => return Err(refusal),
            Some(Part::Head(_)) | None => return Err(stopped()),
        }
    }
}

/// Returns the refusal for a request whose task has ended.
fn stopped() -> Refusal {
    Refusal {
        reason: Reason::TargetFailed,
        run: cornelhitch_types::refusal::Run::Unknown,
        retry_after: None,
        detail: "this process stopped before the answer was whole".into(),
    }
}
