//! Bodies of requests and answers.

use std::io;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use tokio::sync::mpsc;

use cornelhitch_target::message::{REQUEST_ID, RUN};
use cornelhitch_types::refusal::Run;

/// The largest body of a request in bytes.
const LIMIT: usize = 64 << 20;

/// The body of an answer; its error breaks the connection.
pub type Body = BoxBody<Bytes, io::Error>;

/// A piece of a streamed body.
pub type Piece = Result<Frame<Bytes>, io::Error>;

/// A body that is there already.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// A body that comes piece by piece.
pub fn streamed(pieces: mpsc::Receiver<Piece>) -> Body {
    let pieces = futures_util::stream::unfold(pieces, |mut pieces| async {
        pieces.recv().await.map(|piece| (piece, pieces))
    });
    BodyExt::boxed(StreamBody::new(pieces))
}

/// Reads a request's body; empty where it breaks off or is too large.
pub async fn read(body: Incoming) -> Option<Bytes> {
    let whole = Limited::new(body, LIMIT).collect().await;
    whole.ok().map(http_body_util::Collected::to_bytes)
}

/// An answer with a status and a body.
pub fn answer(status: StatusCode, kind: &'static str, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full(body));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static(kind);
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

/// An error that says whether the request ran.
pub fn problem(status: StatusCode, run: Run, detail: &str) -> Response<Body> {
    let body = serde_json::json!({ "status": status.as_u16(), "detail": detail, "run": run });
    let mut response = answer(status, "application/problem+json", body.to_string());
    if let Ok(run) = HeaderValue::from_str(&run.to_string()) {
        response.headers_mut().insert(RUN, run);
    }
    response
}

/// Repeats the request's id in its answer.
pub fn echo(response: &mut Response<Body>, request: &HeaderMap) {
    if response.headers().contains_key(REQUEST_ID) {
        return;
    }
    if let Some(id) = request.get(REQUEST_ID) {
        response.headers_mut().insert(REQUEST_ID, id.clone());
    }
}
