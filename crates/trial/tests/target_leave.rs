//! A leave message is acknowledged only once it is committed, so an entry host must refuse it while
//! the cluster has no leader.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use cornelhitch_trial::cluster::{Cluster, ClusterSpec};

/// Limit and interval of the attempts.
const ATTEMPTS: usize = 60;
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Index of the host without the control role.
const ENTRY_HOST: usize = 1;

/// Posts a message of a target and returns the status of the response, or `None` if there is none.
fn post(to: SocketAddr, path: &str, body: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(to).ok()?;
    let length = body.len();
    let head = format!("POST {path} HTTP/1.1\r\nhost: any\r\nconnection: close\r\n");
    write!(stream, "{head}content-length: {length}\r\n\r\n{body}").ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    answer.split(' ').nth(1)?.parse().ok()
}

#[test]
fn leave_is_refused_without_a_leader() {
    let mut cluster = Cluster::start(&ClusterSpec {
        regions: vec!["perth-a".to_owned()],
        hosts: ENTRY_HOST + 1,
        voters: 1,
        fleet: "models: []\n".to_owned(),
    })
    .expect("cluster should start");
    let entry = cluster.hosts[ENTRY_HOST].addresses.callers;
    let leave = |incarnation: u64| {
        let body = format!("{{\"target\": \"worker-1\", \"incarnation\": {incarnation}}}");
        post(entry, "/v1/targets/leave", &body)
    };
    let acknowledged = (0..ATTEMPTS).any(|_| {
        std::thread::sleep(RETRY_INTERVAL);
        leave(7) == Some(204)
    });
    assert!(
        acknowledged,
        "leave message not acknowledged with 204 although the voter is running"
    );
    cluster.kill(0);
    assert_eq!(leave(8), Some(503));
}
