//! Helpers shared by the integration tests.

#![allow(
    dead_code,
    reason = "each test file is its own crate and uses only some of the helpers"
)]

use std::net::SocketAddr;
use std::time::Duration;

use cornelhitch_standin::engine::Engine;
use cornelhitch_target::client::{ApiFormat, Client, GenerateRequest, Part};
use cornelhitch_target::error::Error;
use cornelhitch_target::http::Http;
use cornelhitch_types::model::Reference;
use cornelhitch_types::order::{Action, Order, Outcome, Reply};
use cornelhitch_types::target::Stage;
use futures_util::StreamExt;

/// Request body of all tests.
pub const BODY: &[u8] = br#"{"model":"report","messages":[],"max_tokens":6}"#;

/// Number of tokens that [`BODY`] requests.
pub const TOKENS: u64 = 6;

/// Longer than any successful operation, so a test fails by its result and not by its run time.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// Returns the model of all tests.
pub fn model() -> Reference {
    Reference::base("report")
}

/// Starts an engine with short delays.
pub async fn engine(settings: impl FnOnce(Builder) -> Builder) -> Engine {
    let fast = Duration::from_millis(1);
    let builder = Engine::builder()
        .token_time(fast)
        .prefill(fast)
        .restart_delay(fast)
        .stage("report", Stage::Memory);
    let token = tokio_util::sync::CancellationToken::new();
    settings(builder)
        .start(token)
        .await
        .expect("a port should be free")
}

pub use cornelhitch_standin::settings::Builder;

/// Returns an order for the engine's current incarnation.
pub fn order(engine: &Engine, fence: u64, replica: u64, action: Action) -> Order {
    Order {
        fence,
        target: "worker".into(),
        incarnation: engine.incarnation(),
        replica,
        after: None,
        action,
    }
}

/// Returns the action that loads the model.
pub fn load(bytes: u64) -> Action {
    let model = model();
    Action::Load { model, bytes }
}

/// Sends an order and returns its outcome.
pub async fn send(address: SocketAddr, order: &Order) -> Outcome {
    let http = Http::default();
    http.order(address, order, TIMEOUT, Box::new(|| true)).await
}

/// Loads the model and waits until it is ready.
pub async fn load_model(engine: &Engine) {
    let order = order(engine, 1, 1, load(1 << 20));
    let outcome = send(engine.address(), &order).await;
    assert_eq!(outcome, Outcome::Answered(Reply::Accepted));
    wait_until(|| {
        engine
            .inventory()
            .iter()
            .any(|copy| copy.stage == Stage::Ready)
    })
    .await;
}

/// Waits until a condition holds; panics after [`TIMEOUT`], which is far longer than needed.
pub async fn wait_until(holds: impl Fn() -> bool) {
    let wait = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, wait)
        .await
        .expect("condition should hold before the timeout");
}

/// Returns a streamed or plain request for the model.
pub fn generate(id: &str, stream: bool, resume_from: Option<u64>) -> GenerateRequest {
    GenerateRequest {
        request: id.into(),
        replica: 1,
        model: model(),
        form: ApiFormat::Chat,
        body: BODY.into(),
        stream,
        priority: 1,
        resume_from,
        deadline: Some(TIMEOUT),
    }
}

/// The result of a generation request.
#[derive(Debug)]
pub struct Collected {
    /// The text received, also if an error followed.
    pub text: String,
    /// The error that ended the request.
    pub error: Option<Error>,
}

/// Sends a generation request and reads its response to the end.
pub async fn collect(address: SocketAddr, generate: GenerateRequest) -> Collected {
    let http = Http::default();
    let mut text = String::new();
    let answer = http.generate(address, generate, Box::new(|| true)).await;
    let mut parts = match answer {
        Ok(answer) => answer.parts,
        Err(error) => {
            let error = Some(error);
            return Collected { text, error };
        }
    };
    while let Some(part) = parts.next().await {
        match part {
            Ok(Part::Event { bytes, .. }) => text += &content(&bytes),
            Ok(Part::Done { bytes }) if bytes.starts_with(b"{") => text += &content(&bytes),
            Ok(Part::Done { .. }) => return Collected { text, error: None },
            Err(error) => {
                let error = Some(error);
                return Collected { text, error };
            }
        }
    }
    Collected { text, error: None }
}

/// Returns the generated text in an event or a complete response.
fn content(bytes: &[u8]) -> String {
    let text = std::str::from_utf8(bytes).expect("UTF-8");
    let json = &text[text.find('{').expect("JSON")..];
    let json: serde_json::Value = serde_json::from_str(json.trim_end()).expect("JSON");
    let choice = &json["choices"][0];
    let content = choice["delta"]["content"].as_str();
    let content = content.or(choice["message"]["content"].as_str());
    content.expect("choice should have text content").to_owned()
}
