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

/// Guards against an ordinary connection that is closed for the memory which a crowd holds, as the youngest
/// that had no request; and against a crowd that stays because its requests are rejected.
#[test]
fn a_crowd_frees_memory_before_others() {
    let mut connections = Connections::new(LIMITS);
    connections.open(0, address(2), Duration::ZERO);
    for id in 1..4 {
        connections.open(id, address(1), Duration::from_secs(id));
        connections.reject(id);
    }
    connections.begin(1);
    let now = Duration::from_secs(4);
    let evicted = [(); 4].map(|()| connections.evict(now));
    assert_eq!(evicted, [Some(2), Some(3), Some(0), None]);
}

/// Guards against a connection that was served and makes room before one whose requests are all rejected.
#[test]
fn a_connection_whose_requests_are_rejected_makes_room_before_one_that_was_served() {
    let mut connections = Connections::new(LIMITS);
    for id in 1..3 {
        connections.open(id, address(1), Duration::from_secs(id));
    }
    connections.begin(1);
    connections.end(1, Duration::from_millis(1_500));
    connections.reject(2);
    let now = Duration::from_secs(3);
    assert_eq!(connections.evict(now), Some(2));
}

/// What a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wait {
    Target,
    Body,
    Reader,
}

/// A listener beside which a connection is opened, and what happens to that.
struct Row<'a> {
    /// What each connection waits for, and the bytes that its caller has sent or read.
    waits: &'a [(Wait, usize)],
    after: Duration,
    expected: Opened,
}

/// Fills a listener with connections of as many addresses, whose requests wait for this, and whose callers have sent
/// or read as many bytes after a time; returns what happens to one more connection then.
fn open_beside(waits: &[(Wait, usize)], after: Duration) -> Opened {
    let limits = ConnectionLimits {
        connections: waits.len(),
        ..LIMITS
    };
    let mut connections = Connections::new(limits);
    for (id, (from, (wait, bytes))) in (0..).zip((1..).zip(waits)) {
        connections.open(id, address(from), Duration::ZERO);
        connections.begin(id);
        match wait {
            Wait::Target => {}
            Wait::Body => connections.begin_wait(id, Duration::ZERO),
            Wait::Reader => connections.block(id, Duration::ZERO),
        }
        connections.progress(id, *bytes);
    }
    connections.open(99, address(99), after)
}

/// Guards against callers that hardly send or read and keep all connections of a listener; and against requests that
/// are ended though their callers keep up, or though a target works on them.
#[test]
fn the_slowest_caller_makes_room_and_nobody_who_keeps_up() {
    let s = Duration::from_secs;
    #[rustfmt::skip]
    let rows = [
        Row { waits: &[(Wait::Body, 0)], after: s(10), expected: Opened::Replaced(0) },
        Row { waits: &[(Wait::Reader, 0)], after: s(10), expected: Opened::Replaced(0) },
        Row { waits: &[(Wait::Target, 0)], after: s(10), expected: Opened::Refused },
        Row { waits: &[(Wait::Body, 0)], after: s(1), expected: Opened::Refused },
        Row { waits: &[(Wait::Body, 200_000)], after: s(10), expected: Opened::Refused },
        Row { waits: &[(Wait::Reader, 100_000), (Wait::Body, 50_000)], after: s(10), expected: Opened::Replaced(1) },
        Row { waits: &[(Wait::Target, 0), (Wait::Reader, 100_000)], after: s(10), expected: Opened::Replaced(1) },
    ];
    for row in rows {
        let opened = open_beside(row.waits, row.after);
        assert_eq!(opened, row.expected, "{:?} {:?}", row.waits, row.after);
    }
}

/// Guards against a connection that makes room for its former slowness, or for one of its requests while a target
/// works on another one.
#[test]
fn a_caller_that_has_caught_up_keeps_its_connection() {
    let limits = ConnectionLimits {
        connections: 1,
        ..LIMITS
    };
    let mut connections = Connections::new(limits);
    connections.open(0, address(1), Duration::ZERO);
    connections.begin(0);
    connections.begin_wait(0, Duration::ZERO);
    connections.begin(0);
    let now = Duration::from_secs(10);
    assert_eq!(connections.open(1, address(2), now), Opened::Refused);
    connections.end(0, now);
    connections.end_wait(0);
    connections.block(0, Duration::ZERO);
    connections.unblock(0);
    assert_eq!(connections.open(1, address(2), now), Opened::Refused);
    connections.block(0, now);
    assert_eq!(connections.open(1, address(2), now), Opened::Refused);
    let later = now + now;
    assert_eq!(connections.open(1, address(2), later), Opened::Replaced(0));
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
