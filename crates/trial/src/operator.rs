//! Client for the operators' interface of a host.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

use crate::cluster::{Cluster, OPERATOR_TOKEN};

/// Timeout of one call, including the response body.
const CALL_TIMEOUT: Duration = Duration::from_secs(12);

/// Sends a request with the operators' token and returns the JSON response body, whatever the
/// status. A `Null` body is sent as an empty one.
///
/// Returns `Null` if the call fails, times out or does not return JSON.
pub async fn call(host: SocketAddr, method: &str, path: &str, body: &Value) -> Value {
    let answer = tokio::time::timeout(CALL_TIMEOUT, send(host, method, path, body));
    answer.await.unwrap_or_default()
}

/// Sends a request without a timeout.
async fn send(host: SocketAddr, method: &str, path: &str, body: &Value) -> Value {
    let body = if body.is_null() {
        Bytes::new()
    } else {
        Bytes::from(body.to_string())
    };
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{host}{path}"))
        .header("authorization", format!("Bearer {OPERATOR_TOKEN}"))
        .body(Full::new(body));
    let Ok(request) = request else {
        return Value::Null;
    };
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let Ok(response) = client.request(request).await else {
        return Value::Null;
    };
    let body = response.into_body().collect().await;
    let body = body.map(http_body_util::Collected::to_bytes);
    let value = body
        .ok()
        .and_then(|body| serde_json::from_slice(&body).ok());
    value.unwrap_or_default()
}

/// Returns the total number of replicas decided so far for each model, as reported by the leader
/// through the first host. Empty if the call fails.
pub async fn replicas_decided(cluster: &Cluster) -> BTreeMap<String, u64> {
    let host = cluster.hosts[0].addresses.operators;
    let status = call(host, "GET", "/status", &Value::Null).await;
    let decided = &status["state"]["replicas"]["decided"];
    serde_json::from_value(decided.clone()).unwrap_or_default()
}
