//! Requests and answers in the HTTP form, as values: paths, headers and statuses.

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

use crate::client::{Cache, Generate, Reply};
use crate::error::{CrossedSnafu, Error};
use crate::pool::Outgoing;

/// The request's id, repeated in the answer.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// The replica that shall answer.
pub const REPLICA: HeaderName = HeaderName::from_static("x-replica");
/// The model, version and adapter.
pub const MODEL: HeaderName = HeaderName::from_static("x-model");
/// The weight of the request; a larger one goes first.
pub const PRIORITY: HeaderName = HeaderName::from_static("x-priority");
/// Tokens that the caller has already.
pub const RESUME_FROM: HeaderName = HeaderName::from_static("x-resume-from");
/// Time left until the caller's deadline, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Digest of a prompt prefix, in decimal.
pub const PREFIX: HeaderName = HeaderName::from_static("x-prefix");
/// In an error: whether the request ran, by the target's word.
pub const RUN: HeaderName = HeaderName::from_static("x-run");

/// Where orders go.
pub const ORDERS: &str = "/v1/orders";
/// Below it, requests in progress by their id.
pub const REQUESTS: &str = "/v1/requests/";
/// Where KV caches are fetched and handed over.
pub const CACHES: &str = "/v1/kv";

/// The start of an error's body that is kept, in bytes.
const DETAIL: usize = 512;

/// A request with a path, an id and a body.
pub(crate) fn plain_request(
    address: SocketAddr,
    method: Method,
    path: &str,
    id: &str,
    body: Bytes,
) -> Result<Outgoing, Error> {
    let uri: http::Uri = path
        .parse()
        .map_err(|error| unsendable("path", format!("{error}")))?;
    let uri = http::Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query(uri.path_and_query().map_or("/", |path| path.as_str()))
        .build()
        .map_err(|error| unsendable("path", error.to_string()))?;
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = uri;
    let headers = request.headers_mut();
    set(headers, HOST, "host", &address.to_string())?;
    set(headers, REQUEST_ID, "request id", id)?;
    Ok(request)
}

/// The request that carries an order.
pub(crate) fn order_request(address: SocketAddr, order: &Order) -> Result<Outgoing, Error> {
    let body = serde_json::to_vec(order).map_err(|error| unsendable("order", error.to_string()))?;
    let id = format!("order-{}-{}", order.fence, order.replica);
    let mut request = plain_request(address, Method::POST, ORDERS, &id, body.into())?;
    let json = HeaderValue::from_static("application/json");
    request.headers_mut().insert(CONTENT_TYPE, json);
    Ok(request)
}

/// The request that asks a model.
pub(crate) fn generate_request(address: SocketAddr, generate: Generate) -> Result<Outgoing, Error> {
    let path = generate.form.to_string();
    let id = generate.request;
    let mut request = plain_request(address, Method::POST, &path, &id, generate.body)?;
    let accept = if generate.stream {
        "text/event-stream"
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

/// The request that moves a KV cache.
pub(crate) fn cache_request(
    address: SocketAddr,
    method: Method,
    cache: &Cache,
    body: Bytes,
) -> Result<Outgoing, Error> {
    let mut request = plain_request(address, method, CACHES, &cache.request, body)?;
    let headers = request.headers_mut();
    headers.insert(REPLICA, cache.replica.into());
    headers.insert(PREFIX, cache.prefix.into());
    set(headers, MODEL, "model", &cache.model.to_string())?;
    Ok(request)
}

/// Sets a header from text.
pub(crate) fn set(
    headers: &mut HeaderMap,
    name: HeaderName,
    field: &'static str,
    value: &str,
) -> Result<(), Error> {
    let value =
        HeaderValue::from_str(value).map_err(|error| unsendable(field, error.to_string()))?;
    headers.insert(name, value);
    Ok(())
}

/// Sets the header with the time that is left.
pub(crate) fn set_deadline(headers: &mut HeaderMap, deadline: Option<Duration>) {
    if let Some(left) = deadline {
        let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        headers.insert(DEADLINE, left.into());
    }
}

/// The request has a part that HTTP cannot carry.
pub(crate) fn unsendable(field: &'static str, detail: String) -> Error {
    Error::Unsendable { field, detail }
}

/// The connection broke after the request was handed over.
pub(crate) fn broken(address: SocketAddr, error: hyper::Error) -> Error {
    let detail = error.to_string();
    drop(error);
    Error::Broken { address, detail }
}

/// The connection was lost before anything of the request was handed to it.
pub(crate) fn unsent(address: SocketAddr, error: hyper::Error) -> Error {
    let source = std::io::Error::other(error);
    Error::Connect { address, source }
}

/// Checks that an answer names the request that was asked.
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
    CrossedSnafu {
        expected: expected.map(text).unwrap_or_default(),
        found: found.map(text),
    }
    .fail()
}

/// Off what a target says of how long it keeps a connection: a request may be on its way when it
/// closes it.
const KEPT_MARGIN: Duration = Duration::from_secs(1);

/// The longest time that a connection waits, whatever its target says.
const KEPT_LONGEST: Duration = Duration::from_secs(30);

/// How long a connection may wait for its next request by the word of the target: `Keep-Alive:
/// timeout=15` in whole seconds (RFC 2068, section 19.7.1).
///
/// ```
/// use std::time::Duration;
///
/// use cornelhitch_target::message::kept;
///
/// let mut headers = http::HeaderMap::new();
/// assert_eq!(kept(&headers), None);
/// headers.insert("keep-alive", "timeout=15, max=100".parse()?);
/// assert_eq!(kept(&headers), Some(Duration::from_secs(14)));
/// # Ok::<(), http::header::InvalidHeaderValue>(())
/// ```
#[must_use]
pub fn kept(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let mut parameters = text.split(',').filter_map(|it| it.trim().split_once('='));
    let (_, seconds) = parameters.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
    let kept = Duration::from_secs(seconds.trim().parse().ok()?);
    Some(kept.saturating_sub(KEPT_MARGIN).min(KEPT_LONGEST))
}

/// Whether an answer says where its body ends.
///
/// In HTTP/1 a body without a length and without chunks ends with its connection
/// (RFC 9112, section 6.3), so that one that broke off looks whole.
pub(crate) fn is_marked(head: &http::response::Parts) -> bool {
    head.version >= http::Version::HTTP_2
        || head.headers.contains_key(CONTENT_LENGTH)
        || head.headers.contains_key(TRANSFER_ENCODING)
}

/// What a worker's answer to an order means.
pub(crate) fn outcome(reply: &Reply) -> Outcome {
    let parsed = serde_json::from_slice::<OrderReply>(&reply.body);
    match parsed {
        Ok(parsed) if reply.status == StatusCode::OK => Outcome::Answered(parsed),
        _ => Outcome::Unknown,
    }
}

/// A reply that is no error.
pub(crate) fn success(reply: Reply) -> Result<Reply, Error> {
    if reply.status.is_success() {
        return Ok(reply);
    }
    Err(status(reply.status, &reply.headers, &reply.body))
}

/// The error that a status tells.
pub(crate) fn status(status: StatusCode, headers: &HeaderMap, body: &[u8]) -> Error {
    let text = |name: HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    let run = text(RUN).and_then(|run| run.parse().ok());
    let seconds = text(RETRY_AFTER).and_then(|seconds| seconds.parse().ok());
    let start = &body[..body.len().min(DETAIL)];
    Error::Status {
        status: status.as_u16(),
        run: run.unwrap_or(Run::Failed),
        retry_after: seconds.map(Duration::from_secs),
        detail: String::from_utf8_lossy(start).into_owned(),
    }
}
