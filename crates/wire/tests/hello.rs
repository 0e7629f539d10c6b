//! Hellos: what a process tells of where it is reached.

use std::net::SocketAddr;

use cornelhitch_wire::hello::{Hello, Identity, cluster};
use cornelhitch_wire::link;
use tokio::net::{TcpListener, TcpStream};

/// A host that tells an address.
fn identity(host: u64, address: &str) -> Identity {
    Identity {
        cluster: cluster("co-op"),
        host,
        incarnation: 1,
        address: address.parse().expect("an address"),
        keys: "a secret of peers".parse().expect("keys"),
    }
}

#[test]
fn an_unspecified_address_is_taken_from_the_connection() {
    let remote: SocketAddr = "10.0.0.7:40000".parse().expect("an address");
    let rows = [
        ("192.0.2.1:7000", "192.0.2.1:7000"),
        ("[2001:db8::1]:7000", "[2001:db8::1]:7000"),
        ("0.0.0.0:7000", "10.0.0.7:7000"),
        ("[::]:7000", "10.0.0.7:7000"),
    ];
    for (told, reached) in rows {
        let hello = Hello::new(&identity(1, told), 0);
        assert_eq!(hello.reached(remote).to_string(), reached, "{told}");
    }
}

#[tokio::test]
async fn both_sides_learn_where_the_other_is_reached() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let accepting = async move {
        let (stream, _) = listener.accept().await.expect("accept");
        link::accept(stream, &identity(2, "0.0.0.0:7002")).await
    };
    let dials = identity(1, "192.0.2.1:7001");
    let (dialled, accepted) = tokio::join!(link::dial(address, &dials), accepting);
    let (dialled, accepted) = (dialled.expect("link"), accepted.expect("link"));
    assert_eq!(dialled.address.to_string(), "127.0.0.1:7002");
    assert_eq!(accepted.address.to_string(), "192.0.2.1:7001");
}

/// Passes on the dialler's hello with the last byte of its address' host part changed.
async fn change(from: TcpListener, to: SocketAddr) {
    let (mut dialler, _) = from.accept().await.expect("accept");
    let mut acceptor = TcpStream::connect(to).await.expect("connect");
    let mut hello = [0; 256];
    let told = [192, 0, 2, 1];
    let mut length = 0;
    let place = loop {
        dialler.readable().await.expect("readable");
        length += dialler.try_read(&mut hello[length..]).unwrap_or_default();
        let found = hello[..length].windows(4).position(|part| part == told);
        if let Some(place) = found.filter(|_| length > usize::from(hello[0])) {
            break place;
        }
    };
    hello[place + 3] = 2;
    let sent = tokio::io::AsyncWriteExt::write_all(&mut acceptor, &hello[..length]).await;
    sent.expect("write");
    let _ = tokio::io::copy_bidirectional(&mut dialler, &mut acceptor).await;
}

#[tokio::test]
async fn an_address_that_was_changed_on_the_way_makes_no_link() {
    let middle = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let between = middle.local_addr().expect("address");
    tokio::spawn(change(middle, address));
    let accepting = async move {
        let (stream, _) = listener.accept().await.expect("accept");
        link::accept(stream, &identity(2, "192.0.2.9:7002")).await
    };
    let dials = identity(1, "192.0.2.1:7001");
    let (dialled, accepted) = tokio::join!(link::dial(between, &dials), accepting);
    assert!(dialled.is_err() && accepted.is_err());
}
