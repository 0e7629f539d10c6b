//! Targets' heartbeats are spread over the control hosts that take them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cornelhitch_node::takers::Takers;
use cornelhitch_types::id::TargetId;
use tokio::sync::watch;

fn address(host: u8) -> SocketAddr {
    ([10, 0, 0, host], 80).into()
}

#[test]
fn heartbeats_stay_where_no_other_host_takes_them() {
    let (_sender, addresses) = watch::channel(Vec::new());
    let takers = Takers::new(addresses);
    assert_eq!(takers.next(&"w1".into(), Duration::ZERO), None);
}

#[test]
fn targets_are_spread_over_the_hosts() {
    let (_sender, addresses) = watch::channel((1..=5).map(address).collect());
    let takers = Takers::new(addresses);
    let mut counts = BTreeMap::new();
    for target in 0..1_000 {
        let target: TargetId = format!("i-{target:010x}").as_str().into();
        let next = takers.next(&target, Duration::ZERO).expect("a host");
        *counts.entry(next).or_insert(0) += 1;
    }
    assert_eq!(counts.len(), 5, "{counts:?}");
    assert!(counts.values().all(|count| *count > 100), "{counts:?}");
}

/// A target that can't reach the host it was sent to would be sent there again and again, and be
/// silent for the time of each try.
#[test]
fn target_that_comes_back_stays_for_a_while() {
    let (sender, addresses) = watch::channel(vec![address(1)]);
    let takers = Takers::new(addresses);
    let target = "w1".into();
    let at = Duration::from_secs;
    // The second, and whether the target is sent away.
    let rows = [(0, true), (3, false), (29, false), (30, true), (31, false)];
    for (second, sent) in rows {
        let next = takers.next(&target, at(second));
        assert_eq!(next.is_some(), sent, "second {second}");
    }
    sender.send_replace(Vec::new());
    assert_eq!(
        takers.next(&target, at(90)),
        None,
        "this host no longer leads"
    );
}
