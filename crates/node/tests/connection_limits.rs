//! Which connections are closed when there are too many or when incomplete heads hold too much.

use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use cornelhitch_node::connection_limits::{ConnectionLimits, Connections, Opened};
use proptest::prelude::*;

const LIMITS: ConnectionLimits = ConnectionLimits {
    connections: 13,
    per_address: None,
    head_memory: 1_000,
    head_bytes: 400,
};

fn address(number: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, number).into()
}

/// Guards against one address that keeps all others out.
#[test]
fn an_address_leaves_room_for_others() {
    let mut connections = Connections::new(LIMITS);
    for id in 0..100 {
        if connections.open(id, address(1), Duration::ZERO) == Opened::Accepted {
            connections.begin(id);
        }
    }
    assert!(connections.len() < LIMITS.connections);
    assert_eq!(
        connections.open(100, address(2), Duration::ZERO),
        Opened::Accepted
    );
}

/// Guards against a crowd of idle connections that keeps its own address's next caller out.
#[test]
fn a_connection_without_any_request_makes_room_before_an_older_idle_one() {
    let limits = ConnectionLimits {
        per_address: Some(3),
        ..LIMITS
    };
    let mut connections = Connections::new(limits);
    for id in 0..3 {
        connections.open(id, address(1), Duration::from_secs(id));
    }
    connections.begin(0);
    connections.end(0, Duration::from_secs(3));
    connections.begin(1);
    let now = Duration::from_secs(4);
    assert_eq!(connections.open(3, address(1), now), Opened::Replaced(2));
    connections.begin(3);
    assert_eq!(connections.open(4, address(1), now), Opened::Replaced(0));
    connections.begin(4);
    assert_eq!(connections.open(5, address(1), now), Opened::Refused);
}

/// Guards against a short head that is dropped for the sake of long ones.
#[test]
fn the_largest_heads_are_dropped_first_and_the_oldest_of_these() {
    let mut connections = Connections::new(LIMITS);
    for id in 0..4 {
        connections.open(id, address(1), Duration::from_secs(4 - id));
    }
    assert!(connections.receive(0, 10).is_empty());
    assert!(connections.receive(1, 400).is_empty());
    assert!(connections.receive(2, 10_000).is_empty());
    assert_eq!(connections.receive(3, 300), [2]);
    assert_eq!(connections.held(), 710);
    connections.begin(1);
    assert_eq!(connections.held(), 310);
}

proptest! {
    /// Guards against counts that drift, which would close connections for nothing or not at all.
    #[test]
    fn limits_hold_and_nothing_is_left(
        steps in proptest::collection::vec((0_u8..5, 0_usize..40, 1_u8..4, 0_usize..600), 0..400)
    ) {
        let mut connections = Connections::new(LIMITS);
        let mut open = std::collections::BTreeMap::new();
        let mut next = 0;
        for (step, (kind, pick, from, bytes)) in steps.into_iter().enumerate() {
            let now = Duration::from_secs(step as u64);
            let picked = open.keys().nth(pick % open.len().max(1)).copied();
            match (kind, picked) {
                (0, _) | (_, None) => {
                    let opened = connections.open(next, address(from), now);
                    if let Opened::Replaced(victim) = opened {
                        prop_assert_eq!(open.remove(&victim), Some(0));
                    }
                    if opened != Opened::Refused {
                        open.insert(next, 0);
                    }
                    next += 1;
                }
                (1, Some(id)) => {
                    for victim in connections.receive(id, bytes) {
                        open.remove(&victim);
                    }
                }
                (2, Some(id)) => {
                    connections.begin(id);
                    *open.entry(id).or_default() += 1;
                }
                (3, Some(id)) if open[&id] > 0 => {
                    connections.end(id, now);
                    *open.entry(id).or_default() -= 1;
                }
                (_, Some(id)) => {
                    connections.close(id);
                    open.remove(&id);
                }
            }
            prop_assert_eq!(connections.len(), open.len());
            prop_assert!(connections.len() <= LIMITS.connections);
            prop_assert!(connections.held() <= LIMITS.head_memory);
        }
        for id in open.keys() {
            connections.close(*id);
        }
        prop_assert!(connections.is_empty());
        prop_assert_eq!(connections.held(), 0);
    }
}
