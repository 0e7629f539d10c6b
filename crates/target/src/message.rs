//! Encoding of requests and decoding of responses in the HTTP protocol: paths, headers and statuses.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cornelhitch_types::order::{Order, Outcome, Reply as OrderReply};
use cornelhitch_types::refusal::Run;
use http::header::{
    ACCEPT, CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderName, RETRY_AFTER, TRANSFER_ENCODING,
};
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use http_body_util::Full;
use hyper::Request;

use crate::client::{GenerateRequest, KvCache, ServiceResponse};
use crate::error::{Error, MismatchedResponseSnafu};
use crate::pool::OutgoingRequest;

/// The id of the request, repeated in the response.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// The replica that is to answer.
pub const REPLICA: HeaderName = HeaderName::from_static("x-replica");
/// The model, version and adapter.
pub const MODEL: HeaderName = HeaderName::from_static("x-model");
/// The weight of the request; larger ones go first.
pub const PRIORITY: HeaderName = HeaderName::from_static("x-priority");
/// The number of tokens that the caller already has.
pub const RESUME_FROM: HeaderName = HeaderName::from_static("x-resume-from");
/// Time left until the caller's deadline, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Digest of a prompt prefix, in decimal.
pub const PREFIX: HeaderName = HeaderName::from_static("x-prefix");
/// In an error response: whether the request ran, as stated by the target.
pub const RUN: HeaderName = HeaderName::from_static("x-run");

/// The path that orders are posted to.
pub const ORDERS: &str = "/v1/orders";
/// Path prefix of requests in progress, followed by the request id.
pub const REQUESTS: &str = "/v1/requests/";
/// The path for fetching and sending KV caches.
pub const CACHES: &str = "/v1/kv";

/// Upper bound on the part of an error response's body that is kept, in bytes.
const MAX_DETAIL_BYTES: usize = 512;

/// Builds a request with a path, an id and a body.
pub(crate) fn plain_request(
    address: SocketAddr,
    method: Method,
    path: &str,
    id: &str,
    body: Bytes,
) -> Result<OutgoingRequest, Error> {
    let uri: http::Uri = path
        .parse()
        .map_err(|error| unsendable_error("path", format!("{error}")))?;
    let uri = http::Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query(uri.path_and_query().map_or("/", |path| path.as_str()))
        .build()
        .map_err(|error| unsendable_error("path", error.to_string()))?;
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = uri;
    let headers = request.headers_mut();
    set(headers, HOST, "host", &address.to_string())?;
    set(headers, REQUEST_ID, "request id", id)?;
    Ok(request)
}

/// Builds the request that carries an order.
pub(crate) fn order_request(address: SocketAddr, order: &Order) -> Result<OutgoingRequest, Error> {
    let body =
        serde_json::to_vec(order).map_err(|error| unsendable_error("order", error.to_string()))?;
    let id = format!("order-{}-{}", order.fence, order.replica);
    let mut request = plain_request(address, Method::POST, ORDERS, &id, body.into())?;
    let json = HeaderValue::from_static("application/json");
    request.headers_mut().insert(CONTENT_TYPE, json);
    Ok(request)
}

/// Builds a generation request.
pub(crate) fn generate_request(
    address: SocketAddr,
    generate: GenerateRequest,
) -> Result<OutgoingRequest, Error> {
    let path = generate.form.to_string();
    let id = generate.request;
    let mut request = plain_request(address, Method::POST, &path, &id, generate.body)?;
    let accept = if generate.stream {
        crate::sse::MEDIA_TYPE
    } else {
        "application/json"
    };
    let headers = request.headers_mut();
    headers.insert(ACCEPT, HeaderValue::from_static(accept));
    let json = HeaderValue::from_static("application/json");
    headers.insert(CONTENT_TYPE, json);
    headers.insert(REPLICA, generate.replica.into());
    set(headers, MODEL, "model", &generate.model.to_string())?;
    headers.insert(PRIORITY, generate.priority.into());
    if let Some(from) = generate.resume_from {
        headers.insert(RESUME_FROM, from.into());
    }
    set_deadline(headers, generate.deadline);
    Ok(request)
}

/// Builds the request that fetches or sends a KV cache.
pub(crate) fn cache_request(
    address: SocketAddr,
    method: Method,
    cache: &KvCache,
    body: Bytes,
) -> Result<OutgoingRequest, Error> {
    let mut request = plain_request(address, method, CACHES, &cache.request, body)?;
    let headers = request.headers_mut();
    headers.insert(REPLICA, cache.replica.into());
    headers.insert(PREFIX, cache.prefix.into());
    set(headers, MODEL, "model", &cache.model.to_string())?;
    Ok(request)
}

/// Sets a header from text; `field` names it in the error.
pub(crate) fn set(
    headers: &mut HeaderMap,
    name: HeaderName,
    field: &'static str,
    value: &str,
) -> Result<(), Error> {
    let value =
        HeaderValue::from_str(value).map_err(|error| unsendable_error(field, error.to_string()))?;
    headers.insert(name, value);
    Ok(())
}

/// Sets the header with the time left until the deadline, if there is one.
pub(crate) fn set_deadline(headers: &mut HeaderMap, deadline: Option<Duration>) {
    if let Some(left) = deadline {
        let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        headers.insert(DEADLINE, left_ms.into());
    }
}

/// Creates the error for a part of a request that HTTP cannot carry.
pub(crate) fn unsendable_error(field: &'static str, detail: String) -> Error {
    Error::Unsendable { field, detail }
}

/// Creates the error for a connection that broke after the request was sent.
pub(crate) fn broken_error(address: SocketAddr, error: hyper::Error) -> Error {
    let detail = error.to_string();
    drop(error);
    Error::ConnectionBroken { address, detail }
}

/// Creates the error for a connection that was lost before any byte of the request was sent.
pub(crate) fn unsent_error(address: SocketAddr, error: hyper::Error) -> Error {
    let source = std::io::Error::other(error);
    Error::Connect { address, source }
}

/// Checks that a response carries the id of the request.
pub(crate) fn check_id(
    name: &HeaderName,
    expected: Option<&HeaderValue>,
    headers: &HeaderMap,
) -> Result<(), Error> {
    let found = headers.get(name);
    if found == expected {
        return Ok(());
    }
    let text = |value: &HeaderValue| String::from_utf8_lossy(value.as_bytes()).into_owned();
    MismatchedResponseSnafu {
        expected: expected.map(text).unwrap_or_default(),
        found: found.map(text),
    }
    .fail()
}

/// Subtracted from the keep-alive time that a target states, since a request may be in transit when
/// the target closes the connection.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);

/// Upper bound on the time that an idle connection is kept, whatever its target states.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(30);

/// Returns how long a connection may stay idle according to the target's header `Keep-Alive:
/// timeout=15`, in whole seconds (RFC 2068, section 19.7.1); `None` without a valid header.
///
/// ```
/// use std::time::Duration;
///
/// use cornelhitch_target::message::keep_alive_timeout;
///
/// let mut headers = http::HeaderMap::new();
/// assert_eq!(keep_alive_timeout(&headers), None);
/// headers.insert("keep-alive", "timeout=15, max=100".parse()?);
/// assert_eq!(keep_alive_timeout(&headers), Some(Duration::from_secs(14)));
/// # Ok::<(), http::header::InvalidHeaderValue>(())
/// ```
#[must_use]
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let mut parameters = text.split(',').filter_map(|it| it.trim().split_once('='));
    let (_, seconds) = parameters.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
    let stated = Duration::from_secs(seconds.trim().parse().ok()?);
    Some(stated.saturating_sub(KEEP_ALIVE_MARGIN).min(MAX_KEEP_ALIVE))
}

/// Returns whether a response marks the end of its body.
///
/// In HTTP/1, a body with neither a length nor chunked encoding ends with its connection (RFC 9112,
/// section 6.3), so a truncated one looks complete. A transfer coding overrides a length.
pub(crate) fn is_delimited(head: &http::response::Parts) -> bool {
    if head.version >= http::Version::HTTP_2 {
        return true;
    }
    let mut codings = head.headers.get_all(TRANSFER_ENCODING).iter();
    match codings.next_back() {
        Some(last) => ends_in_chunks(last),
        None => head.headers.contains_key(CONTENT_LENGTH),
    }
}

/// Returns whether the last of the transfer codings in a header is chunked encoding.
fn ends_in_chunks(codings: &HeaderValue) -> bool {
    let last = codings.as_bytes().rsplit(|byte| *byte == b',').next();
    let last = last.unwrap_or_default().trim_ascii();
    last.eq_ignore_ascii_case(b"chunked")
}

/// Returns the outcome that a worker's response to an order implies.
pub(crate) fn order_outcome(reply: &ServiceResponse) -> Outcome {
    let parsed = serde_json::from_slice::<OrderReply>(&reply.body);
    match parsed {
        Ok(parsed) if reply.status == StatusCode::OK => Outcome::Answered(parsed),
        _ => Outcome::Unknown,
    }
}

/// Returns the response, or an error if its status is not a success.
pub(crate) fn require_success(reply: ServiceResponse) -> Result<ServiceResponse, Error> {
    if reply.status.is_success() {
        return Ok(reply);
    }
    Err(status_error(reply.status, &reply.headers, &reply.body))
}

/// Creates the error for a response with an error status.
pub(crate) fn status_error(status: StatusCode, headers: &HeaderMap, body: &[u8]) -> Error {
    let text = |name: HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    let run = text(RUN).and_then(|run| run.parse().ok());
    let seconds = text(RETRY_AFTER).and_then(|seconds| seconds.parse().ok());
    let beginning = &body[..body.len().min(MAX_DETAIL_BYTES)];
    Error::Status {
        status: status.as_u16(),
        run: run.unwrap_or(Run::Failed),
        retry_after: seconds.map(Duration::from_secs),
        detail: String::from_utf8_lossy(beginning).into_owned(),
    }
}
