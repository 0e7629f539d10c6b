//! The HTTP side towards callers and targets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use cornelhitch_entry::event::{CallId, Event};
use cornelhitch_settings::fleet::Fleet;
use cornelhitch_target::inbound::{Message as Told, Protocol, Receipt};
use cornelhitch_types::refusal::{Reason, Refusal};
use http::header::{CACHE_CONTROL, CONTENT_TYPE};
use http::request::Parts;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use serde::Serialize;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use crate::body::{self, Body};
use crate::entry::Input;
use crate::exchange::{Intake, PARTS, Part};
use crate::metrics::{Count, Metrics};
use crate::problem::{Problem, not_run};
use crate::request::{self, Way};
use crate::server::Service;

/// The largest body of a target's message, in bytes.
const MESSAGE: usize = 1 << 20;

/// What callers' requests are served with.
pub struct Callers {
    /// Where the entry task is.
    pub inputs: mpsc::UnboundedSender<Input>,
    /// The settings in force here.
    pub fleet: watch::Receiver<Arc<Fleet>>,
    /// How targets' messages are encoded.
    pub protocol: Arc<dyn Protocol>,
    /// Counters.
    pub metrics: Metrics,
    /// The number of the next request.
    pub next: AtomicU64,
}

/// Tells the entry task that a caller left, unless its request has ended by then.
pub(crate) struct Departure {
    pub(crate) id: CallId,
    pub(crate) inputs: mpsc::UnboundedSender<Input>,
}

impl Drop for Departure {
    fn drop(&mut self) {
        let left = Event::CallerLeft { id: self.id };
        let _ = self.inputs.send(Input::Event(left));
    }
}

/// The answer to `GET /v1/models`, as OpenAI's interface shapes it.
#[derive(Debug, Serialize)]
struct Models {
    object: &'static str,
    data: Vec<Model>,
}

/// One row of [`Models`].
#[derive(Debug, Serialize)]
struct Model {
    id: String,
    object: &'static str,
    owned_by: &'static str,
}

impl Service for Callers {
    async fn serve(&self, request: Request<Incoming>, from: SocketAddr) -> Response<Body> {
        let (parts, body) = request.into_parts();
        if self.protocol.takes(parts.uri.path()) {
            return self.target(&parts, body).await;
        }
        let since = Instant::now();
        let served = match Way::of(&parts) {
            Some(Ok(way)) => self.request(way, parts, body, from).await,
            Some(Err(refusal)) => Err(refusal),
            None => self.page(&parts).await,
        };
        served.unwrap_or_else(|refusal| {
            self.metrics.refused(&refusal, since.elapsed());
            tracing::debug!(reason = %refusal.reason, detail = &*refusal.detail, "refused");
            Problem::from(&refusal).response()
        })
    }
}

impl Callers {
    /// Serves a request to a model or a plain service.
    async fn request(
        &self,
        way: Way,
        parts: Parts,
        body: Incoming,
        from: SocketAddr,
    ) -> Result<Response<Body>, Refusal> {
        self.metrics.one(Count::Requests);
        let limit = self.fleet.borrow().refusing.body;
        let body = collect(body, limit).await?;
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let (request, payload) = request::read(id, way, &parts, body, from)?;
        let streaming = request.streaming;
        let (reply, answer) = mpsc::channel(PARTS);
        let intake = Intake {
            request,
            payload,
            reply,
        };
        let departure = Departure {
            id,
            inputs: self.inputs.clone(),
        };
        let _ = self.inputs.send(Input::Intake(Box::new(intake)));
        answered(answer, departure, |_| streaming).await
    }

    /// Serves what a target tells.
    async fn target(&self, parts: &Parts, body: Incoming) -> Response<Body> {
        let receipt = match collect(body, MESSAGE).await {
            Ok(body) => {
                let path = parts.uri.path();
                let message = self.protocol.decode(&parts.method, path, &body);
                match message {
                    Ok(message) => Ok(self.told(message).await),
                    Err(error) => Err(error),
                }
            }
            Err(refusal) => return Problem::from(&refusal).response(),
        };
        self.protocol
            .answer(parts.uri.path(), receipt)
            .map(body::whole)
    }

    /// Hands on what a target told.
    async fn told(&self, message: Told) -> Receipt {
        let (answer, answered) = oneshot::channel();
        let _ = self.inputs.send(Input::Told(message, answer));
        answered.await.unwrap_or(Receipt::Elsewhere)
    }

    /// Serves the pages that need no target.
    async fn page(&self, parts: &Parts) -> Result<Response<Body>, Refusal> {
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

    /// The models of the settings in force.
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

    /// The addresses that a caller may use.
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

/// A JSON response.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(body::whole(bytes));
    *response.status_mut() = status;
    let media_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, media_type);
    response
}

/// The whole body of a request.
///
/// # Errors
/// It is larger than the limit, or the caller broke off.
pub async fn collect(body: Incoming, limit: usize) -> Result<Bytes, Refusal> {
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            let detail = format!("the body is over {limit} bytes");
            Err(not_run(Reason::TooLarge, detail))
        }
        Err(error) => Err(not_run(Reason::Malformed, format!("the body: {error}"))),
    }
}

/// The response to a caller, once the answer begins; `streams` tells whether its body is passed on as
/// it comes, or else as a whole.
pub(crate) async fn answered(
    mut answer: mpsc::Receiver<Part>,
    departure: Departure,
    streams: impl FnOnce(StatusCode) -> bool,
) -> Result<Response<Body>, Refusal> {
    let head = match answer.recv().await {
        Some(Part::Head(head)) => head,
        Some(Part::Refusal(refusal)) => return Err(refusal),
        Some(Part::Data(_) | Part::End) | None => return Err(stopped()),
    };
    let body = if streams(head.status) {
        body::guarded(answer, departure)
    } else {
        body::whole(gather(answer).await?)
    };
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    Ok(response)
}

/// The body of an answer that is passed on only as a whole.
async fn gather(mut answer: mpsc::Receiver<Part>) -> Result<Bytes, Refusal> {
    let mut whole = Vec::new();
    loop {
        match answer.recv().await {
            Some(Part::Data(bytes)) if whole.is_empty() => whole = Vec::from(bytes),
            Some(Part::Data(bytes)) => whole.extend_from_slice(&bytes),
            Some(Part::End) => return Ok(whole.into()),
            Some(Part::Refusal(refusal)) => return Err(refusal),
            Some(Part::Head(_)) | None => return Err(stopped()),
        }
    }
}

/// The refusal of a request whose task is gone.
fn stopped() -> Refusal {
    Refusal {
        reason: Reason::TargetFailed,
        run: cornelhitch_types::refusal::Run::Unknown,
        retry_after: None,
        detail: "this process stopped before the answer was whole".into(),
    }
}
