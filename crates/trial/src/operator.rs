//! An operator of a trial's cluster.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

use crate::cluster::{Cluster, TOKEN};

/// Time after which an operator gives up on a host that says nothing.
const PATIENCE: Duration = Duration::from_secs(12);

/// One call of an operator; `Null` where there was no answer.
pub async fn call(host: SocketAddr, method: &str, path: &str, body: &Value) -> Value {
    let calling = tokio::time::timeout(PATIENCE, ask(host, method, path, body));
    calling.await.unwrap_or_default()
}

/// One call of an operator.
async fn ask(host: SocketAddr, method: &str, path: &str, body: &Value) -> Value {
    let body = if body.is_null() {
        Bytes::new()
    } else {
        Bytes::from(body.to_string())
    };
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{host}{path}"))
        .header("authorization", format!("Bearer {TOKEN}"))
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

/// Replicas that were ever decided, by model, as the leader tells.
pub async fn decided(cluster: &Cluster) -> BTreeMap<String, u64> {
    let host = cluster.hosts[0].addresses.operators;
    let status = call(host, "GET", "/status", &Value::Null).await;
    let decided = &status["state"]["replicas"]["decided"];
    serde_json::from_value(decided.clone()).unwrap_or_default()
}
