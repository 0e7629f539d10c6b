//! The inbound interface: decoding of messages from targets, and the responses to them.

use std::net::SocketAddr;

use cornelhitch_types::id::{Incarnation, TargetId};
use cornelhitch_types::target::{AnnouncedHeartbeat, Announcement, Heartbeat, Kind, Stage};
use http::{Method, Response, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use bytes::Bytes;

/// The path for announcements of targets.
pub const ANNOUNCE: &str = "/v1/targets/announce";
/// The path for heartbeats of targets.
pub const HEARTBEAT: &str = "/v1/targets/heartbeat";
/// The path for notices of targets that leave.
pub const LEAVE: &str = "/v1/targets/leave";

/// Upper bound on the length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 256;

/// A message from a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Registers the target.
    Announcement(Announcement),
    /// Reports that the target is alive, with its load and its copies of models.
    Heartbeat(Heartbeat),
    /// The target is leaving and accepts no new work.
    Leaving(Leaving),
    /// An announcement and a heartbeat in one message.
    Presence(Box<AnnouncedHeartbeat>),
    /// The target has terminated, or is about to.
    Ended(Terminated),
}

/// Notice that a target has terminated, or is about to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Terminated {
    /// The target's name.
    pub target: TargetId,
    /// The incarnation that ended; `None` for the newest one that is known.
    pub incarnation: Option<Incarnation>,
}

/// Notice that a target is leaving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Leaving {
    /// The target's name.
    pub target: TargetId,
    /// The incarnation that is leaving.
    pub incarnation: Incarnation,
}

/// The result of a message; determines the response to the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Receipt {
    /// The message was accepted.
    Accepted,
    /// The target is not registered and must announce itself again.
    NotRegistered,
    /// This host accepts no messages now; another one does.
    Unavailable,
    /// The message was accepted; further ones should be sent to this address.
    AcceptedRedirect(SocketAddr),
    /// This host accepts no messages now; the host at this address does.
    Redirect(SocketAddr),
}

/// The reason why a message was rejected.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The path is not one of the message paths.
    #[snafu(display(
        "no message goes to {path}; targets post to {ANNOUNCE}, {HEARTBEAT} and {LEAVE}"
    ))]
    Path {
        /// The path of the request.
        path: String,
    },
    /// The method is not POST.
    #[snafu(display("{path} takes POST, not {method}"))]
    Method {
        /// The path of the request.
        path: String,
        /// The method of the request.
        method: Method,
    },
    /// The body is not valid JSON for the message.
    #[snafu(display("{field}: {source}"))]
    Json {
        /// The location in the JSON, as a path of keys.
        field: String,
        /// The parse error.
        source: serde_json::Error,
    },
    /// A field has an invalid value.
    #[snafu(display("{field}: {reason}"))]
    Value {
        /// The name of the field.
        field: &'static str,
        /// The rule that the value breaks.
        reason: &'static str,
    },
}

/// Decodes the messages that targets send; implemented for each protocol that targets speak.
pub trait Protocol: Send + Sync + 'static {
    /// Returns whether requests to this path are messages from targets.
    fn handles_path(&self, path: &str) -> bool;

    /// Decodes the message in a request.
    ///
    /// # Errors
    /// The error names the invalid field.
    fn decode(&self, method: &Method, path: &str, body: &[u8]) -> Result<Message, Error>;

    /// Returns the response to a message that was sent to `path`.
    fn response(&self, path: &str, outcome: Result<Receipt, Error>) -> Response<Bytes>;
}

/// The JSON implementation of [`Protocol`], as `docs/INTERFACES.md` specifies it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Json;

impl Protocol for Json {
    fn handles_path(&self, path: &str) -> bool {
        path.starts_with("/v1/targets/")
    }

    fn decode(&self, method: &Method, path: &str, body: &[u8]) -> Result<Message, Error> {
        let message = decode(path, body);
        if !matches!(message, Err(Error::Path { .. })) {
            let method = method.clone();
            ensure!(method == Method::POST, MethodSnafu { path, method });
        }
        message
    }

    fn response(&self, _: &str, outcome: Result<Receipt, Error>) -> Response<Bytes> {
        let (status, detail) = match &outcome {
            Ok(Receipt::Accepted | Receipt::AcceptedRedirect(_)) => {
                (StatusCode::NO_CONTENT, String::new())
            }
            Ok(Receipt::NotRegistered) => (StatusCode::GONE, "announce again".to_owned()),
            Ok(Receipt::Unavailable) => (StatusCode::SERVICE_UNAVAILABLE, "ask another".to_owned()),
            Ok(Receipt::Redirect(address)) => {
                (StatusCode::SERVICE_UNAVAILABLE, format!("ask {address}"))
            }
            Err(error @ Error::Path { .. }) => (StatusCode::NOT_FOUND, error.to_string()),
            Err(error @ Error::Method { .. }) => {
                (StatusCode::METHOD_NOT_ALLOWED, error.to_string())
            }
            Err(error) => (StatusCode::BAD_REQUEST, error.to_string()),
        };
        let mut response = Response::new(Bytes::new());
        *response.status_mut() = status;
        if !detail.is_empty() {
            let problem = Problem {
                status: status.as_u16(),
                title: status.canonical_reason().unwrap_or_default(),
                detail,
            };
            let body = serde_json::to_vec(&problem).unwrap_or_default();
            let kind = http::HeaderValue::from_static("application/problem+json");
            response
                .headers_mut()
                .insert(http::header::CONTENT_TYPE, kind);
            *response.body_mut() = body.into();
        }
        response
    }
}

/// The body of an error response (RFC 9457).
#[derive(Debug, Serialize)]
struct Problem {
    /// The HTTP status code.
    status: u16,
    /// The name of the status.
    title: &'static str,
    /// What is wrong with the request.
    detail: String,
}

/// Decodes the body of a message that was posted to `path`.
///
/// ```
/// use cornelhitch_target::inbound::{self, Message};
///
/// let body = br#"{"target": "worker-1", "incarnation": 7}"#;
/// let message = inbound::decode("/v1/targets/leave", body)?;
/// assert!(matches!(message, Message::Leaving(leaving) if leaving.incarnation == 7));
///
/// let error = inbound::decode("/v1/targets/leave", br#"{"target": 5}"#).unwrap_err();
/// assert!(error.to_string().starts_with("target: "));
/// # Ok::<(), inbound::Error>(())
/// ```
///
/// # Errors
/// The error names the invalid field.
pub fn decode(path: &str, body: &[u8]) -> Result<Message, Error> {
    match path {
        ANNOUNCE => check_announcement(parse_json(body)?),
        HEARTBEAT => check_heartbeat(parse_json(body)?),
        LEAVE => check_leaving(parse_json(body)?),
        _ => PathSnafu { path }.fail(),
    }
}

/// Parses JSON; an error names the location in the JSON.
fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    let mut reader = serde_json::Deserializer::from_slice(body);
    let value = serde_path_to_error::deserialize(&mut reader).map_err(|error| Error::Json {
        field: error.path().to_string(),
        source: error.into_inner(),
    })?;
    reader.end().context(JsonSnafu { field: "." })?;
    Ok(value)
}

/// Validates an announcement.
fn check_announcement(message: Announcement) -> Result<Message, Error> {
    check_name("target", &message.target)?;
    check_name("region", &message.region)?;
    check_name("zone", &message.zone)?;
    let worker = message.kind == Kind::Worker;
    check_value(message.address.port() != 0, "address", "the port is 0")?;
    check_value(
        !message.address.ip().is_unspecified(),
        "address",
        "it is no address that others can reach",
    )?;
    check_value(
        !worker || message.memory > 0,
        "memory",
        "a worker has memory",
    )?;
    check_value(
        !worker || message.accelerators > 0,
        "accelerators",
        "a worker has accelerators",
    )?;
    check_value(
        worker == message.services.is_empty(),
        "services",
        "a service names at least one and a worker none",
    )?;
    for service in &message.services {
        check_name("services", service)?;
    }
    Ok(Message::Announcement(message))
}

/// Checks that no name in a message that is an announcement and a heartbeat is too long.
///
/// # Errors
/// The error names the field with a name that is too long.
pub fn check_presence_names(presence: &AnnouncedHeartbeat) -> Result<(), Error> {
    let announcement = &presence.announcement;
    check_length("target", &announcement.target)?;
    check_length("zone", &announcement.zone)?;
    for service in &announcement.services {
        check_length("service", service)?;
    }
    if let Some(software) = &presence.software {
        check_length("version", software)?;
    }
    check_model_names(&presence.heartbeat)
}

/// Checks that no name of a model or adapter that a heartbeat lists is too long.
fn check_model_names(heartbeat: &Heartbeat) -> Result<(), Error> {
    for copy in &heartbeat.inventory {
        check_length("inventory.model", &copy.model.model)?;
        let adapters = copy.adapters.iter().chain(&copy.model.adapter);
        for name in adapters.chain(&copy.model.version) {
            check_length("inventory.adapters", name)?;
        }
    }
    Ok(())
}

/// Validates a heartbeat.
fn check_heartbeat(message: Heartbeat) -> Result<Message, Error> {
    check_name("target", &message.target)?;
    check_model_names(&message)?;
    for copy in &message.inventory {
        check_value(
            copy.bytes == 0 || copy.stage >= Stage::Loading,
            "inventory.bytes",
            "a copy below the stage loading takes no accelerator memory",
        )?;
    }
    let mut replicas: Vec<_> = message.inventory.iter().filter_map(|h| h.replica).collect();
    let count = replicas.len();
    replicas.sort_unstable();
    replicas.dedup();
    check_value(
        replicas.len() == count,
        "inventory.replica",
        "a replica is listed twice",
    )?;
    Ok(Message::Heartbeat(message))
}

/// Validates a leave notice.
fn check_leaving(message: Leaving) -> Result<Message, Error> {
    check_name("target", &message.target)?;
    Ok(Message::Leaving(message))
}

/// Checks that a name is not too long.
///
/// # Errors
/// The error names the field.
pub fn check_length(field: &'static str, name: &str) -> Result<(), Error> {
    let fits = name.len() <= MAX_NAME_BYTES;
    check_value(fits, field, "it is longer than 256 bytes")
}

/// Validates a name.
fn check_name(field: &'static str, name: &str) -> Result<(), Error> {
    check_value(!name.is_empty(), field, "it is empty")?;
    check_length(field, name)?;
    let plain = name.chars().all(|c| !c.is_control());
    check_value(plain, field, "it holds a control character")
}

/// Returns an error for the field unless `holds`.
fn check_value(holds: bool, field: &'static str, reason: &'static str) -> Result<(), Error> {
    holds.then_some(()).context(ValueSnafu { field, reason })
}
