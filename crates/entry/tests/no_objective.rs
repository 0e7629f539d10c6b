//! Requests on routes without a latency objective: what they and others beside them get.

mod common;

use std::time::Duration;

use cornelhitch_entry::event::RouteLimits;
use cornelhitch_entry::prelude::*;
use cornelhitch_settings::process::{Routing, Serving};
use cornelhitch_types::target::Kind;
use cornelhitch_types::view::{Change, Replica, State};

use common::{at, target};

const SETTINGS: &str = "models: [{ name: report, bytes: 1000 }]";

/// Creates a core that routes by the expected time and knows one worker with the model.
fn core() -> Core {
    let serving = Serving {
        routing: Routing::ExpectedTime,
        ..Serving::default()
    };
    let replica = Change::Replica(Replica {
        replica: 1,
        model: "report".into(),
        version: None,
        target: "w1".into(),
        state: State::Ready,
        ready_in_ms: 0,
        adapters: Vec::new(),
    });
    let worker = Change::Target(target("w1", Kind::Worker, 64));
    common::core(serving, SETTINGS, vec![worker, replica])
}

/// Sends a request with a prompt of this many tokens; returns its rank at the target.
fn send(core: &mut Core, id: CallId, objective: Option<Duration>, tokens: u32) -> Option<u8> {
    let what = RequestedResource::Model("report".parse().expect("a reference"));
    let mut request = Request::new(id, "dealer", what);
    request.streaming = true;
    request.prefixes = vec![id];
    request.terms = Some(Box::new(RouteLimits {
        route: "lookup".into(),
        attempts: 2,
        limit: Duration::from_secs(4),
        objective,
        rank: 1,
        sizes: vec![tokens],
    }));
    let actions = core.handle(Event::Arrived(request), at(10));
    let rank = actions.iter().find_map(|action| match action {
        Action::Send { to, .. } => Some(to.rank),
        _ => None,
    });
    rank.expect("the worker has room")
}

/// Guards against a route without an objective that counts as the most urgent of all: each prompt on its host, of
/// other routes too, then counted as a long one for a minute and went behind those of other hosts.
#[test]
fn a_route_without_an_objective_makes_no_other_prompts_long() {
    const SHORT: u32 = 900;
    const LONG: u32 = 60_000;
    let objective = Some(Duration::from_millis(800));
    let mut alone = core();
    let ranks = [SHORT, LONG].map(|tokens| send(&mut alone, tokens.into(), objective, tokens));
    assert!(ranks[0] < ranks[1], "{ranks:?}");
    let mut beside = core();
    send(&mut beside, 1, None, SHORT);
    let same = [SHORT, LONG].map(|tokens| send(&mut beside, tokens.into(), objective, tokens));
    assert_eq!(same, ranks);
}
