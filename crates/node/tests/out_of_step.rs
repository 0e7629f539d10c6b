//! An entry host whose view is old takes up streams of a version that it has not seen.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{SERVICE, presence};
use cornelhitch_entry::event::{Identity, Resumes, RouteLimits};
use cornelhitch_entry::prelude::*;
use cornelhitch_node::software::SoftwareRegister;
use cornelhitch_types::id::{Name, Time};
use cornelhitch_types::route;
use cornelhitch_types::target::{AnnouncedHeartbeat, Kind, Load, TargetSoftware};
use cornelhitch_types::view::{Change, Target, View};

/// The limit of the streams' route.
const LIMIT: Duration = Duration::from_secs(4);

fn at(seconds: u64) -> Time {
    Time::from_secs(seconds)
}

/// Returns a heartbeat of a target that runs a version.
fn heartbeat(target: &str, version: &str, sequence: u64) -> AnnouncedHeartbeat {
    AnnouncedHeartbeat {
        software: Some(version.into()),
        ..presence(target, 1, sequence)
    }
}

/// Returns an entry host that has seen two targets of `v1` and no other.
fn host() -> Core {
    let mut core = Core::new(Config::new(1).place("perth", "a"), at(0));
    let targets = ["w1", "w2"].map(|name| {
        let software = TargetSoftware {
            target: name.into(),
            incarnation: 1,
            version: "v1".into(),
        };
        core.handle(Event::Software(vec![software]), at(0));
        Change::Target(Target {
            target: name.into(),
            incarnation: 1,
            kind: Kind::Service,
            address: ([10, 0, 0, 1], 80).into(),
            region: "perth".into(),
            zone: "a".into(),
            services: vec![SERVICE.into()],
            open: true,
            load: Load::default(),
            slots: Some(8),
        })
    });
    let table = route::RouteTable {
        version: 1,
        services: vec![route::Service {
            name: SERVICE.into(),
            connections: 10,
            engine: None,
        }],
        ..route::RouteTable::default()
    };
    let mut changes = vec![
        Change::Settings(1, "models: []".into()),
        Change::Table(Arc::new(table)),
    ];
    changes.extend(targets);
    let (term, from, to) = (1, 0, 1);
    let view = View {
        term,
        from,
        to,
        changes,
    };
    core.handle(Event::View(view), at(0));
    let until = at(3_600);
    core.handle(Event::Lease { until, version: 1 }, at(0));
    core
}

/// Lets a caller take a stream up at the host; returns the target that gets it, if any.
fn take_up(core: &mut Core, register: &SoftwareRegister, now: Time) -> Option<Name> {
    let what = RequestedResource::Service {
        name: SERVICE.into(),
        method: "POST".into(),
    };
    let mut request = Request::new(1, "dealer", what);
    request.streaming = true;
    request.identity = Some(Box::new(Identity {
        attempt: 2,
        resumes: Some(Resumes::Attempt(7)),
        ..Identity::default()
    }));
    request.deadline = Some(now + LIMIT);
    request.terms = Some(Box::new(RouteLimits {
        route: "chat".into(),
        attempts: 2,
        limit: LIMIT,
        objective: Some(Duration::from_millis(600)),
        rank: 0,
        sizes: Vec::new(),
    }));
    core.handle(Event::Arrived(request), now);
    let mut answer = register.origin(SERVICE, Some(7), now);
    (answer.term, answer.view) = core.view_position();
    let answer = Some(answer);
    let actions = core.handle(Event::OriginAnswered { id: 1, answer }, now);
    actions.into_iter().find_map(|action| match action {
        Action::Send { to, .. } => Some(to.target),
        _ => None,
    })
}

/// Two targets of another version join, begin streams through other hosts and end, while the host
/// stands still or is cut off. The record of the stream is lost with the host that began it.
#[test]
fn host_out_of_step_joins_no_streams_of_two_versions() {
    // When the other version was last heard, when the stream is taken up, and whether it goes on.
    let rows = [
        (None, 40, true),
        (Some(39), 40, false),
        (Some(34), 40, false),
        (Some(29), 40, false),
        (Some(27), 40, true),
    ];
    for (heard, now, goes_on) in rows {
        let mut register = SoftwareRegister::new(at(0));
        let mut core = host();
        for second in 1..now {
            register.hear(&heartbeat("w1", "v1", second), at(second));
            if heard.is_some_and(|last| second >= 20 && second <= last) {
                register.hear(&heartbeat("w3", "v2", second), at(second));
            }
        }
        let target = take_up(&mut core, &register, at(now));
        assert_eq!(target.is_some(), goes_on, "{heard:?}");
    }
}
