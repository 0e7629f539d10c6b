//! Requests that no replica will ever be able to serve are refused at once.

use std::time::Duration;

use cornelhitch_entry::prelude::*;
use cornelhitch_types::id::Time;
use cornelhitch_types::refusal::Reason;
use cornelhitch_types::view::{Change, Replica, State, View};

const SETTINGS: &str = "
groups: [{ name: scripts, managed: false }]
models:
  - { name: report, bytes: 1000, version: '3' }
  - { name: old, bytes: 1000, group: scripts }
";

/// A requested model, a replica that exists, and the refusal, if any.
struct Row {
    name: &'static str,
    asked: &'static str,
    /// The model and version of the existing replica.
    held: Option<(&'static str, Option<&'static str>)>,
    refused: Option<Reason>,
}

#[test]
#[rustfmt::skip]
fn unservable_requests_are_refused_at_once() {
    let rows = [
        Row { name: "managed, nothing held", asked: "report", held: None, refused: None },
        Row { name: "the version in force", asked: "report@3", held: None, refused: None },
        Row { name: "another version", asked: "report@2", held: None, refused: Some(Reason::Unknown) },
        Row { name: "another version that is held", asked: "report@2", held: Some(("report", Some("2"))), refused: None },
        Row { name: "another version than is held", asked: "report@4", held: Some(("report", Some("2"))), refused: Some(Reason::Unknown) },
        Row { name: "unmanaged, nothing held", asked: "old", held: None, refused: Some(Reason::Unavailable) },
        Row { name: "unmanaged and held", asked: "old", held: Some(("old", None)), refused: None },
    ];
    for row in rows {
        let mut core = core(row.held);
        let model = row.asked.parse().expect("a reference");
        let request = Request::new(7, "dealer", RequestedResource::Model(model));
        let actions = core.handle(Event::Arrived(request), Time::from_millis(10));
        let refused = actions.iter().find_map(|action| match action {
            Action::Refuse { refusal, .. } => Some(refusal.reason),
            _ => None,
        });
        assert_eq!(refused, row.refused, "{}: {actions:?}", row.name);
    }
}

/// Creates a core with settings, a lease and possibly a replica that is loading.
fn core(held: Option<(&str, Option<&str>)>) -> Core {
    let mut core = Core::new(Config::new(1), Time::ZERO);
    let mut changes = vec![Change::Settings(1, SETTINGS.into())];
    changes.extend(held.map(|(model, version)| {
        Change::Replica(Replica {
            replica: 4,
            model: model.into(),
            version: version.map(Into::into),
            target: "w1".into(),
            state: State::Loading,
            ready_in_ms: 4_000,
            adapters: Vec::new(),
        })
    }));
    core.handle(
        Event::View(View {
            term: 1,
            from: 0,
            to: 1,
            changes,
        }),
        Time::ZERO,
    );
    let until = Duration::from_hours(1);
    core.handle(Event::Lease { until, version: 1 }, Time::ZERO);
    core
}
