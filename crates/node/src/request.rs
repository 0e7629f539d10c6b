//! Reads a caller's HTTP request and prepares it for the core and the target.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use cornelhitch_entry::event::{CallId, Request, RequestedResource};
use cornelhitch_entry::fingerprint;
use cornelhitch_target::client::ApiFormat;
use cornelhitch_types::id::Name;
use cornelhitch_types::model::Reference;
use cornelhitch_types::refusal::{Reason, Refusal};
use http::request::Parts;
use http::{HeaderMap, Method};
use serde::Deserialize;

use crate::exchange::Payload;
use crate::header;
use crate::problem::not_run;

/// The path prefix of requests to plain services; the service's name follows.
pub const SERVICE_PATH_PREFIX: &str = "/services/";

/// The longest deadline that a caller may set.
const MAX_DEADLINE: Duration = Duration::from_hours(24);

/// Maximum length of a caller, class or key, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// Bytes of a prompt between two prefix digests.
const PREFIX_BLOCK_BYTES: usize = 256;

/// Maximum number of prefix digests of one prompt.
const MAX_PREFIXES: usize = 32;

/// The endpoint that a request's path selects.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Endpoint {
    /// A model, called through the API of the path.
    Model(ApiFormat),
    /// A plain service.
    Service {
        /// The service's name.
        name: Name,
        /// Path and query below the service's own path.
        path: String,
    },
}

/// The fields that are read from a model request's JSON.
#[derive(Debug, Deserialize)]
struct Envelope {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    user: Option<String>,
}

impl Endpoint {
    /// Returns the endpoint for a request's path, or `None` if the path is for no model or service.
    ///
    /// # Errors
    /// Returns a refusal if the method is wrong for the path.
    pub fn of(parts: &Parts) -> Option<Result<Self, Refusal>> {
        let path = parts.uri.path();
        if let Ok(form) = ApiFormat::from_str(path) {
            return Some(if parts.method == Method::POST {
                Ok(Self::Model(form))
            } else {
                let detail = format!("{path} takes POST, not {}", parts.method);
                Err(not_run(Reason::Malformed, detail))
            });
        }
        let rest = path.strip_prefix(SERVICE_PATH_PREFIX)?;
        let (name, below) = rest.split_once('/').unwrap_or((rest, ""));
        let query = parts.uri.query().map(|query| format!("?{query}"));
        Some(Ok(Self::Service {
            name: name.into(),
            path: format!("/{below}{}", query.unwrap_or_default()),
        }))
    }
}

/// Reads a request with its complete body.
///
/// Whether its class, model and service exist is checked by the core, which knows whether this host
/// has settings at all.
///
/// # Errors
/// Returns a refusal that names the wrong header or field.
pub fn read(
    id: CallId,
    endpoint: Endpoint,
    parts: &Parts,
    body: Bytes,
    from: SocketAddr,
) -> Result<(Request, Payload), Refusal> {
    let (mut request, payload) = match endpoint {
        Endpoint::Model(form) => model(id, form, body)?,
        Endpoint::Service { name, path } => service(id, name, path, parts, body),
    };
    let headers = &parts.headers;
    if let Some(caller) = name_header(headers, header::CALLER)? {
        request.caller = caller;
    } else if request.caller.is_empty() {
        request.caller = from.ip().to_string().into();
    }
    request.class = name_header(headers, header::CLASS)?;
    request.key = name_header(headers, header::KEY)?;
    request.deadline = deadline(headers)?;
    Ok((request, payload))
}

/// Reads a request to a model.
fn model(id: CallId, form: ApiFormat, body: Bytes) -> Result<(Request, Payload), Refusal> {
    let envelope: Envelope = serde_json::from_slice(&body)
        .map_err(|error| not_run(Reason::Malformed, format!("the body: {error}")))?;
    let reference: Reference = envelope
        .model
        .parse()
        .map_err(|error| not_run(Reason::Malformed, format!("model: {error}")))?;
    let what = RequestedResource::Model(reference.clone());
    let caller = envelope.user.unwrap_or_default();
    let mut request = Request::new(id, caller, what);
    request.fingerprint = fingerprint::of(&request.what, &body);
    request.digest = fingerprint::digest(&request.what, &body);
    request.prefixes = prefixes(&body);
    request.streaming = envelope.stream;
    request.bytes = body.len() as u64;
    let payload = Payload::Model {
        model: reference,
        form,
        body,
        stream: envelope.stream,
    };
    Ok((request, payload))
}

/// Reads a request to a plain service.
fn service(id: CallId, name: Name, path: String, parts: &Parts, body: Bytes) -> (Request, Payload) {
    let method = parts.method.as_str().into();
    let mut request = Request::new(id, "", RequestedResource::Service { name, method });
    // The path selects what the service does, so it is part of the digest.
    let content = [path.as_bytes(), &[0], &body].concat();
    request.fingerprint = fingerprint::of(&request.what, &content);
    request.digest = fingerprint::digest(&request.what, &content);
    request.bytes = body.len() as u64;
    let mut headers = parts.headers.clone();
    for hop in header::HOP_BY_HOP {
        headers.remove(*hop);
    }
    headers.remove(http::header::HOST);
    let payload = Payload::Service {
        method: parts.method.clone(),
        path,
        headers,
        body,
    };
    (request, payload)
}

/// Reads a header that holds a name; `None` if there is no such header.
fn name_header(headers: &HeaderMap, header: &'static str) -> Result<Option<Name>, Refusal> {
    let Some(value) = headers.get(header) else {
        return Ok(None);
    };
    let malformed = |what: &str| not_run(Reason::Malformed, format!("{header}: {what}"));
    let text = value.to_str().map_err(|_| malformed("it is not text"))?;
    if text.is_empty() {
        return Err(malformed("it is empty"));
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(malformed("it is longer than 256 bytes"));
    }
    Ok(Some(text.into()))
}

/// Reads the deadline header.
fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, Refusal> {
    let Some(value) = headers.get(header::DEADLINE) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    let milliseconds = text.parse::<u64>().ok().map(Duration::from_millis);
    match milliseconds {
        Some(deadline) if !deadline.is_zero() && deadline <= MAX_DEADLINE => Ok(Some(deadline)),
        _ => {
            let detail = format!(
                "{}: {text:?} is not a number of milliseconds from 1 to {}",
                header::DEADLINE,
                MAX_DEADLINE.as_millis()
            );
            Err(not_run(Reason::Malformed, detail))
        }
    }
}

/// Returns digests of the prefixes of a body, block by block, shortest first.
fn prefixes(body: &[u8]) -> Vec<u64> {
    let mut hasher = std::hash::DefaultHasher::new();
    let digest = |block: &[u8]| {
        use std::hash::Hasher;
        hasher.write(block);
        hasher.finish()
    };
    body.chunks_exact(PREFIX_BLOCK_BYTES)
        .take(MAX_PREFIXES)
        .map(digest)
        .collect()
}
