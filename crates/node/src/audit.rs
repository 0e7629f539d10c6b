//! The log's lines about single requests, bounded in number.

use cornelhitch_entry::action::Destination;
use cornelhitch_types::id::Name;
use cornelhitch_types::refusal::Refusal;

use crate::exchange::{Exchange, Payload};
use crate::lines::Lines;

/// What the entry task was acting on when it decided.
#[derive(Debug, Clone, Copy)]
pub struct Basis {
    /// The term of the view.
    pub term: u64,
    /// The place up to which the view is known.
    pub view: u64,
    /// The version of the table of routes.
    pub table: u64,
}

/// Writes lines about requests.
#[derive(Debug, Default)]
pub struct Audit(Lines);

impl Audit {
    /// A request goes to a target.
    pub fn sent(&mut self, exchange: &Exchange, attempt: u32, to: &Destination, basis: Basis) {
        if self.0.admits() {
            tracing::info!(
                request = &*name(exchange),
                what = &*what(exchange),
                attempt,
                target = &*to.target,
                life = to.incarnation,
                replica = to.replica,
                after_ms = millis(exchange),
                left_ms = left(exchange),
                term = basis.term,
                view = basis.view,
                table = basis.table,
                "request sent"
            );
        }
    }

    /// A request was answered in full.
    pub fn answered(&mut self, exchange: &Exchange, attempt: u32) {
        if self.0.admits() {
            let begun = exchange.begun.map(|begun| begun - exchange.arrived);
            tracing::info!(
                request = &*name(exchange),
                attempt,
                after_ms = millis(exchange),
                begun_ms = begun.map(|begun| begun.as_millis()),
                "request answered"
            );
        }
    }

    /// A request was refused, or its answer cut.
    pub fn refused(&mut self, exchange: &Exchange, refusal: &Refusal, basis: Basis) {
        if self.0.admits() {
            let retry_ms = refusal.retry_after.map(|after| after.as_millis());
            tracing::info!(
                request = &*name(exchange), what = &*what(exchange), reason = %refusal.reason,
                run = %refusal.run, retry_ms, detail = &*refusal.detail,
                after_ms = millis(exchange), left_ms = left(exchange),
                term = basis.term, view = basis.view, table = basis.table, "request refused"
            );
        }
    }

    /// A request's caller left before its end.
    pub fn left(&mut self, exchange: &Exchange) {
        if self.0.admits() {
            tracing::info!(
                request = &*name(exchange),
                what = &*what(exchange),
                after_ms = millis(exchange),
                "caller left"
            );
        }
    }
}

/// The id under which a caller knows its request.
fn name(exchange: &Exchange) -> Name {
    match &*exchange.payload {
        Payload::Routed(routed) => routed.id.clone(),
        Payload::Model { .. } | Payload::Service { .. } => "".into(),
    }
}

/// What a request asks for.
fn what(exchange: &Exchange) -> String {
    match &*exchange.payload {
        Payload::Routed(routed) => routed.what.clone(),
        Payload::Model { model, .. } => model.to_string(),
        Payload::Service { path, .. } => path.clone(),
    }
}

/// Milliseconds since a request came.
fn millis(exchange: &Exchange) -> u128 {
    exchange.arrived.elapsed().as_millis()
}

/// Milliseconds until its caller stops waiting.
fn left(exchange: &Exchange) -> Option<u128> {
    exchange.left().map(|left| left.as_millis())
}
