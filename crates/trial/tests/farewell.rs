//! A target that leaves is told so only by hosts that have it committed.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use cornelhitch_trial::cluster::{Cluster, Plan};

/// How often something is tried before it counts as failed, and the pause between.
const TRIES: usize = 60;
const PAUSE: Duration = Duration::from_millis(250);

/// The place of the host that only takes callers and targets.
const ENTRY: usize = 1;

/// The status of one message of a target.
fn tell(to: SocketAddr, path: &str, body: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(to).ok()?;
    let length = body.len();
    let head = format!("POST {path} HTTP/1.1\r\nhost: any\r\nconnection: close\r\n");
    write!(stream, "{head}content-length: {length}\r\n\r\n{body}").ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    answer.split(' ').nth(1)?.parse().ok()
}

#[test]
fn no_farewell_is_acknowledged_while_nobody_leads() {
    let mut cluster = Cluster::start(&Plan {
        regions: vec!["perth-a".to_owned()],
        hosts: ENTRY + 1,
        voters: 1,
        fleet: "models: []\n".to_owned(),
    })
    .expect("a cluster");
    let entry = cluster.hosts[ENTRY].addresses.callers;
    let leave = |life: u64| {
        let body = format!("{{\"target\": \"worker-1\", \"incarnation\": {life}}}");
        tell(entry, "/v1/targets/leave", &body)
    };
    let told = (0..TRIES).any(|_| {
        std::thread::sleep(PAUSE);
        leave(7) == Some(204)
    });
    assert!(told, "a farewell is taken while a host leads");
    cluster.kill(0);
    assert_eq!(leave(8), Some(503));
}
