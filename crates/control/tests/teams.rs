//! Route tables with teams: their encoding in the log, the snapshot and the view, and the unchanged
//! encoding of tables without teams.

mod common;

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use common::Bench;
use cornelhitch_control::current_table::SubmittedTable;
use cornelhitch_control::prelude::*;
use cornelhitch_types::route::{MAX_TIME, RetryPolicy, Route, RouteTable, Service, Split};
use cornelhitch_types::team::{Access, ApiKeyDigest, Team};
use cornelhitch_types::view::{Change, View};

/// A command with a table without teams, as encoded before there were teams.
const OPEN_COMMAND: &str = "010011070101720168012f02010500008090bcfd020203010173e8070101733000808080020f000d7b2276657273696f6e223a377d";

/// A snapshot with that table alone, as encoded before there were teams.
const OPEN_SNAPSHOT: &str = "03010101000000000000000000000000000000000001070101720168012f02010500008090bcfd020203010173e8070101733000808080020f000d7b2276657273696f6e223a377d00";

/// A view with that table alone, as encoded before there were teams.
const OPEN_VIEW: &str =
    "0102030109070101720168012f02010500008090bcfd020203010173e8070101733000808080020f00";

/// Returns a table with one route and one service.
fn table(version: u64, access: Option<Access>) -> Arc<RouteTable> {
    let splits = vec![Split {
        service: "s".into(),
        weight: 1_000,
    }];
    Arc::new(RouteTable {
        version,
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
            splits,
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

/// Returns teams, one for each key.
fn access(keys: &[&str]) -> Access {
    let teams = keys.iter().map(|key| Team {
        name: format!("team of {key}").into(),
        keys: vec![ApiKeyDigest::of(key)],
        priority: Some(1),
        quota: None,
    });
    Access {
        teams: teams.map(Arc::new).collect(),
        public_routes: vec!["status".into()],
    }
}

/// Returns the command that publishes a table.
fn publish(table: &Arc<RouteTable>) -> Command {
    let text = format!("{{\"version\":{}}}", table.version).into();
    let table = table.clone();
    Command::publish_table(SubmittedTable { table, text })
}

/// Returns the state after a command has been read from the log.
fn state_after(commands: &[Command]) -> State {
    let mut state = State::default();
    for (command, index) in commands.iter().zip(1..) {
        let decoded = Command::decode(&command.encode()).expect("readable");
        let time = Duration::from_secs(index);
        state.apply(
            &Entry {
                index,
                term: 1,
                time,
            },
            decoded,
        );
    }
    state
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("a string takes any text");
        text
    })
}

fn view_of(change: Change) -> View {
    View {
        term: 1,
        from: 2,
        to: 3,
        changes: vec![change],
    }
}

/// Guards against a changed encoding of tables without teams, which hosts of earlier versions could
/// not read.
#[test]
fn a_table_without_teams_keeps_its_bytes() {
    let open = table(7, None);
    assert_eq!(hex(&publish(&open).encode()), OPEN_COMMAND);
    let snapshot = state_after(&[publish(&open)]).snapshot();
    assert_eq!(hex(&snapshot), OPEN_SNAPSHOT);
    let view = postcard::to_stdvec(&view_of(Change::of_table(&open))).expect("encodable");
    assert_eq!(hex(&view), OPEN_VIEW);
}

/// Guards against a changed encoding of routes without an objective, which stood in the log as an objective of zero.
#[test]
fn a_route_without_an_objective_keeps_its_bytes() {
    let mut table = RouteTable::clone(&table(7, None));
    table.routes[0].objective = None;
    let table = Arc::new(table);
    let encoded = publish(&table).encode();
    let zero = OPEN_COMMAND.replacen("008090bcfd02", "0000", 1);
    assert_eq!(hex(&encoded), zero);
    let state = state_after(&[publish(&table)]);
    assert_eq!(state.current_table().table(), Some(&table));
}

/// Guards against times in the log that are longer than a table may state, whose sums with other times end each host
/// that acts on them.
#[test]
fn longer_times_than_a_table_states_are_bounded_when_they_are_read() {
    let mut table = RouteTable::clone(&table(7, None));
    table.routes[0].timeout = Duration::MAX;
    table.routes[0].objective = Some(Duration::MAX);
    table.limits.idle_timeout = Duration::MAX;
    let state = state_after(&[publish(&Arc::new(table))]);
    let read = state.current_table().table().expect("a table");
    assert_eq!(read.routes[0].timeout, MAX_TIME);
    assert_eq!(read.routes[0].objective, Some(MAX_TIME));
    assert_eq!(read.limits.idle_timeout, MAX_TIME);
}

/// Guards against access that is lost in the log, the snapshot or the view, which would open every
/// route.
#[test]
fn access_is_kept_wherever_a_table_is() {
    let guarded = table(7, Some(access(&["red", "blue"])));
    let state = state_after(&[publish(&guarded)]);
    assert_eq!(state.current_table().table(), Some(&guarded));
    let text = state.current_table().text().expect("a text");
    assert_eq!(&text[..], br#"{"version":7}"#);
    let bytes = state.snapshot();
    let restored = State::restore(&bytes).expect("readable");
    assert_eq!(restored, state);
    assert_eq!(restored.current_table().table(), Some(&guarded));
    let view = view_of(Change::of_table(&guarded));
    let bytes = postcard::to_stdvec(&view).expect("encodable");
    let decoded: View = postcard::from_bytes(&bytes).expect("readable");
    let changes = decoded.changes.into_iter();
    let tables: Vec<_> = changes.map(Change::into_table).collect();
    assert_eq!(tables, [Some(guarded)]);
}

/// Guards against a truncated snapshot that is read as one without keys, or with other keys.
#[test]
fn a_truncated_snapshot_with_teams_is_refused() {
    let bytes = state_after(&[publish(&table(7, Some(access(&["red"]))))]).snapshot();
    for length in 0..bytes.len() {
        assert!(State::restore(&bytes[..length]).is_err(), "{length} bytes");
    }
}

/// Guards against states that differ in their keys alone and have the same digest.
#[test]
fn digests_of_states_with_other_keys_differ() {
    let with = |keys| state_after(&[publish(&table(7, Some(access(keys))))]).digest();
    let open = state_after(&[publish(&table(7, None))]).digest();
    assert_ne!(with(&["red"]), with(&["blue"]));
    assert_ne!(with(&["red"]), open);
}

/// Guards against keys of an earlier version that outlast it, in either direction.
#[test]
fn the_access_of_the_newest_version_is_in_force() {
    let first = table(7, Some(access(&["red"])));
    let second = table(8, Some(access(&["blue"])));
    let third = table(9, None);
    let commands = [&first, &third, &second].map(publish);
    for (count, newest) in [(1, &first), (2, &third), (3, &third)] {
        let state = state_after(&commands[..count]);
        assert_eq!(state.current_table().table(), Some(newest), "{count}");
        let restored = State::restore(&state.snapshot()).expect("readable");
        assert_eq!(restored, state, "{count}");
    }
}

/// Guards against a publication to connected hosts that leaves the keys out.
#[test]
fn entry_hosts_get_the_access_with_the_table() {
    let mut bench = Bench::new();
    bench.advance(5);
    bench.changes();
    let guarded = table(7, Some(access(&["red"])));
    bench.commit(&publish(&guarded));
    bench.advance(1);
    let changes = bench.changes().into_iter();
    let tables = changes.filter_map(Change::into_table);
    assert_eq!(tables.last(), Some(guarded));
}

/// Guards against keys in log lines that show a command.
#[test]
fn the_text_is_not_shown() {
    let table = table(7, Some(access(&["red"])));
    let text = "key-in-the-text".into();
    let submitted = SubmittedTable { table, text };
    let shown = format!(
        "{submitted:?} {:?}",
        Command::publish_table(submitted.clone())
    );
    assert!(!shown.contains("key-in-the-text"), "{shown}");
}
