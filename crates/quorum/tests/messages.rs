//! Arbitrary messages from an authenticated peer must not make a core panic.

mod schedule;

use std::time::Duration;

use cornelhitch_quorum::log::{Entry, Payload};
use cornelhitch_quorum::message::{
    AppendEntries, AppendRejected, AppendResponse, ChunkReceived, Envelope, Message, RequestVote,
    Silence, SnapshotChunk, SnapshotId, VoteResponse,
};
use cornelhitch_quorum::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use schedule::failover::{commit_proposal, fault_free_group};

/// Mostly small numbers, which are plausible in the group, and otherwise arbitrary ones.
fn number() -> impl Strategy<Value = u64> {
    prop_oneof![4 => 0..8_u64, 1 => any::<u64>(), 1 => Just(u64::MAX)]
}

/// `None` for the member's current term, or an arbitrary term.
fn term() -> impl Strategy<Value = Option<u64>> {
    prop_oneof![4 => Just(None), 1 => number().prop_map(Some)]
}

fn stamp() -> impl Strategy<Value = Time> {
    prop_oneof![
        (0..5000_u64).prop_map(Duration::from_millis),
        Just(Duration::MAX)
    ]
}

fn membership() -> impl Strategy<Value = Membership> {
    let peer = (0..4_u64, 1..3_u64).prop_map(|(id, incarnation)| Peer { id, incarnation });
    proptest::collection::vec(peer, 0..4).prop_map(|peers| Membership::of(&peers))
}

fn entry() -> impl Strategy<Value = Entry> {
    let payload = prop_oneof![
        Just(Payload::Empty),
        Just(Payload::Data(7_u64.to_le_bytes().to_vec().into())),
        membership().prop_map(Payload::Membership),
    ];
    (number(), number(), payload).prop_map(|(index, term, payload)| Entry {
        index,
        term,
        payload,
    })
}

fn append() -> impl Strategy<Value = Message> {
    let entries = proptest::collection::vec(entry(), 0..4);
    (
        number(),
        number(),
        number(),
        stamp(),
        entries,
        any::<bool>(),
    )
        .prop_map(
            |(prev_index, prev_term, commit, stamp, mut entries, follow)| {
                for (at, entry) in (1..).zip(&mut entries).filter(|_| follow) {
                    entry.index = prev_index.wrapping_add(at);
                }
                Message::AppendEntries(AppendEntries {
                    prev_index,
                    prev_term,
                    commit,
                    stamp,
                    entries,
                })
            },
        )
}

fn chunk() -> impl Strategy<Value = Message> {
    let data = proptest::collection::vec(any::<u8>(), 0..20);
    (
        number(),
        number(),
        0..20_u64,
        membership(),
        number(),
        stamp(),
        data,
    )
        .prop_map(|(index, term, total, membership, offset, stamp, data)| {
            let checksum = crc32fast::hash(&data);
            let snapshot = SnapshotId {
                index,
                term,
                total,
                checksum,
            };
            Message::SnapshotChunk(SnapshotChunk {
                snapshot,
                membership,
                offset,
                stamp,
                data: data.into(),
            })
        })
}

fn message() -> impl Strategy<Value = Message> {
    let vote = (any::<bool>(), number(), number()).prop_map(|(pre_vote, last_index, last_term)| {
        Message::RequestVote(RequestVote {
            pre_vote,
            last_index,
            last_term,
        })
    });
    let voted = (any::<bool>(), any::<bool>())
        .prop_map(|(pre_vote, granted)| Message::VoteResponse(VoteResponse { pre_vote, granted }));
    let appended = (number(), number(), stamp()).prop_map(|(durable, accepted_index, stamp)| {
        Message::AppendResponse(AppendResponse {
            durable,
            accepted_index,
            stamp,
        })
    });
    let refused = (number(), number(), stamp()).prop_map(|(prev_index, hint, stamp)| {
        Message::AppendRejected(AppendRejected {
            prev_index,
            hint,
            stamp,
        })
    });
    let received = (number(), number(), stamp()).prop_map(|(index, offset, stamp)| {
        let snapshot = SnapshotId {
            index,
            term: 1,
            total: 9,
            checksum: 0,
        };
        Message::ChunkReceived(ChunkReceived {
            snapshot,
            offset,
            stamp,
        })
    });
    let outside = any::<bool>().prop_map(Message::NoGroup);
    let joiner = (number(), number()).prop_map(|(id, incarnation)| Peer { id, incarnation });
    let forwarded = joiner.prop_map(Message::ForwardedJoin);
    let member = (number(), number()).prop_map(|(id, incarnation)| Peer { id, incarnation });
    let silence = (member, stamp()).prop_map(|(member, lasted)| Silence { member, lasted });
    let silences = proptest::collection::vec(silence, 0..4).prop_map(Message::Silences);
    prop_oneof![
        append(),
        chunk(),
        vote,
        voted,
        appended,
        refused,
        received,
        outside,
        forwarded,
        silences,
        Just(Message::Join)
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_messages_do_not_panic(
        leads in any::<bool>(),
        messages in proptest::collection::vec((0..4_u64, term(), message()), 1..30),
    ) {
        let mut sim = fault_free_group(1);
        commit_proposal(&mut sim);
        let leader = sim.leader().unwrap();
        let node = &mut sim.nodes[if leads { leader } else { (leader + 1) % 3 }];
        let mut now = node.local(sim.now);
        let (peer, core) = (node.peer, node.core.as_mut().unwrap());
        for (from, term, message) in messages {
            let from = Peer { id: from, incarnation: 1 };
            let term = term.unwrap_or(core.status().term);
            let (to, incarnation) = (peer.id, Some(peer.incarnation));
            let message =
                Envelope { cluster: 7, group: 0, lineage: 1, from, to, incarnation, term, message };
            let mut events = vec![Event::Receive { from: from.id, message }];
            while let Some(event) = events.pop() {
                for action in core.handle(event, now) {
                    if let Action::Persist(batch) = action {
                        events.push(Event::Persisted { token: batch.token });
                    }
                }
            }
            now = core.next_wake().max(now);
            prop_assert!(core.status().applied <= core.status().commit);
        }
    }
}
