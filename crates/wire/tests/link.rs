//! Tests of link establishment and frame verification.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use cornelhitch_wire::frame::Codec;
use cornelhitch_wire::hello::{Identity, cluster_id};
use cornelhitch_wire::key::Key;
use cornelhitch_wire::link::{self, Link};
use proptest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::{Decoder, Encoder};

/// An identity with the given cluster name and keys.
fn identity(host: u64, name: &str, keys: &str) -> Identity {
    Identity {
        cluster: cluster_id(name),
        host,
        incarnation: 1,
        address: SocketAddr::from(([127, 0, 0, 1], 7_000)),
        keys: keys.parse().expect("keys"),
    }
}

/// Connects two identities; returns the result of each side.
async fn pair(
    dials: Identity,
    accepts: Identity,
) -> (Result<Link, link::Error>, Result<Link, link::Error>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let accepting = async move {
        let (stream, _) = listener.accept().await.expect("accept");
        link::accept(stream, &accepts).await
    };
    tokio::join!(link::dial(address, &dials), accepting)
}

const A: &str = "the old secret of peers";
const B: &str = "the new secret of peers";
const AB: &str = "the old secret of peers\nthe new secret of peers";
const BA: &str = "the new secret of peers\nthe old secret of peers";

#[tokio::test]
async fn link_requires_a_shared_key_and_cluster() {
    let cases = [
        ("same key", "co-op", A, "co-op", A, true),
        ("rotation, dialer behind", "co-op", AB, "co-op", BA, true),
        ("rotation, dialer ahead", "co-op", BA, "co-op", AB, true),
        ("other key", "co-op", A, "co-op", B, false),
        ("other cluster", "co-op", A, "office", A, false),
    ];
    for (name, dial_cluster, dial_keys, accept_cluster, accept_keys, linked) in cases {
        let dials = identity(1, dial_cluster, dial_keys);
        let accepts = identity(2, accept_cluster, accept_keys);
        let (dialed, accepted) = pair(dials, accepts).await;
        assert_eq!(dialed.is_ok(), linked, "{name}: {dialed:?}");
        assert_eq!(accepted.is_ok(), linked, "{name}: {accepted:?}");
    }
}

#[tokio::test]
async fn payloads_arrive_in_order_in_both_directions() {
    let (dialed, accepted) = pair(identity(1, "co-op", A), identity(2, "co-op", A)).await;
    let (mut dialed, mut accepted) = (dialed.expect("link"), accepted.expect("link"));
    assert_eq!((dialed.peer.host, accepted.peer.host), (2, 1));
    for n in 0..100_u8 {
        let payload = Bytes::from(vec![n; usize::from(n) * 50]);
        dialed.sender.send(payload.clone()).await.expect("send");
        accepted.sender.send(payload.clone()).await.expect("send");
        assert_eq!(
            accepted.receiver.next().await.expect("frame"),
            Some(payload.clone())
        );
        assert_eq!(dialed.receiver.next().await.expect("frame"), Some(payload));
    }
}

#[tokio::test]
async fn invalid_hello_is_rejected_without_response() {
    let cases: [&[u8]; 4] = [b"GET / HTTP/1.1\r\n\r\n", &[0xff; 64], &[3, 1, 2, 3], b""];
    for bytes in cases {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let mut stream = TcpStream::connect(address).await.expect("connect");
        stream.write_all(bytes).await.expect("write");
        stream.shutdown().await.expect("shutdown");
        let (accepted, _) = listener.accept().await.expect("accept");
        let linked = link::accept(accepted, &identity(2, "co-op", A)).await;
        assert!(linked.is_err(), "{bytes:?}");
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest).await;
        assert!(
            rest.is_empty(),
            "an unauthenticated peer must get no response: {rest:?}"
        );
    }
}

/// Encodes a frame as sent on the wire.
fn encode_frame(codec: &mut Codec, payload: &[u8]) -> BytesMut {
    let mut out = BytesMut::new();
    codec
        .encode(Bytes::copy_from_slice(payload), &mut out)
        .expect("encode");
    out
}

#[test]
fn repeated_or_reordered_frames_are_rejected() {
    let key = Key::new(b"secret").session_key(b"transcript", 1);
    let mut sender = Codec::from(key.clone());
    let (first, second) = (
        encode_frame(&mut sender, b"one"),
        encode_frame(&mut sender, b"two"),
    );
    let cases = [
        ("in order", vec![&first, &second], true),
        ("repeated", vec![&first, &first], false),
        ("reordered", vec![&second, &first], false),
    ];
    for (name, frames, accepted) in cases {
        let mut receiver = Codec::from(key.clone());
        let mut all = true;
        for frame in frames {
            all &= receiver.decode(&mut frame.clone()).is_ok();
        }
        assert_eq!(all, accepted, "{name}");
    }
}

proptest! {
    /// Arbitrary bytes neither cause a panic nor pass as a frame, and no memory is reserved beyond
    /// their size.
    #[test]
    fn arbitrary_bytes_are_not_a_frame(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let mut source = BytesMut::from(&bytes[..]);
        let mut codec = Codec::from(Key::new(b"secret"));
        prop_assert!(!matches!(codec.decode(&mut source), Ok(Some(_))));
        prop_assert!(source.capacity() <= bytes.len().max(64));
    }
}
