//! Rate-limited log lines about single requests.

use cornelhitch_entry::action::Destination;
use cornelhitch_types::id::Name;
use cornelhitch_types::refusal::Refusal;

use crate::exchange::{Exchange, Payload};
use crate::log_limit::{LogLimiter, shorten};

/// The versions of the view and route table that a decision was based on.
#[derive(Debug, Clone, Copy)]
pub struct LogContext {
    /// The term of the view.
    pub term: u64,
    /// The sequence number of the view.
    pub view: u64,
    /// The version of the route table; 0 if there is none.
    pub table: u64,
    /// Milliseconds since the graceful shutdown began, if it has.
    pub leaving_ms: Option<u128>,
}

/// Writes the log lines.
#[derive(Debug, Default)]
pub struct RequestLog(LogLimiter);

impl RequestLog {
    /// Logs that a request is sent to a target.
    pub fn sent(
        &mut self,
        exchange: &Exchange,
        attempt: u32,
        to: &Destination,
        context: LogContext,
    ) {
        if self.0.allow() {
            tracing::info!(
                request = shorten(&request_id(exchange)),
                what = shorten(&requested(exchange)),
                caller = shorten(&exchange.caller),
                fingerprint = exchange.fingerprint,
                content = content(exchange),
                sections = %exchange.sections,
                attempt,
                target = &*to.target,
                life = to.incarnation,
                software = to.software.as_deref(),
                replica = to.replica,
                after_ms = elapsed_ms(exchange),
                left_ms = remaining_ms(exchange),
                term = context.term,
                view = context.view,
                table = context.table,
                leaving_ms = context.leaving_ms,
                "sending request to target"
            );
        }
    }

    /// Logs that a request was answered completely.
    pub fn answered(&mut self, exchange: &Exchange, attempt: u32) {
        if self.0.allow() {
            let begun = exchange.begun.map(|begun| begun - exchange.arrived);
            tracing::info!(
                request = shorten(&request_id(exchange)),
                attempt,
                after_ms = elapsed_ms(exchange),
                begun_ms = begun.map(|begun| begun.as_millis()),
                "request answered completely"
            );
        }
    }

    /// Logs that a request was refused or its answer aborted.
    pub fn refused(&mut self, exchange: &Exchange, refusal: &Refusal, context: LogContext) {
        if self.0.allow() {
            let retry_ms = refusal.retry_after.map(|after| after.as_millis());
            tracing::info!(
                request = shorten(&request_id(exchange)), what = shorten(&requested(exchange)),
                fingerprint = exchange.fingerprint, content = content(exchange),
                sections = %exchange.sections,
                reason = %refusal.reason, run = %refusal.run, retry_ms, detail = shorten(&refusal.detail),
                after_ms = elapsed_ms(exchange), left_ms = remaining_ms(exchange),
                term = context.term, view = context.view, table = context.table,
                leaving_ms = context.leaving_ms,
                "request refused or its answer aborted"
            );
        }
    }

    /// Logs that the caller disconnected before the end of the answer.
    pub fn caller_left(&mut self, exchange: &Exchange) {
        if self.0.allow() {
            tracing::info!(
                request = shorten(&request_id(exchange)),
                what = shorten(&requested(exchange)),
                after_ms = elapsed_ms(exchange),
                "caller disconnected before the end of the answer"
            );
        }
    }
}

/// Returns the caller's request id; empty if the protocol has none.
fn request_id(exchange: &Exchange) -> Name {
    match &*exchange.payload {
        Payload::Routed(routed) => routed.id.clone(),
        Payload::Model { .. } | Payload::Service { .. } => "".into(),
    }
}

/// Returns the model, service or route that a request names.
fn requested(exchange: &Exchange) -> String {
    match &*exchange.payload {
        Payload::Routed(routed) => routed.what.clone(),
        Payload::Model { model, .. } => model.to_string(),
        Payload::Service { path, .. } => path.clone(),
    }
}

/// Returns the digest of what a routed request asks for, in hexadecimal.
fn content(exchange: &Exchange) -> Option<String> {
    exchange.content.map(|content| format!("{content:x}"))
}

/// Returns the milliseconds since a request arrived.
fn elapsed_ms(exchange: &Exchange) -> u128 {
    exchange.arrived.elapsed().as_millis()
}

/// Returns the milliseconds until a request's deadline, if it has one.
fn remaining_ms(exchange: &Exchange) -> Option<u128> {
    exchange.time_left().map(|left| left.as_millis())
}
