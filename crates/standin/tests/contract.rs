//! Sends every example of `docs/INTERFACES.md` and checks the response that the page shows.

mod common;
mod interface_page;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use common::wait_until;
use cornelhitch_standin::engine::Engine;
use cornelhitch_standin::service::Service;
use cornelhitch_target::client::{
    ApiFormat, Client, GenerateRequest, KvCache, Part, ServiceRequest,
};
use cornelhitch_target::http::{Http, Reuse};
use cornelhitch_target::inbound::{Json, Protocol, Receipt};
use cornelhitch_types::order::{Order, Outcome};
use cornelhitch_types::target::Stage;
use futures_util::StreamExt;
use http::Method;
use http_body_util::{BodyExt, Full};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use interface_page::{Exchange, Message};
use tokio_util::sync::CancellationToken;

/// Path prefix of the messages from targets to entry hosts.
const INBOUND: &str = "/v1/targets/";

/// Reads the examples of the interface page; panics if a request has no response.
fn documented_exchanges() -> Vec<Exchange> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/INTERFACES.md");
    let page = std::fs::read_to_string(path).expect("interface page should be readable");
    interface_page::exchanges(&page)
}

#[test]
fn messages_to_entry_hosts_are_decoded_and_acknowledged_as_documented() {
    let all = documented_exchanges();
    let inbound: Vec<_> = all
        .iter()
        .filter(|e| e.request.path().starts_with(INBOUND))
        .collect();
    assert_eq!(inbound.len(), 5);
    for exchange in inbound {
        let request = &exchange.request;
        assert!(Json.handles_path(request.path()));
        let message = Json.decode(&request.method(), request.path(), &request.body);
        let answer = Json.response("", message.map(|_| Receipt::Accepted));
        let (head, body) = answer.into_parts();
        exchange
            .response
            .assert_matches(&exchange.name, &Message::from_response(&head, body));
    }
}

#[tokio::test]
async fn fakes_respond_as_documented() {
    let worker = start_worker().await;
    let bids = Service::builder().name("auction-1").service("bids");
    let bids = bids
        .start(CancellationToken::new())
        .await
        .expect("a port should be free");
    let outbound = documented_exchanges();
    let outbound = outbound
        .iter()
        .filter(|e| !e.request.path().starts_with(INBOUND));
    let mut sent = 0;
    for exchange in outbound {
        let service = exchange.request.path().starts_with("/lots/");
        let address = if service {
            bids.address()
        } else {
            worker.address()
        };
        let answer = exchange_raw(address, &exchange.request).await;
        exchange.response.assert_matches(&exchange.name, &answer);
        sent += 1;
        match exchange.name.as_str() {
            "load" => wait_until(|| lists_copy(&worker, Stage::Ready, 0)).await,
            "adapter" => wait_until(|| lists_copy(&worker, Stage::Ready, 1)).await,
            _ => (),
        }
    }
    assert_eq!(sent, 15);
    worker.stop().await;
    bids.stop();
}

#[tokio::test]
async fn the_client_sends_and_reads_as_documented() {
    let all = documented_exchanges();
    let outbound = all
        .iter()
        .filter(|e| !e.request.path().starts_with(INBOUND));
    for exchange in outbound {
        let (address, recorded) = serve_once(exchange.response.clone()).await;
        let read = client_accepts(address, exchange).await;
        let recorded = recorded
            .lock()
            .expect("mutex should not be poisoned")
            .take()
            .expect("a request");
        exchange.request.assert_matches(&exchange.name, &recorded);
        assert!(
            read,
            "{}: the client does not read the documented response",
            exchange.name
        );
    }
}

/// Starts the engine that the examples address.
async fn start_worker() -> Engine {
    let fast = Duration::from_millis(1);
    let builder = Engine::builder().name("worker-1").incarnation(7_u64);
    let builder = builder
        .token_time(fast)
        .prefill(fast)
        .stage("report", Stage::Disk);
    builder
        .start(CancellationToken::new())
        .await
        .expect("a port should be free")
}

/// Returns whether a worker lists a copy at a stage with the given number of adapters.
fn lists_copy(worker: &Engine, stage: Stage, adapters: usize) -> bool {
    let inventory = worker.inventory();
    inventory
        .iter()
        .any(|copy| copy.stage == stage && copy.adapters.len() == adapters)
}

/// Sends an example as it is, without the client, and returns the response.
async fn exchange_raw(address: SocketAddr, example: &Message) -> Message {
    let socket = tokio::net::TcpStream::connect(address)
        .await
        .expect("connect");
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(socket)).await;
    let (mut sender, connection) = handshake.expect("a connection");
    tokio::spawn(connection);
    let mut request = http::Request::builder()
        .method(example.method())
        .uri(example.path());
    for (name, value) in &example.headers {
        request = request.header(name, value);
    }
    let request = request
        .body(Full::new(example.body.clone()))
        .expect("a request");
    let answer = sender
        .send_request(request)
        .await
        .expect("request should be answered");
    let (head, body) = answer.into_parts();
    let body = body.collect().await.expect("a complete body").to_bytes();
    Message::from_response(&head, body)
}

/// The request that a server has recorded.
type RecordedRequest = Arc<Mutex<Option<Message>>>;

/// Starts a server that records one request and sends the response of an example.
async fn serve_once(response: Message) -> (SocketAddr, RecordedRequest) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port should be free");
    let address = listener.local_addr().expect("an address");
    let recorded = RecordedRequest::default();
    let kept = Arc::clone(&recorded);
    tokio::spawn(async move {
        let (socket, _) = listener.accept().await.expect("a connection");
        let service = service_fn(move |request: http::Request<hyper::body::Incoming>| {
            let (kept, response) = (Arc::clone(&kept), response.clone());
            async move {
                let (head, body) = request.into_parts();
                let body = body.collect().await?.to_bytes();
                *kept.lock().expect("mutex should not be poisoned") =
                    Some(Message::from_request(&head, body));
                Ok::<_, hyper::Error>(response.to_response().map(Full::new))
            }
        });
        let server = hyper::server::conn::http1::Builder::new();
        drop(server.serve_connection(TokioIo::new(socket), service).await);
    });
    (address, recorded)
}

/// Sends an example with the client; returns whether it reads the documented response.
async fn client_accepts(address: SocketAddr, exchange: &Exchange) -> bool {
    let http = Http::default();
    let request = &exchange.request;
    let path = request.path();
    match path {
        "/v1/orders" => {
            let order: Order = serde_json::from_slice(&request.body).expect("an order");
            let gate = Box::new(|| true);
            let outcome = http.order(address, &order, common::TIMEOUT, gate).await;
            let reply = serde_json::from_slice(&exchange.response.body)
                .expect("request should be answered");
            outcome == Outcome::Answered(reply)
        }
        "/v1/kv" => transfer_kv(&http, address, exchange).await,
        _ if path.starts_with("/v1/requests/") => {
            let id = request.text("x-request-id").into();
            http.cancel(address, &id).await.is_ok()
        }
        _ if path.starts_with("/lots/") => call_service(&http, address, exchange).await,
        _ => generate(&http, address, exchange).await,
    }
}

/// Exports or imports a KV cache.
async fn transfer_kv(http: &Http, address: SocketAddr, exchange: &Exchange) -> bool {
    let request = &exchange.request;
    let cache = KvCache {
        request: request.text("x-request-id").into(),
        replica: request.number("x-replica").expect("a replica"),
        model: request.text("x-model").parse().expect("a model"),
        prefix: request.number("x-prefix").expect("a prefix"),
    };
    let succeeds = exchange.response.start.contains("200");
    if request.method() == Method::GET {
        return http.export(address, &cache).await.is_ok() == succeeds;
    }
    let imported = http.import(address, &cache, request.body.clone()).await;
    imported.is_ok() == succeeds
}

/// Calls a plain service.
async fn call_service(http: &Http, address: SocketAddr, exchange: &Exchange) -> bool {
    let request = &exchange.request;
    let mut headers = http::HeaderMap::new();
    let key = request.text("idempotency-key").parse().expect("a key");
    headers.insert("idempotency-key", key);
    let call = ServiceRequest {
        request: request.text("x-request-id").into(),
        method: request.method(),
        path: request.path().to_owned(),
        headers,
        body: request.body.clone(),
        reuse: Reuse::No,
        deadline: request.number("x-deadline-ms").map(Duration::from_millis),
    };
    let reply = http.call(address, call, Box::new(|| true)).await;
    reply.expect("request should be answered").body == exchange.response.body
}

/// Requests a generation and compares the joined parts with the documented body.
async fn generate(http: &Http, address: SocketAddr, exchange: &Exchange) -> bool {
    let request = &exchange.request;
    let generate = GenerateRequest {
        request: request.text("x-request-id").into(),
        replica: request.number("x-replica").expect("a replica"),
        model: request.text("x-model").parse().expect("a model"),
        form: request.path().parse::<ApiFormat>().expect("a form"),
        body: request.body.clone(),
        stream: request.text("accept") == "text/event-stream",
        priority: u32::try_from(request.number("x-priority").expect("a priority"))
            .expect("priority should fit into 32 bits"),
        resume_from: request.number("x-resume-from"),
        deadline: request.number("x-deadline-ms").map(Duration::from_millis),
    };
    let answer = http.generate(address, generate, Box::new(|| true)).await;
    let Ok(answer) = answer else {
        return !exchange.response.start.contains("200");
    };
    let parts = answer.parts.map(|part| match part.expect("a part") {
        Part::Event { bytes, .. } | Part::Done { bytes } => bytes,
    });
    let parts: Vec<Bytes> = parts.collect().await;
    parts.concat() == exchange.response.body
}
