//! Tests of the addresses advertised in hellos.

use std::net::SocketAddr;

use cornelhitch_wire::hello::{Hello, Identity, cluster_id};
use cornelhitch_wire::link;
use tokio::net::{TcpListener, TcpStream};

/// An identity that advertises the given address.
fn identity(host: u64, address: &str) -> Identity {
    Identity {
        cluster: cluster_id("co-op"),
        host,
        incarnation: 1,
        address: address.parse().expect("an address"),
        keys: "a secret of peers".parse().expect("keys"),
    }
}

#[test]
fn unspecified_address_is_replaced_by_the_remote_address() {
    let remote: SocketAddr = "10.0.0.7:40000".parse().expect("an address");
    let cases = [
        ("192.0.2.1:7000", "192.0.2.1:7000"),
        ("[2001:db8::1]:7000", "[2001:db8::1]:7000"),
        ("0.0.0.0:7000", "10.0.0.7:7000"),
        ("[::]:7000", "10.0.0.7:7000"),
    ];
    for (advertised, expected) in cases {
        let hello = Hello::new(&identity(1, advertised), 0);
        assert_eq!(
            hello.reachable_address(remote).to_string(),
            expected,
            "{advertised}"
        );
    }
}

#[tokio::test]
async fn both_sides_learn_the_address_of_the_peer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let accepting = async move {
        let (stream, _) = listener.accept().await.expect("accept");
        link::accept(stream, &identity(2, "0.0.0.0:7002")).await
    };
    let dials = identity(1, "192.0.2.1:7001");
    let (dialed, accepted) = tokio::join!(link::dial(address, &dials), accepting);
    let (dialed, accepted) = (dialed.expect("link"), accepted.expect("link"));
    assert_eq!(dialed.address.to_string(), "127.0.0.1:7002");
    assert_eq!(accepted.address.to_string(), "192.0.2.1:7001");
}

/// Proxies a connection, altering the last byte of the IP address in the dialer's hello.
async fn forward_altered_hello(from: TcpListener, to: SocketAddr) {
    let (mut dialer, _) = from.accept().await.expect("accept");
    let mut acceptor = TcpStream::connect(to).await.expect("connect");
    let mut hello = [0; 256];
    let advertised = [192, 0, 2, 1];
    let mut length = 0;
    let position = loop {
        dialer.readable().await.expect("readable");
        length += dialer.try_read(&mut hello[length..]).unwrap_or_default();
        let found = hello[..length]
            .windows(4)
            .position(|part| part == advertised);
        if let Some(position) = found.filter(|_| length > usize::from(hello[0])) {
            break position;
        }
    };
    hello[position + 3] = 2;
    let sent = tokio::io::AsyncWriteExt::write_all(&mut acceptor, &hello[..length]).await;
    sent.expect("write");
    let _ = tokio::io::copy_bidirectional(&mut dialer, &mut acceptor).await;
}

#[tokio::test]
async fn address_altered_in_transit_prevents_the_link() {
    let proxy_listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let proxy_address = proxy_listener.local_addr().expect("address");
    tokio::spawn(forward_altered_hello(proxy_listener, address));
    let accepting = async move {
        let (stream, _) = listener.accept().await.expect("accept");
        link::accept(stream, &identity(2, "192.0.2.9:7002")).await
    };
    let dials = identity(1, "192.0.2.1:7001");
    let (dialed, accepted) = tokio::join!(link::dial(proxy_address, &dials), accepting);
    assert!(dialed.is_err() && accepted.is_err());
}
