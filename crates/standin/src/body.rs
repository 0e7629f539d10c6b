//! HTTP bodies of requests and responses.

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

/// Larger request bodies are refused.
const MAX_BODY_BYTES: usize = 64 << 20;

/// A response body; an error in it aborts the connection.
pub type Body = BoxBody<Bytes, io::Error>;

/// A chunk of a streamed body.
pub type Chunk = Result<Frame<Bytes>, io::Error>;

/// Returns a body that is complete in memory.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// Returns a body that is sent chunk by chunk as the channel delivers.
pub fn streamed(chunks: mpsc::Receiver<Chunk>) -> Body {
    let chunks = futures_util::stream::unfold(chunks, |mut chunks| async {
        chunks.recv().await.map(|chunk| (chunk, chunks))
    });
    BodyExt::boxed(StreamBody::new(chunks))
}

/// Reads a request body; `None` if it is truncated or larger than [`MAX_BODY_BYTES`].
pub async fn read(body: Incoming) -> Option<Bytes> {
    let collected = Limited::new(body, MAX_BODY_BYTES).collect().await;
    collected.ok().map(http_body_util::Collected::to_bytes)
}

/// Returns a response with a status, a content type and a body.
pub fn response(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> Response<Body> {
    let mut response = Response::new(full(body));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Returns a problem document that states whether the request ran, in its body and in a header.
pub fn problem(status: StatusCode, run: Run, detail: &str) -> Response<Body> {
    let body = serde_json::json!({ "status": status.as_u16(), "detail": detail, "run": run });
    let mut response = response(status, "application/problem+json", body.to_string());
    if let Ok(run) = HeaderValue::from_str(&run.to_string()) {
        response.headers_mut().insert(RUN, run);
    }
    response
}

/// Copies the request id into the response unless the response has one already.
pub fn echo_request_id(response: &mut Response<Body>, request: &HeaderMap) {
    if response.headers().contains_key(REQUEST_ID) {
        return;
    }
    if let Some(id) = request.get(REQUEST_ID) {
        response.headers_mut().insert(REQUEST_ID, id.clone());
    }
}
