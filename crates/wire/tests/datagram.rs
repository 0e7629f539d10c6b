//! Datagrams: what is accepted, and what is dropped for which reason.

use std::net::SocketAddr;

use bytes::Bytes;
use cornelhitch_wire::datagram::{Error, Opener, Sealer};
use cornelhitch_wire::hello::{Identity, Peer, cluster};
use proptest::prelude::*;

/// An identity with the keys named.
fn identity(host: u64, incarnation: u64, name: &str, keys: &str) -> Identity {
    Identity {
        cluster: cluster(name),
        host,
        incarnation,
        address: SocketAddr::from(([127, 0, 0, 1], 7_000)),
        keys: keys.parse().expect("keys"),
    }
}

const OLD: &str = "the old secret of peers";
const BOTH: &str = "the new secret of peers\nthe old secret of peers";
const NEW: &str = "the new secret of peers";

/// One datagram from host 1 to life 5 of host 2, and what host 2 makes of it.
struct Row {
    name: &'static str,
    cluster: &'static str,
    sender: &'static str,
    receiver: &'static str,
    to: Peer,
    /// The byte that is changed on the way.
    changed: Option<usize>,
    /// Bytes that are cut from the end.
    cut: usize,
    accepted: bool,
}

const RIGHT: Row = Row {
    name: "as sent",
    cluster: "co-op",
    sender: OLD,
    receiver: OLD,
    to: Peer {
        host: 2,
        incarnation: 5,
    },
    changed: None,
    cut: 0,
    accepted: true,
};

#[test]
fn each_row_is_accepted_or_dropped() {
    let earlier = Peer {
        host: 2,
        incarnation: 4,
    };
    let other = Peer {
        host: 3,
        incarnation: 5,
    };
    #[rustfmt::skip]
    let rows = [
        RIGHT,
        Row { name: "rotation: receiver has both", receiver: BOTH, ..RIGHT },
        Row { name: "rotation: sender moved on", sender: BOTH, receiver: BOTH, ..RIGHT },
        Row { name: "unknown key", sender: NEW, accepted: false, ..RIGHT },
        Row { name: "other cluster", cluster: "office", accepted: false, ..RIGHT },
        Row { name: "earlier life", to: earlier, accepted: false, ..RIGHT },
        Row { name: "other host", to: other, accepted: false, ..RIGHT },
        Row { name: "changed payload", changed: Some(60), accepted: false, ..RIGHT },
        Row { name: "changed header", changed: Some(0), accepted: false, ..RIGHT },
        Row { name: "cut off", cut: 3, accepted: false, ..RIGHT },
        Row { name: "almost nothing left", cut: 75, accepted: false, ..RIGHT },
    ];
    for row in rows {
        let from = identity(1, 9, row.cluster, row.sender);
        let to = identity(2, 5, "co-op", row.receiver);
        let payload = [7; 64];
        let sealed = Sealer::default().seal(&from, row.to, &payload);
        let mut datagram = sealed.expect("seal").to_vec();
        if let Some(place) = row.changed {
            datagram[place] ^= 1;
        }
        datagram.truncate(datagram.len() - row.cut);
        let opened = Opener::default().open(&to, &datagram);
        assert_eq!(opened.is_ok(), row.accepted, "{}: {opened:?}", row.name);
    }
}

#[test]
fn a_repeated_datagram_and_an_earlier_life_are_refused() {
    let to = identity(2, 5, "co-op", OLD);
    let peer = RIGHT.to;
    let mut opener = Opener::default();
    let old = Sealer::default()
        .seal(&identity(1, 8, "co-op", OLD), peer, b"old")
        .expect("seal");
    let new = Sealer::default()
        .seal(&identity(1, 9, "co-op", OLD), peer, b"new")
        .expect("seal");
    assert!(opener.open(&to, &new).is_ok());
    for datagram in [new, old] {
        let result = opener.open(&to, &datagram);
        assert!(matches!(result, Err(Error::Replayed { .. })), "{result:?}");
    }
}

#[test]
fn too_long_a_payload_is_refused() {
    let from = identity(1, 9, "co-op", OLD);
    let sealed = Sealer::default().seal(&from, RIGHT.to, &[0; 1_400]);
    assert!(matches!(sealed, Err(Error::Long { .. })));
}

proptest! {
    /// Whatever comes in is dropped, without a panic.
    #[test]
    fn garbage_is_dropped(bytes in proptest::collection::vec(any::<u8>(), 0..2_000)) {
        let to = identity(2, 5, "co-op", OLD);
        prop_assert!(Opener::default().open(&to, &bytes).is_err());
    }

    /// In any order and with any repeats, each datagram is opened at most once.
    #[test]
    fn each_is_opened_once(order in proptest::collection::vec(0..20_usize, 0..60)) {
        let from = identity(1, 9, "co-op", OLD);
        let to = identity(2, 5, "co-op", OLD);
        let mut sealer = Sealer::default();
        let sealed: Vec<Bytes> = (0..20_u8)
            .map(|n| sealer.seal(&from, RIGHT.to, &[n]).expect("seal"))
            .collect();
        let mut opener = Opener::default();
        let mut seen = std::collections::BTreeSet::new();
        for place in order {
            let result = opener.open(&to, &sealed[place]);
            prop_assert_eq!(result.is_ok(), seen.insert(place));
        }
    }
}
