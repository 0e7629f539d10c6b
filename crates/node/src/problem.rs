//! Refusals as `application/problem+json` documents (RFC 9457).

use cornelhitch_types::refusal::{Reason, Refusal, Run};
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use serde::Serialize;

use crate::body::{self, Body};

/// The media type of RFC 9457.
const MEDIA_TYPE: HeaderValue = HeaderValue::from_static("application/problem+json");

/// The prefix of the problem type; the reason follows.
const TYPE_PREFIX: &str = "urn:cornelhitch:refusal:";

/// A problem document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// The problem type, as a URN.
    #[serde(rename = "type")]
    pub kind: String,
    /// A summary that is the same for all problems of the type.
    pub title: &'static str,
    /// The HTTP status.
    pub status: u16,
    /// What was wrong with this request.
    pub detail: String,
    /// Whether the request ran.
    pub run: Run,
    /// After how many seconds to retry; `None` if a retry cannot help.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<u64>,
}

/// The HTTP status and title for a reason.
struct Row {
    reason: Reason,
    status: StatusCode,
    title: &'static str,
}

/// The status and title for each reason.
#[rustfmt::skip]
const ROWS: &[Row] = &[
    Row { reason: Reason::Malformed, status: StatusCode::BAD_REQUEST, title: "The request is malformed." },
    Row { reason: Reason::TooLarge, status: StatusCode::PAYLOAD_TOO_LARGE, title: "The body is too large." },
    Row { reason: Reason::Unknown, status: StatusCode::NOT_FOUND, title: "There is no such model or service." },
    Row { reason: Reason::Overloaded, status: StatusCode::SERVICE_UNAVAILABLE, title: "Too many requests wait." },
    Row { reason: Reason::Limited, status: StatusCode::TOO_MANY_REQUESTS, title: "This caller has too many requests." },
    Row { reason: Reason::Late, status: StatusCode::SERVICE_UNAVAILABLE, title: "The answer cannot start before the deadline." },
    Row { reason: Reason::Expired, status: StatusCode::GATEWAY_TIMEOUT, title: "The deadline has come." },
    Row { reason: Reason::Isolated, status: StatusCode::SERVICE_UNAVAILABLE, title: "This host takes no requests now; use another one." },
    Row { reason: Reason::Draining, status: StatusCode::SERVICE_UNAVAILABLE, title: "This host is shutting down; use another one." },
    Row { reason: Reason::Unavailable, status: StatusCode::SERVICE_UNAVAILABLE, title: "No target can run this now." },
    Row { reason: Reason::Mismatch, status: StatusCode::UNPROCESSABLE_ENTITY, title: "The key was used with another request." },
    Row { reason: Reason::InProgress, status: StatusCode::CONFLICT, title: "The same request is in progress." },
    Row { reason: Reason::TargetFailed, status: StatusCode::BAD_GATEWAY, title: "The target failed." },
    Row { reason: Reason::Quarantined, status: StatusCode::UNPROCESSABLE_ENTITY, title: "Targets fail while running this request." },
    Row { reason: Reason::Forgotten, status: StatusCode::GONE, title: "The outcome of this request is no longer kept." },
    Row { reason: Reason::Unauthenticated, status: StatusCode::UNAUTHORIZED, title: "This route needs a known API key." },
    Row { reason: Reason::Quota, status: StatusCode::TOO_MANY_REQUESTS, title: "The team has used its quota." },
];

impl From<&Refusal> for Problem {
    fn from(refusal: &Refusal) -> Self {
        let row = row(refusal.reason);
        let seconds = |after: std::time::Duration| after.as_millis().div_ceil(1_000);
        Self {
            kind: format!("{TYPE_PREFIX}{}", refusal.reason),
            title: row.title,
            status: row.status.as_u16(),
            detail: refusal.detail.to_string(),
            run: refusal.run,
            retry_after: refusal
                .retry_after
                .and_then(|after| u64::try_from(seconds(after)).ok()),
        }
    }
}

impl Problem {
    /// Encodes the document as JSON.
    #[must_use]
    pub fn json(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Returns the response that carries the document.
    #[must_use]
    pub fn response(&self) -> Response<Body> {
        let mut response = Response::new(body::full(self.json()));
        *response.status_mut() = StatusCode::from_u16(self.status).unwrap_or_default();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, MEDIA_TYPE);
        if let Some(seconds) = self.retry_after {
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

/// Returns the row of a reason.
fn row(reason: Reason) -> &'static Row {
    ROWS.iter()
        .find(|row| row.reason == reason)
        .unwrap_or(&ROWS[0])
}

/// Returns the refusal of a request of which no byte has reached a target.
#[must_use]
pub fn not_run(reason: Reason, detail: impl AsRef<str>) -> Refusal {
    Refusal {
        reason,
        run: Run::NotRun,
        retry_after: None,
        detail: detail.as_ref().into(),
    }
}
