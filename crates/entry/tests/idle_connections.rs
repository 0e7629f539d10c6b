//! Which target is chosen when this host has idle connections to some.

use std::net::SocketAddr;
use std::time::Duration;

use cornelhitch_entry::event::RouteLimits;
use cornelhitch_entry::expected_time::Work;
use cornelhitch_entry::prelude::*;
use cornelhitch_entry::route::{self, Candidate, Place};
use cornelhitch_entry::warm::IdleConnections;
use cornelhitch_settings::process::{Routing, Serving};
use cornelhitch_types::id::Time;
use cornelhitch_types::target::{Kind, Load};
use cornelhitch_types::view::{Change, Replica, State, Target, View};

const SETTINGS: &str = "models: [{ name: report, bytes: 1000 }]";

/// Number of targets, all equally good.
const TARGETS: u16 = 20;

/// Number of choices from which shares are counted.
const CHOICES: usize = 4_000;

/// The target with the idle connection.
const WARM: u16 = 13;

/// A time before which idle connections are reused.
const UNTIL: Time = Duration::from_secs(4);

fn address(number: u16) -> SocketAddr {
    ([10, 0, 0, 1], number + 1).into()
}

/// Returns a candidate whose first byte is expected after `base_ms`.
fn candidate(number: u16, base_ms: f64, saving_ms: f64) -> Candidate {
    Candidate {
        place: Place {
            target: format!("w{number}").into(),
            replica: Some(number.into()),
        },
        incarnation: 1,
        address: address(number),
        region: "perth".into(),
        zone: "a".into(),
        own: 0,
        others: 0,
        age: Time::ZERO,
        capacity: 48,
        cached: 0.0,
        distance_ms: 3.0,
        price: 0.0,
        work: Work {
            base_ms,
            ..Work::default()
        },
        saving_ms,
    }
}

/// Returns how often each candidate is chosen.
fn shares(routing: Routing, candidates: &[Candidate]) -> Vec<f64> {
    let mut router = route::router(routing, 7);
    let mut counts = vec![0_u32; candidates.len()];
    for _ in 0..CHOICES {
        let chosen = router.choose(500.0, candidates).expect("a candidate");
        counts[chosen] += 1;
    }
    let all = f64::from(u32::try_from(CHOICES).expect("few choices"));
    counts.iter().map(|count| f64::from(*count) / all).collect()
}

/// Guards against a new connection where another target would be as good, and against a target that is
/// chosen for its connection though the response begins later there.
#[test]
fn a_connection_decides_only_among_equally_good_targets() {
    let others = (0..10).map(|number| candidate(number, 100.0, 0.0));
    let others: Vec<Candidate> = others.collect();
    for (base_ms, share) in [(100.0, 1.0), (107.0, 1.0), (115.0, 0.0)] {
        let mut candidates = others.clone();
        candidates.push(candidate(10, base_ms, 4.0));
        let shares = shares(Routing::ExpectedTime, &candidates);
        assert!((shares[10] - share).abs() < 1e-9, "{base_ms}: {shares:?}");
    }
}

/// Guards against work that gathers at the busier of two targets with connections.
#[test]
fn the_cheaper_of_two_targets_with_connections_gets_most() {
    let candidates = [
        candidate(0, 100.0, 0.0),
        candidate(1, 100.0, 4.0),
        candidate(2, 102.0, 4.0),
    ];
    let shares = shares(Routing::ExpectedTime, &candidates);
    assert!((shares[1] - 0.75).abs() < 0.05, "{shares:?}");
    assert!((shares[2] - 0.25).abs() < 0.05, "{shares:?}");
}

/// Returns a host with equally good targets, and a lease.
fn host(routing: Routing) -> Core {
    let mut changes = vec![Change::Settings(1, SETTINGS.into())];
    for number in 0..TARGETS {
        let name: std::sync::Arc<str> = format!("w{number}").into();
        changes.push(Change::Target(Target {
            target: name.clone(),
            incarnation: 1,
            kind: Kind::Worker,
            address: address(number),
            region: "perth".into(),
            zone: "a".into(),
            services: Vec::new(),
            open: true,
            load: Load::default(),
            slots: Some(48),
        }));
        changes.push(Change::Replica(Replica {
            replica: number.into(),
            target: name,
            model: "report".into(),
            version: None,
            state: State::Ready,
            ready_in_ms: 0,
            adapters: Vec::new(),
        }));
    }
    let serving = Serving {
        routing,
        ..Serving::default()
    };
    let config = Config::new(1).place("perth", "a").serving(serving).seed(3);
    let mut core = Core::new(config, Time::ZERO);
    let view = View {
        term: 1,
        from: 0,
        to: 1,
        changes,
    };
    core.handle(Event::View(view), Time::ZERO);
    let until = Duration::from_hours(1);
    core.handle(Event::Lease { until, version: 1 }, Time::ZERO);
    core
}

/// Tells a host of its idle connections to [`WARM`].
fn tell(core: &mut Core, count: u32, stated: u32) {
    let idle = IdleConnections {
        address: address(WARM),
        count,
        stated,
        until: UNTIL,
    };
    core.handle(Event::IdleConnections(idle), Time::ZERO);
}

/// Sends a routed request; returns the address that it goes to.
fn send(core: &mut Core, id: u64, repeatable: bool, now: Time) -> SocketAddr {
    let what = RequestedResource::Model("report".parse().expect("a reference"));
    let mut request = Request::new(id, "dealer", what);
    request.repeatable = repeatable;
    request.fingerprint = id;
    request.terms = Some(Box::new(RouteLimits {
        route: "items".into(),
        attempts: 1,
        limit: Duration::from_secs(5),
        objective: Some(Duration::from_secs(1)),
        rank: 0,
        sizes: Vec::new(),
    }));
    let actions = core.handle(Event::Arrived(request), now);
    let sent = actions.into_iter().find_map(|action| match action {
        Action::Send { to, .. } => Some(to.address),
        _ => None,
    });
    sent.expect("the request is sent")
}

/// Guards against a core that counts on connections that are in use, expired or closed, or that the
/// request must not be sent on.
#[test]
fn a_host_counts_on_idle_connections_that_a_request_may_use() {
    use Routing::{ExpectedTime, Load};
    let rows = [
        (
            "any, may run twice",
            ExpectedTime,
            0,
            true,
            Time::ZERO,
            true,
        ),
        (
            "any, must not run twice",
            ExpectedTime,
            0,
            false,
            Time::ZERO,
            false,
        ),
        (
            "stated, must not run twice",
            ExpectedTime,
            1,
            false,
            Time::ZERO,
            true,
        ),
        ("expired", ExpectedTime, 1, true, UNTIL, false),
        ("by load, any", Load, 0, true, Time::ZERO, false),
        ("by load, stated", Load, 1, true, Time::ZERO, false),
    ];
    for (name, routing, stated, repeatable, now, expected) in rows {
        let hits = (0..20_u64).filter(|id| {
            let mut core = host(routing);
            // The core's random choices differ with the requests before.
            for before in 0..*id {
                send(&mut core, 100 + before, true, Time::ZERO);
            }
            tell(&mut core, 1, stated);
            send(&mut core, 1, repeatable, now) == address(WARM)
        });
        let hits = hits.count();
        // By chance, one of 20 targets gets a request in one of 20 runs, so in more than 7 of 20 almost never.
        let counted_on = if expected { hits == 20 } else { hits <= 7 };
        assert!(counted_on, "{name}: {hits} of 20");
    }
}

/// Guards against several requests that count on the same connection, and against a connection that
/// was closed.
#[test]
fn a_connection_counts_for_one_request() {
    let mut core = host(Routing::ExpectedTime);
    tell(&mut core, 1, 0);
    assert_eq!(send(&mut core, 1, true, Time::ZERO), address(WARM));
    let to_warm = (2..12).filter(|id| send(&mut core, *id, true, Time::ZERO) == address(WARM));
    assert!(to_warm.count() <= 5, "counted on a connection in use");
    tell(&mut core, 1, 0);
    tell(&mut core, 0, 0);
    let to_warm = (12..22).filter(|id| send(&mut core, *id, true, Time::ZERO) == address(WARM));
    assert!(to_warm.count() <= 5, "counted on a closed connection");
}

/// Guards against connections that are counted for no service or of the wrong kind.
#[test]
fn new_and_reused_connections_are_counted_for_the_service() {
    let mut core = host(Routing::ExpectedTime);
    send(&mut core, 1, true, Time::ZERO);
    for reused in [false, true, true] {
        core.handle(Event::Connected { id: 1, reused }, Time::ZERO);
    }
    let counters: Vec<_> = core.counters().values().collect();
    let [counters] = counters[..] else {
        panic!("{counters:?}");
    };
    let counted = (counters.new_connections, counters.reused_connections);
    assert_eq!(counted, (1, 2));
}
