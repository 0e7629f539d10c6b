//! Dispatch of HTTP requests to a fake engine.

use std::io;

use bytes::Bytes;
use cornelhitch_target::message::{CACHES, MODEL, ORDERS, PREFIX, REQUESTS};
use cornelhitch_types::order::Order;
use cornelhitch_types::refusal::Run;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::body::{self, Body};
use crate::fault::Fault;
use crate::generation::{self, GenerationRequest, header_str, header_u64};
use crate::prefix_cache::Prefix;
use crate::process::Process;

/// Size of the fake KV cache of one prefix.
const KV_CACHE_BYTES: usize = 4096;

/// Handles one request; an error aborts the connection.
pub async fn handle(process: Process, request: Request<Incoming>) -> io::Result<Response<Body>> {
    let (head, incoming) = request.into_parts();
    let Some(bytes) = body::read(incoming).await else {
        return Err(io::ErrorKind::InvalidData.into());
    };
    let path = head.uri.path();
    let mut response = match (&head.method, path) {
        (&Method::POST, ORDERS) => handle_order(&process, &bytes)?,
        (&Method::POST, "/v1/chat/completions") => {
            generate(process, &head.headers, true, bytes).await
        }
        (&Method::POST, "/v1/completions") => generate(process, &head.headers, false, bytes).await,
        (&Method::GET, CACHES) => export(&process, &head.headers),
        (&Method::PUT, CACHES) => import(&process, &head.headers, &bytes),
        (&Method::DELETE, path) if path.starts_with(REQUESTS) => {
            cancel(&process, &path[REQUESTS.len()..])
        }
        _ => body::problem(StatusCode::NOT_FOUND, Run::NotRun, "no such path"),
    };
    body::echo_request_id(&mut response, &head.headers);
    Ok(response)
}

/// Executes an order; an injected fault aborts the connection before or after the execution.
fn handle_order(process: &Process, bytes: &[u8]) -> io::Result<Response<Body>> {
    let faults = &process.shared.faults;
    if faults.take(&[Fault::LostOrder]).is_some() {
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    let order: Order = match serde_json::from_slice(bytes) {
        Ok(order) => order,
        Err(error) => return Ok(malformed(&error.to_string())),
    };
    let reply = process.execute(&order);
    if faults.take(&[Fault::LostReply]).is_some() {
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    let reply = serde_json::to_vec(&reply)?;
    Ok(body::response(StatusCode::OK, "application/json", reply))
}

/// Handles a completion request.
async fn generate(
    process: Process,
    headers: &HeaderMap,
    chat: bool,
    bytes: Bytes,
) -> Response<Body> {
    let tokens = process.shared.settings.default_tokens;
    match GenerationRequest::parse(headers, chat, bytes, tokens) {
        Ok(request) => generation::generate(process, request).await,
        Err(detail) => malformed(&detail),
    }
}

/// Cancels a running request.
fn cancel(process: &Process, id: &str) -> Response<Body> {
    let stop = process.state().requests.get(id).cloned();
    match stop {
        Some(stop) => {
            stop.cancel();
            body::response(StatusCode::OK, "application/json", "{}")
        }
        None => body::problem(StatusCode::NOT_FOUND, Run::NotRun, "no such request"),
    }
}

/// Returns the fake KV cache of a prefix.
fn export(process: &Process, headers: &HeaderMap) -> Response<Body> {
    let prefix = match prefix_of(headers) {
        Ok(prefix) => prefix,
        Err(detail) => return malformed(&detail),
    };
    if !process.state().prefixes.contains(&prefix) {
        return body::problem(StatusCode::NOT_FOUND, Run::NotRun, "no such prefix");
    }
    let kv = prefix.digest.to_le_bytes().repeat(KV_CACHE_BYTES / 8);
    body::response(StatusCode::OK, "application/octet-stream", kv)
}

/// Verifies an imported KV cache and adds its prefix.
fn import(process: &Process, headers: &HeaderMap, kv: &[u8]) -> Response<Body> {
    let prefix = match prefix_of(headers) {
        Ok(prefix) => prefix,
        Err(detail) => return malformed(&detail),
    };
    if kv != prefix.digest.to_le_bytes().repeat(KV_CACHE_BYTES / 8) {
        return malformed("the bytes are no KV cache of this prefix");
    }
    process.state().prefixes.touch(prefix);
    body::response(StatusCode::OK, "application/json", "{}")
}

/// Returns the prefix that a request's headers name.
fn prefix_of(headers: &HeaderMap) -> Result<Prefix, String> {
    let model = header_str(headers, &MODEL).ok_or("x-model is missing")?;
    let model: cornelhitch_types::model::Reference =
        model.parse().map_err(|error| format!("x-model: {error}"))?;
    let digest = header_u64(headers, &PREFIX)?.ok_or("x-prefix is missing")?;
    Ok(Prefix {
        model: model.model,
        digest,
    })
}

/// Returns the refusal of a request that cannot be parsed.
fn malformed(detail: &str) -> Response<Body> {
    body::problem(StatusCode::BAD_REQUEST, Run::NotRun, detail)
}
