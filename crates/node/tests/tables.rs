//! The encoding of route tables that hosts fetch.

use std::sync::Arc;
use std::time::Duration;

use cornelhitch_node::message::{Downward, Message};
use cornelhitch_types::route::{RetryPolicy, Route, RouteTable, Service, Split};
use cornelhitch_types::team::{Access, ApiKeyDigest, Team};

/// The message with the table of [`table`], by the variants' numbers and the table's bytes from
/// before there were teams; the view of `crates/control/tests/teams.rs` has the same table.
const OPEN: &str = "0207070101720168012f02010500008090bcfd020203010173e8070101733000808080020f00";

fn table(access: Option<Access>) -> Arc<RouteTable> {
    Arc::new(RouteTable {
        version: 7,
        routes: vec![Route {
            name: "r".into(),
            host: "h".into(),
            prefix: "/".into(),
            retry: RetryPolicy::Resume,
            is_stream: true,
            timeout: Duration::from_secs(5),
            objective: Some(Duration::from_millis(800)),
            priority: 2,
            attempts: 3,
            splits: vec![Split {
                service: "s".into(),
                weight: 1_000,
            }],
        }],
        services: vec![Service {
            name: "s".into(),
            connections: 48,
            engine: None,
        }],
        access: access.map(Arc::new),
        ..RouteTable::default()
    })
}

/// Guards against a fetched table that hosts of earlier versions cannot read.
#[test]
fn a_fetched_table_without_teams_keeps_its_bytes() {
    let message = Message::Downward(Downward::of_table(&table(None)));
    let bytes = postcard::to_stdvec(&message).expect("encodable");
    let expected: Vec<u8> = (0..OPEN.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&OPEN[at..at + 2], 16).expect("hexadecimal"))
        .collect();
    assert_eq!(bytes, expected);
}

/// Guards against a fetched table that arrives without its keys, which would open every route.
#[test]
fn a_fetched_table_has_its_access() {
    let team = Team {
        name: "red".into(),
        keys: vec![ApiKeyDigest::of("key")],
        priority: None,
        quota: None,
    };
    let guarded = table(Some(Access {
        teams: vec![Arc::new(team)],
        public_routes: Vec::new(),
    }));
    let message = Message::Downward(Downward::of_table(&guarded));
    let bytes = postcard::to_stdvec(&message).expect("encodable");
    let decoded = postcard::from_bytes(&bytes).expect("readable");
    let Message::Downward(Downward::GuardedTable(decoded)) = decoded else {
        panic!("{decoded:?}");
    };
    assert_eq!(decoded.into_table(), guarded);
}
