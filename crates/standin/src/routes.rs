//! What an engine does with each HTTP request.

use std::io;

use bytes::Bytes;
use cornelhitch_target::message::{CACHES, MODEL, ORDERS, PREFIX, REQUESTS};
use cornelhitch_types::order::Order;
use cornelhitch_types::refusal::Run;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::answer::{self, Ask, number, text_of};
use crate::body::{self, Body};
use crate::fault::Fault;
use crate::life::Life;
use crate::prefixes::Prefix;

/// Bytes of a stand-in's KV cache, a prefix.
const KV: usize = 4096;

/// Answers one request; an error breaks the connection.
pub async fn handle(life: Life, request: Request<Incoming>) -> io::Result<Response<Body>> {
    let (head, incoming) = request.into_parts();
    let Some(bytes) = body::read(incoming).await else {
        return Err(io::ErrorKind::InvalidData.into());
    };
    let path = head.uri.path();
    let mut response = match (&head.method, path) {
        (&Method::POST, ORDERS) => order(&life, &bytes)?,
        (&Method::POST, "/v1/chat/completions") => ask(life, &head.headers, true, bytes).await,
        (&Method::POST, "/v1/completions") => ask(life, &head.headers, false, bytes).await,
        (&Method::GET, CACHES) => export(&life, &head.headers),
        (&Method::PUT, CACHES) => import(&life, &head.headers, &bytes),
        (&Method::DELETE, path) if path.starts_with(REQUESTS) => {
            cancel(&life, &path[REQUESTS.len()..])
        }
        _ => body::problem(StatusCode::NOT_FOUND, Run::NotRun, "no such path"),
    };
    body::echo(&mut response, &head.headers);
    Ok(response)
}

/// Takes an order.
fn order(life: &Life, bytes: &[u8]) -> io::Result<Response<Body>> {
    let faults = &life.shared.faults;
    if faults.take(&[Fault::LostOrder]).is_some() {
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    let order: Order = match serde_json::from_slice(bytes) {
        Ok(order) => order,
        Err(error) => return Ok(malformed(&error.to_string())),
    };
    let reply = life.obey(&order);
    if faults.take(&[Fault::LostReply]).is_some() {
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    let reply = serde_json::to_vec(&reply)?;
    Ok(body::answer(StatusCode::OK, "application/json", reply))
}

/// Takes a generation request.
async fn ask(life: Life, headers: &HeaderMap, chat: bool, bytes: Bytes) -> Response<Body> {
    let tokens = life.shared.settings.tokens;
    match Ask::read(headers, chat, bytes, tokens) {
        Ok(ask) => answer::generate(life, ask).await,
        Err(detail) => malformed(&detail),
    }
}

/// Stops a request.
fn cancel(life: &Life, id: &str) -> Response<Body> {
    let stop = life.state().requests.get(id).cloned();
    match stop {
        Some(stop) => {
            stop.cancel();
            body::answer(StatusCode::OK, "application/json", "{}")
        }
        None => body::problem(StatusCode::NOT_FOUND, Run::NotRun, "no such request"),
    }
}

/// Gives out a KV cache.
fn export(life: &Life, headers: &HeaderMap) -> Response<Body> {
    let prefix = match prefix(headers) {
        Ok(prefix) => prefix,
        Err(detail) => return malformed(&detail),
    };
    if !life.state().prefixes.holds(&prefix) {
        return body::problem(StatusCode::NOT_FOUND, Run::NotRun, "no such prefix");
    }
    let kv = prefix.digest.to_le_bytes().repeat(KV / 8);
    body::answer(StatusCode::OK, "application/octet-stream", kv)
}

/// Takes a KV cache in.
fn import(life: &Life, headers: &HeaderMap, kv: &[u8]) -> Response<Body> {
    let prefix = match prefix(headers) {
        Ok(prefix) => prefix,
        Err(detail) => return malformed(&detail),
    };
    if kv != prefix.digest.to_le_bytes().repeat(KV / 8) {
        return malformed("the bytes are no KV cache of this prefix");
    }
    life.state().prefixes.touch(prefix);
    body::answer(StatusCode::OK, "application/json", "{}")
}

/// The prefix that a request's headers name.
fn prefix(headers: &HeaderMap) -> Result<Prefix, String> {
    let model = text_of(headers, &MODEL).ok_or("x-model is missing")?;
    let model: cornelhitch_types::model::Reference =
        model.parse().map_err(|error| format!("x-model: {error}"))?;
    let digest = number(headers, &PREFIX)?.ok_or("x-prefix is missing")?;
    Ok(Prefix {
        model: model.model,
        digest,
    })
}

/// The refusal of a request that cannot be read.
fn malformed(detail: &str) -> Response<Body> {
    body::problem(StatusCode::BAD_REQUEST, Run::NotRun, detail)
}
