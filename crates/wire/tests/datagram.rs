//! Tests of datagram verification.

use std::net::SocketAddr;

use bytes::Bytes;
use cornelhitch_wire::datagram::{Authenticator, Error, Verifier};
use cornelhitch_wire::hello::{Identity, ProcessId, cluster_id};
use proptest::prelude::*;

/// An identity with the given cluster name and keys.
fn identity(host: u64, incarnation: u64, name: &str, keys: &str) -> Identity {
    Identity {
        cluster: cluster_id(name),
        host,
        incarnation,
        address: SocketAddr::from(([127, 0, 0, 1], 7_000)),
        keys: keys.parse().expect("keys"),
    }
}

const OLD: &str = "the old secret of peers";
const BOTH: &str = "the new secret of peers\nthe old secret of peers";
const NEW: &str = "the new secret of peers";

/// A datagram from host 1 to incarnation 5 of host 2, and whether host 2 accepts it.
struct Case {
    name: &'static str,
    cluster: &'static str,
    sender: &'static str,
    receiver: &'static str,
    to: ProcessId,
    /// Index of the byte altered in transit.
    changed: Option<usize>,
    /// Number of bytes removed from the end.
    truncated_by: usize,
    accepted: bool,
}

const VALID: Case = Case {
    name: "as sent",
    cluster: "co-op",
    sender: OLD,
    receiver: OLD,
    to: ProcessId {
        host: 2,
        incarnation: 5,
    },
    changed: None,
    truncated_by: 0,
    accepted: true,
};

#[test]
fn only_authentic_datagrams_for_this_incarnation_are_accepted() {
    let earlier = ProcessId {
        host: 2,
        incarnation: 4,
    };
    let other = ProcessId {
        host: 3,
        incarnation: 5,
    };
    #[rustfmt::skip]
    let cases = [
        VALID,
        Case { name: "rotation: receiver has both", receiver: BOTH, ..VALID },
        Case { name: "rotation: sender already has both", sender: BOTH, receiver: BOTH, ..VALID },
        Case { name: "unknown key", sender: NEW, accepted: false, ..VALID },
        Case { name: "other cluster", cluster: "office", accepted: false, ..VALID },
        Case { name: "earlier incarnation", to: earlier, accepted: false, ..VALID },
        Case { name: "other host", to: other, accepted: false, ..VALID },
        Case { name: "changed payload", changed: Some(60), accepted: false, ..VALID },
        Case { name: "changed header", changed: Some(0), accepted: false, ..VALID },
        Case { name: "truncated", truncated_by: 3, accepted: false, ..VALID },
        Case { name: "truncated to almost nothing", truncated_by: 75, accepted: false, ..VALID },
    ];
    for case in cases {
        let from = identity(1, 9, case.cluster, case.sender);
        let to = identity(2, 5, "co-op", case.receiver);
        let payload = [7; 64];
        let authenticated = Authenticator::default().authenticate(&from, case.to, &payload);
        let mut datagram = authenticated.expect("authenticate").to_vec();
        if let Some(position) = case.changed {
            datagram[position] ^= 1;
        }
        datagram.truncate(datagram.len() - case.truncated_by);
        let verified = Verifier::default().verify(&to, &datagram);
        assert_eq!(
            verified.is_ok(),
            case.accepted,
            "{}: {verified:?}",
            case.name
        );
    }
}

#[test]
fn replayed_datagrams_and_earlier_incarnations_are_rejected() {
    let to = identity(2, 5, "co-op", OLD);
    let peer = VALID.to;
    let mut verifier = Verifier::default();
    let old = Authenticator::default()
        .authenticate(&identity(1, 8, "co-op", OLD), peer, b"old")
        .expect("authenticate");
    let new = Authenticator::default()
        .authenticate(&identity(1, 9, "co-op", OLD), peer, b"new")
        .expect("authenticate");
    assert!(verifier.verify(&to, &new).is_ok());
    for datagram in [new, old] {
        let result = verifier.verify(&to, &datagram);
        assert!(matches!(result, Err(Error::Replayed { .. })), "{result:?}");
    }
}

#[test]
fn oversized_payload_is_rejected() {
    let from = identity(1, 9, "co-op", OLD);
    let authenticated = Authenticator::default().authenticate(&from, VALID.to, &[0; 1_400]);
    assert!(matches!(authenticated, Err(Error::TooLong { .. })));
}

proptest! {
    /// Arbitrary bytes are rejected without a panic.
    #[test]
    fn arbitrary_bytes_are_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..2_000)) {
        let to = identity(2, 5, "co-op", OLD);
        prop_assert!(Verifier::default().verify(&to, &bytes).is_err());
    }

    /// In any order and with any repetitions, each datagram is accepted exactly once.
    #[test]
    fn each_datagram_is_accepted_once(order in proptest::collection::vec(0..20_usize, 0..60)) {
        let from = identity(1, 9, "co-op", OLD);
        let to = identity(2, 5, "co-op", OLD);
        let mut authenticator = Authenticator::default();
        let authenticated: Vec<Bytes> = (0..20_u8)
            .map(|n| authenticator.authenticate(&from, VALID.to, &[n]).expect("authenticate"))
            .collect();
        let mut verifier = Verifier::default();
        let mut seen = std::collections::BTreeSet::new();
        for index in order {
            let result = verifier.verify(&to, &authenticated[index]);
            prop_assert_eq!(result.is_ok(), seen.insert(index));
        }
    }
}
