//! What the tests of this package share.

#![allow(
    dead_code,
    reason = "each test file is a program of its own and uses a part"
)]

use std::net::SocketAddr;
use std::time::Duration;

use cornelhitch_standin::engine::Engine;
use cornelhitch_target::client::{Client, Form, Generate, Part};
use cornelhitch_target::error::Error;
use cornelhitch_target::http::Http;
use cornelhitch_types::model::Reference;
use cornelhitch_types::order::{Action, Order, Outcome, Reply};
use cornelhitch_types::target::Stage;
use futures_util::StreamExt;

/// The caller's JSON of all tests.
pub const BODY: &[u8] = br#"{"model":"report","messages":[],"max_tokens":6}"#;

/// Tokens that it asks for.
pub const TOKENS: u64 = 6;

/// Longer than anything that goes well; a test that needs it fails by its result, not by time.
pub const LONG: Duration = Duration::from_secs(20);

/// The model of all tests.
pub fn model() -> Reference {
    Reference::base("report")
}

/// A quick engine.
pub async fn engine(settings: impl FnOnce(Builder) -> Builder) -> Engine {
    let quick = Duration::from_millis(1);
    let builder = Engine::builder()
        .token(quick)
        .prefill(quick)
        .restart_delay(quick)
        .stage("report", Stage::Memory);
    let token = tokio_util::sync::CancellationToken::new();
    settings(builder).start(token).await.expect("a port")
}

pub use cornelhitch_standin::settings::Builder;

/// An order for the engine's life of now.
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

/// A load of the model.
pub fn load(bytes: u64) -> Action {
    let model = model();
    Action::Load { model, bytes }
}

/// Sends an order and returns what came of it.
pub async fn send(address: SocketAddr, order: &Order) -> Outcome {
    let http = Http::default();
    http.order(address, order, LONG, Box::new(|| true)).await
}

/// Loads the model and waits until it answers.
pub async fn ready(engine: &Engine) {
    let order = order(engine, 1, 1, load(1 << 20));
    let outcome = send(engine.address(), &order).await;
    assert_eq!(outcome, Outcome::Answered(Reply::Accepted));
    until(|| {
        engine
            .inventory()
            .iter()
            .any(|copy| copy.stage == Stage::Ready)
    })
    .await;
}

/// Waits until something holds, which it does long before the watchdog ends the test.
pub async fn until(holds: impl Fn() -> bool) {
    let wait = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(LONG, wait).await.expect("it comes");
}

/// A request for the model.
pub fn ask(id: &str, stream: bool, from: Option<u64>) -> Generate {
    Generate {
        request: id.into(),
        replica: 1,
        model: model(),
        form: Form::Chat,
        body: BODY.into(),
        stream,
        priority: 1,
        resume_from: from,
        deadline: Some(LONG),
    }
}

/// What came of a request.
#[derive(Debug)]
pub struct Got {
    /// The text that came, before an error too.
    pub text: String,
    /// The error that ended it.
    pub error: Option<Error>,
}

/// Asks and reads to the end.
pub async fn get(address: SocketAddr, generate: Generate) -> Got {
    let http = Http::default();
    let mut text = String::new();
    let answer = http.generate(address, generate, Box::new(|| true)).await;
    let mut parts = match answer {
        Ok(answer) => answer.parts,
        Err(error) => {
            let error = Some(error);
            return Got { text, error };
        }
    };
    while let Some(part) = parts.next().await {
        match part {
            Ok(Part::Event { bytes, .. }) => text += &content(&bytes),
            Ok(Part::Done { bytes }) if bytes.starts_with(b"{") => text += &content(&bytes),
            Ok(Part::Done { .. }) => return Got { text, error: None },
            Err(error) => {
                let error = Some(error);
                return Got { text, error };
            }
        }
    }
    Got { text, error: None }
}

/// The text in an event or a whole answer.
fn content(bytes: &[u8]) -> String {
    let text = std::str::from_utf8(bytes).expect("UTF-8");
    let json = &text[text.find('{').expect("JSON")..];
    let json: serde_json::Value = serde_json::from_str(json.trim_end()).expect("JSON");
    let choice = &json["choices"][0];
    let content = choice["delta"]["content"].as_str();
    let content = content.or(choice["message"]["content"].as_str());
    content.expect("a content").to_owned()
}
