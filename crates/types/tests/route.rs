//! Route tables: lookups, validation, and weighted selection of services.

use std::time::Duration;

use cornelhitch_types::route::{
    Limits, RetryPolicy, Route, RouteIndex, RouteTable, Service, Split,
};
use proptest::prelude::*;

/// Returns a route to the service `s`.
fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        retry: RetryPolicy::Retry,
        is_stream: false,
        timeout: Duration::from_secs(4),
        objective: Some(Duration::from_millis(300)),
        priority: 0,
        attempts: 2,
        splits: vec![split("s", 1)],
    }
}

fn split(service: &str, weight: u32) -> Split {
    Split {
        service: service.into(),
        weight,
    }
}

fn table(routes: Vec<Route>) -> RouteTable {
    let service = |name: &str| Service {
        name: name.into(),
        connections: 100,
        engine: None,
    };
    RouteTable {
        version: 1,
        routes,
        services: vec![service("s"), service("t")],
        limits: Limits::default(),
        access: None,
    }
}

#[test]
#[rustfmt::skip]
fn lookup_returns_route_with_longest_prefix_ending_at_a_slash() {
    let table = table(vec![
        route("all", "h", "/"),
        route("lots", "h", "/lots/"),
        route("bids", "h", "/lots/bids/"),
        route("other", "g", "/only/"),
    ]);
    let index = RouteIndex::new(&table);
    let rows = [
        ("h", "/", Some("all")),
        ("h", "/lots", Some("all")),
        ("h", "/lots/", Some("lots")),
        ("h", "/lots/17", Some("lots")),
        ("h", "/lots/bids", Some("lots")),
        ("h", "/lots/bids/17", Some("bids")),
        ("h", "/lotsbids/17", Some("all")),
        ("g", "/only/x", Some("other")),
        ("g", "/x", None),
        ("none", "/", None),
        ("h", "", None),
    ];
    for (host, path, name) in rows {
        let found = index.find(host, path).map(|at| &*table.routes[at].name);
        assert_eq!(found, name, "{host}{path}");
    }
}

/// Returns the first fault of a table whose only route is changed by `change`.
fn first_fault(change: impl FnOnce(&mut Route)) -> Option<String> {
    let mut route = route("r", "h", "/p/");
    change(&mut route);
    table(vec![route])
        .validate()
        .first()
        .map(ToString::to_string)
}

#[test]
#[rustfmt::skip]
fn invalid_route_is_reported_by_name() {
    assert_eq!(first_fault(|_| ()), None);
    let weights = Some("r: its weights add up to 0".to_owned());
    assert_eq!(first_fault(|it| it.splits.clear()), weights);
    assert_eq!(first_fault(|it| it.splits = vec![split("s", 0)]), weights);
    assert_eq!(first_fault(|it| it.splits = vec![split("u", 1)]).as_deref(), Some("r: it leads to a service that is not listed"));
    assert_eq!(first_fault(|it| it.timeout = Duration::ZERO).as_deref(), Some("r: its timeout is 0"));
    for prefix in ["p/", "/p", ""] {
        let found = first_fault(|it| it.prefix = prefix.into());
        assert_eq!(found.as_deref(), Some("r: its prefix does not begin and end with a slash"), "{prefix}");
    }
}

#[test]
fn duplicate_prefix_or_service_name_is_reported() {
    let twice = table(vec![route("a", "h", "/p/"), route("b", "h", "/p/")]);
    assert_eq!(
        twice.validate()[0].to_string(),
        "b: another route has this host and prefix"
    );
    let mut same = table(vec![route("a", "h", "/p/")]);
    same.services.push(same.services[0].clone());
    assert_eq!(
        same.validate()[0].to_string(),
        "s: two services have this name"
    );
}

proptest! {
    /// Each service is picked in proportion to its weight; a service with weight 0 never is.
    #[test]
    fn services_are_picked_by_weight(weights in prop::collection::vec(0_u32..5, 1..5), draw in 0.0_f64..1.0) {
        let mut route = route("r", "h", "/");
        let name = |at: usize| format!("s{at}");
        route.splits = weights.iter().enumerate().map(|(at, weight)| split(&name(at), *weight)).collect();
        let total: u32 = weights.iter().sum();
        let picked = route.select_service(draw).map(ToString::to_string);
        let mut upper = 0;
        let expected = weights.iter().position(|weight| {
            upper += weight;
            draw * f64::from(total) < f64::from(upper)
        });
        let expected = expected.filter(|_| total > 0).map(name);
        prop_assert_eq!(picked, expected);
    }
}
